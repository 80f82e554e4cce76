"""The read lease: until when an entry may use the version that it holds.

An entry starts tasks under version ``v`` of the cluster configuration only
while it holds a read lease.  Two rules provide one; both are proved below.

*From the store.*  An entry that reads the head ``(v, stamp)`` holds a lease
until ``stamp + fence - margin`` by its own clock.

*From peers*, while the store can't be read.  A :class:`PeerGrant` states that
its sender was at some version at ``sent`` and had no transaction of a change
in progress.  A lease that has not expired is extended to the least of
``sent + fence - margin`` over all other listed entries.  A lease that has
expired is restored by the store alone.

Why no lease for ``v`` outlives the ``in_force_at`` of ``v + 1``
----------------------------------------------------------------
A change is one transaction on the condition that the head is still
``(v, s)``, with ``in_force_at >= max(now, s) + fence``, where ``now`` is read
before the writer sends the first message about the change.  Stamps of one
version only increase.  Clocks differ by ``margin`` at most.

1. Leases from the store.  When the transaction takes effect, however late,
   the head is ``(v, s)``; hence no entry ever read ``v`` with a stamp above
   ``s``, and each such lease ends by ``s + fence - margin``, at least one
   margin before ``in_force_at``.  (Counting a lease from the instant at which
   its read was sent is not safe: a transaction may be delayed in the network
   and take effect long after its ``in_force_at``, while reads continue.)
2. Leases from peers.  Only a listed entry writes.  The writer ``W`` is one
   of the entries whose grant the lease requires.  If ``W`` sent that grant
   before the attempt started, then ``in_force_at >= sent + fence``.  If it
   sent the grant afterwards, there are two cases.  Either the transaction's
   outcome was known: it failed, and never takes effect; or it took effect,
   and the grant has a version above ``v`` and doesn't extend a lease for
   ``v``.  Or the transaction was in progress or its answer was lost: then the
   grant contains the change as uncertain, and :func:`extend_lease` ends the
   lease before the change's ``in_force_at`` (for a zone's departure or
   return, only starts in that zone end: see :func:`find_departure_time`).
3. Dead peers.  The grant of a dead process never expires if the process was
   observed dead while its last grant was valid.  ``W`` sends the transaction
   only after each other listed entry acknowledged its intent, or a whole
   fence passed since its last grant to that entry.  So for an entry that
   observed ``W`` dead while the grant was valid, either the entry has
   acknowledged the intent and treats that change as uncertain, or ``W`` had
   sent no transaction yet.
4. New entries.  An unlisted entry writes only if every listed entry is
   provably dead (no entry holds a lease then); otherwise a listed entry
   writes the listing for it.  A newly listed entry writes only once its
   listing is in force, when by 1 and 2 every holder of a lease holds that
   version and requires its grants.
"""

import collections.abc
import dataclasses
import math

from agatepick.config import cluster


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseDurations:
    """Durations that all processes of a cluster share, in seconds.

    :param fence_seconds: least time from a change's acceptance until it is in
        force.
    :param margin_seconds: bound on the difference of any two clocks.
    """

    fence_seconds: float = 3.0
    margin_seconds: float = 0.25

    @property
    def lease_duration(self) -> float:
        """Return the duration of a lease, from its stamp or grant on."""
        return self.fence_seconds - self.margin_seconds


@dataclasses.dataclass(frozen=True, slots=True)
class PeerGrant:
    """The last lease grant of another listed entry.

    :param sent: when the peer sent the grant, by the peer's clock.
    :param uncertain: a change that the peer may have written.
    :param intent: the last change that the peer announced by an
        :class:`~agatepick.net.messages.Intent`, before it writes it.
    :param peer_died: whether the peer died while the grant was valid, so that
        it wrote no changes other than ``uncertain`` and ``intent``.
    """

    version: int = 0
    sent: float = -math.inf
    uncertain: cluster.UncertainChange | None = None
    intent: cluster.UncertainChange | None = None
    peer_died: bool = False

    def compute_lease_end(self, durations: LeaseDurations) -> float:
        """Return the end of the lease that this grant allows."""
        return (
            math.inf
            if self.peer_died
            else self.sent + durations.lease_duration
        )

    def mark_dead(self, now: float, durations: LeaseDurations) -> 'PeerGrant':
        """Return this grant after its sender was observed dead at ``now``."""
        if now > self.sent + durations.lease_duration:
            return self
        return dataclasses.replace(self, peer_died=True)

    def uncertain_changes(self) -> tuple[cluster.UncertainChange, ...]:
        """Return the changes of this peer that may still take effect.

        The intent of a live peer doesn't count.  Until the outcome is known,
        each further grant of that peer contains the change as uncertain, and
        a lease from an earlier grant ends before the change's
        ``in_force_at``.
        """
        intent = self.intent if self.peer_died else None
        return tuple(change for change in (self.uncertain, intent) if change)


def compute_lease_end(stamp: float, durations: LeaseDurations) -> float:
    """Return the end of the lease that a head with ``stamp`` provides."""
    return stamp + durations.lease_duration


def select_uncertain(
    uncertain: collections.abc.Iterable[cluster.UncertainChange],
    head: cluster.Head,
) -> tuple[cluster.UncertainChange, ...]:
    """Return the changes that may still take effect after a read of ``head``.

    A change's transaction requires the version and stamp of the head that it
    was based on, so it fails permanently once either is newer.
    """
    return tuple(
        change
        for change in uncertain
        if change.row.version > head.version and change.stamp >= head.stamp
    )


def extend_lease(
    lease_end: float,
    now: float,
    version: int,
    peers: collections.abc.Iterable[PeerGrant],
    uncertain: collections.abc.Iterable[cluster.UncertainChange],
    durations: LeaseDurations,
) -> float:
    """Return the end of the lease after it is extended by the peers' grants.

    :param lease_end: end of the lease so far.
    :param version: version that the lease is for.
    :param peers: the last grant of every other listed entry.
    :param uncertain: the changes that may still take effect, including our
        own.

    The local entry counts like a peer that grants now: the lease ends at most
    one fence less the margin from now, because this entry may start to write
    a change itself.
    """
    if now >= lease_end:
        return lease_end
    end = now + durations.lease_duration
    for peer in peers:
        if peer.version > version:
            return lease_end
        end = min(end, peer.compute_lease_end(durations))
    for change in uncertain:
        if get_changed_zone(change.row.change) is None:
            end = min(end, change.row.in_force_at - durations.margin_seconds)
    return max(lease_end, end)


def find_departure_time(
    zone: str, uncertain: collections.abc.Iterable[cluster.UncertainChange]
) -> float:
    """Return when an uncertain departure would take ``zone`` out.

    The result is infinity if there is none.
    """
    return min(
        (
            change.row.in_force_at
            for change in uncertain
            if change.row.change == cluster.ZoneOut(zone)
        ),
        default=math.inf,
    )


def get_changed_zone(change: cluster.Change) -> str | None:
    """Return the zone that a change takes out or returns, if any."""
    if isinstance(change, cluster.ZoneOut | cluster.ZoneIn):
        return change.zone
    return None
