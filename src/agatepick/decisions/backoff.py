"""Exponential backoff between attempts at an operation that fails.

Load pattern: a peer refuses connections, resets them or answers with an
error at once.  Without a delay the client would retry thousands of times a
second: each attempt opens a connection, and the client's process does
nothing else meanwhile.
"""

import dataclasses
import random

GROWTH_FACTOR = 2.0
"""Factor from one delay to the next."""

MIN_JITTER_FACTOR = 0.5
"""Lower bound of the random factor that a delay is multiplied by; the upper
bound is 1."""


@dataclasses.dataclass(frozen=True, slots=True)
class BackoffDelays:
    """The bounds of the delays after consecutive failures, in seconds.

    :param first_seconds: delay after the first failure.
    :param max_seconds: longest delay.
    """

    first_seconds: float
    max_seconds: float

    def get_delay(self, failures: int) -> float:
        """Return the delay after a number of consecutive failures.

        :param failures: number of failures, at least 1.
        """
        delay = self.first_seconds
        for _ in range(failures - 1):
            delay *= GROWTH_FACTOR
            if delay >= self.max_seconds:
                break
        return min(delay, self.max_seconds)


class Backoff:
    """The delays between attempts at one peer, by its consecutive failures.

    :param rng: source of random jitter.  It is needed for a peer that has
        many clients, which would otherwise all retry at the same instant.
    """

    def __init__(
        self, delays: BackoffDelays, rng: random.Random | None = None
    ) -> None:
        self._delays = delays
        self._rng = rng
        self._failures = 0

    def record_failure(self) -> float:
        """Record a failure and return the seconds until the next attempt."""
        self._failures += 1
        delay = self._delays.get_delay(self._failures)
        if self._rng is None:
            return delay
        return delay * self._rng.uniform(MIN_JITTER_FACTOR, 1.0)

    def reset(self) -> None:
        """Reset the count of consecutive failures."""
        self._failures = 0
