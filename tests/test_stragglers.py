"""Runs that take far too long are found, each when it is due."""

import random

import pytest

from agatepick.net import messages
from agatepick.repeatable import estimating
from agatepick.repeatable import jobs
from agatepick.repeatable import owned
from agatepick.repeatable import pool
from agatepick.repeatable import routes
from agatepick.repeatable import stragglers
from agatepick import types

NOW = 50.0
SECONDS = 0.4
NEEDS = types.Needs(6.0, 64, 0)


@pytest.fixture
def estimator():
    return estimating.Estimator()


@pytest.fixture
def finder(estimator):
    workers = pool.Pool(random.Random(1))
    for name in ('slow', 'sound'):
        worker = pool.Worker(name, 1, 'z', '', renewed_at=NOW + 60.0)
        worker.take_room(messages.Room(1, True, 'p', (), NEEDS + NEEDS, NEEDS))
        workers.add(worker)
    return stragglers.Stragglers(workers, estimator)


@pytest.fixture
def job():
    spec = jobs.Job(
        key='j',
        route=routes.Route('q', 'host', '/q/', 'p'),
        payload=b'',
        tasks=tuple(
            jobs.Task(f'j.{index}', 0, NEEDS, SECONDS) for index in range(2)
        ),
        after=(frozenset(),),
        deadline=NOW + 60.0,
    )
    found = owned.OwnedJob(1, spec, NOW, NOW + 1.0, SECONDS)
    found.release()
    for record in found.records:
        record.state = owned.TaskState.PLACED
        record.agent = 'slow'
        record.placed_at = NOW
    found.begin(NOW)
    return found


def found_at(finder, job, until):
    """When a run was first found, looking every 50 ms."""
    now = NOW
    while now < until:
        if finder.find(job, now):
            return now - NOW
        now += 0.05
    return None


def test_a_run_is_found_when_it_has_taken_too_long(finder, job):
    """A worker stands still with both tasks of a job.

    Their caller would wait until it leaves; looked for too seldom, the runs
    would be moved after the caller's objective has passed.
    """
    limit = stragglers.STRAGGLER_RATIO * stragglers.UNSURE_RATIO * SECONDS
    limit += stragglers.STRAGGLER_SPARE_SECONDS
    assert limit <= found_at(finder, job, NOW + 10.0) <= limit + 0.1


def test_a_sibling_s_end_brings_the_moment_nearer(finder, job):
    """One of two tasks has ended in its time, the other stands still.

    What it should take is known now, and half as long is waited for it.
    """
    assert finder.find(job, NOW + 0.1) == []
    job.end(0, SECONDS)
    limit = stragglers.STRAGGLER_RATIO * SECONDS
    limit += stragglers.STRAGGLER_SPARE_SECONDS
    assert limit <= found_at(finder, job, NOW + 10.0) <= limit + 0.1


def test_a_calm_job_is_looked_at_four_times_a_second(finder, job):
    """Hundreds of jobs are open, each looked at twenty times a second.

    In the mean of a calm play that took 5% of an entry's time.
    """
    looks = []
    placed = job.placed
    job.placed = lambda: looks.append(1) or placed()
    found_at(finder, job, NOW + 1.0)
    assert len(looks) <= 1.0 / stragglers.LOOK_SECONDS + 1
