"""Values shared by every part: jobs, tasks, outcomes and answers.

Times are seconds since the epoch (``float``); durations are seconds.
"""

import dataclasses
import enum
import typing

JobKey = str
"""A job's idempotency key, a UUID in its canonical text form."""

PeerName = str
"""Name of an entry or agent, as its settings give it."""


class Outcome(enum.StrEnum):
    """How one task ended, as its caller is told."""

    FINISHED = 'finished'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class TaskState(enum.StrEnum):
    """What an agent knows of one task."""

    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    REFUSED = 'refused'
    LOST = 'lost'


class RunState(enum.StrEnum):
    """What an agent knows of one run of a repeatable task.

    ``OVER`` ended without a result that counts: stopped, lapsed or lost
    with its worker.  ``REFUSED`` never started and never will.
    """

    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    OVER = 'over'
    REFUSED = 'refused'


class JobStatus(enum.StrEnum):
    """State of a job as its caller is told."""

    PENDING = 'pending'
    COMPLETE = 'complete'
    FAILED = 'failed'
    NOT_RUN = 'not_run'


@dataclasses.dataclass(frozen=True, slots=True)
class Needs:
    """Resources that a task takes, or that a worker has.

    :param cpu: cores.
    :param memory_mb: memory in MiB.
    :param accelerators: whole accelerators.
    """

    cpu: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Needs') -> 'Needs':
        return Needs(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Needs') -> 'Needs':
        return Needs(
            max(0.0, self.cpu - other.cpu),
            max(0, self.memory_mb - other.memory_mb),
            max(0, self.accelerators - other.accelerators),
        )

    def at_most(self, other: 'Needs') -> 'Needs':
        """The lesser of the two, for each resource."""
        return Needs(
            min(self.cpu, other.cpu),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def fits(self, other: 'Needs') -> bool:
        """Whether these needs fit into ``other``."""
        return (
            self.cpu <= other.cpu
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSpec:
    """One task as its caller handed it in.

    :param id: the caller's own name for the task, unique in its job.
    :param kind: names the upstream operation; estimates are kept by kind.
    :param payload: body for the upstream, JSON as bytes.
    :param expected_seconds: the caller's guess of the run time; 0 is none.
    """

    id: str
    kind: str
    payload: bytes = b''
    needs: Needs = Needs()
    expected_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its caller handed it in.

    :param deadline: instant after which the answer is of no use.
    :param zones: availability zones the job may run in; empty for any.
    :param digest: hash of the caller's body, to tell a resubmission from
        another job under the same key.
    """

    key: JobKey
    team: str
    tasks: tuple[TaskSpec, ...]
    deadline: float
    urgent: bool = False
    zones: tuple[str, ...] = ()
    digest: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class TaskAnswer:
    """Outcome of one task under the caller's own id.

    :param body: the upstream's answer, JSON as bytes; empty if none.
    :param step: where an error arose, such as ``admit`` or ``run``.
    :param peer: the process at which it arose.
    """

    id: str
    outcome: Outcome
    body: bytes = b''
    reason: str = ''
    step: str = ''
    peer: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class JobAnswer:
    """What a caller is told of a job.

    ``COMPLETE`` means that every task finished; ``NOT_RUN`` that none was
    started and none will be.

    :param retry_after: seconds after which asking again may help; 0 if not.
    """

    key: JobKey
    status: JobStatus
    tasks: tuple[TaskAnswer, ...] = ()
    code: str = ''
    reason: str = ''
    step: str = ''
    peer: str = ''
    retry_after: float = 0.0


class Clock(typing.Protocol):
    """Source of the present instant."""

    def now(self) -> float:
        """Seconds since the epoch; never steps back."""
        ...
