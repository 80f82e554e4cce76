"""Admission control: which jobs are accepted, and when to retry others.

Load pattern: more work than the workers can do, for seconds or permanently.
Without admission control every job queues until most miss their objective:
callers wait in vain, and the workers spend their time on answers that come too
late.

Jobs wait for cores.  The wait is predicted from the cores that all earlier
jobs need beyond those that are free, and from the rate at which cores are
released: this entry's share of the workers divided by the mean run time, or
the recent release rate of its own runs if that is higher.  A job that would
start too late is refused at once; where nothing is queued before it, it never
is.  The accepted wait is adjusted by the outcome of admitted jobs
(:class:`Margin`).  An admitted job whose latest start passes before any of its
tasks started is refused as well: the prediction was wrong, and an early answer
lets its caller try elsewhere.

While room is short, a job of a queue over its share is admitted by that
queue's own backlog and cores (:mod:`~agatepick.repeatable.shares`).
"""

import dataclasses
import math
import random
import statistics

from agatepick.net import messages
from agatepick.repeatable import choosing
from agatepick.repeatable import estimating
from agatepick.repeatable import jobs
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool
from agatepick.repeatable import shares
from agatepick.repeatable import spreading

RATE_TIME_CONSTANT_SECONDS = 1.0
"""Time constant of the moving average of the release rate: longer than several
runs, and shorter than a burst of jobs."""

USABLE_CORE_SHARE = 0.92
"""Share of the workers' cores that tasks can fill; the rest of each worker is
too small for another task."""

DEFAULT_RUN_SECONDS = 0.33
"""Mean run time that is assumed while no run has ended recently."""

MIN_RUN_SECONDS = 0.02
"""Lower bound of the mean run time; message delays hide shorter times."""

MAX_WAIT_SHARE = 0.7
"""Largest share of a job's slack that its predicted wait may take up, while
queued jobs start in time.  The rest is a margin, as the job's own run time is
only known to within a third."""

MIN_WAIT_SHARE = 0.05
"""Smallest share of a job's slack that its predicted wait may take up, reached
while admitted jobs start late: then only jobs that start almost at once are
admitted."""

SHARE_INCREASE_FACTOR = 1.02
SHARE_DECREASE_FACTOR = 0.7
"""Factors on :attr:`Margin.wait_share`: the increase after an admitted job
that started in time, the decrease after one that started late.  They balance
at one late start in nineteen, whatever the share is: fewer late starts would
cost many refusals, and to callers a refusal is worse than a late answer."""

MAX_NO_AGENT_SECONDS = 0.8
"""Time without any reachable agent after which jobs are refused at once: a
broken connection is replaced within 0.1 s, a silent one within 1.2 s."""

STARTUP_SECONDS = 2.0
"""Time for agents to connect after this process started: they find this entry
in the store within 0.3 s, and a worker announces itself every 1.5 s."""

ANNOUNCEMENT_SECONDS = 1.6
"""Time within which all workers that run have announced themselves; they do so
every 1.5 s."""

MIN_RETRY_SECONDS = 1.0
"""Shortest retry delay, as the Retry-After header holds whole seconds."""

MAX_RETRY_SECONDS = 10.0

RETRY_SPREAD_SECONDS = 2.0
"""Range over which the retries of callers that were refused together are
spread; otherwise they would be refused together again."""


