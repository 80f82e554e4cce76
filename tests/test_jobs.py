from agatepick.owning import jobs
from agatepick import types

NOW = 1_800_000_000.0
WINDOW_SECONDS = 600.0


def spec(key, count=1):
    """Return the specification of a job with ``count`` tasks."""
    tasks = tuple(types.TaskSpec(f't{i}', 'k') for i in range(count))
    return types.JobSpec(key, 'team', tasks, NOW + 60)


def add_ended_job(all_jobs, key, at):
    """Add a job that ends at the instant of its arrival."""
    job = all_jobs.add(spec(key), at)
    job.end_task(0, types.Outcome.FINISHED)
    return all_jobs.end_if_complete(job, at)


def refused_answer(key):
    return types.JobAnswer(key, types.JobStatus.NOT_RUN)


def test_only_a_job_whose_tasks_all_finished_is_complete():
    all_jobs = jobs.Jobs(WINDOW_SECONDS)
    outcomes = types.Outcome
    for outcome, status in (
        (outcomes.FINISHED, types.JobStatus.COMPLETE),
        (outcomes.FAILED, types.JobStatus.FAILED),
        (outcomes.UNKNOWN, types.JobStatus.FAILED),
        (outcomes.NOT_RUN, types.JobStatus.FAILED),
    ):
        job = all_jobs.add(spec(outcome, 2), NOW)
        job.end_task(0, outcomes.FINISHED)
        assert all_jobs.end_if_complete(job, NOW) is None
        job.end_task(1, outcome)
        settled = all_jobs.end_if_complete(job, NOW)
        assert settled.answer.status is status
        assert [answer.outcome for answer in settled.answer.tasks] == [
            outcomes.FINISHED,
            outcome,
        ]


def test_an_answer_once_given_never_changes():
    """A result arrives after its job ended at its deadline.

    A caller that requests the job again must get the first answer.
    """
    all_jobs = jobs.Jobs(WINDOW_SECONDS)
    job = all_jobs.add(spec('j', 2), NOW)
    job.end_task(0, types.Outcome.UNKNOWN)
    job.end_task(0, types.Outcome.FINISHED)
    job.end_task(1, types.Outcome.NOT_RUN)
    first = all_jobs.end_if_complete(job, NOW).answer
    job.end_task(0, types.Outcome.FINISHED)
    assert all_jobs.end_if_complete(job, NOW + 1) is None
    assert all_jobs.get('j').answer is first
    assert first.status is types.JobStatus.FAILED
    assert all_jobs.list_running() == []


def test_ended_jobs_are_deleted_after_the_window_and_not_before():
    all_jobs = jobs.Jobs(WINDOW_SECONDS)
    all_jobs.refuse(refused_answer('a'), NOW)
    add_ended_job(all_jobs, 'b', NOW + 1)
    all_jobs.refuse(refused_answer('a'), NOW + 2)
    running = all_jobs.add(spec('c'), NOW)
    all_jobs.delete_expired(NOW + WINDOW_SECONDS + 1)
    assert all_jobs.get('b') is None
    assert all_jobs.get_refusal('a') is not None
    all_jobs.delete_expired(NOW + WINDOW_SECONDS + 2)
    assert all_jobs.get_refusal('a') is None
    assert all_jobs.list_running() == [running]
