"""Orders of events after which a task may have two runs at a time."""

import random

import pytest

from agatepick.repeatable import events
from agatepick.repeatable import leases
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


@pytest.mark.parametrize('same_id', [True, False])
def test_a_new_incarnation_s_announcement_while_the_former_answers(
    world, same_id
):
    """The announcement alone would be taken for the end of the runs."""
    world.announce_successor('agent-0', same_id)
    world.run(4.0)
    assert not world.double_runs


def test_an_agent_and_its_worker_stand_still_together(world):
    """The agent's clock runs on meanwhile, the worker's does not."""
    world.stand_still('agent-0', 1.5)
    world.run(4.0)
    assert not world.double_runs


STOPPED_SECONDS = 0.15
"""Time after waking in which a suspended worker's runs are stopped."""


@pytest.mark.parametrize('seconds', [0.35, 0.5, 0.66, 0.8, 1.0, 1.15])
@pytest.mark.parametrize('pauses', [1, 3])
def test_a_woken_agent_ends_no_runs_that_its_worker_goes_on_with(
    world, seconds, pauses
):
    """Both stood still: the agent's clock shows a lease that isn't over."""
    for _ in range(pauses):
        world.stand_still('agent-0', seconds)
        world.run(seconds + 0.6)
    world.run(4.0)
    assert not world.double_runs


@pytest.mark.parametrize('seconds', [1.3, 1.5, 2.0, 3.5])
def test_a_woken_agent_stops_the_runs_that_its_worker_goes_on_with(
    world, seconds
):
    """Their tasks were started elsewhere while both stood still."""
    world.stand_still('agent-0', seconds)
    world.run(seconds + STOPPED_SECONDS)
    assert world.double_runs
    worker = world.workers['agent-0']
    running, _ = worker.list_runs(0)
    elsewhere = set(world.workers['agent-1'].runs)
    assert not elsewhere.intersection(run.name for run in running)
    world.double_runs.clear()
    world.run(4.0)
    assert not world.double_runs


def test_a_woken_agent_waits_out_the_lease_at_a_worker_without_answers(world):
    """Its worker went on with its runs, or stood still: nobody tells."""
    world.lose_orders('agent-0', {'stop', 'lists'}, 10.0)
    world.stand_still('agent-0', 1.0)
    world.run(1.0 + leases.WORKER_EXPIRY_SECONDS + 0.1)
    worker = world.workers['agent-0']
    assert not worker.list_runs(0)[0]
    assert not world.nodes['agent-0'].reducer._controller.runs
    assert not world.double_runs


def test_a_woken_agent_extends_no_lease_by_the_clock_of_before(world):
    """Its VM stood still, so the worker's clock is behind what it was."""
    world.run(0.5)
    world.stand_still('agent-0', 0.4)
    world.run(0.4)
    worker = world.workers['agent-0']
    longest = leases.WORKER_LEASE_SECONDS * leases.CLOCK_DRIFT
    for _ in range(20):
        world.run(0.01)
        for _, _, until in worker.runs.values():
            assert until <= world.now + longest + 1e-6


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


@pytest.mark.parametrize('lead', [0.02, 0.05])
def test_a_worker_s_clock_taken_to_be_ahead_at_its_agent_s_freeze(lead):
    """The runs' lease is longer than the agent counts when it thaws."""
    world = repeatable_world.World(agents=2)
    world.run(2.0)
    for worker in world.workers.values():
        worker.slowness = 40.0
    world.clock_lead_seconds = lead
    spec = repeatable_world.make_job('j', 4, expected=RUN_SECONDS)
    world.submit(spec, to='entry-0')
    world.run(0.004)
    assert world.workers['agent-0'].runs
    world.lose_orders('agent-0', {'stop'}, 3.0)
    world.freeze('agent-0', 0.74)
    world.run(2.0)
    assert not world.double_runs


def make_world_with_lost_starts(seconds):
    """Return a world in which starts at one worker may come late."""
    world = repeatable_world.World(agents=2)
    world.run(2.0)
    for worker in world.workers.values():
        worker.slowness = 400.0
    world.late_orders_reach_successors = True
    world.lose_orders('agent-0', {'start'}, seconds)
    spec = repeatable_world.make_job('j', 4, expected=30.0)
    world.submit(spec, to='entry-0')
    return world


def test_a_late_start_is_carried_out_by_the_next_incarnation():
    """By the next one's clock the start's lease is far ahead."""
    world = make_world_with_lost_starts(0.5)
    world.run(0.6)
    world.workers['agent-0'].restart()
    world.run(13.0)
    assert not world.double_runs


