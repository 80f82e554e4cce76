"""What one entry knows of the other listed entries.

Their lease grants, whether their processes are alive, when they were last
heard, and which of them to remove from the cluster configuration.
"""

import collections.abc
import dataclasses

from agatepick.config import cluster
from agatepick.config import readlease
from agatepick.net import messages

REMOVE_DEAD_SECONDS = 2.0
"""A process that was replaced in place lists itself anew within this time,
and that removes the old incarnation with one change in place of two."""
REMOVE_SILENT_SECONDS = 10.0
"""Three fences: longer than a pause that a healthy machine recovers from,
and its jobs' callers are told "outcome pending" until then."""
REMOVE_RANK_SECONDS = 2.0
"""Each further entry in the order of names waits so much longer, so that
one of them writes the removal and not all at once."""

Id = tuple[str, int]
"""Name and incarnation of an entry."""


@dataclasses.dataclass(slots=True)
class _Peer:
    """State kept of one incarnation of an entry."""

    grant: readlease.PeerGrant = readlease.PeerGrant()
    heard_at: float = 0.0
    dead_at: float = 0.0


class Membership:
    """The other entries as this one sees them."""

    def __init__(self, me: messages.Member, rules: readlease.Rules):
        self._me = me
        self._rules = rules
        self._peers: dict[Id, _Peer] = {}
        self._up: dict[str, int] = {}
        self._others: tuple[messages.Member, ...] = ()

    @property
    def others(self) -> tuple[messages.Member, ...]:
        """The other listed entries."""
        return self._others

    @property
    def connected(self) -> collections.abc.Mapping[str, int]:
        """Incarnations of the entries that are connected, by name."""
        return self._up

    def list_anew(self, config: cluster.ClusterConfig, now: float) -> None:
        """Take the listed entries from a new version."""
        self._others = tuple(
            one
            for one in config.listed()
            if (one.name, one.incarnation) != _id(self._me)
        )
        listed = {_id(one) for one in self._others}
        for key in listed - self._peers.keys():
            self._peers[key] = _Peer(heard_at=now)
        for key in self._peers.keys() - listed:
            del self._peers[key]

    def up(self, hello: messages.Hello, now: float) -> None:
        """An entry connected; any other incarnation of it is gone."""
        self._up[hello.name] = hello.incarnation
        for key, peer in self._peers.items():
            if key[0] != hello.name:
                continue
            if key[1] != hello.incarnation:
                self._died(peer, now)
            else:
                peer.heard_at = now
                peer.dead_at = 0.0
                peer.grant = dataclasses.replace(peer.grant, dead=False)

    def down(
        self, name: str, incarnation: int, dead: bool, now: float
    ) -> None:
        """The connection to a peer ended, or a dial to it failed."""
        if incarnation == 0 and name in self._up:
            # A dial crossed the connection that the peer made to us.
            return
        if incarnation == self._up.get(name):
            del self._up[name]
        if not dead:
            return
        for key, peer in self._peers.items():
            if key[0] == name and incarnation in (0, key[1]):
                self._died(peer, now)

    def heard(self, name: str, now: float) -> None:
        """A message came from an entry."""
        peer = self._connected_peer(name)
        if peer is not None:
            peer.heard_at = now

    def granted(
        self, name: str, grant: readlease.PeerGrant, now: float
    ) -> None:
        """A peer gave a lease grant."""
        peer = self._connected_peer(name)
        if peer is None or grant.sent <= peer.grant.sent:
            return
        intent = peer.grant.intent
        if intent is not None and self._settled_by(intent, grant):
            intent = None
        peer.grant = dataclasses.replace(grant, intent=intent)

    def intends(self, name: str, intent: cluster.Uncertain) -> bool:
        """A peer is about to write; whether it is a listed one."""
        peer = self._connected_peer(name)
        if peer is None:
            return False
        peer.grant = dataclasses.replace(peer.grant, intent=intent)
        return True

    def left(self, name: str, now: float) -> None:
        """A peer's last message came; it writes nothing more."""
        peer = self._connected_peer(name)
        if peer is not None:
            self._died(peer, now)

    def grants(self) -> tuple[readlease.PeerGrant, ...]:
        """The last grant of every other listed entry."""
        return tuple(self._peers[_id(one)].grant for one in self._others)

    def unsettled(self) -> list[cluster.Uncertain]:
        """Changes that a peer may have written, as far as it told."""
        return [one for grant in self.grants() for one in grant.unsettled()]

    def alive(self) -> frozenset[str]:
        """Names of the other listed entries not provably dead."""
        return frozenset(
            one.name for one in self._others if not self.is_dead(one)
        )

    def is_dead(self, member: messages.Member) -> bool:
        """Whether a listed entry's process is provably gone.

        An older incarnation of ourselves is: we have its address.
        """
        if member.name == self._me.name:
            return True
        return self._peers[_id(member)].dead_at > 0.0

    def lost(self, now: float) -> list[messages.Member]:
        """Listed entries that this one should now remove."""
        return [one for one in self._others if self._is_lost(one, now)]

    def _is_lost(self, member: messages.Member, now: float) -> bool:
        if member.name == self._me.name:
            # Our own listing removes our older incarnation.
            return False
        peer = self._peers[_id(member)]
        alive = sorted({self._me.name, *self.alive()} - {member.name})
        patience = REMOVE_RANK_SECONDS * alive.index(self._me.name)
        if peer.dead_at:
            return now >= peer.dead_at + REMOVE_DEAD_SECONDS + patience
        return now >= peer.heard_at + REMOVE_SILENT_SECONDS + patience

    def _connected_peer(self, name: str) -> _Peer | None:
        return self._peers.get((name, self._up.get(name, -1)))

    def _died(self, peer: _Peer, now: float) -> None:
        if not peer.dead_at:
            peer.dead_at = now
            peer.grant = peer.grant.died(now, self._rules)

    def _settled_by(
        self, intent: cluster.Uncertain, grant: readlease.PeerGrant
    ) -> bool:
        # The intent left no later than a fence before its in_force_at.
        return grant.sent > intent.row.in_force_at - self._rules.fence


def _id(member: messages.Member) -> Id:
    return (member.name, member.incarnation)
