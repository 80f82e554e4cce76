import pytest

from agatepick.net import messages
from agatepick.repeatable import health
from agatepick.repeatable import leases
from agatepick.repeatable import orders
from agatepick.repeatable import reports
from agatepick.repeatable import runs
from agatepick.repeatable import sharing
from agatepick.repeatable import workerapi
from agatepick import types

NOW = 50.0
NEEDS = types.Needs(6.0, 64, 0)
CAPACITY = types.Needs(64.0, 4096, 0)
SPEC = messages.RunSpec('j', 0, 1, 'j.0', NEEDS, 0.2)
REF = messages.RunRef('j', 0, 1)
UNKNOWN = workerapi.StartResult.UNKNOWN


def new_orders(room=None, refused=lambda entry: None):
    """Orders of an agent that knows no worker yet."""
    return orders.Orders(
        room or sharing.Sharing(), health.Health(), reports.Reports(), refused
    )


@pytest.fixture
def given():
    """Orders to a worker at which one run was started just now."""
    room = sharing.Sharing()
    found = new_orders(room)
    found.seen(
        workerapi.WorkerSeen('w@1', 1, 1, 'p', CAPACITY, (), False, ''), NOW
    )
    room.take(NEEDS)
    owner = runs.Owner('e', 1, valid_until=NOW + 60.0)
    found.start(owner, SPEC, b'', NOW)
    return found


def of_kind(effects, kind):
    return [one for one in effects if isinstance(one, kind)]


def answered(given, result, now, life='w@1'):
    event = workerapi.StartAnswered(life, REF, result)
    return given.start_answered(event, now)


def test_a_start_without_an_answer_is_sent_again_a_few_times(given):
    """An order got lost; the worker takes one run once however often."""
    sent = 1
    for step in range(1, 60):
        effects = given.enforce(NOW + step * 0.005)
        sent += len(of_kind(effects, workerapi.StartRun))
    assert sent == orders.MAX_STARTS


def test_an_answered_start_is_not_sent_again(given):
    answered(given, workerapi.StartResult.STARTED, NOW + 0.002)
    assert given.enforce(NOW + 0.1) == []
    late = answered(given, UNKNOWN, NOW + 0.12)
    assert late == []


def test_a_refusal_after_a_lost_order_is_no_proof_that_nothing_runs(given):
    """The first order may still be carried out, after the second one.

    Were its task started elsewhere at once, it would have two runs.
    """
    given.enforce(NOW + orders.START_RETRY_SECONDS + 0.001)
    now = NOW + 0.04
    effects = answered(given, workerapi.StartResult.NO_ROOM, now)
    assert len(of_kind(effects, workerapi.StopRun)) == 1
    assert 'j.0' in given.runs
    stopped = workerapi.StopAnswered('w@1', 'j.0', 1, True)
    given.stop_answered(stopped, now + 0.01)
    given.listed(workerapi.Watched('w@1', now, (), ()), now + 0.02)
    assert 'j.0' in given.runs
    given.listed(workerapi.Watched('w@1', now + 0.02, (), ()), now + 0.03)
    assert 'j.0' not in given.runs


def test_a_first_refusal_is_final(given):
    answered(given, workerapi.StartResult.NO_ROOM, NOW + 0.002)
    assert given.runs == {}


def test_a_run_is_not_over_because_its_worker_has_another_life(given):
    """A worker crashes and is back under its name at once.

    The start was on its way and reached the new life, by whose clock its
    lease is far ahead and cut to the longest that the worker allows.
    """
    given.reborn(workerapi.WorkerReborn('w@1', 'w@2', 2), NOW + 0.01)
    assert 'j.0' in given.runs
    given.enforce(NOW + leases.WORKER_OVER_SECONDS + 0.1)
    assert 'j.0' in given.runs
    given.enforce(NOW + 0.01 + leases.LONGEST_OVER_SECONDS + 0.01)
    assert given.runs == {}


