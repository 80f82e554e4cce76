"""Shares of the capacity by queue, and the queues that press beyond theirs.

Load pattern: the jobs of several queues share too few workers, and one queue
submits a multiple of its usual demand for seconds.  Without shares its long
runs fill the workers, and the callers of the other queues, whose demand hasn't
changed, are refused.

Each entry learns from its own callers which demand of each queue is usual: the
median of the demands in the last :data:`BUCKET_COUNT` periods, so that a burst
isn't learnt and a lasting change is.  A queue's share is its part of the
entry's capacity in proportion to the usual demands of the pool's queues.  A
queue is over its share while its recent demand exceeds both its share and the
common increase of the other queues: a burst of all queues puts none over.
Jobs of a queue over its share wait after those of the others, and are admitted
by its own backlog and the cores that the others leave.  What other queues
don't use is lent at once, and returns as runs end.

At the start nothing is known, and no queue is over its share.
"""

import collections
import dataclasses
import math
import statistics

from agatepick import core

BUCKET_SECONDS = 2.0
"""Length of the periods whose demands are compared."""

BUCKET_COUNT = 20
"""Number of periods that are remembered.  A burst is learnt from half of that
on: 20 s are longer than a burst and shorter than a lasting change."""

MIN_BUCKETS = 5
"""Number of periods from which the usual demand counts as known: their median
isn't changed by a burst of two."""

RECENT_SECONDS = 1.5
"""Time constant of the recent demand: several jobs of a rare queue, and a part
of a burst."""

OVER_FACTOR = 1.15
"""Factor by which the recent demand must exceed the share, as the estimates of
run times from which both follow differ from one another."""

OVER_DEVIATIONS = 1.0
"""Standard deviations of the recent demand by which it must exceed the share
in addition: a few jobs more than usual are chance."""

HEADROOM_SHARE = 0.2
"""Share of the capacity that isn't lent to a queue over its share: on full
workers, jobs with little slack would be late although their queue is within
its share."""


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """A queue's demand and share at one entry, in cores.

    :param usual: usual demand.
    :param recent: demand of the last seconds.
    :param held: cores that its runs hold.
    :param share: cores that it may use while other queues want theirs.
    :param allowed: cores that it may use now: its share, or more as long as
        the other queues leave them.
    :param headroom: free cores from which on nobody presses for room.
    :param over: whether it presses beyond its share.
    """

    usual: float
    recent: float
    held: float
    share: float
    allowed: float
    headroom: float
    over: bool = False


class Shares:
    """Usual demands of one entry's queues, and the standing of each.

    :ivar enabled: whether any queue can be over its share.
    """

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled
        self._demands: dict[str, _Demand] = {}
        self._standings: dict[str, Standing] = {}

    @property
    def over(self) -> frozenset[str]:
        """Names of the queues that press beyond their share."""
        return frozenset(
            name for name, standing in self._standings.items() if standing.over
        )

    def get(self, queue: str) -> Standing | None:
        """Return the standing of a queue, or ``None`` while it is unknown."""
        return self._standings.get(queue)

    def find_over(self, queue: str) -> Standing | None:
        """Return the standing of a queue that presses beyond its share.

        :returns: ``None`` for any other queue.
        """
        standing = self._standings.get(queue)
        return standing if standing is not None and standing.over else None

    def is_over(self, queue: str) -> bool:
        """Return whether a queue presses beyond its share."""
        return self.find_over(queue) is not None

    def add_demand(
        self, queue: str, pool: str, core_seconds: float, now: float
    ) -> None:
        """Record a job that was submitted, whether it is admitted or not.

        :param pool: pool of workers that serves the queue.
        :param core_seconds: expected work of the job.
        """
        if not self.enabled:
            return
        demand = self._demands.get(queue)
        if demand is None:
            demand = self._demands[queue] = _Demand(now)
        demand.pool = pool
        demand.add(core_seconds, now)

    def update(
        self, held: dict[str, float], capacity: dict[str, float], now: float
    ) -> list[object]:
        """Compute the standing of each queue, and note the changes.

        :param held: cores that runs hold, by queue.
        :param capacity: this entry's part of the cores, by pool.
        """
        over_before = self.over
        self._standings = {}
        for pool, demands in self._known_by_pool(now).items():
            if len(demands) > 1:
                cores = capacity.get(pool, 0.0)
                self._standings.update(_divide(demands, held, cores, now))
        over = self.over
        ended = sorted(over_before - over)
        return [
            *[self._note_over(name) for name in sorted(over - over_before)],
            *[core.note('queue_within_share', queue=name) for name in ended],
        ]

    def _known_by_pool(self, now: float) -> dict[str, dict[str, '_Demand']]:
        by_pool: dict[str, dict[str, _Demand]] = {}
        for name, demand in list(self._demands.items()):
            demand.advance(now)
            if demand.is_forgotten:
                del self._demands[name]
            elif demand.is_known:
                by_pool.setdefault(demand.pool, {})[name] = demand
        return by_pool

    def _note_over(self, queue: str) -> core.Note:
        standing = self._standings[queue]
        return core.note(
            'queue_over_share',
            queue=queue,
            usual=f'{standing.usual:.1f}',
            recent=f'{standing.recent:.1f}',
            share=f'{standing.share:.1f}',
            held=f'{standing.held:.1f}',
        )


