"""Simulation of several Configuration components in virtual time.

It fakes only the interfaces: messages, connections, store calls and clocks.
``Cluster.check_invariants`` checks the invariants after every step.
"""

import dataclasses
import heapq
import itertools
import random

from agatepick.config import cluster
from agatepick.config import configuration
from agatepick.config import readlease
from agatepick import core
from agatepick import exceptions
from agatepick.net import codec
from agatepick.net import messages
from agatepick.standins import standin_table
from agatepick.table import store

START = 1_000.0
DURATIONS = readlease.LeaseDurations()
CFG = configuration.ConfigurationSettings(DURATIONS)
ZONES = ('a', 'b')
STEP_SECONDS = 0.1
"""Virtual time between two checks of the invariants."""

SILENCE_SECONDS = 5.0
"""Time from the cut of a connection until both ends close it."""


class Node:
    """Process of one entry, which can crash or pause and has its own clock."""

    def __init__(self, name, zone, offset):
        self.name = name
        self.zone = zone
        self.offset = offset
        self.incarnation = 0
        self.alive = False
        self.paused = False
        self.buffer = []
        self.dials = {}
        self.conf = None
        self.version = 0


@dataclasses.dataclass
class StoreMode:
    """Behaviour of the store for reads and for writes.

    ``ok``, ``refuse``, ``hold`` (requests arrive once the mode changes),
    ``lose`` (answers are lost) or, for writes only, ``hold_changes`` (as
    ``hold``, but renewals of the stamp pass).
    """

    reads: str = 'ok'
    writes: str = 'ok'


