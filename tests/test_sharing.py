from agatepick.net import messages
from agatepick.repeatable import sharing
from agatepick import types

TASK = types.Needs(6.0, 64, 0)
NOW = 100.0


def make_capacity(cores=64.0):
    room = sharing.SharedCapacity()
    room.resize(types.Needs(cores, 4096, 0))
    for name in ('near', 'far'):
        room.add_entry(name)
    return room


def make_want(slack, count=1):
    total = types.Needs(6.0 * count, 64 * count, 0)
    return messages.Want(count, TASK, slack, total)


def acquire_all(room):
    while room.acquire(TASK):
        pass


def test_capacity_is_acquired_as_long_as_a_run_fits():
    room = make_capacity()
    acquire_all(room)
    assert room.free == types.Needs(4.0, 4096 - 640, 0)
    room.release(TASK)
    assert room.acquire(TASK)


def test_released_capacity_is_granted_to_the_most_urgent_entry():
    """Two entries wait for capacity at peak load, one in the worker's zone.

    If released capacity were open to both, the near one would always be first,
    and callers of the other zone would starve.
    """
    room = make_capacity()
    acquire_all(room)
    room.record_want('near', make_want(0.5), NOW)
    room.record_want('far', make_want(0.1), NOW)
    room.release(TASK)
    (grant,) = room.issue_grants(NOW)
    assert grant.entry == 'far'
    assert not TASK.fits(room.free)
    assert not room.acquire(TASK)


def test_a_grant_is_limited_to_the_requested_capacity():
    """Two entries wait at an empty worker, with two tasks and with one.

    If all its capacity were reserved for the first of them, the other would
    wait for the answer beside an idle worker; with slow answers, permanently.
    """
    room = make_capacity()
    room.record_want('near', make_want(0.5, count=2), NOW)
    room.record_want('far', make_want(0.1), NOW)
    first, second = room.issue_grants(NOW)
    assert (first.entry, first.room.cpu) == ('far', 6.0)
    assert (second.entry, second.room.cpu) == ('near', 12.0)
    assert room.free.cpu == 46.0


def test_the_unused_part_of_a_grant_goes_to_the_next_entry():
    room = make_capacity(cores=8.0)
    room.record_want('near', make_want(0.5), NOW)
    room.record_want('far', make_want(0.1), NOW)
    (first,) = room.issue_grants(NOW)
    room.end_grant('far', first.number)
    (second,) = room.issue_grants(NOW)
    assert (second.entry, second.room.cpu) == ('near', 6.0)


def test_an_unanswered_grant_expires():
    """An entry freezes just after capacity was granted to it.

    Its grant must not keep a worker idle until the entry is back.
    """
    room = make_capacity()
    room.record_want('far', make_want(0.1), NOW)
    assert room.issue_grants(NOW)
    assert room.next_expiry() == NOW + sharing.GRANT_SECONDS
    room.record_want('near', make_want(0.5), NOW)
    (grant,) = room.issue_grants(NOW + sharing.GRANT_SECONDS)
    assert grant.entry == 'near'


def test_the_duration_of_a_grant_follows_the_round_trip():
    """An entry's link is saturated, and its answers take a fifth of a second.

    If its grants had expired by then, each of its starts would be refused and
    sent again, which would keep the link saturated.
    """
    room = make_capacity()
    room.set_round_trip('far', 0.15)
    room.record_want('far', make_want(0.1), NOW)
    assert room.issue_grants(NOW)
    assert room.next_expiry() == NOW + 0.15 * sharing.GRANT_ROUND_TRIPS
    room.set_round_trip('far', 5.0)
    assert room.next_expiry() == NOW + sharing.MAX_GRANT_SECONDS


def test_a_want_that_is_not_repeated_expires():
    room = make_capacity()
    room.record_want('far', make_want(0.1), NOW)
    assert room.issue_grants(NOW + sharing.WANT_TTL_SECONDS) == []


def test_an_entry_that_left_holds_no_capacity():
    room = make_capacity()
    room.record_want('far', make_want(0.1), NOW)
    room.issue_grants(NOW)
    room.remove_entry('far')
    assert room.free.cpu == 64.0


def test_no_grant_is_smaller_than_the_smallest_task():
    room = make_capacity(cores=5.0)
    room.record_want('far', make_want(0.1), NOW)
    assert room.issue_grants(NOW) == []
