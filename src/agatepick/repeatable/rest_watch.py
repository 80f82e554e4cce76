"""Timing of the call that stands open at a worker without runs.

Load pattern: a worker crashes and is back under its id within a moment,
perhaps as another kind.  An agent whose worker has runs asks for its lists
all the time; without runs nothing would tell it before the next announcement,
and tasks would start at a kind of worker that their jobs exclude.  The crash
breaks the call that stands open, so the agent asks who is there now before it
starts anything.
"""

WAIT_SECONDS = 1.0
"""Time after which the worker answers.  A connection that has gone silent
hides a crash for as long."""

MIN_INTERVAL_SECONDS = 0.1
"""Shortest time between two calls, for a worker that answers at once."""


class RestWatch:
    """The open call at one incarnation of a worker."""

    def __init__(self) -> None:
        self._pending = False
        self._next_at = 0.0

    def reset(self) -> None:
        """Reset the state for another incarnation of the worker."""
        self._pending = False
        self._next_at = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether the next call is due."""
        return not self._pending and now >= self._next_at

    def record_call(self, now: float) -> None:
        """Record that a call was sent."""
        self._pending = True
        self._next_at = now + MIN_INTERVAL_SECONDS

    def record_end(self) -> None:
        """Record that the call has ended."""
        self._pending = False
