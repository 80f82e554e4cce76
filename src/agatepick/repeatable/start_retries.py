"""Which starts are sent to the worker again.

A worker runs the same run once however often it receives the start, so an
unanswered start is sent again where nothing speaks against it.
"""

import typing

from agatepick.repeatable import announced_capacity
from agatepick.repeatable import overcommit
from agatepick.repeatable import runs
from agatepick.repeatable import sharing
from agatepick.repeatable import worker_clock

START_RETRY_SECONDS = 0.03
"""Pause before an unanswered start is sent again.  A retry only saves time:
giving up a start and placing its task elsewhere cost 0.15 s, more than the
slack of short urgent jobs."""

MAX_START_ATTEMPTS = 3
"""Largest number of times that one run's start is sent."""


class StartRetries:
    """Decides on the starts of one worker, while it may get any."""

    def __init__(
        self,
        capacity: sharing.SharedCapacity,
        announced: announced_capacity.AnnouncedCapacity,
        clock: worker_clock.WorkerClock,
    ) -> None:
        self._capacity = capacity
        self._announced = announced
        self._clock = clock

    def is_due(self, run: runs.Run, now: float) -> bool:
        """Return whether a run's start is to be sent again, or given up."""
        return (
            self._may_retry(run, now)
            and now >= run.start_sent_at + START_RETRY_SECONDS
        )

    def must_give_up(self, run: runs.Run, now: float) -> bool:
        """Return whether a start is given up, as the worker has no room."""
        return overcommit.must_give_up(run, self._are_blocked(now))

    def next_due(
        self, present: typing.Iterable[runs.Run], now: float
    ) -> list[float]:
        """Return the instants at which starts are sent again."""
        return [
            run.start_sent_at + START_RETRY_SECONDS
            for run in present
            if self._may_retry(run, now)
        ]

    def _may_retry(self, run: runs.Run, now: float) -> bool:
        # Most runs are confirmed, and all are asked for after each event.
        if run.confirmed_at or run.stopping:
            return False
        if not self._clock.known:
            return False
        if run.unanswered_start_count and self._are_blocked(now):
            return False
        return run.start_count < MAX_START_ATTEMPTS

    def _are_blocked(self, now: float) -> bool:
        """Return whether starts that may not have begun aren't sent again."""
        return (
            self._capacity.blocks_retries
            or self._announced.may_have_shrunk(now)
        )
