"""The capacity that a worker has announced, and how far it is relied on.

Load pattern: a worker shrinks while nobody hears it, as its agent is down or
its announcements get lost.  Most workers refuse what doesn't fit, so that an
old capacity costs a refused start.  One that takes whatever it is sent would
be filled beyond what it has: at such a worker runs start only by an
announcement that is recent.
"""

from agatepick import core
from agatepick.repeatable import sharing
from agatepick.repeatable import worker_clock
from agatepick.repeatable import workerapi

MAX_AGE_SECONDS = 4.0
"""Age from which an announced capacity isn't relied on: two announcements in a
row were lost."""


class AnnouncedCapacity:
    """The announced capacity of one worker.

    :param capacity: what its agent shares out of it.
    :param clock: the worker's clock, by which announcements are dated.
    :ivar guarding_pools: pools whose workers refuse what doesn't fit.
    """

    def __init__(
        self,
        capacity: sharing.SharedCapacity,
        clock: worker_clock.WorkerClock,
    ) -> None:
        self.guarding_pools: frozenset[str] = frozenset()
        self._capacity = capacity
        self._clock = clock
        self._pool = ''
        self._announced_at: float | None = None
        self._reading = 0.0
        self._changes = False
        self._noted = False

    def record(
        self,
        event: workerapi.WorkerAnnounced,
        same_incarnation: bool,
        now: float,
    ) -> list[object]:
        """Record an announced capacity, and return a note if it changed.

        What an earlier process stored is no announcement: the worker may have
        shrunk while no process heard it.

        :param same_incarnation: whether the worker is the one that announced
            the last capacity.
        """
        before = self._capacity.announced
        self._capacity.resize(event.capacity)
        self._pool = event.pool
        self._announced_at, self._reading = now, event.reading
        if event.sequence == workerapi.NOT_ANNOUNCED:
            self._announced_at = None
        self.date()
        self._noted = False
        if before == event.capacity or not same_incarnation:
            return []
        self._changes = True
        fields = {
            'from': f'{before.cpu:.1f}',
            'to': f'{event.capacity.cpu:.1f}',
            'used': f'{self._capacity.used.cpu:.1f}',
            'memory_mb': event.capacity.memory_mb,
        }
        return [core.note('capacity_changed', **fields)]

    def date(self) -> None:
        """Date the last announcement, once the worker's clock is known.

        It may have been delayed for as long as it took the worker to shrink.
        """
        if self._announced_at is None or not self._reading:
            return
        if self._clock.known:
            self._announced_at = self._clock.date(
                self._reading, self._announced_at
            )
            self._reading = 0.0

    def may_have_shrunk(self, now: float) -> bool:
        """Return whether the worker may have shrunk unnoticed.

        One that guards itself counts as such only if it has changed before.
        """
        if self._pool in self.guarding_pools:
            return (
                self._capacity.guarded and self._changes and self._is_old(now)
            )
        return self._announced_at is None or self._is_old(now)

    def _is_old(self, now: float) -> bool:
        announced_at = self._announced_at
        return (
            announced_at is not None and now > announced_at + MAX_AGE_SECONDS
        )

    def note_doubt(self, now: float) -> list[object]:
        """Return a note when the capacity is no longer relied on, once."""
        if self._noted or not self._pool or not self.may_have_shrunk(now):
            return []
        self._noted = True
        reason = 'stored' if self._announced_at is None else 'old'
        return [core.note('capacity_unknown', reason=reason)]
