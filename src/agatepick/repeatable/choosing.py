"""Choice of a worker by whether a task is expected to end in time there.

Load pattern: workers of several kinds, the slowest of which take twice as long
as the fastest, and jobs that may take 1.6 times their work and 60 ms more.  On
a slow worker a long task is late even if it starts at once, while a short one
is in time.  If the fastest free worker were always taken, short tasks would
fill the fast workers, and tasks that are in time nowhere else would wait for
them, be late on slow workers or be refused while the slow ones stand idle.

A task goes to a worker where it is expected to end in time: the fastest while
fast workers have room, the slowest once their room is scarce.  A task that
would be late on each free worker waits for a faster one as long as it has time
left, and is then started on the fastest free worker.
"""

import bisect
import dataclasses
import math
import random
import statistics
import typing

from agatepick.repeatable import estimating
from agatepick.repeatable import pool
from agatepick import types

MIN_UNEVENNESS = 1.25
"""Ratio of the slowest worker's usual run time to that of the fastest from
which speeds matter: the estimates of two dozen equal workers, each within a
twentieth, differ by a fifth."""

SCARCE_SHARE = 0.2
"""Share of the fast workers' cores that are free below which slow workers are
preferred: above it a burst of tasks that need fast workers still finds
room."""

HOLD_RATIO = 1.05
"""Time left, as a multiple of what the task needs at the fastest worker, down
to which it waits for a worker where it is in time.  Less left would be used up
by the messages; a job that hasn't started is refused at a multiple of 1 of
what it needs at a typical worker."""

RUN_MARGIN = 1.1
"""Factor on expected run times where a worker must be in time: they are wrong
by a factor, and a late answer on a slow worker costs its caller most."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Option:
    """A worker, with what doesn't change during a round.

    :param rank_fast: steps by which it is ranked if fast workers come first.
    :param rank_slow: the same if slow ones come first.
    """

    slowness: float
    worker: pool.Worker
    capacity: float
    rank_fast: int
    rank_slow: int

    @classmethod
    def from_worker(cls, worker: pool.Worker) -> '_Option':
        assert worker.room is not None
        slowness, cost = worker.slowness, worker.cost
        per_unit = pool.COST_STEPS_PER_UNIT
        return cls(
            slowness,
            worker,
            worker.room.capacity.cpu or 1.0,
            int(cost * slowness * per_unit),
            int(cost * per_unit) - int(slowness * per_unit),
        )


class Candidates(pool.Candidates):
    """Workers for tasks of one pool and label, by usual speed as well."""

    def __init__(self, workers: list[pool.Worker], rng: random.Random) -> None:
        super().__init__(workers, rng)
        self._options = sorted(
            map(_Option.from_worker, self.workers), key=_get_slowness
        )
        self._slownesses = [option.slowness for option in self._options]
        self.weighs_time = _is_uneven(self._slownesses)
        if not self.weighs_time:
            return
        self._round_trip = statistics.median(
            worker.round_trip_seconds for worker in self.workers
        )
        self._min_cores = min(option.capacity for option in self._options)
        self._scarce = _is_scarce(self._options)
        # Cores of the smallest task that was not placed, by the number of
        # workers that were suitable for it.
        self._min_unplaced_cpu: dict[int, float] = {}

    def compute_limit(
        self,
        needs: types.Needs,
        agents_to_avoid: frozenset[types.PeerName],
        demand: pool.Demand | None,
    ) -> float:
        """Return the slowness up to which workers are suitable for a task."""
        if demand is None or not self.weighs_time:
            return math.inf
        expected = max(
            demand.expected_seconds, estimating.MIN_EXPECTED_SECONDS
        )
        limit = (demand.seconds_left - self._round_trip) / expected
        fastest = self._slownesses[0]
        if agents_to_avoid or needs.cpu > self._min_cores:
            fastest = self._find_fastest(needs, agents_to_avoid)
        if limit < HOLD_RATIO * fastest:
            return math.inf
        return max(limit / RUN_MARGIN, fastest)

    def pick(
        self,
        needs: types.Needs,
        agents_to_avoid: frozenset[types.PeerName],
        demand: pool.Demand | None = None,
    ) -> pool.Worker | None:
        """Return the worker for a task, or ``None`` if it should wait."""
        self.held_back = False
        if not self.weighs_time:
            return super().pick(needs, agents_to_avoid)
        limit = self.compute_limit(needs, agents_to_avoid, demand)
        count = bisect.bisect_right(self._slownesses, limit)
        if not agents_to_avoid and needs.cpu >= self._min_unplaced_cpu.get(
            count, math.inf
        ):
            self.held_back = True
            return None
        prefer_slow = self._scarce and limit < math.inf
        best = self._pick_among(count, needs, agents_to_avoid, prefer_slow)
        if best is None and count < len(self._options):
            self.held_back = any(
                self._has_room(option.worker, needs, agents_to_avoid)
                for option in self._options[count:]
            )
            if self.held_back and not agents_to_avoid:
                self._min_unplaced_cpu[count] = needs.cpu
        return best

    def _find_fastest(
        self, needs: types.Needs, agents_to_avoid: frozenset[types.PeerName]
    ) -> float:
        """Return the slowness of the fastest worker that may take a task."""
        for option in self._options:
            worker = option.worker
            if worker.name in agents_to_avoid or worker.room is None:
                continue
            if needs.fits(worker.room.capacity):
                return option.slowness
        return math.inf

    def _pick_among(
        self,
        count: int,
        needs: types.Needs,
        agents_to_avoid: frozenset[types.PeerName],
        prefer_slow: bool,
    ) -> pool.Worker | None:
        """Return the best of the fastest workers.

        :param count: number of these.
        """
        best: pool.Worker | None = None
        best_rank: tuple[int, float] | None = None
        for option in self._options[:count]:
            worker = option.worker
            free_cores = worker.free.cpu
            if needs.cpu > free_cores or not self._has_room(
                worker, needs, agents_to_avoid
            ):
                continue
            steps = option.rank_slow if prefer_slow else option.rank_fast
            if free_cores < pool.MIN_SPARE_TASKS * needs.cpu:
                steps += pool.NEARLY_FULL_STEPS
            # As for workers of one kind: the emptier first, with jitter.
            jitter = self._rng.random() * pool.EMPTINESS_JITTER
            rank = (steps, jitter - free_cores / option.capacity)
            if best_rank is None or rank < best_rank:
                best, best_rank = worker, rank
        return best

    def _has_room(
        self,
        worker: pool.Worker,
        needs: types.Needs,
        agents_to_avoid: frozenset[types.PeerName],
    ) -> bool:
        return (
            needs.fits(worker.free)
            and worker.name not in agents_to_avoid
            and self._takes_more(worker)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity of the workers that are suitable for a job.

    :param free_cores: cores that are free now.
    :param share: this entry's share of the cores, in cores of a typical
        worker, which release a task's cores after its expected time.
    :param part: suitable part of the share in all healthy workers.
    """

    free_cores: float
    share: float
    part: float


