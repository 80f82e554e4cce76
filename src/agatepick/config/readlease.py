"""The read lease: until when an entry may rely on the version it knows.

An entry starts tasks under version ``v`` of the cluster configuration only
while it holds a read lease.  Two rules give one; both are proved below.

*From the store.*  Who reads the head ``(v, stamp)`` holds a lease until
``stamp + fence - margin`` by its own clock.

*From peers*, while the store can't be read.  A :class:`PeerGrant` says: at
``sent`` I was at some version and had no transaction of a change under way.
A lease that has not run out is extended to the least of
``sent + fence - margin`` over all other listed entries.  A lease that has
run out is restored by the store alone.

Why no lease for ``v`` outlives the ``in_force_at`` of ``v + 1``
----------------------------------------------------------------
A change is one transaction on the condition that the head is still
``(v, s)``, with ``in_force_at >= max(now, s) + fence``, ``now`` being taken
before the first message about it leaves its writer.  Stamps of one version
only grow.  Clocks differ by ``margin`` at most.

1. Leases from the store.  When the transaction takes effect, however late,
   the head is ``(v, s)``; hence nobody ever read ``v`` with a stamp above
   ``s``, and each such lease ends by ``s + fence - margin``, at least one
   margin before ``in_force_at``.  (Counting a lease from the instant its
   read was sent is not safe: a transaction may be held up on its way, take
   effect long after its ``in_force_at``, and meanwhile reads go on.)
2. Leases from peers.  Only a listed entry writes.  The writer ``W`` is one
   of those whose grant the lease needs.  If ``W`` gave that grant before it
   began, then ``in_force_at >= sent + fence``.  If it gave it afterwards,
   then either that transaction was settled: it failed, and never takes
   effect; or it took effect, and the grant names a version above ``v`` and
   doesn't extend a lease for ``v``.  Or it is under way or its answer was
   lost: then the grant carries the change as uncertain, and :func:`extend`
   ends the lease before the ``in_force_at`` of it (of a zone's departure or
   return, only starts in that zone end: see :func:`zone_bound`).
3. Dead peers.  A process known dead counts as granting for ever if it was
   seen dead while its last grant was good.  ``W`` sends the transaction
   only after each other listed entry acknowledged its intent, or a whole
   fence passed since its last grant to that entry.  So whoever saw ``W``
   dead while the grant was good has either acknowledged, and counts that
   change as uncertain, or ``W`` hadn't yet sent anything.
4. New entries.  Whoever isn't listed writes only if every listed entry is
   provably dead (nobody holds a lease then); otherwise a listed entry
   writes the listing for it.  A newly listed entry writes only once its
   listing is in force, when by 1 and 2 every holder of a lease knows of it
   and needs its grants.
"""

import collections.abc
import dataclasses
import math

from agatepick.config import cluster


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Durations that all processes of a cluster share, in seconds.

    :param fence: from a change's acceptance until it is in force.
    :param margin: bound on the difference of any two clocks.
    """

    fence: float = 3.0
    margin: float = 0.25

    @property
    def lease(self) -> float:
        """How long a lease lasts from the instant it is counted from."""
        return self.fence - self.margin


@dataclasses.dataclass(frozen=True, slots=True)
class PeerGrant:
    """What one other listed entry last let us rely on.

    :param sent: when it gave the grant, by its clock.
    :param uncertain: a change that it may have written.
    :param intent: a change that it told us it is about to write.
    :param dead: it died while the grant was good, so it wrote nothing but
        what ``uncertain`` and ``intent`` say.
    """

    version: int = 0
    sent: float = -math.inf
    uncertain: cluster.Uncertain | None = None
    intent: cluster.Uncertain | None = None
    dead: bool = False

    def until(self, rules: Rules) -> float:
        """End of the lease that this grant allows."""
        return math.inf if self.dead else self.sent + rules.lease

    def died(self, now: float, rules: Rules) -> 'PeerGrant':
        """This grant after its giver was seen dead at ``now``."""
        if now > self.sent + rules.lease:
            return self
        return dataclasses.replace(self, dead=True)

    def unsettled(self) -> tuple[cluster.Uncertain, ...]:
        """The changes that may yet turn out to be written by this peer.

        The intent of a peer that lives is no concern of ours: until it is
        settled, no newer grant comes, and the last one covers it.
        """
        intent = self.intent if self.dead else None
        return tuple(one for one in (self.uncertain, intent) if one)


def from_stamp(stamp: float, rules: Rules) -> float:
    """End of the lease of an entry that read the head with ``stamp``."""
    return stamp + rules.lease


def live(
    uncertain: collections.abc.Iterable[cluster.Uncertain], head: cluster.Head
) -> tuple[cluster.Uncertain, ...]:
    """Those changes that may still take effect after ``head`` was seen.

    A newer version or a newer stamp makes their condition fail for good.
    """
    return tuple(
        one
        for one in uncertain
        if one.row.version > head.version and one.stamp >= head.stamp
    )


def extend(
    lease: float,
    now: float,
    version: int,
    peers: collections.abc.Iterable[PeerGrant],
    uncertain: collections.abc.Iterable[cluster.Uncertain],
    rules: Rules,
) -> float:
    """End of the lease after counting the peers' grants.

    :param lease: its end so far.
    :param peers: the last grant of every other listed entry.
    :param uncertain: the live uncertain changes, our own among them.

    Our own word counts like a peer's: the lease never reaches further than
    a fence from now, because we may begin to write a change ourselves.
    """
    if now >= lease:
        return lease
    end = now + rules.lease
    for peer in peers:
        if peer.version > version:
            return lease
        end = min(end, peer.until(rules))
    for one in uncertain:
        if zone_of(one.row.change) is None:
            end = min(end, one.row.in_force_at - rules.margin)
    return max(lease, end)


def zone_bound(
    zone: str, uncertain: collections.abc.Iterable[cluster.Uncertain]
) -> float:
    """Instant from which an uncertain departure closes ``zone``."""
    return min(
        (
            one.row.in_force_at
            for one in uncertain
            if one.row.change == cluster.ZoneOut(zone)
        ),
        default=math.inf,
    )


def zone_of(change: cluster.Change) -> str | None:
    """The zone that a change takes out or returns."""
    if isinstance(change, cluster.ZoneOut | cluster.ZoneIn):
        return change.zone
    return None
