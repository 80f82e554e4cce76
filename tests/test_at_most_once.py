"""An owner, two agents and their workers on an unreliable network."""

import collections
import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from agatepick.agentside import agent
from agatepick.agentside import ledger
from agatepick.agentside import upstream
from agatepick import core
from agatepick.net import messages
from agatepick import types
from tests import agents

OWNER = 'owner'
TASKS = 3
IN_FLIGHT_LIMIT = 10
JOB = agents.key()
ENDED = ('finished', 'failed', 'lost')


@dataclasses.dataclass
class LastStart:
    """The agent and attempt of the owner's last start of a task."""

    name: str
    incarnation: int
    attempt: int


class Worker:
    """A worker with its agent, which can be restarted separately."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.incarnation = 0
        self.session = 0
        self.running = {}
        self.restart_agent()

    def restart_agent(self):
        self.incarnation += 1
        cfg = agent.AgentConfig(self.name)
        self.agent = agent.Agent.from_config(cfg, self.incarnation)
        self.announce()
        self.connect()

    def restart(self):
        self.session += 1
        self.running.clear()
        self.announce()

    def announce(self):
        session = f'{self.name}{self.session}'
        self.feed(agents.announced(session, slots=2))

    def connect(self):
        now = self.world.now
        hello = messages.Hello(OWNER, 'entry', 1, 'z', '', '', 0)
        self.feed(core.PeerUp(hello))
        pong = messages.Pong(now, now, now)
        self.feed(core.Received(OWNER, pong))

    def disconnect(self):
        self.feed(core.PeerDown(OWNER, 1))

    def end(self, number):
        if not self.running:
            return
        keys = sorted(self.running)
        key = keys[number % len(keys)]
        effect = self.running.pop(key)
        self.world.finished.add(key)
        state = types.TaskState.FINISHED
        self.feed(upstream.TaskEnded(*key, effect.attempt, state))

    def feed(self, event):
        for effect in self.agent.reduce(event, self.world.now):
            if isinstance(effect, upstream.RunTask):
                self.run(effect)
            elif isinstance(effect, core.Send):
                self.world.post(OWNER, self, effect.message)

    def run(self, effect):
        key = (effect.job, effect.index)
        self.world.starts[key] += 1
        self.world.started.add((effect.index, effect.attempt))
        self.running[key] = effect


class World:
    """An owner, agents and the messages in flight between them."""

    def __init__(self):
        self.now = agents.NOW
        self.in_flight = []
        self.starts = collections.Counter()
        self.started = set()
        self.refused = set()
        self.finished = set()
        self.last_starts = dict.fromkeys(range(TASKS))
        self.attempts = collections.Counter()
        self.answers = {}
        self.workers = [Worker(self, 'x'), Worker(self, 'y')]

    def post(self, target, worker, message):
        """Send a message; the oldest in flight are lost past the limit."""
        self.in_flight.append((target, worker, message))
        del self.in_flight[:-IN_FLIGHT_LIMIT]

    def deliver(self, number, keep):
        """Deliver one message in flight.

        :param keep: whether a copy of the message stays in flight.
        """
        if not self.in_flight:
            return
        at = number % len(self.in_flight)
        target, worker, message = self.in_flight[at]
        if not keep:
            del self.in_flight[at]
        if target != OWNER:
            worker.feed(core.Received(OWNER, message))
        elif isinstance(message, messages.Results):
            for report in message.reports:
                self.handle_report(worker, message.agent_incarnation, report)
        elif isinstance(message, messages.Offer):
            self.handle_offer(worker, message.agent_incarnation)

    def handle_offer(self, worker, incarnation):
        """Count tasks of the agent's earlier incarnations as lost."""
        for index, last_start in self.last_starts.items():
            if last_start is None or last_start.name != worker.name:
                continue
            if last_start.incarnation < incarnation:
                self.answers.setdefault(index, 'lost')

    def handle_report(self, worker, incarnation, report):
        reported = LastStart(worker.name, incarnation, report.attempt)
        if report.state == 'refused':
            self.refused.add((report.index, report.attempt))
        if (
            self.last_starts[report.index] != reported
            or report.index in self.answers
        ):
            return
        if report.state == 'refused':
            self.last_starts[report.index] = None
        elif report.state in ENDED:
            self.answers[report.index] = report.state

    def start(self, worker, index):
        """Send a start of a task, unless it may run or has ended already."""
        if self.last_starts[index] is not None or index in self.answers:
            return
        self.attempts[index] += 1
        last_start = LastStart(
            worker.name, worker.incarnation, self.attempts[index]
        )
        self.last_starts[index] = last_start
        starts = messages.Starts(
            OWNER,
            1,
            last_start.incarnation,
            1,
            self.now + 3,
            0,
            (agents.task(JOB, index, last_start.attempt),),
        )
        self.post('agent', worker, starts)

    def settle(self, worker):
        """Ask an agent for the states of the tasks that were sent to it."""
        refs = tuple(
            messages.TaskRef(JOB, index, last_start.attempt)
            for index, last_start in self.last_starts.items()
            if last_start is not None
            and (last_start.name, last_start.incarnation)
            == (worker.name, worker.incarnation)
            and index not in self.answers
        )
        settle = messages.Settle(worker.incarnation, refs)
        self.post('agent', worker, settle)

    def act(self, move, which, number):
        """Apply one event or fault to an agent, its worker or the messages.

        :param move: name of the event or fault.
        :param which: index of the worker.
        """
        worker = self.workers[which]
        if move == 'start':
            self.start(worker, number % TASKS)
        elif move in ('deliver', 'copy'):
            self.deliver(number, keep=move == 'copy')
        elif move == 'lose' and self.in_flight:
            del self.in_flight[number % len(self.in_flight)]
        elif move == 'settle':
            self.settle(worker)
        elif move == 'end':
            worker.end(number)
        elif move == 'pause':
            self.now += number / 20
            worker.feed(core.Tick())
        elif move == 'long_pause':
            self.now += number * 20
            worker.feed(core.Tick())
        elif move != 'lose':
            getattr(worker, move)()

    def check(self):
        """Check that no task started twice and every refusal is true."""
        assert all(count == 1 for count in self.starts.values())
        assert not self.refused & self.started
        for index, state in self.answers.items():
            if state == 'finished':
                assert (JOB, index) in self.finished


