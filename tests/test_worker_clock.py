"""The estimate of a worker's clock, by which its leases are bounded."""

import pytest

from agatepick.repeatable import leases
from agatepick.repeatable import worker_clock

NOW = 100.0
READING = 5.0
DAY_SECONDS = 86_400.0
RATE = 1.0 - worker_clock.MAX_SLOWNESS


@pytest.fixture
def clock():
    """Return a clock that is known by one list."""
    clock = worker_clock.WorkerClock()
    clock.add_list(READING, NOW - 0.002, NOW)
    return clock


def test_a_new_incarnation_s_clock_replaces_the_former_one_s():
    """Its clock counts from its own start; leases would be far too long."""
    clock = worker_clock.WorkerClock()
    clock.add_list(900.0, NOW, NOW)
    clock.reset()
    assert not clock.known
    clock.add_list(0.02, NOW, NOW)
    assert clock.convert(NOW + 0.75, NOW) == pytest.approx(0.77)


def test_a_late_answer_does_not_set_the_clock_back(clock):
    """Leases by it alone would be too short, and runs would be ended."""
    clock.add(READING + 0.2, NOW + 0.5)
    # A slow clock may have fallen behind by 2% of the half second.
    reading = clock.convert(NOW + 1.25, NOW + 0.5)
    assert reading == pytest.approx(READING + 0.49 + 0.75)


def test_a_late_list_does_not_set_the_clock_back(clock):
    clock.add_list(READING + 0.2, NOW + 0.2, NOW + 0.5)
    reading = clock.convert(NOW + 1.25, NOW + 0.5)
    assert reading == pytest.approx(READING + 0.49 + 0.75)


def test_the_highest_of_old_samples_is_not_ahead_of_a_slow_clock():
    """A worker that was idle or silent sent the last sample seconds ago."""
    clock = worker_clock.WorkerClock()
    for step in range(3):
        now = NOW + step * 0.5
        clock.add_list(now * RATE, now, now)
    now = NOW + 3.0
    assert clock.convert(now + 0.65, now) - now * RATE <= 0.65 + 1e-9


@pytest.mark.parametrize('age', [1.0, 1.5, 3.0, 6.0])
def test_a_lease_by_an_old_sample_is_not_too_long_for_a_slow_clock(age):
    """The worker's runs would outlast the agent's count of their lease."""
    clock = worker_clock.WorkerClock()
    clock.add_list(NOW * RATE, NOW, NOW)
    now = NOW + age
    until = clock.convert(now + leases.WORKER_LEASE_SECONDS, now)
    over_at = now + leases.WORKER_EXPIRY_SECONDS
    assert until / RATE + leases.STOP_SECONDS <= over_at


@pytest.mark.parametrize('ahead', [0.01, 0.4, 1.0, 2.4, 3 * DAY_SECONDS])
def test_a_clock_that_is_ahead_of_the_worker_s_lists_is_ignored(clock, ahead):
    """Leases by another clock would be longer than the agent counts."""
    clock.add(READING + 0.1 + ahead, NOW + 0.1)
    reading = clock.convert(NOW + 0.1, NOW + 0.1)
    assert READING + 0.09 < reading <= READING + 0.1


@pytest.mark.parametrize('behind', [0.4, 5.0, 3 * DAY_SECONDS])
def test_a_clock_that_is_behind_does_not_shorten_leases(clock, behind):
    """The worker would refuse each start as too late."""
    for step in range(1, 30):
        now = NOW + step * 0.4
        clock.add(READING + step * 0.4 - behind, now)
        clock.add(READING + step * 0.4, now)
    assert clock.convert(now, now) == pytest.approx(READING + 29 * 0.4)


def test_no_clock_is_known_before_the_worker_s_first_list():
    """An announcement alone may be anybody's."""
    clock = worker_clock.WorkerClock()
    clock.add(READING, NOW)
    assert not clock.known
    assert clock.convert(NOW + 0.65, NOW) == 0.0


@pytest.mark.parametrize('seconds', [0.05, 0.7, 3.5])
def test_a_clock_that_stood_still_is_not_taken_to_be_ahead(clock, seconds):
    """A VM is suspended with its worker; older samples are too high then."""
    clock.add(READING + 0.1, NOW + 0.1)
    woke_at = NOW + 0.1 + seconds
    clock.add_list(READING + 0.102, woke_at, woke_at + 0.002)
    reading = clock.convert(woke_at + 0.002, woke_at + 0.002)
    assert reading <= READING + 0.103


def test_a_distrusted_clock_is_known_again_by_a_list_alone(clock):
    clock.distrust()
    clock.add(READING + 0.1, NOW + 0.1)
    assert not clock.known
    clock.add_list(READING + 0.1, NOW + 0.1, NOW + 0.1)
    assert clock.known


@pytest.mark.parametrize('seconds', [0.0, 0.5, 3.0])
def test_an_announcement_is_dated_by_the_worker_s_clock(clock, seconds):
    """One that was delayed describes the worker as it was before."""
    sent_at = NOW + 1.0
    date = clock.date(READING + 1.0, sent_at + seconds)
    assert sent_at <= date <= sent_at + 0.1
    assert date <= sent_at + seconds


def test_an_answer_without_a_clock_changes_nothing(clock):
    """A missing reading isn't the reading of a clock that has just begun."""
    known = clock.convert(NOW, NOW)
    clock.add(0.0, READING)
    assert clock.convert(NOW, NOW) == known
