"""Simulation of the ideal scheduler that every bench run is compared with.

The scheduler has one central queue in order of arrival, no latency, no
messages and exact knowledge of free slots.  It runs the same jobs with the
same run times on the same slots.  A job's response time ends with its last
task.
"""

import collections.abc
import dataclasses
import heapq

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_plan


@dataclasses.dataclass(frozen=True, slots=True)
class Closure:
    """An interval during which no task may start in a zone.

    :param since: seconds from the run's start; ``until`` likewise.
    """

    zone: str
    since: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class IdealSchedule:
    """Schedule that the ideal scheduler made of one load.

    :param response_seconds: response time, by job number.
    :param runs: start and end of each task, seconds from the run's start.
    """

    response_seconds: dict[int, float]
    runs: tuple[tuple[float, float], ...]


def simulate(
    jobs: collections.abc.Iterable[bench_arrivals.JobPlan],
    deployment: bench_plan.Deployment,
    closures: collections.abc.Sequence[Closure] = (),
) -> IdealSchedule:
    """Return the ideal scheduler's schedule for the given jobs."""
    free = [
        (0.0, worker, slot)
        for worker in range(deployment.workers)
        for slot in range(deployment.slots)
    ]
    heapq.heapify(free)
    responses: dict[int, float] = {}
    runs: list[tuple[float, float]] = []
    for job in sorted(jobs, key=lambda job_plan: job_plan.at):
        end = job.at
        for task in job.tasks:
            start, worker, slot = take_slot(free, job.at, deployment, closures)
            stop = start + task.seconds
            heapq.heappush(free, (stop, worker, slot))
            runs.append((start, stop))
            end = max(end, stop)
        responses[job.number] = end - job.at
    return IdealSchedule(responses, tuple(runs))


def take_slot(
    free: list[tuple[float, int, int]],
    at: float,
    deployment: bench_plan.Deployment,
    closures: collections.abc.Sequence[Closure],
) -> tuple[float, int, int]:
    """Remove and return the slot in which a task can start earliest.

    :param free: heap of slots, each as the instant from which it is free,
        worker number and slot number; a slot of a closed zone is put back with
        the instant at which the zone reopens.
    :param at: arrival of the task, in seconds from the run's start.
    :returns: start of the task, worker number and slot number.
    """
    while True:
        since, worker, slot = heapq.heappop(free)
        start = max(since, at)
        zone = deployment.zone_of(worker)
        reopens_at = max(
            (
                closure.until
                for closure in closures
                if closure.zone == zone
                and closure.since <= start < closure.until
            ),
            default=start,
        )
        if reopens_at == start:
            return start, worker, slot
        heapq.heappush(free, (reopens_at, worker, slot))


def compute_work_between(
    runs: collections.abc.Iterable[tuple[float, float]],
    since: float,
    until: float,
) -> float:
    """Return the slot-seconds that runs took between two instants.

    :param runs: start and end of each run.
    """
    return sum(
        max(0.0, min(stop, until) - max(start, since)) for start, stop in runs
    )
