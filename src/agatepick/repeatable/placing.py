"""Placement of waiting tasks on workers, and requests for more capacity.

Load pattern: more tasks than fit, of different sizes, in several pools.
A task is assigned only when a worker has free capacity for it, so a straggler
or a wrong estimate delays one slot and no queue behind it.  For tasks without
capacity the entry sends the agents a request with the urgency of the first
task, and they reserve released capacity for the most urgent entry
(:mod:`~agatepick.repeatable.sharing`).
"""

import dataclasses
import itertools
import math

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import estimating
from agatepick.repeatable import jobs
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool
from agatepick.repeatable import spreading
from agatepick import types

WANT_REPEAT_SECONDS = 0.25
"""Pause before an entry repeats its capacity request; agents drop a request
after four times that."""

URGENCY_CHANGE_SECONDS = 0.05
"""Time by which the latest start of the most urgent task must be earlier than
in the last capacity request for another request to be sent at once: short wide
jobs have a slack of 0.13 s in all."""

MIN_WANT_INTERVAL_SECONDS = 0.03
"""Shortest pause between two capacity requests to a pool."""

NO_AGENTS: frozenset[types.PeerName] = frozenset()

MAX_BLOCKED_JOBS = 24
"""Number of jobs without capacity after which a placement round ends for their
pool: otherwise a queue of hundreds would be searched at each message, and an
entry with half a core spent all its time on that."""

MAX_UNPLACED_SHAPES = 64
"""Number of tasks of different needs without capacity after which a placement
round ends for their pool: each of them is compared with all workers, and all
later tasks with each of them."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobFault:
    """A job whose tasks can't be placed, as an exception was raised."""

    job: owned_jobs.OwnedJob
    error: Exception


