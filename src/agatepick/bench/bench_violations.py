"""Check of the callers' answers against the upstreams' records of starts.

The stand-in upstreams record starts themselves.  Comparing these records with
the callers' answers shows whether a task ran twice, whether a "not run" is
true and whether an answer belongs to its request.  No figure that agatepick
reports about itself is used.
"""

import collections
import collections.abc
import dataclasses

import msgspec

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_evidence
from agatepick import types

TASK_ID_PREFIX = 't'
MAX_LISTED_TASKS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Violations:
    """Numbers of broken guarantees; each has to be 0.

    :param duplicate_starts: starts of tasks beyond the first of each.
    :param starts_after_fence: starts in a zone while its departure was in
        force.
    :param lost: jobs without a final answer.
    :param false_not_run: tasks that were started although their answer is
        "not run".
    :param incomplete_answers: final answers that lack tasks or have a wrong
        status.
    :param wrong_answers: answers of another job or with a false result.
    """

    duplicate_starts: int
    starts_after_fence: int
    lost: int
    false_not_run: int
    incomplete_answers: int
    wrong_answers: int


def count_starts(
    runs: collections.abc.Iterable[bench_evidence.Run],
) -> collections.Counter[tuple[str, str]]:
    """Count the starts by job key and task id."""
    return collections.Counter((run.key, run.task) for run in runs)


def find_violations(evidence: bench_evidence.Evidence) -> Violations:
    """Check the callers' answers against the upstreams' records."""
    starts = count_starts(evidence.runs)
    plans = {job.number: job for job in evidence.load.jobs}
    replies_with_plans = [
        (reply, plans[reply.job])
        for reply in evidence.replies
        if reply.answer is not None
    ]
    return Violations(
        duplicate_starts=sum(count - 1 for count in starts.values()),
        starts_after_fence=len(find_starts_after_fence(evidence)),
        lost=count_lost_jobs(evidence.replies),
        false_not_run=sum(
            count_false_not_run(reply, plan, starts)
            for reply, plan in replies_with_plans
        ),
        incomplete_answers=sum(
            is_incomplete_answer(reply, plan)
            for reply, plan in replies_with_plans
        ),
        wrong_answers=sum(
            is_wrong_answer(reply, starts) for reply, _ in replies_with_plans
        ),
    )


def describe_second_starts(evidence: bench_evidence.Evidence) -> str:
    """Return a text with the first few tasks started twice, and their runs.

    With the list, a reader of the report can trace these tasks.
    """
    repeated_tasks = [
        pair
        for pair, count in count_starts(evidence.runs).items()
        if count > 1
    ]
    return '; '.join(
        f'{key}/{task}: '
        + ', '.join(
            f'worker {run.worker} at {run.start:.3f}'
            for run in evidence.runs
            if (run.key, run.task) == (key, task)
        )
        for key, task in repeated_tasks[:MAX_LISTED_TASKS]
    )


def find_starts_after_fence(
    evidence: bench_evidence.Evidence,
) -> list[bench_evidence.Run]:
    """Return the starts in a zone while its departure was in force."""
    return [
        run
        for run in evidence.runs
        for departure in evidence.departures
        if run.zone == departure.zone
        and departure.in_force_at <= run.start < departure.returned_at
    ]


def count_lost_jobs(
    replies: collections.abc.Iterable[bench_evidence.Reply],
) -> int:
    """Count the jobs for which no submission got a final answer."""
    answered: dict[int, bool] = {}
    for reply in replies:
        final = (
            reply.answer is not None
            and reply.answer.status is not types.JobStatus.PENDING
        )
        answered[reply.job] = answered.get(reply.job, False) or final
    return sum(not done for done in answered.values())


def count_false_not_run(
    reply: bench_evidence.Reply,
    plan: bench_arrivals.JobPlan,
    starts: collections.abc.Mapping[tuple[str, str], int],
) -> int:
    """Count the tasks that were started although answered "not run"."""
    answer = reply.answer
    if answer is None:
        return 0
    if answer.status is types.JobStatus.NOT_RUN:
        not_run_ids = {
            make_task_id(position) for position in range(len(plan.tasks))
        }
    else:
        not_run_ids = {
            task.id
            for task in answer.tasks
            if task.outcome is types.Outcome.NOT_RUN
        }
    return sum(starts.get((reply.key, task), 0) > 0 for task in not_run_ids)


def make_task_id(position: int) -> str:
    """Return the caller's id of a task by its index in the job."""
    return f'{TASK_ID_PREFIX}{position}'


def is_incomplete_answer(
    reply: bench_evidence.Reply, plan: bench_arrivals.JobPlan
) -> bool:
    """Return whether a final answer lacks tasks or has a wrong status."""
    answer = reply.answer
    if answer is None or answer.status in (
        types.JobStatus.PENDING,
        types.JobStatus.NOT_RUN,
    ):
        return False
    expected_ids = [
        make_task_id(position) for position in range(len(plan.tasks))
    ]
    if sorted(task.id for task in answer.tasks) != sorted(expected_ids):
        return True
    finished = all(
        task.outcome is types.Outcome.FINISHED for task in answer.tasks
    )
    complete = answer.status is types.JobStatus.COMPLETE
    return finished != complete and not reply.cancelled


def is_wrong_answer(
    reply: bench_evidence.Reply,
    starts: collections.abc.Mapping[tuple[str, str], int],
) -> bool:
    """Return whether an answer is another job's or has a false result.

    A finished task's result is false if no upstream started the task, or if
    its body isn't the one that the stand-in upstream returns for the task.
    """
    answer = reply.answer
    if answer is None:
        return False
    if answer.key != reply.key:
        return True
    return any(
        task.outcome is types.Outcome.FINISHED
        and (
            starts.get((reply.key, task.id), 0) == 0
            or make_expected_body(reply.key, task.id) != task.body
        )
        for task in answer.tasks
    )


def make_expected_body(key: types.JobKey, task: str) -> bytes:
    """Return the body with which the stand-in upstream answers a task."""
    index = int(task.removeprefix(TASK_ID_PREFIX))
    return msgspec.json.encode({'job': key, 'index': index})
