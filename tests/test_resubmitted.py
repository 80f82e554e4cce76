"""What an entry notes of jobs that come again."""

import random

import pytest

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import entry
from agatepick.repeatable import events
from agatepick.repeatable import resubmitted
from agatepick import types
from tests import repeatable_world

NOW = 50.0
JOB = repeatable_world.make_job('j', 2, NOW + 30.0)


class Desk:
    """An entry with one agent, and the notes that it made."""

    def __init__(self):
        cfg = entry.EntryConfig('e', 'z')
        self.entry = entry.Entry.from_config(cfg, random.Random(1))
        self.now = NOW
        self.notes = []
        self.feed(core.PeerUp(messages.Hello('a', 'agent', 1, 'z', '', '', 0)))
        self.receive(messages.Renewal(NOW))
        capacity = repeatable_world.CAPACITY
        self.receive(messages.Room(1, True, 'pool', (), capacity, capacity))

    def feed(self, event, seconds=0.0):
        self.now += seconds
        effects = self.entry.reduce(event, self.now)
        self.notes += [one for one in effects if isinstance(one, core.Note)]

    def receive(self, message):
        self.feed(core.Received('a', message))

    def pass_time(self, steps):
        """Let steps of 0.05 s pass, with renewals of the agent's lease."""
        for _ in range(steps):
            self.now += 0.05
            self.receive(messages.Renewal(self.now))
            self.feed(core.Tick())

    def submit(self, call):
        """Submit the job, and let its tasks be sent."""
        self.feed(events.JobArrived(call, JOB), 0.01)
        self.feed(core.Tick(), 0.06)

    def report(self, state):
        self.receive(
            messages.RunReports(
                tuple(
                    messages.RunReport('j', index, 1, state.value, 'x', 0.1)
                    for index in range(2)
                )
            )
        )

    def get(self, name):
        """Return the fields of the notes of one name."""
        return [dict(one.fields) for one in self.notes if one.name == name]


@pytest.fixture
def desk():
    return Desk()


def test_a_job_whose_caller_left_is_noted_when_it_comes_again(desk):
    """Its runs may go on while the job starts again."""
    desk.submit(1)
    assert desk.get('job_resubmitted') == []
    desk.feed(events.CallerLeft(1))
    desk.report(types.RunState.OVER)
    desk.pass_time(26)
    desk.feed(events.JobArrived(2, JOB))
    (note,) = desk.get('job_resubmitted')
    assert note == {
        'job': 'j',
        'reason': 'caller_left',
        'seconds': '1.300',
        'runs': '2',
    }
    assert len(desk.get('job_admitted')) == 2


def test_an_old_end_is_forgotten(desk):
    desk.submit(1)
    desk.feed(events.CallerLeft(1))
    desk.report(types.RunState.OVER)
    desk.feed(events.JobArrived(2, JOB), resubmitted.MEMORY_SECONDS + 1.0)
    assert desk.get('job_resubmitted') == []


def test_a_job_that_was_done_is_not_noted(desk):
    desk.submit(1)
    desk.report(types.RunState.FINISHED)
    assert desk.get('job_ended')[0]['verdict'] == 'complete'
    desk.submit(2)
    assert desk.get('job_resubmitted') == []


def test_a_task_that_waits_again_names_its_agent(desk):
    desk.submit(1)
    desk.report(types.RunState.OVER)
    waiting = desk.get('task_waits_again')
    assert [note['peer'] for note in waiting] == ['a', 'a']
