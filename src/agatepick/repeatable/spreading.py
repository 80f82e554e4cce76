"""Limit on the tasks of a step that run on one worker at a time.

Load pattern: callers want the tasks of a step on different workers, so that
one that is lost or slow holds up few of them.  Without the limit the emptiest
worker would get most tasks of a step.

An entry owns its jobs alone, so its own records show all runs of a step.  A
run counts until it is certainly over, also while it is being stopped.
"""

import collections

from agatepick.repeatable import owned_jobs
from agatepick import types

NO_AGENTS: frozenset[types.PeerName] = frozenset()


class Spread:
    """Runs of one job by step and agent, in one placement round.

    :ivar limited: whether any step of the job has a limit.
    """

    def __init__(self, job: owned_jobs.OwnedJob) -> None:
        self._job = job
        self._limits = job.spec.worker_limits
        self.limited = bool(self._limits)
        self._counts: dict[int, collections.Counter[types.PeerName]] = {}
        if not self._limits:
            return
        for index in job.placed_indexes():
            self.add(index, job.records[index].agent)

    def add(self, index: int, agent: types.PeerName) -> None:
        """Count a run of a task at an agent."""
        if self._limits:
            step = self._job.spec.tasks[index].step
            self._counts.setdefault(step, collections.Counter())[agent] += 1

    def full_agents(self, index: int) -> frozenset[types.PeerName]:
        """Return the agents that may get no more tasks of a task's step."""
        if not self._limits:
            return NO_AGENTS
        step = self._job.spec.tasks[index].step
        limit = self._limits[step]
        counts = self._counts.get(step)
        if not limit or not counts:
            return NO_AGENTS
        return frozenset(
            agent for agent, count in counts.items() if count >= limit
        )


def compute_waiting_cores(
    job: owned_jobs.OwnedJob, worker_count: int
) -> float:
    """Return the cores for which a job's tasks wait.

    Tasks beyond the limit of their step wait for a run of their own step, and
    keep no other job waiting.

    :param worker_count: number of workers that may run them.
    """
    tasks = job.spec.tasks
    if not job.spec.worker_limits:
        return job.sum_waiting_cores()
    placed = collections.Counter(
        tasks[index].step for index in job.placed_indexes()
    )
    cores = 0.0
    for index in job.waiting:
        step = tasks[index].step
        limit = job.spec.worker_limits[step]
        if limit and placed[step] >= limit * worker_count:
            continue
        placed[step] += 1
        cores += tasks[index].needs.cpu
    return cores
