import random

import pytest

from agatepick.net import messages
from agatepick.repeatable import choosing
from agatepick.repeatable import pool
from agatepick import types

NOW = 50.0
TASK = types.Needs(6.0, 64, 0)
NONE_AVOIDED: frozenset = frozenset()
SHORT = pool.Demand(0.1, 0.22)
"""Short task that is in time anywhere if it starts at once."""

LONG = pool.Demand(1.5, 2.46)
"""Long task that is late on a worker of slowness 1.8."""

URGENT_LONG = pool.Demand(1.5, 1.25)
"""Long task that is just in time at a fast worker if it starts at once."""

SLOW = 1.8
FAST = 0.83


def make_worker(name, slowness, free=64.0, cost=1.0):
    worker = pool.Worker(name, 1, 'z', '', renewed_at=NOW)
    worker.update_room(
        messages.Room(
            1,
            True,
            'p',
            (),
            types.Needs(64.0, 4096, 0),
            types.Needs(free, 4096, 0),
            cost=cost,
            slowness=slowness,
        )
    )
    return worker


def make_candidates(*workers):
    return choosing.Candidates(list(workers), random.Random(1))


def pick(workers, demand, avoided=NONE_AVOIDED):
    """Return the worker for a task in a round with just these workers."""
    return make_candidates(*workers).pick(TASK, avoided, demand)


def test_a_long_task_does_not_start_where_it_is_late():
    """All fast workers are full, and a slow one is empty.

    The caller of a long job would get its answer late.
    """
    slow = make_worker('slow', SLOW)
    full = make_worker('fast', FAST, free=0.0)
    candidates = make_candidates(slow, full)
    assert candidates.pick(TASK, NONE_AVOIDED, LONG) is None
    assert candidates.held_back
    assert candidates.pick(TASK, NONE_AVOIDED, SHORT) is slow


def test_a_task_without_time_to_wait_starts_on_any_worker():
    """Otherwise its caller would be refused while a worker stands idle."""
    slow = make_worker('slow', SLOW)
    full = make_worker('fast', FAST, free=0.0)
    assert pick([slow, full], URGENT_LONG) is slow
    roomy = make_worker('roomy', FAST, free=30.0)
    assert pick([slow, full, roomy], URGENT_LONG) is roomy


def test_a_short_task_leaves_scarce_fast_workers_to_others():
    """Fast workers are nearly full of tasks that are in time only there."""
    slow = make_worker('slow', SLOW)
    fast = make_worker('fast', FAST, free=12.0)
    assert pick([slow, fast], SHORT) is slow
    assert pick([slow, fast], LONG) is fast


def test_fast_workers_come_first_while_they_have_room():
    slow, fast = make_worker('slow', SLOW), make_worker('fast', FAST)
    assert pick([slow, fast], SHORT) is fast


def test_nothing_waits_for_a_fast_worker_if_there_is_none():
    """Only slow workers are left, or the task failed at all the others."""
    slow, slower = make_worker('slow', SLOW), make_worker('slower', 2.2)
    assert pick([slow, slower], LONG) is slow
    fast = make_worker('fast', FAST)
    assert pick([slow, fast], LONG, frozenset({'fast'})) is slow


def test_a_task_that_fits_only_on_large_slow_workers_does_not_wait():
    slow = make_worker('slow', SLOW)
    small = make_worker('small', FAST, free=0.0)
    small.room = messages.Room(
        1,
        True,
        'p',
        (),
        types.Needs(4.0, 4096, 0),
        types.Needs(),
        slowness=FAST,
    )
    assert pick([slow, small], LONG) is slow


def test_a_sound_slow_worker_is_not_taken_for_a_sick_one():
    """It stood idle as its cost is 2.2 times that of the others."""
    slow = make_worker('slow', SLOW, cost=1.1)
    full = [make_worker(name, FAST, free=0.0) for name in 'ab']
    for number in range(5):
        slow.placed['job', number] = pool.PlacedRun(1, TASK)
    assert pick([slow, *full], SHORT) is slow


@pytest.mark.parametrize('slowness', [FAST, SLOW])
def test_a_sick_worker_gets_nothing(slowness):
    """A worker is five times slower than usual, whatever its usual speed."""
    sick = make_worker('sick', slowness, cost=5.0)
    others = [
        make_worker('a', FAST, free=30.0),
        make_worker('b', FAST, free=30.0),
        make_worker('c', SLOW, free=30.0),
    ]
    for demand in (SHORT, LONG, URGENT_LONG):
        assert pick([sick, *others], demand) is not sick


def test_equal_workers_are_ranked_as_without_speeds():
    """Where speeds hardly differ nothing changes for callers."""
    workers = [
        make_worker(str(number), 1.0 + 0.01 * number, free=20.0 + number)
        for number in range(8)
    ]
    for seed in range(20):
        plain = pool.Candidates(workers, random.Random(seed))
        weighing = choosing.Candidates(workers, random.Random(seed))
        assert not weighing.weighs_time
        for demand in (SHORT, LONG, URGENT_LONG):
            assert weighing.pick(TASK, NONE_AVOIDED, demand) is plain.pick(
                TASK, NONE_AVOIDED
            )


def test_sound_slow_workers_count_as_capacity():
    """Callers were refused while healthy slow workers had room."""
    slow = make_worker('slow', 2.0, cost=1.0)
    fast = make_worker('fast', 0.5)
    whole = choosing.measure_capacity([slow, fast], None)
    assert whole.free_cores == 128.0
    assert whole.share == 64.0 / 2.0 + 64.0 / 0.5


def test_a_job_that_is_late_on_slow_workers_is_judged_by_the_others():
    slow = make_worker('slow', 2.0)
    fast = make_worker('fast', 0.5)
    capacity = choosing.measure_capacity([slow, fast], LONG)
    assert capacity.free_cores == 64.0
    assert capacity.part == pytest.approx(0.8)
    alone = choosing.measure_capacity([slow], LONG)
    assert (alone.free_cores, alone.part) == (64.0, 1.0)
