"""Whole sessions in virtual time, with real reducers and faked interfaces.

Entries and agents are the product's reducers.  The network delivers every
message after a fixed time, the table service is the in-memory table of the
stand-in, and a worker runs a task for the seconds in its payload.  Each
message over the network or to a caller is logged as one line, except for the
periodic ones.
"""

import heapq
import itertools
import json
import random

from agatepick.agentside import agent
from agatepick.agentside import upstream
from agatepick.api import calls
from agatepick.config import cluster
from agatepick.config import configuration
from agatepick import core
from agatepick.decisions import dispatch
from agatepick import exceptions
from agatepick.net import codec
from agatepick.net import messages
from agatepick.owning import entry
from agatepick.standins import standin_table
from agatepick.table import store
from agatepick import types

START = 1_800_000_000.0
NETWORK_SECONDS = 0.001
"""Time that a message takes over the network."""

STORE_CALL_SECONDS = 0.005
"""Time that a call of the table service takes."""

TICK_SECONDS = 0.25
REDIAL_SECONDS = 0.5
"""Pause before a process dials a peer again that isn't connected."""

PERIODIC = (
    messages.Ask,
    messages.Changes,
    messages.ChangesWanted,
    messages.Grant,
    messages.Offer,
    messages.QuotaAsk,
    messages.QuotaGrant,
)
CAPACITY = types.Needs(16.0, 65536, 0)


class Process:
    """One process with its reducer, alive until it is killed."""

    def __init__(self, name, role, zone, reducer):
        self.name = name
        self.role = role
        self.zone = zone
        self.reducer = reducer
        self.incarnation = 1
        self.alive = True

    def hello(self):
        return messages.Hello(
            self.name, self.role, 1, self.zone, '', f'{self.name}:1', 0
        )


