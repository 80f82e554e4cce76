"""The agent's records of task attempts, which ensure at-most-once starts.

An agent's process starts each task of a job at most once.  The refusal of an
attempt is final for that attempt and all earlier ones, so a copy of the start
message that arrives later can't make the answer "not run" false.  A record is
kept longer than the retention window of its job's key.  A task whose key is
older than that is neither started nor reported as "not run", since its record
may have been deleted.
"""

import collections.abc
import dataclasses

import xxhash

from agatepick.net import messages
from agatepick.owning import ownership
from agatepick import types

MAX_TASKS = 200_000
"""Number of recorded attempts from which on new ones are refused.  Eight slots
at 50 ms a task fill 96,000 records in the window of 600 s; the limit is about
twice that, to leave room for refusals."""
MAX_STORED_BODY_BYTES = 16 * 1024 * 1024
"""Limit of all tasks' answers that are stored for takeovers: 8 slots with
100-byte answers need 10 MB in a window."""

REASON_FULL = 'ledger_full'
REASON_ANSWER_DROPPED = 'answer_dropped'

_STARTED_STATES = frozenset(
    (
        types.TaskState.RUNNING,
        types.TaskState.FINISHED,
        types.TaskState.FAILED,
        types.TaskState.LOST,
    )
)


def compute_task_digest(team: str, kind: str, payload: bytes) -> bytes:
    """Return a digest of a task's team, kind and payload.

    It tells whether the tasks at the same index of two requests with the same
    key are equal.
    """
    head = f'{team}\0{kind}\0'.encode()
    return xxhash.xxh3_128_digest(head + payload)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryId:
    """One incarnation of an entry."""

    name: types.PeerName
    incarnation: int


@dataclasses.dataclass(slots=True, eq=False)
class _Task:
    """The record of a task's newest attempt at this agent."""

    attempt: int
    state: types.TaskState
    body: bytes = b''
    reason: str = ''
    seconds: float = 0.0
    digest: bytes = b''


@dataclasses.dataclass(slots=True)
class _Job:
    """The records of a job's tasks at this agent.

    :param touched_at: instant of the last start, refusal, stop or end of a
        task; it is renewed while tasks run.
    :param stopped: whether no further task of the job may start.
    :param running: number of running tasks.
    """

    owner: EntryId
    touched_at: float
    stopped: bool = False
    running: int = 0
    tasks: dict[int, _Task] = dataclasses.field(default_factory=dict)


