"""Performance record of a worker, kept by its agent.

Load pattern: a worker becomes slow, hangs or fails its tasks, while its
announcements look normal.  As tasks are placed where capacity is free, such a
worker is always free and attracts more work the worse it performs.  Each entry
alone would need a dozen of its own runs to detect that; the agent records the
runs of all entries.

Slowness and success rate are moving averages.  A run that exceeds its expected
time is recorded before it ends, since on a hanging worker no run ends.
Without runs the record fades, so that the worker is tried again.
"""

import math

SLOWNESS_WEIGHT = 0.15
"""Weight of one run time in the average: with 10 concurrent runs, the first
seven that end move it two thirds of the way to their own mean."""

SUCCESS_WEIGHT = 0.15
"""Weight of one outcome in the average: from a clean record, four failures in
a row halve the success rate; a healthy worker fails two runs in a thousand."""

FADE_SECONDS = 3.0
"""Time constant with which the record fades while nothing runs.  A worker that
was six times too slow is tried again after 5 s."""

OVERDUE_RATIO = 2.5
"""Multiple of its expected time at which a run is recorded as slow before it
ends, and again each time the multiple doubles.  One estimate in a hundred is
wrong by this factor."""

MAX_RATIO = 12.0
MIN_SUCCESS_RATE = 0.1


class Health:
    """Performance record of one worker during one incarnation of its agent."""

    def __init__(self) -> None:
        self._slowness = 1.0
        self._success_rate = 1.0
        self._last_run_at = 0.0

    def cost(self, now: float) -> float:
        """Return the expected time until a result; 1 for a healthy worker."""
        slowness, success = self._compute_faded(now)
        return slowness / max(success, MIN_SUCCESS_RATE)

    def record_end(self, ok: bool, ratio: float, now: float) -> None:
        """Record a run that ended.

        :param ratio: its run time divided by that expected at this worker.
        """
        self._apply_fade(now)
        outcome = 1.0 if ok else 0.0
        self._success_rate += SUCCESS_WEIGHT * (outcome - self._success_rate)
        if ok:
            ratio = min(ratio, MAX_RATIO)
            self._slowness += SLOWNESS_WEIGHT * (ratio - self._slowness)

    def record_overdue(self, ratio: float, now: float) -> None:
        """Record that a run has taken ``ratio`` times its expected time.

        The run is still going on.  Its weight is that of an ended run: one run
        with a wrong estimate must not exclude a healthy worker, but ten
        overdue runs on a slow worker must.
        """
        self._apply_fade(now)
        self._slowness += SLOWNESS_WEIGHT * (ratio - self._slowness)

    def rescale(self, factor: float) -> None:
        """Multiply the recorded slowness by a factor, as far as 1.

        The worker's usual slowness became known, to which further runs are
        compared: without this a sound worker of a slow kind would count as
        sick until as many runs again have ended.
        """
        if self._slowness > 1.0:
            self._slowness = max(1.0, self._slowness * factor)

    def _apply_fade(self, now: float) -> None:
        self._slowness, self._success_rate = self._compute_faded(now)
        self._last_run_at = now

    def _compute_faded(self, now: float) -> tuple[float, float]:
        """Return slowness and success rate, which approach 1 without runs."""
        decay = math.exp(-max(0.0, now - self._last_run_at) / FADE_SECONDS)
        slowness = 1.0 + (self._slowness - 1.0) * decay
        return slowness, 1.0 + (self._success_rate - 1.0) * decay
