"""Cancels that reach an entry that doesn't have the job."""

import pytest

from agatepick.repeatable import cancelling
from agatepick.repeatable import events
from tests import repeatable_world

KEY = 'j'
PATH = f'/q/{KEY}'


class World(repeatable_world.World):
    """A world that records the answers to cancels."""

    def __init__(self, **options):
        super().__init__(**options)
        self.cancels = {}
        self.apply = self._apply
        self._apply = self._apply_or_record

    def _apply_or_record(self, node, effect):
        if isinstance(effect, events.CancelReply):
            self.cancels[effect.call] = effect.found
        else:
            self.apply(node, effect)

    def cancel(self, name, call=99, host='host', path=PATH):
        self.feed(name, events.CancelAsked(call, KEY, host, path))


@pytest.fixture
def world():
    """Return a world in which an entry has a job of long tasks."""
    world = World(entries=3, agents=3)
    world.get_run_seconds = lambda name: 30.0
    world.run(2.0)
    world.submit(repeatable_world.make_job(KEY, 3, expected=30.0), 'entry-0')
    world.run(0.5)
    return world


def list_runs(world):
    return [name for one in world.workers.values() for name in one.runs]


def test_a_job_is_cancelled_by_way_of_an_agent(world):
    """Another entry answered 410, and the tasks went on starting."""
    assert list_runs(world)
    world.cancel('entry-2')
    world.run(0.1)
    assert world.cancels == {99: True}
    assert not world.nodes['entry-0'].reducer.owns_open_job(KEY, 'host', PATH)
    world.run(0.3)
    assert not list_runs(world)


@pytest.mark.parametrize(
    'host, path', [('other', PATH), ('host', f'/other/{KEY}')]
)
def test_a_job_of_another_queue_goes_on(world, host, path):
    world.cancel('entry-2', host=host, path=path)
    world.run(0.1)
    assert world.cancels == {99: False}
    assert list_runs(world)


def test_a_cancel_finds_its_job_past_agents_that_do_not_reach_it(world):
    """One agent whose connection is cut would hide the job."""
    world.cut('entry-0', 'agent-0', 5.0)
    world.cut('entry-0', 'agent-1', 5.0)
    world.cancel('entry-2')
    world.run(1.0)
    assert world.cancels == {99: True}


def test_a_cancel_of_no_job_is_answered_soon(world):
    world.submit(repeatable_world.make_job('other', 1), 'entry-1')
    world.feed('entry-2', events.CancelAsked(5, 'none', 'host', '/q/none'))
    world.run(0.1)
    assert world.cancels == {5: False}


def test_a_cancel_is_answered_though_no_other_entry_is():
    """A caller would wait until its connection ends."""
    world = World(entries=2, agents=3)
    world.run(2.0)
    for agent in ('agent-0', 'agent-1', 'agent-2'):
        world.cut('entry-0', agent, 30.0)
    world.cancel('entry-1')
    world.run(cancelling.MAX_AGENTS * cancelling.ANSWER_SECONDS + 0.3)
    assert world.cancels == {99: False}


def test_a_cancel_at_an_entry_that_is_alone_is_answered_at_once():
    world = World(entries=1, agents=1)
    world.run(2.0)
    world.cancel('entry-0')
    assert world.cancels == {99: False}
