"""Writer of configuration changes, which writes one change at a time.

An attempt has these stages: the writer reads the head; it stops granting
leases and sends the intent to the other entries; it waits until each of them
has acknowledged the intent or its grant has expired; it sends the transaction.
The proof of safety is in :mod:`agatepick.config.readlease`.
"""

import collections
import collections.abc
import dataclasses
import enum

from agatepick.config import cluster
from agatepick.config import headrows
from agatepick.config import history
from agatepick.config import readlease
from agatepick import core
from agatepick import exceptions
from agatepick.net import messages
from agatepick.table import store

ATTEMPTS = 8
"""Attempts to write one change, at most.

Another entry renews the stamp about once a second and an attempt takes
milliseconds, so a second attempt rarely fails as well.
"""
GIVE_UP_SECONDS = 8.0
"""Time limit for a proposal.

It exceeds two fences, since waiting for a silent peer takes one of them.
"""
STALE_SECONDS = 0.5
"""Age at which the head is read again before the transaction is sent.

After a longer wait for silent peers another entry has renewed the stamp, and
the transaction would fail.
"""
INTERNAL = 0
"""Request id of changes that no operator requested."""


class Stage(enum.Enum):
    """Stage of the current attempt."""

    IDLE = 'idle'
    READ = 'read'
    INTENT = 'intent'
    WRITE = 'write'


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A requested change.

    :param based_on: version that the operator's request is based on;
        ``None`` for any.
    :param seen: last version that this entry knew at the time of the request.
    """

    request_id: int
    change: cluster.Change
    based_on: int | None
    seen: int


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """State of the other listed entries that the writer depends on.

    :param alive: names of the entries not provably dead.
    :param granted: instants of the last lease grants to them, by name.
    :param may_write: why this entry may not write a change; empty if it may.
    """

    alive: frozenset[str]
    granted: collections.abc.Mapping[str, float]
    may_write: str = ''


class Writer:
    """The queued proposals of one entry and the current attempt."""

    def __init__(
        self,
        me: messages.Member,
        known: history.History,
        rules: readlease.Rules,
    ):
        self.stage = Stage.IDLE
        self._me = me
        self._known = known
        self._rules = rules
        self._queue: collections.deque[Proposal] = collections.deque()
        self._give_up_at = 0.0
        self._intended_at = 0.0
        self._attempt = 0
        self._tries = 0
        self._row: cluster.ChangeRow | None = None
        self._base = headrows.NO_HEAD
        self._acked: set[str] = set()
        self._unsettled: cluster.Uncertain | None = None

    @property
    def writing(self) -> bool:
        """Return whether the current attempt has read the head."""
        return self.stage in (Stage.INTENT, Stage.WRITE)

    def may_grant(self, peer: str) -> bool:
        """Return whether a lease grant may be sent to a peer now.

        Grants contain the current change as uncertain.  A peer that hasn't
        acknowledged the intent receives no grant, so that its last grant
        expires and the wait for it ends.
        """
        return self.stage is not Stage.INTENT or peer in self._acked

    @property
    def idle(self) -> bool:
        """Return whether no proposal is queued."""
        return not self._queue

    def uncertain(self) -> cluster.Uncertain | None:
        """Return our own change that may have taken, or may take, effect."""
        if self._unsettled is not None:
            return self._unsettled
        return self._doubt() if self.writing else None

    def submit(
        self, request_id: int, change: cluster.Change, based_on: int | None
    ) -> None:
        """Queue a change, unless it is internal and queued already."""
        if request_id == INTERNAL and self.wants(change):
            return
        self._queue.append(
            Proposal(request_id, change, based_on, self._known.version)
        )

    def wants(self, change: cluster.Change) -> bool:
        """Return whether that change is queued."""
        return any(one.change == change for one in self._queue)

    def start(self, now: float) -> bool:
        """Start the next proposal if the writer is idle.

        :returns: whether the head must be read.
        """
        if self.stage is not Stage.IDLE or not self._queue:
            return False
        self.stage = Stage.READ
        self._tries = 0
        self._give_up_at = now + GIVE_UP_SECONDS
        return True

    def expire(self, now: float) -> list[object]:
        """End a proposal whose read of the head has timed out."""
        if self.stage is not Stage.READ or now < self._give_up_at:
            return []
        return self._end('unavailable', reason='the store is too slow')

    def settle(self) -> list[object]:
        """Resolve an uncertain change from the known versions, if possible.

        A transaction whose answer is outstanding is resolved by its row.
        """
        if self.stage is Stage.WRITE:
            return self._look_for_row()
        one = self._unsettled
        if one is None or readlease.live([one], self._known.head):
            return []
        self._unsettled = None
        row = self._known.row(one.row.version)
        behind = self._known.version >= one.row.version and row is None
        written = 'untold' if behind else str(row == one.row)
        note = core.note(
            'change_settled', version=one.row.version, written=written
        )
        return [note, *(self._announce(one.row) if row == one.row else [])]

    def read_failed(self, reason: str) -> list[object]:
        """End the proposal if the head couldn't be read.

        Nothing was written, and nothing will be.
        """
        if self.stage is not Stage.READ:
            return []
        return self._end('unavailable', reason=reason)

    def head_seen(self, peers: Peers, now: float) -> list[object]:
        """Handle a read of the head: send the intent, or end the proposal."""
        if self.stage is not Stage.READ or self._unsettled is not None:
            return []
        proposal = self._queue[0]
        self._tries += 1
        if self._tries > ATTEMPTS or now >= self._give_up_at:
            return self._end('unavailable', reason='the head keeps moving')
        if peers.may_write:
            return self._end('unavailable', reason=peers.may_write)
        rival = self._rival(proposal)
        if rival:
            return self._end('conflict', reason=rival)
        row = self._next_row(proposal, now)
        try:
            if not cluster.alters(self._known.latest, proposal.change):
                return self._end('accepted', self._known.latest.in_force_at)
        except exceptions.BadChange as exc:
            return self._end('invalid', reason=exc.message)
        self._intended_at = now
        return self._intend(row, peers)

    def acked(self, peer: str, ack: messages.IntentAck) -> None:
        """Record that a peer acknowledged the intent of an attempt."""
        if self.stage is Stage.INTENT and ack.attempt == self._attempt:
            self._acked.add(peer)

    def advance(self, peers: Peers, now: float) -> store.Transact | None:
        """Return the transaction once no peer relies on an earlier grant.

        After too long a wait the stage returns to ``READ`` instead.
        """
        row = self._row
        if self.stage is not Stage.INTENT or row is None:
            return None
        if any(self._relies(one, peers, now) for one in peers.alive):
            return None
        stale = now > self._intended_at + STALE_SECONDS
        if stale or self._known.version != row.version - 1:
            self.stage = Stage.READ
            return None
        self.stage = Stage.WRITE
        after = cluster.apply(self._known.latest, row)
        stamp = max(now, self._base.stamp)
        return headrows.change(self._base, row, stamp, after)

    def written(self, answer: store.Answer, now: float) -> list[object]:
        """Handle the store's answer to the transaction.

        After a conflict the stage returns to ``READ``.
        """
        row = self._row
        if self.stage is not Stage.WRITE or row is None:
            return []
        if isinstance(answer, store.Committed):
            self._known.take(row, now)
            return self._accept()
        if isinstance(answer, exceptions.StoreConflict):
            self.stage = Stage.READ
            return []
        if isinstance(answer, exceptions.StoreUnavailable):
            return self._end('unavailable', reason=answer.show())
        # A retry could not distinguish "already written" from a conflict.
        self._unsettled = self._doubt()
        return self._end(
            'unknown',
            row.in_force_at,
            row.version,
            f"the store's answer was lost: {answer}",
        )

    def _doubt(self) -> cluster.Uncertain | None:
        if self._row is None:
            return None
        return cluster.Uncertain(self._row, self._base.stamp)

    def _look_for_row(self) -> list[object]:
        """Determine the transaction's outcome from the known versions."""
        doubt = self._doubt()
        if doubt is None or readlease.live([doubt], self._known.head):
            return []
        if self._known.row(doubt.row.version) == doubt.row:
            return self._accept()
        self.stage = Stage.READ
        return []

    def _accept(self) -> list[object]:
        row = self._row
        assert row is not None
        effects = self._end('accepted', row.in_force_at, row.version)
        return effects + self._announce(row)

    def _rival(self, proposal: Proposal) -> str:
        latest = self._known.version
        if proposal.based_on is not None:
            if proposal.based_on == latest:
                return ''
            return f'based on version {proposal.based_on}, now {latest}'
        about = cluster.subject(proposal.change)
        for version in range(proposal.seen + 1, latest + 1):
            row = self._known.row(version)
            if row is None or cluster.subject(row.change) == about:
                return f'version {version} changed {about} first'
        return ''

    def _next_row(self, proposal: Proposal, now: float) -> cluster.ChangeRow:
        self._attempt += 1
        self._base = self._known.head
        return cluster.ChangeRow(
            version=self._known.version + 1,
            in_force_at=self._in_force_at(now),
            change=proposal.change,
            writer=self._me.name,
            incarnation=self._me.incarnation,
            attempt=self._attempt,
        )

    def _in_force_at(self, now: float) -> float:
        if self._base == headrows.NO_HEAD:
            # No entry holds a lease for a head that was never written.
            return now
        at = max(now, self._base.stamp) + self._rules.fence
        return max(at, self._known.latest.in_force_at)

    def _intend(self, row: cluster.ChangeRow, peers: Peers) -> list[object]:
        self.stage = Stage.INTENT
        self._row = row
        self._acked = set()
        data = cluster.encode(cluster.Uncertain(row, self._base.stamp))
        intent = messages.Intent(row.version - 1, data)
        return [core.Send(peer, intent) for peer in sorted(peers.alive)]

    def _relies(self, peer: str, peers: Peers, now: float) -> bool:
        if peer in self._acked:
            return False
        granted = peers.granted.get(peer)
        return granted is not None and now < granted + self._rules.fence

    def _announce(self, row: cluster.ChangeRow) -> list[object]:
        changes = messages.Changes(row.version - 1, (cluster.encode(row),))
        others = self._known.latest.listed()
        return [
            core.Send(one.name, changes)
            for one in others
            if one.name != self._me.name
        ]

    def _end(
        self,
        verdict: str,
        in_force_at: float = 0.0,
        version: int = 0,
        reason: str = '',
    ) -> list[object]:
        proposal = self._queue.popleft()
        self.stage = Stage.IDLE
        self._row = None
        version = version or self._known.version
        about = cluster.subject(proposal.change)
        effects: list[object] = [
            core.note(
                'change_' + verdict,
                version=version,
                kind=type(proposal.change).__name__,
                about=about.replace(' ', ':'),
                in_force_at=f'{in_force_at:.3f}',
                reason=reason.replace(' ', '_'),
            )
        ]
        if proposal.request_id != INTERNAL:
            effects.append(
                cluster.Proposed(
                    proposal.request_id, verdict, version, in_force_at, reason
                )
            )
        return effects
