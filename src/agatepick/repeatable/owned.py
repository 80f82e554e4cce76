"""The jobs that an entry owns: each task's runs, and the order of waiting.

Jobs wait by their latest start, the instant at which a job must begin to end
within its objective: short urgent tasks pass long ones that can still wait,
and a long one passes as its time comes.  A job that has begun goes before
all that have not: only its last task's end answers it, and what its first
tasks took is lost if that comes late.
"""

import collections
import dataclasses
import enum

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import jobs
from agatepick import types


class TaskState(enum.Enum):
    """Where one task stands."""

    BLOCKED = 'blocked'
    WAITING = 'waiting'
    PLACED = 'placed'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """One task of an owned job.

    :ivar run: number of its last run.
    :ivar failures: runs that ended as failed.
    :ivar avoid: agents at which it failed or was late.
    :ivar stopping: its run was told to end.
    :ivar refusals: starts that workers wouldn't take.
    :ivar rests_until: when it may be sent to a worker again.
    """

    state: TaskState = TaskState.BLOCKED
    agent: types.PeerName = ''
    run: int = 0
    failures: int = 0
    placed_at: float = 0.0
    stopping: bool = False
    moves: int = 0
    refusals: int = 0
    rests_until: float = 0.0
    avoid: frozenset[types.PeerName] = frozenset()


class OwnedJob:
    """One job until its answer is given, and until its runs are over.

    :ivar latest: instant at which it must begin to end in its objective.
    :ivar ends_by: end of its objective, by its expected seconds.
    :ivar begun_at: when its first task was sent to a worker.
    :ivar look_at: when to look for runs that take too long.
    :ivar calls: requests that wait for its answer; more than one if a caller
        handed it in again.
    """

    def __init__(
        self,
        call: int,
        spec: jobs.Job,
        now: float,
        latest: float,
        expected: float,
    ) -> None:
        self.calls = [call]
        self.spec = spec
        self.arrived_at = now
        self.latest = latest
        self.ends_by = latest + expected
        self.records = [TaskRecord() for _ in spec.tasks]
        self.waiting: collections.deque[int] = collections.deque()
        self.begun_at: float | None = None
        self.answered = False
        self.look_at = 0.0
        self.open = len(spec.tasks)
        self.seconds: dict[int, list[float]] = {}
        self._left = [0] * len(spec.after)
        for task in spec.tasks:
            self._left[task.step] += 1

    @property
    def begun(self) -> bool:
        """Whether any task may have started."""
        return self.begun_at is not None

    def begin(self, now: float) -> None:
        """A task of it is sent to a worker."""
        if self.begun_at is None:
            self.begun_at = now
        self.look_at = 0.0

    def ref(self, index: int) -> messages.RunRef:
        """Names the last run of a task."""
        return messages.RunRef(self.spec.key, index, self.records[index].run)

    def release(self) -> bool:
        """Let tasks wait whose earlier steps have ended; whether any did."""
        released = False
        for index, record in enumerate(self.records):
            if record.state is not TaskState.BLOCKED:
                continue
            step = self.spec.tasks[index].step
            if any(self._left[one] for one in self.spec.after[step]):
                continue
            record.state = TaskState.WAITING
            self.waiting.append(index)
            released = True
        return released

    def wait_again(self, index: int) -> None:
        """A task whose run is over waits once more, before its siblings."""
        record = self.records[index]
        record.state = TaskState.WAITING
        record.agent = ''
        record.stopping = False
        self.waiting.appendleft(index)

    def end(self, index: int, seconds: float) -> None:
        """A task has ended well."""
        self.records[index].state = TaskState.ENDED
        self.records[index].agent = ''
        step = self.spec.tasks[index].step
        self.seconds.setdefault(step, []).append(seconds)
        self._left[step] -= 1
        self.open -= 1
        # Its siblings' run times are known better now.
        self.look_at = 0.0

    def last_start(self) -> float | None:
        """When the last of its tasks was sent to a worker, once all were."""
        if any(record.run == 0 for record in self.records):
            return None
        return max(record.placed_at for record in self.records)

    def slowest(self) -> float:
        """Seconds of the longest run that has ended well."""
        found = [max(seconds) for seconds in self.seconds.values()]
        return max(found, default=0.0)

    def began_late(self) -> bool:
        """Whether waiting alone kept a job that is done from its objective.

        By the run times that it turned out to have; a job of which a run was
        lost or moved tells nothing of the queue.
        """
        started = self.last_start()
        if started is None or any(one.run > 1 for one in self.records):
            return False
        return started > self.arrived_at + self.spec.route.slack(
            self.slowest()
        )

    def placed(self) -> list[int]:
        """Tasks with a run that isn't known to be over."""
        return [
            index
            for index, record in enumerate(self.records)
            if record.state is TaskState.PLACED
        ]


class Jobs:
    """All jobs that an entry owns, until their runs are over too."""

    def __init__(self) -> None:
        self._by_key: dict[types.JobKey, OwnedJob] = {}

    def get(self, key: types.JobKey) -> OwnedJob | None:
        """A job by its key."""
        return self._by_key.get(key)

    def add(self, job: OwnedJob) -> None:
        """A job was let in."""
        self._by_key[job.spec.key] = job

    def forget(self, job: OwnedJob) -> None:
        """Drop a job, if it is answered and all its runs are over."""
        if not job.answered or job.placed():
            return
        if self._by_key.get(job.spec.key) is job:
            del self._by_key[job.spec.key]

    def open(self) -> list[OwnedJob]:
        """Jobs whose callers wait, each once."""
        return [job for job in self._by_key.values() if not job.answered]


class Waiting:
    """Jobs with waiting tasks: those that have begun, then by latest start.

    Load pattern: more work than the workers can do, in jobs of several
    tasks.  By latest start alone a wide job that has begun waits for its
    last places behind each that is more urgent by a millisecond, and both
    are late.
    """

    def __init__(self) -> None:
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
        """All jobs with waiting tasks, first those that go first."""
        if any(job.answered or not job.waiting for job in self._jobs):
            self._jobs = [
                job for job in self._jobs if job.waiting and not job.answered
            ]
            self._queued = {job.spec.key for job in self._jobs}
        # Nearly in order from the last time, which sorting makes use of.
        self._jobs.sort(key=_place)
        return self._jobs


def _place(job: OwnedJob) -> tuple[bool, float]:
    return not job.begun, job.latest


def stop_runs(job: OwnedJob, indexes: list[int]) -> list[object]:
    """Tell agents to end the runs of some of a job's tasks."""
    by_agent: dict[types.PeerName, list[messages.RunRef]] = {}
    for index in indexes:
        record = job.records[index]
        record.stopping = True
        by_agent.setdefault(record.agent, []).append(job.ref(index))
    return [
        core.Send(agent, messages.StopRuns(tuple(refs)))
        for agent, refs in by_agent.items()
    ]
