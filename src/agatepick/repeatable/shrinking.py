"""Jobs whose room is gone: answered at once instead of at their latest start.

Load pattern: workers shrink while jobs that were admitted for their former
capacity wait.  Tasks that are larger than any worker now would wait to the
deadline of their job, and a queue that is too long for what is left would keep
callers waiting who could try elsewhere.

A job with a task that fits on no known worker any more ends.  Of the others
the most urgent are kept: in their order, a job that isn't predicted to start
until long after its latest start is refused.  Jobs that have started are kept,
as their work would be lost.
"""

import dataclasses
import math
import typing

from agatepick.net import messages
from agatepick.repeatable import admission
from agatepick.repeatable import jobs
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool

NO_ROOM_LEFT = 'no_room_left'
"""Reason code of jobs that end because their room is gone."""

SETTLE_SECONDS = 2.0
"""Time after a shrink during which the queue is checked.  Released cores are
an average over the last second, and other workers may shrink as well."""

CHECK_SECONDS = 0.25
"""Pause between two checks, which read the whole queue."""

HOPELESS_FACTOR = 2.0
"""Multiple of its slack that a job's predicted wait must exceed.  Predictions
are right to within a third, and the worker may grow again."""

HOPELESS_SECONDS = 0.2
"""Time by which the wait must exceed that multiple: about a run of a short
task, so that no job is refused for a single slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a waiting job needs.

    :param cores: cores of its waiting tasks.
    :param slack: seconds until its latest start; infinite for a job that has
        started.
    """

    cores: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """A job to end, and its answer."""

    job: owned_jobs.OwnedJob
    answer: jobs.Answer


def find_hopeless(
    demands: typing.Sequence[Demand], load: admission.Load
) -> list[int]:
    """Return the indexes of jobs that won't start anywhere near in time.

    The cores of a hopeless job are left to those after it.

    :param demands: waiting jobs, the most urgent first.
    :param load: free cores, and their release rate; the rest isn't used.
    """
    hopeless: list[int] = []
    needed = 0.0
    for index, demand in enumerate(demands):
        wait = dataclasses.replace(
            load, needed_cores=needed
        ).compute_queue_wait()
        limit = HOPELESS_FACTOR * max(0.0, demand.slack) + HOPELESS_SECONDS
        if wait > limit:
            hopeless.append(index)
        else:
            needed += demand.cores
    return hopeless


def has_room(
    job: owned_jobs.OwnedJob, rooms: typing.Sequence[messages.Room]
) -> bool:
    """Return whether each task that has no run fits on some worker.

    :param rooms: last updates of the workers of the job's pool.
    """
    return all(
        any(admission.holds(room, job.spec.tasks[index]) for room in rooms)
        for index, record in enumerate(job.records)
        if record.state in _UNPLACED
    )


class Shrinking:
    """Watch of one entry over the capacity of its workers.

    :param enabled: whether jobs are ended for lack of room.
    """

    def __init__(
        self,
        workers: pool.Pool,
        waiting: owned_jobs.WaitingQueue,
        admission_control: admission.Admission,
        enabled: bool,
    ) -> None:
        self._pool = workers
        self._waiting = waiting
        self._admission = admission_control
        self._enabled = enabled
        self._seen = False
        self._settled_at = -math.inf
        self._check_at = -math.inf

    def observe(
        self, worker: pool.Worker, room: messages.Room, now: float
    ) -> None:
        """Record an update that is about to be stored for a worker."""
        former = worker.room
        if not self._enabled or former is None or former.pool != room.pool:
            return
        if not former.capacity.fits(room.capacity):
            self._seen = True
            self._settled_at = now + SETTLE_SECONDS
            self._check_at = now

    def find_endings(self, now: float) -> list[Ending]:
        """Return the jobs to end, if a check is due."""
        if not self._seen or now < self._check_at:
            return []
        self._check_at = now + CHECK_SECONDS
        waiting = list(self._waiting.in_order())
        endings = self._find_unfitting(waiting)
        if now < self._settled_at:
            gone = {ending.job.spec.key for ending in endings}
            kept = [job for job in waiting if job.spec.key not in gone]
            endings += self._find_hopeless(kept, now)
        return endings

    def _find_unfitting(
        self, waiting: list[owned_jobs.OwnedJob]
    ) -> list[Ending]:
        rooms: dict[str, list[messages.Room]] = {}
        for worker in self._pool:
            if worker.room is None:
                # Its agent has just connected; the worker may be the one that
                # is large enough.
                return []
            rooms.setdefault(worker.room.pool, []).append(worker.room)
        return [
            self._end(job)
            for job in waiting
            if job.spec.route.pool in rooms
            and not has_room(job, rooms[job.spec.route.pool])
        ]

    def _find_hopeless(
        self, waiting: list[owned_jobs.OwnedJob], now: float
    ) -> list[Ending]:
        endings: list[Ending] = []
        for name in dict.fromkeys(job.spec.route.pool for job in waiting):
            queue = [job for job in waiting if job.spec.route.pool == name]
            load = self._admission.predict_load(queue[-1], now)
            if load.released_cores_per_second:
                demands = [_make_demand(job, now) for job in queue]
                hopeless = find_hopeless(demands, load)
                endings += [self._end(queue[index]) for index in hopeless]
        return endings

    def _end(self, job: owned_jobs.OwnedJob) -> Ending:
        verdict = jobs.Verdict.GIVEN_UP
        if not job.started:
            verdict = jobs.Verdict.NOT_RUN
        delay = self._admission.pick_retry_delay()
        return Ending(job, jobs.Answer(verdict, NO_ROOM_LEFT, delay))


_UNPLACED = (owned_jobs.TaskState.BLOCKED, owned_jobs.TaskState.WAITING)


def _make_demand(job: owned_jobs.OwnedJob, now: float) -> Demand:
    slack = math.inf if job.started else job.latest_start - now
    return Demand(job.sum_waiting_cores(), slack)
