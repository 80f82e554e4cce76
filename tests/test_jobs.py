from agatepick.owning import jobs
from agatepick import types

NOW = 1_800_000_000.0
WINDOW = 600.0


def spec(key, count=1):
    tasks = tuple(types.TaskSpec(f't{i}', 'k') for i in range(count))
    return types.JobSpec(key, 'team', tasks, NOW + 60)


def ended(made, key, at):
    job = made.add(spec(key), at)
    job.end_task(0, types.Outcome.FINISHED)
    return made.settle(job, at)


def refused(key):
    return types.JobAnswer(key, types.JobStatus.NOT_RUN)


def test_only_a_job_whose_tasks_all_finished_is_complete():
    made = jobs.Jobs(WINDOW)
    outcomes = types.Outcome
    for one, status in (
        (outcomes.FINISHED, types.JobStatus.COMPLETE),
        (outcomes.FAILED, types.JobStatus.FAILED),
        (outcomes.UNKNOWN, types.JobStatus.FAILED),
        (outcomes.NOT_RUN, types.JobStatus.FAILED),
    ):
        job = made.add(spec(one, 2), NOW)
        job.end_task(0, outcomes.FINISHED)
        assert made.settle(job, NOW) is None
        job.end_task(1, one)
        settled = made.settle(job, NOW)
        assert settled.answer.status is status
        assert [answer.outcome for answer in settled.answer.tasks] == [
            outcomes.FINISHED,
            one,
        ]


def test_an_answer_once_given_never_changes():
    """A result comes in after its job was given up at its deadline.

    A caller who asks again must not be told another story than the first.
    """
    made = jobs.Jobs(WINDOW)
    job = made.add(spec('j', 2), NOW)
    job.end_task(0, types.Outcome.UNKNOWN)
    job.end_task(0, types.Outcome.FINISHED)
    job.end_task(1, types.Outcome.NOT_RUN)
    first = made.settle(job, NOW).answer
    job.end_task(0, types.Outcome.FINISHED)
    assert made.settle(job, NOW + 1) is None
    assert made.get('j').answer is first
    assert first.status is types.JobStatus.FAILED
    assert made.running() == []


def test_what_ended_is_forgotten_after_the_window_and_not_before():
    made = jobs.Jobs(WINDOW)
    made.refuse(refused('a'), NOW)
    ended(made, 'b', NOW + 1)
    made.refuse(refused('a'), NOW + 2)
    running = made.add(spec('c'), NOW)
    made.forget(NOW + WINDOW + 1)
    assert made.get('b') is None
    assert made.refusal('a') is not None
    made.forget(NOW + WINDOW + 2)
    assert made.refusal('a') is None
    assert made.running() == [running]
