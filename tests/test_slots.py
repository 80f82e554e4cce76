import hypothesis
from hypothesis import strategies as st

from agatepick.agentside import ledger
from agatepick.agentside import slots

A, B, C = (ledger.EntryId(name, 1) for name in 'abc')


def make_slots(*owners, total=8):
    """Return an agent's slots, leased to these entries."""
    leases = slots.Slots()
    leases.resize(total)
    for owner in owners:
        leases.join(owner)
    leases.rebalance()
    return leases


def credits(leases, *owners):
    return [leases.get_credits(owner) for owner in owners]


def test_slots_without_demand_are_spread_evenly():
    assert sorted(credits(make_slots(A, B, C), A, B, C)) == [2, 3, 3]


def test_one_entry_with_all_the_demand_gets_all_slots():
    """One caller's job fills the queue of one entry; the others are idle.

    Slots leased to the others would stay unused and the job take longer.
    """
    leases = make_slots(A, B)
    leases.set_demand(A, 100)
    assert set(leases.rebalance()) == {A, B}
    assert credits(leases, A, B) == [8, 0]
    assert leases.rebalance() == []


def test_a_burst_leaves_another_entry_an_equal_share_as_tasks_end():
    """An entry needs slots while the burst of another entry uses all of them.

    If it had to wait for the end of the burst, its callers would starve.  It
    must get the first slot that is released.
    """
    leases = make_slots(A, B)
    leases.set_demand(A, 100)
    leases.rebalance()
    for _ in range(8):
        leases.acquire(A)
    leases.set_demand(B, 100)
    assert leases.rebalance() == []
    for released in range(1, 5):
        leases.release(A)
        leases.rebalance()
        assert credits(leases, A, B) == [8 - released, released]
        leases.acquire(B)
    leases.release(A)
    leases.rebalance()
    assert credits(leases, A, B) == [4, 4]


moves = st.lists(
    st.tuples(
        st.sampled_from(
            ['join', 'leave', 'take', 'release', 'want', 'resize']
        ),
        st.sampled_from([A, B, C]),
        st.integers(0, 12),
    ),
    max_size=60,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(moves)
def test_credits_never_exceed_the_slots_beyond_what_runs(drawn_moves):
    """Entries come, go and change their demand in any order.

    Credits beyond the slots would make owners send starts that are refused.
    """
    leases = make_slots()
    for move, owner, number in drawn_moves:
        if move == 'take' and leases.free > 0:
            leases.acquire(owner)
        elif move == 'release' and leases.has_running(owner):
            leases.release(owner)
        elif move == 'want':
            leases.set_demand(owner, number)
        elif move == 'resize':
            leases.resize(number)
        elif move in ('join', 'leave'):
            getattr(leases, move)(owner)
        leases.rebalance()
        total_credits = sum(credits(leases, A, B, C))
        assert total_credits <= max(leases.total, leases.running)
