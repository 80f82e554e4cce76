"""Fair queueing: the order in which waiting tasks start.

Load pattern: a few callers submit most of the load, long jobs are mixed with
short ones, and urgent ones arrive between them.  In order of arrival one
team's backlog would delay everyone, and a short job would wait for the whole
of a long one that arrived an instant before.

Jobs wait in two levels, urgent first; after ``urgent_run`` consecutive starts
of urgent tasks a waiting ordinary task is started, so that callers who mark
all jobs as urgent can't starve the others.  Inside a level jobs are ranked by
start-time fair queueing: a job's start tag is the later of the level's
virtual time and the end tag of its team's previous job, and its end tag is its
start tag plus its expected work.  Jobs of teams below their fair share thus
start in the order of arrival, which gives the shortest response times, while a
team with a backlog queues behind its own jobs.  Deficit round robin is as
fair, but interleaves the jobs of all teams, so that all of them end late.  A
job's own work, times
:data:`SIZE_WEIGHT`, is added to its rank: short jobs pass long ones, but only
until the virtual time has grown by the long one's work.  With twice that
weight heavy teams' small jobs would pass light teams' large ones.

An admitted job must not miss its deadline because later jobs of lighter
teams are ranked before it.  Two rules prevent this.  The work that admission
expects before a new job includes what other teams will submit ahead of it at
their rates of the last :data:`RATE_TIME_CONSTANT_SECONDS`.  And jobs whose
latest start time has passed start before the ranked ones, in order of their
latest start.

The tasks of a job stay together in the order, the longest first, as the job is
answered when its last task has ended.
"""

import collections
import dataclasses
import heapq
import math
import typing

from agatepick.decisions import placement
from agatepick import types

SIZE_WEIGHT = 1.0
MAX_COMPARED_JOBS = 512
"""Largest number of waiting jobs whose ranks are compared with a new job's."""

