"""Records of a bench run, made outside the programs under test."""

import collections.abc
import dataclasses

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_plan
from agatepick import types

USEFUL_MESSAGES = frozenset(('Starts', 'Results'))
HEARTBEATS = frozenset(('Ping', 'Pong'))


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a task, recorded by a stand-in upstream.

    :param task: task id that the caller chose.
    :param worker: number of the worker.
    :param start: seconds from the start of the bench run; ``end`` likewise,
        infinite until the end is recorded.
    """

    key: types.JobKey
    task: str
    worker: int
    zone: str
    start: float
    end: float
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The reply to one submission of a job.

    :param sent_at: seconds from the run's start; ``received_at`` likewise.
    :param job: number of the job; ``key`` is its idempotency key.
    :param answer: None if the connection broke or no answer arrived.
    :param error: reason for a missing answer, if it is known.
    """

    job: int
    key: types.JobKey
    sent_at: float
    received_at: float
    answer: types.JobAnswer | None
    resubmission: bool = False
    cancelled: bool = False
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneDeparture:
    """Period in which an availability zone was out of service.

    Instants are seconds from the run's start.

    :param requested_at: when the change was requested.
    :param accepted_at: when an entry accepted the change.
    :param in_force_at: from when on no task may start in the zone.
    :param returned_at: when the zone was in use again.
    """

    zone: str
    requested_at: float
    accepted_at: float
    in_force_at: float
    returned_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Messages that the processes sent each other.

    :param counts: numbers of messages, by kind.
    :param refused_starts: share of the tasks sent to agents that the agents
        refused.
    """

    counts: collections.abc.Mapping[str, int]
    refused_starts: float = 0.0

    def wasted_share(self, ignored: frozenset[str] = frozenset()) -> float:
        """Return the share of messages that are neither a start nor a result.

        A message with several starts or results counts as one.  Of these
        messages the share ``refused_starts`` counts as wasted too.

        :param ignored: kinds of messages to leave out.
        """
        counts_by_kind = {
            kind: count
            for kind, count in self.counts.items()
            if kind not in ignored
        }
        total = sum(counts_by_kind.values())
        useful = sum(counts_by_kind.get(kind, 0) for kind in USEFUL_MESSAGES)
        if not total:
            return 0.0
        return 1.0 - useful * (1.0 - self.refused_starts) / total


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """All records of one run."""

    load: bench_arrivals.Load
    deployment: bench_plan.Deployment
    replies: tuple[Reply, ...]
    runs: tuple[Run, ...]
    traffic: Traffic
    departures: tuple[ZoneDeparture, ...] = ()
