"""What a job is expected to take: run times, objective, latest start.

Load pattern: callers' guesses are off by a factor either way, and tasks of
one job resemble one another far more than those of two jobs.  So a run's
expected time comes from the tasks of its job that have ended, if any has,
and else from what was learnt of its queue.
"""

import statistics

from agatepick.decisions import estimates
from agatepick.repeatable import jobs
from agatepick import types


class Estimator:
    """Expected run times by queue."""

    def __init__(self) -> None:
        self._run_times = estimates.RunTimes()

    def observe(self, job: jobs.Job, task: jobs.Task, seconds: float) -> None:
        """A task's run ended well after some seconds."""
        self._run_times.observe(_as_spec(job, task), seconds)

    def mean(self, job: jobs.Job, task: jobs.Task) -> float:
        """Expected seconds of one run."""
        return self._run_times.mean(_as_spec(job, task))

    def longest(self, job: jobs.Job) -> float:
        """Expected seconds of the longest chain of a job's steps."""
        by_step = [0.0] * len(job.after)
        for task in job.tasks:
            by_step[task.step] = max(by_step[task.step], self.mean(job, task))
        ends: list[float] = []
        for step, before in enumerate(job.after):
            start = max((ends[one] for one in before), default=0.0)
            ends.append(start + by_step[step])
        return max(ends, default=0.0)

    def work(self, job: jobs.Job) -> float:
        """Expected core-seconds of all tasks."""
        return sum(
            self.mean(job, task) * max(task.needs.cpu, 0.001)
            for task in job.tasks
        )

    def of_run(
        self, job: jobs.Job, task: jobs.Task, siblings: list[float]
    ) -> float:
        """Expected seconds of a run, given those of ended siblings."""
        if siblings:
            return statistics.median(siblings)
        return self.mean(job, task)


def _as_spec(job: jobs.Job, task: jobs.Task) -> types.TaskSpec:
    return types.TaskSpec(
        task.name, job.route.name, expected_seconds=task.expected_seconds
    )
