"""Jobs that an entry owns: the state of each task, and the waiting order.

Jobs wait in order of their latest start, the instant at which a job must start
to end within its objective: short urgent jobs overtake long ones that can
still wait, and a long one advances as its latest start approaches.  Jobs that
have started precede all that have not: a job is answered only when its last
task ends, and the work of its first tasks is wasted if that is late.  Jobs of
a queue over its share (:mod:`~agatepick.repeatable.shares`) come last.
"""

import bisect
import collections
import dataclasses
import enum

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import jobs
from agatepick.repeatable import shares
from agatepick import types

SortKey = tuple[bool, bool, float]
"""Whether no task has started, whether the queue is over its share, and the
latest start.  A wide job sorts like one over its share."""

WIDE_TASKS = 256
"""Number of tasks from which a job is wide: it takes what others leave, as
its tasks would keep all workers for seconds."""


class TaskState(enum.Enum):
    """State of one task.

    ``BLOCKED`` tasks wait for earlier steps, ``WAITING`` ones for capacity;
    ``PLACED`` ones have a run that may be going on.
    """

    BLOCKED = 'blocked'
    WAITING = 'waiting'
    PLACED = 'placed'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, slots=True)
class LeftRun:
    """Run that a move of its task left.

    :param seconds: time that it had taken.
    :param charged: core-seconds that the move was charged.
    """

    run: int
    seconds: float
    charged: float


@dataclasses.dataclass(frozen=True, slots=True)
class CountedRun:
    """Run that was counted as long by itself before it finished.

    :param has_siblings: whether its expected time was that of siblings.
    :param ratio: ratio to its expected time that it was counted with.
    """

    run: int
    has_siblings: bool
    ratio: float


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """Record of one task of an owned job.

    :ivar run: number of its last run.
    :ivar failure_count: number of runs that failed.
    :ivar agents_to_avoid: agents at which the task failed or was slow.
    :ivar stopping: whether a stop was sent for its run.
    :ivar move_count: times that a slow run was moved to another worker.
    :ivar moved_without_proof: whether a move left a worker that wasn't proven
        to be the cause.
    :ivar left_run: run that the last move left, until its outcome is known.
    :ivar declined_run: number of the last run whose move was declined.
    :ivar counted_run: last run that was counted before it finished.
    :ivar weigh_at: instant from which a move is weighed again.
    :ivar refusal_count: number of starts that workers refused.
    :ivar retry_at: instant from which it may be sent to a worker again.
    """

    state: TaskState = TaskState.BLOCKED
    agent: types.PeerName = ''
    run: int = 0
    failure_count: int = 0
    placed_at: float = 0.0
    stopping: bool = False
    move_count: int = 0
    moved_without_proof: bool = False
    left_run: LeftRun | None = None
    declined_run: int = 0
    counted_run: CountedRun | None = None
    weigh_at: float = 0.0
    refusal_count: int = 0
    retry_at: float = 0.0
    agents_to_avoid: frozenset[types.PeerName] = frozenset()


