"""How well a worker does, as its agent sees it.

Load pattern: a worker turns slow, stands still, or fails what it is given,
while it announces itself as well.  It is always free then, as late binding
would have it, and takes more work the worse it does.  Each entry alone would
need its own dozen of runs to notice; the agent sees the runs of all.

Both figures are moving averages.  A run that goes on for longer than
expected counts before it ends, since a worker that stands still ends
nothing.  Without runs the record fades, so that a worker is tried again.
"""

import math

SLOWNESS_WEIGHT = 0.15
"""Weight of one run time: with 10 runs at once, the first seven ends move
the average two thirds of the way."""

SUCCESS_WEIGHT = 0.15
"""Weight of one outcome: from a clean record four failures in a row halve
it; a sound worker fails two runs in a thousand."""

FADE_SECONDS = 3.0
"""Time constant with which the record fades while nothing runs.  A worker
six times too slow is tried again after 5 s."""

OVERDUE_RATIO = 2.5
"""Times the expected seconds at which a run counts before its end, and again
at twice that and so on: one guess in a hundred is off by as much."""

MAX_RATIO = 12.0
LEAST_SUCCESS = 0.1


class Health:
    """One worker's record, in one life of its agent."""

    def __init__(self) -> None:
        self._slowness = 1.0
        self._success = 1.0
        self._busy_at = 0.0

    def cost(self, now: float) -> float:
        """Expected time until a result, over that at a sound worker."""
        slowness, success = self._faded(now)
        return slowness / max(success, LEAST_SUCCESS)

    def ended(self, ok: bool, ratio: float, now: float) -> None:
        """A run ended after ``ratio`` times its expected seconds."""
        self._settle(now)
        outcome = 1.0 if ok else 0.0
        self._success += SUCCESS_WEIGHT * (outcome - self._success)
        if ok:
            ratio = min(ratio, MAX_RATIO)
            self._slowness += SLOWNESS_WEIGHT * (ratio - self._slowness)

    def overdue(self, ratio: float, now: float) -> None:
        """A run goes on after ``ratio`` times its expected seconds.

        It weighs as much as an end: one run with a wrong guess must not
        take a sound worker out, ten on a slow one do.
        """
        self._settle(now)
        self._slowness += SLOWNESS_WEIGHT * (ratio - self._slowness)

    def _settle(self, now: float) -> None:
        self._slowness, self._success = self._faded(now)
        self._busy_at = now

    def _faded(self, now: float) -> tuple[float, float]:
        """Slowness and success, nearer to 1 the longer nothing ran."""
        kept = math.exp(-max(0.0, now - self._busy_at) / FADE_SECONDS)
        slowness = 1.0 + (self._slowness - 1.0) * kept
        return slowness, 1.0 + (self._success - 1.0) * kept
