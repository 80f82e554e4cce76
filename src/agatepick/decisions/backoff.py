"""Exponential backoff between attempts at an operation that fails.

Load pattern: a peer refuses connections, resets them or answers with an
error at once.  Without a pause the client would retry thousands of times a
second: each attempt opens a connection, and the client's process does
nothing else meanwhile.
"""

import dataclasses
import random

GROWTH = 2.0
"""Factor from one pause to the next."""

MIN_JITTER_FACTOR = 0.5
"""Lower bound of the random factor by which a pause is shortened."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pauses:
    """The bounds of the pauses after consecutive failures, in seconds.

    :param first: pause after the first failure.
    :param most: longest pause.
    """

    first: float
    most: float

    def after(self, failures: int) -> float:
        """Return the pause after a number of consecutive failures.

        :param failures: number of failures, at least 1.
        """
        pause = self.first
        for _ in range(failures - 1):
            pause *= GROWTH
            if pause >= self.most:
                break
        return min(pause, self.most)


class Backoff:
    """A counter of one peer's consecutive failures.

    :param rng: source of jitter, for peers that have many clients, which
        would otherwise all retry at the same instant.
    """

    def __init__(
        self, pauses: Pauses, rng: random.Random | None = None
    ) -> None:
        self._pauses = pauses
        self._rng = rng
        self._failures = 0

    def failed(self) -> float:
        """Record a failure and return the seconds until the next attempt."""
        self._failures += 1
        pause = self._pauses.after(self._failures)
        if self._rng is None:
            return pause
        return pause * self._rng.uniform(MIN_JITTER_FACTOR, 1.0)

    def succeeded(self) -> None:
        """Reset the count of consecutive failures."""
        self._failures = 0
