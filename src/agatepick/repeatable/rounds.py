"""One placement round: which worker gets each waiting task, if any.

Load pattern: hundreds of tasks wait, of different sizes and in several pools.
Values that are the same for all tasks of a round are computed once, and the
number of tasks that are compared with all workers is bounded.
"""

import dataclasses
import functools

from agatepick import core
from agatepick.repeatable import estimating
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool
from agatepick.repeatable import spreading
from agatepick.repeatable import suspects
from agatepick.repeatable import wants
from agatepick import types

MAX_BLOCKED_JOBS = 24
"""Number of jobs without capacity after which a placement round ends for their
pool: otherwise a queue of hundreds would be searched at each message, and an
entry with half a core spent all its time on that."""

MAX_UNPLACED_SHAPES = 64
"""Number of tasks of different needs without capacity after which a placement
round ends for their pool: each of them is compared with all workers, and all
later tasks with each of them."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Unplaced:
    """Needs of a task that fit no worker in this round.

    :param excluded: agents that were left out.
    """

    needs: types.Needs
    excluded: frozenset[types.PeerName]


class Round:
    """State of one placement round.

    Capacity only shrinks within a round: a task that needs no less than one
    which fitted no worker isn't tried.

    :ivar exhausted_pools: pools of which no more jobs are tried.
    :ivar notes: notes on tasks that wait although a worker has room.
    """

    def __init__(
        self,
        workers: pool.Pool,
        estimator: estimating.Estimator,
        suspected: suspects.Suspects,
        now: float,
    ) -> None:
        self.now = now
        self.exhausted_pools: set[str] = set()
        self.notes: list[object] = []
        self._workers = workers
        self._estimator = estimator
        self._suspects = suspected
        self._candidates: dict[tuple[str, str], pool.Candidates] = {}
        self._unplaced: dict[tuple[str, str], list[_Unplaced]] = {}
        self._shape_counts: dict[str, int] = {}
        self._demands: dict[str, list[wants.Demand]] = {}
        self._limited_pools: set[str] = set()
        self._fits: dict[tuple[str, types.Needs], bool] = {}

    def pick(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        full: frozenset[types.PeerName],
    ) -> pool.Worker | None:
        """Return the worker for a task, or ``None`` if there is none.

        :param full: agents that may get no more tasks of this step.
        """
        task = job.spec.tasks[index]
        candidates = self._get_candidates(job, task.label)
        to_avoid = job.records[index].agents_to_avoid
        if to_avoid and all(
            worker.name in to_avoid or worker.name in full
            for worker in candidates.workers
        ):
            to_avoid = frozenset()
        excluded = to_avoid | full if full else to_avoid
        if not self._is_worth_trying(job, index, excluded):
            return None
        demand = self._build_demand(job, index, candidates)
        occupied = self._suspects.find_occupied()
        worker = candidates.pick(task.needs, excluded | occupied, demand)
        if worker is None and occupied:
            worker = candidates.pick(task.needs, excluded, demand)
        if worker is None and candidates.held_back:
            self._note_held_back(job, index)
        elif worker is None:
            self._record_unplaced(job, index, excluded)
        return worker

    def may_start(self, job: owned_jobs.OwnedJob, index: int) -> bool:
        """Return whether a task may be started, by the crashes under it."""
        return self._suspects.may_start((job.spec.key, index), self.now)

    def is_suspect(self, job: owned_jobs.OwnedJob, index: int) -> bool:
        """Return whether workers crashed under a task."""
        return self._suspects.is_suspect((job.spec.key, index))

    def pick_apart(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        full: frozenset[types.PeerName],
    ) -> pool.Worker | None:
        """Return the worker for a suspect, apart from other suspects.

        :param full: as for :meth:`pick`.
        """
        task = job.spec.tasks[index]
        crashed = self._suspects.find_crashed((job.spec.key, index))
        return self._get_candidates(job, task.label).pick_emptiest(
            task.needs,
            job.records[index].agents_to_avoid | crashed,
            self._suspects.find_occupied() | full,
        )

    def has_room(self, job: owned_jobs.OwnedJob, index: int) -> bool:
        """Return whether any worker has room for a task."""
        task = job.spec.tasks[index]
        candidates = self._get_candidates(job, task.label)
        return candidates.pick(task.needs, spreading.NO_AGENTS) is not None

    def are_all_full(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        full: frozenset[types.PeerName],
    ) -> bool:
        """Return whether no agent may get more tasks of a task's step."""
        label = job.spec.tasks[index].label
        return all(
            worker.name in full
            for worker in self._get_candidates(job, label).workers
        )

    def find_crowded(
        self, job: owned_jobs.OwnedJob, index: int
    ) -> frozenset[types.PeerName]:
        """Return the agents that get no more tasks of wide jobs."""
        label = job.spec.tasks[index].label
        return frozenset(
            worker.name
            for worker in self._get_candidates(job, label).workers
            if worker.is_crowded
        )

    def add_demand(self, job: owned_jobs.OwnedJob, indexes: list[int]) -> None:
        """Add the tasks of a job for which there is no capacity."""
        pool_name = job.spec.route.pool
        demands = self._demands.setdefault(pool_name, [])
        demands.append(
            wants.Demand.from_job(
                job,
                indexes,
                self._compute_limit(job, indexes[0]),
                functools.partial(self._fits_any, job),
            )
        )
        if len(demands) >= MAX_BLOCKED_JOBS:
            self.exhausted_pools.add(pool_name)
        if job.spec.worker_limits:
            self._limited_pools.add(pool_name)

    def build_wants(self) -> dict[str, wants.Wants]:
        """Return the capacity requests for each pool without capacity."""
        return {
            name: wants.Wants(demands, self.now)
            for name, demands in self._demands.items()
        }

    def is_limited(self, pool_name: str) -> bool:
        """Return whether a pool's tasks include some that not all may get."""
        return pool_name in self._limited_pools

    def _compute_limit(self, job: owned_jobs.OwnedJob, index: int) -> float:
        """Return the slowness up to which workers suit a waiting task."""
        task = job.spec.tasks[index]
        candidates = self._get_candidates(job, task.label)
        return candidates.compute_limit(
            task.needs,
            job.records[index].agents_to_avoid,
            self._build_demand(job, index, candidates),
        )

    def _build_demand(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        candidates: pool.Candidates,
    ) -> pool.Demand | None:
        """Return the time that a task needs and has, if that matters.

        The time left to one of several steps isn't known, so its tasks wait
        for no faster worker than is free.
        """
        if not candidates.weighs_time:
            return None
        expected = estimating.estimate_run_seconds(self._estimator, job, index)
        if len(job.spec.after) > 1:
            return pool.Demand(expected, 0.0)
        ends_at = job.objective_ends_at
        if job.run_seconds:
            # Finished siblings show the job's run time better than the
            # estimate at its arrival did.
            slack = job.spec.route.slack(expected)
            ends_at = job.arrived_at + slack + expected
        return pool.Demand(expected, ends_at - self.now)

    def _note_held_back(self, job: owned_jobs.OwnedJob, index: int) -> None:
        """Note once that a job waits although a slow worker has room."""
        if job.held_back:
            return
        job.held_back = True
        self.notes.append(
            core.note(
                'job_held_back',
                job=job.spec.key,
                queue=job.spec.route.name,
                index=index,
            )
        )

    def _fits_any(self, job: owned_jobs.OwnedJob, needs: types.Needs) -> bool:
        """Return whether some worker of a job's pool is large enough."""
        pool_name = job.spec.route.pool
        key = (pool_name, needs)
        if key not in self._fits:
            self._fits[key] = any(
                worker.pool == pool_name
                and worker.room is not None
                and needs.fits(worker.room.capacity)
                for worker in self._workers
            )
        return self._fits[key]

    def _get_candidates(
        self, job: owned_jobs.OwnedJob, label: str
    ) -> pool.Candidates:
        key = (job.spec.route.pool, label)
        if key not in self._candidates:
            self._candidates[key] = self._workers.candidates(*key, self.now)
        return self._candidates[key]

    def _is_worth_trying(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        excluded: frozenset[types.PeerName],
    ) -> bool:
        pool_name, task = job.spec.route.pool, job.spec.tasks[index]
        if self._shape_counts.get(pool_name, 0) >= MAX_UNPLACED_SHAPES:
            return False
        return not any(
            unplaced.needs.fits(task.needs) and unplaced.excluded <= excluded
            for unplaced in self._unplaced.get((pool_name, task.label), ())
        )

    def _record_unplaced(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        excluded: frozenset[types.PeerName],
    ) -> None:
        pool_name, task = job.spec.route.pool, job.spec.tasks[index]
        count = self._shape_counts.get(pool_name, 0)
        self._shape_counts[pool_name] = count + 1
        self._unplaced.setdefault((pool_name, task.label), []).append(
            _Unplaced(task.needs, excluded)
        )
