"""Distribution of each queue's run times, as ratios to their expected times.

Load pattern: a few tasks in a hundred take several times as long as others.
Without a record of how often that happens, each of them looks as if its worker
were slow.

A queue has two histograms: for runs whose expected time is that of finished
siblings, which is close, and for the others, whose expected time rests on a
caller's estimate.  What a queue hasn't shown itself is taken from the runs of
all queues, and until some of these were observed, long runs are assumed to be
as rare as a power of the ratio.
"""

import dataclasses
import math

from agatepick.decisions import estimates

ASSUMED_WEIGHT = 4.0
"""Number of runs of any queue that have the weight of the assumed power."""

COMMON_WEIGHT = 8.0
"""Number of a queue's runs that have the weight of those of all queues."""

SIBLING_EXPONENT = 3.0
"""Power with which runs become rarer with their ratio to finished siblings:
one in eleven takes over 2.2 times as long."""

ESTIMATE_EXPONENT = 2.0
"""Power with which runs become rarer with their ratio to an estimate: one in
nineteen takes over 4.4 times as long."""

MAX_QUEUES = 512
"""Largest number of queues with a record."""


class Assumed:
    """Distribution that is assumed before any run was observed."""

    def __init__(self, exponent: float) -> None:
        self._exponent = exponent

    def survival(self, ratio: float) -> float:
        """Return the share of runs that take longer than a ratio."""
        return 1.0 / math.pow(max(ratio, 1.0), self._exponent)

    def mean_above(self, ratio: float) -> float:
        """Return the mean ratio of the runs that take longer than one."""
        exponent = self._exponent
        return max(ratio, 1.0) * exponent / (exponent - 1.0)


class RunRatios:
    """Distribution of observed ratios, completed by another distribution.

    :param prior: distribution that completes the observed one.
    :param prior_weight: number of runs that have its weight.
    """

    def __init__(
        self, prior: 'Assumed | RunRatios', prior_weight: float
    ) -> None:
        self._prior = prior
        self._prior_weight = prior_weight
        self._histogram = estimates.Histogram()

    @classmethod
    def from_exponent(cls, exponent: float) -> 'RunRatios':
        """Return a distribution of which only its assumed power is known."""
        return cls(Assumed(exponent), ASSUMED_WEIGHT)

    def add(self, ratio: float) -> None:
        """Add the ratio of a run at a sound worker."""
        self._histogram.add(ratio)

    def discard(self, ratio: float) -> None:
        """Take back a ratio that was added lately."""
        self._histogram.discard(ratio)

    def survival(self, ratio: float) -> float:
        """Return the share of runs that take longer than a ratio."""
        above = self._histogram.above(ratio)
        weight = above.weight + self._prior_weight * self._prior.survival(
            ratio
        )
        return weight / (self._histogram.weight + self._prior_weight)

    def mean_above(self, ratio: float) -> float:
        """Return the mean ratio of the runs that take longer than one."""
        above = self._histogram.above(ratio)
        weight = self._prior_weight * self._prior.survival(ratio)
        total = above.total + weight * self._prior.mean_above(ratio)
        return max(total / (above.weight + weight), ratio)


@dataclasses.dataclass(frozen=True, slots=True)
class QueueRatios:
    """Both distributions of a queue, or of all queues."""

    by_siblings: RunRatios
    by_estimate: RunRatios

    @classmethod
    def from_common(cls, common: 'QueueRatios') -> 'QueueRatios':
        """Return those of a queue of which no run was observed."""
        return cls(
            RunRatios(common.by_siblings, COMMON_WEIGHT),
            RunRatios(common.by_estimate, COMMON_WEIGHT),
        )

    def select(self, has_siblings: bool) -> RunRatios:
        """Return the distribution for runs with or without siblings."""
        return self.by_siblings if has_siblings else self.by_estimate


class AllRatios:
    """Distributions by queue, and of all queues together."""

    def __init__(self) -> None:
        self.common = QueueRatios(
            RunRatios.from_exponent(SIBLING_EXPONENT),
            RunRatios.from_exponent(ESTIMATE_EXPONENT),
        )
        self._queues: dict[str, QueueRatios] = {}

    def get(self, queue: str) -> QueueRatios:
        """Return the distributions of a queue."""
        ratios = self._queues.get(queue)
        if ratios is None:
            if len(self._queues) >= MAX_QUEUES:
                self._queues.pop(next(iter(self._queues)))
            ratios = QueueRatios.from_common(self.common)
            self._queues[queue] = ratios
        return ratios

    def add(self, queue: str, has_siblings: bool, ratio: float) -> None:
        """Add the ratio of a run at a sound worker."""
        self.common.select(has_siblings).add(ratio)
        self.get(queue).select(has_siblings).add(ratio)

    def discard(self, queue: str, has_siblings: bool, ratio: float) -> None:
        """Take back a ratio that was added lately."""
        self.common.select(has_siblings).discard(ratio)
        self.get(queue).select(has_siblings).discard(ratio)
