"""Grouping of a job's tasks by class, and the estimate of their run times."""

import dataclasses
import typing

from agatepick.decisions import admission
from agatepick.decisions import estimates
from agatepick.decisions import placement
from agatepick import types

Classify = typing.Callable[
    [types.JobSpec, types.TaskSpec], placement.Requirement
]

MAX_LAST_TASKS = 8
"""Number of a job's tasks that may be the last to end; tasks that start
earlier don't delay the job's end."""


@dataclasses.dataclass(frozen=True, slots=True)
class SizedJob:
    """A job with its tasks grouped by class and its estimate.

    :param groups: indices of its tasks by class.  The class with the longest
        expected run time comes first, and in each class the task with the
        longest one.
    """

    job: types.JobSpec
    groups: dict[placement.Requirement, list[int]]
    estimate: admission.JobEstimate


_Group = list[tuple[float, int]]
"""Tasks as (negative expected seconds, index), which sorts longest first."""


def estimate_job(
    job: types.JobSpec,
    classify: Classify,
    run_times: estimates.RunTimes,
    confidence: float,
) -> SizedJob:
    """Group a job's tasks by class and estimate their run times.

    :param classify: returns the class of a task.
    :param confidence: probability, 0 to 1, that no task of the job takes
        longer than ``longest_seconds`` of the returned estimate.
    """
    groups, work = _group_tasks(job, classify, run_times)
    for group in groups.values():
        group.sort()
    order = sorted(groups, key=lambda requirement: groups[requirement][0])
    share = confidence ** (1.0 / min(len(job.tasks) or 1, MAX_LAST_TASKS))
    first_tasks = [job.tasks[group[0][1]] for group in groups.values()]
    medians = [run_times.quantile(task, 0.5) for task in first_tasks]
    longest = [run_times.quantile(task, share) for task in first_tasks]
    estimate = admission.JobEstimate(
        len(job.tasks),
        work,
        max(medians, default=0.0),
        max(longest, default=0.0),
    )
    return SizedJob(
        job,
        {
            requirement: [index for _, index in groups[requirement]]
            for requirement in order
        },
        estimate,
    )


def _group_tasks(
    job: types.JobSpec, classify: Classify, run_times: estimates.RunTimes
) -> tuple[dict[placement.Requirement, _Group], float]:
    groups: dict[placement.Requirement, _Group] = {}
    work = 0.0
    previous: types.TaskSpec | None = None
    group: _Group = []
    mean = 0.0
    for index, task in enumerate(job.tasks):
        if previous is None or not _is_equivalent(task, previous):
            group = groups.setdefault(classify(job, task), [])
            mean = run_times.mean(task)
            previous = task
        group.append((-mean, index))
        work += mean
    return groups, work


def _is_equivalent(task: types.TaskSpec, other: types.TaskSpec) -> bool:
    return (
        task.kind == other.kind
        and task.expected_seconds == other.expected_seconds
        and task.needs == other.needs
    )
