"""The order in which waiting tasks start.

Load pattern: a few callers hand in most of the load, long jobs stand among
short ones, and urgent ones come between.  In plain order of arrival one
team's backlog delays everyone, and a short job waits for the whole of a long
one that came an instant before.

Jobs wait in two levels, urgent first; after ``urgent_run`` starts of urgent
tasks a waiting ordinary task gets one, so that callers who mark all as
urgent can't stop the rest.  Inside a level jobs are ranked by start-time
fair queueing: a job starts at the later of the level's virtual time and the
end of its team's previous job, and lasts as long as its expected work.
Teams below their fair share so keep the order of arrival, which is best for
response, while a team with a backlog queues behind itself.  Deficit round
robin is as fair, but interleaves the jobs of all teams, so that all of them
end late.  A job's own work, times :data:`SIZE_WEIGHT`, is added to its rank:
it lets short jobs pass long ones, but only until the virtual time has grown
by the long one's work.  Twice that weight lets heavy teams' small jobs pass
light teams' large ones.

A job that was let in must not miss its deadline because later jobs of
lighter teams were ranked before it.  Two things see to that.  What waits
before a new job includes what other teams will bring ahead of it if they go
on as in the last :data:`RATE_SECONDS`.  And a job whose latest start has
come goes before the ranked ones, the earliest first.

A job's tasks stay together, longest first, as the job is answered when its
last task has ended.
"""

import collections
import dataclasses
import heapq
import math
import typing

from agatepick.decisions import placement
from agatepick import types

SIZE_WEIGHT = 1.0
EXACT_JOBS = 512
"""Waiting jobs up to which a new job's place among them is worked out."""

