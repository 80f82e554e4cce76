"""Results for callers when the mix of jobs changes.

Four entries and sixteen workers run in virtual time; workers have some ten
slots, and the mix is visible to the decisions only by its jobs.
"""

import pytest

from tests import busy_world

SETUP_SECONDS = 2.0
LOAD_SECONDS = 5.0
AFTER_SECONDS = 14.0

PROCESSOR = 0.08
"""Share of a processor that each entry and agent has."""

SEEDS = 3

MIXES = {
    'as-before': busy_world.QUEUES,
    'mostly-wide': busy_world.MOSTLY_WIDE,
    'mostly-long': busy_world.MOSTLY_LONG,
}


def simulate(queues, share, seed=1, flapping=False, **cfg):
    """Simulate a load of one mix.

    :param flapping: whether one worker goes down and up repeatedly.
    :param cfg: as for :class:`busy_world.BusyWorld`.
    """
    cfg = {'sizes': (16.0, 16.0), **cfg}
    world = busy_world.BusyWorld(
        seed=seed, entries=4, agents=16, cores=1.4, queues=queues, **cfg
    )
    world.run(SETUP_SECONDS)
    world.load(share, LOAD_SECONDS)
    if flapping:
        worker = world.workers['agent-0']
        for at in range(4):
            world.schedule(at + 0.3, setattr, worker, 'up', False)
            world.schedule(at + 0.9, setattr, worker, 'up', True)
    world.run(AFTER_SECONDS)
    return world


@pytest.mark.parametrize('queues', MIXES.values(), ids=MIXES)
@pytest.mark.parametrize('share', [0.5, 0.8, 1.15])
def test_callers_of_any_mix_are_answered_correctly(queues, share):
    world = simulate(queues, share)
    assert all(caller.answer for caller in world.callers.values())
    assert world.double_runs == []
    assert world.false_refusals == []


@pytest.mark.parametrize('queues', MIXES.values(), ids=MIXES)
@pytest.mark.parametrize(('share', 'least'), [(0.5, 0.99), (0.8, 0.95)])
def test_any_mix_is_served_while_workers_keep_up(queues, share, least):
    """The mix of jobs changes, and no setting is changed.

    Callers must get nearly all of their value with each mix.
    """
    assert simulate(queues, share).compute_earned_share() >= least


@pytest.mark.parametrize('queues', MIXES.values(), ids=MIXES)
def test_any_mix_is_served_beside_a_flapping_worker(queues):
    """One worker of sixteen goes down and up repeatedly.

    Only callers with tasks at that worker may notice it.
    """
    world = simulate(queues, 0.5, flapping=True)
    assert world.compute_earned_share() >= 0.9
    assert world.double_runs == []


def test_small_workers_are_filled():
    """Workers of a quarter of the size have two or three slots each.

    Callers must get nearly all of their value there as well.
    """
    world = simulate(busy_world.QUEUES, 0.5, sizes=(4.0, 4.0))
    assert world.compute_earned_share() >= 0.95


@pytest.mark.parametrize(
    ('name', 'share'), [('as-before', 0.95), ('mostly-wide', 0.7)]
)
def test_small_processors_have_time_for_their_callers(name, share):
    """Each start and each end at a worker changes its free capacity.

    An entry that received an update for each would do nothing else at peak
    load, and its callers would be late or refused: they got 0.62 and 0.53 of
    their value, and 0.87 and 0.76 once only significant updates were sent.
    """
    earned = [
        simulate(
            MIXES[name], share, seed=seed, processor=PROCESSOR
        ).compute_earned_share()
        for seed in range(SEEDS)
    ]
    assert sum(earned) / SEEDS >= 0.7
