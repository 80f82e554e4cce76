"""Distribution of a queue's run times, as ratios to their expected times."""

import pytest

from agatepick.repeatable import run_ratios


@pytest.fixture
def all_ratios():
    return run_ratios.AllRatios()


def test_without_runs_long_ones_are_rare(all_ratios):
    """An entry has just started, and one of its first runs is slow.

    If it knew nothing, it would take the run for a usual one and wait.
    """
    ratios = all_ratios.get('q').by_siblings
    assert ratios.survival(1.0) == 1.0
    assert 0.05 < ratios.survival(2.2) < 0.15
    assert ratios.survival(4.4) < 0.02
    assert ratios.mean_above(2.0) == pytest.approx(3.0)


def test_the_tail_of_a_queue_is_learnt(all_ratios):
    for number in range(300):
        all_ratios.add('q', True, 7.0 if number % 33 == 0 else 1.0)
    ratios = all_ratios.get('q').by_siblings
    assert 0.02 < ratios.survival(3.0) < 0.04
    assert 0.02 < ratios.survival(6.0) < 0.04
    assert ratios.survival(10.0) < 0.003
    assert 6.0 < ratios.mean_above(3.0) < 8.0


def test_a_new_queue_takes_the_tail_of_the_others(all_ratios):
    """A customer's second queue has its first jobs, with the same long tasks.

    Each of these would be moved until the queue had shown its own.
    """
    for number in range(300):
        all_ratios.add('q', True, 7.0 if number % 33 == 0 else 1.0)
    assert 0.02 < all_ratios.get('new').by_siblings.survival(4.0) < 0.04
    for _ in range(300):
        all_ratios.add('new', True, 1.0)
    assert all_ratios.get('new').by_siblings.survival(4.0) < 0.002


def test_a_discarded_ratio_leaves_no_trace(all_ratios):
    before = all_ratios.get('q').by_estimate.survival(3.0)
    all_ratios.add('q', False, 5.0)
    assert all_ratios.get('q').by_estimate.survival(3.0) > before
    all_ratios.discard('q', False, 5.0)
    after = all_ratios.get('q').by_estimate.survival(3.0)
    assert after == pytest.approx(before)


def test_the_number_of_queues_is_bounded(all_ratios):
    for number in range(2 * run_ratios.MAX_QUEUES):
        all_ratios.get(f'q-{number}')
    assert len(all_ratios._queues) == run_ratios.MAX_QUEUES
