"""Usual speed of a worker, learnt by its agent.

Load pattern: workers of several kinds, the slowest of which take twice as long
as the fastest.  The performance record (:mod:`~agatepick.repeatable.health`)
shows what is wrong now and forgets within seconds; judged by it alone, a sound
worker of a slow kind looks like a sick one, gets few tasks, and stands idle
while callers are refused.

The usual slowness is a moving average of the logarithms of run time divided by
expected run time.  Each deviation is clipped, so that neither runs with a long
tail nor a worker that is sick for seconds move it far.  It starts from the
median of the first runs, is a mean for a while and then adapts within a
minute.

The expected run times are those at the typical worker of a pool, which each
entry derives from the slownesses that its agents send
(:mod:`~agatepick.repeatable.kinds`): a factor common to all agents cancels
there, so estimates that are learnt from one another can't drift.
"""

import dataclasses
import math
import statistics

from agatepick.repeatable import workerapi
from agatepick import types

MIN_RUNS = 16
"""Number of runs from which the estimate is used: expected run times are wrong
by 1.5 times, so the mean of so many is within an eighth."""

ADAPTION_SECONDS = 60.0
"""Time constant of the estimate: twenty times that of the performance record,
as a worker may be sick for tens of seconds."""

MAX_WEIGHT = 1.0 / 200.0
"""Largest weight of a run once the mean over the first runs has settled: a
worker with few runs needs some hundreds for another estimate as well."""

MAX_DEVIATION = 0.5
"""Largest deviation of a run, as a logarithm, that counts: as large as that of
expected run times."""

MAX_SLOWNESS = 2.5
MIN_SLOWNESS = 0.4
"""Bounds of the usual slowness.  A worker that is slower from its first run on
is sick, not of a slow kind."""

MIN_PUBLISHED_CHANGE = math.log(1.05)
"""Smallest change, as a logarithm, that entries are told."""

MIN_PERSISTED_CHANGE = math.log(1.2)
"""Smallest change, as a logarithm, that is stored for the agent's next
incarnation: thousands of agents share the store's writes."""

MIN_PERSIST_SECONDS = 60.0
"""Shortest pause between two changes of the stored value."""

PERSISTABLE_RUNS = 100
"""Number of runs from which the estimate may be stored, and that a stored
estimate counts for."""

UNKNOWN = 0.0
"""Slowness that is published and stored while there is no estimate."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """What tells whether two workers are of the same kind and place."""

    pool: str
    capacity: types.Needs
    labels: tuple[str, ...]

    @classmethod
    def from_worker(cls, worker: workerapi.WorkerAnnounced) -> 'Kind':
        """Return the kind of an announced worker."""
        return cls(worker.pool, worker.capacity, worker.labels)


class UsualSpeed:
    """Estimate of the usual slowness of the worker beside an agent.

    :param learns: whether runs are recorded; otherwise the worker counts as
        typical.
    :ivar published: slowness that entries are told.
    :ivar persistent: slowness that the agent's next incarnation should know.
    """

    def __init__(self, learns: bool = False) -> None:
        self._learns = learns
        self._kind: Kind | None = None
        self._recalled: tuple[Kind, float] | None = None
        self._persisted_at = -math.inf
        self._log = 0.0
        self._runs = 0
        self._last_run_at = 0.0
        self._first_logs: list[float] = []
        self.published = 1.0
        self.persistent = UNKNOWN
        self._reset()

    @property
    def is_known(self) -> bool:
        """Whether enough runs were recorded."""
        return self._runs >= MIN_RUNS

    @property
    def slowness(self) -> float:
        """Usual run time at the worker divided by the expected one."""
        return math.exp(self._log) if self.is_known else 1.0

    @property
    def run_count(self) -> int:
        """Number of runs that the estimate rests on."""
        return self._runs

    def meet(self, worker: workerapi.WorkerAnnounced) -> None:
        """Apply the kind of a worker's new incarnation.

        The estimate stays in effect for a worker of the same kind.
        """
        kind = Kind.from_worker(worker)
        if kind != self._kind:
            self._kind = kind
            self._reset()
        self._apply_recalled()

    def recall(self, event: workerapi.SlownessRecalled) -> None:
        """Apply the estimate of the agent's earlier incarnation.

        It is used once a worker of that kind is there.
        """
        kind = Kind(event.pool, event.capacity, event.labels)
        self._recalled = (kind, event.slowness)
        self._apply_recalled()

    def record(self, ratio: float, now: float) -> bool:
        """Record a finished run that took ``ratio`` times as expected.

        :returns: whether the published slowness changed.
        """
        if not self._learns or ratio <= 0.0:
            return False
        log = math.log(ratio)
        self._runs += 1
        weight = self._weigh_run(now)
        if self._runs <= MIN_RUNS:
            self._first_logs.append(log)
            if self._runs == MIN_RUNS:
                self._set(_average(self._first_logs))
        else:
            self._set(self._log + weight * _clip(log - self._log))
        self._update_persistent(now)
        return self._update_published()

    def _weigh_run(self, now: float) -> float:
        """Return the weight of a run that ends now."""
        seconds = max(0.0, now - self._last_run_at)
        self._last_run_at = now
        steady = min(MAX_WEIGHT, seconds / ADAPTION_SECONDS)
        return max(steady, 1.0 / self._runs)

    def _set(self, log: float) -> None:
        upper, lower = math.log(MAX_SLOWNESS), math.log(MIN_SLOWNESS)
        self._log = min(upper, max(lower, log))

    def _update_published(self) -> bool:
        if not self.is_known:
            return False
        if self.published:
            change = abs(self._log - math.log(self.published))
            if change < MIN_PUBLISHED_CHANGE:
                return False
        self.published = self.slowness
        return True

    def _update_persistent(self, now: float) -> None:
        if self._runs < PERSISTABLE_RUNS:
            return
        if now < self._persisted_at + MIN_PERSIST_SECONDS:
            return
        # A worker without a stored value counts as typical.
        stored = math.log(self.persistent or 1.0)
        if abs(self._log - stored) >= MIN_PERSISTED_CHANGE:
            self.persistent = self.slowness
            self._persisted_at = now

    def _apply_recalled(self) -> None:
        if self._recalled is None or not self._learns or self.is_known:
            return
        kind, slowness = self._recalled
        if kind != self._kind or slowness <= 0.0:
            return
        self._recalled = None
        self._runs = PERSISTABLE_RUNS
        self._set(math.log(slowness))
        self.persistent = self.slowness
        self._update_published()

    def _reset(self) -> None:
        self._log = 0.0
        self._runs = 0
        self._last_run_at = 0.0
        self._first_logs = []
        self.persistent = UNKNOWN
        self.published = UNKNOWN if self._learns else 1.0


def _average(logs: list[float]) -> float:
    """Return the mean of values clipped around their median."""
    middle = statistics.median(logs)
    return middle + statistics.mean(_clip(log - middle) for log in logs)


def _clip(deviation: float) -> float:
    return min(MAX_DEVIATION, max(-MAX_DEVIATION, deviation))
