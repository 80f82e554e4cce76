"""Record of a job, and the order in which jobs wait."""

import pytest

from agatepick.repeatable import jobs
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import routes
from agatepick import types

NOW = 50.0
ROUTE = routes.Route('q', 'host', '/q/', 'p', stretch=1.6, target_seconds=0.06)
NEEDS = types.Needs(6.0, 64, 0)


def make_job(key='j', latest=NOW + 0.2, tasks=2):
    spec = jobs.Job(
        key=key,
        route=ROUTE,
        payload=b'',
        tasks=tuple(
            jobs.Task(f'{key}.{index}', 0, NEEDS, 0.1)
            for index in range(tasks)
        ),
        after=(frozenset(),),
        deadline=NOW + 10.0,
    )
    job = owned_jobs.OwnedJob(1, spec, NOW, latest, 0.1)
    job.queue_ready_tasks()
    return job


def start_task(job, index, at, run=1):
    """Record that one task of a job was sent to a worker."""
    job.waiting.remove(index)
    job.mark_started(at)
    record = job.records[index]
    record.state = owned_jobs.TaskState.PLACED
    record.run = run
    record.placed_at = at


def test_a_started_job_precedes_more_urgent_ones():
    """More jobs wait than fit, and a wide one has started some of its tasks.

    If each job that is slightly more urgent overtook it, its caller would wait
    for its last task, and the work of its first ones would be wasted.
    """
    waiting = owned_jobs.WaitingQueue()
    urgent, wide, other = (
        make_job('urgent', NOW + 0.1),
        make_job('begun', NOW + 0.3),
        make_job('other', NOW + 0.2),
    )
    for job in (urgent, wide, other):
        waiting.add(job)
    assert waiting.in_order() == [urgent, other, wide]
    start_task(wide, 0, NOW)
    assert waiting.in_order() == [wide, urgent, other]


def test_a_job_leaves_the_queue_with_its_last_waiting_task():
    waiting = owned_jobs.WaitingQueue()
    job = make_job(tasks=1)
    waiting.add(job)
    start_task(job, 0, NOW)
    assert waiting.in_order() == []
    job.requeue(0)
    waiting.add(job)
    assert waiting.in_order() == [job]


@pytest.mark.parametrize(
    ('last', 'seconds', 'late'),
    [
        (0.10, 0.1, False),
        (0.13, 0.1, True),
        # The run took longer, so the objective is later.
        (0.13, 0.2, False),
    ],
)
def test_a_late_start_is_determined_by_actual_run_times(last, seconds, late):
    """The slack is 0.6 times the job's actual run time, plus 0.06 s."""
    job = make_job()
    start_task(job, 0, NOW)
    start_task(job, 1, NOW + last)
    for index in range(2):
        job.mark_finished(index, seconds)
    assert job.started_late() is late


def test_a_job_with_a_lost_run_does_not_count_as_a_late_start():
    """A worker failed, which is no reason to refuse other callers."""
    job = make_job()
    start_task(job, 0, NOW)
    start_task(job, 1, NOW + 5.0, run=2)
    for index in range(2):
        job.mark_finished(index, 0.1)
    assert not job.started_late()
