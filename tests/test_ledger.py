from agatepick.agentside import ledger
from agatepick.net import messages
from agatepick import types
from tests import agents

OWNER = ledger.Owner('e', 1)
NOW = agents.NOW
FINISHED = types.TaskState.FINISHED


def ref(job, index=0, attempt=1):
    return messages.TaskRef(job, index, attempt)


def book(**limits):
    return ledger.Ledger(600.0, 2.25, **limits)


def test_a_forgotten_task_is_never_started_nor_called_not_run():
    """A copy of a start arrives after its record has been dropped.

    Nobody can tell any more whether it ran: only "unknown" is true.
    """
    found = book()
    job = agents.key()
    found.start(agents.task(job), OWNER, NOW)
    found.end(job, 0, FINISHED, NOW + 1)
    now = NOW
    while len(found):
        assert found.known(ref(job), now).state == FINISHED
        now += 50
        found.forget(now)
    assert found.known(ref(job), now).state == types.TaskState.LOST


def test_a_task_longer_than_the_window_keeps_its_record():
    """A straggler runs for longer than keys are remembered.

    Without its record a copy of its start would run beside it.
    """
    found = book()
    job = agents.key()
    found.start(agents.task(job), OWNER, NOW)
    for step in range(30):
        found.forget(NOW + 100 * step)
    assert found.known(ref(job), NOW + 3000).state == types.TaskState.RUNNING
    assert found.end(job, 0, FINISHED, NOW + 3000).state == FINISHED
    found.forget(NOW + 4000)
    assert len(found) == 0


def test_a_flood_of_refusals_is_forgotten_neither_early_nor_without_bound():
    """Owners send far more starts than the agent can remember.

    Dropping records early could start a refused task; keeping all would
    fill the memory.  Past the bound only "unknown" is left as an answer.
    """
    found = book(max_tasks=10)
    states = [
        found.refuse(ref(agents.key(seed)), OWNER, 'no_slot', NOW).state
        for seed in range(30)
    ]
    assert states == ['refused'] * 20 + ['lost'] * 10
    assert found.full()
    assert found.known(ref(agents.key(0)), NOW).state == 'refused'
    assert found.stop(agents.key(99), OWNER, NOW) == []
    assert len(found) == 20


def test_bodies_are_kept_within_bounds_and_a_dropped_one_is_no_result():
    """Answers are large, and their owner is lost before they were told.

    A task reported as finished without its answer would make a job look
    complete that isn't.
    """
    found = book(max_body_bytes=100)
    jobs = [agents.key(seed) for seed in range(3)]
    for job in jobs:
        found.start(agents.task(job), OWNER, NOW)
        found.end(job, 0, FINISHED, NOW, b'x' * 40)
    reports = {one.job: one for one in found.started_for(OWNER)}
    assert [reports[job].state for job in jobs] == [
        'lost',
        'finished',
        'finished',
    ]
    found.forget(NOW + 1000)
    assert list(found.started_for(OWNER)) == []


def test_keys_ahead_of_the_clock_and_malformed_ones_never_start():
    found = book()
    assert found.known(ref(agents.key(at=NOW + 3)), NOW).state == 'lost'
    assert found.known(ref('x'), NOW).state == 'refused'
    assert found.known(ref(agents.key(at=NOW + 2)), NOW) is None
