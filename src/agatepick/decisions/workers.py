"""The workers that an entry can use, with the slots it may fill at each.

For every class of task an index holds the workers that serve it and those
with a free slot, so that neither admission nor placement searches all
workers.
"""

import dataclasses
import math
import typing

from agatepick.decisions import admission
from agatepick.decisions import outliers
from agatepick.decisions import placement
from agatepick.net import messages
from agatepick import types

DISCONNECTED_EXPIRY_SECONDS = 600.0
"""Time since its last message after which a disconnected worker is removed."""
MAX_CLASSES = 2048
"""Largest number of indexed classes of task.  Callers choose the kinds of
their tasks, so memory needs a bound."""

SEARCHES_PER_PAUSE = 5
"""Number of searches for agents to request slots from, in the least time
between two requests to one agent."""


@dataclasses.dataclass(frozen=True, slots=True)
class AgentInfo:
    """The name, location and process incarnation of an agent."""

    name: str
    incarnation: int
    zone: str
    rack: str


class Workers:
    """The workers of all agents that have sent an offer.

    :param uses_leases: whether only leased slots may be filled; otherwise all
        slots of each worker.
    :param ejection: standings of the agents, by which some are ejected.
    :ivar limit: number of slots that may be filled, on all workers.
    :ivar running: number of filled slots, on all workers.
    :ivar slots: number of slots of all usable workers, including those
        leased to other entries.
    """

    def __init__(self, uses_leases: bool, ejection: outliers.Outliers) -> None:
        self._uses_leases = uses_leases
        self._outliers = ejection
        self._workers: dict[str, placement.Worker] = {}
        self._indexes: dict[placement.Requirement, placement.ClassIndex] = {}
        self._shares: dict[str, float] = {}
        self._canonical: dict[types.Needs, types.Needs] = {}
        self._next_search_at = 0.0
        self.limit = 0
        self.running = 0
        self.slots = 0

    def apply_offer(
        self, info: AgentInfo, offer: messages.Offer, now: float
    ) -> None:
        """Apply an offer, which replaces the earlier state of its agent."""
        worker = self._workers.get(info.name)
        if worker is not None and worker.incarnation != info.incarnation:
            self._remove(worker)
            worker = None
        if worker is None:
            worker = placement.Worker(
                info.name, info.incarnation, info.zone, info.rack
            )
            self._workers[info.name] = worker
            self._outliers.add(info.name)
            self._remove_expired(now)
        self._update_offer(worker, offer)
        worker.connected = True
        worker.last_message_at = now
        self._update_limit(worker)

    def set_credits(self, agent: str, credits: int, now: float) -> None:
        """Set the number of an agent's slots that are leased to this entry."""
        worker = self._workers.get(agent)
        if worker is None:
            return
        worker.last_message_at = now
        if worker.credits != credits:
            worker.credits = credits
            self._update_limit(worker)

    def mark_disconnected(self, agent: str) -> None:
        """Fill no slot of an agent until its next offer."""
        worker = self._workers.get(agent)
        if worker is not None:
            worker.connected = False
            self._update_limit(worker)

    def update_limit(self, agent: str) -> None:
        """Update the limit of an agent's worker after its standing changed."""
        worker = self._workers.get(agent)
        if worker is not None:
            self._update_limit(worker)

    def prepare(
        self, zone_share: typing.Callable[[str], float], now: float
    ) -> None:
        """Update all limits before a round of placements.

        They change with the zones' shares and when an ejection expires.

        :param zone_share: part of a zone's slots that may be filled, 0 to 1.
        """
        changed = set()
        for zone, share in self._shares.items():
            new_share = zone_share(zone)
            if new_share != share:
                self._shares[zone] = new_share
                changed.add(zone)
        if changed:
            for worker in self._workers.values():
                if worker.zone in changed:
                    self._update_limit(worker)
        for agent in self._outliers.start_trials(now):
            self.update_limit(agent)

    def fill_slot(self, worker: placement.Worker) -> None:
        """Count one more slot of a worker as filled."""
        worker.running += 1
        self.running += 1
        if worker.running >= worker.limit:
            _update_indexes(worker)

    def free_slot(self, agent: str) -> None:
        """Count one more slot of an agent's worker as free."""
        worker = self._workers.get(agent)
        if worker is None or not worker.running:
            return
        worker.running -= 1
        self.running -= 1
        if not worker.running:
            worker.release_all()
        if worker.running + 1 >= worker.limit:
            _update_indexes(worker)

    def release(self, agent: str, needs: types.Needs) -> None:
        """Release a task's resources at an agent's worker."""
        worker = self._workers.get(agent)
        if worker is not None:
            worker.release(needs)

    def record_start(self, agent: str, now: float) -> int:
        """Record a start message, which carries this entry's demand.

        :returns: the incarnation of the agent.
        """
        worker = self._workers[agent]
        worker.demand_sent_at = now
        return worker.incarnation

    def mark_agents_to_ask(
        self,
        requirements: typing.Iterable[placement.Requirement],
        now: float,
        pause: float,
    ) -> list[str]:
        """Record and return the agents to request slots from.

        These have slots that aren't leased to this entry, run none of its
        tasks, and have exchanged no message with it for ``pause``.

        :param pause: least seconds between two messages to one agent.
        """
        if now < self._next_search_at:
            return []
        self._next_search_at = now + pause / SEARCHES_PER_PAUSE
        names = []
        for requirement in requirements:
            for worker in self.get_index(requirement).serving_workers.values():
                if _is_worth_asking(worker, now - pause):
                    worker.demand_sent_at = now
                    names.append(worker.name)
        return names

    def classify(
        self, job: types.JobSpec, task: types.TaskSpec
    ) -> placement.Requirement:
        """Return the class of a task.

        The task's needs are rounded up to the smallest of the worker
        capacities that they fit into.  The same workers serve the rounded
        needs, and tasks of slightly different needs share a class.
        """
        needs = task.needs
        if needs != _NO_NEEDS:
            canonical = self._canonical.get(needs)
            needs = self._round_up(needs) if canonical is None else canonical
        return placement.Requirement(task.kind, needs, job.zones)

    def get_index(
        self, requirement: placement.Requirement
    ) -> placement.ClassIndex:
        """Return the index of the workers that serve a class of task."""
        index = self._indexes.get(requirement)
        if index is None:
            index = self._create_index(requirement)
        return index

    def get_pool(
        self, requirements: typing.Iterable[placement.Requirement]
    ) -> frozenset[str]:
        """Return the names of the workers that serve any of the classes."""
        pools = [
            self.get_index(requirement).get_pool()
            for requirement in requirements
        ]
        return pools[0] if len(pools) == 1 else frozenset().union(*pools)

    def sum_slots(self, pool: frozenset[str]) -> tuple[int, int, int]:
        """Return the slot counts of the workers in a pool.

        :returns: slots that this entry may fill, the free ones of these, and
            all slots of usable workers.
        """
        limit = free = slots = 0
        for name in pool:
            worker = self._workers.get(name)
            if worker is not None and worker.limit:
                limit += worker.limit
                free += max(0, worker.limit - worker.running)
            if worker is not None and _is_usable(worker):
                slots += worker.slots
        return limit, free, slots

    def find_refusal(
        self,
        requirement: placement.Requirement,
        zones_open: typing.Callable[[str], bool],
    ) -> admission.Refusal | None:
        """Return why no worker can run a class of task, or ``None``."""
        serving_workers = self.get_index(requirement).serving_workers.values()
        if any(zones_open(worker.zone) for worker in serving_workers):
            return None
        if serving_workers:
            return admission.refuse_closed_zones()
        if not self._workers:
            return admission.refuse_no_workers()
        same_kind = [
            worker
            for worker in self._workers.values()
            if requirement.kind in worker.kinds
        ]
        if not same_kind:
            return admission.refuse_unknown_kind(requirement.kind)
        if any(
            requirement.needs.fits(worker.capacity) for worker in same_kind
        ):
            return admission.refuse_unknown_zone(
                requirement.zones, requirement.kind
            )
        return admission.refuse_too_large(requirement.needs)

    def _update_offer(
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
        worker.release_all()
        self._canonical.clear()
        for index in self._indexes.values():
            index.remove(worker)
        worker.indexes = []
        for index in self._indexes.values():
            self._add_to_index(worker, index)

    def _update_limit(self, worker: placement.Worker) -> None:
        old_limit = worker.limit
        worker.limit = self._compute_limit(worker)
        self.limit += worker.limit - old_limit
        usable = worker.slots if _is_usable(worker) else 0
        self.slots += usable - worker.usable
        worker.usable = usable
        _update_indexes(worker)

    def _compute_limit(self, worker: placement.Worker) -> int:
        share = self._shares[worker.zone]
        standing = self._outliers.get_standing(worker.name)
        worker.on_trial = standing is outliers.Standing.TRIAL
        if not _is_usable(worker) or share <= 0.0:
            return 0
        if standing is outliers.Standing.EJECTED:
            return 0
        slots = worker.credits if self._uses_leases else worker.slots
        if worker.on_trial:
            return min(1, slots)
        if share < 1.0:
            return min(slots, math.ceil(share * worker.slots))
        return slots

    def _create_index(
        self, requirement: placement.Requirement
    ) -> placement.ClassIndex:
        if len(self._indexes) >= MAX_CLASSES:
            self._drop_indexes()
        index = placement.ClassIndex(requirement)
        self._indexes[requirement] = index
        for worker in self._workers.values():
            self._add_to_index(worker, index)
        return index

    def _drop_indexes(self) -> None:
        self._indexes.clear()
        for worker in self._workers.values():
            worker.indexes = []

    def _add_to_index(
        self, worker: placement.Worker, index: placement.ClassIndex
    ) -> None:
        if worker.serves(index.requirement):
            index.add(worker)
            worker.indexes.append(index)

    def _round_up(self, needs: types.Needs) -> types.Needs:
        fitting = [
            worker.capacity
            for worker in self._workers.values()
            if needs.fits(worker.capacity)
        ]
        rounded = needs
        if fitting:
            rounded = types.Needs(
                min(capacity.cpu for capacity in fitting),
                min(capacity.memory_mb for capacity in fitting),
                needs.accelerators,
            )
        if len(self._canonical) >= MAX_CLASSES:
            self._canonical.clear()
        self._canonical[needs] = rounded
        return rounded

    def _remove(self, worker: placement.Worker) -> None:
        for index in worker.indexes:
            index.remove(worker)
        self.limit -= worker.limit
        self.slots -= worker.usable
        self.running -= worker.running
        self._canonical.clear()
        del self._workers[worker.name]

    def _remove_expired(self, now: float) -> None:
        expired = [
            worker
            for worker in self._workers.values()
            if not worker.connected
            and worker.last_message_at < now - DISCONNECTED_EXPIRY_SECONDS
            and worker.last_message_at
        ]
        for worker in expired:
            self._remove(worker)
            self._outliers.remove(worker.name)


_NO_NEEDS = types.Needs()


def _update_indexes(worker: placement.Worker) -> None:
    for index in worker.indexes:
        index.update(worker)


def _is_usable(worker: placement.Worker) -> bool:
    return worker.connected and not worker.leaving


def _is_worth_asking(worker: placement.Worker, cutoff: float) -> bool:
    return (
        _is_usable(worker)
        and not worker.running
        and worker.credits < worker.slots
        and worker.last_message_at <= cutoff
        and worker.demand_sent_at <= cutoff
    )