RATE_TIME_CONSTANT_SECONDS = 10.0
"""Time constant of a team's rate of work.  With a shorter one a burst counts
as a lasting rate, and work that would be in time is refused."""
MAX_TEAM_RATES = 1024
"""Number of teams with a rate from which on old rates are deleted.  Callers
choose the names of teams, so memory needs a bound."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedTask:
    """One queued task.

    :param index: index of the task in its job.
    :param attempt: number of this attempt, from 0.
    :param excluded: agents that refused it.
    """

    job: types.JobSpec
    index: int
    attempt: int
    excluded: frozenset[str] = frozenset()


class WaitingJob:
    """The queued tasks of one job.

    :ivar rank: position in the order of its level; lower ones start first.
    :ivar start_tag: start tag in the virtual time of its level.
    :ivar groups: indices of its tasks by class, in order of their start.
    :ivar racks: number of tasks placed so far, by rack.
    :ivar mean_task_seconds: mean of the expected run times of its tasks.
    :ivar pool: names of the agents that serve any of its classes.
    :ivar latest_start: instant by which it should start to be in time.
    :ivar count: number of tasks that wait.
    """

    __slots__ = (
        'job',
        'rank',
        'start_tag',
        'mean_task_seconds',
        'pool',
        'latest_start',
        'groups',
        'racks',
        'count',
    )

    def __init__(
        self,
        job: types.JobSpec,
        mean_task_seconds: float,
        groups: dict[placement.Requirement, collections.deque[int]],
        pool: frozenset[str],
        latest_start: float,
    ) -> None:
        self.job = job
        self.mean_task_seconds = mean_task_seconds
        self.pool = pool
        self.latest_start = latest_start
        self.groups = groups
        self.racks: dict[str, int] = {}
        self.count = len(job.tasks)
        self.rank = 0.0
        self.start_tag = 0.0


class _WorkRate:
    """The exponentially decaying average rate at which a team adds work.

    Work is the sum of expected run times, in seconds.
    """

    __slots__ = ('work', 'updated_at')

    def __init__(self) -> None:
        self.work = 0.0
        self.updated_at = 0.0

    def add(self, work: float, now: float) -> None:
        self.work = self.work * self._get_decay(now) + work
        self.updated_at = now

    def get_per_second(self, now: float) -> float:
        return self.work * self._get_decay(now) / RATE_TIME_CONSTANT_SECONDS

    def _get_decay(self, now: float) -> float:
        return math.exp(
            -max(0.0, now - self.updated_at) / RATE_TIME_CONSTANT_SECONDS
        )


_RankedJob = tuple[float, int, int, WaitingJob]
"""Rank or latest start, order of arrival, index of the class, job."""


class _Level:
    """The jobs of one urgency, in heaps by class of task.

    :ivar virtual_time: largest start tag of a job that has begun to start.
    :ivar team_ends: end tag of each team's newest job.
    :ivar by_latest_start: heap of all jobs by their latest start.
    :ivar count: number of waiting tasks.
    """

    def __init__(self) -> None:
        self.heaps: dict[placement.Requirement, list[_RankedJob]] = {}
        self.virtual_time = 0.0
        self.team_ends: dict[str, float] = {}
        self.team_rates: dict[str, _WorkRate] = {}
        self.by_latest_start: list[_RankedJob] = []
        self.count = 0

    def compute_rank(self, team: str, work: float) -> tuple[float, float]:
        start = max(self.virtual_time, self.team_ends.get(team, 0.0))
        return start, start + SIZE_WEIGHT * work

    def assign_rank(self, waiting: WaitingJob, now: float) -> None:
        work = waiting.mean_task_seconds * waiting.count
        team = waiting.job.team
        if team not in self.team_rates:
            self._drop_old_rates(now)
            self.team_rates[team] = _WorkRate()
        self.team_rates[team].add(work, now)
        waiting.start_tag, waiting.rank = self.compute_rank(team, work)
        self.team_ends[team] = waiting.start_tag + work

    def estimate_overtaking_work(
        self, team: str, rank: float, seconds: float, now: float
    ) -> float:
        """Return the work that other teams will add ahead of a rank.

        :param rank: rank of a job of ``team``.
        :param seconds: period for which the other teams are expected to add
            work at their present rates.
        :returns: sum of expected run times, in seconds.
        """
        if rank <= self.virtual_time:
            return 0.0
        return sum(
            min(
                rate.get_per_second(now) * seconds,
                max(0.0, rank - self.team_ends.get(other, self.virtual_time)),
            )
            for other, rate in self.team_rates.items()
            if other != team
        )

    def _drop_old_rates(self, now: float) -> None:
        if len(self.team_rates) >= MAX_TEAM_RATES:
            self.team_rates = {
                team: rate
                for team, rate in self.team_rates.items()
                if rate.updated_at >= now - RATE_TIME_CONSTANT_SECONDS
            }

    def reset_virtual_time(self) -> None:
        """Reset the virtual time and all teams' end tags.

        Called while nothing waits, so no team is ahead of another.
        """
        self.team_ends.clear()
        self.virtual_time = 0.0


class FairQueue:
    """The waiting jobs of all teams, in the order in which they start.

    :ivar urgent_run: number of consecutive starts of urgent tasks after which
        a waiting ordinary task is started.
    """

    def __init__(self) -> None:
        self._levels = (_Level(), _Level())
        self._jobs: dict[str, WaitingJob] = {}
        self._sequence = 0
        self._urgent_streak = 0
        self.urgent_run = 8

    def __len__(self) -> int:
        return self._levels[0].count + self._levels[1].count

    def count(self, urgent: bool) -> int:
        """Return the number of waiting tasks of one level."""
        return self._levels[0 if urgent else 1].count

    def add(self, waiting: WaitingJob, now: float) -> None:
        """Add a job to the queue."""
        level = self._get_level(waiting)
        level.assign_rank(waiting, now)
        level.count += waiting.count
        self._jobs[waiting.job.key] = waiting
        self._sequence += 1
        for order, requirement in enumerate(waiting.groups):
            heap = level.heaps.setdefault(requirement, [])
            ranked = (waiting.rank, self._sequence, order, waiting)
            heapq.heappush(heap, ranked)
            timed = (waiting.latest_start, self._sequence, order, waiting)
            heapq.heappush(level.by_latest_start, timed)

    def find_next(
        self,
        blocked: typing.Container[placement.Requirement],
        throttled_teams: typing.Container[str],
        now: float,
    ) -> tuple[WaitingJob, placement.Requirement] | None:
        """Return the job whose task starts next, and the task's class.

        :param blocked: classes for which no worker is free.
        :param throttled_teams: teams whose quota is used up.
        :returns: ``None`` if no task can start.
        """
        first, second = self._levels
        if self._urgent_streak >= self.urgent_run and second.count:
            first, second = second, first
        for level in (first, second):
            next_group = _find_past_latest_start(
                level, blocked, throttled_teams, now
            )
            if next_group is None:
                next_group = self._find_first_ranked(
                    level, blocked, throttled_teams
                )
            if next_group is not None:
                return next_group
        return None

    def pop_task(
        self, waiting: WaitingJob, group: collections.deque[int]
    ) -> int:
        """Remove and return the next task of one of a job's classes."""
        index = group.popleft()
        waiting.count -= 1
        level = self._get_level(waiting)
        level.virtual_time = max(level.virtual_time, waiting.start_tag)
        self._remove_tasks(level, waiting, 1)
        if waiting.job.urgent:
            self._urgent_streak += 1
        else:
            self._urgent_streak = 0
        return index

    def drop(self, key: str) -> tuple[int, ...]:
        """Remove a job and return the indices of its waiting tasks."""
        waiting = self._jobs.get(key)
        if waiting is None:
            return ()
        indices = [i for group in waiting.groups.values() for i in group]
        for group in waiting.groups.values():
            group.clear()
        waiting.count = 0
        self._remove_tasks(self._get_level(waiting), waiting, len(indices))
        return tuple(sorted(indices))

    def sum_work_before(
        self,
        job: types.JobSpec,
        work: float,
        pool: frozenset[str],
        slots: float,
        now: float,
    ) -> float:
        """Return the expected work that starts before a new job, in seconds.

        Jobs that none of the new job's workers serves aren't counted.  If
        more than :data:`MAX_COMPARED_JOBS` jobs wait, those that would start
        later count as well.

        :param work: sum of the expected run times of the new job's tasks, in
            seconds.
        :param pool: names of the workers that serve the new job.
        :param slots: number of slots of these workers.
        """
        level = self._levels[0 if job.urgent else 1]
        rank = level.compute_rank(job.team, work)[1]
        if len(self._jobs) > MAX_COMPARED_JOBS:
            rank = float('inf')
        before = sum(
            waiting.mean_task_seconds * waiting.count
            for waiting in self._jobs.values()
            if _starts_before(waiting, job.urgent, rank)
            and not waiting.pool.isdisjoint(pool)
        )
        if not before:
            return 0.0
        wait = (before + work) / max(slots, 1.0)
        return before + level.estimate_overtaking_work(
            job.team, rank, wait, now
        )

    def sum_team_work(self, team: str) -> float:
        """Return the sum of a team's waiting tasks' expected run times.

        :returns: seconds.
        """
        return sum(
            waiting.mean_task_seconds * waiting.count
            for waiting in self._jobs.values()
            if waiting.job.team == team
        )

    def get(self, key: str) -> WaitingJob | None:
        """Return a job by its key, or ``None`` if none of its tasks waits."""
        return self._jobs.get(key)

    def count_by_team(self) -> dict[str, int]:
        """Return the number of waiting tasks by team."""
        counts: dict[str, int] = {}
        for waiting in self._jobs.values():
            team = waiting.job.team
            counts[team] = counts.get(team, 0) + waiting.count
        return counts

    def requirements(self) -> set[placement.Requirement]:
        """Return the classes of the waiting tasks."""
        return {
            requirement
            for waiting in self._jobs.values()
            for requirement, group in waiting.groups.items()
            if group
        }

    def _get_level(self, waiting: WaitingJob) -> _Level:
        return self._levels[0 if waiting.job.urgent else 1]

    def _remove_tasks(
        self, level: _Level, waiting: WaitingJob, count: int
    ) -> None:
        level.count -= count
        if not waiting.count:
            self._jobs.pop(waiting.job.key, None)
        if not level.count:
            level.heaps.clear()
            level.by_latest_start.clear()
            level.reset_virtual_time()

    def _find_first_ranked(
        self,
        level: _Level,
        blocked: typing.Container[placement.Requirement],
        throttled_teams: typing.Container[str],
    ) -> tuple[WaitingJob, placement.Requirement] | None:
        best: _RankedJob | None = None
        best_class: placement.Requirement | None = None
        for requirement in list(level.heaps):
            if requirement in blocked:
                continue
            candidate = _prune_and_find_first(
                level.heaps, requirement, throttled_teams
            )
            if candidate is not None and (best is None or candidate < best):
                best = candidate
                best_class = requirement
        if best is None or best_class is None:
            return None
        return best[3], best_class


