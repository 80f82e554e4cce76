from agatepick.net import messages
from agatepick.repeatable import sharing
from agatepick import types

TASK = types.Needs(6.0, 64, 0)
NOW = 100.0


def make_capacity(cores=64.0):
    """Return the empty capacity of a worker that two entries share."""
    capacity = sharing.SharedCapacity()
    capacity.resize(types.Needs(cores, 4096, 0))
    for name in ('near', 'far'):
        capacity.add_entry(name)
    return capacity


def make_want(slack, count=1):
    """Return the want of an entry with some waiting tasks.

    :param slack: seconds until the latest start of the most urgent one.
    """
    total = types.Needs(6.0 * count, 64 * count, 0)
    return messages.Want(count, TASK, slack, total)


def acquire_all(capacity):
    """Acquire capacity for runs until no further run fits."""
    while capacity.acquire(TASK):
        pass


def test_capacity_is_acquired_as_long_as_a_run_fits():
    capacity = make_capacity()
    acquire_all(capacity)
    assert capacity.free == types.Needs(4.0, 4096 - 640, 0)
    capacity.release(TASK)
    assert capacity.acquire(TASK)


def test_released_capacity_is_granted_to_the_most_urgent_entry():
    """Two entries wait for capacity at peak load, one in the worker's zone.

    If released capacity were open to both, the near one would always be first,
    and callers of the other zone would starve.
    """
    capacity = make_capacity()
    acquire_all(capacity)
    capacity.record_want('near', make_want(0.5), NOW)
    capacity.record_want('far', make_want(0.1), NOW)
    capacity.release(TASK)
    (grant,) = capacity.issue_grants(NOW)
    assert grant.entry == 'far'
    assert not TASK.fits(capacity.free)
    assert not capacity.acquire(TASK)


def test_a_grant_is_limited_to_the_requested_capacity():
    """Two entries wait at an empty worker, with two tasks and with one.

    If all its capacity were reserved for the first of them, the other would
    wait for the answer beside an idle worker; with slow answers, permanently.
    """
    capacity = make_capacity()
    capacity.record_want('near', make_want(0.5, count=2), NOW)
    capacity.record_want('far', make_want(0.1), NOW)
    first, second = capacity.issue_grants(NOW)
    assert (first.entry, first.capacity.cpu) == ('far', 6.0)
    assert (second.entry, second.capacity.cpu) == ('near', 12.0)
    assert capacity.free.cpu == 46.0


def test_the_unused_part_of_a_grant_goes_to_the_next_entry():
    capacity = make_capacity(cores=8.0)
    capacity.record_want('near', make_want(0.5), NOW)
    capacity.record_want('far', make_want(0.1), NOW)
    (first,) = capacity.issue_grants(NOW)
    capacity.end_grant('far', first.number)
    (second,) = capacity.issue_grants(NOW)
    assert (second.entry, second.capacity.cpu) == ('near', 6.0)


def test_an_unanswered_grant_expires():
    """An entry freezes just after capacity was granted to it.

    Its grant must not keep a worker idle until the entry is back.
    """
    capacity = make_capacity()
    capacity.record_want('far', make_want(0.1), NOW)
    assert capacity.issue_grants(NOW)
    assert capacity.next_expiry() == NOW + sharing.GRANT_SECONDS
    capacity.record_want('near', make_want(0.5), NOW)
    (grant,) = capacity.issue_grants(NOW + sharing.GRANT_SECONDS)
    assert grant.entry == 'near'


def test_the_duration_of_a_grant_follows_the_round_trip():
    """An entry's link is saturated, and its answers take a fifth of a second.

    If its grants had expired by then, each of its starts would be refused and
    sent again, which would keep the link saturated.
    """
    capacity = make_capacity()
    capacity.update_grant_time('far', 0.15)
    capacity.record_want('far', make_want(0.1), NOW)
    assert capacity.issue_grants(NOW)
    assert capacity.next_expiry() == NOW + 0.15 * sharing.GRANT_ROUND_TRIPS
    capacity.update_grant_time('far', 5.0)
    assert capacity.next_expiry() == NOW + sharing.MAX_GRANT_SECONDS


def test_a_want_that_is_not_repeated_expires():
    capacity = make_capacity()
    capacity.record_want('far', make_want(0.1), NOW)
    assert capacity.issue_grants(NOW + sharing.WANT_TTL_SECONDS) == []


