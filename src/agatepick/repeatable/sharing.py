"""How an agent shares its worker's room among the entries.

Load pattern: several entries fill the same workers, and at the peak all of
them wait for room.  Were every freed place told to all, each would try for
it, all but one in vain, and the nearest entry would always be first: callers
of a zone with few workers would starve.  Were the room leased in parts, each
part would leave a rest idle that is too small for a task.

So room that nobody waits for is open to all, and an entry just takes it.  An
entry that finds none says so with the urgency of its first task; freed room
is then kept for the most urgent entry alone, as much of it as its tasks need,
for as long as its answer takes.  What it doesn't use goes to the next.
"""

import dataclasses

from agatepick.net import messages
from agatepick import types

GRANT_SECONDS = 0.05
"""How long room is kept for an entry: the slowest round trip between zones
is 3 ms, and a busy entry's turn of its loop takes up to 30 ms."""

GRANT_TRIPS = 1.5
"""How long it is kept for one whose answers take longer, in round trips."""

MOST_GRANT_SECONDS = 0.25
"""An entry that stands still must not keep a worker idle."""

WANT_SECONDS = 1.0
"""How long a want holds; entries repeat theirs every 0.25 s."""


@dataclasses.dataclass(slots=True)
class Share:
    """What one entry wants and has been granted."""

    want: messages.Want | None = None
    wanted_at: float = 0.0
    grant: int = 0
    granted: types.Needs = types.Needs()
    granted_at: float = 0.0
    patience: float = GRANT_SECONDS

    def urgency(self) -> float:
        """Instant by which its first task should have started."""
        slack = self.want.slack if self.want is not None else 0.0
        return self.wanted_at + slack


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Room kept for one entry."""

    entry: types.PeerName
    number: int
    room: types.Needs


class Sharing:
    """A worker's room, what is taken of it, and who waits for it.

    :ivar changes: counts the changes of what is free.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._capacity = types.Needs()
        self._used = types.Needs()
        self._shares: dict[types.PeerName, Share] = {}
        self._granted = 0

    @property
    def free(self) -> types.Needs:
        """Room that is neither taken nor kept for an entry."""
        free = self._capacity - self._used
        for share in self._shares.values():
            if share.grant:
                free = free - share.granted
        return free

    def resize(self, capacity: types.Needs) -> None:
        """The worker has another size now."""
        self._capacity = capacity
        self.changes += 1

    def join(self, entry: types.PeerName) -> None:
        """An entry connected."""
        self._shares[entry] = Share()
        self.changes += 1

    def leave(self, entry: types.PeerName) -> None:
        """An entry is gone, with its want and its grant."""
        self._shares.pop(entry, None)
        self.changes += 1

    def want(
        self, entry: types.PeerName, want: messages.Want, now: float
    ) -> None:
        """An entry has tasks that it can't place, or no more."""
        share = self._shares.get(entry)
        if share is not None:
            share.want = want if want.count else None
            share.wanted_at = now

    def answers_within(self, entry: types.PeerName, trip: float) -> None:
        """An entry answered after so many seconds.

        What goes wrong without it: an entry's link is full, each of its
        answers comes after the grant has lapsed, and its starts are refused
        and sent again, which keeps the link full.
        """
        share = self._shares.get(entry)
        if share is not None:
            patience = max(GRANT_SECONDS, GRANT_TRIPS * trip)
            share.patience = min(patience, MOST_GRANT_SECONDS)

    def returned(self, entry: types.PeerName, grant: int) -> None:
        """An entry answered a grant; what it starts is counted apart."""
        share = self._shares.get(entry)
        if share is not None and share.grant == grant:
            share.grant = 0
            self.changes += 1

    def take(self, needs: types.Needs) -> bool:
        """Take room for a run, if there is enough."""
        if not needs.fits(self.free):
            return False
        self._used = self._used + needs
        self.changes += 1
        return True

    def give_back(self, needs: types.Needs) -> None:
        """A run is over."""
        self._used = self._used - needs
        self.changes += 1

    def grants(self, now: float) -> list[Grant]:
        """Keep free room for those that wait, the most urgent first."""
        self._expire(now)
        found: list[Grant] = []
        while any(share.want for share in self._shares.values()):
            free = self.free
            waiting = [
                (share.urgency(), name)
                for name, share in self._shares.items()
                if _may_take(share, free)
            ]
            if not waiting:
                return found
            found.append(self._grant(min(waiting)[1], free, now))
        return found

    def next_expiry(self) -> float | None:
        """Instant at which a grant runs out."""
        ends = [
            share.granted_at + share.patience
            for share in self._shares.values()
            if share.grant
        ]
        return min(ends, default=None)

    def _grant(
        self, name: types.PeerName, room: types.Needs, now: float
    ) -> Grant:
        share = self._shares[name]
        assert share.want is not None
        room = room.at_most(share.want.total)
        self._granted += 1
        self.changes += 1
        share.grant = self._granted
        share.granted = room
        share.granted_at = now
        # The answer brings a new want if tasks still wait.
        share.want = None
        return Grant(name, share.grant, room)

    def _expire(self, now: float) -> None:
        for share in self._shares.values():
            if share.grant and now >= share.granted_at + share.patience:
                share.grant = 0
                self.changes += 1
            if share.want and now >= share.wanted_at + WANT_SECONDS:
                share.want = None


def _may_take(share: Share, free: types.Needs) -> bool:
    want = share.want
    return want is not None and not share.grant and want.least.fits(free)
