"""What a bench run leaves behind, seen from outside the product."""

import collections.abc
import dataclasses

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_plan
from agatepick import types

USEFUL_MESSAGES = frozenset(('Starts', 'Results'))
HEARTBEATS = frozenset(('Ping', 'Pong'))


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One start that a stand-in upstream counted.

    :param start: seconds from the run's start; ``end`` likewise.
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
    """What one caller got for one sending of a job.

    :param answer: None if the connection broke or nothing came.
    :param sent: seconds from the run's start; ``got`` likewise.
    """

    job: int
    key: types.JobKey
    sent: float
    got: float
    answer: types.JobAnswer | None
    resubmission: bool = False
    cancelled: bool = False
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A zone's stay out: instants from the run's start, in seconds."""

    zone: str
    asked: float
    accepted: float
    in_force: float
    returned: float


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Messages that the processes sent one another, by kind.

    :param refused_starts: refused tasks over all tasks sent to agents.
    """

    counts: collections.abc.Mapping[str, int]
    refused_starts: float = 0.0

    def wasted_share(self, ignored: frozenset[str] = frozenset()) -> float:
        """Share of messages that are neither a start nor a result.

        A batch counts as one message; of starts and results the share that
        was refused is wasted too.
        """
        kept = {
            kind: count
            for kind, count in self.counts.items()
            if kind not in ignored
        }
        total = sum(kept.values())
        useful = sum(kept.get(kind, 0) for kind in USEFUL_MESSAGES)
        if not total:
            return 0.0
        return 1.0 - useful * (1.0 - self.refused_starts) / total


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """All that a run left behind."""

    load: bench_arrivals.Load
    deployment: bench_plan.Deployment
    replies: tuple[Reply, ...]
    runs: tuple[Run, ...]
    traffic: Traffic
    departures: tuple[Departure, ...] = ()
