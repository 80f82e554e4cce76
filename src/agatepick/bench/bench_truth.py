"""Promises held against the upstreams' own count of starts.

The stand-in upstreams count starts themselves.  Whether a task ran twice,
whether a "not run" is true and whether an answer belongs to its request is
found by comparing that count with what callers were told; nothing that the
product says of itself is believed.
"""

import collections
import collections.abc
import dataclasses

import msgspec

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_evidence
from agatepick import types

TASK_PREFIX = 't'
TRACED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Truth:
    """Broken promises; every figure has to be 0."""

    duplicate_starts: int
    starts_after_fence: int
    lost: int
    false_not_run: int
    incomplete_answers: int
    wrong_answers: int


def key_starts(
    runs: collections.abc.Iterable[bench_evidence.Run],
) -> collections.Counter[tuple[str, str]]:
    """Starts by job key and task id."""
    return collections.Counter((run.key, run.task) for run in runs)


def judge(evidence: bench_evidence.Evidence) -> Truth:
    """Hold the callers' answers against the upstreams' count of starts."""
    starts = key_starts(evidence.runs)
    plans = {job.number: job for job in evidence.load.jobs}
    judged = [
        (reply, plans[reply.job])
        for reply in evidence.replies
        if reply.answer is not None
    ]
    return Truth(
        duplicate_starts=sum(count - 1 for count in starts.values()),
        starts_after_fence=len(late_starts(evidence)),
        lost=lost_jobs(evidence.replies),
        false_not_run=sum(
            false_refusals(reply, plan, starts) for reply, plan in judged
        ),
        incomplete_answers=sum(
            is_incomplete(reply, plan) for reply, plan in judged
        ),
        wrong_answers=sum(is_wrong(reply, starts) for reply, _ in judged),
    )


def second_starts(evidence: bench_evidence.Evidence) -> str:
    """The first few tasks that were started twice, for a person to trace."""
    doubled = [
        pair for pair, count in key_starts(evidence.runs).items() if count > 1
    ]
    return '; '.join(
        f'{key}/{task}: '
        + ', '.join(
            f'worker {run.worker} at {run.start:.3f}'
            for run in evidence.runs
            if (run.key, run.task) == (key, task)
        )
        for key, task in doubled[:TRACED]
    )


def late_starts(evidence: bench_evidence.Evidence) -> list[bench_evidence.Run]:
    """Starts in a zone while its departure was in force."""
    return [
        run
        for run in evidence.runs
        for gone in evidence.departures
        if run.zone == gone.zone and gone.in_force <= run.start < gone.returned
    ]


def lost_jobs(replies: collections.abc.Iterable[bench_evidence.Reply]) -> int:
    """Jobs for which no sending ever got a final answer."""
    answered: dict[int, bool] = {}
    for reply in replies:
        final = (
            reply.answer is not None
            and reply.answer.status is not types.JobStatus.PENDING
        )
        answered[reply.job] = answered.get(reply.job, False) or final
    return sum(not done for done in answered.values())


def false_refusals(
    reply: bench_evidence.Reply,
    plan: bench_arrivals.JobPlan,
    starts: collections.abc.Mapping[tuple[str, str], int],
) -> int:
    """Tasks called "not run" that an upstream did start."""
    answer = reply.answer
    if answer is None:
        return 0
    if answer.status is types.JobStatus.NOT_RUN:
        claimed = {task_id(place) for place in range(len(plan.tasks))}
    else:
        claimed = {
            task.id
            for task in answer.tasks
            if task.outcome is types.Outcome.NOT_RUN
        }
    return sum(starts.get((reply.key, task), 0) > 0 for task in claimed)


def task_id(place: int) -> str:
    """The caller's name for a task of a job."""
    return f'{TASK_PREFIX}{place}'


def is_incomplete(
    reply: bench_evidence.Reply, plan: bench_arrivals.JobPlan
) -> bool:
    """Whether a final answer lacks tasks, or calls itself whole wrongly."""
    answer = reply.answer
    if answer is None or answer.status in (
        types.JobStatus.PENDING,
        types.JobStatus.NOT_RUN,
    ):
        return False
    wanted = [task_id(place) for place in range(len(plan.tasks))]
    if sorted(task.id for task in answer.tasks) != sorted(wanted):
        return True
    finished = all(
        task.outcome is types.Outcome.FINISHED for task in answer.tasks
    )
    complete = answer.status is types.JobStatus.COMPLETE
    return finished != complete and not reply.cancelled


def is_wrong(
    reply: bench_evidence.Reply,
    starts: collections.abc.Mapping[tuple[str, str], int],
) -> bool:
    """Whether an answer is another request's, or tells of a run never made."""
    answer = reply.answer
    if answer is None:
        return False
    if answer.key != reply.key:
        return True
    return any(
        task.outcome is types.Outcome.FINISHED
        and (
            starts.get((reply.key, task.id), 0) == 0
            or echo(reply.key, task.id) != task.body
        )
        for task in answer.tasks
    )


def echo(key: types.JobKey, task: str) -> bytes:
    """What the stand-in upstream answers for a task."""
    index = int(task.removeprefix(TASK_PREFIX))
    return msgspec.json.encode({'job': key, 'index': index})
