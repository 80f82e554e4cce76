"""Whether a job is let in, and when its caller should come back.

Load pattern: more work than the workers can do, for seconds or for good.
Without this every job waits until most end after their objective: callers
wait in vain, and the workers are busy with answers that come too late.

The wait is predicted from the work that would start before the job and the
rate at which this entry's work starts: its share of the workers at least,
and what it got of late if that is more.  A job that would begin after its
latest start is refused at once.  One that was let in and sees its latest
start pass before any task began is refused too: the prediction was wrong,
and an answer now lets its caller go elsewhere.
"""

import dataclasses
import math
import random

RATE_SECONDS = 1.0
"""Time constant of the rate at which work starts: longer than a plan's run
of work takes to start, shorter than a burst."""

MIN_RETRY_SECONDS = 1.0
"""Retry-After is told in whole seconds."""

MAX_RETRY_SECONDS = 10.0

RETRY_SPREAD_SECONDS = 2.0
"""Callers that were refused together come back spread over this, or they
would be refused together again."""


@dataclasses.dataclass(slots=True)
class StartRate:
    """Core-seconds of work that this entry starts a second."""

    work: float = 0.0
    at: float = 0.0

    def add(self, work: float, now: float) -> None:
        """A run of so much expected work started."""
        self.work = self._kept(now) + work
        self.at = now

    def a_second(self, now: float) -> float:
        """The rate over the last seconds."""
        return self._kept(now) / RATE_SECONDS

    def _kept(self, now: float) -> float:
        return self.work * math.exp(-max(0.0, now - self.at) / RATE_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a new job would meet.

    :param before: core-seconds of waiting work that starts before it.
    :param rate: core-seconds of work that can start a second.
    """

    before: float
    rate: float

    def wait(self) -> float:
        """Seconds until the job's first task starts."""
        if not self.before:
            return 0.0
        return self.before / max(self.rate, 0.001)


def in_time(load: Load, slack: float) -> bool:
    """Whether a job begins by its latest start.

    :param slack: seconds until then.
    """
    return load.wait() <= max(slack, 0.0)


def retry_after(load: Load, slack: float, rng: random.Random) -> float:
    """Seconds after which the wait will be short enough, spread."""
    late = max(load.wait() - slack, MIN_RETRY_SECONDS)
    spread = rng.uniform(0.0, RETRY_SPREAD_SECONDS)
    return min(late + spread, MAX_RETRY_SECONDS)
