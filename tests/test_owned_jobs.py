"""Record of a job, and the order in which jobs wait."""

import dataclasses

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


def test_a_wide_job_waits_behind_others_even_once_it_has_started():
    """Its thousands of tasks would keep all workers until the last one."""
    waiting = owned_jobs.WaitingQueue()
    wide = make_job('wide', NOW, tasks=owned_jobs.WIDE_TASKS)
    other = make_job('other', NOW + 5.0)
    for job in (wide, other):
        waiting.add(job)
    start_task(wide, 0, NOW)
    assert waiting.in_order() == [other, wide]


def test_the_jobs_before_a_new_one_are_found_without_a_look_at_all():
    waiting = owned_jobs.WaitingQueue()
    queued = [make_job(f'j{index}', NOW + index) for index in range(5)]
    for job in reversed(queued):
        waiting.add(job)
    key = waiting.sort_key(queued[2])
    assert waiting.list_up_to(key) == queued[:3]
    assert waiting.list_up_to((False, False, 0.0)) == []


def test_the_cores_of_unlike_tasks_are_added_up():
    job = make_job(tasks=3)
    small = dataclasses.replace(job.spec.tasks[2], needs=types.Needs(1.0))
    tasks = (*job.spec.tasks[:2], small)
    spec = dataclasses.replace(job.spec, tasks=tasks)
    unlike = owned_jobs.OwnedJob(1, spec, NOW, NOW, 0.1)
    assert (job.sum_waiting_cores(), unlike.sum_waiting_cores()) == (18.0, 0.0)
    unlike.queue_ready_tasks()
    assert unlike.sum_waiting_cores() == 13.0
