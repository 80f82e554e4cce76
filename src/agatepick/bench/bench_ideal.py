"""The ideal scheduler that every run is compared with.

It has one central queue in order of arrival, no latency, no messages and exact
knowledge of free slots.  It runs the same jobs with the same run times on the
same slots.  A job's response time ends with its last task.
"""

import collections.abc
import dataclasses
import heapq

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_plan


@dataclasses.dataclass(frozen=True, slots=True)
class Closure:
    """An interval during which no task may start in a zone."""

    zone: str
    since: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ideal:
    """Schedule of the central queue.

    :param responses: response time in seconds, by job number.
    :param runs: start and end of each task, seconds from the run's start.
    """

    responses: dict[int, float]
    runs: tuple[tuple[float, float], ...]


def simulate(
    jobs: collections.abc.Iterable[bench_arrivals.JobPlan],
    deployment: bench_plan.Deployment,
    closures: collections.abc.Sequence[Closure] = (),
) -> Ideal:
    """Simulate the central queue for the given jobs."""
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
    return Ideal(responses, tuple(runs))


def take_slot(
    free: list[tuple[float, int, int]],
    at: float,
    deployment: bench_plan.Deployment,
    closures: collections.abc.Sequence[Closure],
) -> tuple[float, int, int]:
    """Take the slot in which a task can start first.

    :param at: arrival of the task.
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
    """Return the slot-seconds that runs spent inside a window."""
    return sum(
        max(0.0, min(stop, until) - max(start, since)) for start, stop in runs
    )
