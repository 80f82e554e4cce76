import hypothesis
from hypothesis import strategies as st

from agatepick.net import messages
from agatepick.owning import deaths
from agatepick.owning import ownership

NOW = 1_800_000_000.0
SKEW = 2.0
NAMES = 'abc'
MEMBERS = tuple(messages.Member(name, 1, '', 'z', NOW - 100) for name in NAMES)


def key_at(instant, seed):
    """Return a key that is stamped with an instant."""
    text = f'{int(instant * 1000):012x}'
    return f'{text[:8]}-{text[8:]}-7{seed % 4096:03x}-8000-{seed:012x}'


def owner(key, dead_entries):
    """Return the entry that owns a key, given the detected deaths."""
    members = dead_entries.exclude_dead(key, MEMBERS)
    return ownership.find_owner(key, members, SKEW)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    st.integers(0, 4095),
    st.floats(-5, 20),
    st.floats(0, 10),
    st.sets(st.sampled_from(NAMES), max_size=2),
    st.data(),
)
def test_no_two_live_entries_own_a_key_whatever_deaths_each_detected(
    seed, stamp_shift, death_shift, dead, data
):
    """Entries are killed and the others detect it at different times.

    If two of the survivors both accepted a key, its tasks would run twice.
    """
    key = key_at(NOW + stamp_shift, seed)
    owners = []
    for name in sorted(set(NAMES) - dead):
        dead_entries = deaths.DeadEntries(SKEW)
        detected = sorted(dead)
        if detected:
            detected = data.draw(st.lists(st.sampled_from(detected)))
        for dead_name in detected:
            member = MEMBERS[NAMES.index(dead_name)]
            dead_entries.record_death(member, NOW + death_shift)
        if owner(key, dead_entries).name == name:
            owners.append(name)
    assert len(owners) <= 1


def test_a_key_stamped_after_its_owner_died_has_another_owner_at_once():
    """An entry is killed while the store is down, so it stays listed.

    New jobs must not have to wait until the store is available again.
    """
    dead_entries = deaths.DeadEntries(SKEW)
    dead_entries.record_death(MEMBERS[0], NOW)
    late = NOW + SKEW + deaths.DEATH_MARGIN_SECONDS + 0.1
    owners = {
        owner(key_at(late, seed), dead_entries).name for seed in range(50)
    }
    assert owners == {'b', 'c'}
    early = {owner(key_at(NOW, seed), dead_entries).name for seed in range(50)}
    assert early == {'a', 'b', 'c'}


def test_keys_stamped_between_death_and_removal_need_no_takeover():
    """An entry died and was removed ten seconds later.

    Jobs that others accepted in between must not fail as if the dead entry
    might have started them.
    """
    dead_entries = deaths.DeadEntries(SKEW)
    dead_entries.record_death(MEMBERS[0], NOW)
    removed = messages.Member('a', 1, '', 'z', NOW - 100, NOW + 10)
    members = (removed, *MEMBERS[1:])
    seeds = [
        seed
        for seed in range(50)
        if ownership.may_have_been_started(
            key_at(NOW + 5, seed), members, SKEW
        )
    ]
    assert seeds
    for seed in seeds:
        key = key_at(NOW + 5, seed)
        suspects = dead_entries.exclude_dead(key, members)
        assert not ownership.may_have_been_started(key, suspects, SKEW)
    early = key_at(NOW - 1, seeds[0])
    assert dead_entries.exclude_dead(early, members) == members


def test_the_jobs_of_a_lost_successor_of_a_dead_entry_are_taken_over():
    """One entry is killed, another serves its new keys and is lost as well.

    The second is removed while the first is still listed.  Unless the third
    entry takes the second's jobs over, it runs their tasks a second time.
    """
    dead_entries = deaths.DeadEntries(SKEW)
    dead_entries.record_death(MEMBERS[0], NOW)
    removed = messages.Member('b', 1, '', 'z', NOW - 100, NOW + 20)
    members = (MEMBERS[0], removed, MEMBERS[2])
    served_by_b = [
        key
        for key in (key_at(NOW + 10, seed) for seed in range(50))
        if owner(key, dead_entries).name == 'b'
    ]
    assert served_by_b
    for key in served_by_b:
        suspects = dead_entries.exclude_dead(key, members)
        assert ownership.find_owner(key, suspects, SKEW).name == 'c'
        assert ownership.may_have_been_started(key, suspects, SKEW)
