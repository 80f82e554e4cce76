"""Estimates of run times per task and job.

Load pattern: callers' estimates are too long or too short by some factor, and
the tasks of one job resemble one another far more than those of two jobs.  The
estimate for a run is therefore the median run time of the finished tasks of
the same step of its job, if there are any, and otherwise the learnt run time
of its queue.
"""

import statistics

from agatepick.decisions import estimates
from agatepick.repeatable import jobs
from agatepick.repeatable import owned_jobs
from agatepick import types

MIN_EXPECTED_SECONDS = 0.02
"""Lower bound of expected run times; message delays hide shorter ones."""


class Estimator:
    """Run time estimates by queue."""

    def __init__(self) -> None:
        self._run_times = estimates.RunTimes()

    def observe(self, job: jobs.Job, task: jobs.Task, seconds: float) -> None:
        """Record the run time of a task that finished successfully."""
        self._run_times.observe(_as_spec(job, task), seconds)

    def estimate_task(self, job: jobs.Job, task: jobs.Task) -> float:
        """Return the expected run time of one task in seconds."""
        return self._run_times.mean(_as_spec(job, task))

    def estimate_longest_chain(self, job: jobs.Job) -> float:
        """Return the expected seconds of a job's longest chain of steps."""
        by_step = [0.0] * len(job.after)
        # Estimates of a queue's tasks differ by what the caller expects alone.
        estimated: dict[float, float] = {}
        for task in job.tasks:
            seconds = estimated.get(task.expected_seconds)
            if seconds is None:
                seconds = self.estimate_task(job, task)
                estimated[task.expected_seconds] = seconds
            by_step[task.step] = max(by_step[task.step], seconds)
        ends: list[float] = []
        for step, earlier_steps in enumerate(job.after):
            start = max((ends[other] for other in earlier_steps), default=0.0)
            ends.append(start + by_step[step])
        return max(ends, default=0.0)

    def estimate_core_seconds(self, job: jobs.Job) -> float:
        """Return the expected core-seconds of all tasks of a job."""
        return sum(
            self.estimate_task(job, task) * max(task.needs.cpu, 0.001)
            for task in job.tasks
        )

    def estimate_run(
        self, job: jobs.Job, task: jobs.Task, siblings: list[float]
    ) -> float:
        """Return the expected seconds of a run.

        :param siblings: run times of the finished tasks of the same step.
        """
        if siblings:
            return statistics.median(siblings)
        return self.estimate_task(job, task)


def estimate_run_seconds(
    estimator: Estimator, job: owned_jobs.OwnedJob, index: int
) -> float:
    """Return the expected seconds of one task's run."""
    task = job.spec.tasks[index]
    siblings = job.run_seconds.get(task.step, [])
    return estimator.estimate_run(job.spec, task, siblings)


def _as_spec(job: jobs.Job, task: jobs.Task) -> types.TaskSpec:
    return types.TaskSpec(
        task.name, job.route.name, expected_seconds=task.expected_seconds
    )
