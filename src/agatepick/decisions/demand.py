"""The number of slots that an entry requests from agents.

Load pattern: the queues of the entries build up and drain within a second, at
different times.  If each queued task moved a slot from one entry to another,
and soon back, one message in nine would only move slots.  An entry therefore
requests no slots for queued tasks that its own slots can start within
:data:`HOLD_SECONDS`.  This applies only to an entry that has filled three
tenths of all slots on average: if one with fewer slots requested none, slots
would idle elsewhere, and a job would take twice as long.  Doubling the hold
time halves the number of messages that only move slots, but raises the mean
response time at 80% load above 1.05 times that of an ideal scheduler, as slots
idle at one entry while tasks wait at the other.
"""

import math

from agatepick.decisions import estimates

HOLD_SECONDS = 0.5
"""A busy entry requests no slots for the tasks that its own slots can start
within this time."""
BUSY_SHARE = 0.3
"""An entry counts as busy if it fills at least this part of all slots on
average."""
RUN_TIME_WEIGHT = 0.02
"""Weight of one run time in the moving mean over all kinds of task."""
USE_TIME_CONSTANT_SECONDS = 10.0
"""Time constant of the average part of the slots that an entry fills.  It is
longer than several jobs take."""


class SlotDemand:
    """An entry's demand for slots, from its queue and its running tasks.

    :ivar average_use: part of all slots that it fills, averaged over time.
    """

    def __init__(self) -> None:
        self.average_use = 0.0
        self._current_use = 0.0
        self._updated_at = 0.0
        self._placed_at = 0.0
        self._mean_seconds = estimates.DEFAULT_RUN_TIME_SECONDS

    def record_use(self, running: int, slots: int, now: float) -> None:
        """Record the number of running tasks and of usable slots at ``now``.

        Both numbers apply until the next call.
        """
        decay = math.exp(
            -max(0.0, now - self._updated_at) / USE_TIME_CONSTANT_SECONDS
        )
        self.average_use = (
            decay * self.average_use + (1.0 - decay) * self._current_use
        )
        self._current_use = running / max(1, slots)
        self._updated_at = now

    def record_placement(self, now: float) -> None:
        """Record that tasks were placed, or that no task waits."""
        self._placed_at = now

    def record_run_time(self, seconds: float) -> None:
        """Record the run time of a task that succeeded."""
        change = (
            max(seconds, estimates.MIN_OBSERVED_VALUE) - self._mean_seconds
        )
        self._mean_seconds += RUN_TIME_WEIGHT * change

    def compute_demand(self, waiting: int, running: int, now: float) -> int:
        """Return the number of tasks to request slots for.

        If the entry is busy, tasks that its own slots will start within
        :data:`HOLD_SECONDS` don't count, unless no task was placed for that
        time.

        :param waiting: number of queued tasks.
        :param running: number of slots that the entry fills.
        """
        has_few_slots = self.average_use < BUSY_SHARE
        if has_few_slots or now - self._placed_at >= HOLD_SECONDS:
            return waiting
        soon_started = running * HOLD_SECONDS / self._mean_seconds
        return max(0, waiting - int(soon_started))
