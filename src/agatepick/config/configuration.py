"""Component of an entry that maintains the cluster configuration.

It reads the head, renews the head's stamp, exchanges lease grants with peers,
writes proposed changes and sends changes to peers.  It is part of a reducer:
its methods take ``now`` and return effects.
"""

import dataclasses
import math
import random

from agatepick.config import clockwatch
from agatepick.config import cluster
from agatepick.config import configstatus
from agatepick.config import dials
from agatepick.config import headreader
from agatepick.config import headrows
from agatepick.config import history
from agatepick.config import listing
from agatepick.config import membership
from agatepick.config import permits
from agatepick.config import proposals
from agatepick.config import readlease
from agatepick import core
from agatepick import exceptions
from agatepick.net import messages
from agatepick.table import store

MAX_ROWS_PER_MESSAGE = 256
"""Change rows sent to a peer in one message, at most."""
JITTER_FRACTION = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """Durations of the configuration protocol, in seconds.

    :param durations: durations that all processes of the cluster share.
    :param poll_seconds: interval between two reads of the head.
    :param renew_seconds: age of the head's stamp at which an entry that reads
        the head renews the stamp.
    :param grant_seconds: interval between two lease grants to a peer.  A lease
        must span three of them, so that it survives the loss of one or two.
    :param store_timeout_seconds: timeout of a call to the store.
    :param listing_seconds: interval between two attempts to be listed, or to
        remove an entry.
    :param leave_seconds: time after which a stopping entry exits even if it is
        still listed.
    """

    durations: readlease.LeaseDurations = readlease.LeaseDurations()
    poll_seconds: float = 0.5
    renew_seconds: float = 0.7
    grant_seconds: float = 0.7
    store_timeout_seconds: float = 2.0
    listing_seconds: float = 1.0
    leave_seconds: float = 10.0