COMMON = ['start', 'deliver', 'copy', 'settle', 'end', 'pause']
RARE = [
    'lose',
    'connect',
    'disconnect',
    'announce',
    'restart',
    'restart_agent',
    'long_pause',
]
MOVES = 200


def draw_moves(seed):
    """Return moves drawn one by one; drawn lists are short and uniform."""
    rng = random.Random(seed)
    kinds = [*COMMON * 4, *RARE]
    return [
        (rng.choice(kinds), rng.randrange(2), rng.randrange(41))
        for _ in range(MOVES)
    ]


histories = st.integers(0, 2**32 - 1).map(draw_moves)


def play(moves):
    world = World()
    for move, which, number in moves:
        world.act(move, which, number)
        world.check()
    return world


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(histories)
def test_no_task_starts_twice_and_no_refusal_is_false(moves):
    """Messages are lost, copied, late and out of order while parts fail.

    Agents and workers restart and pause at any point.  A caller must never
    find a quote filed twice, nor get the answer "not run" for a quote that
    was filed.
    """
    play(moves)


def forget_refusals(monkeypatch):
    def refuse(self, ref, owner, reason, now):
        state = types.TaskState.REFUSED.value
        return messages.TaskReport(ref.job, ref.index, ref.attempt, state)

    monkeypatch.setattr(ledger.Ledger, 'refuse', refuse)


def start_copies(monkeypatch):
    monkeypatch.setattr(ledger.Ledger, 'find_report', lambda *args: None)


def serve_other_incarnations(monkeypatch):
    def answer(self, incarnation, ref, now):
        return self._ledger.find_report(ref, now)

    monkeypatch.setattr(agent.Agent, '_find_report', answer)


def refuse_for_other_incarnations(monkeypatch):
    answer = agent.Agent._find_report

    def refuse(self, incarnation, ref, now):
        report = answer(self, incarnation, ref, now)
        if report is not None and report.reason == agent.REASON_INCARNATION:
            return dataclasses.replace(report, state='refused')
        return report

    monkeypatch.setattr(agent.Agent, '_find_report', refuse)


@pytest.mark.parametrize(
    'broken',
    [
        forget_refusals,
        start_copies,
        serve_other_incarnations,
        refuse_for_other_incarnations,
    ],
)
def test_the_property_test_detects_each_broken_rule(broken, monkeypatch):
    """One of the agent's rules is disabled.

    The property test above must then find a history that starts a task twice
    or makes a refusal false; otherwise it would not test that rule.
    """
    broken(monkeypatch)

    def fails(moves):
        try:
            play(moves)
        except AssertionError:
            return True
        return False

    cfg = hypothesis.settings(
        max_examples=300,
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.generate],
    )
    hypothesis.find(histories, fails, settings=cfg, random=random.Random(1))
