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

MAX_WRITE_ATTEMPTS = 8
"""Attempts to write one change, at most.

An attempt fails if another entry renews the stamp meanwhile.  That happens
about once a second and an attempt takes milliseconds, so a second attempt
rarely fails as well.
"""
PROPOSAL_TIMEOUT_SECONDS = 8.0
"""Time limit for a proposal, the longest wait of an operator for a verdict.

It exceeds two fences, since waiting for a silent peer takes one of them.
"""
MAX_HEAD_AGE_SECONDS = 0.5
"""Age at which the head is read again before the transaction is sent.

After a longer wait for silent peers another entry has renewed the stamp, and
the transaction would fail.
"""
INTERNAL_REQUEST = 0
"""Request id of changes that no operator requested."""


class Stage(enum.Enum):
    """Stage of the current attempt to write a change."""

    IDLE = 'idle'
    READ = 'read'
    INTENT = 'intent'
    WRITE = 'write'


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A requested change.

    :param based_on: version that the operator's request is based on;
        ``None`` for any.
    :param known_version: last version known at this entry at the time of the
        request.
    """

    request_id: int
    change: cluster.Change
    based_on: int | None
    known_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """State of the other listed entries that the writer depends on.

    :param alive: names of the entries not provably dead.
    :param granted_at: instants of the last lease grants to them, by name.
    :param write_refusal: why this entry may not write a change; empty if it
        may.
    """

    alive: frozenset[str]
    granted_at: collections.abc.Mapping[str, float]
    write_refusal: str = ''


class Writer:
    """Writer of one entry's queued proposals, one at a time."""

    def __init__(
        self,
        me: messages.Member,
        version_history: history.History,
        durations: readlease.LeaseDurations,
    ):
        self.stage = Stage.IDLE
        self._me = me
        self._history = version_history
        self._durations = durations
        self._queue: collections.deque[Proposal] = collections.deque()
        self._deadline = 0.0
        self._intent_at = 0.0
        self._last_attempt = 0
        self._proposal_attempts = 0
        self._row: cluster.ChangeRow | None = None
        self._base_head = headrows.NO_HEAD
        self._acked: set[str] = set()
        self._uncertain: cluster.UncertainChange | None = None

    @property
    def writing(self) -> bool:
        """Return whether an attempt is past its read of the head."""
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

    def uncertain(self) -> cluster.UncertainChange | None:
        """Return this entry's change whose outcome is open, if there is one.

        It may have taken effect, or may still do so.
        """
        if self._uncertain is not None:
            return self._uncertain
        return self._make_uncertain() if self.writing else None

    def submit(
        self, request_id: int, change: cluster.Change, based_on: int | None
    ) -> None:
        """Queue a change, unless it is internal and queued already."""
        if request_id == INTERNAL_REQUEST and self.is_queued(change):
            return
        self._queue.append(
            Proposal(request_id, change, based_on, self._history.version)
        )

    def is_queued(self, change: cluster.Change) -> bool:
        """Return whether that change is queued."""
        return any(proposal.change == change for proposal in self._queue)

    def start(self, now: float) -> bool:
        """Start the next proposal if the writer is idle.

        :returns: whether the head must be read.
        """
        if self.stage is not Stage.IDLE or not self._queue:
            return False
        self.stage = Stage.READ
        self._proposal_attempts = 0
        self._deadline = now + PROPOSAL_TIMEOUT_SECONDS
        return True

    def expire(self, now: float) -> list[object]:
        """End a proposal whose read of the head has timed out."""
        if self.stage is not Stage.READ or now < self._deadline:
            return []
        return self._finish('unavailable', reason='the store is too slow')

    def resolve_uncertain(self) -> list[object]:
        """Resolve an uncertain change from the known versions, if possible.

        If the store hasn't answered a transaction yet, a known version with
        the transaction's row shows that it took effect.
        """
        if self.stage is Stage.WRITE:
            return self._resolve_write()
        uncertain = self._uncertain
        if uncertain is None or readlease.select_uncertain(
            [uncertain], self._history.head
        ):
            return []
        self._uncertain = None
        row = self._history.row(uncertain.row.version)
        row_dropped = (
            self._history.version >= uncertain.row.version and row is None
        )
        written = 'untold' if row_dropped else str(row == uncertain.row)
        note = core.note(
            'change_settled', version=uncertain.row.version, written=written
        )
        return [
            note,
            *(
                self._send_change(uncertain.row)
                if row == uncertain.row
                else []
            ),
        ]

    def handle_read_failure(self, reason: str) -> list[object]:
        """End the proposal if the head couldn't be read.

        Nothing was written, and nothing will be.
        """
        if self.stage is not Stage.READ:
            return []
        return self._finish('unavailable', reason=reason)

    def handle_head(self, peers: Peers, now: float) -> list[object]:
        """Handle a read of the head: send the intent, or end the proposal."""
        if self.stage is not Stage.READ or self._uncertain is not None:
            return []
        proposal = self._queue[0]
        self._proposal_attempts += 1
        if (
            self._proposal_attempts > MAX_WRITE_ATTEMPTS
            or now >= self._deadline
        ):
            return self._finish('unavailable', reason='the head keeps moving')
        if peers.write_refusal:
            return self._finish('unavailable', reason=peers.write_refusal)
        conflict = self._find_conflict(proposal)
        if conflict:
            return self._finish('conflict', reason=conflict)
        row = self._make_row(proposal, now)
        try:
            if not cluster.alters(self._history.latest, proposal.change):
                return self._finish(
                    'accepted', self._history.latest.in_force_at
                )
        except exceptions.BadChange as exc:
            return self._finish('invalid', reason=exc.message)
        self._intent_at = now
        return self._send_intent(row, peers)

    def record_ack(self, peer: str, ack: messages.IntentAck) -> None:
        """Record a peer's acknowledgement of the current attempt's intent."""
        if self.stage is Stage.INTENT and ack.attempt == self._last_attempt:
            self._acked.add(peer)

    def advance(self, peers: Peers, now: float) -> store.Transact | None:
        """Return the transaction once no peer relies on an earlier grant.

        The result is ``None`` before.  If the wait took longer than
        ``MAX_HEAD_AGE_SECONDS``, or another version became known meanwhile,
        the stage returns to ``READ`` instead.
        """
        row = self._row
        if self.stage is not Stage.INTENT or row is None:
            return None
        if any(
            self._relies_on_grant(peer, peers, now) for peer in peers.alive
        ):
            return None
        stale = now > self._intent_at + MAX_HEAD_AGE_SECONDS
        if stale or self._history.version != row.version - 1:
            self.stage = Stage.READ
            return None
        self.stage = Stage.WRITE
        after = cluster.apply(self._history.latest, row)
        stamp = max(now, self._base_head.stamp)
        return headrows.make_change_transaction(
            self._base_head, row, stamp, after
        )

    def handle_write(self, answer: store.Answer, now: float) -> list[object]:
        """Handle the store's answer to the transaction.

        After a conflict the stage returns to ``READ``.
        """
        row = self._row
        if self.stage is not Stage.WRITE or row is None:
            return []
        if isinstance(answer, store.Committed):
            self._history.add_row(row, now)
            return self._accept()
        if isinstance(answer, exceptions.StoreConflict):
            self.stage = Stage.READ
            return []
        if isinstance(answer, exceptions.StoreUnavailable):
            return self._finish('unavailable', reason=answer.show())
        # The transaction isn't retried: if the first attempt was written,
        # the retry would report a conflict.
        self._uncertain = self._make_uncertain()
        return self._finish(
            'unknown',
            row.in_force_at,
            row.version,
            f"the store's answer was lost: {answer}",
        )

    def _make_uncertain(self) -> cluster.UncertainChange | None:
        if self._row is None:
            return None
        return cluster.UncertainChange(self._row, self._base_head.stamp)

    def _resolve_write(self) -> list[object]:
        """Determine the transaction's outcome from the known versions."""
        uncertain = self._make_uncertain()
        if uncertain is None or readlease.select_uncertain(
            [uncertain], self._history.head
        ):
            return []
        if self._history.row(uncertain.row.version) == uncertain.row:
            return self._accept()
        self.stage = Stage.READ
        return []

    def _accept(self) -> list[object]:
        row = self._row
        assert row is not None
        effects = self._finish('accepted', row.in_force_at, row.version)
        return effects + self._send_change(row)

    def _find_conflict(self, proposal: Proposal) -> str:
        latest = self._history.version
        if proposal.based_on is not None:
            if proposal.based_on == latest:
                return ''
            return f'based on version {proposal.based_on}, now {latest}'
        about = cluster.subject(proposal.change)
        for version in range(proposal.known_version + 1, latest + 1):
            row = self._history.row(version)
            if row is None or cluster.subject(row.change) == about:
                return f'version {version} changed {about} first'
        return ''

    def _make_row(self, proposal: Proposal, now: float) -> cluster.ChangeRow:
        self._last_attempt += 1
        self._base_head = self._history.head
        return cluster.ChangeRow(
            version=self._history.version + 1,
            in_force_at=self._choose_in_force_at(now),
            change=proposal.change,
            writer=self._me.name,
            incarnation=self._me.incarnation,
            attempt=self._last_attempt,
        )

    def _choose_in_force_at(self, now: float) -> float:
        if self._base_head == headrows.NO_HEAD:
            # No entry holds a lease for a head that was never written.
            return now
        at = max(now, self._base_head.stamp) + self._durations.fence_seconds
        return max(at, self._history.latest.in_force_at)

    def _send_intent(
        self, row: cluster.ChangeRow, peers: Peers
    ) -> list[object]:
        self.stage = Stage.INTENT
        self._row = row
        self._acked = set()
        data = cluster.encode(
            cluster.UncertainChange(row, self._base_head.stamp)
        )
        intent = messages.Intent(row.version - 1, data)
        return [core.Send(peer, intent) for peer in sorted(peers.alive)]

    def _relies_on_grant(self, peer: str, peers: Peers, now: float) -> bool:
        if peer in self._acked:
            return False
        granted_at = peers.granted_at.get(peer)
        return (
            granted_at is not None
            and now < granted_at + self._durations.fence_seconds
        )

    def _send_change(self, row: cluster.ChangeRow) -> list[object]:
        changes = messages.Changes(row.version - 1, (cluster.encode(row),))
        entries = self._history.latest.listed()
        return [
            core.Send(entry.name, changes)
            for entry in entries
            if entry.name != self._me.name
        ]

    def _finish(
        self,
        verdict: str,
        in_force_at: float = 0.0,
        version: int = 0,
        reason: str = '',
    ) -> list[object]:
        proposal = self._queue.popleft()
        self.stage = Stage.IDLE
        self._row = None
        version = version or self._history.version
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
        if proposal.request_id != INTERNAL_REQUEST:
            effects.append(
                cluster.ProposalOutcome(
                    proposal.request_id, verdict, version, in_force_at, reason
                )
            )
        return effects
