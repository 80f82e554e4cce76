"""The jobs that an entry owns, with their tasks' states and their answers.

A job is stored from its admission until the retention window has passed, so
that a resubmission waits for it or gets the same answer.  An answer is final:
later reports don't change it.
"""

import dataclasses

from agatepick.net import messages
from agatepick import types

CODE_FAILED = 'tasks_failed'
CODE_UNKNOWN = 'tasks_unknown'
CODE_CANCELLED = 'cancelled'
CODE_DEADLINE = 'deadline'
CODE_NOT_RUN = 'not_run'


@dataclasses.dataclass(frozen=True, slots=True)
class LocalWaiter:
    """A caller whose HTTP request is open at this entry."""

    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteWaiter:
    """A caller whose request another entry forwarded."""

    peer: types.PeerName
    request: int


Waiter = LocalWaiter | RemoteWaiter


@dataclasses.dataclass(frozen=True, slots=True)
class EndedJob:
    """A job's final answer and the waiters to send it to."""

    waiters: tuple[Waiter, ...]
    answer: types.JobAnswer


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """One task of an owned job.

    :param agent: agent that the task was sent to; empty while the task is
        queued and after its end was reported.
    :param incarnation: incarnation of that agent.
    :param attempt: number of the newest attempt, from 0.
    :param adopted: whether the task was started for an entry that has been
        removed.
    """

    agent: types.PeerName = ''
    incarnation: int = 0
    attempt: int = 0
    adopted: bool = False
    answer: types.TaskAnswer | None = None


class Job:
    """A job that an entry owns.

    :ivar open_count: number of tasks without an outcome.
    :ivar waiters: callers that wait for the final answer.
    :ivar answer: final answer; ``None`` until the job has ended.
    """

    def __init__(self, spec: types.JobSpec, now: float):
        self.spec = spec
        self.tasks = [TaskRecord() for _ in spec.tasks]
        self.open_count = len(spec.tasks)
        self.waiters: list[Waiter] = []
        self.created_at = now
        self.ended_at = 0.0
        self.cancelled = False
        self.answer: types.JobAnswer | None = None

    @property
    def ended(self) -> bool:
        """Whether the job has its final answer."""
        return self.answer is not None

    def list_agents(self) -> list[types.PeerName]:
        """Return the agents at which tasks may still run, each once."""
        return sorted(
            {
                record.agent
                for record in self.tasks
                if record.agent and not record.answer
            }
        )

    def end_task(
        self,
        index: int,
        outcome: types.Outcome,
        body: bytes = b'',
        reason: str = '',
        step: str = '',
        peer: str = '',
    ) -> None:
        """Record a task's outcome unless the task has one already.

        :param step: step of the job's handling at which the task ended.
        :param peer: name of the process at which the task ended.
        """
        record = self.tasks[index]
        if record.answer is not None or self.answer is not None:
            return
        record.answer = types.TaskAnswer(
            self.spec.tasks[index].id, outcome, body, reason, step, peer
        )
        self.open_count -= 1

    def build_pending(self) -> types.JobAnswer:
        """Return the answer "pending", sent until the job has ended."""
        return types.JobAnswer(
            self.spec.key,
            types.JobStatus.PENDING,
            code='running',
            reason=f'{self.open_count} of {len(self.tasks)} tasks are open',
            retry_after=1.0,
        )


class Jobs:
    """All jobs that an entry owns, by key.

    :param retention_seconds: time for which an ended job is stored.
    """

    def __init__(self, retention_seconds: float):
        self._retention = retention_seconds
        self._jobs: dict[types.JobKey, Job] = {}
        self._running: dict[types.JobKey, Job] = {}
        self._ended_at: dict[types.JobKey, float] = {}
        self._refusals: dict[types.JobKey, types.JobAnswer] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def get(self, key: types.JobKey) -> Job | None:
        """Return the job under a key, or ``None`` if none is stored."""
        return self._jobs.get(key)

    def get_refusal(self, key: types.JobKey) -> types.JobAnswer | None:
        """Return the stored answer to a refused key, or ``None``."""
        return self._refusals.get(key)

    def list_running(self) -> list[Job]:
        """Return the jobs without a final answer."""
        return list(self._running.values())

    def refuse(self, answer: types.JobAnswer, now: float) -> None:
        """Store a refusal.

        A delayed copy of a refused request can arrive after its caller got
        the answer "not run".  Without this record the copy would be admitted
        and run, and the answer would be false.
        """
        self._refusals[answer.key] = answer
        self._record_end(answer.key, now)

    def add(self, spec: types.JobSpec, now: float) -> Job:
        """Store a new job."""
        job = Job(spec, now)
        self._jobs[spec.key] = job
        self._running[spec.key] = job
        return job

    def end_if_complete(self, job: Job, now: float) -> EndedJob | None:
        """End a job whose tasks all have an outcome.

        :returns: the final answer and its waiters; ``None`` while a task is
            open or if the job had ended before.
        """
        if job.open_count or job.ended:
            return None
        job.answer = _build_final_answer(job)
        job.ended_at = now
        del self._running[job.spec.key]
        self._record_end(job.spec.key, now)
        waiters = tuple(job.waiters)
        job.waiters.clear()
        return EndedJob(waiters, job.answer)

    def delete_expired(self, now: float) -> None:
        """Delete jobs and refusals whose retention time has passed."""
        while self._ended_at:
            # Keys are in the order in which their jobs ended.
            key = next(iter(self._ended_at))
            if self._ended_at[key] + self._retention > now:
                return
            del self._ended_at[key]
            self._jobs.pop(key, None)
            self._refusals.pop(key, None)

    def _record_end(self, key: types.JobKey, now: float) -> None:
        self._ended_at.pop(key, None)
        self._ended_at[key] = now

    def list_open_tasks(
        self, agent: types.PeerName
    ) -> list[tuple[Job, messages.TaskRef, int]]:
        """Return the tasks without an outcome that were sent to an agent.

        :returns: job, task and the agent's incarnation at the task's start.
        """
        open_tasks = []
        for job in self.list_running():
            for index, record in enumerate(job.tasks):
                if record.agent == agent and record.answer is None:
                    ref = messages.TaskRef(job.spec.key, index, record.attempt)
                    open_tasks.append((job, ref, record.incarnation))
        return open_tasks


def _build_final_answer(job: Job) -> types.JobAnswer:
    answers = tuple(record.answer for record in job.tasks if record.answer)
    outcomes = {answer.outcome for answer in answers}
    if outcomes == {types.Outcome.FINISHED}:
        return types.JobAnswer(job.spec.key, types.JobStatus.COMPLETE, answers)
    first = next(
        answer
        for answer in answers
        if answer.outcome != types.Outcome.FINISHED
    )
    if outcomes == {types.Outcome.NOT_RUN}:
        status, code = types.JobStatus.NOT_RUN, first.reason or CODE_NOT_RUN
    elif types.Outcome.UNKNOWN in outcomes:
        status, code = types.JobStatus.FAILED, CODE_UNKNOWN
    else:
        status, code = types.JobStatus.FAILED, CODE_FAILED
    if job.cancelled:
        code = CODE_CANCELLED
    return types.JobAnswer(
        job.spec.key,
        status,
        answers,
        code=code,
        reason=first.reason,
        step=first.step,
        peer=first.peer,
    )
