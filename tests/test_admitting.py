import random

from agatepick.repeatable import admitting


def test_nothing_waits_while_cores_are_free():
    load = admitting.Load(needed=48.0, free=60.0, rate=10.0)
    assert load.wait() == 0.0
    assert admitting.in_time(load, 0.0, admitting.LEAST_SHARE)


def test_a_job_behind_a_long_queue_is_refused_at_once():
    """More work waits than can start before the job's latest start.

    Let in, its caller would wait and get an answer that is of no use.
    """
    load = admitting.Load(needed=900.0, free=0.0, rate=300.0)
    assert load.wait() == 3.0
    assert not admitting.in_time(load, 1.0, admitting.MOST_SHARE)


def test_a_job_is_refused_while_orders_take_too_long():
    """An entry's link is full; cores are free, but no order reaches them.

    Each job that is let in makes all wait longer, and none begins in time.
    """
    load = admitting.Load(needed=0.0, free=60.0, rate=10.0, trip=0.4)
    assert not admitting.in_time(load, slack=0.3, share=1.0)
    assert admitting.in_time(load, slack=0.5, share=1.0)


def test_a_slow_round_trip_alone_never_shuts_an_entry():
    """A small machine's orders take 30 ms, and a burst made its share low.

    Held to that share, the trip alone would have each job refused; none
    would begin, and the share would stay low for good beside idle workers.
    """
    load = admitting.Load(needed=0.0, free=60.0, rate=10.0, trip=0.03)
    assert admitting.in_time(load, slack=0.13, share=admitting.LEAST_SHARE)


def test_callers_that_are_refused_together_come_back_apart():
    """A burst is refused; with one time for all it would come back whole."""
    rng = random.Random(1)
    load = admitting.Load(needed=900.0, free=0.0, rate=300.0)
    times = [admitting.retry_after(load, 1.0, rng) for _ in range(100)]
    assert min(times) >= 2.0
    assert max(times) - min(times) > 1.5
    assert max(times) <= admitting.MAX_RETRY_SECONDS


def test_the_rate_follows_the_cores_that_runs_free():
    freed = admitting.FreedRate()
    now = 0.0
    for _ in range(400):
        now += 0.01
        freed.add(6.0, 0.2, now)
    assert 500.0 < freed.a_second(now) < 700.0
    assert abs(freed.usual_seconds() - 0.2) < 0.01
    assert freed.a_second(now + 5.0) < 10.0


def test_before_any_end_a_usual_run_time_is_assumed():
    assert admitting.FreedRate().usual_seconds() > 0.0


def test_jobs_that_begin_too_late_make_admission_stricter():
    """More work comes than the workers can do, and more urgent jobs pass.

    Callers that were let in by the prediction alone get late answers.
    """
    margin = admitting.Margin()
    assert margin.share == admitting.MOST_SHARE
    for _ in range(5):
        margin.began(in_time=False)
    assert margin.share < 0.2 * admitting.MOST_SHARE
    for _ in range(100):
        margin.began(in_time=False)
    assert margin.share == admitting.LEAST_SHARE


def test_jobs_that_begin_in_time_let_more_wait_again():
    margin = admitting.Margin()
    for _ in range(100):
        margin.began(in_time=False)
    for _ in range(200):
        margin.began(in_time=True)
    assert margin.share == admitting.MOST_SHARE


def test_one_late_job_in_nineteen_changes_nothing():
    margin = admitting.Margin()
    margin.began(in_time=False)
    before = margin.share
    for _ in range(18):
        margin.began(in_time=True)
    margin.began(in_time=False)
    assert abs(margin.share / before - 1.0) < 0.05
