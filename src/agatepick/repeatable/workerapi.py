"""Requests and answers between an agent and its worker.

The agent's reducer uses only these data classes as events and effects.
Instants are those of the agent's clock, and readings those of the worker's.

A lease in an order is an instant that follows from the clock reading by which
the order was decided.  A process may be suspended between the decision and the
sending.  If the order held a duration, counted from a later reading, a start
that was decided under an expired lease would be valid again on waking, beside
the run that has taken its place elsewhere.
"""

import dataclasses
import enum

from agatepick.net import messages
from agatepick import types


NOT_ANNOUNCED = -1
"""Sequence of a worker description without an announcement of its present
incarnation; any announcement is newer."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerAnnounced:
    """Event: the worker announced itself.

    :param incarnation: identifier of one incarnation of the worker, which has
        no runs of earlier ones.
    :param born: start of the incarnation in milliseconds, which orders them.
    :param sequence: number that increases within one incarnation; a delayed
        message has a lower one.
    :param reading: the worker's clock as it was sent, in seconds; 0 if
        unknown.
    """

    incarnation: str
    born: int
    sequence: int
    pool: str
    capacity: types.Needs
    labels: tuple[str, ...]
    draining: bool
    address: str
    reading: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PersistWorker:
    """Effect: persist the worker for this process's next incarnation.

    :param worker: description to persist; ``None`` to delete it.
    :param slowness: its usual slowness; 0 if there is nothing to remember.
    """

    worker: WorkerAnnounced | None
    slowness: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SlownessRecalled:
    """Event: the usual slowness that an earlier incarnation persisted.

    :param pool: pool, with the other fields the kind of worker it holds for.
    """

    pool: str
    capacity: types.Needs
    labels: tuple[str, ...]
    slowness: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLeft:
    """Event: the worker exits now."""

    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class IdentifyWorker:
    """Effect: ask the worker whether it is an incarnation.

    The request has no effect there but that of its epoch.

    :param epoch: see :class:`~.worker_state.WorkerState`.
    """

    incarnation: str
    epoch: int


class Identity(enum.StrEnum):
    """Answer to an :class:`IdentifyWorker`.

    ``FENCED``: the worker has that id, and has seen a higher epoch.
    """

    SAME = 'same'
    OTHER = 'other'
    FENCED = 'fenced'
    UNANSWERED = 'unanswered'


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerIdentified:
    """Event: the worker answered an :class:`IdentifyWorker`, or didn't.

    :param incarnation: the one that it was asked about.
    """

    incarnation: str
    identity: Identity


class StartResult(enum.StrEnum):
    """Result of a start at the worker.

    ``FENCED`` (the worker has seen a higher epoch), ``NO_ROOM``, ``STALE_RUN``
    (it has already received this run number or a higher one), ``LATE`` (the
    lease had expired on arrival), ``NOT_SENT`` (it had expired before the
    request was sent) and ``UNWELL`` mean that nothing was started; after
    ``UNKNOWN`` it may have been, or may be later.
    """

    STARTED = 'started'
    FENCED = 'fenced'
    NO_ROOM = 'no_room'
    STALE_RUN = 'stale_run'
    LATE = 'late'
    NOT_SENT = 'not_sent'
    UNWELL = 'unwell'
    OTHER_WORKER = 'other_life'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Effect: start a run at the worker.

    :param epoch: see :class:`~.worker_state.WorkerState`.
    :param name: name of the task at the worker.
    :param lease_until: instant to which the worker's lease is extended; the
        start isn't sent from then on.
    :param until: reading of the worker's clock at that instant.
    """

    incarnation: str
    epoch: int
    ref: messages.RunRef
    name: str
    payload: bytes
    lease_until: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnswered:
    """Event: the worker answered a start, or the start timed out.

    :param reading: the worker's clock, in seconds; 0 if unknown.
    """

    incarnation: str
    ref: messages.RunRef
    result: StartResult
    reason: str = ''
    reading: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Effect: stop a run; the worker won't start it later either.

    :param epoch: see :class:`~.worker_state.WorkerState`.
    :param name: name of the task at the worker.
    :param run: number of the run.
    """

    incarnation: str
    epoch: int
    name: str
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopAnswered:
    """Event: the worker acknowledged a stop, or the stop failed.

    :param name: name of the task at the worker.
    :param run: number of the run.
    :param reading: the worker's clock, in seconds; 0 if unknown.
    """

    incarnation: str
    name: str
    run: int
    ok: bool
    reading: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLists:
    """Effect: extend the worker's lease and request its lists of runs.

    :param epoch: see :class:`~.worker_state.WorkerState`.
    :param last_end_number: number of the last end that the agent has handled.
    :param lease_until: instant to which the lease is extended; 0 for none.
        From then on the lists are requested without it.
    :param wait_seconds: time for which the worker may delay its lists until a
        run ends.
    :param until: reading of the worker's clock at ``lease_until``.
    """

    incarnation: str
    epoch: int
    last_end_number: int
    lease_until: float
    wait_seconds: float
    until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WatchWorker:
    """Effect: keep a call open at a worker without runs.

    It extends no lease, and is answered after a while, or at the end of a run.

    :param epoch: see :class:`~.worker_state.WorkerState`.
    :param last_end_number: number of the last end that the agent has handled.
    :param wait_seconds: time after which the worker answers.
    """

    incarnation: str
    epoch: int
    last_end_number: int
    wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEnded:
    """Event: a :class:`WatchWorker` ended.

    :param answered: whether that incarnation answered it.
    :param broken: whether the connection was lost, as with a worker that
        crashes.
    """

    incarnation: str
    answered: bool
    broken: bool = False


class EndKind(enum.StrEnum):
    """Outcome of a run at its worker."""

    DONE = 'done'
    FAILED = 'failed'
    OTHER = 'other'


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRun:
    """One run that is running at the worker.

    :param name: name of the task at the worker.
    :param run: number of the run.
    """

    name: str
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """One run that ended at the worker.

    :param number: sequence number among the worker's ends.
    :param name: name of the task at the worker.
    :param run: number of the run.
    """

    number: int
    name: str
    run: int
    kind: EndKind
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListsReceived:
    """Event: the answer to a :class:`RequestLists`.

    :param requested_at: instant of the request.
    :param reading: the worker's clock as it answered, in seconds.
    """

    incarnation: str
    requested_at: float
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    reading: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class OtherIncarnationAnswered:
    """Event: another incarnation answered a :class:`RequestLists`.

    The new incarnation has the same worker name, so it also carries out
    requests that were meant for the earlier one.

    :param incarnation: incarnation to which the request was sent.
    :param new_incarnation: incarnation that answered.
    :param born: start of the new incarnation in milliseconds.
    """

    incarnation: str
    new_incarnation: str
    born: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListsFailed:
    """Event: a :class:`RequestLists` got no answer.

    :param refused: whether nothing listens at the worker's address.
    :param other_worker: whether another worker answers there, which accepts no
        requests for this one.
    :param fenced: whether the worker has seen a higher epoch.
    :param broken: whether the connection was lost, as with a worker that
        crashes.
    """

    incarnation: str
    refused: bool = False
    other_worker: bool = False
    fenced: bool = False
    broken: bool = False