def test_an_entry_that_left_holds_no_capacity():
    capacity = make_capacity()
    capacity.record_want('far', make_want(0.1), NOW)
    capacity.issue_grants(NOW)
    capacity.remove_entry('far')
    assert capacity.free.cpu == 64.0


def test_no_grant_is_smaller_than_the_smallest_task():
    capacity = make_capacity(cores=5.0)
    capacity.record_want('far', make_want(0.1), NOW)
    assert capacity.issue_grants(NOW) == []


def make_guarded(cores=64.0, entries=('near', 'far')):
    """Return the empty capacity of a worker that may shrink."""
    capacity = sharing.SharedCapacity(guarded=True)
    capacity.resize(types.Needs(cores, 4096, 0))
    for name in entries:
        capacity.add_entry(name)
    return capacity


def test_nothing_is_acquired_beyond_a_capacity_that_shrank():
    """A worker shrinks below its runs; what is being stopped still counts."""
    capacity = make_guarded()
    acquire_all(capacity)
    capacity.resize(types.Needs(15.0, 4096, 0))
    assert capacity.excess.cpu == 45.0
    for _ in range(8):
        assert not capacity.acquire(TASK)
        capacity.release(TASK)
    assert capacity.used.cpu == 12.0
    assert capacity.excess == types.Needs()
    assert not capacity.acquire(TASK)
    capacity.release(TASK)
    assert capacity.acquire(TASK)


def test_a_shrink_withdraws_the_least_urgent_grants():
    """Capacity is granted to two entries, and half of it is gone.

    If both grants stayed, each entry's starts would be refused for the sake of
    the other's, and the most urgent task would wait beside free capacity.
    """
    capacity = make_guarded(cores=13.0)
    capacity.record_want('near', make_want(0.5), NOW)
    capacity.record_want('far', make_want(0.1), NOW)
    far, near = capacity.issue_grants(NOW)
    assert (far.entry, near.entry) == ('far', 'near')
    capacity.resize(types.Needs(7.0, 4096, 0))
    capacity.end_grant('near', near.number)
    assert not capacity.acquire(TASK)
    capacity.end_grant('far', far.number)
    assert capacity.acquire(TASK)


def test_grants_stay_as_they_are_without_the_guard():
    capacity = make_capacity(cores=13.0)
    for name in ('near', 'far'):
        capacity.record_want(name, make_want(0.1), NOW)
    capacity.issue_grants(NOW)
    capacity.resize(types.Needs(7.0, 4096, 0))
    assert capacity.next_expiry() == NOW + sharing.GRANT_SECONDS
    capacity.record_refusal(TASK, NOW)
    assert capacity.free.cpu == 0.0
    capacity.end_grant('far', 1)
    capacity.end_grant('near', 2)
    assert capacity.free.cpu == 7.0
    capacity.acquire(TASK)
    capacity.resize(types.Needs(1.0, 4096, 0))
    assert not capacity.blocks_retries


def test_a_refusal_by_the_worker_shows_that_it_has_shrunk():
    """A worker refuses a start that should fit, and says so a second later.

    Otherwise the starts of every entry would be refused there in turn.
    """
    capacity = make_guarded()
    for _ in range(3):
        assert capacity.acquire(TASK)
    capacity.record_refusal(TASK, NOW)
    capacity.release(TASK)
    assert capacity.free.cpu == 0.0
    capacity.release(TASK)
    assert capacity.free.cpu == 6.0
    capacity.resize(types.Needs(64.0, 4096, 0))
    assert capacity.free.cpu == 58.0


def test_a_rounding_error_is_no_excess():
    capacity = make_guarded(cores=0.6)
    for _ in range(6):
        capacity.acquire(types.Needs(0.1, 1, 0))
    capacity.resize(types.Needs(capacity.used.cpu - 1e-12, 4096, 0))
    assert capacity.excess == types.Needs()


def test_a_refusal_by_the_worker_counts_for_a_moment_only():
    """The worker has grown again, and its next announcement is a beat away."""
    capacity = make_guarded()
    assert capacity.acquire(TASK)
    capacity.record_refusal(TASK, NOW)
    capacity.release(TASK)
    assert capacity.issue_grants(NOW + 0.1) == []
    assert capacity.free.cpu == 0.0
    over_at = capacity.next_expiry()
    assert over_at == NOW + sharing.REFUSAL_SECONDS
    capacity.issue_grants(over_at)
    assert capacity.free.cpu == 64.0
    assert capacity.next_expiry() is None
