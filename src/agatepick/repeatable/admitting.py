"""Whether a job is let in, and when its caller should come back.

Load pattern: more work than the workers can do, for seconds or for good.
Without this every job waits until most end after their objective: callers
wait in vain, and the workers are busy with answers that come too late.

What a job waits for is cores.  The wait is predicted from the cores that all
before it need beyond those that are free, and from the cores that come free a
second: this entry's share of the workers over the usual run time, or what its
own runs freed of late if that is more.  A job that would start too late is
refused at once; where nothing waits before it, it never is.  What is too
late is learnt from those that were let in (:class:`Margin`).  One that was let
in and sees its latest start pass before any task began is refused too: the
prediction was wrong, and an answer now lets its caller go elsewhere.
"""

import dataclasses
import math
import random
import statistics

from agatepick.repeatable import estimating
from agatepick.repeatable import jobs
from agatepick.repeatable import owned
from agatepick.repeatable import pool

RATE_SECONDS = 1.0
"""Time constant of the rate at which cores come free: some run times, and
shorter than a burst."""

USED_SHARE = 0.92
"""Part of the workers' cores that tasks fill; what is left over at each is
too small for another."""

USUAL_SECONDS = 0.33
"""Run time that is assumed while none has ended of late."""

LEAST_USUAL_SECONDS = 0.02
"""Shorter run times are lost in the time that messages take."""

MOST_SHARE = 0.7
"""Part of a job's slack that its predicted wait may take up, while jobs that
wait begin in time.  Its own run time is known to within a third."""

LEAST_SHARE = 0.05
"""The same while they don't, however long: then only what starts almost at
once is let in."""

RAISE = 1.02
CUT = 0.7
"""Factors on that part after a job that began in time, and after one that
didn't.  They balance at one late start in nineteen, whatever the part is:
fewer would cost many refusals, and to callers a refusal is worse than a late
answer."""

CUT_OFF_SECONDS = 0.8
"""Time without any agent after which jobs are refused at once: a broken
connection is replaced within 0.1 s, a silent one within 1.2 s."""

START_SECONDS = 2.0
"""Time given to agents to come after the start of this process: they find it
in the store within 0.3 s, and a worker announces itself every 1.5 s."""

MIN_RETRY_SECONDS = 1.0
"""Retry-After is told in whole seconds."""

MAX_RETRY_SECONDS = 10.0

RETRY_SPREAD_SECONDS = 2.0
"""Callers that were refused together come back spread over this, or they
would be refused together again."""


class FreedRate:
    """Cores that come free a second, as this entry's runs end."""

    def __init__(self) -> None:
        self._cores = 0.0
        self._seconds = 0.0
        self._count = 0.0
        self._at = 0.0

    def add(self, cores: float, seconds: float, now: float) -> None:
        """A run ended that held some cores for some seconds."""
        kept = self._kept(now)
        self._cores = self._cores * kept + cores
        self._seconds = self._seconds * kept + seconds
        self._count = self._count * kept + 1.0
        self._at = now

    def a_second(self, now: float) -> float:
        """Cores freed a second of late."""
        return self._cores * self._kept(now) / RATE_SECONDS

    def usual_seconds(self) -> float:
        """Mean run time of late."""
        if self._count < 1.0:
            return USUAL_SECONDS
        return max(self._seconds / self._count, LEAST_USUAL_SECONDS)

    def _kept(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._at) / RATE_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a new job would meet.

    :param needed: cores of the tasks that start before it.
    :param free: cores that are free for them now.
    :param rate: cores that come free a second.
    :param trip: seconds that an order takes to an agent and back: long while
        the entry's link or processor is full, when more jobs would only make
        all wait longer.
    """

    needed: float
    free: float
    rate: float
    trip: float = 0.0

    def wait(self) -> float:
        """Seconds until the job starts."""
        return self.queue() + self.trip

    def queue(self) -> float:
        """Seconds of them that it waits for cores."""
        return max(0.0, self.needed - self.free) / max(self.rate, 0.001)


def in_time(load: Load, slack: float, share: float) -> bool:
    """Whether a job starts soon enough.

    :param slack: seconds until it should have started.
    :param share: part of them that the wait for cores may take up.  The round
        trip isn't held to it: an entry whose share is low, and whose orders
        take a while, would let nobody in and learn nothing any more.
    """
    slack = max(slack, 0.0)
    in_queue = load.queue() <= share * slack
    return in_queue and load.wait() <= slack


class Margin:
    """How much of its slack a job may be let in to wait, by what it led to.

    Load pattern: more work than the workers can do, for seconds.  The wait
    of a job is predicted from what is before it, but more urgent jobs come
    later and pass it, and its own tasks need several places.  How much that
    adds depends on the load and on the mix, so it is learnt: each job that
    began too late through waiting makes the next ones be refused sooner, as
    then their callers at least know at once.

    :ivar share: part of the slack.
    """

    def __init__(self) -> None:
        self.share = MOST_SHARE

    def began(self, in_time: bool) -> None:
        """A job that was let in has begun, in time or too late."""
        factor = RAISE if in_time else CUT
        self.share = min(MOST_SHARE, max(LEAST_SHARE, self.share * factor))


def retry_after(load: Load, slack: float, rng: random.Random) -> float:
    """Seconds after which the wait will be short enough, spread."""
    late = max(load.wait() - slack, MIN_RETRY_SECONDS)
    spread = rng.uniform(0.0, RETRY_SPREAD_SECONDS)
    return min(late + spread, MAX_RETRY_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a job isn't let in.

    :param reason: a word for programs and logs.
    :param retry_after: seconds.
    :param load: what decided it, where the queue did.
    """

    reason: str
    retry_after: float
    load: Load | None = None


