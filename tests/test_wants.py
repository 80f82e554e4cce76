"""Requests for capacity, by what suits a worker."""

import math

import pytest

from agatepick.net import messages
from agatepick.repeatable import jobs
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool
from agatepick.repeatable import routes
from agatepick.repeatable import wants
from agatepick import types

NOW = 50.0
SMALL = types.Needs(1.0, 64, 0)
LARGE = types.Needs(6.0, 128, 0)


def make_demand(max_slowness, latest_start=NOW + 0.1, needs=(SMALL,)):
    spec = jobs.Job(
        'j',
        routes.Route('q', 'host', '/q/', 'p'),
        b'',
        tuple(
            jobs.Task(f'j.{index}', 0, one) for index, one in enumerate(needs)
        ),
        (frozenset(),),
        NOW + 60.0,
    )
    job = owned_jobs.OwnedJob(1, spec, NOW, latest_start, 0.1)
    return wants.Demand.from_job(
        job, list(range(len(needs))), max_slowness, lambda needs: True
    )


def make_worker(slowness):
    room = messages.Room(1, True, 'p', (), LARGE, LARGE, slowness=slowness)
    worker = pool.Worker('w', 1, 'z', '')
    worker.update_room(room)
    return worker


def test_a_job_asks_for_all_its_tasks():
    want = wants.Wants(
        [make_demand(math.inf, needs=(LARGE, SMALL, SMALL))], NOW
    ).get(make_worker(1.0))
    assert want.count == 3
    assert want.least == SMALL
    assert want.total == LARGE + SMALL + SMALL
    assert want.slack == pytest.approx(0.1)


def test_a_slow_worker_is_asked_only_for_what_suits_it():
    """A slow worker would reserve capacity for tasks that never use it."""
    both = wants.Wants(
        [
            make_demand(1.2, NOW + 0.1, needs=(SMALL,)),
            make_demand(2.0, NOW + 0.3, needs=(LARGE, LARGE)),
        ],
        NOW,
    )
    assert both.get(make_worker(2.5)) == messages.NO_WANT
    assert both.get(make_worker(1.5)).count == 2
    assert both.get(make_worker(1.5)).slack == pytest.approx(0.3)
    assert both.get(make_worker(1.0)).count == 3
    assert both.get(make_worker(1.0)).slack == pytest.approx(0.1)
    assert both.slack == pytest.approx(0.1)