RATE_SECONDS = 10.0
"""Time constant of a team's rate of work.  A shorter one takes a burst for
what will go on and refuses work that would be in time."""
MAX_RATES = 1024
"""Teams whose rates are kept; callers choose the names."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """One queued task.

    :param attempt: number of this attempt, from 0.
    :param excluded: agents that refused it.
    """

    job: types.JobSpec
    index: int
    attempt: int
    excluded: frozenset[str] = frozenset()


class WaitingJob:
    """Queued tasks of one job.

    :ivar groups: its tasks by class, in the order in which they start.
    :ivar racks: tasks placed so far, by rack.
    :ivar cost: expected seconds of one task, on average.
    :ivar pool: names of the agents that serve it.
    :ivar latest: instant by which it should start to be in time.
    """

    __slots__ = (
        'job',
        'rank',
        'start',
        'cost',
        'pool',
        'latest',
        'groups',
        'racks',
        'count',
    )

    def __init__(
        self,
        job: types.JobSpec,
        cost: float,
        groups: dict[placement.Requirement, collections.deque[int]],
        pool: frozenset[str],
        latest: float,
    ) -> None:
        self.job = job
        self.cost = cost
        self.pool = pool
        self.latest = latest
        self.groups = groups
        self.racks: dict[str, int] = {}
        self.count = len(job.tasks)
        self.rank = 0.0
        self.start = 0.0


class _Rate:
    """Work that a team brings a second, over the last seconds."""

    __slots__ = ('work', 'at')

    def __init__(self) -> None:
        self.work = 0.0
        self.at = 0.0

    def add(self, work: float, now: float) -> None:
        self.work = self.work * self._kept(now) + work
        self.at = now

    def a_second(self, now: float) -> float:
        return self.work * self._kept(now) / RATE_SECONDS

    def _kept(self, now: float) -> float:
        return math.exp(-max(0.0, now - self.at) / RATE_SECONDS)


_Ranked = tuple[float, int, int, WaitingJob]
"""Rank, order of arrival, order of the class within its job, the job."""


class _Level:
    """Jobs of one urgency, in heaps by class of task."""

    def __init__(self) -> None:
        self.heaps: dict[placement.Requirement, list[_Ranked]] = {}
        self.virtual = 0.0
        self.team_ends: dict[str, float] = {}
        self.rates: dict[str, _Rate] = {}
        self.latest: list[_Ranked] = []
        self.count = 0

    def rank_of(self, team: str, work: float) -> tuple[float, float]:
        start = max(self.virtual, self.team_ends.get(team, 0.0))
        return start, start + SIZE_WEIGHT * work

    def rank(self, waiting: WaitingJob, now: float) -> None:
        work = waiting.cost * waiting.count
        team = waiting.job.team
        if team not in self.rates:
            self._forget_old_rates(now)
            self.rates[team] = _Rate()
        self.rates[team].add(work, now)
        waiting.start, waiting.rank = self.rank_of(team, work)
        self.team_ends[team] = waiting.start + work

    def overtaking(
        self, team: str, rank: float, seconds: float, now: float
    ) -> float:
        """Work that other teams will bring ahead of a rank meanwhile."""
        if rank <= self.virtual:
            return 0.0
        return sum(
            min(
                rate.a_second(now) * seconds,
                max(0.0, rank - self.team_ends.get(other, self.virtual)),
            )
            for other, rate in self.rates.items()
            if other != team
        )

    def _forget_old_rates(self, now: float) -> None:
        if len(self.rates) >= MAX_RATES:
            self.rates = {
                team: rate
                for team, rate in self.rates.items()
                if rate.at >= now - RATE_SECONDS
            }

    def forget_idle_teams(self) -> None:
        """Nothing waits: no team is ahead of or behind another."""
        self.team_ends.clear()
        self.virtual = 0.0


class FairQueue:
    """Waiting jobs of all teams, in the order in which they start."""

    def __init__(self) -> None:
        self._levels = (_Level(), _Level())
        self._jobs: dict[str, WaitingJob] = {}
        self._sequence = 0
        self._urgent_streak = 0
        self.urgent_run = 8

    def __len__(self) -> int:
        return self._levels[0].count + self._levels[1].count

    def count(self, urgent: bool) -> int:
        """Waiting tasks of one level."""
        return self._levels[0 if urgent else 1].count

    def add(self, waiting: WaitingJob, now: float) -> None:
        """Queue a job."""
        level = self._level(waiting)
        level.rank(waiting, now)
        level.count += waiting.count
        self._jobs[waiting.job.key] = waiting
        self._sequence += 1
        for order, requirement in enumerate(waiting.groups):
            heap = level.heaps.setdefault(requirement, [])
            entry = (waiting.rank, self._sequence, order, waiting)
            heapq.heappush(heap, entry)
            late = (waiting.latest, self._sequence, order, waiting)
            heapq.heappush(level.latest, late)

    def next(
        self,
        blocked: typing.Container[placement.Requirement],
        held_teams: typing.Container[str],
        now: float,
    ) -> tuple[WaitingJob, placement.Requirement] | None:
        """The job, and its class of task, that starts next.

        :param blocked: classes that no worker is free for.
        :param held_teams: teams that have used up their quota.
        """
        first, second = self._levels
        if self._urgent_streak >= self.urgent_run and second.count:
            first, second = second, first
        for level in (first, second):
            found = _due(level, blocked, held_teams, now)
            if found is None:
                found = self._least(level, blocked, held_teams)
            if found is not None:
                return found
        return None

    def take(self, waiting: WaitingJob, group: collections.deque[int]) -> int:
        """Remove and return the next task of one of a job's classes."""
        index = group.popleft()
        waiting.count -= 1
        level = self._level(waiting)
        level.virtual = max(level.virtual, waiting.start)
        self._shrink(level, waiting, 1)
        if waiting.job.urgent:
            self._urgent_streak += 1
        else:
            self._urgent_streak = 0
        return index

    def drop(self, key: str) -> tuple[int, ...]:
        """Remove a job; the indices of its tasks that were waiting."""
        waiting = self._jobs.get(key)
        if waiting is None:
            return ()
        indices = [i for group in waiting.groups.values() for i in group]
        for group in waiting.groups.values():
            group.clear()
        waiting.count = 0
        self._shrink(self._level(waiting), waiting, len(indices))
        return tuple(sorted(indices))

    def work_before(
        self,
        job: types.JobSpec,
        work: float,
        pool: frozenset[str],
        slots: float,
        now: float,
    ) -> float:
        """Expected seconds of the tasks that a new job would wait for.

        Jobs for other workers don't count.  Past :data:`EXACT_JOBS` waiting
        jobs, those that would start later count as well.

        :param slots: slots of those workers.
        """
        level = self._levels[0 if job.urgent else 1]
        rank = level.rank_of(job.team, work)[1]
        if len(self._jobs) > EXACT_JOBS:
            rank = float('inf')
        before = sum(
            waiting.cost * waiting.count
            for waiting in self._jobs.values()
            if _starts_before(waiting, job.urgent, rank)
            and not waiting.pool.isdisjoint(pool)
        )
        if not before:
            return 0.0
        wait = (before + work) / max(slots, 1.0)
        return before + level.overtaking(job.team, rank, wait, now)

    def team_work(self, team: str) -> float:
        """Expected seconds of a team's waiting tasks."""
        return sum(
            waiting.cost * waiting.count
            for waiting in self._jobs.values()
            if waiting.job.team == team
        )

    def get(self, key: str) -> WaitingJob | None:
        """The job of a key, if tasks of it wait."""
        return self._jobs.get(key)

    def by_team(self) -> dict[str, int]:
        """Waiting tasks by team."""
        counts: dict[str, int] = {}
        for waiting in self._jobs.values():
            team = waiting.job.team
            counts[team] = counts.get(team, 0) + waiting.count
        return counts

    def requirements(self) -> set[placement.Requirement]:
        """Classes of the tasks that wait."""
        return {
            requirement
            for waiting in self._jobs.values()
            for requirement, group in waiting.groups.items()
            if group
        }

    def _level(self, waiting: WaitingJob) -> _Level:
        return self._levels[0 if waiting.job.urgent else 1]

    def _shrink(self, level: _Level, waiting: WaitingJob, by: int) -> None:
        level.count -= by
        if not waiting.count:
            self._jobs.pop(waiting.job.key, None)
        if not level.count:
            level.heaps.clear()
            level.latest.clear()
            level.forget_idle_teams()

    def _least(
        self,
        level: _Level,
        blocked: typing.Container[placement.Requirement],
        held_teams: typing.Container[str],
    ) -> tuple[WaitingJob, placement.Requirement] | None:
        best: _Ranked | None = None
        found: placement.Requirement | None = None
        for requirement in list(level.heaps):
            if requirement in blocked:
                continue
            head = _head(level.heaps, requirement, held_teams)
            if head is not None and (best is None or head < best):
                best = head
                found = requirement
        if best is None or found is None:
            return None
        return best[3], found


