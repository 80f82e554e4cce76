"""Division of a worker's free capacity among the entries.

Load pattern: several entries place tasks on the same workers, and at peak load
all of them wait for capacity.  If every released slot were announced to all,
each would try to use it, all but one would fail, and the nearest entry would
always be first: callers of a zone with few workers would starve.  If capacity
were leased in parts, a remainder of each part that is too small for a task
would stay idle.

Capacity that no entry waits for is therefore open to all, and an entry uses
it without a request.  An entry that finds none sends a request with the
urgency of its first task; released capacity is then reserved for the most
urgent entry alone, as much as its tasks need, until its answer arrives.  The
part that it doesn't use is granted to the next entry.

A worker's capacity may shrink below what is used and reserved there.  Runs go
on, and still count while they are being stopped; with the guard, grants that
there is no room for any more are withdrawn, the least urgent first, so that
the runs of the most urgent entry are not refused for the sake of another's.
"""

import dataclasses
import operator

from agatepick.net import messages
from agatepick import types

GRANT_SECONDS = 0.05
"""Time for which capacity is reserved for an entry: the slowest round trip
between zones takes 3 ms, and an event loop iteration of a busy entry up to 30
ms."""

GRANT_ROUND_TRIPS = 1.5
"""Time for which capacity is reserved for an entry in round trips to it, if
that is longer than :data:`GRANT_SECONDS`."""

MAX_GRANT_SECONDS = 0.25
"""Longest time for which capacity is reserved for an entry, so that one that
hangs doesn't keep a worker idle."""

WANT_TTL_SECONDS = 1.0
"""Lifetime of a capacity request; entries repeat theirs every 0.25 s."""

REFUSAL_SECONDS = 0.25
"""Time for which a worker counts as full after it refused a start that should
have fitted, or until its next announcement: short, as it may grow at any time,
and with some hundred starts a second the one that is refused then costs
little."""

MIN_EXCESS_CORES = 0.001
"""Smallest excess of the used cores over the capacity: a thousandth, in which
workers state theirs.  Less is a rounding error of the sum."""


