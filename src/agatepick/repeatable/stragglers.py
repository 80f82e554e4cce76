"""Runs that take far too long, and whether moving them helps.

Load pattern: a worker turns slow or stands still with runs on it.  Their
jobs wait for them alone, and without a bound their callers would wait until
they leave.  A run that takes many times what it should is ended and started
at another worker, if one has room; ending it for nothing would only throw
away what it has done.
"""

import dataclasses

from agatepick import core
from agatepick.repeatable import estimating
from agatepick.repeatable import owned
from agatepick.repeatable import placing
from agatepick.repeatable import pool

STRAGGLER_RATIO = 2.2
"""Times its expected seconds after which a run counts as stuck.  A sound
worker of the slow kind takes 1.3 times as long, tasks of a job differ by
15%; beyond this the objective (1.6 times) is missed anyway, and the rest of
a caller's time is better spent at another worker."""

STRAGGLER_SPARE_SECONDS = 0.12
"""Added for the way to the worker and back, and a busy agent."""

UNSURE_RATIO = 2.0
"""Factor on that limit while no task of the job has ended: guesses and what
was learnt of the queue are off by up to that."""

MAX_MOVES = 2
"""Times a task is moved away from workers that are slow with it."""

LOOK_SECONDS = 0.25
"""Longest time between two looks at a job: what its runs are expected to
take is learnt meanwhile."""

LEAST_EXPECTED_SECONDS = 0.02
"""Shorter expectations are lost in the time that messages take."""


@dataclasses.dataclass(frozen=True, slots=True)
class Straggler:
    """A task whose run is to be ended.

    :param note: what was seen, for the time line.
    """

    index: int
    note: core.Note


class Stragglers:
    """Finds them among a job's runs."""

    def __init__(
        self, workers: pool.Pool, estimator: estimating.Estimator
    ) -> None:
        self._pool = workers
        self._estimator = estimator

    def find(self, job: owned.OwnedJob, now: float) -> list[Straggler]:
        """Runs of a job to move now; each is counted as moved.

        A job is looked at when one of its runs may be due, not at each call:
        with hundreds of open jobs that is most of what watching takes.
        """
        if now < job.look_at:
            return []
        due = {
            index: self._due_at(job, index)
            for index in job.placed()
            if not job.records[index].stopping
            and job.records[index].moves < MAX_MOVES
        }
        job.look_at = min([now + LOOK_SECONDS, *due.values()])
        return [
            self._move(job, index, now)
            for index, at in due.items()
            if now >= at and self._elsewhere(job, index, now)
        ]

    def _due_at(self, job: owned.OwnedJob, index: int) -> float:
        """Instant from which a run takes too long."""
        limit = STRAGGLER_RATIO
        if not job.seconds.get(job.spec.tasks[index].step):
            limit *= UNSURE_RATIO
        may_take = limit * self._expected(job, index)
        placed_at = job.records[index].placed_at
        return placed_at + STRAGGLER_SPARE_SECONDS + may_take

    def _expected(self, job: owned.OwnedJob, index: int) -> float:
        seconds = placing.expected(self._estimator, job, index)
        return max(seconds, LEAST_EXPECTED_SECONDS)

    def _move(self, job: owned.OwnedJob, index: int, now: float) -> Straggler:
        record = job.records[index]
        record.moves += 1
        record.avoid = record.avoid | {record.agent}
        note = core.note(
            'run_stuck',
            job=job.spec.key,
            index=index,
            peer=record.agent,
            elapsed=f'{now - record.placed_at:.3f}',
            expected=f'{self._expected(job, index):.3f}',
        )
        return Straggler(index, note)

    def _elsewhere(self, job: owned.OwnedJob, index: int, now: float) -> bool:
        """Whether another sound worker has room for a task.

        Without one, ending its run would only throw away what it has done.
        """
        record = job.records[index]
        task = job.spec.tasks[index]
        found = self._pool.candidates(job.spec.route.pool, task.label, now)
        avoid = record.avoid | {record.agent}
        return found.pick(task.needs, avoid) is not None
