import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from agatepick.decisions import backoff

DELAYS = backoff.BackoffDelays(first_seconds=0.02, max_seconds=0.5)


def test_delays_double_up_to_the_longest():
    peer = backoff.Backoff(DELAYS)
    delays = [peer.record_failure() for _ in range(7)]
    assert delays == pytest.approx([0.02, 0.04, 0.08, 0.16, 0.32, 0.5, 0.5])


def test_a_success_makes_the_next_failure_the_first():
    peer = backoff.Backoff(DELAYS)
    for _ in range(5):
        peer.record_failure()
    peer.reset()
    assert peer.record_failure() == pytest.approx(0.02)


def test_clients_that_failed_together_retry_at_different_instants():
    """Hundreds of processes fail to reach a store at one instant.

    Without jitter all of them would call it again at one instant.
    """
    delays = {
        backoff.Backoff(DELAYS, random.Random(seed)).record_failure()
        for seed in range(50)
    }
    assert len(delays) == 50


@given(st.lists(st.booleans(), max_size=200), st.integers())
def test_every_delay_is_within_its_bounds(outcomes, seed):
    peer = backoff.Backoff(DELAYS, random.Random(seed))
    for ok in outcomes:
        if ok:
            peer.reset()
            continue
        delay = peer.record_failure()
        assert (
            backoff.MIN_JITTER_FACTOR * DELAYS.first_seconds
            <= delay
            <= DELAYS.max_seconds
        )


@given(st.integers(min_value=1, max_value=10_000))
def test_many_failures_are_counted_without_overflow(failures):
    assert DELAYS.get_delay(failures) <= DELAYS.max_seconds
