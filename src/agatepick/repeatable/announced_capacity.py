"""The capacity that a worker has announced, and how far it is relied on."""

from agatepick import core
from agatepick.repeatable import sharing
from agatepick import types

MAX_AGE_SECONDS = 4.0
"""Time without announcements after which a capacity that has changed before
isn't relied on: two announcements in a row were lost."""


class AnnouncedCapacity:
    """The announced capacity of one worker.

    :param capacity: what its agent shares out of it.
    """

    def __init__(self, capacity: sharing.SharedCapacity) -> None:
        self._capacity = capacity
        self._announced_at = 0.0
        self._changes = False

    def record(
        self, announced: types.Needs, same_incarnation: bool, now: float
    ) -> list[object]:
        """Record an announced capacity, and return a note if it changed.

        :param same_incarnation: whether the worker is the one that announced
            the last capacity.
        """
        before = self._capacity.announced
        self._capacity.resize(announced)
        self._announced_at = now
        if before == announced or not same_incarnation:
            return []
        self._changes = True
        fields = {
            'from': f'{before.cpu:.1f}',
            'to': f'{announced.cpu:.1f}',
            'used': f'{self._capacity.used.cpu:.1f}',
            'memory_mb': announced.memory_mb,
        }
        return [core.note('capacity_changed', **fields)]

    def may_have_shrunk(self, now: float) -> bool:
        """Return whether the worker may have shrunk unnoticed."""
        return (
            self._capacity.guarded
            and self._changes
            and now > self._announced_at + MAX_AGE_SECONDS
        )