def test_a_late_start_precedes_all_orders_to_the_next_incarnation():
    """It has seen no epoch yet, so it takes the one of the former."""
    world = make_world_with_lost_starts(0.3)
    world.run(0.05)
    lost = world.nodes['agent-0'].reducer._controller.runs
    worker = world.workers['agent-0']
    world.schedule(0.1, worker.exit)
    world.schedule(3.0, worker.restart)
    for name in lost:
        args = (name, 1, 0.0)
        world.schedule(3.0, world._start_late, worker, args, 1, worker.born)
    world.run(6.0)
    assert not world.double_runs


def _pick_agent(world, rng):
    return rng.choice(world.agents()).name


def _move_caller(world, rng):
    world.move_caller(f'j{rng.randrange(60)}')


def _kill(world, rng):
    world.kill(rng.choice(list(world.nodes)), rng.uniform(0.2, 4.0))


def _freeze(world, rng):
    world.freeze(rng.choice(list(world.nodes)), rng.uniform(0.1, 3.0))


def _cut(world, rng):
    entry = rng.choice(world.entries()).name
    world.cut(entry, _pick_agent(world, rng), rng.uniform(0.2, 3.0))


def _break_link(world, rng):
    pairs = sorted(world.connected, key=sorted)
    if pairs:
        world._break(rng.choice(pairs))


def _crash(world, rng):
    world.workers[_pick_agent(world, rng)].restart()


def _depart(world, rng):
    exit_after = rng.choice((0.0, 0.01, 0.5, 2.0))
    world.depart(_pick_agent(world, rng), exit_after, rng.uniform(0.1, 2.0))


def _announce_successor(world, rng):
    world.announce_successor(_pick_agent(world, rng), rng.random() < 0.5)


def _announce_late(world, rng):
    world.announce_late(_pick_agent(world, rng), rng.uniform(0.05, 4.0))


def _delay_answers(world, rng):
    world.answer_delay_seconds = rng.choice((0.0, 0.02, 0.08))


def _lose_starts(world, rng):
    kinds = rng.choice(({'start'}, {'lists'}, {'start', 'lists'}))
    seconds = rng.uniform(0.1, 2.0)
    world.lose_orders(_pick_agent(world, rng), kinds, seconds)


def _lose_stops(world, rng):
    late = rng.random() < 0.5
    seconds = rng.uniform(0.3, 3.0)
    world.lose_orders(_pick_agent(world, rng), {'stop'}, seconds, late)


def _refuse_connections(world, rng):
    seconds = rng.uniform(0.02, 2.0)
    world.refuse_connections(_pick_agent(world, rng), seconds)


def _take_over(world, rng):
    world.take_over(_pick_agent(world, rng), rng.random() < 0.5)


ORDINARY = (
    _move_caller,
    _kill,
    _freeze,
    _cut,
    _break_link,
    _crash,
    _depart,
    _announce_late,
    _announce_successor,
    _delay_answers,
    _lose_starts,
)
MISLEADING = (_lose_stops, _refuse_connections, _take_over)


def _play(seed, faults):
    """Return the world after a random history."""
    rng = random.Random(seed)
    world = repeatable_world.World(seed=seed)
    world.connects_suspended = False
    world.run(2.0)
    for worker in world.workers.values():
        worker.slowness = 8.0
    for number in range(60):
        if rng.random() < 0.5:
            rng.choice(faults)(world, rng)
        spec = repeatable_world.make_job(
            f'j{number}',
            rng.randint(1, 8),
            world.now + 8.0,
            rng.choice((0.3, 1.0, 3.0)),
        )
        world.submit(spec)
        world.run(rng.uniform(0.01, 0.3))
    world.run(10.0)
    return world


@pytest.mark.parametrize('seed', range(20))
def test_random_histories_with_late_and_lost_messages(seed):
    """A late, lost or overtaken message is taken for the end of a run."""
    world = _play(seed, ORDINARY)
    assert not world.double_runs
    assert not world.false_refusals


def test_random_histories_with_runs_that_seem_over_or_stopped():
    """Runs go on behind a refusal, a successor, or stops that get lost."""
    faults = ORDINARY + MISLEADING
    overlaps = {
        seed: world.double_runs
        for seed in range(20)
        if (world := _play(seed, faults)).double_runs
    }
    assert not overlaps
