"""Entries whose processes have ended while they are still listed.

If an entry is killed while the store is down, its removal can't be written.
Without this module every request with a new key that hashes to the killed
entry would wait for the store and fail in the end: half of all jobs in a
cluster with two entries.

A process whose address refuses connections has ended.  It can't have accepted
a key that was stamped long enough after its end, so the next entry in hash
order may own the key at once.  Two live entries never own the same key: each
accepts a key only if it ranks first among the entries that it has not
recorded as dead, and a live entry is never recorded as dead.

Each entry detects deaths itself; they are not sent to other entries.
"""

from agatepick.net import messages
from agatepick.owning import ownership
from agatepick import types

DEATH_MARGIN_SECONDS = 0.5
"""Seconds added to the time of an entry's death: the dead entry used its own
clock, and the clocks of two entries differ by at most 0.25 s."""


class DeadEntries:
    """The dead entries that one entry has detected.

    :param skew: seconds that a key may be stamped ahead of a clock.
    """

    def __init__(self, skew: float):
        self._skew = skew
        self._death_times: dict[tuple[types.PeerName, int], float] = {}

    def record_death(self, member: messages.Member, now: float) -> None:
        """Record that an incarnation of an entry had ended by ``now``."""
        self._death_times.setdefault((member.name, member.incarnation), now)

    def exclude_dead(
        self, key: types.JobKey, members: tuple[messages.Member, ...]
    ) -> tuple[messages.Member, ...]:
        """Return the members without those that died before the key's stamp.

        A dead entry neither owns the key nor has to be taken over from,
        whether or not its removal is in force.  Ownership and takeover must
        use the same members.  Otherwise an entry that served a dead entry's
        keys and was then lost itself would not count as their former owner,
        and its jobs would run again.
        """
        if not self._death_times:
            return members
        latest_death = (
            ownership.get_timestamp(key) - self._skew - DEATH_MARGIN_SECONDS
        )
        return tuple(
            [
                member
                for member in members
                if self._get_death_time(member) > latest_death
            ]
        )

    def prune(self, members: tuple[messages.Member, ...]) -> None:
        """Delete the records of entries that aren't among ``members``."""
        member_ids = {(member.name, member.incarnation) for member in members}
        self._death_times = {
            member_id: died_at
            for member_id, died_at in self._death_times.items()
            if member_id in member_ids
        }

    def _get_death_time(self, member: messages.Member) -> float:
        member_id = (member.name, member.incarnation)
        return self._death_times.get(member_id, float('inf'))