class OwnedJob:
    """One job until it is answered and all its runs have ended.

    :ivar latest_start: instant at which the job must start to meet its
        objective.
    :ivar objective_ends_at: instant at which the job must end to meet its
        objective, by its expected run time.
    :ivar wide: whether it takes what other jobs leave.
    :ivar urgent_from: instant by which its tasks are placed among others.
    :ivar started_at: instant at which its first task was sent to a worker.
    :ivar check_at: instant of the next check for stragglers.
    :ivar calls: requests that wait for its answer; more than one if a caller
        submitted the job again.
    :ivar open_task_count: number of tasks that haven't finished.
    :ivar over_share: whether its queue was over its share on admission.
    :ivar fit_unknown: whether no worker of its pool was known when it came.
    :ivar run_seconds: run times of finished tasks by step, as they would be
        at a typical worker.
    :ivar held_back: whether a task waited for a faster worker than was free.
    :ivar elsewhere: whether another entry has had it, so that its tasks may
        have run there.
    :ivar former_entries: addresses of entries that have it no longer.
    """

    def __init__(
        self,
        call: int,
        spec: jobs.Job,
        now: float,
        latest_start: float,
        expected_seconds: float,
    ) -> None:
        self.calls = [call]
        self.spec = spec
        self.arrived_at = now
        self.latest_start = latest_start
        self.wide = is_wide(spec)
        self.urgent_from = compute_urgent_from(spec, latest_start)
        self.objective_ends_at = latest_start + expected_seconds
        self.records = [TaskRecord() for _ in spec.tasks]
        self.waiting: collections.deque[int] = collections.deque()
        self.started_at: float | None = None
        self.answered = False
        self.over_share = False
        self.fit_unknown = False
        self.check_at = 0.0
        self.open_task_count = len(spec.tasks)
        self.run_seconds: dict[int, list[float]] = {}
        self.held_back = False
        self.elsewhere = False
        self.former_entries: set[str] = set()
        # Tasks of a step share one object of their needs.
        self._are_alike = len({id(task.needs) for task in spec.tasks}) == 1
        self._open_by_step = [0] * len(spec.after)
        for task in spec.tasks:
            self._open_by_step[task.step] += 1

    @property
    def started(self) -> bool:
        """Whether any task may have started at the request of this entry."""
        return self.started_at is not None

    @property
    def may_have_run(self) -> bool:
        """Whether any task may have started, here or at another entry."""
        return self.started or self.elsewhere

    def mark_started(self, now: float) -> None:
        """Record that one of its tasks is sent to a worker."""
        if self.started_at is None:
            self.started_at = now
        self.check_at = 0.0

    def ref(self, index: int) -> messages.RunRef:
        """Return the reference to the last run of a task."""
        return messages.RunRef(self.spec.key, index, self.records[index].run)

    def queue_ready_tasks(self) -> bool:
        """Queue tasks whose earlier steps have ended.

        :returns: whether any task was queued.
        """
        queued_any = False
        for index, record in enumerate(self.records):
            if record.state is not TaskState.BLOCKED:
                continue
            step = self.spec.tasks[index].step
            if any(
                self._open_by_step[other] for other in self.spec.after[step]
            ):
                continue
            record.state = TaskState.WAITING
            self.waiting.append(index)
            queued_any = True
        return queued_any

    def take_back(self, index: int, agent: types.PeerName, run: int) -> bool:
        """Take back a run that was never sent, as if it had not been placed.

        :returns: whether this was the task's last run.
        """
        record = self.records[index]
        if (
            record.state is not TaskState.PLACED
            or record.agent != agent
            or record.run != run
        ):
            return False
        record.run -= 1
        if not any(other.run for other in self.records):
            self.started_at = None
        return True

    def requeue(self, index: int) -> None:
        """Queue a task again whose run has ended, before its siblings."""
        record = self.records[index]
        record.state = TaskState.WAITING
        record.agent = ''
        record.stopping = False
        self.waiting.appendleft(index)

    def mark_finished(self, index: int, seconds: float) -> None:
        """Record that a task finished."""
        self.records[index].state = TaskState.ENDED
        self.records[index].agent = ''
        step = self.spec.tasks[index].step
        self.run_seconds.setdefault(step, []).append(seconds)
        self._open_by_step[step] -= 1
        self.open_task_count -= 1
        # The expected run time of the other tasks of this step has changed, so
        # their runs are checked for stragglers again.
        self.check_at = 0.0

    def sum_waiting_cores(self) -> float:
        """Return the cores that its waiting tasks need."""
        if self._are_alike:
            return len(self.waiting) * self.spec.tasks[0].needs.cpu
        return sum(self.spec.tasks[index].needs.cpu for index in self.waiting)

    def get_last_sent_at(self) -> float | None:
        """Return when the last task was sent, or ``None`` if not all were."""
        if any(record.run == 0 for record in self.records):
            return None
        return max(record.placed_at for record in self.records)

    def compute_longest_run(self) -> float:
        """Return the longest run time of the finished tasks."""
        longest_runs = [max(seconds) for seconds in self.run_seconds.values()]
        return max(longest_runs, default=0.0)

    def started_late(self) -> bool:
        """Return whether only queueing made a finished job miss its objective.

        The objective is computed from the job's actual run times.  A job with
        a lost or moved run returns false, since its delay isn't due to the
        queue.
        """
        last_sent_at = self.get_last_sent_at()
        if last_sent_at is None or any(
            record.run > 1 for record in self.records
        ):
            return False
        return last_sent_at > self.arrived_at + self.spec.route.slack(
            self.compute_longest_run()
        )

    def placed_indexes(self) -> list[int]:
        """Return the indexes of tasks with a run that may be going on."""
        return [
            index
            for index, record in enumerate(self.records)
            if record.state is TaskState.PLACED
        ]


