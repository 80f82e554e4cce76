"""Detection of runs that take far too long and should be moved.

Load pattern: a worker becomes slow or hangs while it has runs.  Their jobs
wait for them alone, and without a bound their callers would wait until they
give up.  A run that takes several times its expected time is stopped and its
task started at another worker, if one has free capacity; otherwise stopping it
would only waste its work.
"""

import dataclasses

from agatepick import core
from agatepick.repeatable import estimating
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import placing
from agatepick.repeatable import pool

STRAGGLER_RATIO = 2.2
"""Multiple of the expected time after which a run counts as a straggler.  A
healthy worker of the slow type takes 1.3 times as long, and tasks of a job
differ by 15%; beyond this ratio the objective (1.6 times) is missed in any
case, and another worker uses the rest of the caller's time better."""

STRAGGLER_SPARE_SECONDS = 0.12
"""Time added to that multiple of the expected time, for the round trip to the
worker and for a busy agent."""

NO_SIBLING_FACTOR = 2.0
"""Factor on :data:`STRAGGLER_RATIO` while no task of the same step of the job
has finished: callers' estimates and the learnt run times of the queue are
wrong by up to this factor."""

MAX_MOVES = 2
"""Largest number of times that a task is moved away from slow workers."""

MAX_CHECK_INTERVAL_SECONDS = 0.25
"""Longest pause between two checks of a job, as the expected run times change
in the meantime."""

MIN_EXPECTED_SECONDS = 0.02
"""Lower bound of expected run times; message delays hide shorter ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class Straggler:
    """A task whose run should be stopped.

    :param note: note for the timeline.
    """

    index: int
    note: core.Note


class Stragglers:
    """Detector of stragglers."""

    def __init__(
        self, workers: pool.Pool, estimator: estimating.Estimator
    ) -> None:
        self._pool = workers
        self._estimator = estimator

    def mark_stragglers(
        self, job: owned_jobs.OwnedJob, now: float
    ) -> list[Straggler]:
        """Count a move of each run to move now, and return these runs.

        A job is checked when one of its runs may be due, not at each call:
        with hundreds of open jobs the checks would take most of the time.
        """
        if now < job.check_at:
            return []
        due = {
            index: self._due_at(job, index)
            for index in job.placed_indexes()
            if not job.records[index].stopping
            and job.records[index].move_count < MAX_MOVES
        }
        job.check_at = min([now + MAX_CHECK_INTERVAL_SECONDS, *due.values()])
        return [
            self._mark_straggler(job, index, now)
            for index, due_at in due.items()
            if now >= due_at and self._fits_elsewhere(job, index, now)
        ]

    def _due_at(self, job: owned_jobs.OwnedJob, index: int) -> float:
        """Return the instant from which a run is a straggler."""
        limit = STRAGGLER_RATIO
        if not job.run_seconds.get(job.spec.tasks[index].step):
            limit *= NO_SIBLING_FACTOR
        allowed_seconds = limit * self._estimate_seconds(job, index)
        placed_at = job.records[index].placed_at
        return placed_at + STRAGGLER_SPARE_SECONDS + allowed_seconds

    def _estimate_seconds(self, job: owned_jobs.OwnedJob, index: int) -> float:
        seconds = placing.estimate_run_seconds(self._estimator, job, index)
        return max(seconds, MIN_EXPECTED_SECONDS)

    def _mark_straggler(
        self, job: owned_jobs.OwnedJob, index: int, now: float
    ) -> Straggler:
        record = job.records[index]
        record.move_count += 1
        record.agents_to_avoid = record.agents_to_avoid | {record.agent}
        note = core.note(
            'run_stuck',
            job=job.spec.key,
            index=index,
            peer=record.agent,
            elapsed=f'{now - record.placed_at:.3f}',
            expected=f'{self._estimate_seconds(job, index):.3f}',
        )
        return Straggler(index, note)

    def _fits_elsewhere(
        self, job: owned_jobs.OwnedJob, index: int, now: float
    ) -> bool:
        """Return whether another healthy worker has capacity for a task.

        If none has, stopping the task's run would only waste its work.
        """
        record = job.records[index]
        task = job.spec.tasks[index]
        candidates = self._pool.candidates(
            job.spec.route.pool, task.label, now
        )
        agents_to_avoid = record.agents_to_avoid | {record.agent}
        return candidates.pick(task.needs, agents_to_avoid) is not None
