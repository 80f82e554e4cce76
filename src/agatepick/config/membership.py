"""State of the other listed entries, as observed by one entry.

It holds their lease grants, whether their processes are alive, when their last
messages arrived, and which of them to remove from the cluster configuration.
"""

import collections.abc
import dataclasses

from agatepick.config import cluster
from agatepick.config import readlease
from agatepick.net import messages

DEAD_REMOVAL_DELAY_SECONDS = 2.0
"""Delay before a dead entry is removed.

A process that restarts under the same name is listed again within this time,
which removes the old incarnation by one change instead of two.
"""
SILENT_REMOVAL_DELAY_SECONDS = 10.0
"""Delay before a silent entry is removed.

The delay exceeds three fences, which are longer than a pause that a healthy
machine recovers from.  Until the removal, callers of the entry's jobs receive
"outcome pending".
"""
REMOVAL_DELAY_SECONDS_PER_RANK = 2.0
"""Additional delay of a remover per living entry that precedes it by name.

It lets one entry write the removal, rather than all of them at once.
"""

MemberId = tuple[str, int]
"""Name and incarnation of an entry."""


@dataclasses.dataclass(slots=True)
class _Peer:
    """State of one incarnation of an entry.

    :param dead_at: when its process was found dead; 0 while it may be alive.
    """

    grant: readlease.PeerGrant = readlease.PeerGrant()
    last_message_at: float = 0.0
    dead_at: float = 0.0


class Membership:
    """The other listed entries and the state of their processes."""

    def __init__(
        self, me: messages.Member, durations: readlease.LeaseDurations
    ):
        self._me = me
        self._durations = durations
        self._peers: dict[MemberId, _Peer] = {}
        self._connected: dict[str, int] = {}
        self._others: tuple[messages.Member, ...] = ()

    @property
    def other_entries(self) -> tuple[messages.Member, ...]:
        """Return the other listed entries."""
        return self._others

    @property
    def connected_incarnations(self) -> collections.abc.Mapping[str, int]:
        """Return the incarnations of the connected entries, by name."""
        return self._connected

    def update_listed(self, config: cluster.ClusterConfig, now: float) -> None:
        """Replace the listed entries by those of a new version."""
        self._others = tuple(
            member
            for member in config.listed()
            if (member.name, member.incarnation) != _get_id(self._me)
        )
        listed = {_get_id(member) for member in self._others}
        for key in listed - self._peers.keys():
            self._peers[key] = _Peer(last_message_at=now)
        for key in self._peers.keys() - listed:
            del self._peers[key]

    def record_up(self, hello: messages.Hello, now: float) -> None:
        """Record the connection of an entry.

        Every other incarnation of that entry is dead.
        """
        self._connected[hello.name] = hello.incarnation
        for key, peer in self._peers.items():
            if key[0] != hello.name:
                continue
            if key[1] != hello.incarnation:
                self._mark_dead(peer, now)
            else:
                peer.last_message_at = now
                peer.dead_at = 0.0
                peer.grant = dataclasses.replace(peer.grant, peer_died=False)

    def record_down(
        self, name: str, incarnation: int, dead: bool, now: float
    ) -> None:
        """Record the loss of a connection to a peer, or a failed dial.

        :param incarnation: 0 for a failed dial.
        :param dead: whether the process is provably dead.
        """
        if incarnation == 0 and name in self._connected:
            # The dial failed, but the peer has connected to this entry.
            return
        if incarnation == self._connected.get(name):
            del self._connected[name]
        if not dead:
            return
        for key, peer in self._peers.items():
            if key[0] == name and incarnation in (0, key[1]):
                self._mark_dead(peer, now)

    def record_message(self, name: str, now: float) -> None:
        """Record the arrival of a message of an entry."""
        peer = self._find_connected(name)
        if peer is not None:
            peer.last_message_at = now

    def record_grant(
        self, name: str, grant: readlease.PeerGrant, now: float
    ) -> None:
        """Record a lease grant of a peer, unless a newer one is known."""
        peer = self._find_connected(name)
        if peer is None or grant.sent <= peer.grant.sent:
            return
        intent = peer.grant.intent
        if intent is not None and self._is_resolved_by(intent, grant):
            intent = None
        peer.grant = dataclasses.replace(grant, intent=intent)

    def record_intent(
        self, name: str, intent: cluster.UncertainChange
    ) -> bool:
        """Record that a peer is about to write a change.

        :returns: whether the peer is a listed entry.
        """
        peer = self._find_connected(name)
        if peer is None:
            return False
        peer.grant = dataclasses.replace(peer.grant, intent=intent)
        return True

    def record_goodbye(self, name: str, now: float) -> None:
        """Record the goodbye of a peer, which writes no further change."""
        peer = self._find_connected(name)
        if peer is not None:
            self._mark_dead(peer, now)

    def grants(self) -> tuple[readlease.PeerGrant, ...]:
        """Return the last grant of every other listed entry."""
        return tuple(
            self._peers[_get_id(member)].grant for member in self._others
        )

    def uncertain_changes(self) -> list[cluster.UncertainChange]:
        """Return the changes that peers reported and may have written."""
        return [
            change
            for grant in self.grants()
            for change in grant.uncertain_changes()
        ]

    def get_living_names(self) -> frozenset[str]:
        """Return the names of the other listed entries not provably dead."""
        return frozenset(
            member.name for member in self._others if not self.is_dead(member)
        )

    def is_dead(self, member: messages.Member) -> bool:
        """Return whether a listed entry's process is provably dead.

        An older incarnation of this entry is dead, since this process has its
        address.
        """
        if member.name == self._me.name:
            return True
        return self._peers[_get_id(member)].dead_at > 0.0

    def find_lost(self, now: float) -> list[messages.Member]:
        """Return the listed entries that this entry should now remove."""
        return [
            member for member in self._others if self._is_lost(member, now)
        ]

    def _is_lost(self, member: messages.Member, now: float) -> bool:
        if member.name == self._me.name:
            # The listing of this process removes its older incarnation.
            return False
        peer = self._peers[_get_id(member)]
        alive = sorted(
            {self._me.name, *self.get_living_names()} - {member.name}
        )
        rank_delay = REMOVAL_DELAY_SECONDS_PER_RANK * alive.index(
            self._me.name
        )
        if peer.dead_at:
            return (
                now >= peer.dead_at + DEAD_REMOVAL_DELAY_SECONDS + rank_delay
            )
        return (
            now
            >= peer.last_message_at + SILENT_REMOVAL_DELAY_SECONDS + rank_delay
        )

    def _find_connected(self, name: str) -> _Peer | None:
        return self._peers.get((name, self._connected.get(name, -1)))

    def _mark_dead(self, peer: _Peer, now: float) -> None:
        if not peer.dead_at:
            peer.dead_at = now
            peer.grant = peer.grant.mark_dead(now, self._durations)

    def _is_resolved_by(
        self, intent: cluster.UncertainChange, grant: readlease.PeerGrant
    ) -> bool:
        # The intent was sent at least one fence before its in_force_at.  A
        # grant sent later contains the change while its outcome is open.
        return (
            grant.sent > intent.row.in_force_at - self._durations.fence_seconds
        )


def _get_id(member: messages.Member) -> MemberId:
    return (member.name, member.incarnation)
