"""Run times as seen, by kind of task.

Load pattern: declared run times are often wrong by several times.  Without
this, admission promises deadlines that can't be met or refuses work that
would have been in time, and a long job is taken for a short one.

Each kind keeps a histogram with buckets a quarter of an octave wide, so a
quantile is within 19% of the truth, which is finer than run times repeat.
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
MIN_SECONDS = 0.001
MAX_SECONDS = 3600.0
BUCKETS_PER_OCTAVE = 4
MAX_KINDS = 512
"""Kinds remembered: callers choose the names, so memory needs a bound."""
REFRESH = 16
"""Observations after which a kind's cached quantiles are worked out anew."""

_BUCKETS = 1 + int(
    BUCKETS_PER_OCTAVE * math.log2(MAX_SECONDS / MIN_SECONDS) + 1
)


class _Kind:
    """Histogram of one kind of task."""

    __slots__ = ('counts', 'number', 'total', 'stale', 'cache')

    def __init__(self) -> None:
        self.counts = [0.0] * _BUCKETS
        self.number = 0.0
        self.total = 0.0
        self.stale = 0
        self.cache: dict[float, float] = {}

    def add(self, seconds: float) -> None:
        seconds = min(max(seconds, MIN_SECONDS), MAX_SECONDS)
        octaves = math.log2(seconds / MIN_SECONDS)
        self.counts[int(octaves * BUCKETS_PER_OCTAVE)] += 1.0
        self.number += 1.0
        self.total += seconds
        self.stale += 1
        if self.number >= WINDOW:
            self._halve()
        if self.stale >= REFRESH or self.number < REFRESH:
            self.cache.clear()
            self.stale = 0

    def quantile(self, share: float) -> float:
        known = self.cache.get(share)
        if known is None:
            known = self.cache[share] = self._find(share)
        return known

    def _find(self, share: float) -> float:
        left = share * self.number
        for bucket, count in enumerate(self.counts):
            left -= count
            if left <= 0.0 and count:
                return _upper_edge(bucket)
        return MIN_SECONDS

    def _halve(self) -> None:
        self.counts = [count / 2.0 for count in self.counts]
        self.number /= 2.0
        self.total /= 2.0


def _upper_edge(bucket: int) -> float:
    octaves: float = (bucket + 1) / BUCKETS_PER_OCTAVE
    return typing.cast(float, MIN_SECONDS * 2.0**octaves)


class RunTimes:
    """Mean and quantiles of run times by kind, in seconds."""

    def __init__(self) -> None:
        self._kinds: dict[str, _Kind] = {}

    def observe(self, kind: str, seconds: float) -> None:
        """Take in the run time of one ended task."""
        seen = self._kinds.get(kind)
        if seen is None:
            seen = self._remember(kind)
        seen.add(seconds)

    def mean(self, task: types.TaskSpec) -> float:
        """Expected run time of a task."""
        prior = task.expected_seconds or DEFAULT_SECONDS
        seen = self._kinds.get(task.kind)
        if seen is None:
            return prior
        weight = PRIOR_WEIGHT + seen.number
        return (prior * PRIOR_WEIGHT + seen.total) / weight

    def quantile(self, task: types.TaskSpec, share: float) -> float:
        """Run time that ``share`` of such tasks stay within.

        Until :data:`PRIOR_WEIGHT` tasks were seen, it is what the caller
        declared.
        """
        seen = self._kinds.get(task.kind)
        if seen is None or seen.number < PRIOR_WEIGHT:
            return task.expected_seconds or DEFAULT_SECONDS
        return seen.quantile(share)

    def medians(self) -> tuple[tuple[str, float], ...]:
        """Median run time of each kind seen, for the status page."""
        return tuple(
            (kind, seen.quantile(0.5))
            for kind, seen in sorted(self._kinds.items())
        )

    def _remember(self, kind: str) -> _Kind:
        if len(self._kinds) >= MAX_KINDS:
            self._kinds.pop(next(iter(self._kinds)))
        seen = self._kinds[kind] = _Kind()
        return seen
