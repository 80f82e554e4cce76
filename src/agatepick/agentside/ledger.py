"""The agent's record of task attempts: what makes "at most once" true.

A task index of a job is started at most once in the life of an agent's
process.  Refusing an attempt is final for it and all earlier ones, so a copy
of the message that arrives later can't turn a "not run" into a lie.  A
record outlives the retention window of its job's key; what is older is never
started and never called "not run", since nobody can tell any more.
"""

import collections.abc
import dataclasses

import xxhash

from agatepick.net import messages
from agatepick.owning import ownership
from agatepick import types

MAX_TASKS = 200_000
"""Eight slots at 50 ms a task fill 96,000 records in the window of 600 s;
twice that leaves room for refusals."""
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Kept for takeovers: 8 slots with 100-byte answers need 10 MB a window."""

REASON_FULL = 'ledger_full'
REASON_BODY = 'answer_dropped'

_STARTED = frozenset(
    (
        types.TaskState.RUNNING,
        types.TaskState.FINISHED,
        types.TaskState.FAILED,
        types.TaskState.LOST,
    )
)


def task_digest(team: str, kind: str, payload: bytes) -> bytes:
    """Tells a task from another one under the same key and index."""
    head = f'{team}\0{kind}\0'.encode()
    return xxhash.xxh3_128_digest(head + payload)


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """An entry in one of its lives."""

    name: types.PeerName
    incarnation: int


@dataclasses.dataclass(slots=True, eq=False)
class _Task:
    attempt: int
    state: types.TaskState
    body: bytes = b''
    reason: str = ''
    seconds: float = 0.0
    digest: bytes = b''


@dataclasses.dataclass(slots=True)
class _Job:
    owner: Owner
    touched_at: float
    stopped: bool = False
    running: int = 0
    tasks: dict[int, _Task] = dataclasses.field(default_factory=dict)


class Ledger:
    """All attempts that an agent has started or refused in the window.

    :param retention: seconds after a key's stamp in which its tasks start.
    :param slack: seconds by which a key may be ahead of this clock, clock
        error included; records are kept that much longer.
    """

    def __init__(
        self,
        retention: float,
        slack: float,
        max_tasks: int = MAX_TASKS,
        max_body_bytes: int = MAX_BODY_BYTES,
    ):
        self._retention = retention
        self._slack = slack
        self._max_tasks = max_tasks
        self._max_body_bytes = max_body_bytes
        self._jobs: dict[types.JobKey, _Job] = {}
        self._tasks = 0
        self._bodies: dict[_Task, None] = {}
        self._body_bytes = 0

    def __len__(self) -> int:
        return self._tasks

    def known(
        self, ref: messages.TaskRef | messages.StartTask, now: float
    ) -> messages.TaskReport | None:
        """The report that answers a start; ``None`` if it may be started.

        A copy of a known attempt gets its record.  An attempt later than a
        refused one is new; one for a task that was started is not.
        """
        job = self._jobs.get(ref.job)
        task = job.tasks.get(ref.index) if job is not None else None
        if task is None:
            return self._unservable(ref, now)
        if task.state in _STARTED or ref.attempt <= task.attempt:
            return _report(ref.job, ref.index, task)
        return None

    def stopped(self, job: types.JobKey) -> bool:
        """Whether a job was stopped: none of its tasks starts any more."""
        record = self._jobs.get(job)
        return record is not None and record.stopped

    def start(
        self,
        start: messages.StartTask,
        owner: Owner,
        now: float,
    ) -> None:
        """Record that an attempt starts; :meth:`known` allowed it."""
        job = self._touch(start.job, owner, now)
        task = _Task(start.attempt, types.TaskState.RUNNING)
        task.digest = task_digest(start.team, start.kind, start.payload)
        self._put(job, start.index, task)
        job.running += 1

    def refuse(
        self,
        ref: messages.TaskRef | messages.StartTask,
        owner: Owner,
        reason: str,
        now: float,
    ) -> messages.TaskReport:
        """Refuse an attempt for good; :meth:`known` allowed it.

        With twice the records allowed there is no room to remember even a
        refusal.  Then the answer is "lost", which stays true whatever a copy
        of the message does later.
        """
        if self._tasks >= 2 * self._max_tasks and not self._has(ref):
            return _without_record(ref, types.TaskState.LOST, REASON_FULL)
        job = self._touch(ref.job, owner, now)
        task = _Task(ref.attempt, types.TaskState.REFUSED, reason=reason)
        self._put(job, ref.index, task)
        return _report(ref.job, ref.index, task)

    def end(
        self,
        job_key: types.JobKey,
        index: int,
        state: types.TaskState,
        now: float,
        body: bytes = b'',
        reason: str = '',
        seconds: float = 0.0,
    ) -> messages.TaskReport | None:
        """Record how a running task ended; ``None`` if it wasn't running.

        A task that was given up as lost stays lost: its owner may have told
        its caller so.
        """
        job = self._jobs.get(job_key)
        task = job.tasks.get(index) if job is not None else None
        if job is None or task is None:
            return None
        if task.state is not types.TaskState.RUNNING:
            return None
        self._touch(job_key, job.owner, now)
        job.running -= 1
        task.state = state
        task.reason = reason
        task.seconds = seconds
        self._keep_body(task, body)
        return _report(job_key, index, task, body)

    def stop(self, job: types.JobKey, owner: Owner, now: float) -> list[int]:
        """Start nothing more of a job; the indexes that run now."""
        if job not in self._jobs:
            ref = messages.TaskRef(job, 0, 0)
            crowded = len(self._jobs) >= self._max_tasks
            if crowded or self._unservable(ref, now) is not None:
                return []
        self._touch(job, owner, now).stopped = True
        return self.running(job)

    def running(self, job: types.JobKey) -> list[int]:
        """Indexes of a job's running tasks."""
        record = self._jobs.get(job)
        if record is None or not record.running:
            return []
        running = types.TaskState.RUNNING
        return [
            index
            for index, task in record.tasks.items()
            if task.state is running
        ]

    def owner(self, job: types.JobKey) -> Owner | None:
        """The entry that sent the first message about a job."""
        record = self._jobs.get(job)
        return record.owner if record is not None else None

    def full(self) -> bool:
        """Whether no more starts can be remembered."""
        return self._tasks >= self._max_tasks

    def started_for(
        self, owner: Owner
    ) -> collections.abc.Iterator[messages.TaskReport]:
        """Reports on every task that was started for an owner.

        Refusals are left out: they don't tell what another agent did.
        """
        for key, job in self._jobs.items():
            if job.owner == owner:
                for index, task in job.tasks.items():
                    if task.state in _STARTED:
                        yield dataclasses.replace(
                            _report(key, index, task), digest=task.digest
                        )

    def forget(self, now: float) -> None:
        """Drop the records whose keys nobody serves any more."""
        horizon = now - self._retention - self._slack
        while self._jobs:
            key = next(iter(self._jobs))
            job = self._jobs[key]
            if job.touched_at >= horizon:
                return
            if job.running:
                # A task longer than the window keeps its record.
                self._touch(key, job.owner, now)
                continue
            self._drop(key)

    def _unservable(
        self, ref: messages.TaskRef | messages.StartTask, now: float
    ) -> messages.TaskReport | None:
        fault = ownership.check(ref.job, now, self._retention, self._slack)
        if fault is None:
            return None
        if fault is ownership.KeyFault.MALFORMED:
            # Never started by anyone, at any time.
            return _without_record(ref, types.TaskState.REFUSED, fault.value)
        # An expired key's record may have been dropped, and a key ahead of
        # this clock becomes valid later: "not run" could be false.
        return _without_record(ref, types.TaskState.LOST, fault.value)

    def _has(self, ref: messages.TaskRef | messages.StartTask) -> bool:
        job = self._jobs.get(ref.job)
        return job is not None and ref.index in job.tasks

    def _touch(self, key: types.JobKey, owner: Owner, now: float) -> _Job:
        job = self._jobs.pop(key, None) or _Job(owner, now)
        job.touched_at = now
        # Last in the order of insertion: the first is the next to go.
        self._jobs[key] = job
        return job

    def _put(self, job: _Job, index: int, task: _Task) -> None:
        if index not in job.tasks:
            self._tasks += 1
        job.tasks[index] = task

    def _keep_body(self, task: _Task, body: bytes) -> None:
        if not body:
            return
        task.body = body
        self._bodies[task] = None
        self._body_bytes += len(body)
        while self._body_bytes > self._max_body_bytes:
            oldest = next(iter(self._bodies))
            self._drop_body(oldest)
            # A finished task without its answer can't make a complete job.
            oldest.state = types.TaskState.LOST
            oldest.reason = REASON_BODY

    def _drop_body(self, task: _Task) -> None:
        if task.body:
            del self._bodies[task]
            self._body_bytes -= len(task.body)
            task.body = b''

    def _drop(self, key: types.JobKey) -> None:
        job = self._jobs.pop(key)
        self._tasks -= len(job.tasks)
        for task in job.tasks.values():
            self._drop_body(task)


def _report(
    job: types.JobKey, index: int, task: _Task, body: bytes | None = None
) -> messages.TaskReport:
    return messages.TaskReport(
        job,
        index,
        task.attempt,
        task.state.value,
        task.body if body is None else body,
        task.reason,
        task.seconds,
    )


def _without_record(
    ref: messages.TaskRef | messages.StartTask,
    state: types.TaskState,
    reason: str,
) -> messages.TaskReport:
    return messages.TaskReport(
        ref.job, ref.index, ref.attempt, state.value, b'', reason
    )
