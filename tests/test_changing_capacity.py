"""Workers whose capacity shrinks and grows while they run.

Each test simulates jobs of three queues at three entries and eleven workers,
which don't guard their capacity unless a test says so.
"""

import pytest

from agatepick.repeatable import policies
from tests import busy_world
from tests import repeatable_world
from tests import shrinking_world

OFF = policies.Policies()
SETUP_SECONDS = 2.0
LOAD_SECONDS = 10.0
AFTER_SECONDS = 16.0


def simulate(share, seed=0, switches=shrinking_world.GUARD, loss=0.0, **knobs):
    """Halve all workers for four seconds of a load, and return the world."""
    world = shrinking_world.ShrinkingWorld(
        seed=seed, switches=switches, **knobs
    )
    world.loss_rate = loss
    world.run(SETUP_SECONDS)
    world.load(share, LOAD_SECONDS)
    world.run(3.0)
    world.resize(0.5)
    world.run(4.0)
    world.resize(1.0)
    world.run(LOAD_SECONDS - 7.0 + AFTER_SECONDS)
    return world


def check_answers(world):
    """Check that each caller got a true answer, and each task one run."""
    assert all(caller.answer for caller in world.callers.values())
    assert world.double_runs == []
    assert world.false_refusals == []


@pytest.mark.parametrize(
    ('share', 'during'), [(0.5, 0.7), (0.8, 0.45), (0.95, 0.35)]
)
def test_callers_are_served_through_a_shrink_and_after_it(share, during):
    """All workers halve for four seconds; callers see refusals, not silence.

    Half of the load, or what half of the workers can do of it, is served
    meanwhile, and all queues as before once the workers have grown.
    """
    world = simulate(share)
    check_answers(world)
    assert world.list_over_starts() == []
    grown = SETUP_SECONDS + 7.0 + shrinking_world.BEAT_SECONDS
    for queue in ('wide', 'long', 'quick'):
        assert world.compute_done_share(queue, grown, grown + 1.5) >= 0.85
    shrunk = SETUP_SECONDS + 3.0
    assert world.compute_earned_share(shrunk, shrunk + 4.0) >= during


@pytest.mark.parametrize(
    ('knobs', 'loss'),
    [
        ({'link': 300_000.0}, 0.0),
        ({'processor': 0.5}, 0.02),
        ({}, 0.05),
    ],
)
@pytest.mark.parametrize('share', [0.8, 1.0])
def test_no_start_exceeds_a_capacity_that_keeps_changing(share, knobs, loss):
    """Entries know the capacity late, and requests to workers get lost.

    A start beyond it would bring a worker that doesn't guard itself over it.
    Without the guard a start was repeated at a worker that had shrunk since.
    """
    world = shrinking_world.ShrinkingWorld(
        switches=shrinking_world.GUARD, **knobs
    )
    world.loss_rate = loss
    world.run(SETUP_SECONDS)
    world.load(share, LOAD_SECONDS)
    for number in range(6):
        world.run(0.9)
        world.resize(1.0 if number % 2 else 0.3)
    world.run(AFTER_SECONDS + LOAD_SECONDS)
    check_answers(world)
    assert world.list_over_starts() == []


def test_no_start_exceeds_the_capacity_across_an_agent_s_restart():
    """Agents restart while their workers are half as large as usual."""
    world = shrinking_world.ShrinkingWorld(switches=shrinking_world.GUARD)
    world.run(SETUP_SECONDS)
    world.load(0.8, LOAD_SECONDS)
    world.run(3.0)
    world.resize(0.5)
    for name in list(world.workers)[:4]:
        world.run(0.5)
        world.kill(name)
    world.run(1.0)
    world.resize(1.0)
    world.run(LOAD_SECONDS + AFTER_SECONDS)
    check_answers(world)
    assert world.list_over_starts() == []


def test_jobs_that_fit_nowhere_are_refused_until_the_workers_grow():
    """Every worker shrinks below the size of any task, and grows again.

    Callers whose jobs wait would otherwise get no answer for seconds; those
    that come later are refused at once, and served when there is room again.
    """
    world = shrinking_world.ShrinkingWorld(switches=shrinking_world.GUARD)
    world.run(SETUP_SECONDS)
    world.load(0.9, LOAD_SECONDS)
    world.run(3.0)
    world.resize(0.02)
    world.run(4.0)
    world.resize(1.0)
    world.run(LOAD_SECONDS + AFTER_SECONDS)
    check_answers(world)
    start = repeatable_world.START + SETUP_SECONDS + 3.0
    shrunk = [
        caller
        for caller in world.callers.values()
        if start + 2.0 <= caller.sent_at < start + 4.0
    ]
    assert {caller.answer.reason for caller in shrunk} == {'no_worker'}
    assert max(caller.seconds for caller in shrunk) <= 0.01
    grown = SETUP_SECONDS + 7.0 + shrinking_world.BEAT_SECONDS
    assert world.compute_earned_share(grown, grown + 1.5) >= 0.8


def test_jobs_that_fit_nowhere_are_not_left_to_their_deadline():
    """Every worker shrinks for good, and some tasks of a job have run already.

    Without the guard its other tasks wait to the job's deadline, and its
    caller gets no answer for fifteen seconds.
    """
    world = shrinking_world.ShrinkingWorld(
        switches=shrinking_world.GUARD, queues=busy_world.MOSTLY_WIDE
    )
    world.run(SETUP_SECONDS)
    world.load(1.1, 6.0)
    world.run(2.0)
    world.resize(0.02)
    world.run(LOAD_SECONDS + AFTER_SECONDS)
    check_answers(world)
    assert max(caller.seconds for caller in world.callers.values()) <= 8.0


@pytest.mark.parametrize('seed', range(2))
def test_workers_that_shrink_unannounced_refuse_few_starts(seed):
    """Workers that guard their capacity shrink before they announce it.

    Without the guard each waiting task was sent there again and again.
    """
    starts = {}
    for switches in (OFF, shrinking_world.GUARD):
        world = shrinking_world.ShrinkingWorld(seed=seed, switches=switches)
        for worker in world.workers.values():
            worker.guards = True
        world.run(SETUP_SECONDS)
        world.load(0.9, LOAD_SECONDS)
        for number in range(3):
            world.run(3.0)
            world.resize(1.0 if number % 2 else 0.3)
        world.resize(1.0)
        world.run(LOAD_SECONDS + AFTER_SECONDS)
        check_answers(world)
        starts[switches] = world.starts
    assert starts[shrinking_world.GUARD] <= 0.6 * starts[OFF]


def test_workers_that_do_not_change_are_treated_as_before():
    """The same load at the same workers, with the switch off and on."""
    results = []
    for switches in (OFF, shrinking_world.GUARD):
        world = shrinking_world.ShrinkingWorld(switches=switches)
        world.run(SETUP_SECONDS)
        world.load(0.8, 4.0)
        world.run(4.0 + AFTER_SECONDS)
        results.append(
            [
                (caller.answer, caller.seconds)
                for caller in world.callers.values()
            ]
        )
    assert results[0] == results[1]