@dataclasses.dataclass(slots=True)
class Share:
    """Capacity request and grant of one entry.

    :ivar grant_number: number of its grant; 0 if it has none.
    :ivar grant_seconds: seconds for which a grant to it is valid.
    :ivar granted_latest_start: latest start of the task that got the grant.
    """

    want: messages.Want | None = None
    want_received_at: float = 0.0
    grant_number: int = 0
    granted_capacity: types.Needs = types.Needs()
    granted_at: float = 0.0
    grant_seconds: float = GRANT_SECONDS
    granted_latest_start: float = 0.0

    def latest_start(self) -> float:
        """Return the latest start of the entry's most urgent waiting task."""
        slack = self.want.slack if self.want is not None else 0.0
        return self.want_received_at + slack


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Capacity reserved for one entry.

    :param number: number by which the entry answers the grant.
    """

    entry: types.PeerName
    number: int
    capacity: types.Needs


class SharedCapacity:
    """Capacity of a worker: what is used, reserved and requested.

    :ivar change_count: number of changes of the free capacity.
    :ivar guarded: whether it adapts to a worker whose capacity changes.
    :ivar announced: capacity that the worker announced last.
    """

    def __init__(self, guarded: bool = False) -> None:
        self.change_count = 0
        self.guarded = guarded
        self.announced = types.Needs()
        # At most what is announced, and less after the worker refused a start
        # that should have fitted.
        self._capacity = types.Needs()
        self._refused_until = 0.0
        self._used = types.Needs()
        self._shares: dict[types.PeerName, Share] = {}
        self._last_grant_number = 0

    @property
    def free(self) -> types.Needs:
        """Capacity that is neither used nor reserved for an entry."""
        free = self._capacity - self._used
        for share in self._shares.values():
            if share.grant_number:
                free = free - share.granted_capacity
        return free

    @property
    def used(self) -> types.Needs:
        """Capacity of all runs that may go on, also of those being stopped."""
        return self._used

    @property
    def excess(self) -> types.Needs:
        """Capacity that is used beyond the worker's."""
        excess = self._used - self._capacity
        if excess.cpu < MIN_EXCESS_CORES:
            excess = dataclasses.replace(excess, cpu=0.0)
        return excess

    @property
    def blocks_retries(self) -> bool:
        """Whether a run that may not have begun must not be started again."""
        return self.guarded and self.excess != types.Needs()

    def resize(self, capacity: types.Needs) -> None:
        """Set the total capacity of the worker, as it announced it."""
        self.announced = capacity
        self._capacity = capacity
        self._refused_until = 0.0
        self.change_count += 1
        if self.guarded:
            self._withdraw_grants()

    def record_refusal(self, needs: types.Needs, now: float) -> None:
        """Record that the worker refused a start for lack of capacity.

        It has shrunk and not said so yet.  For a while no more is used there
        than now, without the refused run; otherwise each entry would find out
        by refused starts of its own, over and over.

        :param needs: capacity that is still acquired for the refused run.
        """
        if not self.guarded:
            return
        self._capacity = self._capacity.at_most(self._used - needs)
        self._refused_until = now + REFUSAL_SECONDS
        self.change_count += 1
        self._withdraw_grants()

    def add_entry(self, entry: types.PeerName) -> None:
        """Add an entry that connected."""
        self._shares[entry] = Share()
        self.change_count += 1

    def remove_entry(self, entry: types.PeerName) -> None:
        """Remove an entry with its request and its grant."""
        self._shares.pop(entry, None)
        self.change_count += 1

    def record_want(
        self, entry: types.PeerName, want: messages.Want, now: float
    ) -> None:
        """Store an entry's capacity request, or remove it if it is empty."""
        share = self._shares.get(entry)
        if share is not None:
            share.want = want if want.count else None
            share.want_received_at = now

    def update_grant_time(
        self, entry: types.PeerName, round_trip_seconds: float
    ) -> None:
        """Set how long grants to an entry are valid, by its round trip.

        With a fixed time, while an entry's link is saturated, each of its
        answers would arrive after the grant has expired, and its starts would
        be refused and sent again, which would keep the link saturated.

        :param round_trip_seconds: round trip of the entry's last answer.
        """
        share = self._shares.get(entry)
        if share is not None:
            grant_seconds = max(
                GRANT_SECONDS, GRANT_ROUND_TRIPS * round_trip_seconds
            )
            share.grant_seconds = min(grant_seconds, MAX_GRANT_SECONDS)

    def end_grant(self, entry: types.PeerName, grant_number: int) -> None:
        """End a grant that the entry answered.

        The runs that the answer starts acquire their capacity separately.
        """
        share = self._shares.get(entry)
        if share is not None and share.grant_number == grant_number:
            share.grant_number = 0
            self.change_count += 1

    def acquire(self, needs: types.Needs) -> bool:
        """Acquire capacity for a run.

        :returns: whether there was enough.
        """
        if not needs.fits(self.free):
            return False
        self._used = self._used + needs
        self.change_count += 1
        return True

    def release(self, needs: types.Needs) -> None:
        """Release the capacity of a run that has ended."""
        self._used = self._used - needs
        self.change_count += 1

    def issue_grants(self, now: float) -> list[Grant]:
        """Grant free capacity to waiting entries, the most urgent first."""
        self._expire(now)
        grants: list[Grant] = []
        while any(share.want for share in self._shares.values()):
            free = self.free
            waiting = [
                (share.latest_start(), name)
                for name, share in self._shares.items()
                if _can_grant(share, free)
            ]
            if not waiting:
                return grants
            grants.append(self._grant(min(waiting)[1], free, now))
        return grants

    def next_expiry(self) -> float | None:
        """Return when the next grant or refusal expires, or ``None``."""
        ends = [
            share.granted_at + share.grant_seconds
            for share in self._shares.values()
            if share.grant_number
        ]
        if self._refused_until:
            ends.append(self._refused_until)
        return min(ends, default=None)

    def _grant(
        self, name: types.PeerName, capacity: types.Needs, now: float
    ) -> Grant:
        share = self._shares[name]
        assert share.want is not None
        capacity = capacity.at_most(share.want.total)
        self._last_grant_number += 1
        self.change_count += 1
        share.grant_number = self._last_grant_number
        share.granted_capacity = capacity
        share.granted_at = now
        share.granted_latest_start = share.latest_start()
        # The entry's answer to the grant contains a new request if tasks still
        # wait.
        share.want = None
        return Grant(name, share.grant_number, capacity)

    def _withdraw_grants(self) -> None:
        """Withdraw the least urgent grants that there is no room for."""
        room = self._capacity - self._used
        granted = sorted(
            (share for share in self._shares.values() if share.grant_number),
            key=operator.attrgetter('granted_latest_start'),
        )
        for share in granted:
            if share.granted_capacity.fits(room):
                room = room - share.granted_capacity
            else:
                share.grant_number = 0

    def _expire(self, now: float) -> None:
        if self._refused_until and now >= self._refused_until:
            self._refused_until = 0.0
            self._capacity = self.announced
            self.change_count += 1
        for share in self._shares.values():
            if (
                share.grant_number
                and now >= share.granted_at + share.grant_seconds
            ):
                share.grant_number = 0
                self.change_count += 1
            if share.want and now >= share.want_received_at + WANT_TTL_SECONDS:
                share.want = None


def _can_grant(share: Share, free: types.Needs) -> bool:
    want = share.want
    return (
        want is not None and not share.grant_number and want.least.fits(free)
    )
