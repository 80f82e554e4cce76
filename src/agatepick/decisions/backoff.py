"""Pauses between attempts at something that fails.

Load pattern: a peer refuses, resets its connections or answers an error at
once.  Asked again without a pause it is asked thousands of times a second:
each attempt opens a connection, and the process that asks does nothing else
meanwhile.
"""

import dataclasses
import random

GROWTH = 2.0
"""Factor from one pause to the next."""

LEAST_PART = 0.5
"""Part of a pause that is kept at least where pauses are spread."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pauses:
    """How the pauses after failures in a row grow, in seconds.

    :param first: after one failure.
    :param most: after many.
    """

    first: float
    most: float

    def after(self, failures: int) -> float:
        """The pause after so many failures in a row, at least one."""
        grown = self.first
        for _ in range(failures - 1):
            grown *= GROWTH
            if grown >= self.most:
                break
        return min(grown, self.most)


class Backoff:
    """Counts one peer's failures in a row.

    :param rng: spreads the pauses, where many ask the same peer and would
        else all come back at the same instant.
    """

    def __init__(
        self, pauses: Pauses, rng: random.Random | None = None
    ) -> None:
        self._pauses = pauses
        self._rng = rng
        self._failures = 0

    def failed(self) -> float:
        """Seconds until the next attempt, after one more failure."""
        self._failures += 1
        pause = self._pauses.after(self._failures)
        if self._rng is None:
            return pause
        return pause * self._rng.uniform(LEAST_PART, 1.0)

    def succeeded(self) -> None:
        """The next failure is the first one again."""
        self._failures = 0