class Cluster:
    """Simulated cluster with its network and store."""

    def __init__(self, names='xyz', seed=0, offsets=()):
        self.now = START
        self.rng = random.Random(seed)
        self.table = standin_table.MemoryTable()
        self.mode = StoreMode()
        self.cut_from_store = set()
        self.partitions = {}
        self.connections = {}
        self.backlog = {}
        self.held = []
        self.proposed = {}
        self.notes = []
        self.permits = []
        self.wire_bytes = 0
        self._rows = None
        self._heap = []
        self._order = itertools.count()
        self._proposals = 0
        self._last_arrivals = {}
        offsets = itertools.chain(offsets, itertools.repeat(0.0))
        self.nodes = {
            name: Node(name, ZONES[index % 2], offset)
            for index, (name, offset) in enumerate(zip(names, offsets))
        }
        for name in self.nodes:
            self.start(name)
        self.schedule(0.0, self._send_pings)

    # Actions of a scenario

    def run(self, seconds):
        """Advance the time."""
        until = self.now + seconds
        while self._heap and self._heap[0][0] <= until:
            self.now, _, step = heapq.heappop(self._heap)
            step()
        self.now = until

    def propose(self, name, change, based_on=None):
        """Request a change at a node and return the number of the request."""
        self._proposals += 1
        number = self._proposals
        self.feed(
            name,
            lambda conf, now: conf.propose(number, change, based_on, now),
        )
        return number

    def count_proposals(self):
        """Return the number of requested changes."""
        return self._proposals

    def verdict(self, number):
        """Return the verdict of a request, or ``None`` if it has none yet."""
        outcome = self.proposed.get(number)
        return outcome.verdict if outcome else None

    def start(self, name):
        """Start a node's process, as a new incarnation."""
        node = self.nodes[name]
        node.incarnation += 1
        node.alive = True
        node.paused = False
        node.dials = {}
        node.buffer = []
        node.version = 0
        me = messages.Member(
            name, node.incarnation, f'{name}:1', node.zone, 0.0
        )
        seed = self.rng.getrandbits(32)
        node.conf = configuration.Configuration.from_config(
            CFG, me, random.Random(seed)
        )
        self._tick(name, node.incarnation)

    def kill(self, name):
        """Kill a node's process."""
        node = self.nodes[name]
        node.alive = False
        for pair in [one for one in self.connections if name in one]:
            self._disconnect(pair)

    def pause(self, name):
        """Pause a node's process, as SIGSTOP does."""
        self.nodes[name].paused = True

    def resume(self, name):
        """Resume a paused process, which then handles its buffered steps."""
        node = self.nodes[name]
        node.paused = False
        buffer, node.buffer = node.buffer, []
        for step in buffer:
            self.feed(name, step)

    def cut(self, one, other):
        """Drop all packets between two nodes."""
        pair = frozenset((one, other))
        if pair in self.partitions:
            return
        self.partitions[pair] = since = self.now

        def disconnect():
            if self.partitions.get(pair) == since:
                self._disconnect(pair)

        self.schedule(SILENCE_SECONDS, disconnect)

    def heal(self):
        """End all faults of network and store; held requests arrive."""
        for pair in list(self.partitions):
            del self.partitions[pair]
            for deliver in self.backlog.pop(pair, []):
                self.schedule(0.001, deliver)
        self.cut_from_store.clear()
        self.set_store('ok', 'ok')

    def set_store(self, reads, writes):
        """Set the store's mode for reads and for writes."""
        self.mode = StoreMode(reads, writes)
        held, self.held = self.held, []
        for kind, step in held:
            if getattr(self.mode, kind).startswith('hold'):
                self.held.append((kind, step))
            else:
                self.schedule(self.rng.uniform(0.0, 0.01), step)

    # Queries of a test

    def clock(self, name):
        """Return the time of a node's own clock."""
        return self.now + self.nodes[name].offset

    def rows(self):
        """Return the committed change rows."""
        if self._rows is None:
            self._rows = self._read_rows()
        return self._rows

    def _read_rows(self):
        answer = self.table.execute(store.ReadAfter('change', '', 10**6))
        return [
            cluster.decode(row.value, cluster.ChangeRow) for row in answer.rows
        ]

    def leases(self):
        """Return the names of the nodes that hold a read lease."""
        return [
            node.name
            for node in self.nodes.values()
            if node.alive
            and not node.paused
            and node.conf.get_lease_end(self.clock(node.name))
        ]

    def check_invariants(self):
        """Check the invariants at this instant."""
        rows = self.rows()
        for node in self.nodes.values():
            if not node.alive:
                continue
            assert node.conf.version >= node.version, 'the version decreased'
            node.version = node.conf.version
            assert node.version <= len(rows), 'an uncommitted version is known'
        for name in self.leases():
            self._check_holder(self.nodes[name], rows)

    def _check_holder(self, node, rows):
        now = self.clock(node.name)
        doc = node.conf.in_force(now)
        assert doc.in_force_at <= now
        for row in rows[doc.version :]:
            if row.in_force_at + DURATIONS.margin_seconds >= now:
                continue
            zone = readlease.get_changed_zone(row.change)
            covered = zone and not node.conf.zone_open(zone, now)
            assert covered, f'{node.name} holds {doc.version}, not {row}'
        for zone in ZONES:
            until = node.conf.start_before(zone, now)
            if until > now:
                self.permits.append((zone, now, until, node.name))

    def check_permits(self):
        """Check that no permit overlaps an outage of its zone."""
        for zone in ZONES:
            for begin, end in self._find_outages(zone):
                for permit_zone, now, until, name in self.permits:
                    overlaps = (
                        permit_zone == zone and now < end and until > begin
                    )
                    assert not overlaps, (
                        f'{name} starts in {zone} until {until}'
                    )

    def _find_outages(self, zone):
        begin = None
        for row in self.rows():
            if row.change == cluster.ZoneOut(zone) and begin is None:
                begin = row.in_force_at + DURATIONS.margin_seconds
            elif row.change == cluster.ZoneIn(zone) and begin is not None:
                yield begin, row.in_force_at - DURATIONS.margin_seconds
                begin = None
        if begin is not None:
            yield begin, float('inf')

    # Implementation

    def schedule(self, seconds, step):
        """Schedule a step after a delay."""
        heapq.heappush(
            self._heap, (self.now + seconds, next(self._order), step)
        )

    def feed(self, name, step):
        """Run ``step(conf, now)`` in a node and execute its effects."""
        node = self.nodes[name]
        if not node.alive:
            return
        if node.paused:
            node.buffer.append(step)
            return
        for effect in step(node.conf, self.clock(name)):
            self._execute_effect(node, effect)

    def _execute_effect(self, node, effect):
        match effect:
            case core.Send(peer, message):
                self._send(node.name, peer, message)
            case core.Dial(peer):
                node.dials[peer] = True
                self._redial(node.name, node.incarnation, peer)
            case core.Hangup(peer):
                node.dials.pop(peer, None)
            case store.CallStore():
                self._call_store(node, effect)
            case cluster.ProposalOutcome():
                self.proposed[effect.request_id] = effect
            case core.Note():
                self.notes.append((self.now, node.name, effect))

    def _tick(self, name, incarnation):
        node = self.nodes[name]
        if not node.alive or node.incarnation != incarnation:
            return
        if not node.paused:
            self.feed(name, lambda conf, now: conf.on_tick(now))
        self.schedule(0.25, lambda: self._tick(name, incarnation))

    def _send_pings(self):
        for one, other in list(self.connections):
            self._ping(one, other)
            self._ping(other, one)
        self.schedule(1.0, self._send_pings)

    def _ping(self, one, other):
        sent = self.clock(one)

        def answer(conf, now):
            pong = messages.Pong(sent, now, now)
            return [core.Send(one, pong)]

        self._transmit(one, other, answer)

    def _send(self, sender, peer, message):
        data = codec.encode(message)
        self.wire_bytes += len(data) + 4
        self._transmit(
            sender,
            peer,
            lambda conf, now: conf.on_message(sender, codec.decode(data), now),
        )

    def _transmit(self, sender, peer, step):
        pair = frozenset((sender, peer))
        epoch = self.connections.get(pair)
        if epoch is None:
            return
        arrival = self.now + self.rng.uniform(0.0005, 0.02)
        arrival = max(arrival, self._last_arrivals.get((sender, peer), 0.0))
        self._last_arrivals[sender, peer] = arrival

        def deliver():
            if self.connections.get(pair) != epoch:
                return
            if pair in self.partitions:
                self.backlog.setdefault(pair, []).append(deliver)
                return
            self.feed(peer, step)

        self.schedule(arrival - self.now, deliver)

    def _redial(self, name, incarnation, peer):
        node = self.nodes[name]
        if not node.alive or node.incarnation != incarnation:
            return
        if peer not in node.dials:
            return
        pair = frozenset((name, peer))
        other = self.nodes[peer]
        reachable = pair not in self.partitions
        if pair not in self.connections and reachable and not node.paused:
            if not other.alive:
                down = core.PeerDown(peer, 0, True)
                self.feed(name, lambda conf, now: conf.on_peer_down(down, now))
            elif not other.paused:
                self._connect(pair)
        self.schedule(0.2, lambda: self._redial(name, incarnation, peer))

    def _connect(self, pair):
        self.connections[pair] = next(self._order)
        for name, peer in itertools.permutations(pair):
            other = self.nodes[peer]
            hello = messages.Hello(
                peer, 'entry', other.incarnation, '', '', '', 0
            )
            self.feed(
                name, lambda conf, now, hi=hello: conf.on_peer_up(hi, now)
            )
            self._ping(name, peer)

    def _disconnect(self, pair):
        if self.connections.pop(pair, None) is None:
            return
        self.backlog.pop(pair, None)
        for name, peer in itertools.permutations(pair):
            down = core.PeerDown(peer, self.nodes[peer].incarnation)
            self.feed(
                name, lambda conf, now, ev=down: conf.on_peer_down(ev, now)
            )

    def _call_store(self, node, call):
        write = isinstance(call.request, store.Transact)
        kind = 'writes' if write else 'reads'
        mode = getattr(self.mode, kind)
        if mode == 'hold_changes':
            mode = 'hold' if len(call.request.puts) > 1 else 'ok'
        if mode == 'refuse' or node.name in self.cut_from_store:
            self._answer(node, call.id, 0.001, _make_unavailable())
            return
        state = {'answered': False}

        def timed_out():
            if not state['answered']:
                state['answered'] = True
                error = exceptions.StoreUnknown('timeout')
                answer = error if write else _make_unavailable()
                self._answer(node, call.id, 0.0, answer)

        def execute():
            if write:
                self._rows = None
            try:
                answer = self.table.execute(call.request)
            except exceptions.StoreError as exc:
                answer = exc
            if mode == 'lose':
                return

            def deliver_answer():
                state['answered'] = True
                self._answer(node, call.id, 0.0, answer)

            # The node ignores an answer after the timeout.
            self.schedule(self.rng.uniform(0.001, 0.01), deliver_answer)

        execute.request = call.request
        self.schedule(call.timeout_seconds, timed_out)
        if mode == 'hold':
            self.held.append((kind, execute))
        else:
            self.schedule(self.rng.uniform(0.001, 0.01), execute)

    def _answer(self, node, number, seconds, answer):
        incarnation = node.incarnation
        event = store.StoreAnswered(number, answer)

        def deliver():
            if node.incarnation == incarnation:
                self.feed(
                    node.name, lambda conf, now: conf.on_store(event, now)
                )

        self.schedule(seconds, deliver)


def _make_unavailable():
    return exceptions.StoreUnavailable('down')