class Placing:
    """Starts and capacity requests of one entry."""

    def __init__(
        self, workers: pool.Pool, estimator: estimating.Estimator
    ) -> None:
        self._pool = workers
        self._estimator = estimator
        self._starts: dict[types.PeerName, list[messages.RunSpec]] = {}
        self._payloads: dict[types.PeerName, list[messages.Payload]] = {}
        self._open_grants: dict[types.PeerName, messages.Room] = {}
        self._last_wants: dict[str, _LastWant] = {}
        self._faults: list[JobFault] = []

    def store_room(self, worker: pool.Worker, room: messages.Room) -> None:
        """Store an agent's capacity update, which may contain a grant."""
        if room.grant:
            self._open_grants[worker.name] = room
        worker.update_room(room)

    @property
    def has_unanswered_grants(self) -> bool:
        """Whether an agent reserves capacity until this entry answers."""
        return bool(self._open_grants)

    def forget(self, name: types.PeerName) -> None:
        """Drop the grant of an agent whose connection ended."""
        self._open_grants.pop(name, None)

    def place(
        self, waiting: list[owned_jobs.OwnedJob], now: float
    ) -> list[object]:
        """Start the tasks that fit, the most urgent first.

        Capacity is requested for the tasks that don't fit.  Jobs that can't
        be placed, as an exception was raised, are left to :meth:`pop_faults`.

        :param waiting: jobs with waiting tasks, the most urgent first.
        """
        current = _Round(self._pool, now)
        self._place_jobs(waiting, current)
        wants = current.build_wants()
        effects = self._send_starts(wants, current)
        for name, want in wants.items():
            effects += self._send_want(name, want, now)
        # No task waits for the other pools any more.  Their agents get no
        # message: an agent with a grant for this entry receives the entry's
        # answer, and the others drop the request after a while.
        for name, last_want in self._last_wants.items():
            if name not in wants:
                self._last_wants[name] = dataclasses.replace(
                    last_want, latest_start=math.inf
                )
        return effects

    def pop_faults(self) -> list[JobFault]:
        """Return the jobs that failed since the last call.

        They are to be ended once the effects have been executed, which may
        start some of their tasks.
        """
        faults, self._faults = self._faults, []
        return faults

    def _place_jobs(
        self, waiting: list[owned_jobs.OwnedJob], current: '_Round'
    ) -> None:
        for job in waiting:
            if job.spec.route.pool in current.exhausted_pools:
                continue
            try:
                self._place_job(job, current)
            except Exception as exc:
                self._faults.append(JobFault(job, exc))

    def _place_job(self, job: owned_jobs.OwnedJob, current: '_Round') -> None:
        """Assign the tasks of one job that fit; the others wait.

        No capacity is requested for tasks that wait for the end of a run of
        their own step: they couldn't use it.
        """
        spread = spreading.Spread(job)
        records, tasks = job.records, job.spec.tasks
        # Task for which no worker at all has room: its siblings aren't tried.
        # Tasks of a step share one object of their needs.
        unplaced: jobs.Task | None = None
        without_room: list[int] = []
        deferred: list[int] = []
        held: list[int] = []
        while job.waiting:
            index = job.waiting.popleft()
            if current.now < records[index].retry_at:
                deferred.append(index)
                continue
            full = spread.full_agents(index) if spread.limited else NO_AGENTS
            if full and current.are_all_full(job, index, full):
                held.append(index)
                continue
            task = tasks[index]
            if (
                unplaced is not None
                and task.needs is unplaced.needs
                and task.label == unplaced.label
            ):
                without_room.append(index)
                continue
            worker = current.pick(job, index, full)
            if worker is None:
                without_room.append(index)
                if not full and not records[index].agents_to_avoid:
                    unplaced = task
                continue
            self._assign(job, index, worker, current.now)
            spread.add(index, worker.name)
        job.waiting.extend(without_room)
        job.waiting.extend(deferred)
        job.waiting.extend(held)
        if without_room:
            current.add_demand(job, [*without_room, *deferred])

    def _assign(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        worker: pool.Worker,
        now: float,
    ) -> None:
        task = job.spec.tasks[index]
        record = job.records[index]
        # An exception of the estimate must leave no run that is never sent.
        expected = estimate_run_seconds(self._estimator, job, index)
        record.state = owned_jobs.TaskState.PLACED
        record.agent = worker.name
        record.run += 1
        record.placed_at = now
        record.stopping = False
        job.mark_started(now)
        worker.reserve((job.spec.key, index), record.run, task.needs)
        if job.spec.key not in worker.payload_cache:
            worker.payload_cache.add(job.spec.key, job.spec.payload)
            self._payloads.setdefault(worker.name, []).append(
                messages.Payload(job.spec.key, job.spec.payload)
            )
        self._starts.setdefault(worker.name, []).append(
            messages.RunSpec(
                job.spec.key,
                index,
                record.run,
                task.name,
                task.needs,
                expected,
            )
        )

    def _send_starts(
        self, wants: dict[str, messages.Want], current: '_Round'
    ) -> list[object]:
        effects: list[object] = []
        for name in dict.fromkeys([*self._starts, *self._open_grants]):
            worker = self._pool.get(name)
            if worker is None:
                continue
            worker.last_start_number += 1
            grant = self._open_grants.pop(name, None)
            want = wants.get(worker.pool, messages.NO_WANT)
            if name not in self._starts and current.is_limited(worker.pool):
                # The agent would grant the same unused capacity once more, at
                # once and without end.
                want = messages.NO_WANT
            effects.append(
                core.Send(
                    name,
                    messages.StartRuns(
                        worker.last_start_number,
                        grant.grant if grant else 0,
                        tuple(self._starts.get(name, ())),
                        want,
                        tuple(self._payloads.get(name, ())),
                    ),
                )
            )
            if grant is not None:
                # The agent gives the unused part of a grant to other entries,
                # so this entry must not use it.
                worker.mark_full()
        self._starts.clear()
        self._payloads.clear()
        return effects

    def _send_want(
        self, name: str, want: messages.Want, now: float
    ) -> list[object]:
        """Send a pool's agents the capacity request, if it is due."""
        last_want = self._last_wants.get(name)
        latest_start = now + want.slack
        if last_want is not None and not last_want.is_due(latest_start, now):
            return []
        self._last_wants[name] = _LastWant(now, latest_start)
        return [
            core.Send(worker.name, want)
            for worker in self._pool
            if worker.connected and worker.pool == name
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class _LastWant:
    """Last capacity request that a pool's agents received.

    :param sent_at: instant at which it was sent.
    :param latest_start: latest start of the most urgent task; infinite once
        no task waits.
    """

    sent_at: float
    latest_start: float

    def is_due(self, latest_start: float, now: float) -> bool:
        """Return whether to send a request again.

        :param latest_start: latest start of the most urgent task that waits
            now.
        """
        if now >= self.sent_at + WANT_REPEAT_SECONDS:
            return True
        more_urgent = latest_start < self.latest_start - URGENCY_CHANGE_SECONDS
        return more_urgent and now >= self.sent_at + MIN_WANT_INTERVAL_SECONDS


def estimate_run_seconds(
    estimator: estimating.Estimator, job: owned_jobs.OwnedJob, index: int
) -> float:
    """Return the expected seconds of one task's run."""
    task = job.spec.tasks[index]
    siblings = job.run_seconds.get(task.step, [])
    return estimator.estimate_run(job.spec, task, siblings)


@dataclasses.dataclass(frozen=True, slots=True)
class _Unplaced:
    """Needs of a task that fit no worker in this round.

    :param excluded: agents that were left out.
    """

    needs: types.Needs
    excluded: frozenset[types.PeerName]


@dataclasses.dataclass(slots=True)
class _Demand:
    """Tasks of one pool without capacity.

    :ivar least: needs of the smallest task that fits an empty worker, or of
        the smallest one if none does: agents grant no capacity in which this
        task doesn't fit.
    :ivar least_rank: sort key of that task.
    :ivar latest_start: latest start of the most urgent job.
    :ivar limited: whether a job may use only some of the workers.
    """

    job_count: int = 0
    task_count: int = 0
    least: types.Needs = types.Needs()
    least_rank: tuple[bool, float] = (True, math.inf)
    total: types.Needs = types.Needs()
    latest_start: float = math.inf
    limited: bool = False


class _Round:
    """State of one placement round.

    Capacity only shrinks within a round: a task that needs no less than one
    which fitted no worker isn't tried.

    :ivar exhausted_pools: pools of which no more jobs are tried.
    """

    def __init__(self, workers: pool.Pool, now: float) -> None:
        self.now = now
        self.exhausted_pools: set[str] = set()
        self._workers = workers
        self._candidates: dict[tuple[str, str], pool.Candidates] = {}
        self._unplaced: dict[tuple[str, str], list[_Unplaced]] = {}
        self._shape_counts: dict[str, int] = {}
        self._demands: dict[str, _Demand] = {}
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
        worker = candidates.pick(task.needs, excluded)
        if worker is None:
            self._record_unplaced(job, index, excluded)
        return worker

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

    def add_demand(self, job: owned_jobs.OwnedJob, indexes: list[int]) -> None:
        """Add the tasks of a job for which there is no capacity."""
        demand = self._demands.setdefault(job.spec.route.pool, _Demand())
        demand.job_count += 1
        if demand.job_count >= MAX_BLOCKED_JOBS:
            self.exhausted_pools.add(job.spec.route.pool)
        demand.latest_start = min(demand.latest_start, job.latest_start)
        demand.limited = demand.limited or bool(job.spec.worker_limits)
        # Tasks of a step share their needs.
        all_needs = [job.spec.tasks[index].needs for index in indexes]
        for needs, tasks in itertools.groupby(all_needs):
            count = sum(1 for _ in tasks)
            demand.task_count += count
            demand.total = demand.total + needs.times(count)
            rank = (not self._fits_any(job, needs), needs.cpu)
            if rank < demand.least_rank:
                demand.least, demand.least_rank = needs, rank

    def build_wants(self) -> dict[str, messages.Want]:
        """Return the capacity request for each pool without capacity."""
        return {
            name: messages.Want(
                demand.task_count,
                demand.least,
                demand.latest_start - self.now,
                demand.total,
            )
            for name, demand in self._demands.items()
        }

    def is_limited(self, pool_name: str) -> bool:
        """Return whether a pool's tasks include some that not all may get."""
        demand = self._demands.get(pool_name)
        return demand is not None and demand.limited

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
