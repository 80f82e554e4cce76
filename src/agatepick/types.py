"""Common value types: jobs, tasks, outcomes and answers.

Times are seconds since the epoch (``float``); durations are seconds.
"""

import dataclasses
import enum
import sys
import typing

MAX_WHOLE = 2**53
"""Largest whole number up to which a float holds each."""

MAX_COUNT = 2**32 - 1
"""Largest amount of memory in MiB, and largest number of accelerators, that a
message between processes holds: its fields have 32 bits."""

MAX_AMOUNT = sys.float_info.max
"""Largest finite number of cores."""

JobKey = str
"""A job's idempotency key, a UUID in its canonical text form."""

PeerName = str
"""Name of an entry or agent, as set in its settings."""


class Outcome(enum.StrEnum):
    """Outcome of a task, as reported to its caller."""

    FINISHED = 'finished'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class TaskState(enum.StrEnum):
    """State of a task at an agent."""

    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    REFUSED = 'refused'
    LOST = 'lost'


class RunState(enum.StrEnum):
    """State of a run of a repeatable task at an agent.

    An ``OVER`` run has ended without a valid result: it was stopped, its lease
    expired, or its worker was lost.  A ``REFUSED`` run never starts.
    """

    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    OVER = 'over'
    REFUSED = 'refused'


class JobStatus(enum.StrEnum):
    """State of a job, as reported to its caller."""

    PENDING = 'pending'
    COMPLETE = 'complete'
    FAILED = 'failed'
    NOT_RUN = 'not_run'


@dataclasses.dataclass(frozen=True, slots=True)
class Needs:
    """Resources that a task requires, or that a worker has.

    :param cpu: number of cores.
    :param memory_mb: memory in MiB.
    :param accelerators: number of accelerators.
    """

    cpu: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Needs') -> 'Needs':
        # Sums saturate: the needs of many tasks that each fit a message may
        # exceed its fields together.
        return Needs(
            min(self.cpu + other.cpu, MAX_AMOUNT),
            min(self.memory_mb + other.memory_mb, MAX_COUNT),
            min(self.accelerators + other.accelerators, MAX_COUNT),
        )

    def times(self, count: int) -> 'Needs':
        """Return the needs of some tasks that each have these."""
        return Needs(
            min(self.cpu * count, MAX_AMOUNT),
            min(self.memory_mb * count, MAX_COUNT),
            min(self.accelerators * count, MAX_COUNT),
        )

    def __sub__(self, other: 'Needs') -> 'Needs':
        return Needs(
            max(0.0, self.cpu - other.cpu),
            max(0, self.memory_mb - other.memory_mb),
            max(0, self.accelerators - other.accelerators),
        )

    def at_most(self, other: 'Needs') -> 'Needs':
        """Return the lesser of the two values of each resource."""
        return Needs(
            min(self.cpu, other.cpu),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def find_bad_field(self) -> str:
        """Return the name of a field whose value no message can hold.

        :returns: an empty string if there is none.
        """
        # Comparisons with NaN are false.
        if not 0.0 <= self.cpu <= MAX_AMOUNT:
            return 'cpu'
        if not _is_count(self.memory_mb):
            return 'memory_mb'
        if not _is_count(self.accelerators):
            return 'accelerators'
        return ''

    def fits(self, other: 'Needs') -> bool:
        """Return whether these needs fit into ``other``."""
        return (
            self.cpu <= other.cpu
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task as submitted by its caller.

    :param id: the caller's identifier of the task, unique in its job.
    :param kind: name of the upstream operation; run times are estimated per
        kind.
    :param payload: body for the upstream, JSON as bytes.
    :param expected_seconds: the caller's estimate of the run time; 0 for
        none.
    """

    id: str
    kind: str
    payload: bytes = b''
    needs: Needs = Needs()
    expected_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted by its caller.

    :param deadline: instant after which the answer is of no use.
    :param zones: availability zones that the job may run in; empty for any.
    :param digest: hash of the caller's body, which distinguishes a
        resubmission from another job with the same key.
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
    """Outcome of one task under the caller's identifier.

    :param body: the upstream's answer, JSON as bytes; empty if none.
    :param step: step in which an error occurred, such as ``admit`` or
        ``run``.
    :param peer: the process at which the error occurred.
    """

    id: str
    outcome: Outcome
    body: bytes = b''
    reason: str = ''
    step: str = ''
    peer: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class JobAnswer:
    """Answer to a caller about a job.

    ``COMPLETE`` means that every task finished; ``NOT_RUN`` that none was
    started and none will be.

    :param retry_after: seconds after which a retry may succeed; 0 if a retry
        is of no use.
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
    """Interface of a clock."""

    def now(self) -> float:
        """Return the seconds since the epoch; the result never decreases."""
        ...


def _is_count(value: float) -> bool:
    return isinstance(value, int) and 0 <= value <= MAX_COUNT