class ReleaseRate:
    """Rate at which this entry's runs release cores, and their run times."""

    def __init__(self) -> None:
        self._cores = 0.0
        self._seconds = 0.0
        self._count = 0.0
        self._updated_at = 0.0

    def add(self, cores: float, seconds: float, now: float) -> None:
        """Record a run that ended.

        :param cores: cores that the run held.
        :param seconds: its run time.
        """
        decay = self._decay_factor(now)
        self._cores = self._cores * decay + cores
        self._seconds = self._seconds * decay + seconds
        self._count = self._count * decay + 1.0
        self._updated_at = now

    def cores_per_second(self, now: float) -> float:
        """Return the recent rate of released cores per second."""
        return (
            self._cores * self._decay_factor(now) / RATE_TIME_CONSTANT_SECONDS
        )

    def mean_run_seconds(self) -> float:
        """Return the recent mean run time in seconds."""
        if self._count < 1.0:
            return DEFAULT_RUN_SECONDS
        return max(self._seconds / self._count, MIN_RUN_SECONDS)

    def _decay_factor(self, now: float) -> float:
        return math.exp(
            -max(0.0, now - self._updated_at) / RATE_TIME_CONSTANT_SECONDS
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Queue and capacity that a new job meets.

    :param needed_cores: cores of the waiting tasks that start before the
        new job.
    :param free_cores: cores that are free for these tasks now.
    :param released_cores_per_second: cores that are released per second.
    :param round_trip_seconds: round trip of a message to an agent.  It is
        long while the entry's link or processor is saturated, when more jobs
        would only make all of them wait longer.
    :param share_cores: share of the job's queue if it is over it.
    :param held_cores: cores that runs of this queue hold then.
    """

    needed_cores: float
    free_cores: float
    released_cores_per_second: float
    round_trip_seconds: float = 0.0
    share_cores: float = 0.0
    held_cores: float = 0.0

    def compute_wait(self) -> float:
        """Return the predicted seconds until the job starts."""
        return self.compute_queue_wait() + self.round_trip_seconds

    def compute_queue_wait(self) -> float:
        """Return the part of the wait during which the job waits for cores."""
        return max(0.0, self.needed_cores - self.free_cores) / max(
            self.released_cores_per_second, 0.001
        )


def starts_in_time(load: Load, slack: float, wait_share: float) -> bool:
    """Return whether a job starts soon enough.

    :param slack: seconds until its latest start.
    :param wait_share: share of the slack that the wait for cores may take up.
        The round trip isn't part of that limit: an entry with a low share and
        slow round trips would admit no job, and the share could never recover.
    """
    slack = max(slack, 0.0)
    in_queue = load.compute_queue_wait() <= wait_share * slack
    return in_queue and load.compute_wait() <= slack


class Margin:
    """Limit on the wait of admitted jobs, adjusted by their outcome.

    Load pattern: more work than the workers can do, for seconds.  A job's wait
    is predicted from the queue before it, but more urgent jobs arrive later
    and overtake it, and its own tasks need several slots.  The additional wait
    depends on the load and on the mix of jobs, so it is learnt from outcomes:
    each job that waited until it started too late lowers the share, so that
    later callers are refused at once instead of late.

    :ivar wait_share: share of its slack that an admitted job may wait, between
        0 and 1.
    """

    def __init__(self) -> None:
        self.wait_share = MAX_WAIT_SHARE

    def record_start(self, in_time: bool) -> None:
        """Record whether an admitted job started in time."""
        factor = SHARE_INCREASE_FACTOR if in_time else SHARE_DECREASE_FACTOR
        self.wait_share = min(
            MAX_WAIT_SHARE, max(MIN_WAIT_SHARE, self.wait_share * factor)
        )


def retry_after(load: Load, slack: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller should retry.

    By then the predicted wait should fit into the job's slack.  A random part
    spreads the retries.

    :param slack: seconds until the refused job's latest start.
    """
    delay = max(load.compute_wait() - slack, MIN_RETRY_SECONDS)
    spread = rng.uniform(0.0, RETRY_SPREAD_SECONDS)
    return min(delay + spread, MAX_RETRY_SECONDS)


def holds(room: messages.Room, task: jobs.Task) -> bool:
    """Return whether a worker is large enough for a task and may run it."""
    labelled = not task.label or task.label in room.labels
    return labelled and task.needs.fits(room.capacity)


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why a job isn't admitted.

    :param reason: reason code for programs and logs.
    :param retry_after: seconds until the caller may retry.
    :param load: load that led to the refusal, if the queue caused it.
    """

    reason: str
    retry_after: float
    load: Load | None = None


class Admission:
    """Admission control of one entry.

    :ivar release_rate: rate at which this entry's runs release cores.
    """

    def __init__(
        self,
        workers: pool.Pool,
        estimator: estimating.Estimator,
        waiting: owned_jobs.WaitingQueue,
        rng: random.Random,
        by_speed: bool = False,
        queue_shares: shares.Shares | None = None,
    ) -> None:
        self._pool = workers
        self._by_speed = by_speed
        self._estimator = estimator
        self._waiting = waiting
        self._rng = rng
        self._last_reachable_at = math.inf
        self._reachable_since = math.inf
        self.release_rate = ReleaseRate()
        self._shares = queue_shares or shares.Shares(enabled=False)
        self._margins: dict[str, Margin] = {}

    def update_reachability(self, now: float) -> None:
        """Check whether any agent is reachable, and record since when."""
        if any(worker.is_usable(now) for worker in self._pool):
            self._last_reachable_at = now
            self._reachable_since = min(self._reachable_since, now)
            return
        self._reachable_since = math.inf
        if self._last_reachable_at > now:
            self._last_reachable_at = now + STARTUP_SECONDS

    def record_demand(self, spec: jobs.Job, now: float) -> None:
        """Record a submitted job in its queue's demand."""
        if not self._shares.enabled:
            return
        work = self._estimator.estimate_core_seconds(spec)
        self._shares.add_demand(spec.route.name, spec.route.pool, work, now)

    def update_shares(
        self, open_jobs: list[owned_jobs.OwnedJob], now: float
    ) -> list[object]:
        """Update the queues' shares, and note which press beyond theirs."""
        if not self._shares.enabled:
            return []
        capacity: dict[str, float] = {}
        for worker in self._pool:
            if worker.room is not None and worker.is_usable(now):
                part = worker.room.capacity.cpu / max(1, worker.room.entries)
                pool_cores = capacity.get(worker.pool, 0.0)
                capacity[worker.pool] = pool_cores + USABLE_CORE_SHARE * part
        held = owned_jobs.sum_held_cores(open_jobs)
        return self._shares.update(held, capacity, now)

    def compute_latest_start(self, spec: jobs.Job, now: float) -> float:
        """Return the latest start at which a job still meets its objective."""
        return now + spec.route.slack(
            self._estimator.estimate_longest_chain(spec)
        )

    def find_refusal(self, spec: jobs.Job, now: float) -> Refusal | None:
        """Return why a job isn't admitted, or ``None`` if it is."""
        if not self._fits_anywhere(spec, now):
            return Refusal('no_worker', self.pick_retry_delay())
        if now > self._last_reachable_at + MAX_NO_AGENT_SECONDS:
            return Refusal('cut_off', self.pick_retry_delay())
        slack = self.compute_latest_start(spec, now) - now
        load = self._compute_load(spec, now + slack, now)
        reason = 'overloaded'
        over = self._shares.find_over(spec.route.name)
        if over is not None and not _has_spare_room(load, spec, over):
            load = self._limit_to_share(load, spec, over)
            reason = 'over_share'
        margin = self._get_margin(spec.route.name, over is not None)
        if load.released_cores_per_second and not starts_in_time(
            load, slack, margin.wait_share
        ):
            after = retry_after(load, slack, self._rng)
            return Refusal(reason, after, load)
        return None

    def knows_workers(self, spec: jobs.Job) -> bool:
        """Return whether any worker of a job's pool is known."""
        return bool(self._get_rooms(spec))

    def find_late_refusal(self, spec: jobs.Job, now: float) -> Refusal | None:
        """Return why a job that was admitted without workers can't be run.

        Load pattern: jobs that can never run come while an entry starts.  They
        would wait for their whole time, and others behind them.
        """
        if now < self._reachable_since + ANNOUNCEMENT_SECONDS:
            return None
        if self._fits_anywhere(spec, now):
            return None
        return Refusal('no_worker', self.pick_retry_delay())

    def predict_load(self, job: owned_jobs.OwnedJob, now: float) -> Load:
        """Return the load that a waiting job meets."""
        return self._compute_load(job.spec, job.latest_start, now)

    def record_start(self, job: owned_jobs.OwnedJob, in_time: bool) -> None:
        """Record whether an admitted job started in time.

        A job that never started counts as late.  Jobs that arrived before any
        worker was reachable don't count: after a power loss they would make an
        entry without load refuse other jobs.
        """
        if job.arrived_at >= self._reachable_since:
            name = job.spec.route.name
            self._get_margin(name, job.over_share).record_start(in_time)

    def _get_margin(self, queue: str, over_share: bool) -> Margin:
        """Return the margin of a queue over its share, or that of the others.

        With one margin for all, each late start of a queue that presses would
        refuse jobs of the others.
        """
        return self._margins.setdefault(queue if over_share else '', Margin())

    def pick_retry_delay(self) -> float:
        """Return a random retry delay in seconds.

        It applies to refusals whose delay doesn't follow from the queue.
        """
        return 1.0 + self._rng.uniform(0.0, RETRY_SPREAD_SECONDS)

    def _fits_anywhere(self, spec: jobs.Job, now: float) -> bool:
        """Return whether each task fits on some known worker.

        Also true while no worker of the job's pool is known: just after this
        process started, and while a network partition heals, agents connect
        one by one, and a job waits for them as long as it would for free
        capacity.
        """
        rooms = self._get_rooms(spec)
        if not rooms:
            return True
        # Tasks of a step share one object of their needs.
        unlike = {(id(task.needs), task.label): task for task in spec.tasks}
        return all(
            any(holds(room, task) for room in rooms)
            for task in unlike.values()
        )

    def _get_rooms(self, spec: jobs.Job) -> list[messages.Room]:
        return [
            worker.room
            for worker in self._pool
            if worker.room is not None and worker.room.pool == spec.route.pool
        ]

    def _compute_load(
        self, spec: jobs.Job, latest_start: float, now: float
    ) -> Load:
        # The new job's own cores aren't counted as needed: otherwise wide
        # urgent jobs would be refused although they could get all cores that
        # are released.
        needed = 0.0
        key = self._waiting.sort_key_of(spec, latest_start)
        workers = self._pool.usable_workers(spec.route.pool, '', now)
        for job in self._waiting.list_up_to(key):
            if job.spec.route.pool != spec.route.pool:
                continue
            needed += spreading.compute_waiting_cores(job, len(workers))
        capacity = choosing.measure_capacity(
            workers, self._build_demand(spec, latest_start - now)
        )
        steady = (
            USABLE_CORE_SHARE
            * capacity.share
            / self.release_rate.mean_run_seconds()
        )
        recent = self.release_rate.cores_per_second(now) * capacity.part
        rate = max(steady, recent) if workers else 0.0
        round_trip_seconds = (
            statistics.median(worker.round_trip_seconds for worker in workers)
            if workers
            else 0.0
        )
        return Load(needed, capacity.free_cores, rate, round_trip_seconds)

    def _build_demand(
        self, spec: jobs.Job, slack: float
    ) -> pool.Demand | None:
        """Return the time that a job needs and has, if speeds matter."""
        if not self._by_speed:
            return None
        longest = self._estimator.estimate_longest_chain(spec)
        return pool.Demand(longest, longest + slack)

    def _limit_to_share(
        self, load: Load, spec: jobs.Job, standing: shares.Standing
    ) -> Load:
        """Return what a job of a queue over its share may count on.

        Its queue gets the cores that the others leave, but at least its share.
        What it holds beyond them returns to the others before its own jobs
        start.
        """
        backlog = sum(
            job.sum_waiting_cores()
            for job in self._waiting.in_order()
            if job.spec.route.name == spec.route.name
        )
        seconds = self._estimator.estimate_longest_chain(spec)
        rate = standing.allowed / max(seconds, MIN_RUN_SECONDS)
        spare = standing.allowed - standing.held
        return dataclasses.replace(
            load,
            needed_cores=backlog + max(0.0, -spare),
            free_cores=min(max(0.0, spare), load.free_cores),
            released_cores_per_second=min(
                rate, load.released_cores_per_second
            ),
            share_cores=standing.share,
            held_cores=standing.held,
        )


def _has_spare_room(
    load: Load, spec: jobs.Job, standing: shares.Standing
) -> bool:
    """Return whether a job takes no room that other queues may want."""
    cores = sum(task.needs.cpu for task in spec.tasks)
    spare = load.free_cores - load.needed_cores - cores
    return spare >= standing.headroom