class Session:
    """Two entries, an agent in each of three zones, and one table service."""

    def __init__(self):
        self.now = START
        self.lines = []
        self.recording = False
        self.table = standin_table.MemoryTable()
        self.replies = {}
        self.answers = []
        self.verdicts = []
        self.starts = []
        self.processes = {}
        self._events = []
        self._order = itertools.count()
        self._calls = itertools.count(1)
        self._jobs = {}
        self._submitted = {}
        self._wakes = {}
        self._connected = set()
        self._dials = set()
        for place, name in enumerate(('entry-1', 'entry-2')):
            self._add_entry(name, 'ab'[place], place)
        for name, zone in (('a-1', 'a'), ('b-1', 'b'), ('c-1', 'c')):
            self._add_agent(name, zone)
        self.run(8.0)
        self.recording = True
        self._started_at = self.now

    def run(self, seconds):
        """Advance the time and run the steps that are due."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, step = heapq.heappop(self._events)
            step()
        self.now = until

    def submit(self, name, tasks, at='entry-1', timeout=10.0, kind='slot'):
        """Submit a job whose tasks run for these seconds."""
        job = types.JobSpec(
            self._create_key(name),
            'team',
            tuple(
                types.TaskSpec(f't{index}', kind, json.dumps(one).encode())
                for index, one in enumerate(tasks)
            ),
            self.now + timeout,
            digest=name.encode(),
        )
        self._submitted[name] = job
        self.submit_again(name, at)

    def submit_again(self, name, at):
        """Submit the same job again, under the same key."""
        job = self._submitted[name]
        self._call_entry(
            at, lambda number: calls.JobSubmitted(number, job), name
        )

    def owner_of(self, name):
        """Return the entry that sent a job's tasks to agents."""
        for line in self.lines:
            words = line.split()
            if words[4:5] == ['Starts'] and words[5] == name:
                return words[1]
        raise AssertionError(f'no entry has sent tasks of {name}')

    def propose(self, change, at='entry-1', based_on=None):
        """Propose a change of the configuration as an operator."""
        self._call_entry(
            at,
            lambda number: calls.ChangeProposed(number, change, based_on),
            f'{type(change).__name__} {cluster.subject(change)}',
        )

    def kill(self, name):
        """End a process at once."""
        self._log(f'{name} is killed')
        self.processes[name].alive = False
        for pair in [one for one in self._connected if name in one]:
            self._connected.discard(pair)
            (other,) = pair - {name}
            self._feed(other, core.PeerDown(name, 1, False))

    def cut(self, name):
        """Close every connection of a process, which may then reconnect."""
        self._log(f'{name} is cut off')
        for pair in sorted(
            [one for one in self._connected if name in one], key=sorted
        ):
            self._connected.discard(pair)
            for one, two in itertools.permutations(sorted(pair)):
                self._feed(one, core.PeerDown(two, 1))

    def _create_key(self, name):
        self._jobs[name] = len(self._jobs) + 1
        stamp = f'{int(self.now * 1000):012x}'
        number = self._jobs[name]
        key = f'{stamp[:8]}-{stamp[8:]}-7000-8000-{number:012x}'
        self._jobs[key] = name
        return key

    def _call_entry(self, at, make_event, description):
        """Deliver a caller's request to the entry ``at`` and log it."""
        number = next(self._calls)
        self._log(f'caller > {at}: {description}')
        self.replies[number] = description
        self._schedule(0.0, lambda: self._feed(at, make_event(number)))

    def _add_entry(self, name, zone, seed):
        me = messages.Member(name, 1, f'{name}:1', zone, 0.0)
        cfg = entry.EntryConfig(
            me,
            configuration.ConfigurationSettings(),
            dispatch.DispatchSettings(),
        )
        reducer = entry.Entry.from_config(cfg, random.Random(seed))
        self._add(Process(name, 'entry', zone, reducer))

    def _add_agent(self, name, zone):
        seeds = ('entry-1:1', 'entry-2:1')
        reducer = agent.Agent.from_config(
            agent.AgentConfig(name, zone, seeds=seeds), 1
        )
        self._add(Process(name, 'agent', zone, reducer))
        self._announce(name)

    def _announce(self, name):
        offer = upstream.Announced('s', ('slot',), 2, CAPACITY, 'url', 5.0)
        self._feed(name, offer)
        self._schedule(1.0, lambda: self._announce(name))

    def _add(self, process):
        self.processes[process.name] = process
        self._tick(process.name)

    def _tick(self, name):
        self._feed(name, core.Tick())
        self._schedule(TICK_SECONDS, lambda: self._tick(name))

    def _wake(self, name, at):
        at = max(at, self.now + NETWORK_SECONDS)
        if at >= self._wakes.get(name, float('inf')):
            return
        self._wakes[name] = at

        def tick():
            if self._wakes.get(name) == at:
                del self._wakes[name]
                self._feed(name, core.Tick())

        self._schedule(at - self.now, tick)

    def _schedule(self, seconds, step):
        heapq.heappush(
            self._events, (self.now + seconds, next(self._order), step)
        )

    def _feed(self, name, event):
        process = self.processes[name]
        if not process.alive:
            return
        for effect in process.reducer.reduce(event, self.now):
            self._execute_effect(process, effect)

    def _execute_effect(self, process, effect):
        name = process.name
        match effect:
            case core.Send(peer, message):
                self._send(name, peer, message)
            case core.Dial(peer, address) if (
                name,
                address,
            ) not in self._dials:
                self._dials.add((name, address))
                self._schedule(0.0, lambda: self._dial(name, address))
            case core.Note(event, fields):
                text = ' '.join(f'{key}={val}' for key, val in fields)
                self._log(f'{name}: {event} {self._replace_keys(text)}')
            case core.WakeAt(at):
                self._wake(name, at)
            case calls.Reply(number, answer):
                self._reply(name, number, answer)
            case store.CallStore():
                self._call_store(name, effect)
            case upstream.RunTask():
                self._start(name, effect)
            case upstream.StopTask():
                self._log(f'{name} > worker: stop {effect.index}')

    def _dial(self, name, address):
        """Connect, and retry while the peer isn't connected."""
        if not self.processes[name].alive:
            return
        peer = address.partition(':')[0]
        pair = frozenset((name, peer))
        if pair not in self._connected and self.processes[peer].alive:
            self._connect(pair)
        elif not self.processes[peer].alive:
            self._feed(name, core.PeerDown(peer, 0, True))
        self._schedule(REDIAL_SECONDS, lambda: self._dial(name, address))

    def _connect(self, pair):
        self._connected.add(pair)
        for one, two in itertools.permutations(sorted(pair)):
            hello = self.processes[two].hello()
            self._feed(one, core.PeerUp(hello))
            pong = messages.Pong(self.now, self.now, self.now)
            self._feed(one, core.Received(two, pong))

    def _send(self, name, peer, message):
        if frozenset((name, peer)) not in self._connected:
            return
        if not isinstance(message, PERIODIC):
            self._log(f'{name} > {peer}: {self._describe(message)}')
        data = codec.encode(message)

        def arrive():
            if frozenset((name, peer)) in self._connected:
                received = core.Received(name, codec.decode(data))
                self._feed(peer, received)

        self._schedule(NETWORK_SECONDS, arrive)

    def _start(self, name, effect):
        seconds = json.loads(effect.payload)
        self._log(
            f'{name} > worker: run {self._jobs[effect.job]} {effect.index}'
        )
        self.starts.append(
            (self.now, self.processes[name].zone, effect.job, effect.index)
        )
        ended = upstream.TaskEnded(
            effect.job,
            effect.index,
            effect.attempt,
            types.TaskState.FINISHED,
            b'{}',
            '',
            seconds,
        )
        self._schedule(seconds, lambda: self._feed(name, ended))

    def _call_store(self, name, call):
        def execute():
            try:
                answer = self.table.execute(call.request)
            except exceptions.StoreError as exc:
                answer = exc
            self._feed(name, store.StoreAnswered(call.id, answer))

        self._schedule(STORE_CALL_SECONDS, execute)

    def _reply(self, name, number, answer):
        description = self.replies[number]
        if isinstance(answer, types.JobAnswer):
            self.answers.append(answer)
        if isinstance(answer, cluster.ProposalOutcome):
            self.verdicts.append((description, answer))
            text = f'{answer.verdict}, version {answer.version}'
            if answer.verdict == 'accepted':
                text += (
                    f', in force at {self._format_time(answer.in_force_at)}'
                )
        else:
            text = ' '.join(
                [answer.status.value, answer.code]
                + [f'{one.id}={one.outcome.value}' for one in answer.tasks]
            )
        self._log(f'{name} > caller: {description}: {text}')

    def _describe(self, message):
        kind = type(message).__name__
        match message:
            case messages.Starts():
                tasks = self._describe_tasks(message.tasks)
                before = self._format_time(message.start_before)
                return f'{kind} {tasks} before {before}'
            case messages.Results():
                tasks = ' '.join(
                    f'{self._jobs[one.job]} {one.index} {one.state}'
                    for one in message.reports
                )
                return f'{kind} {tasks}'.rstrip()
            case messages.Settle():
                return f'{kind} {self._describe_tasks(message.tasks)}'
            case messages.Forward():
                return f'{kind} {message.action} {self._jobs[message.key]}'
            case messages.StopJob():
                return f'{kind} {self._jobs[message.job]} {message.action}'
            case messages.Members():
                names = ' '.join(
                    one.name for one in message.entries if not one.removed_at
                )
                return f'{kind} version {message.version}: {names}'
            case messages.Intent() | messages.IntentAck():
                return f'{kind} on version {message.version}'
            case messages.Orphans():
                tasks = ' '.join(
                    f'{self._jobs[one.job]} {one.index} {one.state}'
                    for one in message.reports
                )
                return f'{kind} of {message.owner}: {tasks}'.rstrip()
        return kind

    def _describe_tasks(self, refs):
        return ' '.join(f'{self._jobs[one.job]} {one.index}' for one in refs)

    def _replace_keys(self, text):
        for key, name in self._jobs.items():
            if isinstance(name, str):
                text = text.replace(key, name)
        return text

    def _format_time(self, instant):
        return f'{instant - self._started_at:.3f}'

    def _log(self, text):
        if self.recording:
            self.lines.append(f'{self.now - self._started_at:8.3f} {text}')
