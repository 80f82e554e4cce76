from agatepick.agentside import ledger
from agatepick.net import messages
from agatepick import types
from tests import agents

OWNER = ledger.EntryId('e', 1)
NOW = agents.NOW
FINISHED = types.TaskState.FINISHED


def ref(job, index=0, attempt=1):
    return messages.TaskRef(job, index, attempt)


def make_ledger(**limits):
    return ledger.Ledger(600.0, 2.25, **limits)


def test_a_task_without_a_record_is_neither_started_nor_reported_as_not_run():
    """A copy of a start arrives after its record has been deleted.

    The task may have run, so the only correct outcome is "unknown".
    """
    task_ledger = make_ledger()
    job = agents.key()
    task_ledger.start(agents.task(job), OWNER, NOW)
    task_ledger.end(job, 0, FINISHED, NOW + 1)
    now = NOW
    while len(task_ledger):
        assert task_ledger.find_report(ref(job), now).state == FINISHED
        now += 50
        task_ledger.delete_expired(now)
    assert task_ledger.find_report(ref(job), now).state == types.TaskState.LOST


def test_a_task_longer_than_the_window_keeps_its_record():
    """A task runs for longer than records are kept.

    Without its record, a copy of its start would run the task again.
    """
    task_ledger = make_ledger()
    job = agents.key()
    task_ledger.start(agents.task(job), OWNER, NOW)
    for step in range(30):
        task_ledger.delete_expired(NOW + 100 * step)
    assert (
        task_ledger.find_report(ref(job), NOW + 3000).state
        == types.TaskState.RUNNING
    )
    assert task_ledger.end(job, 0, FINISHED, NOW + 3000).state == FINISHED
    task_ledger.delete_expired(NOW + 4000)
    assert len(task_ledger) == 0


def test_many_refusals_are_stored_for_the_window_up_to_a_limit():
    """Owners send far more starts than the agent can store records for.

    If records were deleted early, a refused task could start; if all were
    kept, memory would run out.  Past the limit the outcome is "unknown".
    """
    task_ledger = make_ledger(max_tasks=10)
    states = [
        task_ledger.refuse(ref(agents.key(seed)), OWNER, 'no_slot', NOW).state
        for seed in range(30)
    ]
    assert states == ['refused'] * 20 + ['lost'] * 10
    assert task_ledger.is_full()
    assert task_ledger.find_report(ref(agents.key(0)), NOW).state == 'refused'
    assert task_ledger.stop(agents.key(99), OWNER, NOW) == []
    assert len(task_ledger) == 20


def test_bodies_are_stored_up_to_a_limit_and_a_dropped_one_is_no_result():
    """Answers are large, and the owner is lost before it received them.

    If a task were reported as finished without its answer, an incomplete job
    would count as complete.
    """
    task_ledger = make_ledger(max_body_bytes=100)
    jobs = [agents.key(seed) for seed in range(3)]
    for job in jobs:
        task_ledger.start(agents.task(job), OWNER, NOW)
        task_ledger.end(job, 0, FINISHED, NOW, b'x' * 40)
    reports = {one.job: one for one in task_ledger.iter_started(OWNER)}
    assert [reports[job].state for job in jobs] == [
        'lost',
        'finished',
        'finished',
    ]
    task_ledger.delete_expired(NOW + 1000)
    assert list(task_ledger.iter_started(OWNER)) == []


def test_keys_ahead_of_the_clock_and_malformed_ones_never_start():
    task_ledger = make_ledger()
    assert (
        task_ledger.find_report(ref(agents.key(at=NOW + 3)), NOW).state
        == 'lost'
    )
    assert task_ledger.find_report(ref('x'), NOW).state == 'refused'
    assert task_ledger.find_report(ref(agents.key(at=NOW + 2)), NOW) is None
