"""A job's own record, and the order in which jobs wait."""

import pytest

from agatepick.repeatable import jobs
from agatepick.repeatable import owned
from agatepick.repeatable import routes
from agatepick import types

NOW = 50.0
ROUTE = routes.Route('q', 'host', '/q/', 'p', stretch=1.6, target_seconds=0.06)
NEEDS = types.Needs(6.0, 64, 0)


def a_job(key='j', latest=NOW + 0.2, tasks=2):
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
    job = owned.OwnedJob(1, spec, NOW, latest, 0.1)
    job.release()
    return job


def started(job, index, at, run=1):
    """One task of a job was sent to a worker."""
    job.waiting.remove(index)
    job.begin(at)
    record = job.records[index]
    record.state = owned.TaskState.PLACED
    record.run = run
    record.placed_at = at


def test_a_job_that_has_begun_goes_before_more_urgent_ones():
    """More jobs wait than find room, and a wide one has some of its places.

    Were it passed by each that is a bit more urgent, its caller would wait
    for its last task, and what its first ones took would be lost.
    """
    waiting = owned.Waiting()
    urgent, begun, other = (
        a_job('urgent', NOW + 0.1),
        a_job('begun', NOW + 0.3),
        a_job('other', NOW + 0.2),
    )
    for job in (urgent, begun, other):
        waiting.add(job)
    assert waiting.in_order() == [urgent, other, begun]
    started(begun, 0, NOW)
    assert waiting.in_order() == [begun, urgent, other]


def test_a_job_leaves_the_order_with_its_last_waiting_task():
    waiting = owned.Waiting()
    job = a_job(tasks=1)
    waiting.add(job)
    started(job, 0, NOW)
    assert waiting.in_order() == []
    job.wait_again(0)
    waiting.add(job)
    assert waiting.in_order() == [job]


@pytest.mark.parametrize(
    ('last', 'seconds', 'late'),
    [
        (0.10, 0.1, False),
        (0.13, 0.1, True),
        # Its run took longer, and so may its objective.
        (0.13, 0.2, False),
    ],
)
def test_whether_waiting_made_a_job_late_is_told_by_its_run_times(
    last, seconds, late
):
    """The slack is 0.6 times the run time that the job turned out to have."""
    job = a_job()
    started(job, 0, NOW)
    started(job, 1, NOW + last)
    for index in range(2):
        job.end(index, seconds)
    assert job.began_late() is late


def test_a_job_with_a_lost_run_tells_nothing_of_waiting():
    """A worker failed, which is no reason to refuse other callers."""
    job = a_job()
    started(job, 0, NOW)
    started(job, 1, NOW + 5.0, run=2)
    for index in range(2):
        job.end(index, 0.1)
    assert not job.began_late()
