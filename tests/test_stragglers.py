"""Detection of stragglers, each at the time when it is due."""

import random

import pytest

from agatepick.net import messages
from agatepick.repeatable import estimating
from agatepick.repeatable import jobs
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool
from agatepick.repeatable import routes
from agatepick.repeatable import stragglers
from agatepick import types

NOW = 50.0
EXPECTED_SECONDS = 0.4
NEEDS = types.Needs(6.0, 64, 0)


@pytest.fixture
def estimator():
    return estimating.Estimator()


@pytest.fixture
def finder(estimator):
    workers = pool.Pool(random.Random(1))
    for name in ('slow', 'sound'):
        worker = pool.Worker(name, 1, 'z', '', renewed_at=NOW + 60.0)
        worker.update_room(
            messages.Room(1, True, 'p', (), NEEDS + NEEDS, NEEDS)
        )
        workers.add(worker)
    return stragglers.Stragglers(workers, estimator)


@pytest.fixture
def job():
    spec = jobs.Job(
        key='j',
        route=routes.Route('q', 'host', '/q/', 'p'),
        payload=b'',
        tasks=tuple(
            jobs.Task(f'j.{index}', 0, NEEDS, EXPECTED_SECONDS)
            for index in range(2)
        ),
        after=(frozenset(),),
        deadline=NOW + 60.0,
    )
    job = owned_jobs.OwnedJob(1, spec, NOW, NOW + 1.0, EXPECTED_SECONDS)
    job.queue_ready_tasks()
    for record in job.records:
        record.state = owned_jobs.TaskState.PLACED
        record.agent = 'slow'
        record.placed_at = NOW
    job.mark_started(NOW)
    return job


def find_delay(finder, job, until):
    """Return the seconds until a run is found to be a straggler.

    The job is checked every 50 ms; ``None`` if no run is found by ``until``.
    """
    now = NOW
    while now < until:
        if finder.mark_stragglers(job, now):
            return now - NOW
        now += 0.05
    return None


def test_a_run_is_found_when_it_has_taken_too_long(finder, job):
    """A worker hangs with both tasks of a job.

    Their caller would wait until it gives up; with checks that are too rare,
    the runs would be moved after the caller's objective has passed.
    """
    limit = (
        stragglers.STRAGGLER_RATIO
        * stragglers.NO_SIBLING_FACTOR
        * EXPECTED_SECONDS
    )
    limit += stragglers.STRAGGLER_SPARE_SECONDS
    assert limit <= find_delay(finder, job, NOW + 10.0) <= limit + 0.1


def test_a_finished_sibling_shortens_the_limit(finder, job):
    """One of two tasks has ended in time, the other hangs.

    The expected run time is known now, so the limit is half as long.
    """
    assert finder.mark_stragglers(job, NOW + 0.1) == []
    job.mark_finished(0, EXPECTED_SECONDS)
    limit = stragglers.STRAGGLER_RATIO * EXPECTED_SECONDS
    limit += stragglers.STRAGGLER_SPARE_SECONDS
    assert limit <= find_delay(finder, job, NOW + 10.0) <= limit + 0.1


def test_a_calm_job_is_checked_four_times_a_second(finder, job):
    """Hundreds of jobs are open, each checked twenty times a second.

    Such checks took 5% of an entry's time on average under a calm load.
    """
    checks = []
    placed_indexes = job.placed_indexes
    job.placed_indexes = lambda: checks.append(1) or placed_indexes()
    find_delay(finder, job, NOW + 1.0)
    assert len(checks) <= 1.0 / stragglers.MAX_CHECK_INTERVAL_SECONDS + 1