class Admission:
    """Judges the jobs that come to one entry.

    :ivar freed: cores that this entry's runs free.
    """

    def __init__(
        self,
        workers: pool.Pool,
        estimator: estimating.Estimator,
        waiting: owned.Waiting,
        rng: random.Random,
    ) -> None:
        self._pool = workers
        self._estimator = estimator
        self._waiting = waiting
        self._rng = rng
        self._reached_at = math.inf
        self._reached_since = math.inf
        self.freed = FreedRate()
        self._margin = Margin()

    def advance(self, now: float) -> None:
        """Note whether any agent can be reached."""
        if any(worker.usable(now) for worker in self._pool):
            self._reached_at = now
            self._reached_since = min(self._reached_since, now)
            return
        self._reached_since = math.inf
        if self._reached_at > now:
            self._reached_at = now + START_SECONDS

    def latest(self, spec: jobs.Job, now: float) -> float:
        """Instant at which a job must begin to end in its objective."""
        return now + spec.route.slack(self._estimator.longest(spec))

    def refusal(self, spec: jobs.Job, now: float) -> Refusal | None:
        """Why a job isn't let in, and when to come back."""
        if not self._fits_anywhere(spec, now):
            return Refusal('no_worker', self.spread_retry())
        if now > self._reached_at + CUT_OFF_SECONDS:
            return Refusal('cut_off', self.spread_retry())
        slack = self.latest(spec, now) - now
        load = self._load(spec, now + slack, now)
        if load.rate and not in_time(load, slack, self._margin.share):
            after = retry_after(load, slack, self._rng)
            return Refusal('overloaded', after, load)
        return None

    def began(self, arrived_at: float, in_time: bool) -> None:
        """A job that was let in has begun in time, or too late, or never.

        Jobs that came before any worker was there tell nothing of the load:
        after a loss of power they would make a calm entry refuse others.
        """
        if arrived_at >= self._reached_since:
            self._margin.began(in_time)

    def spread_retry(self) -> float:
        """Seconds until a caller may come back, when no queue tells them."""
        return 1.0 + self._rng.uniform(0.0, RETRY_SPREAD_SECONDS)

    def _fits_anywhere(self, spec: jobs.Job, now: float) -> bool:
        """Whether any known worker is large enough for each task.

        Just after the start, and while a cut heals, agents come one by one:
        a job waits for them as long as it would for room.
        """
        rooms = [
            worker.room
            for worker in self._pool
            if worker.room is not None and worker.room.pool == spec.route.pool
        ]
        if not rooms:
            return True
        return all(
            any(
                task.needs.fits(room.capacity)
                and (not task.label or task.label in room.labels)
                for room in rooms
            )
            for task in spec.tasks
        )

    def _load(self, spec: jobs.Job, latest: float, now: float) -> Load:
        # The job's own cores don't count: with them, wide urgent jobs would
        # be refused while they could get all that comes free.
        needed = 0.0
        for job in self._waiting.in_order():
            if not job.begun and job.latest > latest:
                break
            needed += sum(
                job.spec.tasks[index].needs.cpu for index in job.waiting
            )
        workers = self._pool.usable(spec.route.pool, '', now)
        usual = pool.usual_cost(workers)
        free, share = 0.0, 0.0
        for worker in workers:
            if worker.room is None or not pool.sound(worker, usual):
                continue
            free += worker.free.cpu
            share += worker.room.capacity.cpu / max(1, worker.room.entries)
        steady = USED_SHARE * share / self.freed.usual_seconds()
        rate = max(steady, self.freed.a_second(now)) if workers else 0.0
        trip = (
            statistics.median(one.trip for one in workers) if workers else 0.0
        )
        return Load(needed, free, rate, trip)
