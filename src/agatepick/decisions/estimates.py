"""Run-time estimates from observed run times, by kind of task.

Load pattern: declared run times are often wrong by several times.  If they
were used as they are, admission would promise deadlines that can't be met or
refuse work that would be in time, and a long job would be taken for a short
one.

Each kind has two histograms: of run times, and of the ratios of run times to
declared ones.  The histogram whose values vary less, on a logarithmic scale,
predicts the next task's run time: consistent declarations are used, even if
all are off by the same factor, and inconsistent ones are ignored.  Buckets are
a quarter of an octave wide, so a quantile is within 19% of the true value,
which is finer than the variation between runs.  Counts are halved at
:data:`HALVING_OBSERVATIONS` observations, so that after a change of an
upstream new run times outweigh old ones within about as many tasks.  A
declared time weighs as much as :data:`PRIOR_WEIGHT` observations, so eight
tasks outweigh it two to one.
"""

import dataclasses
import math
import typing

from agatepick import types

HALVING_OBSERVATIONS = 512
"""Number of observations at which all counts of a histogram are halved."""
PRIOR_WEIGHT = 4.0
"""Number of observations that have the same weight as a declared run time."""
DEFAULT_RUN_TIME_SECONDS = 0.3
"""Assumed run time of a kind without observed or declared run times."""
MIN_OBSERVED_VALUE = 0.001
MAX_OBSERVED_VALUE = 3600.0
"""Bounds of an observed value: a run time in seconds, or the ratio of a run
time to the declared one.  Values beyond them are clamped."""
BUCKETS_PER_OCTAVE = 4
MAX_KINDS = 512
"""Largest number of kinds with a history.  Callers choose the names of kinds,
so memory needs a bound."""
REFRESH_OBSERVATIONS = 16
"""Number of observations after which cached quantiles are recomputed."""
SPREAD_WEIGHT = 0.05
"""Weight of one observation in the moving averages of the logarithms of a
histogram's values and of their deviations."""

_BUCKET_COUNT = (
    int(
        BUCKETS_PER_OCTAVE * math.log2(MAX_OBSERVED_VALUE / MIN_OBSERVED_VALUE)
    )
    + 1
)


_HALF_BUCKET_FACTOR = 2.0 ** (0.5 / BUCKETS_PER_OCTAVE)


@dataclasses.dataclass(frozen=True, slots=True)
class Above:
    """Observations above some value.

    :param weight: their number, halved at times.
    :param total: sum of their values, within the width of a bucket.
    """

    weight: float
    total: float


class Histogram:
    """A logarithmic histogram with the mean deviation of the logarithms.

    :ivar counts: number of observations by bucket, halved at times.
    :ivar weight: sum of ``counts``.
    :ivar total: sum of the observed values, halved with ``counts``.
    :ivar centre: moving average of the values' logarithms, in octaves.
    :ivar spread: moving average of the deviations from ``centre``, in octaves.
    """

    __slots__ = (
        'counts',
        'weight',
        'total',
        'centre',
        'spread',
        '_new_observations',
        '_cached_quantiles',
        '_cached_above',
    )

    def __init__(self) -> None:
        self.counts = [0.0] * _BUCKET_COUNT
        self.weight = 0.0
        self.total = 0.0
        self.centre = math.nan
        self.spread = 1.0
        self._new_observations = 0
        self._cached_quantiles: dict[float, float] = {}
        self._cached_above: list[Above] = []

    def add(self, value: float) -> None:
        """Add an observed value."""
        value = min(max(value, MIN_OBSERVED_VALUE), MAX_OBSERVED_VALUE)
        octaves = math.log2(value / MIN_OBSERVED_VALUE)
        self.counts[int(octaves * BUCKETS_PER_OCTAVE)] += 1.0
        self.weight += 1.0
        self.total += value
        self._update_spread(octaves)
        self._new_observations += 1
        if self.weight >= HALVING_OBSERVATIONS:
            self._halve()
        if (
            self._new_observations >= REFRESH_OBSERVATIONS
            or self.weight < REFRESH_OBSERVATIONS
        ):
            self._cached_quantiles.clear()
            self._cached_above.clear()
            self._new_observations = 0

    def discard(self, value: float) -> None:
        """Take back a value that was added lately."""
        value = min(max(value, MIN_OBSERVED_VALUE), MAX_OBSERVED_VALUE)
        octaves = math.log2(value / MIN_OBSERVED_VALUE)
        bucket = int(octaves * BUCKETS_PER_OCTAVE)
        weight = min(self.counts[bucket], 1.0)
        self.counts[bucket] -= weight
        self.weight -= weight
        self.total -= weight * value
        self._cached_quantiles.clear()
        self._cached_above.clear()

    def mean(self, prior: float) -> float:
        """Return the mean, with a prior of :data:`PRIOR_WEIGHT`."""
        total_weight = PRIOR_WEIGHT + self.weight
        return (prior * PRIOR_WEIGHT + self.total) / total_weight

    def quantile(self, share: float) -> float:
        """Return the value that a share of the observations don't exceed."""
        cached = self._cached_quantiles.get(share)
        if cached is None:
            cached = self._cached_quantiles[share] = self._compute_quantile(
                share
            )
        return cached

    def above(self, value: float) -> 'Above':
        """Return the observations above a value, spread evenly in buckets."""
        if not self._cached_above:
            self._cached_above = self._compute_above()
        value = min(max(value, MIN_OBSERVED_VALUE), MAX_OBSERVED_VALUE)
        position = math.log2(value / MIN_OBSERVED_VALUE) * BUCKETS_PER_OCTAVE
        bucket = int(position)
        whole = self._cached_above[bucket]
        rest = self._cached_above[bucket + 1]
        part = 1.0 - (position - bucket)
        return Above(
            rest.weight + part * (whole.weight - rest.weight),
            rest.total + part * (whole.total - rest.total),
        )

    def _compute_above(self) -> 'list[Above]':
        above = [Above(0.0, 0.0)]
        for bucket in reversed(range(_BUCKET_COUNT)):
            count = self.counts[bucket]
            middle = _get_upper_edge(bucket) / _HALF_BUCKET_FACTOR
            last = above[-1]
            above.append(
                Above(last.weight + count, last.total + count * middle)
            )
        above.reverse()
        return above

    def _update_spread(self, octaves: float) -> None:
        if math.isnan(self.centre):
            self.centre = octaves
            return
        deviation = octaves - self.centre
        self.centre += SPREAD_WEIGHT * deviation
        self.spread += SPREAD_WEIGHT * (abs(deviation) - self.spread)

    def _compute_quantile(self, share: float) -> float:
        remaining = share * self.weight
        for bucket, count in enumerate(self.counts):
            remaining -= count
            if remaining <= 0.0 and count:
                return _get_upper_edge(bucket)
        return MIN_OBSERVED_VALUE

    def _halve(self) -> None:
        self.counts = [count / 2.0 for count in self.counts]
        self.weight /= 2.0
        self.total /= 2.0


