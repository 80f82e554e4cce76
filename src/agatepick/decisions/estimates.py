"""Run times as seen, by kind of task.

Load pattern: declared run times are often wrong by several times.  Without
this, admission promises deadlines that can't be met or refuses work that
would have been in time, and a long job is taken for a short one.

Each kind keeps two histograms: of run times, and of run times over declared
ones.  The one whose logarithm varies less predicts the next task: callers
that declare well are believed, even if all are off by the same factor, and
what others declare is ignored.  Buckets are a quarter of an octave wide, so
a quantile is within 19% of the truth, which is finer than run times repeat.
Counts are halved at :data:`WINDOW` observations: a changed upstream
outweighs its past within about as many tasks.  A declared time counts like
:data:`PRIOR_WEIGHT` observations, so eight tasks outvote it two to one.
"""

import math
import typing

from agatepick import types

WINDOW = 512
PRIOR_WEIGHT = 4.0
DEFAULT_SECONDS = 0.3
"""Assumed run time of a kind that is neither seen nor declared."""
LEAST = 0.001
MOST = 3600.0
"""Bounds of what is told apart, in seconds or as a ratio."""
BUCKETS_PER_OCTAVE = 4
MAX_KINDS = 512
"""Kinds remembered: callers choose the names, so memory needs a bound."""
REFRESH = 16
"""Observations after which cached quantiles are worked out anew."""
SPREAD_WEIGHT = 0.05
"""Weight of one observation in the moving centre and spread."""

_BUCKETS = int(BUCKETS_PER_OCTAVE * math.log2(MOST / LEAST)) + 1


class _Histogram:
    """Counts by size, and how far the logarithms lie from their centre."""

    __slots__ = (
        'counts',
        'number',
        'total',
        'centre',
        'spread',
        '_stale',
        '_cache',
    )

    def __init__(self) -> None:
        self.counts = [0.0] * _BUCKETS
        self.number = 0.0
        self.total = 0.0
        self.centre = math.nan
        self.spread = 1.0
        self._stale = 0
        self._cache: dict[float, float] = {}

    def add(self, value: float) -> None:
        value = min(max(value, LEAST), MOST)
        octaves = math.log2(value / LEAST)
        self.counts[int(octaves * BUCKETS_PER_OCTAVE)] += 1.0
        self.number += 1.0
        self.total += value
        self._follow(octaves)
        self._stale += 1
        if self.number >= WINDOW:
            self._halve()
        if self._stale >= REFRESH or self.number < REFRESH:
            self._cache.clear()
            self._stale = 0

    def mean(self, prior: float) -> float:
        weight = PRIOR_WEIGHT + self.number
        return (prior * PRIOR_WEIGHT + self.total) / weight

    def quantile(self, share: float) -> float:
        known = self._cache.get(share)
        if known is None:
            known = self._cache[share] = self._find(share)
        return known

    def _follow(self, octaves: float) -> None:
        if math.isnan(self.centre):
            self.centre = octaves
            return
        off = octaves - self.centre
        self.centre += SPREAD_WEIGHT * off
        self.spread += SPREAD_WEIGHT * (abs(off) - self.spread)

    def _find(self, share: float) -> float:
        left = share * self.number
        for bucket, count in enumerate(self.counts):
            left -= count
            if left <= 0.0 and count:
                return _upper_edge(bucket)
        return LEAST

    def _halve(self) -> None:
        self.counts = [count / 2.0 for count in self.counts]
        self.number /= 2.0
        self.total /= 2.0


def _upper_edge(bucket: int) -> float:
    octaves: float = (bucket + 1) / BUCKETS_PER_OCTAVE
    return typing.cast(float, LEAST * 2.0**octaves)


class _Kind:
    """What was seen of one kind of task."""

    __slots__ = ('seconds', 'ratios')

    def __init__(self) -> None:
        self.seconds = _Histogram()
        self.ratios = _Histogram()

    def believes(self, declared: float) -> bool:
        if not declared or self.ratios.number < PRIOR_WEIGHT:
            return False
        return self.ratios.spread < self.seconds.spread


class RunTimes:
    """Mean and quantiles of run times by kind, in seconds."""

    def __init__(self) -> None:
        self._kinds: dict[str, _Kind] = {}

    def observe(self, task: types.TaskSpec, seconds: float) -> None:
        """Take in the run time of one ended task."""
        seen = self._kinds.get(task.kind)
        if seen is None:
            seen = self._remember(task.kind)
        seen.seconds.add(seconds)
        if task.expected_seconds > 0.0:
            seen.ratios.add(seconds / task.expected_seconds)

    def mean(self, task: types.TaskSpec) -> float:
        """Expected run time of a task."""
        declared = task.expected_seconds
        seen = self._kinds.get(task.kind)
        if seen is None:
            return declared or DEFAULT_SECONDS
        if seen.believes(declared):
            return declared * seen.ratios.mean(1.0)
        return seen.seconds.mean(declared or DEFAULT_SECONDS)

    def quantile(self, task: types.TaskSpec, share: float) -> float:
        """Run time that ``share`` of such tasks stay within.

        Until :data:`PRIOR_WEIGHT` tasks were seen, it is what the caller
        declared.
        """
        declared = task.expected_seconds
        seen = self._kinds.get(task.kind)
        if seen is None or seen.seconds.number < PRIOR_WEIGHT:
            return declared or DEFAULT_SECONDS
        if seen.believes(declared):
            return declared * seen.ratios.quantile(share)
        return seen.seconds.quantile(share)

    def medians(self) -> tuple[tuple[str, float], ...]:
        """Median run time of each kind seen, for the status page."""
        return tuple(
            (kind, seen.seconds.quantile(0.5))
            for kind, seen in sorted(self._kinds.items())
        )

    def _remember(self, kind: str) -> _Kind:
        if len(self._kinds) >= MAX_KINDS:
            self._kinds.pop(next(iter(self._kinds)))
        seen = self._kinds[kind] = _Kind()
        return seen
