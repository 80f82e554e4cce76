"""Requests for capacity that agents receive for tasks without any.

Load pattern: more tasks than fit, of which some would be late on slow workers.
A worker is asked only for tasks that it suits: it would reserve capacity for
others in vain.
"""

import bisect
import dataclasses
import functools
import itertools
import operator
import typing

from agatepick.net import messages
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool
from agatepick import types

REPEAT_SECONDS = 0.25
"""Pause before an entry repeats its capacity request; agents drop a request
after four times that."""

URGENCY_CHANGE_SECONDS = 0.05
"""Time by which the latest start of the most urgent task must be earlier than
in the last capacity request for another request to be sent at once: short wide
jobs have a slack of 0.13 s in all."""

MIN_INTERVAL_SECONDS = 0.03
"""Shortest pause between two capacity requests to a pool."""

FitsAny = typing.Callable[[types.Needs], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Waiting tasks for which no suitable worker has capacity.

    :param least: needs of the smallest task that fits an empty worker, or of
        the smallest one if none does: agents grant no capacity in which this
        task doesn't fit.
    :param least_rank: sort key of that task.
    :param latest_start: latest start of the most urgent job.
    :param max_slowness: slowness up to which workers are suitable.
    """

    task_count: int
    least: types.Needs
    least_rank: tuple[bool, float]
    total: types.Needs
    latest_start: float
    max_slowness: float

    @classmethod
    def from_job(
        cls,
        job: owned_jobs.OwnedJob,
        indexes: list[int],
        max_slowness: float,
        fits_any: FitsAny,
    ) -> 'Demand':
        """Return the demand of tasks of one job.

        :param fits_any: returns whether some worker is large enough.
        """
        # Tasks of a step share their needs.
        all_needs = [job.spec.tasks[index].needs for index in indexes]
        demands = []
        for needs, tasks in itertools.groupby(all_needs):
            count = sum(1 for _ in tasks)
            demands.append(
                cls(
                    count,
                    needs,
                    (not fits_any(needs), needs.cpu),
                    needs.times(count),
                    job.urgent_from,
                    max_slowness,
                )
            )
        return functools.reduce(cls.merge, demands)

    def merge(self, other: 'Demand') -> 'Demand':
        """Return the demand of both; workers that suit one are suitable."""
        smallest = min(self, other, key=operator.attrgetter('least_rank'))
        return Demand(
            self.task_count + other.task_count,
            smallest.least,
            smallest.least_rank,
            self.total + other.total,
            min(self.latest_start, other.latest_start),
            max(self.max_slowness, other.max_slowness),
        )

    def make_want(self, now: float) -> messages.Want:
        """Return the request for capacity."""
        return messages.Want(
            self.task_count, self.least, self.latest_start - now, self.total
        )


class Wants:
    """Capacity requests to the agents of one pool.

    :param demands: demand of each job without capacity; at least one.
    :ivar slack: seconds until the latest start of the most urgent task.
    """

    def __init__(self, demands: list[Demand], now: float) -> None:
        by_slowness = sorted(
            demands, key=operator.attrgetter('max_slowness'), reverse=True
        )
        self._limits = [-demand.max_slowness for demand in by_slowness]
        self._sums = list(itertools.accumulate(by_slowness, Demand.merge))
        self._now = now
        self.slack = self._sums[-1].latest_start - now

    def get(self, worker: pool.Worker) -> messages.Want:
        """Return the request to a worker's agent."""
        count = bisect.bisect_right(self._limits, -worker.slowness)
        if not count:
            return messages.NO_WANT
        return self._sums[count - 1].make_want(self._now)


@dataclasses.dataclass(frozen=True, slots=True)
class LastWant:
    """Last capacity request that a pool's agents received.

    :param sent_at: instant at which it was sent.
    :param latest_start: latest start of the most urgent task; infinite once
        no task waits.
    """

    sent_at: float
    latest_start: float

    def is_due(self, latest_start: float, now: float) -> bool:
        """Return whether to send a request again.

        :param latest_start: latest start of the most urgent task that waits
            now.
        """
        if now >= self.sent_at + REPEAT_SECONDS:
            return True
        more_urgent = latest_start < self.latest_start - URGENCY_CHANGE_SECONDS
        return more_urgent and now >= self.sent_at + MIN_INTERVAL_SECONDS
