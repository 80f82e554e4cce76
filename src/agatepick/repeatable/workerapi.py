"""What an agent and its worker say to one another, as events and effects.

The agent's reducer sees only these data classes.  Instants are the agent's;
whoever speaks to the worker turns leases into instants of its clock.
"""

import dataclasses
import enum

from agatepick.net import messages
from agatepick import types


NOT_ANNOUNCED = -1
"""Sequence of what is known of a worker without an announcement of its
present life; any announcement is newer."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerSeen:
    """Event: a worker told of itself.

    :param life: names one life of the worker; another one runs nothing that
        an earlier one was given.
    :param born: orders the lives of workers, in milliseconds.
    :param sequence: rises within one life; a late message has a lower one.
    """

    life: str
    born: int
    sequence: int
    pool: str
    capacity: types.Needs
    labels: tuple[str, ...]
    draining: bool
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeepWorker:
    """Effect: keep what the worker is for this process's next life.

    :param worker: what to keep; ``None`` if there is none to use any more.
    """

    worker: WorkerSeen | None


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLeft:
    """Event: a worker said that it ends now."""

    life: str


class StartResult(enum.StrEnum):
    """What a worker answered to a start.

    ``NO_ROOM``, ``STALE_RUN`` (a run that is no lower was there already),
    ``LATE`` (the lease had run out on arrival) and ``UNWELL`` mean that
    nothing was done; after ``UNKNOWN`` it may have been, or may yet be.
    """

    STARTED = 'started'
    NO_ROOM = 'no_room'
    STALE_RUN = 'stale_run'
    LATE = 'late'
    UNWELL = 'unwell'
    OTHER_LIFE = 'other_life'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Effect: start a run at the worker.

    :param lease_seconds: how far ahead the worker's lease is extended.
    """

    life: str
    ref: messages.RunRef
    name: str
    payload: bytes
    lease_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnswered:
    """Event: the worker's answer to a start, or that none came."""

    life: str
    ref: messages.RunRef
    result: StartResult
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Effect: end a run; it is also never started any more."""

    life: str
    name: str
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopAnswered:
    """Event: whether the worker took note of a stop."""

    life: str
    name: str
    run: int
    ok: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Effect: extend the worker's lease and ask what runs and has ended.

    :param seen: number of the last end that was taken note of.
    :param lease_seconds: how far ahead the lease is extended; 0 for not.
    :param wait_seconds: how long the worker may wait for an end.
    """

    life: str
    seen: int
    lease_seconds: float
    wait_seconds: float


class EndKind(enum.StrEnum):
    """How a run ended at its worker."""

    DONE = 'done'
    FAILED = 'failed'
    OTHER = 'other'


@dataclasses.dataclass(frozen=True, slots=True)
class RunningAt:
    """One run that goes on at the worker."""

    name: str
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAt:
    """One run that ended at the worker; ``number`` counts its ends."""

    number: int
    name: str
    run: int
    kind: EndKind
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """Event: the answer to a :class:`Watch`.

    :param asked_at: instant at which it was asked.
    """

    life: str
    asked_at: float
    running: tuple[RunningAt, ...]
    ended: tuple[EndedAt, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReborn:
    """Event: a :class:`Watch` was answered by another life of the worker.

    It has the same name, so it takes orders that were meant for the former.

    :param life: the life that was asked.
    :param new_life: the one that answered.
    :param born: instant of its start, in milliseconds.
    """

    life: str
    new_life: str
    born: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchFailed:
    """Event: no answer to a :class:`Watch`.

    :param refused: nothing listens at the worker's address.
    :param other_life: another worker answers there, which takes no orders
        for this one.
    """

    life: str
    refused: bool = False
    other_life: bool = False