def test_a_start_that_may_reach_the_next_life_outlives_its_worker(given):
    """The worker's port is closed while a start is on its way."""
    event = workerapi.WatchFailed('w@1', refused=True)
    given.unlisted(event, NOW + 0.01)
    assert given.worker is None
    assert 'j.0' in given.runs


def test_what_was_answered_ends_with_its_worker(given):
    answered(given, workerapi.StartResult.STARTED, NOW + 0.002)
    given.unlisted(workerapi.WatchFailed('w@1', refused=True), NOW + 0.01)
    assert given.runs == {}


def announced(sequence, draining=False):
    return workerapi.WorkerSeen(
        'w@1', 1, sequence, 'p', CAPACITY, (), draining, ''
    )


def test_what_a_worker_is_is_kept_once(given):
    """Each announcement would else cost a write to the store."""
    assert not of_kind(given.seen(announced(2), NOW), workerapi.KeepWorker)


def test_a_worker_that_drains_is_not_kept(given):
    """The next life of this process would start tasks at it."""
    effects = given.seen(announced(2, draining=True), NOW)
    assert of_kind(effects, workerapi.KeepWorker) == [
        workerapi.KeepWorker(None)
    ]
    effects = given.seen(announced(3), NOW)
    (found,) = of_kind(effects, workerapi.KeepWorker)
    assert found.worker.life == 'w@1'


def test_a_worker_that_left_is_not_kept(given):
    effects = given.left(workerapi.WorkerLeft('w@1'), NOW)
    assert workerapi.KeepWorker(None) in effects


def listed(life='w@1', running=(), ended=()):
    return workerapi.Watched(life, NOW + 1.0, tuple(running), tuple(ended))


def test_nothing_starts_beside_a_run_of_an_earlier_life():
    """The agent was killed and is back before its worker's lease ran out.

    Each start extends the lease of all that runs there.  A run of the former
    life whose stop got lost would go on, while its task starts elsewhere.
    """
    found = new_orders()
    found.seen(announced(1), NOW)
    assert found.closing(NOW)
    (first,) = found.watch(NOW)
    assert (first.wait_seconds, first.lease_seconds) == (0.0, 0.0)
    old = workerapi.RunningAt('j.0', 1)
    effects = found.listed(listed(running=[old]), NOW + 0.01)
    assert effects == [workerapi.StopRun('w@1', 'j.0', 1)]
    assert found.closing(NOW + 0.01)
    (again,) = found.watch(NOW + 0.01)
    assert again.wait_seconds > 0.0
    assert again.lease_seconds == 0.0
    found.listed(listed(), NOW + 0.05)
    assert not found.closing(NOW + 0.05)
    assert found.watch(NOW + 0.05) == []


def test_a_stop_that_got_lost_is_told_again_until_the_run_is_gone():
    found = new_orders()
    found.seen(announced(1), NOW)
    old = workerapi.RunningAt('j.0', 1)
    stops = 0
    pause = 1.1 * orders.STRANGER_SECONDS
    for step in range(1, 5):
        effects = found.listed(listed(running=[old]), NOW + step * pause)
        stops += len(of_kind(effects, workerapi.StopRun))
    assert stops == 4


def test_a_start_that_the_worker_refuses_is_told_of():
    """The entry counts on no room here then, and must be told of some.

    Else it would send nothing here any more, whatever is free.
    """
    refused = []
    found = new_orders(refused=refused.append)
    found.seen(announced(1), NOW)
    owner = runs.Owner('entry', 1)
    spec = messages.RunSpec('j', 0, 1, 'j.0', types.Needs(), 0.1)
    (start,) = found.start(owner, spec, b'', NOW)
    answer = workerapi.StartAnswered(
        start.life, start.ref, workerapi.StartResult.NO_ROOM
    )
    found.start_answered(answer, NOW)
    assert refused == ['entry']
