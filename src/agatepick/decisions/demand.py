"""How much of its queue an entry tells agents, which move slots by it.

Load pattern: entries' queues come and go within
a second, at different times.  If each queued task moved a slot from one
entry to another, and soon back, a message in nine would only move slots.  A
queue that an entry's own slots take within :data:`HOLD_SECONDS` moves none.
Only an entry that has filled three tenths of all slots of late holds back
so: with fewer, slots idle elsewhere, and a job would take twice its time.
Twice as long halves the offers once more, but the mean response is then
above 1.05 times the ideal at 80% load, as slots idle at one entry while
tasks wait at the other.
"""

import math

from agatepick.decisions import estimates

HOLD_SECONDS = 0.5
"""Queue, in time, that is left to the slots this entry holds already."""
BUSY_SHARE = 0.3
"""Part of all slots that one entry fills, on average, on busy days."""
MEAN_WEIGHT = 0.02
"""Weight of one run time in the moving mean over all kinds."""
BUSY_SECONDS = 10.0
"""Time constant of the share of slots in use: several jobs long."""


class Demand:
    """An entry's demand for slots, from its queue and what it runs.

    :ivar busy: part of all slots that it fills, on average over time.
    """

    def __init__(self) -> None:
        self.busy = 0.0
        self._filled = 0.0
        self._at = 0.0
        self._placed_at = 0.0
        self._mean_seconds = estimates.DEFAULT_SECONDS

    def add(self, running: int, slots: int, now: float) -> None:
        """Take what runs from ``now`` on, of all usable slots."""
        kept = math.exp(-max(0.0, now - self._at) / BUSY_SECONDS)
        self.busy = kept * self.busy + (1.0 - kept) * self._filled
        self._filled = running / max(1, slots)
        self._at = now

    def placed(self, now: float) -> None:
        """Tasks were placed, or none waits."""
        self._placed_at = now

    def ended(self, seconds: float) -> None:
        """Take the run time of a task that ended well."""
        change = max(seconds, estimates.LEAST) - self._mean_seconds
        self._mean_seconds += MEAN_WEIGHT * change

    def told(self, waiting: int, running: int, now: float) -> int:
        """Tasks that agents should move slots here for.

        On busy days those that the entry's own slots will soon take don't
        count, unless no slot took any for :data:`HOLD_SECONDS`.
        """
        is_calm = self.busy < BUSY_SHARE
        if is_calm or now - self._placed_at >= HOLD_SECONDS:
            return waiting
        soon = running * HOLD_SECONDS / self._mean_seconds
        return max(0, waiting - int(soon))
