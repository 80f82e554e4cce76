"""Entries whose processes are provably gone, though still listed.

What goes wrong without it: an entry is killed while the store is down, so
its removal can't be written.  Every new key that hashes to it would wait for
the store, and fail in the end: half of all jobs with two entries.

A process whose address refuses connections is gone for good.  A key stamped
long enough after that can't have been taken by it, so the next choice of the
hash may own the key at once.  No two live entries both do: each takes a key
only if it is the best choice among those that it doesn't know to be dead,
and neither of two live entries is ever known to be dead.

The proof is one that each entry makes for itself; it is not passed on.
"""

from agatepick.net import messages
from agatepick.owning import ownership
from agatepick import types

DEATH_MARGIN = 0.5
"""Seconds added to an entry's death: clocks of two entries differ by a
quarter second at most, and the dead one went by its own."""


class Deaths:
    """What one entry knows of dead ones.

    :param skew: how far ahead of a clock a key may be stamped.
    """

    def __init__(self, skew: float):
        self._skew = skew
        self._died: dict[tuple[types.PeerName, int], float] = {}

    def proved(self, member: messages.Member, now: float) -> None:
        """This incarnation of an entry is known to be gone at ``now``."""
        self._died.setdefault((member.name, member.incarnation), now)

    def may_own(
        self, key: types.JobKey, members: tuple[messages.Member, ...]
    ) -> tuple[messages.Member, ...]:
        """The members without those that died before a key was minted.

        They neither own the key nor need it be taken over from them, removed
        or not.  Both questions must be asked of the same members: else an
        entry that served a dead one's keys, and is then lost itself, would
        not be found to have had them, and its jobs would run again.
        """
        if not self._died:
            return members
        latest = ownership.stamp(key) - self._skew - DEATH_MARGIN
        return tuple([one for one in members if self._death_of(one) > latest])

    def forget(self, members: tuple[messages.Member, ...]) -> None:
        """Drop what is known of entries that aren't remembered any more."""
        known = {(one.name, one.incarnation) for one in members}
        self._died = {
            who: at for who, at in self._died.items() if who in known
        }

    def _death_of(self, member: messages.Member) -> float:
        who = (member.name, member.incarnation)
        return self._died.get(who, float('inf'))
