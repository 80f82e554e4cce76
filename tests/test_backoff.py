import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from agatepick.decisions import backoff

PAUSES = backoff.Pauses(first=0.02, most=0.5)


def test_pauses_double_up_to_the_longest():
    found = backoff.Backoff(PAUSES)
    pauses = [found.failed() for _ in range(7)]
    assert pauses == pytest.approx([0.02, 0.04, 0.08, 0.16, 0.32, 0.5, 0.5])


def test_a_success_makes_the_next_failure_the_first():
    found = backoff.Backoff(PAUSES)
    for _ in range(5):
        found.failed()
    found.succeeded()
    assert found.failed() == pytest.approx(0.02)


def test_peers_that_failed_together_do_not_all_come_back_together():
    """A store is back, and hundreds of processes ask in the same instant."""
    found = {
        backoff.Backoff(PAUSES, random.Random(seed)).failed()
        for seed in range(50)
    }
    assert len(found) == 50


@given(st.lists(st.booleans(), max_size=200), st.integers())
def test_every_pause_is_within_its_bounds(outcomes, seed):
    found = backoff.Backoff(PAUSES, random.Random(seed))
    for ok in outcomes:
        if ok:
            found.succeeded()
            continue
        pause = found.failed()
        assert backoff.LEAST_PART * PAUSES.first <= pause <= PAUSES.most


@given(st.integers(min_value=1, max_value=10_000))
def test_many_failures_are_counted_without_overflow(failures):
    assert PAUSES.after(failures) <= PAUSES.most