class Jobs:
    """All jobs that an entry owns, until their runs have ended too."""

    def __init__(self) -> None:
        self._by_key: dict[types.JobKey, OwnedJob] = {}

    def get(self, key: types.JobKey) -> OwnedJob | None:
        """Return a job by its key."""
        return self._by_key.get(key)

    def add(self, job: OwnedJob) -> None:
        """Add an admitted job."""
        self._by_key[job.spec.key] = job

    def remove_if_ended(self, job: OwnedJob) -> None:
        """Remove a job if it is answered and all its runs have ended."""
        if not job.answered or job.placed_indexes():
            return
        if self._by_key.get(job.spec.key) is job:
            del self._by_key[job.spec.key]

    def open_jobs(self) -> list[OwnedJob]:
        """Return the jobs whose callers wait for an answer, each once."""
        return [job for job in self._by_key.values() if not job.answered]


class WaitingQueue:
    """Queue of jobs with waiting tasks: started ones, then by latest start.

    Load pattern: more work than the workers can do, in jobs of several tasks.
    By latest start alone, a wide job that has started would wait for its last
    slots behind each job that is more urgent by a millisecond, and both would
    be late.
    """

    def __init__(self, queue_shares: shares.Shares | None = None) -> None:
        self._shares = queue_shares or shares.Shares(enabled=False)
        self._jobs: list[OwnedJob] = []
        self._queued: set[types.JobKey] = set()

    def __bool__(self) -> bool:
        return bool(self._jobs)

    def add(self, job: OwnedJob) -> None:
        """Queue a job, unless it is queued already."""
        if job.spec.key in self._queued:
            return
        self._queued.add(job.spec.key)
        self._jobs.append(job)

    def in_order(self) -> list[OwnedJob]:
        """Return the jobs with waiting tasks, the first to be placed first."""
        if any(job.answered or not job.waiting for job in self._jobs):
            self._jobs = [
                job for job in self._jobs if job.waiting and not job.answered
            ]
            self._queued = {job.spec.key for job in self._jobs}
        # The list is nearly sorted from the last call, which makes sorting
        # fast.
        self._jobs.sort(key=self.sort_key)
        return self._jobs

    def list_up_to(self, key: SortKey) -> list[OwnedJob]:
        """Return the jobs up to a position, the first to be placed first."""
        in_order = self.in_order()
        count = bisect.bisect_right(in_order, key, key=self.sort_key)
        return in_order[:count]

    def sort_key(self, job: OwnedJob) -> SortKey:
        """Return the position of a job in the order."""
        if job.started and not job.wide:
            return False, False, job.latest_start
        last = job.wide or self._shares.is_over(job.spec.route.name)
        return True, last, job.urgent_from

    def sort_key_of(self, spec: jobs.Job, latest_start: float) -> SortKey:
        """Return the position of a job of which no task has started.

        Wide jobs, and those of a queue over its share, wait after the others.
        """
        last = is_wide(spec) or self._shares.is_over(spec.route.name)
        return True, last, compute_urgent_from(spec, latest_start)


def is_wide(spec: jobs.Job) -> bool:
    """Return whether a job has so many tasks that it takes what is left."""
    return len(spec.tasks) >= WIDE_TASKS


def compute_urgent_from(spec: jobs.Job, latest_start: float) -> float:
    """Return the instant by which a job's tasks are placed among others."""
    return spec.deadline if is_wide(spec) else latest_start


def stop_runs(job: OwnedJob, indexes: list[int]) -> list[object]:
    """Mark runs of a job as stopping, and return the stop messages.

    :param indexes: indexes of the tasks whose runs to stop.
    """
    by_agent: dict[types.PeerName, list[messages.RunRef]] = {}
    for index in indexes:
        record = job.records[index]
        record.stopping = True
        by_agent.setdefault(record.agent, []).append(job.ref(index))
    return [
        core.Send(agent, messages.StopRuns(tuple(refs)))
        for agent, refs in by_agent.items()
    ]


def sum_held_cores(open_jobs: list[OwnedJob]) -> dict[str, float]:
    """Return the cores that the runs of each queue hold."""
    held: dict[str, float] = collections.defaultdict(float)
    for job in open_jobs:
        for index in job.placed_indexes():
            held[job.spec.route.name] += job.spec.tasks[index].needs.cpu
    return dict(held)
