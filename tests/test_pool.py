import random

import pytest

from agatepick.net import messages
from agatepick.repeatable import pool
from agatepick import types

NOW = 50.0
TASK = types.Needs(6.0, 64, 0)
NONE_AVOIDED: frozenset = frozenset()


def make_worker(name, free=64.0, cost=1.0, **room):
    worker = pool.Worker(name, 1, 'z', '', renewed_at=NOW)
    update = messages.Room(
        1,
        room.get('open', True),
        room.get('pool', 'p'),
        room.get('labels', ()),
        types.Needs(64.0, 4096, 0),
        types.Needs(free, 4096, 0),
        cost=cost,
    )
    worker.update_room(update)
    return worker


def pick(candidates, needs, avoid):
    """Return the worker for a task in a round with just these workers."""
    return pool.Candidates(candidates, random.Random(1)).pick(needs, avoid)


@pytest.fixture
def workers():
    return pool.Pool(random.Random(1))


def test_only_open_and_fresh_workers_of_the_pool_are_used(workers):
    """A frozen machine renews no worker; runs sent there would be lost."""
    silent = make_worker('silent')
    silent.renewed_at = NOW - pool.MAX_RENEWAL_AGE_SECONDS - 0.01
    for worker in (
        make_worker('good', labels=('a',)),
        make_worker('closed', open=False),
        make_worker('other', pool='q'),
        silent,
    ):
        workers.add(worker)
    assert [
        worker.name for worker in workers.usable_workers('p', '', NOW)
    ] == ['good']
    assert workers.usable_workers('p', 'b', NOW) == []
    assert len(workers.usable_workers('p', 'a', NOW)) == 1


def test_a_task_goes_where_it_fits():
    full = make_worker('full', free=3.0)
    empty = make_worker('empty')
    assert pick([full, empty], TASK, NONE_AVOIDED) is empty
    assert pick([full], TASK, NONE_AVOIDED) is None


def test_starts_in_transit_reduce_the_free_capacity():
    """An agent's update doesn't include the starts that are in transit."""
    worker = make_worker('a', free=10.0)
    worker.reserve(('job', 0), 1, TASK)
    assert worker.free.cpu == 4.0
    update = messages.Room(
        1, True, 'p', (), types.Needs(), types.Needs(4.0, 4096, 0), taken=1
    )
    worker.update_room(update)
    assert worker.free.cpu == 4.0


def test_a_slow_worker_gets_nothing_while_others_have_room():
    """A worker became six times slower and is therefore always free."""
    slow = make_worker('slow', cost=6.0)
    others = [make_worker('a', free=10.0), make_worker('b', free=10.0)]
    for _ in range(20):
        choice = pick([slow, *others], TASK, NONE_AVOIDED)
        assert choice is not slow


def test_a_recovering_worker_gets_one_task_at_a_time():
    others = [make_worker('a', free=0.0), make_worker('b', free=0.0)]
    recovering = make_worker('trying', cost=2.0)
    assert pick([recovering, *others], TASK, NONE_AVOIDED) is recovering
    recovering.placed['job', 0] = pool.PlacedRun(1, TASK)
    assert pick([recovering, *others], TASK, NONE_AVOIDED) is None


def test_jobs_that_are_slow_everywhere_exclude_no_worker():
    """Jobs that fail on all workers must not exclude any of them."""
    candidates = [make_worker(name, cost=5.0) for name in 'abc']
    assert pick(candidates, TASK, NONE_AVOIDED) is not None


def test_a_worker_where_the_task_failed_is_avoided():
    first, second = make_worker('a'), make_worker('b')
    avoid = frozenset({'a'})
    assert pick([first, second], TASK, avoid) is second


def test_a_nearly_full_fast_worker_comes_after_a_slower_one_with_room():
    """Another entry may have filled the fast worker since its last update."""
    nearly_full = make_worker('fast', free=7.0)
    roomy = make_worker('slow', free=40.0, cost=1.3)
    assert pick([nearly_full, roomy], TASK, NONE_AVOIDED) is roomy
    assert pick([nearly_full], TASK, NONE_AVOIDED) is nearly_full


def test_of_workers_with_room_the_faster_is_taken():
    fast = make_worker('fast', free=20.0)
    slow = make_worker('slow', free=64.0, cost=1.3)
    assert pick([slow, fast], TASK, NONE_AVOIDED) is fast
