"""Whether a slow run should be moved: its worker's fault or its own length."""

import dataclasses

import pytest

from agatepick.repeatable import moves
from agatepick.repeatable import run_ratios

EXPECTED_SECONDS = 0.4


@pytest.fixture
def plain():
    """Return the distribution of a queue whose runs vary by 15%."""
    ratios = run_ratios.RunRatios.from_exponent(run_ratios.SIBLING_EXPONENT)
    for number in range(400):
        ratios.add(0.85 + 0.3 * (number % 10) / 9)
    return ratios


@pytest.fixture
def tailed():
    """Return one with three runs in a hundred that take seven times long."""
    ratios = run_ratios.RunRatios.from_exponent(run_ratios.SIBLING_EXPONENT)
    for number in range(400):
        factor = 7.0 if number % 33 == 0 else 1.0
        ratios.add(factor * (0.85 + 0.3 * (number % 10) / 9))
    return ratios


def make_run(ratios, ratio, **fields):
    return moves.SlowRun(
        ratio * EXPECTED_SECONDS, EXPECTED_SECONDS, 3.0, ratios, **fields
    )


def make_other(ratios, ratio, overlap, ended=False):
    """Return another run, by ratios to the same expected time."""
    return moves.OtherRun(
        ratio * EXPECTED_SECONDS,
        overlap * EXPECTED_SECONDS,
        EXPECTED_SECONDS,
        ended,
        ratios,
    )


def test_without_a_tail_a_run_far_over_its_time_is_moved(plain):
    """A worker turned slow, and the entry has a single run there.

    Its caller would wait for a worker of which nothing else is known.
    """
    assert moves.weigh(make_run(plain, 2.3)).moves


def test_with_a_tail_a_single_slow_run_is_left(tailed):
    """A task is long wherever it runs.

    A move would restart its work, and its caller get it later still.
    """
    choice = moves.weigh(make_run(tailed, 3.0))
    assert choice.reason is moves.Reason.OWN_TAIL
    assert choice.here_seconds < choice.there_seconds


def test_with_a_tail_a_run_beside_overdue_ones_is_moved(tailed):
    """A worker hangs with several runs, in a queue with a tail.

    Their callers would wait until it recovers.
    """
    others = (make_other(tailed, 2.6, 1.8), make_other(tailed, 3.1, 2.0))
    choice = moves.weigh(make_run(tailed, 3.0, others=others))
    assert choice.moves
    assert choice.proven


def test_a_run_beside_others_that_end_in_time_is_left(tailed):
    """One run is long while the others at its worker are not.

    Even a high cost of the worker, which the long run has raised, doesn't
    make it the cause.
    """
    others = tuple(
        make_other(tailed, 1.0, overlap, ended=True) for overlap in (0.9, 1.0)
    )
    cost = moves.WorkerCost(1.6, 1.0, 0.2)
    choice = moves.weigh(make_run(tailed, 4.0, others=others, cost=cost))
    assert choice.reason is moves.Reason.OWN_TAIL


def test_a_run_past_the_longest_of_its_kind_is_moved(tailed):
    """A worker hangs with a single run, which no long task explains."""
    assert moves.weigh(make_run(tailed, 11.0)).moves


def test_a_run_that_is_nearly_done_is_left(plain):
    """A worker is at fault, but its run needs little more time there."""
    cost = moves.WorkerCost(4.0, 1.0, 0.1)
    choice = moves.weigh(make_run(plain, 4.9, cost=cost))
    assert choice.probability > 0.9
    assert choice.reason is moves.Reason.NO_GAIN


def test_a_slower_worker_is_given_its_usual_time(plain):
    """A worker always takes twice as long as the typical one."""
    assert not moves.weigh(make_run(plain, 2.0, slowness=1.82)).moves


def test_a_task_is_not_moved_twice_without_proof(plain):
    """A task reached the same multiple of its time at two workers.

    It is long by itself, and each more move would restart it.
    """
    once_moved = make_run(plain, 3.0, moved=True, moved_without_proof=True)
    assert moves.weigh(once_moved).reason is moves.Reason.SECOND
    unproven = make_run(plain, 3.0, moved=True)
    assert moves.weigh(unproven).reason is moves.Reason.SECOND
    others = (make_other(plain, 3.0, 2.0),) * 2
    proven = make_run(plain, 3.0, moved=True, others=others)
    assert moves.weigh(proven).moves


@pytest.fixture
def choice(plain):
    return moves.weigh(make_run(plain, 4.0))


def test_moves_without_gain_use_up_the_budget(choice):
    """A customer's tasks are long for a reason that nothing here shows.

    Without a bound each of them would be run again, at the cost of others.
    """
    budget = moves.Budget()
    moved = 0
    while budget.allows(choice):
        budget.charge(choice.waste)
        budget.record_loss(choice.waste, choice.work)
        moved += 1
    assert moved == int(moves.BUDGET_CORE_SECONDS / choice.work)
    budget.record_work(choice.work / moves.WORK_SHARE)
    assert budget.allows(choice)


def test_moves_that_gain_cost_nothing(choice):
    """A worker hangs with hundreds of runs, which are all moved."""
    budget = moves.Budget()
    for _ in range(100):
        assert budget.allows(choice)
        budget.charge(choice.waste)
        budget.record_gain(choice.waste, choice.work)
    assert budget.trust > 1.0


def test_all_runs_of_a_proven_worker_may_move(choice):
    """A worker hangs with more work than the budget, all moved at once.

    Were each move charged its whole work, most callers would wait until the
    worker recovers.
    """
    budget = moves.Budget()
    proven = dataclasses.replace(choice, proven=True, waste=0.01)
    for _ in range(100):
        assert budget.allows(proven)
        budget.charge(proven.waste)


def test_a_move_that_came_too_late_is_refunded():
    """The run ends while its stop is on the way."""
    budget = moves.Budget()
    budget.charge(3.0)
    budget.refund(3.0)
    assert budget.core_seconds == moves.BUDGET_CORE_SECONDS


def test_the_budget_never_exceeds_its_bound():
    """A calm day would otherwise save up for a day's moves in a row."""
    budget = moves.Budget()
    budget.record_work(1e6)
    budget.record_gain(0.0, 1e6)
    assert budget.core_seconds == moves.BUDGET_CORE_SECONDS


def test_trust_follows_the_last_moves():
    """Workers were at fault in the morning, and are sound since."""
    budget = moves.Budget()
    for _ in range(200):
        budget.record_gain(0.0, 0.0)
    assert budget.trust == moves.MAX_TRUST
    for _ in range(40):
        budget.record_loss(0.0, 0.0)
    assert budget.trust < 1.0
