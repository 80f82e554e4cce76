"""What the logs tell of each run: starts, ends, and overlaps."""

import pytest

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import agent as agents
from agatepick.repeatable import events
from agatepick.repeatable import process
from agatepick.repeatable import recent
from agatepick.repeatable import workerapi
from agatepick import types

NOW = 1000.0
NEEDS = types.Needs(1.0, 1, 0)


class Agent:
    """An agent with a worker and one entry, and the notes that it made."""

    def __init__(self):
        self.agent = agents.Agent(agents.AgentConfig('a', 'z'), 1)
        self.now = NOW
        self.notes = []
        self.effects = []
        self.feed(events.PoolsNamed(frozenset(('p',))))
        self.feed(events.ZonesClosed(frozenset()))
        self.announce()
        self.feed(core.PeerUp(messages.Hello('e', 'entry', 1, 'z', '', '', 0)))
        self.renew()
        self.list_runs()

    def announce(self, incarnation='w@1', born=1):
        capacity = types.Needs(64.0, 4096, 0)
        self.feed(
            workerapi.WorkerAnnounced(
                incarnation, born, 1, 'p', capacity, (), False, ''
            )
        )
        self.feed(
            workerapi.WorkerIdentified(incarnation, workerapi.Identity.SAME)
        )

    def feed(self, event, seconds=0.0):
        """Let the agent handle an event; return the notes of it."""
        self.now += seconds
        self.effects = self.agent.reduce(event, self.now)
        notes = [one for one in self.effects if isinstance(one, core.Note)]
        self.notes += notes
        return notes

    def renew(self):
        self.feed(core.Received('e', messages.Renewed(self.now, 1)))

    def start(self, run=1):
        """Start a run of one task, whose start is answered."""
        spec = messages.RunSpec('j', 0, run, 'j.0', NEEDS, 0.2)
        payload = messages.Payload('j', b'{}')
        message = messages.StartRuns(
            run, 0, (spec,), messages.NO_WANT, (payload,)
        )
        self.feed(core.Received('e', message), 0.01)
        ref = messages.RunRef('j', 0, run)
        result = workerapi.StartResult.STARTED
        self.feed(workerapi.StartAnswered('w@1', ref, result), 0.01)

    def list_runs(self, running=(), ended=(), seconds=0.01):
        requested_at = self.now
        return self.feed(
            workerapi.ListsReceived('w@1', requested_at, running, ended),
            seconds,
        )

    def get(self, name):
        """Return the fields of the notes of one name."""
        return [dict(one.fields) for one in self.notes if one.name == name]


@pytest.fixture
def agent():
    return Agent()


def make_end(run=1, number=1, kind=workerapi.EndKind.DONE):
    return workerapi.EndedRun(number, 'j.0', run, kind, kind.value)


def test_a_run_has_a_line_of_its_start_and_of_its_end(agent):
    agent.start()
    agent.feed(core.Tick(), 0.05)
    agent.list_runs(ended=(make_end(),))
    (started,) = agent.get('run_started')
    assert started == {
        'job': 'j',
        'index': '0',
        'run': '1',
        'peer': 'e',
        'life': 'w@1',
    }
    (finished,) = agent.get('run_finished')
    assert (finished['run'], finished['reason']) == ('1', 'done')


@pytest.mark.parametrize(
    ('name', 'run', 'routine'),
    [
        ('run_started', 1, True),
        ('run_started', 2, False),
        ('run_finished', 2, True),
        ('run_over', 1, False),
    ],
)
def test_lines_of_repeated_runs_are_dropped_last(name, run, routine):
    note = core.note(name, job='j', index=0, run=run, reason='done')
    assert process.is_routine(note) is routine


RUNNING = (workerapi.RunningRun('j.0', 1),)


def refuse_connections(agent):
    return agent.feed(workerapi.ListsFailed('w@1', refused=True), 0.01)


def test_a_run_that_outlives_its_end_is_noted_once(agent):
    """A worker goes on with a run after the end of its lease."""
    agent.start()
    refuse_connections(agent)
    for _ in range(11):
        agent.feed(core.Tick(), 0.1)
    agent.announce()
    agent.feed(core.Tick(), 0.3)
    agent.list_runs(RUNNING)
    agent.list_runs(RUNNING)
    (outlived,) = agent.get('run_outlived')
    assert outlived['reason'] == 'lapsed'
    assert (outlived['job'], outlived['run']) == ('j', '1')
    assert float(outlived['seconds']) == pytest.approx(0.31, abs=0.02)
    assert agent.get('run_unowned') == []


def test_lists_older_than_an_end_show_nothing(agent):
    """Two requests for the lists are answered in the other order."""
    agent.start()
    requested_at = agent.now
    agent.list_runs(ended=(make_end(),))
    agent.feed(workerapi.ListsReceived('w@1', requested_at, RUNNING, ()), 0.01)
    assert agent.get('run_outlived') == []


def test_a_run_of_an_earlier_agent_is_noted_once(agent):
    """An agent starts again, and its worker still has a run."""
    agent.list_runs(RUNNING)
    agent.list_runs(RUNNING)
    (unowned,) = agent.get('run_unowned')
    assert unowned == {'task': 'j.0', 'run': '1', 'life': 'w@1'}


def test_the_memory_of_ends_is_bounded():
    memory = recent.Recent(seconds=5.0, max_count=100)
    for number in range(1000):
        memory.add(number, 'x', NOW)
    kept = [number for number in range(1000) if memory.get(number, NOW)]
    assert kept == list(range(900, 1000))
    assert memory.get(999, NOW + 5.1) is None


def test_a_stop_without_effect_is_noted_once(agent):
    """Stops get no answer, and the run goes on."""
    agent.start()
    ref = messages.RunRef('j', 0, 1)
    assert agent.agent.gauges(agent.now)['runs_unwanted'] == 0
    agent.feed(core.Received('e', messages.StopRuns((ref,))), 0.01)
    assert agent.agent.gauges(agent.now)['runs_unwanted'] == 1
    for _ in range(8):
        agent.renew()
        agent.list_runs(RUNNING, seconds=0.05)
    (overdue,) = agent.get('stop_overdue')
    assert overdue['reason'] == 'unanswered'
    assert (overdue['peer'], overdue['stops']) == ('e', '3')
    assert 0.3 <= float(overdue['seconds']) < 0.4


def test_a_run_that_can_not_be_stopped_is_noted_as_unrenewed_once(agent):
    """Its entry and its worker are silent: a line an event fills the log."""
    agent.start()
    agent.feed(workerapi.ListsFailed('w@1', other_worker=True), 0.01)
    for _ in range(12):
        agent.feed(core.Tick(), 0.04)
    assert len(agent.get('run_unrenewed')) == 1
    assert agent.get('run_over') == []


def test_a_stop_that_ends_its_run_is_not_noted(agent):
    agent.start()
    ref = messages.RunRef('j', 0, 1)
    agent.feed(core.Received('e', messages.StopRuns((ref,))), 0.01)
    agent.list_runs(ended=(make_end(kind=workerapi.EndKind.OTHER),))
    agent.feed(core.Tick(), 0.5)
    assert agent.get('stop_overdue') == []