class Configuration:
    """Component that maintains the configuration at one entry."""

    def __init__(
        self,
        cfg: ConfigurationSettings,
        me: messages.Member,
        rng: random.Random,
    ):
        self._cfg = cfg
        self._me = me
        self._rng = rng
        self._history = history.History()
        self._reader = headreader.HeadReader(self._history)
        self._writer = proposals.Writer(me, self._history, cfg.durations)
        self._members = membership.Membership(me, cfg.durations)
        self._clocks = clockwatch.ClockWatch(cfg.durations.margin_seconds)
        self._pending_calls: dict[int, str] = {}
        self._last_call = 0
        self._last_write = 0
        self._pending_renewal: cluster.Head | None = None
        self._permits = permits.Permits(
            me,
            cfg.durations,
            self._history,
            self._members,
            self._writer,
            self._clocks,
        )
        self._granted_at: dict[str, float] = {}
        self._due_at: dict[str, float] = {}
        self._dials = dials.Dials()
        self._followed_version = 0
        self._listing = listing.Listing(
            me,
            self._history,
            self._members,
            self._writer,
            rng,
            cfg.leave_seconds,
        )

    @classmethod
    def from_config(
        cls,
        cfg: ConfigurationSettings,
        me: messages.Member,
        rng: random.Random,
    ) -> 'Configuration':
        """Return the component of entry ``me``, with no version read yet."""
        return cls(cfg, me, rng)

    # -- queries -----------------------------------------------------------

    @property
    def version(self) -> int:
        """Return the last known version, whether in force or not."""
        return self._history.version

    @property
    def latest(self) -> cluster.ClusterConfig:
        """Return the last known document, whether in force or not."""
        return self._history.latest

    @property
    def may_exit(self) -> bool:
        """Return whether a stopping entry may exit.

        It may once neither the last known version nor the one in force lists
        it, or ``leave_seconds`` have passed since the stop began.
        """
        return self._listing.may_exit

    def in_force(self, now: float) -> cluster.ClusterConfig:
        """Return the document in force at ``now``."""
        return self._history.in_force(now)

    def get_lease_end(self, now: float) -> float:
        """Return the end of the read lease, or 0 without a lease.

        A task may start only strictly before that instant.
        """
        return self._permits.get_lease_end(now)

    def serving(self, now: float) -> bool:
        """Return whether this entry may serve.

        It may once it has read the head and the version in force lists it.
        """
        return self._permits.serving(now)

    def zone_open(self, zone: str, now: float) -> bool:
        """Return whether tasks may start in ``zone`` at ``now``."""
        return now < self.permits(now).find_departure_time(zone)

    def start_before(self, zone: str, now: float) -> float:
        """Return the instant before which a task sent to ``zone`` must start.

        The result is 0 if no task may start.
        """
        return self.permits(now).start_before(zone)

    def permits(self, now: float) -> permits.Snapshot:
        """Return the permits at ``now``; they cache each zone's bound."""
        return self._permits.snapshot(now)

    def settled(self, now: float) -> bool:
        """Return whether no change is pending, uncertain or being written."""
        return (
            self._writer.idle
            and not self._history.pending(now)
            and not self._permits.uncertain()
        )

    def status(self, now: float) -> configstatus.ConfigurationStatus:
        """Return the status for operators."""
        doc = self._history.in_force(now)
        return configstatus.ConfigurationStatus(
            version=self.version,
            version_in_force=doc.version,
            in_force_at=doc.in_force_at,
            preset=doc.preset,
            lease_source=self._find_lease_source(now),
            lease_seconds=max(0.0, self.get_lease_end(now) - now),
            serving=self.serving(now),
            settled=self.settled(now),
            zones=doc.zones,
            quotas=doc.quotas,
            leaving=doc.leaving,
            entries=doc.entries,
            uncertain=tuple(
                change.row for change in self._permits.uncertain()
            ),
            lost=tuple(member.name for member in self._members.find_lost(now)),
            in_force=doc,
            accepted=self._history.latest,
        )

    # -- events ------------------------------------------------------------

    def on_store(self, event: store.StoreAnswered, now: float) -> list[object]:
        """Handle an answer of the store.

        Answers to calls of other components are ignored.
        """
        purpose = self._pending_calls.pop(event.id, '')
        if purpose == 'write' and event.id != self._last_write:
            return []
        match purpose:
            case 'read':
                return self._on_read(event.answer, now)
            case 'renew':
                return self._on_renewed(event.answer, now)
            case 'write':
                return self._on_written(event.answer, now)
        return []

    def on_message(
        self, peer: str, message: messages.Message, now: float
    ) -> list[object]:
        """Handle a message of a peer, including :class:`messages.Pong`."""
        self._members.record_message(peer, now)
        try:
            return self._on_message(peer, message, now)
        except exceptions.AgatepickError as exc:
            exc.peer = peer
            shown = exc.show().replace(' ', '_')
            return [core.note('bad_peer_message', peer=peer, reason=shown)]

    def _on_message(
        self, peer: str, message: messages.Message, now: float
    ) -> list[object]:
        match message:
            case messages.Pong():
                self._clocks.add(peer, message, now)
            case messages.Grant():
                return self._on_grant(peer, message, now)
            case messages.Intent():
                return self._on_intent(peer, message, now)
            case messages.IntentAck():
                self._writer.record_ack(peer, message)
                return self._advance(now)
            case messages.Changes():
                return self._on_changes(message, now)
            case messages.ChangesWanted():
                return self._on_changes_wanted(peer, message)
            case messages.Goodbye():
                self._members.record_goodbye(peer, now)
                return self._extend_and_advance(now)
        return []

    def on_peer_up(self, hello: messages.Hello, now: float) -> list[object]:
        """Handle the connection of a peer; only entries are considered."""
        if hello.role != 'entry' or hello.name == self._me.name:
            return []
        self._members.record_up(hello, now)
        effects = self._extend_and_advance(now)
        if hello.version > self.version:
            effects.append(_request_changes(hello.name, self.version))
        return effects

    def on_peer_down(self, event: core.PeerDown, now: float) -> list[object]:
        """Handle the loss of a connection to a peer, or a failed dial."""
        self._members.record_down(
            event.peer, event.incarnation, event.dead, now
        )
        if event.peer not in self._members.connected_incarnations:
            self._clocks.discard(event.peer)
        connected = self._members.connected_incarnations
        effects = self._dials.hang_up(
            event.peer, self._collect_addresses(), connected
        )
        return effects + self._extend_and_advance(now)

    def on_tick(self, now: float) -> list[object]:
        """Run the periodic tasks that are due."""
        effects = self._writer.expire(now)
        self._permits.extend_from_peers(now)
        if self._schedule_if_due('poll', self._cfg.poll_seconds, now):
            effects += self._read()
        if self._schedule_if_due('grant', self._cfg.grant_seconds, now):
            effects += self._grant(now)
        if self._schedule_if_due('listing', self._cfg.listing_seconds, now):
            effects += self._maintain_entries(now)
        effects += self._advance(now)
        self._listing.update_may_exit(now)
        return [*effects, core.WakeAt(min(self._due_at.values()))]

    def propose(
        self,
        request_id: int,
        change: cluster.Change,
        based_on: int | None,
        now: float,
    ) -> list[object]:
        """Start to write a change.

        The outcome is reported by a :class:`cluster.ProposalOutcome` effect.

        :param request_id: number above 0.
        :param based_on: version that the change requires to be the last one;
            ``None`` for any.
        """
        self._writer.submit(request_id, change, based_on)
        return self._advance(now)

    def leave(self, stopped_at: float, now: float) -> list[object]:
        """Start to delist this entry for a graceful stop.

        Once this entry has been delisted, :attr:`may_exit` is true.

        :param stopped_at: instant since which this entry admits no jobs.
        """
        self._listing.start_leaving(stopped_at, now)
        return self._advance(now)

    # -- the store ---------------------------------------------------------

    def _call_store(
        self, purpose: str, request: store.Request
    ) -> list[object]:
        self._last_call += 1
        self._pending_calls[self._last_call] = purpose
        timeout = self._cfg.store_timeout_seconds
        return [store.CallStore(self._last_call, request, timeout)]

    def _read(self) -> list[object]:
        if self._reader.busy:
            return []
        return self._call_store('read', self._reader.start())

    def _on_read(self, answer: store.Answer, now: float) -> list[object]:
        outcome = self._reader.handle_answer(answer, now)
        effects = self._follow_versions(now)
        if isinstance(outcome, headreader.HeadRead):
            self._permits.has_read = True
            return effects + self._on_head(outcome.head, now)
        if isinstance(outcome, headreader.ReadFailed):
            effects += self._writer.handle_read_failure(outcome.reason)
            return effects + self._advance(now)
        return effects + self._call_store('read', outcome)

    def _on_head(self, head: cluster.Head, now: float) -> list[object]:
        if head != headrows.NO_HEAD:
            self._permits.extend_from_store(head.stamp)
        effects = self._writer.resolve_uncertain()
        effects += self._writer.handle_head(self._make_peers(now), now)
        effects += self._advance(now)
        return effects + self._renew(now)

    def _renew(self, now: float) -> list[object]:
        head = self._history.head
        uncertain = self._writer.uncertain()
        # The transaction of this entry's own change requires the present
        # stamp; a renewal would replace the stamp and make it fail.
        if self._pending_renewal is not None or self._writer.writing:
            return []
        listed = self.latest.lists(self._me) and self._clocks.trusted
        old = listed and now - head.stamp >= self._cfg.renew_seconds
        if not old and (uncertain is None or not self._clocks.trusted):
            return []
        stamp = max(now, math.nextafter(head.stamp, math.inf))
        self._pending_renewal = cluster.Head(head.version, stamp)
        return self._call_store(
            'renew', headrows.make_renewal_transaction(head, stamp)
        )

    def _on_renewed(self, answer: store.Answer, now: float) -> list[object]:
        head, self._pending_renewal = self._pending_renewal, None
        if not isinstance(answer, store.Committed) or head is None:
            return []
        self._history.record_head(head)
        return self._on_head(head, now)

    def _on_written(self, answer: store.Answer, now: float) -> list[object]:
        effects = self._writer.handle_write(answer, now)
        effects += self._follow_versions(now)
        if self._writer.stage is proposals.Stage.IDLE:
            effects += self._grant(now)
        return effects + self._read() + self._advance(now)

    # -- peers -------------------------------------------------------------

    def _on_grant(
        self, peer: str, message: messages.Grant, now: float
    ) -> list[object]:
        uncertain = _decode_uncertain(message.uncertain)
        if not self._clocks.agrees(peer):
            # The clocks differ too much, or by an unknown amount, to compare
            # the grant's "sent" with the local clock.
            return []
        grant = readlease.PeerGrant(message.version, message.sent, uncertain)
        self._members.record_grant(peer, grant, now)
        self._permits.extend_from_peers(now)
        if message.version > self.version:
            return [_request_changes(peer, self.version)]
        return []

    def _on_intent(
        self, peer: str, message: messages.Intent, now: float
    ) -> list[object]:
        intent = _decode_uncertain(message.change)
        if intent is None:
            return []
        if self._members.record_intent(peer, intent):
            ack = messages.IntentAck(message.version, intent.row.attempt)
            return [core.Send(peer, ack)]
        if self.serving(now):
            self._listing.list_peer(peer, intent.row.change)
        return self._advance(now)

    def _on_changes(
        self, message: messages.Changes, now: float
    ) -> list[object]:
        for data in message.rows:
            self._history.add_row(cluster.decode(data, cluster.ChangeRow), now)
        effects = self._follow_versions(now)
        effects += self._writer.resolve_uncertain()
        self._permits.extend_from_peers(now)
        return effects

    def _on_changes_wanted(
        self, peer: str, message: messages.ChangesWanted
    ) -> list[object]:
        rows = self._history.get_rows_since(message.since)[
            :MAX_ROWS_PER_MESSAGE
        ]
        if not rows:
            return []
        data = tuple(cluster.encode(row) for row in rows)
        return [core.Send(peer, messages.Changes(message.since, data))]

    def _extend_and_advance(self, now: float) -> list[object]:
        self._permits.extend_from_peers(now)
        return self._advance(now)

    def _grant(self, now: float) -> list[object]:
        if not self.latest.lists(self._me):
            return []
        own = self._writer.uncertain()
        data = b'' if own is None else cluster.encode(own)
        grant = messages.Grant(self.version, now, data)
        effects: list[object] = []
        for member in self._members.other_entries:
            if not self._writer.may_grant(member.name):
                continue
            self._granted_at[member.name] = now
            effects.append(core.Send(member.name, grant))
        return effects

    def _follow_versions(self, now: float) -> list[object]:
        """Update peers and dials if a new version has become known."""
        if self._followed_version == self.version:
            return []
        self._followed_version = self.version
        self._members.update_listed(self.latest, now)
        connected = self._members.connected_incarnations
        return [
            core.note('version_known', version=self.version),
            *self._dials.update(self._collect_addresses(), connected),
        ]

    def _collect_addresses(self) -> dict[str, str]:
        return {
            member.name: member.address
            for member in self._members.other_entries
            if member.name != self._me.name
        }

    # -- changes -----------------------------------------------------------

    def _advance(self, now: float) -> list[object]:
        if self._writer.start(now):
            return self._read()
        stage = self._writer.stage
        request = self._writer.advance(self._make_peers(now), now)
        if request is not None:
            effects = self._call_store('write', request)
            self._last_write = self._last_call
            return effects
        return self._read() if self._writer.stage is not stage else []

    def _make_peers(self, now: float) -> proposals.Peers:
        return proposals.Peers(
            self._members.get_living_names(),
            self._granted_at,
            self._find_write_refusal(now),
        )

    def _find_write_refusal(self, now: float) -> str:
        """Return why this entry may not write a change; empty if it may."""
        if not self._clocks.trusted:
            return "this entry's clock differs from its peers'"
        alive = self._members.get_living_names()
        member = self.latest.member(self._me.name)
        if member is None or member.incarnation != self._me.incarnation:
            return 'this entry is not listed' if alive else ''
        if (
            alive
            and now < member.listed_at + self._cfg.durations.margin_seconds
        ):
            return 'this entry is not listed in force yet'
        return ''

    def _maintain_entries(self, now: float) -> list[object]:
        if self.serving(now) and self._permits.has_store_lease(now):
            self._listing.remove_lost(now)
        return self._listing.maintain() if self._permits.has_read else []

    def _schedule_if_due(self, name: str, seconds: float, now: float) -> bool:
        """Schedule the next run of a periodic task if one is due now.

        :param seconds: mean interval between two runs.
        :returns: whether a run is due.
        """
        if now < self._due_at.get(name, 0.0):
            return False
        spread = self._rng.uniform(
            1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION
        )
        self._due_at[name] = now + seconds * spread
        return True

    def _find_lease_source(self, now: float) -> str:
        if not self.get_lease_end(now):
            return 'none'
        return 'store' if self._permits.has_store_lease(now) else 'peers'


def _decode_uncertain(data: bytes) -> cluster.UncertainChange | None:
    """Return the change that a grant or intent holds, if any."""
    return cluster.decode(data, cluster.UncertainChange) if data else None


def _request_changes(peer: str, version: int) -> core.Send:
    return core.Send(peer, messages.ChangesWanted(version))
