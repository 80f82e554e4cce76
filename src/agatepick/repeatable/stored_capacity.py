"""The capacity of a worker that is stored for its agent's next incarnation.

Load pattern: capacities that move up and down all the time, at many workers.
If each change were stored, the store would get as many writes as the workers
send announcements.  If none were, a restarted agent would start tasks by a
capacity that its worker no longer has, until the next announcement.

A lower capacity is therefore stored at once, and a higher one after a pause:
a restarted agent that assumes too little for a moment does no harm.  A worker
that moves between two capacities costs two writes a pause.
"""

from agatepick import types

GROWTH_PAUSE_SECONDS = 60.0
"""Time for which a lower capacity stays stored: with thousands of workers that
all change, some hundred writes a second."""


class StoredCapacity:
    """What of a worker's announced capacity is stored."""

    def __init__(self) -> None:
        self._stored: types.Needs | None = None
        self._stored_at = 0.0

    def reset(self) -> None:
        """Forget what is stored, as it describes another incarnation."""
        self._stored = None

    def choose(self, announced: types.Needs, now: float) -> types.Needs:
        """Return the capacity to store after an announcement."""
        stored = self._stored
        if (
            stored is None
            or not stored.fits(announced)
            or now >= self._stored_at + GROWTH_PAUSE_SECONDS
        ):
            return self._store(announced, now)
        return stored

    def _store(self, capacity: types.Needs, now: float) -> types.Needs:
        if capacity != self._stored:
            self._stored = capacity
            self._stored_at = now
        return capacity
