"""Detection of runs that take far too long and should be moved.

Load pattern: a worker becomes slow or hangs while it has runs.  Their jobs
wait for them alone, and without a bound their callers would wait until they
give up.  A run that takes several times its expected time is stopped and its
task started at another worker, if one has free capacity; otherwise stopping it
would only waste its work.  With a weigher, only if the worker is likely to be
the cause (:mod:`~agatepick.repeatable.moves`).
"""

import dataclasses

from agatepick import core
from agatepick.repeatable import estimating
from agatepick.repeatable import moves
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool
from agatepick.repeatable import weighing

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

WEIGH_AGAIN_SHARE = 0.1
"""Part of its time so far by which a run must have grown before its move is
weighed again."""

MIN_WEIGH_SECONDS = 0.05
"""Shortest pause between two times that a move is weighed."""

MAX_WEIGHED = 16
"""Largest number of moves that are weighed in one turn of the event loop, as
each takes about a millisecond."""


@dataclasses.dataclass(frozen=True, slots=True)
class Straggler:
    """A task whose run takes too long.

    :param note: note for the timeline.
    :param moves: whether the run should be stopped.
    """

    index: int
    note: core.Note
    moves: bool = True


class Stragglers:
    """Detector of stragglers.

    :param weigher: weighs moves; without one, each straggler is moved.
    """

    def __init__(
        self,
        workers: pool.Pool,
        estimator: estimating.Estimator,
        weigher: weighing.Weigher | None = None,
    ) -> None:
        self._pool = workers
        self._estimator = estimator
        self._weigher = weigher
        self._weighed = 0
        self._weighed_at = 0.0

    def mark_stragglers(
        self, job: owned_jobs.OwnedJob, now: float
    ) -> list[Straggler]:
        """Count a move of each run to move now, and return these runs.

        A run that is left where it is, is returned once, for its note.

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
        checked = [
            self._check(job, index, now)
            for index, due_at in due.items()
            if now >= due_at and self._may_weigh(now)
        ]
        return [straggler for straggler in checked if straggler is not None]

    def _may_weigh(self, now: float) -> bool:
        """Return whether a run is checked now, and not in a later turn."""
        if self._weigher is None:
            return True
        if now > self._weighed_at:
            self._weighed_at = now
            self._weighed = 0
        return self._weighed < MAX_WEIGHED

    def _check(
        self, job: owned_jobs.OwnedJob, index: int, now: float
    ) -> Straggler | None:
        target = self._pick_elsewhere(job, index, now)
        if target is None:
            return None
        if self._weigher is None:
            return self._mark_straggler(job, index, now)
        self._weighed += 1
        choice = self._weigher.choose(job, index, target, now)
        if not choice.moves:
            self._weigher.record_decline(job, index, choice)
            return self._decline(job, index, choice, now)
        self._weigher.record_move(job, index, choice, now)
        return self._mark_straggler(job, index, now, **choice.describe())

    def _decline(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        choice: moves.Choice,
        now: float,
    ) -> Straggler | None:
        """Leave a run where it is, with a note the first time."""
        record = job.records[index]
        pause = WEIGH_AGAIN_SHARE * (now - record.placed_at)
        pause = max(pause, MIN_WEIGH_SECONDS)
        record.weigh_at = now + min(pause, MAX_CHECK_INTERVAL_SECONDS)
        if record.declined_run == record.run:
            return None
        record.declined_run = record.run
        note = core.note(
            'move_declined',
            **self._describe(job, index, now),
            reason=choice.reason.value,
            **choice.describe(),
        )
        return Straggler(index, note, moves=False)

    def _due_at(self, job: owned_jobs.OwnedJob, index: int) -> float:
        """Return the instant from which a run is a straggler."""
        limit = STRAGGLER_RATIO
        if not job.run_seconds.get(job.spec.tasks[index].step):
            limit *= NO_SIBLING_FACTOR
        allowed_seconds = limit * self._estimate_seconds(job, index)
        record = job.records[index]
        due_at = record.placed_at + STRAGGLER_SPARE_SECONDS + allowed_seconds
        return max(due_at, record.weigh_at)

    def _estimate_seconds(self, job: owned_jobs.OwnedJob, index: int) -> float:
        seconds = estimating.estimate_run_seconds(self._estimator, job, index)
        return max(seconds, estimating.MIN_EXPECTED_SECONDS)

    def _mark_straggler(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        now: float,
        **inputs: str,
    ) -> Straggler:
        record = job.records[index]
        record.move_count += 1
        record.agents_to_avoid = record.agents_to_avoid | {record.agent}
        note = core.note(
            'run_stuck', **self._describe(job, index, now), **inputs
        )
        return Straggler(index, note)

    def _describe(
        self, job: owned_jobs.OwnedJob, index: int, now: float
    ) -> dict[str, object]:
        """Return the fields that notes on a slow run have in common."""
        record = job.records[index]
        return {
            'job': job.spec.key,
            'index': index,
            'peer': record.agent,
            'elapsed': f'{now - record.placed_at:.3f}',
            'expected': f'{self._estimate_seconds(job, index):.3f}',
        }

    def _pick_elsewhere(
        self, job: owned_jobs.OwnedJob, index: int, now: float
    ) -> pool.Worker | None:
        """Return another healthy worker with capacity for a task, if any.

        If none has, stopping the task's run would only waste its work.
        """
        record = job.records[index]
        task = job.spec.tasks[index]
        candidates = self._pool.candidates(
            job.spec.route.pool, task.label, now
        )
        agents_to_avoid = record.agents_to_avoid | {record.agent}
        return candidates.pick(task.needs, agents_to_avoid)