def _starts_before(waiting: WaitingJob, urgent: bool, rank: float) -> bool:
    if waiting.job.urgent != urgent:
        return waiting.job.urgent
    return waiting.rank <= rank


def _due(
    level: _Level,
    blocked: typing.Container[placement.Requirement],
    held_teams: typing.Container[str],
    now: float,
) -> tuple[WaitingJob, placement.Requirement] | None:
    """The job with the earliest latest start, if that has come."""
    latest = level.latest
    while latest and latest[0][0] <= now:
        _, _, order, waiting = latest[0]
        requirement = list(waiting.groups)[order]
        if not waiting.groups[requirement]:
            heapq.heappop(latest)
            continue
        if requirement in blocked or waiting.job.team in held_teams:
            return None
        return waiting, requirement
    return None


def _head(
    heaps: dict[placement.Requirement, list[_Ranked]],
    requirement: placement.Requirement,
    held_teams: typing.Container[str],
) -> _Ranked | None:
    """Least entry of a heap that has tasks; empty ones are thrown away."""
    heap = heaps[requirement]
    while heap and not heap[0][3].groups[requirement]:
        heapq.heappop(heap)
    if not heap:
        del heaps[requirement]
        return None
    if heap[0][3].job.team not in held_teams:
        return heap[0]
    return min(
        (
            entry
            for entry in heap
            if entry[3].groups[requirement]
            and entry[3].job.team not in held_teams
        ),
        default=None,
    )