def measure_capacity(
    workers: typing.Sequence[pool.Worker], demand: pool.Demand | None
) -> Capacity:
    """Return the capacity of the healthy workers that are suitable for a job.

    A job that would be late on all of them is judged by all.

    :param workers: usable workers.
    :param demand: the job's longest chain of work, and the time until it
        should have ended; ``None`` to count all workers.
    """
    median = pool.compute_median_cost(list(workers))
    healthy = [worker for worker in workers if pool.is_healthy(worker, median)]
    suitable = healthy
    if demand is not None:
        suitable = [
            worker
            for worker in healthy
            if demand.expected_seconds * worker.slowness <= demand.seconds_left
        ]
    everything = _sum_capacity(healthy, 0.0)
    if not suitable or len(suitable) == len(healthy):
        return everything
    return _sum_capacity(suitable, everything.share)


def _sum_capacity(workers: list[pool.Worker], whole: float) -> Capacity:
    free_cores, share = 0.0, 0.0
    for worker in workers:
        if worker.room is None:
            continue
        cores = worker.room.capacity.cpu / worker.slowness
        free_cores += worker.free.cpu
        share += cores / max(1, worker.room.entries)
    return Capacity(free_cores, share, share / whole if whole else 1.0)


def _get_slowness(option: _Option) -> float:
    return option.slowness


def _is_uneven(slownesses: list[float]) -> bool:
    if len(slownesses) < 2:
        return False
    return slownesses[-1] >= MIN_UNEVENNESS * slownesses[0]


def _is_scarce(options: list[_Option]) -> bool:
    """Return whether fast workers have little room left."""
    fast = [option for option in options if option.slowness <= 1.0]
    free_cores = sum(max(0.0, option.worker.free.cpu) for option in fast)
    return free_cores < SCARCE_SHARE * sum(option.capacity for option in fast)
