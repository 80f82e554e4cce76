"""Which worker a task goes to.

Load pattern: short tasks with different needs, on workers that several
entries share.  Without late binding to leased slots a task queues behind a
straggler while other slots idle; without the resource check the agent
refuses the start; with all tasks of a job in one rack, that rack's loss
takes the whole job.

Slots of one speed are equal, so among workers with a free leased slot the
choice is free, and goes by: a worker on trial first (its probe is what lets
it back), no accelerator wasted on a task that needs none, the rack with the
fewest tasks of the job, then the worker with most free slots, which leaves
each worker something for the next job's spread.  At most
:data:`LOOKED_AT` workers are compared: eight give nearly the spread of
all of them, at a cost that doesn't grow with their number.

The other policies are baselines, kept to be measured against.
"""

import dataclasses
import random
import typing

from agatepick import types

LOOKED_AT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Requirement:
    """What a class of tasks demands of a worker.

    :param zones: availability zones allowed; empty for any.
    """

    kind: str
    needs: types.Needs
    zones: tuple[str, ...]


class Worker:
    """What an entry knows of one worker and its own use of it.

    :ivar usable: slots counted as usable, whoever leases them.
    :ivar limit: slots that this entry may fill now.
    :ivar running: slots that this entry fills.
    :ivar cpu_left: cores that this entry's own tasks leave; likewise
        ``memory_left`` and ``accelerators_left``.
    """

    __slots__ = (
        'name',
        'incarnation',
        'zone',
        'rack',
        'kinds',
        'capacity',
        'cpu_left',
        'memory_left',
        'accelerators_left',
        'slots',
        'usable',
        'credits',
        'running',
        'limit',
        'connected',
        'leaving',
        'trial',
        'heard_at',
        'asked_at',
        'classes',
    )

    def __init__(
        self, name: str, incarnation: int, zone: str, rack: str
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.zone = zone
        self.rack = rack
        self.kinds: frozenset[str] = frozenset()
        self.capacity = types.Needs()
        self.cpu_left = 0.0
        self.memory_left = 0
        self.accelerators_left = 0
        self.slots = 0
        self.usable = 0
        self.credits = 0
        self.running = 0
        self.limit = 0
        self.connected = False
        self.leaving = False
        self.trial = False
        self.heard_at = 0.0
        self.asked_at = 0.0
        self.classes: list['ClassIndex'] = []

    def serves(self, requirement: Requirement) -> bool:
        """Whether such tasks can ever run here."""
        if requirement.zones and self.zone not in requirement.zones:
            return False
        if requirement.kind not in self.kinds:
            return False
        return requirement.needs.fits(self.capacity)

    def take(self, needs: types.Needs) -> None:
        """Count a task's resources as used."""
        self.cpu_left -= needs.cpu
        self.memory_left -= needs.memory_mb
        self.accelerators_left -= needs.accelerators

    def give_back(self, needs: types.Needs) -> None:
        """Undo :meth:`take`, but never beyond the capacity."""
        capacity = self.capacity
        self.cpu_left = min(self.cpu_left + needs.cpu, capacity.cpu)
        self.memory_left = min(
            self.memory_left + needs.memory_mb, capacity.memory_mb
        )
        self.accelerators_left = min(
            self.accelerators_left + needs.accelerators,
            capacity.accelerators,
        )

    def give_all_back(self) -> None:
        """Nothing of ours runs: whatever was counted wrongly is mended."""
        self.cpu_left = self.capacity.cpu
        self.memory_left = self.capacity.memory_mb
        self.accelerators_left = self.capacity.accelerators

    def has_left(self, needs: types.Needs) -> bool:
        """Whether a task's needs fit beside this entry's other tasks."""
        return (
            needs.cpu <= self.cpu_left
            and needs.memory_mb <= self.memory_left
            and needs.accelerators <= self.accelerators_left
        )


class PlacementPolicy(typing.Protocol):
    """Chooses among workers that have a free slot and fit the task."""

    leased: bool
    """Whether slots are those leased; else all that aren't known taken."""

    def choose(
        self,
        workers: typing.Sequence[Worker],
        racks: typing.Mapping[str, int],
        requirement: Requirement,
    ) -> Worker:
        """One of ``workers``, of which there is at least one.

        :param workers: at most :data:`LOOKED_AT`, from a random place on.
        :param racks: tasks of the same job already placed, by rack.
        """
        ...


class LeasedSlots:
    """The policy in use: leased slots, spread over racks."""

    leased = True

    def choose(
        self,
        workers: typing.Sequence[Worker],
        racks: typing.Mapping[str, int],
        requirement: Requirement,
    ) -> Worker:
        """The best of them; see the module's text."""
        plain = not requirement.needs.accelerators
        best = workers[0]
        least = float('inf')
        for worker in workers:
            score = 64.0 * racks.get(worker.rack, 0)
            score += worker.running - worker.limit
            if plain and worker.capacity.accelerators:
                score += 1e6
            if worker.trial:
                score -= 1e9
            if score < least:
                least = score
                best = worker
        return best


class RandomWorker:
    """Baseline: any worker with a slot not known to be taken."""

    leased = False

    def choose(
        self,
        workers: typing.Sequence[Worker],
        racks: typing.Mapping[str, int],
        requirement: Requirement,
    ) -> Worker:
        """The first, as they come in random order."""
        return workers[0]


class LeastKnownLoad:
    """Baseline: the worker least loaded as far as this entry knows."""

    leased = False

    def choose(
        self,
        workers: typing.Sequence[Worker],
        racks: typing.Mapping[str, int],
        requirement: Requirement,
    ) -> Worker:
        """The first with the fewest of this entry's tasks."""
        return min(workers, key=_known_load)


class TwoProbes:
    """Baseline: the less loaded of two random workers."""

    leased = False

    def choose(
        self,
        workers: typing.Sequence[Worker],
        racks: typing.Mapping[str, int],
        requirement: Requirement,
    ) -> Worker:
        """The better of the first two, which come in random order."""
        return min(workers[:2], key=_known_load)


POLICIES: dict[str, type[PlacementPolicy]] = {
    'leased-slots': LeasedSlots,
    'random-worker': RandomWorker,
    'least-known-load': LeastKnownLoad,
    'two-probes': TwoProbes,
}
DEFAULT_POLICY = 'leased-slots'


class ClassIndex:
    """The workers that serve one class of tasks, and those with a free slot.

    Kept up to date as slots are taken and freed, so that a placement
    doesn't search all workers for each task.
    """

    __slots__ = ('requirement', 'serving', 'free', '_where', '_pool')

    def __init__(self, requirement: Requirement) -> None:
        self.requirement = requirement
        self.serving: dict[str, Worker] = {}
        self.free: list[Worker] = []
        self._where: dict[str, int] = {}
        self._pool: frozenset[str] | None = None

    def pool(self) -> frozenset[str]:
        """Names of the workers that serve the class."""
        if self._pool is None:
            self._pool = frozenset(self.serving)
        return self._pool

    def add(self, worker: Worker) -> None:
        """Take a worker that serves the class."""
        self.serving[worker.name] = worker
        self._pool = None
        self.update(worker)

    def update(self, worker: Worker) -> None:
        """File a worker under free or not, as its counters say."""
        if worker.running < worker.limit:
            if worker.name not in self._where:
                self._where[worker.name] = len(self.free)
                self.free.append(worker)
        elif worker.name in self._where:
            self._remove(worker.name)

    def remove(self, worker: Worker) -> None:
        """Forget a worker that no longer serves the class."""
        self.serving.pop(worker.name, None)
        self._pool = None
        if worker.name in self._where:
            self._remove(worker.name)

    def pick(
        self,
        policy: PlacementPolicy,
        needs: types.Needs,
        excluded: frozenset[str],
        urgent: bool,
        racks: typing.Mapping[str, int],
        rng: random.Random,
    ) -> Worker | None:
        """The worker for one task of the class, or ``None`` if none fits.

        A worker on trial isn't tried with urgent work.
        """
        if not self.free:
            return None
        if not excluded and not urgent and needs == _NO_NEEDS:
            some = _some(self.free, rng)
            return policy.choose(some, racks, self.requirement)
        fit = _fitting(_some(self.free, rng), needs, excluded, urgent)
        if not fit and len(self.free) > LOOKED_AT:
            fit = _fitting(self.free, needs, excluded, urgent)
        return policy.choose(fit, racks, self.requirement) if fit else None

    def _remove(self, name: str) -> None:
        at = self._where.pop(name)
        last = self.free.pop()
        if last.name != name:
            self.free[at] = last
            self._where[last.name] = at


_NO_NEEDS = types.Needs()


def _fitting(
    workers: typing.Sequence[Worker],
    needs: types.Needs,
    excluded: frozenset[str],
    urgent: bool,
) -> list[Worker]:
    return [
        worker
        for worker in workers
        if worker.has_left(needs)
        and worker.name not in excluded
        and not (urgent and worker.trial)
    ]


def _some(
    workers: typing.Sequence[Worker], rng: random.Random
) -> typing.Sequence[Worker]:
    number = len(workers)
    if number == 1:
        return workers
    first = int(rng.random() * number)
    some = workers[first : first + LOOKED_AT]
    if len(some) < LOOKED_AT and first:
        return [*some, *workers[: min(first, LOOKED_AT - len(some))]]
    return some


def _known_load(worker: Worker) -> int:
    return worker.running
