"""Whether a job is let in, and when its caller should come back.

Load pattern: more work than the workers can do, for seconds or for good.
Without this every job waits until most end after their objective: callers
wait in vain, and the workers are busy with answers that come too late.

What a job waits for is cores.  The wait is predicted from the cores that all
before it need beyond those that are free, and from the cores that come free a
second: this entry's share of the workers over the usual run time, or what its
own runs freed of late if that is more.  A job that would start too late is
refused at once; where nothing waits before it, it never is.  One that was let
in and sees its latest start pass before any task began is refused too: the
prediction was wrong, and an answer now lets its caller go elsewhere.
"""

import dataclasses
import math
import random

RATE_SECONDS = 1.0
"""Time constant of the rate at which cores come free: some run times, and
shorter than a burst."""

USED_SHARE = 0.92
"""Part of the workers' cores that tasks fill: 64 cores hold ten tasks of 6.2
on average, and the rest is too small for another."""

SLACK_SHARE = 0.7
"""Part of a job's slack that its wait may take up.  Its own run time is
known to within a third, and what comes later may be more urgent."""

MIN_RETRY_SECONDS = 1.0
"""Retry-After is told in whole seconds."""

MAX_RETRY_SECONDS = 10.0

RETRY_SPREAD_SECONDS = 2.0
"""Callers that were refused together come back spread over this, or they
would be refused together again."""


class FreedRate:
    """Cores that come free a second, as this entry's runs end."""

    def __init__(self) -> None:
        self._cores = 0.0
        self._seconds = 0.0
        self._count = 0.0
        self._at = 0.0

    def add(self, cores: float, seconds: float, now: float) -> None:
        """A run ended that held some cores for some seconds."""
        kept = self._kept(now)
        self._cores = self._cores * kept + cores
        self._seconds = self._seconds * kept + seconds
        self._count = self._count * kept + 1.0
        self._at = now

    def a_second(self, now: float) -> float:
        """Cores freed a second of late."""
        return self._cores * self._kept(now) / RATE_SECONDS

    def usual_seconds(self) -> float:
        """Mean run time of late; a third of a second before any ended."""
        if self._count < 1.0:
            return 0.33
        return max(self._seconds / self._count, 0.02)

    def _kept(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._at) / RATE_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a new job would meet.

    :param needed: cores of the tasks that start before it.
    :param free: cores that are free for them now.
    :param rate: cores that come free a second.
    """

    needed: float
    free: float
    rate: float

    def wait(self) -> float:
        """Seconds until the job starts."""
        return max(0.0, self.needed - self.free) / max(self.rate, 0.001)


def in_time(load: Load, slack: float) -> bool:
    """Whether a job starts soon enough.

    :param slack: seconds until it should have started.
    """
    return load.wait() <= SLACK_SHARE * max(slack, 0.0)


def retry_after(load: Load, slack: float, rng: random.Random) -> float:
    """Seconds after which the wait will be short enough, spread."""
    late = max(load.wait() - slack, MIN_RETRY_SECONDS)
    spread = rng.uniform(0.0, RETRY_SPREAD_SECONDS)
    return min(late + spread, MAX_RETRY_SECONDS)