def _get_upper_edge(bucket: int) -> float:
    octaves: float = (bucket + 1) / BUCKETS_PER_OCTAVE
    return typing.cast(float, MIN_OBSERVED_VALUE * 2.0**octaves)


class _KindHistory:
    """The observed run times and ratios of one kind of task."""

    __slots__ = ('seconds', 'ratios')

    def __init__(self) -> None:
        self.seconds = Histogram()
        self.ratios = Histogram()

    def uses_declared(self, declared: float) -> bool:
        if not declared or self.ratios.weight < PRIOR_WEIGHT:
            return False
        return self.ratios.spread < self.seconds.spread


class RunTimes:
    """The mean and quantiles of run times by kind, in seconds."""

    def __init__(self) -> None:
        self._kinds: dict[str, _KindHistory] = {}

    def observe(self, task: types.TaskSpec, seconds: float) -> None:
        """Add the run time of a task that ended."""
        history = self._kinds.get(task.kind)
        if history is None:
            history = self._add_kind(task.kind)
        history.seconds.add(seconds)
        if task.expected_seconds > 0.0:
            history.ratios.add(seconds / task.expected_seconds)

    def mean(self, task: types.TaskSpec) -> float:
        """Return the expected run time of a task, in seconds."""
        declared = task.expected_seconds
        history = self._kinds.get(task.kind)
        if history is None:
            return declared or DEFAULT_RUN_TIME_SECONDS
        if history.uses_declared(declared):
            return declared * history.ratios.mean(1.0)
        return history.seconds.mean(declared or DEFAULT_RUN_TIME_SECONDS)

    def quantile(self, task: types.TaskSpec, share: float) -> float:
        """Return the run time, in seconds, at a quantile of similar tasks.

        The declared run time is returned until :data:`PRIOR_WEIGHT` tasks of
        the kind were observed.

        :param share: part of the tasks that take no longer, 0 to 1.
        """
        declared = task.expected_seconds
        history = self._kinds.get(task.kind)
        if history is None or history.seconds.weight < PRIOR_WEIGHT:
            return declared or DEFAULT_RUN_TIME_SECONDS
        if history.uses_declared(declared):
            return declared * history.ratios.quantile(share)
        return history.seconds.quantile(share)

    def medians(self) -> tuple[tuple[str, float], ...]:
        """Return the median run time in seconds of each observed kind."""
        return tuple(
            (kind, history.seconds.quantile(0.5))
            for kind, history in sorted(self._kinds.items())
        )

    def _add_kind(self, kind: str) -> _KindHistory:
        if len(self._kinds) >= MAX_KINDS:
            self._kinds.pop(next(iter(self._kinds)))
        history = self._kinds[kind] = _KindHistory()
        return history