def _starts_before(waiting: WaitingJob, urgent: bool, rank: float) -> bool:
    if waiting.job.urgent != urgent:
        return waiting.job.urgent
    return waiting.rank <= rank


def _find_past_latest_start(
    level: _Level,
    blocked: typing.Container[placement.Requirement],
    throttled_teams: typing.Container[str],
    now: float,
) -> tuple[WaitingJob, placement.Requirement] | None:
    """Return the job with the earliest latest start time, if that has passed.

    :returns: the job and the class of its next task; ``None`` if no latest
        start time has passed or that task can't start.
    """
    heap = level.by_latest_start
    while heap and heap[0][0] <= now:
        _, _, order, waiting = heap[0]
        requirement = list(waiting.groups)[order]
        if not waiting.groups[requirement]:
            heapq.heappop(heap)
            continue
        if requirement in blocked or waiting.job.team in throttled_teams:
            return None
        return waiting, requirement
    return None


def _prune_and_find_first(
    heaps: dict[placement.Requirement, list[_RankedJob]],
    requirement: placement.Requirement,
    throttled_teams: typing.Container[str],
) -> _RankedJob | None:
    """Return the first item of a class's heap whose job may start a task.

    Jobs without waiting tasks of the class are removed from the heap's top.
    """
    heap = heaps[requirement]
    while heap and not heap[0][3].groups[requirement]:
        heapq.heappop(heap)
    if not heap:
        del heaps[requirement]
        return None
    if heap[0][3].job.team not in throttled_teams:
        return heap[0]
    return min(
        (
            item
            for item in heap
            if item[3].groups[requirement]
            and item[3].job.team not in throttled_teams
        ),
        default=None,
    )
