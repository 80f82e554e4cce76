"""Helpers that drive one agent in tests and inspect the messages it sends."""

from agatepick.agentside import agent
from agatepick.agentside import upstream
from agatepick import core
from agatepick.net import messages
from agatepick import types

NOW = 1_800_000_000.0
CAPACITY = types.Needs(8.0, 1024, 1)


def key(seed=0, at=NOW):
    text = f'{int(at * 1000):012x}'
    return f'{text[:8]}-{text[8:]}-7000-8000-{seed:012x}'


def task(job, index=0, attempt=1, kind='k', needs=types.Needs()):
    return messages.StartTask(
        job, index, attempt, kind, 'team', b'{}', needs, NOW + 60
    )


def member(name, incarnation=1, listed_at=NOW - 100, removed_at=0.0):
    return messages.Member(
        name, incarnation, f'{name}:1', 'z', listed_at, removed_at
    )


def announced(session='s', slots=8, term=5.0):
    """Return the announcement of an upstream.

    :param term: seconds until the announcement expires unless renewed.
    """
    return upstream.Announced(
        session, ('k',), slots, CAPACITY, 'http://127.0.0.1:1', term
    )


class AgentHarness:
    """One agent, driven by a test in virtual time."""

    def __init__(self, incarnation=7, **cfg):
        cfg = agent.AgentConfig('agent', seeds=('seed:1',), **cfg)
        self.agent = agent.Agent.from_config(cfg, incarnation)
        self.incarnation = incarnation
        self.now = NOW
        self.effects = []
        self.incarnations = {}

    def feed(self, event):
        """Let the agent handle one event; return its effects."""
        effects = self.agent.reduce(event, self.now)
        self.effects += effects
        return effects

    def receive(self, peer, message):
        return self.feed(core.Received(peer, message))

    def connect(self, name, incarnation=1, ahead=0.0):
        """Connect an entry whose clock is ahead of the agent's, in seconds."""
        self.incarnations[name] = incarnation
        hello = messages.Hello(name, 'entry', incarnation, 'z', '', '', 0)
        effects = self.feed(core.PeerUp(hello))
        entry_now = self.now + ahead
        pong = messages.Pong(self.now, entry_now, entry_now)
        return effects + self.receive(name, pong)

    def disconnect(self, name):
        return self.feed(core.PeerDown(name, self.incarnations[name]))

    def start(self, peer, *tasks, before=3.0, waiting=0, agent=None):
        message = messages.Starts(
            peer,
            self.incarnations[peer],
            self.incarnation if agent is None else agent,
            1,
            self.now + before,
            waiting,
            tasks,
        )
        return self.receive(peer, message)

    def settle(self, peer, *tasks):
        refs = tuple(
            messages.TaskRef(one.job, one.index, one.attempt) for one in tasks
        )
        return self.receive(peer, messages.Settle(self.incarnation, refs))

    def end(self, ended_task, state=types.TaskState.FINISHED, body=b'1'):
        return self.feed(
            upstream.TaskEnded(
                ended_task.job,
                ended_task.index,
                ended_task.attempt,
                state,
                body,
            )
        )

    def tick(self, seconds=0.25):
        """Advance the time, with a tick every 0.25 s as in a real process."""
        effects = []
        until = self.now + seconds
        while self.now < until:
            self.now = min(self.now + 0.25, until)
            effects += self.feed(core.Tick())
        return effects


def make_ready_agent(*entries, slots=8, **cfg):
    """Return an agent with an upstream and these entries connected."""
    harness = AgentHarness(**cfg)
    harness.feed(announced(slots=slots, term=1000.0))
    for name in entries or ('e',):
        harness.connect(name)
    return harness


def list_started_tasks(effects):
    """Return key and index of each task sent to the upstream to run."""
    return [
        (one.job, one.index)
        for one in effects
        if isinstance(one, upstream.RunTask)
    ]


def sent(effects, kind, peer=None):
    """Return the messages of one kind among the effects of an agent.

    :param peer: the entry that they are sent to; any entry if ``None``.
    """
    return [
        one.message
        for one in effects
        if isinstance(one, core.Send)
        and isinstance(one.message, kind)
        and peer in (None, one.peer)
    ]


def reports(effects, peer=None):
    """Return the state and reason of each reported task, by its index."""
    return {
        report.index: (report.state, report.reason)
        for message in sent(effects, messages.Results, peer)
        for report in message.reports
    }