class Ledger:
    """Records of all attempts that an agent started or refused in the window.

    :param retention: seconds after a key's stamp in which tasks of its job may
        start.
    :param slack: seconds that a key may be stamped ahead of the agent's clock,
        clock error included; records are kept that much longer.
    :param max_tasks: number of recorded attempts from which on new ones are
        refused.
    :param max_body_bytes: limit of all stored answers of tasks together.
    """

    def __init__(
        self,
        retention: float,
        slack: float,
        max_tasks: int = MAX_TASKS,
        max_body_bytes: int = MAX_STORED_BODY_BYTES,
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

    def find_report(
        self, ref: messages.TaskRef | messages.StartTask, now: float
    ) -> messages.TaskReport | None:
        """Return the report for a recorded or invalid attempt.

        A copy of a recorded attempt gets the recorded state, and so does any
        attempt for a task that was started.  After a refused attempt, one with
        a higher number is new.

        :returns: ``None`` if the attempt may be started.
        """
        job = self._jobs.get(ref.job)
        task = job.tasks.get(ref.index) if job is not None else None
        if task is None:
            return self._check_key(ref, now)
        if task.state in _STARTED_STATES or ref.attempt <= task.attempt:
            return _build_report(ref.job, ref.index, task)
        return None

    def is_stopped(self, job: types.JobKey) -> bool:
        """Return whether a job was stopped, so that no task of it starts."""
        record = self._jobs.get(job)
        return record is not None and record.stopped

    def start(
        self,
        start: messages.StartTask,
        owner: EntryId,
        now: float,
    ) -> None:
        """Record the start of an attempt that :meth:`find_report` allowed."""
        job = self._touch(start.job, owner, now)
        task = _Task(start.attempt, types.TaskState.RUNNING)
        task.digest = compute_task_digest(
            start.team, start.kind, start.payload
        )
        self._store_task(job, start.index, task)
        job.running += 1

    def refuse(
        self,
        ref: messages.TaskRef | messages.StartTask,
        owner: EntryId,
        reason: str,
        now: float,
    ) -> messages.TaskReport:
        """Permanently refuse an attempt that :meth:`find_report` allowed.

        From twice the limit of recorded attempts on, refusals aren't recorded
        either.  The report is then "lost", which stays correct even if a copy
        of the start message starts the task later.
        """
        if self._tasks >= 2 * self._max_tasks and not self._has_task(ref):
            return _build_report_without_record(
                ref, types.TaskState.LOST, REASON_FULL
            )
        job = self._touch(ref.job, owner, now)
        task = _Task(ref.attempt, types.TaskState.REFUSED, reason=reason)
        self._store_task(job, ref.index, task)
        return _build_report(ref.job, ref.index, task)

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
        """Record the end of a running task and return the report on it.

        A task that was recorded as lost stays lost, as its owner may have
        sent that answer to the caller.

        :returns: ``None`` if the task wasn't running.
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
        self._store_body(task, body)
        return _build_report(job_key, index, task, body)

    def stop(self, job: types.JobKey, owner: EntryId, now: float) -> list[int]:
        """Prevent further starts of a job and return its running indexes."""
        if job not in self._jobs:
            ref = messages.TaskRef(job, 0, 0)
            at_limit = len(self._jobs) >= self._max_tasks
            if at_limit or self._check_key(ref, now) is not None:
                return []
        self._touch(job, owner, now).stopped = True
        return self.list_running(job)

    def list_running(self, job: types.JobKey) -> list[int]:
        """Return the indexes of a job's running tasks."""
        record = self._jobs.get(job)
        if record is None or not record.running:
            return []
        running = types.TaskState.RUNNING
        return [
            index
            for index, task in record.tasks.items()
            if task.state is running
        ]

    def get_owner(self, job: types.JobKey) -> EntryId | None:
        """Return the entry that sent the first message about a job."""
        record = self._jobs.get(job)
        return record.owner if record is not None else None

    def is_full(self) -> bool:
        """Return whether the limit of recorded attempts is reached."""
        return self._tasks >= self._max_tasks

    def iter_started(
        self, owner: EntryId
    ) -> collections.abc.Iterator[messages.TaskReport]:
        """Yield reports on every task that was started for an owner.

        Refusals are left out, as another agent may have started the task.
        """
        for key, job in self._jobs.items():
            if job.owner == owner:
                for index, task in job.tasks.items():
                    if task.state in _STARTED_STATES:
                        yield dataclasses.replace(
                            _build_report(key, index, task), digest=task.digest
                        )

    def delete_expired(self, now: float) -> None:
        """Delete the records of expired keys."""
        horizon = now - self._retention - self._slack
        while self._jobs:
            key = next(iter(self._jobs))
            job = self._jobs[key]
            if job.touched_at >= horizon:
                return
            if job.running:
                # A task that runs longer than the window keeps its record.
                self._touch(key, job.owner, now)
                continue
            self._delete_job(key)

    def _check_key(
        self, ref: messages.TaskRef | messages.StartTask, now: float
    ) -> messages.TaskReport | None:
        fault = ownership.check_key(ref.job, now, self._retention, self._slack)
        if fault is None:
            return None
        if fault is ownership.KeyFault.MALFORMED:
            # No agent ever starts a task under a malformed key.
            return _build_report_without_record(
                ref, types.TaskState.REFUSED, fault.value
            )
        # An expired key's record may have been dropped, and a key ahead of
        # this clock becomes valid later: "not run" could be false.
        return _build_report_without_record(
            ref, types.TaskState.LOST, fault.value
        )

    def _has_task(self, ref: messages.TaskRef | messages.StartTask) -> bool:
        job = self._jobs.get(ref.job)
        return job is not None and ref.index in job.tasks

    def _touch(self, key: types.JobKey, owner: EntryId, now: float) -> _Job:
        """Return a job's record, which is created or kept for longer."""
        job = self._jobs.pop(key, None) or _Job(owner, now)
        job.touched_at = now
        # The job moves to the end, as ``delete_expired`` deletes jobs from
        # the front.
        self._jobs[key] = job
        return job

    def _store_task(self, job: _Job, index: int, task: _Task) -> None:
        if index not in job.tasks:
            self._tasks += 1
        job.tasks[index] = task

    def _store_body(self, task: _Task, body: bytes) -> None:
        if not body:
            return
        task.body = body
        self._bodies[task] = None
        self._body_bytes += len(body)
        while self._body_bytes > self._max_body_bytes:
            oldest = next(iter(self._bodies))
            self._delete_body(oldest)
            # Without its answer the task counts as lost, as a job is complete
            # only with the answers of all its tasks.
            oldest.state = types.TaskState.LOST
            oldest.reason = REASON_ANSWER_DROPPED

    def _delete_body(self, task: _Task) -> None:
        if task.body:
            del self._bodies[task]
            self._body_bytes -= len(task.body)
            task.body = b''

    def _delete_job(self, key: types.JobKey) -> None:
        job = self._jobs.pop(key)
        self._tasks -= len(job.tasks)
        for task in job.tasks.values():
            self._delete_body(task)


def _build_report(
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


def _build_report_without_record(
    ref: messages.TaskRef | messages.StartTask,
    state: types.TaskState,
    reason: str,
) -> messages.TaskReport:
    return messages.TaskReport(
        ref.job, ref.index, ref.attempt, state.value, b'', reason
    )