class _Demand:
    """Demand of one queue over time."""

    def __init__(self, now: float) -> None:
        self.pool = ''
        self._buckets: collections.deque[float] = collections.deque(
            maxlen=BUCKET_COUNT
        )
        self._bucket_work = 0.0
        self._bucket_ends_at = now + BUCKET_SECONDS
        self._work = 0.0
        self._squares = 0.0
        self._updated_at = now

    @property
    def is_known(self) -> bool:
        """Whether enough periods have passed to tell what is usual."""
        return len(self._buckets) >= MIN_BUCKETS and self.usual > 0.0

    @property
    def is_forgotten(self) -> bool:
        """Whether no job was submitted in any remembered period."""
        full = len(self._buckets) == BUCKET_COUNT
        return full and not any(self._buckets) and not self._bucket_work

    @property
    def usual(self) -> float:
        """Usual demand in cores."""
        return statistics.median(self._buckets)

    def add(self, work: float, now: float) -> None:
        self.advance(now)
        decay = self._decay_factor(now)
        self._bucket_work += work
        self._work = self._work * decay + work
        self._squares = self._squares * decay + work * work
        self._updated_at = now

    def advance(self, now: float) -> None:
        """End the periods that are over."""
        gap = now - self._bucket_ends_at
        if gap > BUCKET_COUNT * BUCKET_SECONDS:
            self._bucket_ends_at = now - BUCKET_COUNT * BUCKET_SECONDS
        while now >= self._bucket_ends_at:
            self._buckets.append(self._bucket_work / BUCKET_SECONDS)
            self._bucket_work = 0.0
            self._bucket_ends_at += BUCKET_SECONDS

    def recent(self, now: float) -> float:
        """Return the demand of the last seconds in cores."""
        return self._work * self._decay_factor(now) / RECENT_SECONDS

    def variance(self, mean: float) -> float:
        """Return the variance of the recent demand in square cores.

        Jobs are assumed to arrive independently of one another.

        :param mean: mean demand in cores.
        """
        job_work = self._squares / self._work if self._work else 0.0
        return mean * job_work / (2.0 * RECENT_SECONDS)

    def _decay_factor(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._updated_at) / RECENT_SECONDS)


def _divide(
    demands: dict[str, _Demand],
    held: dict[str, float],
    capacity: float,
    now: float,
) -> dict[str, Standing]:
    """Return the standings of a pool's queues."""
    usual = {name: demand.usual for name, demand in demands.items()}
    recent = {name: demand.recent(now) for name, demand in demands.items()}
    variance = {
        name: demand.variance(recent[name]) for name, demand in demands.items()
    }
    all_usual = sum(usual.values())
    all_recent = sum(recent.values())
    standings: dict[str, Standing] = {}
    for name, demand in demands.items():
        share = capacity * usual[name] / all_usual
        others_recent = all_recent - recent[name]
        # Own demand in units of the other queues' demand.
        ratio = usual[name] / (all_usual - usual[name])
        limit = max(share, ratio * others_recent, usual[name])
        others_variance = sum(variance.values()) - variance[name]
        deviation = math.sqrt(
            demand.variance(limit) + ratio**2 * others_variance
        )
        left = (1.0 - HEADROOM_SHARE) * capacity - others_recent
        standings[name] = Standing(
            usual[name],
            recent[name],
            held.get(name, 0.0),
            share,
            max(share, left),
            HEADROOM_SHARE * capacity,
            recent[name] > OVER_FACTOR * limit + OVER_DEVIATIONS * deviation,
        )
    return standings
