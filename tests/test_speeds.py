import math
import random

import pytest

from agatepick.repeatable import speeds
from agatepick.repeatable import workerapi
from agatepick import types

NOW = 100.0
CAPACITY = types.Needs(16.0, 1024, 0)
RUN_SECONDS = 0.05
"""Pause between two ends of runs at a busy worker."""


def make_worker(incarnation='w@1', labels=('kind-a', 'rack-1')):
    return workerapi.WorkerAnnounced(
        incarnation, 1, 1, 'pool', CAPACITY, labels, False, ''
    )


def record_many(speed, slowness, count, now=NOW, noise=0.4, seed=1):
    """Record runs whose expected times are wrong by a random factor."""
    rng = random.Random(seed)
    for step in range(count):
        ratio = slowness * rng.lognormvariate(0.0, noise)
        speed.record(ratio, now + step * RUN_SECONDS)
    return now + count * RUN_SECONDS


@pytest.fixture
def speed():
    estimate = speeds.UsualSpeed(learns=True)
    estimate.meet(make_worker())
    return estimate


@pytest.mark.parametrize('slowness', [0.55, 0.83, 1.0, 1.3, 1.82])
def test_a_worker_s_speed_is_learnt_from_its_runs(speed, slowness):
    """A sound worker of a slow kind would be taken for a sick one."""
    assert speed.published == speeds.UNKNOWN
    now = record_many(speed, slowness, speeds.MIN_RUNS)
    assert speed.is_known
    assert abs(math.log(speed.slowness / slowness)) < 0.3
    record_many(speed, slowness, 400, now, seed=2)
    assert speed.slowness == pytest.approx(slowness, rel=0.06)
    assert speed.published == pytest.approx(speed.slowness, rel=0.06)


def test_the_estimate_outlasts_idle_minutes(speed):
    """A record that fades would forget that the worker is slow."""
    now = record_many(speed, 1.82, 400)
    speed.record(1.82, now + 600.0)
    assert speed.slowness == pytest.approx(1.82, rel=0.08)


def test_a_tail_of_run_times_does_not_count(speed):
    """Three runs in a hundred take seven times as long wherever they run."""
    rng = random.Random(3)
    for step in range(2000):
        ratio = rng.lognormvariate(0.0, 0.3)
        ratio *= 7.0 if rng.random() < 0.03 else 1.0
        speed.record(ratio, NOW + step * RUN_SECONDS)
    assert speed.slowness == pytest.approx(1.0, rel=0.05)


def test_sickness_of_half_a_minute_is_not_learnt(speed):
    """A worker is five times slower for a while and gets a few runs then."""
    now = record_many(speed, 1.0, 1000)
    for step in range(60):
        speed.record(5.0, now + step * 0.5)
    assert speed.slowness < 1.25


def test_a_worker_that_is_sick_from_the_start_stays_recognisable(speed):
    record_many(speed, 8.0, 100)
    assert speed.slowness <= speeds.MAX_SLOWNESS


def test_a_lasting_change_is_learnt_within_minutes(speed):
    now = record_many(speed, 1.0, 1000)
    record_many(speed, 1.8, 6000, now)
    assert speed.slowness == pytest.approx(1.8, rel=0.1)


def test_entries_get_few_updates_for_it(speed):
    """Each change of the published value is a message to each entry."""
    rng = random.Random(4)
    changes = sum(
        speed.record(rng.lognormvariate(0.3, 0.45), NOW + step * RUN_SECONDS)
        for step in range(20_000)
    )
    assert changes <= 40


def test_nothing_is_learnt_with_the_switch_off():
    speed = speeds.UsualSpeed()
    speed.meet(make_worker())
    record_many(speed, 3.0, 500)
    assert (speed.slowness, speed.published) == (1.0, 1.0)
    assert speed.persistent == speeds.UNKNOWN


def recall(speed, slowness=1.8, **worker):
    described = make_worker(**worker)
    speed.recall(
        workerapi.SlownessRecalled(
            described.pool, described.capacity, described.labels, slowness
        )
    )


@pytest.mark.parametrize('recalled_first', [True, False])
def test_a_restarted_agent_knows_its_worker(recalled_first):
    """An agent restarts beside a slow worker.

    Without the stored value it would count as sick until runs were seen.
    """
    speed = speeds.UsualSpeed(learns=True)
    if recalled_first:
        recall(speed)
    speed.meet(make_worker('w@2'))
    if not recalled_first:
        recall(speed)
    assert speed.published == pytest.approx(1.8)
    assert speed.persistent == pytest.approx(1.8)


def test_the_value_of_another_kind_of_worker_is_not_used():
    speed = speeds.UsualSpeed(learns=True)
    recall(speed, labels=('kind-b', 'rack-1'))
    speed.meet(make_worker())
    assert speed.published == speeds.UNKNOWN


def test_a_new_worker_of_the_same_kind_keeps_the_estimate(speed):
    record_many(speed, 1.8, 300)
    speed.meet(make_worker('w@2'))
    assert speed.is_known
    speed.meet(make_worker('v@1', ('kind-b', 'rack-1')))
    assert speed.published == speeds.UNKNOWN


def test_the_store_is_written_rarely(speed):
    """Thousands of agents share the store's writes.

    A typical worker needs no value, and a value changes by a fifth at least.
    """
    record_many(speed, 1.05, 5000)
    assert speed.persistent == speeds.UNKNOWN
    seen = set()
    rng = random.Random(5)
    for step in range(20_000):
        speed.record(
            1.8 * rng.lognormvariate(0.0, 0.45),
            NOW + 250.0 + step * RUN_SECONDS,
        )
        seen.add(speed.persistent)
    assert len(seen) <= 6
    assert speed.persistent == pytest.approx(1.8, rel=0.2)
