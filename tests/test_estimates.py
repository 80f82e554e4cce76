import random

import pytest

from agatepick.decisions import estimates
from agatepick import types


def _task(kind='k', declared=0.0):
    return types.TaskSpec('1', kind, expected_seconds=declared)


def test_observed_run_times_replace_a_wrong_declaration():
    """A caller declares ten times the real run time.

    If the declaration were used, admission would refuse the caller's jobs
    although slots are free.
    """
    rng = random.Random(4)
    run_times = estimates.RunTimes()
    assert run_times.quantile(_task(declared=5.0), 0.9) == 5.0
    for _ in range(100):
        run_times.observe(_task(declared=rng.choice((0.05, 5.0))), 0.5)
    assert 0.5 <= run_times.quantile(_task(declared=5.0), 0.9) <= 0.6
    assert run_times.mean(_task(declared=5.0)) < 0.7


def test_quantiles_are_within_a_bucket_of_the_true_value():
    rng = random.Random(3)
    run_times = estimates.RunTimes()
    observed = sorted(rng.lognormvariate(-1.2, 0.8) for _ in range(500))
    for seconds in rng.sample(observed, len(observed)):
        run_times.observe(_task(), seconds)
    for share in (0.5, 0.9, 0.99):
        true = observed[int(share * len(observed)) - 1]
        assert true <= run_times.quantile(_task(), share) <= true * 1.2


def test_new_run_times_of_an_upstream_outweigh_old_ones():
    """An upstream becomes ten times slower.

    If old run times kept their weight, admission would promise deadlines that
    can't be met.
    """
    run_times = estimates.RunTimes()
    for _ in range(5000):
        run_times.observe(_task(), 0.1)
    for _ in range(estimates.HALVING_OBSERVATIONS):
        run_times.observe(_task(), 1.0)
    assert run_times.quantile(_task(), 0.5) >= 1.0


def test_the_number_of_kinds_is_bounded():
    """Callers choose the names of kinds and could fill the memory."""
    run_times = estimates.RunTimes()
    for i in range(2 * estimates.MAX_KINDS):
        run_times.observe(_task(f'kind{i}'), 0.1)
    assert len(run_times.medians()) == estimates.MAX_KINDS


def test_consistent_declarations_are_used():
    """The tasks of a kind differ widely, and callers declare by how much.

    Estimated by kind alone, a long task would count as a short one, and its
    job would be admitted with a deadline that it can't meet.
    """
    rng = random.Random(5)
    run_times = estimates.RunTimes()
    for _ in range(200):
        declared = rng.choice((0.05, 0.3, 4.0))
        seconds = 2.0 * declared * rng.uniform(0.9, 1.1)
        run_times.observe(_task(declared=declared), seconds)
    assert 7.2 <= run_times.quantile(_task(declared=4.0), 0.9) <= 10.5
    assert 0.08 <= run_times.mean(_task(declared=0.05)) <= 0.12


def test_the_observations_above_a_value_are_counted():
    histogram = estimates.Histogram()
    for value in (1.0, 1.0, 1.0, 8.0):
        histogram.add(value)
    assert histogram.above(4.0).weight == 1.0
    assert histogram.above(4.0).total == pytest.approx(8.0, rel=0.1)
    assert histogram.above(0.1).weight == 4.0
    assert histogram.above(2.0 * estimates.MAX_OBSERVED_VALUE).weight == 0.0


def test_a_discarded_value_counts_no_more():
    histogram = estimates.Histogram()
    for value in (1.0, 8.0):
        histogram.add(value)
    histogram.discard(8.0)
    assert histogram.above(4.0).weight == 0.0
    assert histogram.weight == 1.0
    histogram.discard(8.0)
    assert histogram.weight == 1.0
