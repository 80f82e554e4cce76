"""Orders of events after which a task may have two runs at a time."""

import pytest

from agatepick.repeatable import events
from tests import repeatable_world

RUN_SECONDS = 8.0
"""Expected time of runs that last longer than a test."""

ZONE_CLOSED = events.ZonesClosed(frozenset({'z'}))
ZONE_OPEN = events.ZonesClosed(frozenset())


@pytest.fixture
def world():
    """Return a world in which two entries have runs at both workers."""
    world = repeatable_world.World(agents=2)
    world.run(2.0)
    for worker in world.workers.values():
        worker.slowness = 40.0
    for key, name in (('j', 'entry-0'), ('k', 'entry-1')):
        spec = repeatable_world.make_job(key, 4, expected=RUN_SECONDS)
        world.submit(spec, to=name)
    world.run(0.3)
    for worker in world.workers.values():
        assert {task[0] for task in worker.runs} == {'j', 'k'}
    return world


def test_lost_stops_of_a_dead_entry_s_runs_beside_renewed_runs(world):
    """Each renewal of another entry extends the lease of the orphaned runs."""
    world.lose_orders('agent-0', {'stop'}, 5.0)
    world.kill('entry-0', back_after=5.0)
    world.run(4.0)
    assert not world.double_runs


def test_lost_stops_of_a_dead_entry_s_runs_with_nothing_beside(world):
    """Nothing extends the lease of the orphaned runs."""
    world.close_caller('k')
    world.run(0.2)
    world.lose_orders('agent-0', {'stop'}, 5.0)
    world.kill('entry-0', back_after=5.0)
    world.run(4.0)
    assert not world.double_runs


def test_lost_stops_of_a_caller_s_runs_beside_renewed_runs(world):
    """The caller left, and the runs go on when its job comes again."""
    world.lose_orders('agent-0', {'stop'}, 5.0)
    world.move_caller('j')
    world.run(4.0)
    assert not world.double_runs


def test_lost_stops_of_a_caller_s_runs_beside_runs_of_the_same_entry(world):
    """The entry that the caller left renews the lease for its other jobs."""
    world.close_caller('k')
    world.run(0.2)
    spec = repeatable_world.make_job('m', 4, expected=RUN_SECONDS)
    world.submit(spec, to='entry-0')
    world.run(0.3)
    world.lose_orders('agent-0', {'stop'}, 5.0)
    world.move_caller('j')
    world.run(4.0)
    assert not world.double_runs


@pytest.mark.parametrize('fault', ['cut', 'freeze'])
def test_lost_stops_of_a_silent_entry_s_runs_beside_renewed_runs(world, fault):
    """The silent entry counts its runs as over by its own clock."""
    world.lose_orders('agent-0', {'stop'}, 5.0)
    if fault == 'cut':
        world.cut('entry-0', 'agent-0', 4.0)
    else:
        world.freeze('entry-0', 2.0)
    world.run(4.0)
    assert not world.double_runs


@pytest.mark.parametrize('seconds', [0.05, 1.0])
def test_refused_connections_while_runs_go_on(world, seconds):
    """A closed port doesn't show that the worker's runs are over."""
    world.refuse_connections('agent-0', seconds)
    world.run(2.0)
    assert not world.double_runs


@pytest.mark.parametrize('same_id', [True, False])
def test_a_new_incarnation_s_list_while_the_former_s_runs_go_on(
    world, same_id
):
    """The new one's list shows nothing of the former one's runs."""
    world.take_over('agent-0', same_id)
    world.run(2.0)
    assert not world.double_runs


@pytest.mark.parametrize('same_id', [True, False])
def test_a_new_incarnation_s_list_while_the_former_one_leaves(world, same_id):
    """A worker that leaves gets no stops, and its successor has none to do."""
    world.lose_orders('agent-0', {'stop'}, 5.0)
    world.depart('agent-0', 5.0, back_after=60.0)
    world.run(0.2)
    world.take_over('agent-0', same_id)
    world.run(2.0)
    assert not world.double_runs


def test_an_agent_and_its_worker_stand_still_together(world):
    """The agent's clock runs on meanwhile, the worker's does not."""
    world.stand_still('agent-0', 1.5)
    world.run(4.0)
    assert not world.double_runs


def test_a_full_report_names_a_run_of_the_job_s_first_submission():
    """Both submissions' runs have number 1, and the first was refused."""
    world = repeatable_world.World(entries=1, agents=2)
    world.feed('agent-1', ZONE_CLOSED)
    world.run(2.0)
    for worker in world.workers.values():
        worker.slowness = 40.0
    spec = repeatable_world.make_job('j', 1, expected=RUN_SECONDS)
    world.submit(spec)
    world.feed('agent-0', ZONE_CLOSED)
    world.run(0.1)
    world.move_caller('j')
    world.run(0.1)
    world.feed('agent-0', ZONE_OPEN)
    world.run(1.5)
    assert world.workers['agent-0'].runs
    world.feed('agent-1', ZONE_OPEN)
    world.run(0.1)
    world._break(frozenset(('entry-0', 'agent-0')))
    world.run(0.5)
    assert not world.double_runs
