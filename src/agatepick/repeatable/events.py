"""Events and effects of entry and agent reducers, apart from connections."""

import dataclasses
import enum
import math

from agatepick.repeatable import jobs
from agatepick.repeatable import routes
from agatepick import types


@dataclasses.dataclass(frozen=True, slots=True)
class JobArrived:
    """Event: a caller submitted a job and waits for its answer.

    :param call: number of the caller's request.
    :param max_age: seconds since which the caller sent the request at most.
    """

    call: int
    job: jobs.Job
    max_age: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """Event: the caller of a request closed its connection.

    :param call: number of the request.
    """

    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """Event: a caller cancelled a job."""

    key: types.JobKey


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAsked:
    """Event: a caller cancelled a job that this entry doesn't have.

    :param call: number of the caller's request.
    :param path: path of the request, which ends with the key.
    """

    call: int
    key: types.JobKey
    host: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesRead:
    """Event: a version of the desired state, with all queues, was read."""

    table: routes.RouteTable


@dataclasses.dataclass(frozen=True, slots=True)
class ZonesClosed:
    """Event: the zones in which no run may be started."""

    zones: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolsNamed:
    """Event: the pools that a version of the desired state names.

    :param guarding: those whose workers refuse what doesn't fit; the others
        take whatever they are sent.
    """

    pools: frozenset[str]
    guarding: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class ListedEntry:
    """One entry in the list of available entries."""

    name: types.PeerName
    address: str
    zone: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesListed:
    """Event: the entries that the store lists now."""

    entries: tuple[ListedEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Effect: answer a caller's request.

    :param call: number of the request.
    """

    call: int
    answer: jobs.Answer


class CancelOutcome(enum.StrEnum):
    """What became of a cancel.

    ``UNKNOWN``: an entry that may have the job doesn't answer; it will be told
    once it does.
    """

    CANCELLED = 'cancelled'
    NO_JOB = 'no_job'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class CancelReply:
    """Effect: answer a caller's cancel.

    :param call: number of the request.
    """

    call: int
    outcome: CancelOutcome
