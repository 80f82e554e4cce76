import hypothesis
from hypothesis import strategies as st

from agatepick.agentside import ledger
from agatepick.agentside import slots

A, B, C = (ledger.Owner(name, 1) for name in 'abc')


def leased(*owners, total=8):
    found = slots.Slots()
    found.resize(total)
    for owner in owners:
        found.join(owner)
    found.rebalance()
    return found


def credits(found, *owners):
    return [found.credits(owner) for owner in owners]


def test_slots_without_demand_are_spread_evenly():
    assert sorted(credits(leased(A, B, C), A, B, C)) == [2, 3, 3]


def test_one_entry_with_all_the_demand_gets_all_slots():
    """One caller's job fills the queue of one entry; the others are idle.

    Slots leased to the others would stay unused and the job take longer.
    """
    found = leased(A, B)
    found.set_demand(A, 100)
    assert set(found.rebalance()) == {A, B}
    assert credits(found, A, B) == [8, 0]
    assert found.rebalance() == []


def test_a_burst_leaves_another_entry_an_equal_share_as_tasks_end():
    """An entry needs slots while the burst of another entry uses all of them.

    If it had to wait for the end of the burst, its callers would starve.  It
    must get the first slot that is released.
    """
    found = leased(A, B)
    found.set_demand(A, 100)
    found.rebalance()
    for _ in range(8):
        found.acquire(A)
    found.set_demand(B, 100)
    assert found.rebalance() == []
    for given in range(1, 5):
        found.release(A)
        found.rebalance()
        assert credits(found, A, B) == [8 - given, given]
        found.acquire(B)
    found.release(A)
    found.rebalance()
    assert credits(found, A, B) == [4, 4]


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
def test_credits_never_exceed_the_slots_beyond_what_runs(drawn):
    """Entries come, go and change their demand in any order.

    Credits beyond the slots would make owners send starts that are refused.
    """
    found = leased()
    for move, owner, number in drawn:
        if move == 'take' and found.free > 0:
            found.acquire(owner)
        elif move == 'release' and found.has_running(owner):
            found.release(owner)
        elif move == 'want':
            found.set_demand(owner, number)
        elif move == 'resize':
            found.resize(number)
        elif move in ('join', 'leave'):
            getattr(found, move)(owner)
        found.rebalance()
        given = sum(credits(found, A, B, C))
        assert given <= max(found.total, found.running)
