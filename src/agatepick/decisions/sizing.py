"""A job's tasks by class, and what they are expected to take."""

import dataclasses
import typing

from agatepick.decisions import admission
from agatepick.decisions import estimates
from agatepick.decisions import placement
from agatepick import types

Classify = typing.Callable[
    [types.JobSpec, types.TaskSpec], placement.Requirement
]

LAST_TASKS = 8
"""Tasks that may be the last to end: those before have time to spare."""


@dataclasses.dataclass(frozen=True, slots=True)
class SizedJob:
    """A job ready to be queued.

    :param groups: indices of its tasks by class; the class and the tasks
        that are expected to take longest come first.
    """

    job: types.JobSpec
    groups: dict[placement.Requirement, list[int]]
    demand: admission.Demand


_Group = list[tuple[float, int]]
"""Tasks as (expected seconds below zero, index): sorts longest first."""


def size(
    job: types.JobSpec,
    classify: Classify,
    run_times: estimates.RunTimes,
    confidence: float,
) -> SizedJob:
    """Sort a job's tasks into classes and add up their expected times.

    :param confidence: probability that no task of the job takes longer than
        its demand's longest.
    """
    groups, work = _grouped(job, classify, run_times)
    for group in groups.values():
        group.sort()
    order = sorted(groups, key=lambda one: groups[one][0])
    share = confidence ** (1.0 / min(len(job.tasks) or 1, LAST_TASKS))
    firsts = [job.tasks[group[0][1]] for group in groups.values()]
    typical = [run_times.quantile(task, 0.5) for task in firsts]
    longest = [run_times.quantile(task, share) for task in firsts]
    demand = admission.Demand(
        len(job.tasks),
        work,
        max(typical, default=0.0),
        max(longest, default=0.0),
    )
    return SizedJob(
        job,
        {one: [index for _, index in groups[one]] for one in order},
        demand,
    )


def _grouped(
    job: types.JobSpec, classify: Classify, run_times: estimates.RunTimes
) -> tuple[dict[placement.Requirement, _Group], float]:
    groups: dict[placement.Requirement, _Group] = {}
    work = 0.0
    last: types.TaskSpec | None = None
    group: _Group = []
    mean = 0.0
    for index, task in enumerate(job.tasks):
        if last is None or not _alike(task, last):
            group = groups.setdefault(classify(job, task), [])
            mean = run_times.mean(task)
            last = task
        group.append((-mean, index))
        work += mean
    return groups, work


def _alike(one: types.TaskSpec, other: types.TaskSpec) -> bool:
    return (
        one.kind == other.kind
        and one.expected_seconds == other.expected_seconds
        and one.needs == other.needs
    )
