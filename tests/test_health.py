from agatepick.repeatable import health

NOW = 10.0


def test_a_healthy_worker_costs_about_one():
    record = health.Health()
    for _ in range(20):
        record.record_end(True, 1.1, NOW)
    assert 1.0 < record.cost(NOW) < 1.15


def test_a_worker_that_fails_costs_more_within_a_few_runs():
    """A worker fails each task at once, so it is always free for more.

    Unless its cost rises, it is chosen for most of the tasks.
    """
    record = health.Health()
    for _ in range(5):
        record.record_end(False, 0.0, NOW)
    assert record.cost(NOW) > 2.0


def test_a_hanging_worker_is_detected_before_any_end():
    """All tasks of a worker hang: no run ends that could be counted."""
    record = health.Health()
    for _ in range(10):
        record.record_overdue(health.OVERDUE_RATIO, NOW)
    assert record.cost(NOW) > 2.0


def test_one_wrong_estimate_does_not_exclude_a_healthy_worker():
    record = health.Health()
    record.record_overdue(5.0, NOW)
    assert record.cost(NOW) < 1.8


def test_a_record_is_compared_anew_once_the_usual_speed_is_known():
    """A sound worker that takes 1.8 times as long as expected isn't sick."""
    record = health.Health()
    for _ in range(30):
        record.record_end(True, 1.8, NOW)
    record.rescale(1.0 / 1.8)
    assert record.cost(NOW) < 1.05
    record.rescale(0.1)
    assert record.cost(NOW) >= 1.0


def test_the_record_fades_so_that_a_worker_is_tried_again():
    record = health.Health()
    for _ in range(30):
        record.record_end(True, 6.0, NOW)
    assert record.cost(NOW) > 5.0
    assert record.cost(NOW + 3 * health.FADE_SECONDS) < 1.3
