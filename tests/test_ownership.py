import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from agatepick import exceptions
from agatepick.net import messages
from agatepick.owning import ownership

NOW = 1_800_000_000.0


def key_at(instant, seed=0):
    text = f'{int(instant * 1000):012x}'
    return f'{text[:8]}-{text[8:]}-7{seed % 4096:03x}-8000-{seed:012x}'


def member(name, listed_at, removed_at=0.0):
    return messages.Member(name, 1, '', 'z', listed_at, removed_at)


def test_a_key_contains_its_time_stamp_and_is_refused_out_of_the_window():
    assert ownership.get_timestamp(key_at(NOW)) == NOW
    faults = ownership.KeyFault
    for shift, fault in (
        (0, None),
        (-600, None),
        (-600.1, faults.EXPIRED),
        (2, None),
        (2.1, faults.AHEAD),
    ):
        assert ownership.check_key(key_at(NOW + shift), NOW) is fault


@pytest.mark.parametrize('change', [str.upper, lambda key: key[:-1] + '\n'])
def test_another_spelling_of_a_key_is_refused(change):
    """A caller writes the same UUID in capitals when it submits again.

    If that counted as another key, it would hash to another owner and its
    tasks would run a second time.
    """
    key = change(key_at(NOW, 0xABC))
    assert ownership.check_key(key, NOW) is ownership.KeyFault.MALFORMED
    with pytest.raises(exceptions.BadKey):
        ownership.get_timestamp(key)


def test_keys_spread_evenly_and_have_no_owner_without_entries():
    members = tuple(member(name, NOW - 60) for name in 'abc')
    owners = [
        ownership.find_owner(key_at(NOW, seed), members).name
        for seed in range(3000)
    ]
    assert all(900 < owners.count(name) < 1100 for name in 'abc')
    assert ownership.find_owner(key_at(NOW), ()) is None


def test_a_planned_stop_leaves_no_new_key_suspect():
    """An operator replaces entries one by one while callers submit jobs.

    A stopped entry has accepted none of the new keys that pass to the next
    owner.  If one counted as suspect, that is as possibly started, its job
    would fail after every planned stop.
    """
    lost = member('a', NOW - 60, NOW)
    stopped = dataclasses.replace(lost, stopped_at=NOW - 3)
    keys = [key_at(NOW, seed) for seed in range(50)]
    for removed, suspects in ((lost, True), (stopped, False)):
        members = (removed, member('b', NOW - 60))
        results = [
            ownership.may_have_been_started(key, members) for key in keys
        ]
        assert any(results) is suspects
    before = [key_at(NOW - 2, seed) for seed in range(50)]
    members = (stopped, member('b', NOW - 60))
    assert any(ownership.may_have_been_started(key, members) for key in before)


times = st.floats(0, 20).map(lambda shift: NOW + round(shift, 1))
members_drawn = st.lists(
    st.tuples(times, st.none() | times), min_size=1, max_size=5
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
@hypothesis.given(
    members_drawn, times, st.floats(-2, 20), st.integers(0, 4095)
)
def test_a_key_changes_owner_only_by_removal_which_marks_it_maybe_started(
    times_of_members, first_submitted_at, stamp_delay, seed
):
    """Entries come and go while a caller submits a key again and again.

    If the key got another owner, without a record of the first one's starts,
    its tasks would run twice.
    """
    members = [
        member(str(index), listed, removed and max(removed, listed + 0.1))
        for index, (listed, removed) in enumerate(times_of_members)
    ]
    key = key_at(first_submitted_at + stamp_delay, seed)
    first_owner = None
    for step in range(0, 230, 3):
        now = NOW + step / 10
        if ownership.check_key(key, now):
            continue
        current = tuple(
            entry
            if entry.removed_at and entry.removed_at <= now
            else dataclasses.replace(entry, removed_at=0.0)
            for entry in members
            if entry.listed_at <= now
        )
        owner = ownership.find_owner(key, current)
        if owner is None:
            continue
        if first_owner is not None and owner.name != first_owner:
            assert ownership.may_have_been_started(key, current)
        first_owner = first_owner or owner.name
