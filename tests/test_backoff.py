import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from agatepick.decisions import backoff

PAUSES = backoff.Pauses(first=0.02, most=0.5)


def test_pauses_double_up_to_the_longest():
    peer = backoff.Backoff(PAUSES)
    pauses = [peer.failed() for _ in range(7)]
    assert pauses == pytest.approx([0.02, 0.04, 0.08, 0.16, 0.32, 0.5, 0.5])


def test_a_success_makes_the_next_failure_the_first():
    peer = backoff.Backoff(PAUSES)
    for _ in range(5):
        peer.failed()
    peer.succeeded()
    assert peer.failed() == pytest.approx(0.02)


def test_clients_that_failed_together_retry_at_different_instants():
    """A store returns, and hundreds of processes call it at one instant."""
    pauses = {
        backoff.Backoff(PAUSES, random.Random(seed)).failed()
        for seed in range(50)
    }
    assert len(pauses) == 50


@given(st.lists(st.booleans(), max_size=200), st.integers())
def test_every_pause_is_within_its_bounds(outcomes, seed):
    peer = backoff.Backoff(PAUSES, random.Random(seed))
    for ok in outcomes:
        if ok:
            peer.succeeded()
            continue
        pause = peer.failed()
        assert backoff.MIN_JITTER_FACTOR * PAUSES.first <= pause <= PAUSES.most


@given(st.integers(min_value=1, max_value=10_000))
def test_many_failures_are_counted_without_overflow(failures):
    assert PAUSES.after(failures) <= PAUSES.most
