"""Selection of the worker for a task.

Load pattern: short tasks with different needs, on workers that several
entries share.  Without late binding to leased slots a task queues behind a
straggler while other slots idle; without the resource check the agent
refuses the start; with all tasks of a job in one rack, the loss of that rack
fails the whole job.

Slots of one speed are equivalent, so workers with a free leased slot are
compared by these criteria, in order: a worker on trial is preferred, since
only a probe can readmit it; a worker with accelerators is avoided for a task
that needs none; the rack with the fewest tasks of the job is preferred, then
the worker with most free slots, which leaves capacity on each worker for
spreading the next job.  At most :data:`MAX_COMPARED_WORKERS` workers are
compared: eight give nearly the spread of all of them, at a cost that doesn't
grow with their number.

The other policies are baselines for comparison.
"""

import dataclasses
import random
import typing

from agatepick import types

MAX_COMPARED_WORKERS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Requirement:
    """The requirement of a class of tasks on a worker.

    :param kind: kind of task that the worker must serve.
    :param needs: resources of one task.
    :param zones: availability zones allowed; empty for any.
    """

    kind: str
    needs: types.Needs
    zones: tuple[str, ...]


class Worker:
    """An entry's view of one worker and of its own use of it.

    :ivar usable: slots of the worker if it accepts tasks, else 0; those
        leased to other entries count as well.
    :ivar limit: slots that this entry may fill now.
    :ivar running: slots that this entry fills.
    :ivar free_cpu: cores that this entry's own tasks don't use; likewise
        ``free_memory`` and ``free_accelerators``.
    :ivar on_trial: whether only probes after an ejection may start.
    :ivar last_message_at: instant of the last message from its agent.
    :ivar demand_sent_at: instant of the last message to its agent that
        contained the demand of this entry.
    :ivar indexes: indexes of the classes of task that it serves.
    """

    __slots__ = (
        'name',
        'incarnation',
        'zone',
        'rack',
        'kinds',
        'capacity',
        'free_cpu',
        'free_memory',
        'free_accelerators',
        'slots',
        'usable',
        'credits',
        'running',
        'limit',
        'connected',
        'leaving',
        'on_trial',
        'last_message_at',
        'demand_sent_at',
        'indexes',
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
        self.free_cpu = 0.0
        self.free_memory = 0
        self.free_accelerators = 0
        self.slots = 0
        self.usable = 0
        self.credits = 0
        self.running = 0
        self.limit = 0
        self.connected = False
        self.leaving = False
        self.on_trial = False
        self.last_message_at = 0.0
        self.demand_sent_at = 0.0
        self.indexes: list['ClassIndex'] = []

    def serves(self, requirement: Requirement) -> bool:
        """Return whether tasks of a class can run on this worker."""
        if requirement.zones and self.zone not in requirement.zones:
            return False
        if requirement.kind not in self.kinds:
            return False
        return requirement.needs.fits(self.capacity)

    def acquire(self, needs: types.Needs) -> None:
        """Subtract a task's needs from the free resources."""
        self.free_cpu -= needs.cpu
        self.free_memory -= needs.memory_mb
        self.free_accelerators -= needs.accelerators

    def release(self, needs: types.Needs) -> None:
        """Add a task's needs to the free resources, up to the capacity."""
        capacity = self.capacity
        self.free_cpu = min(self.free_cpu + needs.cpu, capacity.cpu)
        self.free_memory = min(
            self.free_memory + needs.memory_mb, capacity.memory_mb
        )
        self.free_accelerators = min(
            self.free_accelerators + needs.accelerators,
            capacity.accelerators,
        )

    def release_all(self) -> None:
        """Reset the free resources to the capacity.

        This corrects counting errors while none of this entry's tasks runs.
        """
        self.free_cpu = self.capacity.cpu
        self.free_memory = self.capacity.memory_mb
        self.free_accelerators = self.capacity.accelerators

    def has_free(self, needs: types.Needs) -> bool:
        """Return whether a task's needs fit into the free resources."""
        return (
            needs.cpu <= self.free_cpu
            and needs.memory_mb <= self.free_memory
            and needs.accelerators <= self.free_accelerators
        )


class PlacementPolicy(typing.Protocol):
    """A choice among workers that have a free slot and fit the task."""

    uses_leases: bool
    """Whether only leased slots are used; otherwise all slots of a worker."""

    def choose(
        self,
        workers: typing.Sequence[Worker],
        racks: typing.Mapping[str, int],
        requirement: Requirement,
    ) -> Worker:
        """Return one of the workers.

        :param workers: 1 to :data:`MAX_COMPARED_WORKERS` candidates, starting
            at a random position of the list of free workers.
        :param racks: number of placed tasks of the same job, by rack.
        :param requirement: class of the task.
        """
        ...


class LeasedSlots:
    """The default policy: leased slots, spread over racks."""

    uses_leases = True

    def choose(
        self,
        workers: typing.Sequence[Worker],
        racks: typing.Mapping[str, int],
        requirement: Requirement,
    ) -> Worker:
        """Return the best worker by the criteria of this module."""
        needs_none = not requirement.needs.accelerators
        best = workers[0]
        best_score = float('inf')
        for worker in workers:
            score = 64.0 * racks.get(worker.rack, 0)
            score += worker.running - worker.limit
            if needs_none and worker.capacity.accelerators:
                score += 1e6
            if worker.on_trial:
                score -= 1e9
            if score < best_score:
                best_score = score
                best = worker
        return best


class RandomWorker:
    """A baseline: a random worker that this entry's tasks don't fill."""

    uses_leases = False

    def choose(
        self,
        workers: typing.Sequence[Worker],
        racks: typing.Mapping[str, int],
        requirement: Requirement,
    ) -> Worker:
        """Return the first worker, as the sequence starts at a random one."""
        return workers[0]


class LeastKnownLoad:
    """A baseline: the worker with the fewest tasks of this entry."""

    uses_leases = False

    def choose(
        self,
        workers: typing.Sequence[Worker],
        racks: typing.Mapping[str, int],
        requirement: Requirement,
    ) -> Worker:
        """Return the worker with the fewest tasks; of several, the first."""
        return min(workers, key=_get_own_load)


class TwoProbes:
    """A baseline: the less loaded of two random workers."""

    uses_leases = False

    def choose(
        self,
        workers: typing.Sequence[Worker],
        racks: typing.Mapping[str, int],
        requirement: Requirement,
    ) -> Worker:
        """Return the less loaded of the first two workers."""
        return min(workers[:2], key=_get_own_load)


POLICIES: dict[str, type[PlacementPolicy]] = {
    'leased-slots': LeasedSlots,
    'random-worker': RandomWorker,
    'least-known-load': LeastKnownLoad,
    'two-probes': TwoProbes,
}
DEFAULT_POLICY = 'leased-slots'


class ClassIndex:
    """An index of the workers that serve one class of tasks.

    It tracks which of them have a free slot, so that a placement doesn't
    search all workers for each task.

    :ivar serving_workers: all workers that serve the class, by name.
    :ivar free_workers: those of them that have a free slot.
    """

    __slots__ = (
        'requirement',
        'serving_workers',
        'free_workers',
        '_free_positions',
        '_pool',
    )

    def __init__(self, requirement: Requirement) -> None:
        self.requirement = requirement
        self.serving_workers: dict[str, Worker] = {}
        self.free_workers: list[Worker] = []
        self._free_positions: dict[str, int] = {}
        self._pool: frozenset[str] | None = None

    def get_pool(self) -> frozenset[str]:
        """Return the names of the workers that serve the class."""
        if self._pool is None:
            self._pool = frozenset(self.serving_workers)
        return self._pool

    def add(self, worker: Worker) -> None:
        """Add a worker that serves the class."""
        self.serving_workers[worker.name] = worker
        self._pool = None
        self.update(worker)

    def update(self, worker: Worker) -> None:
        """Update the index after a worker's ``running`` or ``limit`` changed.

        The worker has a free slot while ``running`` is below ``limit``.
        """
        if worker.running < worker.limit:
            if worker.name not in self._free_positions:
                self._free_positions[worker.name] = len(self.free_workers)
                self.free_workers.append(worker)
        elif worker.name in self._free_positions:
            self._remove_free(worker.name)

    def remove(self, worker: Worker) -> None:
        """Remove a worker that no longer serves the class."""
        self.serving_workers.pop(worker.name, None)
        self._pool = None
        if worker.name in self._free_positions:
            self._remove_free(worker.name)

    def pick(
        self,
        policy: PlacementPolicy,
        needs: types.Needs,
        excluded: frozenset[str],
        urgent: bool,
        racks: typing.Mapping[str, int],
        rng: random.Random,
    ) -> Worker | None:
        """Return the worker for one task, or ``None`` if none fits.

        Workers on trial are excluded for urgent tasks.

        :param excluded: names of agents that refused the task.
        :param urgent: whether the task is urgent.
        :param racks: number of placed tasks of the same job, by rack.
        """
        if not self.free_workers:
            return None
        if not excluded and not urgent and needs == _NO_NEEDS:
            sample = _sample(self.free_workers, rng)
            return policy.choose(sample, racks, self.requirement)
        eligible = _filter_eligible(
            _sample(self.free_workers, rng), needs, excluded, urgent
        )
        if not eligible and len(self.free_workers) > MAX_COMPARED_WORKERS:
            eligible = _filter_eligible(
                self.free_workers, needs, excluded, urgent
            )
        return (
            policy.choose(eligible, racks, self.requirement)
            if eligible
            else None
        )

    def _remove_free(self, name: str) -> None:
        position = self._free_positions.pop(name)
        last = self.free_workers.pop()
        if last.name != name:
            self.free_workers[position] = last
            self._free_positions[last.name] = position


_NO_NEEDS = types.Needs()


def _filter_eligible(
    workers: typing.Sequence[Worker],
    needs: types.Needs,
    excluded: frozenset[str],
    urgent: bool,
) -> list[Worker]:
    return [
        worker
        for worker in workers
        if worker.has_free(needs)
        and worker.name not in excluded
        and not (urgent and worker.on_trial)
    ]


def _sample(
    workers: typing.Sequence[Worker], rng: random.Random
) -> typing.Sequence[Worker]:
    count = len(workers)
    if count == 1:
        return workers
    first = int(rng.random() * count)
    sample = workers[first : first + MAX_COMPARED_WORKERS]
    if len(sample) < MAX_COMPARED_WORKERS and first:
        return [
            *sample,
            *workers[: min(first, MAX_COMPARED_WORKERS - len(sample))],
        ]
    return sample


def _get_own_load(worker: Worker) -> int:
    return worker.running
