"""Permits to start tasks: the read lease and the bounds of each zone."""

from agatepick.config import clockwatch
from agatepick.config import cluster
from agatepick.config import history
from agatepick.config import membership
from agatepick.config import proposals
from agatepick.config import readlease
from agatepick.net import messages


class Snapshot:
    """Permits at one instant, for one round of placements.

    A busy entry looks up the permits of every zone and agent after each
    message.  Without the cache of the zones' departure times the lookups took
    a quarter of its reducer's time.

    :param lease_end: end of the read lease; 0 if there is none.
    """

    def __init__(
        self,
        now: float,
        lease_end: float,
        document: cluster.ClusterConfig,
        pending: tuple[cluster.ClusterConfig, ...],
        uncertain: tuple[cluster.UncertainChange, ...],
    ):
        self.lease_end = lease_end
        self._now = now
        self._document = document
        self._pending = pending
        self._uncertain = uncertain
        self._departure_times: dict[str, float] = {}

    def zone(self, name: str) -> cluster.Zone | None:
        """Return the state of a zone in the document in force."""
        return self._document.zone(name)

    def find_departure_time(self, zone: str) -> float:
        """Return when ``zone`` will or may go out of service.

        The result is 0 if it is out already, infinity if no change to that
        effect is pending or uncertain.
        """
        departure_time = self._departure_times.get(zone)
        if departure_time is None:
            departure_time = self._departure_times[zone] = (
                self._compute_departure_time(zone)
            )
        return departure_time

    def start_before(self, zone: str) -> float:
        """Return the instant before which a task sent to ``zone`` must start.

        The result is 0 if no task may start.  A permit that lasted beyond a
        pending departure would let a task wait in a socket's buffer and
        start in a zone that is out.
        """
        departure_time = self.find_departure_time(zone)
        return (
            min(self.lease_end, departure_time)
            if departure_time > self._now
            else 0.0
        )

    def _compute_departure_time(self, zone: str) -> float:
        if self._document.zone_out(zone):
            return 0.0
        departures = [
            doc.in_force_at for doc in self._pending if doc.zone_out(zone)
        ]
        departure_time = readlease.find_departure_time(zone, self._uncertain)
        return min([departure_time, *departures])


class Permits:
    """The read lease of one entry, and the conditions that limit it."""

    def __init__(
        self,
        me: messages.Member,
        durations: readlease.LeaseDurations,
        version_history: history.History,
        members: membership.Membership,
        writer: proposals.Writer,
        clocks: clockwatch.ClockWatch,
    ):
        self._me = me
        self._durations = durations
        self._history = version_history
        self._members = members
        self._writer = writer
        self._clocks = clocks
        self._lease_end = 0.0
        self._store_lease_end = 0.0
        self.has_read = False
        """Whether the head was read since the start of the process."""

    def extend_from_store(self, stamp: float) -> None:
        """Extend the lease after a read of the head."""
        end = readlease.compute_lease_end(stamp, self._durations)
        self._store_lease_end = max(self._store_lease_end, end)
        self._lease_end = max(self._lease_end, end)

    def extend_from_peers(self, now: float) -> None:
        """Extend the lease by the peers' grants.

        An unlisted entry receives no intents, so it can't rely on grants.
        """
        if not self._history.latest.lists(self._me):
            return
        self._lease_end = readlease.extend_lease(
            self._lease_end,
            now,
            self._history.version,
            self._members.grants(),
            self.uncertain(),
            self._durations,
        )

    def uncertain(self) -> tuple[cluster.UncertainChange, ...]:
        """Return all entries' changes that may still take effect."""
        changes = self._members.uncertain_changes()
        own = self._writer.uncertain()
        if own is not None:
            changes.append(own)
        return readlease.select_uncertain(changes, self._history.head)

    def serving(self, now: float) -> bool:
        """Return whether this entry may serve.

        It may once it has read the head and the version in force lists it.
        """
        return (
            self.has_read
            and self._history.covers(now)
            and self._history.in_force(now).lists(self._me)
        )

    def get_lease_end(self, now: float) -> float:
        """Return the end of the read lease, or 0 without a lease."""
        end = min(
            self._lease_end, self._history.find_removal_time(self._me, now)
        )
        valid = now < end and self.serving(now) and self._clocks.trusted
        return end if valid else 0.0

    def has_store_lease(self, now: float) -> bool:
        """Return whether the lease is from the store, not only from peers."""
        return now < self._store_lease_end

    def snapshot(self, now: float) -> Snapshot:
        """Return all permits at ``now``."""
        return Snapshot(
            now,
            self.get_lease_end(now),
            self._history.in_force(now),
            self._history.pending(now),
            self.uncertain(),
        )
