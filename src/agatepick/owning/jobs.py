"""The jobs that an entry owns: each task's state, each caller's answer.

A job is kept from its admission until the retention window has passed, so
that a resubmission joins it or gets the same answer.  An answer is given
once: whatever comes later changes nothing in it.
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
    """A caller whose request this entry holds open."""

    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteWaiter:
    """A caller whose request another entry passed on."""

    peer: types.PeerName
    request: int


Waiter = LocalWaiter | RemoteWaiter


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """A job's answer, for those that wait for it."""

    waiters: tuple[Waiter, ...]
    answer: types.JobAnswer


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """One task of an owned job.

    :param agent: where it was started; empty while it is queued.
    :param adopted: started for an entry that has been removed.
    """

    agent: types.PeerName = ''
    incarnation: int = 0
    attempt: int = 0
    adopted: bool = False
    answer: types.TaskAnswer | None = None


class Job:
    """One owned job."""

    def __init__(self, spec: types.JobSpec, now: float):
        self.spec = spec
        self.tasks = [TaskRecord() for _ in spec.tasks]
        self.open = len(spec.tasks)
        self.waiters: list[Waiter] = []
        self.created_at = now
        self.ended_at = 0.0
        self.cancelled = False
        self.answer: types.JobAnswer | None = None

    @property
    def ended(self) -> bool:
        """Whether its answer is final."""
        return self.answer is not None

    def agents(self) -> list[types.PeerName]:
        """Agents at which tasks may still run, each once."""
        return sorted(
            {one.agent for one in self.tasks if one.agent and not one.answer}
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
        """Record a task's outcome; the first one recorded stays."""
        record = self.tasks[index]
        if record.answer is not None or self.answer is not None:
            return
        record.answer = types.TaskAnswer(
            self.spec.tasks[index].id, outcome, body, reason, step, peer
        )
        self.open -= 1

    def pending(self) -> types.JobAnswer:
        """What a caller is told before the job has ended."""
        return types.JobAnswer(
            self.spec.key,
            types.JobStatus.PENDING,
            code='running',
            reason=f'{self.open} of {len(self.tasks)} tasks are open',
            retry_after=1.0,
        )


class Jobs:
    """Every job that an entry owns, by key.

    :param retention_seconds: how long an ended job is remembered.
    """

    def __init__(self, retention_seconds: float):
        self._retention = retention_seconds
        self._jobs: dict[types.JobKey, Job] = {}
        self._running: dict[types.JobKey, Job] = {}
        self._ended: dict[types.JobKey, float] = {}
        self._refused: dict[types.JobKey, types.JobAnswer] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def get(self, key: types.JobKey) -> Job | None:
        """The job under a key, if it is remembered."""
        return self._jobs.get(key)

    def refusal(self, key: types.JobKey) -> types.JobAnswer | None:
        """The refusal given under a key, if one was."""
        return self._refused.get(key)

    def running(self) -> list[Job]:
        """Jobs without a final answer."""
        return list(self._running.values())

    def refuse(self, answer: types.JobAnswer, now: float) -> None:
        """Remember a refusal.

        A copy of a refused request can arrive after its caller was told
        "not run", held up on the way.  Without this record it would be let
        in then and run, and the answer would have been false.
        """
        self._refused[answer.key] = answer
        self._end(answer.key, now)

    def add(self, spec: types.JobSpec, now: float) -> Job:
        """Own a new job."""
        job = Job(spec, now)
        self._jobs[spec.key] = job
        self._running[spec.key] = job
        return job

    def settle(self, job: Job, now: float) -> Settled | None:
        """The final answer, once no task is open; ``None`` before."""
        if job.open or job.ended:
            return None
        job.answer = _final_answer(job)
        job.ended_at = now
        del self._running[job.spec.key]
        self._end(job.spec.key, now)
        waiters = tuple(job.waiters)
        job.waiters.clear()
        return Settled(waiters, job.answer)

    def forget(self, now: float) -> None:
        """Drop what ended longer ago than the retention window."""
        while self._ended:
            # Keys are kept in the order of their end.
            key = next(iter(self._ended))
            if self._ended[key] + self._retention > now:
                return
            del self._ended[key]
            self._jobs.pop(key, None)
            self._refused.pop(key, None)

    def _end(self, key: types.JobKey, now: float) -> None:
        self._ended.pop(key, None)
        self._ended[key] = now

    def outstanding(
        self, agent: types.PeerName
    ) -> list[tuple[Job, messages.TaskRef, int]]:
        """Open tasks started at an agent, with its incarnation then."""
        found = []
        for job in self.running():
            for index, record in enumerate(job.tasks):
                if record.agent == agent and record.answer is None:
                    ref = messages.TaskRef(job.spec.key, index, record.attempt)
                    found.append((job, ref, record.incarnation))
        return found


def _final_answer(job: Job) -> types.JobAnswer:
    answers = tuple(one.answer for one in job.tasks if one.answer)
    outcomes = {one.outcome for one in answers}
    if outcomes == {types.Outcome.FINISHED}:
        return types.JobAnswer(job.spec.key, types.JobStatus.COMPLETE, answers)
    first = next(
        one for one in answers if one.outcome != types.Outcome.FINISHED
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
