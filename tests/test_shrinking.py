import math
import random

import pytest

from agatepick.net import messages
from agatepick.repeatable import admission
from agatepick.repeatable import estimating
from agatepick.repeatable import jobs
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool
from agatepick.repeatable import routes
from agatepick.repeatable import shrinking
from agatepick import types

NOW = 50.0
FULL = types.Needs(64.0, 4096, 0)
HALF = types.Needs(32.0, 2048, 0)
ROUTE = routes.Route('q', 'host', '/q/', 'pool')


def make_room(capacity, labels=(), free=None, name='pool'):
    free = types.Needs() if free is None else free
    return messages.Room(1, True, name, labels, capacity, free)


def make_job(key, cores, width=1, slack=0.5, label=''):
    needs = types.Needs(cores, 64, 0)
    tasks = tuple(
        jobs.Task(f'{key}.{index}', 0, needs, 0.2, label)
        for index in range(width)
    )
    spec = jobs.Job(key, ROUTE, b'', tasks, (frozenset(),), NOW + 10.0)
    job = owned_jobs.OwnedJob(1, spec, NOW, NOW + slack, 0.2)
    job.queue_ready_tasks()
    return job


class Entry:
    """Workers, queue and watch of an entry, without the rest of it."""

    def __init__(self, enabled=True, workers=2):
        rng = random.Random(1)
        self.pool = pool.Pool(rng)
        self.waiting = owned_jobs.WaitingQueue()
        self.admission = admission.Admission(
            self.pool, estimating.Estimator(), self.waiting, rng
        )
        self.watch = shrinking.Shrinking(
            self.pool, self.waiting, self.admission, enabled
        )
        for number in range(workers):
            worker = pool.Worker(f'a-{number}', 1, 'z', '')
            worker.renewed_at = NOW
            self.pool.add(worker)
            self.update(number, make_room(FULL))

    def update(self, number, room, now=NOW):
        worker = self.pool.get(f'a-{number}')
        self.watch.observe(worker, room, now)
        worker.update_room(room)

    def queue(self, *queued):
        for job in queued:
            self.waiting.add(job)

    def list_ended(self, now=NOW):
        return {
            ending.job.spec.key: ending.answer
            for ending in self.watch.find_endings(now)
        }


def test_the_most_urgent_jobs_are_kept():
    """Half of the cores are gone, and the queue is too long for the rest.

    Without the guard callers whose jobs can't start in time would learn so
    only at the latest start.
    """
    load = admission.Load(0.0, 8.0, 20.0)
    demands = [shrinking.Demand(8.0, 0.1 * number) for number in range(20)]
    hopeless = shrinking.find_hopeless(demands, load)
    assert hopeless
    kept = [number for number in range(20) if number not in hopeless]
    assert kept[:2] == [0, 1]
    # What is refused leaves its cores to the next.
    for position, number in enumerate(kept):
        wait = (8.0 * position - 8.0) / 20.0
        slack = demands[number].slack
        assert wait <= 2.0 * slack + shrinking.HOPELESS_SECONDS


def test_jobs_that_have_started_are_kept():
    load = admission.Load(0.0, 0.0, 1.0)
    demands = [shrinking.Demand(50.0, math.inf)] * 3
    assert shrinking.find_hopeless(demands, load) == []


def test_a_job_that_waits_little_longer_than_it_can_is_kept():
    load = admission.Load(0.0, 0.0, 10.0)
    demands = [shrinking.Demand(6.0, math.inf), shrinking.Demand(6.0, 0.4)]
    assert shrinking.find_hopeless(demands, load) == []


def test_jobs_that_fit_on_no_worker_any_more_end_at_once():
    """All workers shrink; a wide task would wait to its job's deadline."""
    entry = Entry()
    begun = make_job('begun', 40.0)
    begun.mark_started(NOW)
    entry.queue(make_job('wide', 40.0), make_job('narrow', 20.0), begun)
    entry.update(0, make_room(HALF))
    assert 'wide' not in entry.list_ended()
    entry.update(1, make_room(HALF))
    ended = entry.list_ended()
    assert set(ended) == {'wide', 'begun'}
    assert ended['wide'].verdict is jobs.Verdict.NOT_RUN
    assert ended['begun'].verdict is jobs.Verdict.GIVEN_UP
    assert ended['wide'].reason == shrinking.NO_ROOM_LEFT
    assert ended['wide'].retry_after >= 1.0


def test_a_task_that_waits_again_later_ends_as_well():
    """Its run ends without a result when its room has been gone for long."""
    entry = Entry(workers=1)
    entry.update(0, make_room(HALF))
    assert entry.list_ended() == {}
    entry.queue(make_job('late', 40.0))
    assert set(entry.list_ended(NOW + 30.0)) == {'late'}


def test_a_label_counts_as_room():
    entry = Entry()
    entry.update(0, make_room(FULL, ('ssd',)))
    entry.queue(make_job('labelled', 40.0, label='ssd'))
    entry.update(0, make_room(HALF, ('ssd',)))
    assert set(entry.list_ended()) == {'labelled'}


def test_a_worker_that_is_not_described_may_have_room():
    """An agent has just connected again while another worker shrinks."""
    entry = Entry()
    entry.queue(make_job('wide', 40.0))
    entry.pool.get('a-1').room = None
    entry.update(0, make_room(HALF))
    assert entry.list_ended() == {}
    entry.update(1, make_room(HALF))
    assert set(entry.list_ended(NOW + 0.3)) == {'wide'}


@pytest.mark.parametrize(
    ('enabled', 'room'),
    [
        (False, make_room(HALF)),
        (True, make_room(FULL)),
        (True, make_room(types.Needs(), name='')),
    ],
)
def test_nothing_ends_unless_a_worker_shrinks(enabled, room):
    """The switch is off, nothing has changed, or a worker has restarted."""
    entry = Entry(enabled, workers=1)
    entry.queue(make_job('wide', 65.0), make_job('long', 30.0, 30, 0.01))
    entry.update(0, room)
    assert entry.list_ended() == {}


def test_the_queue_is_checked_for_a_while_after_a_shrink():
    entry = Entry(workers=1)
    entry.update(0, make_room(HALF))
    entry.queue(*[make_job(f'{n}', 30.0, slack=0.01) for n in range(40)])
    first = entry.list_ended(NOW)
    assert first and '0' not in first
    assert entry.list_ended(NOW + 0.1) == {}
    assert entry.list_ended(NOW + shrinking.SETTLE_SECONDS) == {}
