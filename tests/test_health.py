from agatepick.repeatable import health

NOW = 10.0


def test_a_sound_worker_costs_about_one():
    record = health.Health()
    for _ in range(20):
        record.ended(True, 1.1, NOW)
    assert 1.0 < record.cost(NOW) < 1.15


def test_a_worker_that_fails_costs_more_within_a_few_runs():
    """A worker fails each task at once and would get all work by it."""
    record = health.Health()
    for _ in range(5):
        record.ended(False, 0.0, NOW)
    assert record.cost(NOW) > 2.0


def test_a_worker_that_stands_still_is_noticed_before_any_end():
    """Tasks on a worker stand still: nothing ends that could be counted."""
    record = health.Health()
    for _ in range(10):
        record.overdue(health.OVERDUE_RATIO, NOW)
    assert record.cost(NOW) > 2.0


def test_one_wrong_guess_does_not_take_a_sound_worker_out():
    record = health.Health()
    record.overdue(5.0, NOW)
    assert record.cost(NOW) < 1.8


def test_the_record_fades_so_that_a_worker_is_tried_again():
    record = health.Health()
    for _ in range(30):
        record.ended(True, 6.0, NOW)
    assert record.cost(NOW) > 5.0
    assert record.cost(NOW + 3 * health.FADE_SECONDS) < 1.3
