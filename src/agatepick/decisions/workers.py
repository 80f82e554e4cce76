"""The workers that an entry knows, with the slots it may fill at each.

Keeps, for every class of task, the workers that serve it and those with a
free slot, so that neither admission nor placement searches all workers.
"""

import dataclasses
import math
import typing

from agatepick.decisions import admission
from agatepick.decisions import outliers
from agatepick.decisions import placement
from agatepick.net import messages
from agatepick import types

FORGET_SECONDS = 600.0
"""How long a worker that has gone still counts as one that may return."""
MAX_CLASSES = 2048
"""Classes of task kept; callers choose kinds, so memory needs a bound."""

ASKS_A_PAUSE = 5
"""Times that agents to ask are looked for in one pause between asks."""


@dataclasses.dataclass(frozen=True, slots=True)
class AgentInfo:
    """Where an agent is, and which process of its name it is."""

    name: str
    incarnation: int
    zone: str
    rack: str


class Workers:
    """All known workers.

    :param leased: whether only leased slots may be filled.
    :ivar limit: slots that may be filled, over all workers.
    :ivar running: slots filled, over all workers.
    :ivar slots: slots of all usable workers, whoever leases them.
    """

    def __init__(self, leased: bool, ejection: outliers.Outliers) -> None:
        self._leased = leased
        self._outliers = ejection
        self._workers: dict[str, placement.Worker] = {}
        self._indexes: dict[placement.Requirement, placement.ClassIndex] = {}
        self._shares: dict[str, float] = {}
        self._canonical: dict[types.Needs, types.Needs] = {}
        self._next_ask = 0.0
        self.limit = 0
        self.running = 0
        self.slots = 0

    def offered(
        self, info: AgentInfo, offer: messages.Offer, now: float
    ) -> None:
        """Take an offer, which replaces all that was known of the agent."""
        worker = self._workers.get(info.name)
        if worker is not None and worker.incarnation != info.incarnation:
            self._forget(worker)
            worker = None
        if worker is None:
            worker = placement.Worker(
                info.name, info.incarnation, info.zone, info.rack
            )
            self._workers[info.name] = worker
            self._outliers.add(info.name)
            self._forget_old(now)
        self._describe(worker, offer)
        worker.connected = True
        worker.heard_at = now
        self._refresh(worker)

    def credited(self, agent: str, credits: int, now: float) -> None:
        """Take the slots leased at an agent now."""
        worker = self._workers.get(agent)
        if worker is None:
            return
        worker.heard_at = now
        if worker.credits != credits:
            worker.credits = credits
            self._refresh(worker)

    def disconnected(self, agent: str) -> None:
        """No slot can be filled until the agent offers again."""
        worker = self._workers.get(agent)
        if worker is not None:
            worker.connected = False
            self._refresh(worker)

    def refresh(self, agent: str) -> None:
        """An agent's standing has changed."""
        worker = self._workers.get(agent)
        if worker is not None:
            self._refresh(worker)

    def prepare(
        self, zone_share: typing.Callable[[str], float], now: float
    ) -> None:
        """Follow zones and ejections before a round of placements."""
        changed = set()
        for zone, share in self._shares.items():
            fresh = zone_share(zone)
            if fresh != share:
                self._shares[zone] = fresh
                changed.add(zone)
        if changed:
            for worker in self._workers.values():
                if worker.zone in changed:
                    self._refresh(worker)
        for agent in self._outliers.advance(now):
            self.refresh(agent)

    def taken(self, worker: placement.Worker) -> None:
        """Count a slot as filled."""
        worker.running += 1
        self.running += 1
        if worker.running >= worker.limit:
            _file(worker)

    def freed(self, agent: str) -> None:
        """Count a slot as free."""
        worker = self._workers.get(agent)
        if worker is None or not worker.running:
            return
        worker.running -= 1
        self.running -= 1
        if not worker.running:
            worker.give_all_back()
        if worker.running + 1 >= worker.limit:
            _file(worker)

    def give_back(self, agent: str, needs: types.Needs) -> None:
        """Count a task's resources as free."""
        worker = self._workers.get(agent)
        if worker is not None:
            worker.give_back(needs)

    def sent_to(self, agent: str, now: float) -> int:
        """A start message tells the agent our demand; its incarnation."""
        worker = self._workers[agent]
        worker.asked_at = now
        return worker.incarnation

    def to_ask(
        self,
        requirements: typing.Iterable[placement.Requirement],
        now: float,
        pause: float,
    ) -> list[str]:
        """Agents that may have slots for us and don't know of our demand."""
        if now < self._next_ask:
            return []
        self._next_ask = now + pause / ASKS_A_PAUSE
        names = []
        for requirement in requirements:
            for worker in self.index(requirement).serving.values():
                if _is_worth_asking(worker, now - pause):
                    worker.asked_at = now
                    names.append(worker.name)
        return names

    def requirement(
        self, job: types.JobSpec, task: types.TaskSpec
    ) -> placement.Requirement:
        """The class of a task.

        Its needs are raised to the least of the capacities that they fit
        into: the same workers serve them, and sizes that differ from task
        to task make few classes.
        """
        needs = task.needs
        if needs != _NO_NEEDS:
            known = self._canonical.get(needs)
            needs = self._raised(needs) if known is None else known
        return placement.Requirement(task.kind, needs, job.zones)

    def index(
        self, requirement: placement.Requirement
    ) -> placement.ClassIndex:
        """The workers of a class of task."""
        index = self._indexes.get(requirement)
        if index is None:
            index = self._new_index(requirement)
        return index

    def pool(
        self, requirements: typing.Iterable[placement.Requirement]
    ) -> frozenset[str]:
        """Names of the workers that serve any of some classes."""
        pools = [self.index(one).pool() for one in requirements]
        return pools[0] if len(pools) == 1 else frozenset().union(*pools)

    def capacity(self, pool: frozenset[str]) -> tuple[int, int, int]:
        """Slots we may fill, those of them free, and slots in all."""
        limit = free = slots = 0
        for name in pool:
            worker = self._workers.get(name)
            if worker is not None and worker.limit:
                limit += worker.limit
                free += max(0, worker.limit - worker.running)
            if worker is not None and _is_usable(worker):
                slots += worker.slots
        return limit, free, slots

    def refuses(
        self,
        requirement: placement.Requirement,
        zones_open: typing.Callable[[str], bool],
    ) -> admission.Refusal | None:
        """Why no worker can run a class of task, or ``None``."""
        serving = self.index(requirement).serving.values()
        if any(zones_open(worker.zone) for worker in serving):
            return None
        if serving:
            return admission.zones_closed()
        if not self._workers:
            return admission.no_workers()
        same_kind = [
            worker
            for worker in self._workers.values()
            if requirement.kind in worker.kinds
        ]
        if not same_kind:
            return admission.no_such_kind(requirement.kind)
        if any(requirement.needs.fits(one.capacity) for one in same_kind):
            return admission.no_such_zone(requirement.zones, requirement.kind)
        return admission.too_large(requirement.needs)

    def _describe(
        self, worker: placement.Worker, offer: messages.Offer
    ) -> None:
        worker.credits = offer.credits
        worker.slots = offer.slots
        worker.leaving = offer.leaving
        self._shares.setdefault(worker.zone, 1.0)
        kinds = frozenset(offer.kinds)
        if worker.kinds == kinds and worker.capacity == offer.capacity:
            return
        worker.kinds = kinds
        worker.capacity = offer.capacity
        worker.give_all_back()
        self._canonical.clear()
        for index in self._indexes.values():
            index.remove(worker)
        worker.classes = []
        for index in self._indexes.values():
            self._file_under(worker, index)

    def _refresh(self, worker: placement.Worker) -> None:
        before = worker.limit
        worker.limit = self._limit(worker)
        self.limit += worker.limit - before
        usable = worker.slots if _is_usable(worker) else 0
        self.slots += usable - worker.usable
        worker.usable = usable
        _file(worker)

    def _limit(self, worker: placement.Worker) -> int:
        share = self._shares[worker.zone]
        standing = self._outliers.standing(worker.name)
        worker.trial = standing is outliers.Standing.TRIAL
        if not _is_usable(worker) or share <= 0.0:
            return 0
        if standing is outliers.Standing.EJECTED:
            return 0
        slots = worker.credits if self._leased else worker.slots
        if worker.trial:
            return min(1, slots)
        if share < 1.0:
            return min(slots, math.ceil(share * worker.slots))
        return slots

    def _new_index(
        self, requirement: placement.Requirement
    ) -> placement.ClassIndex:
        if len(self._indexes) >= MAX_CLASSES:
            self._drop_indexes()
        index = placement.ClassIndex(requirement)
        self._indexes[requirement] = index
        for worker in self._workers.values():
            self._file_under(worker, index)
        return index

    def _drop_indexes(self) -> None:
        self._indexes.clear()
        for worker in self._workers.values():
            worker.classes = []

    def _file_under(
        self, worker: placement.Worker, index: placement.ClassIndex
    ) -> None:
        if worker.serves(index.requirement):
            index.add(worker)
            worker.classes.append(index)

    def _raised(self, needs: types.Needs) -> types.Needs:
        fitting = [
            worker.capacity
            for worker in self._workers.values()
            if needs.fits(worker.capacity)
        ]
        raised = needs
        if fitting:
            raised = types.Needs(
                min(capacity.cpu for capacity in fitting),
                min(capacity.memory_mb for capacity in fitting),
                needs.accelerators,
            )
        if len(self._canonical) >= MAX_CLASSES:
            self._canonical.clear()
        self._canonical[needs] = raised
        return raised

    def _forget(self, worker: placement.Worker) -> None:
        for index in worker.classes:
            index.remove(worker)
        self.limit -= worker.limit
        self.slots -= worker.usable
        self.running -= worker.running
        self._canonical.clear()
        del self._workers[worker.name]

    def _forget_old(self, now: float) -> None:
        old = [
            worker
            for worker in self._workers.values()
            if not worker.connected
            and worker.heard_at < now - FORGET_SECONDS
            and worker.heard_at
        ]
        for worker in old:
            self._forget(worker)
            self._outliers.forget(worker.name)


_NO_NEEDS = types.Needs()


def _file(worker: placement.Worker) -> None:
    for index in worker.classes:
        index.update(worker)


def _is_usable(worker: placement.Worker) -> bool:
    return worker.connected and not worker.leaving


def _is_worth_asking(worker: placement.Worker, before: float) -> bool:
    return (
        _is_usable(worker)
        and not worker.running
        and worker.credits < worker.slots
        and worker.heard_at <= before
        and worker.asked_at <= before
    )
