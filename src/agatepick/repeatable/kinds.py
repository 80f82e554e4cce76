"""Speeds of an entry's workers, relative to the typical worker of their pool.

Load pattern: workers of several kinds, and new ones at any time.  Without a
prior a new worker of a slow kind gets tasks that can't end in time there until
its agent has seen enough runs.

The typical worker has the mean of the logarithms of all known slownesses,
weighted by cores.  What agents send is divided by it: agents compare run times
with those that entries expect, and entries learn the latter from the former,
so without this reference a common factor could drift.

A worker whose agent knows no slowness yet gets the median of the workers that
share a label with it.  Labels hold the worker's kind beside its rack and more,
without saying which is which; the label is taken whose workers agree best.
"""

import collections
import math
import statistics
import typing

from agatepick.net import messages
from agatepick.repeatable import pool

SLOW = 1.15
"""Slowness from which a worker is shown as slow: beyond what the estimates of
equal workers differ by."""

MIN_PEERS = 3
"""Number of workers with a label from which it may serve as a prior."""

SPREAD_FLOOR = 0.05
"""Spread of the logarithms below which workers count as equally fast: as much
as the estimates of equal workers differ.  It makes a label of many workers win
against one of few that agree by chance."""


class RelativeSpeeds:
    """Keeper of the typical and prior slownesses in a pool of workers."""

    def __init__(self, workers: pool.Pool) -> None:
        self._pool = workers

    def update(self) -> None:
        """Recompute the relative slownesses of all workers."""
        by_pool: dict[str, list[pool.Worker]] = collections.defaultdict(list)
        for worker in self._pool:
            if worker.room is not None and worker.room.pool:
                by_pool[worker.room.pool].append(worker)
        for workers in by_pool.values():
            _update_pool(workers)


def _update_pool(workers: list[pool.Worker]) -> None:
    known = [worker for worker in workers if _get_sent(worker)]
    typical = compute_typical(known)
    logs_by_label: dict[str, list[float]] = collections.defaultdict(list)
    for worker in known:
        assert worker.room is not None
        log = math.log(worker.room.slowness / typical)
        for label in worker.room.labels:
            logs_by_label[label].append(log)
    for worker in workers:
        assert worker.room is not None
        worker.typical_slowness = typical
        if not _get_sent(worker):
            worker.prior_slowness = compute_prior(
                [logs_by_label.get(label, []) for label in worker.room.labels]
            )


def compute_typical(workers: typing.Sequence[pool.Worker]) -> float:
    """Return the slowness of the typical worker, as agents measure it."""
    logs, weights = 0.0, 0.0
    for worker in workers:
        assert worker.room is not None
        cores = worker.room.capacity.cpu
        logs += cores * math.log(worker.room.slowness)
        weights += cores
    return math.exp(logs / weights) if weights else 1.0


def compute_prior(logs_by_label: list[list[float]]) -> float:
    """Return the relative slowness of a worker without an estimate.

    :param logs_by_label: logarithms of the relative slownesses of its peers,
        for each of its labels.
    """
    usable = [logs for logs in logs_by_label if len(logs) >= MIN_PEERS]
    if not usable:
        return 1.0
    best = usable[0]
    for logs in usable[1:]:
        if _compute_error(logs) < _compute_error(best):
            best = logs
    return math.exp(statistics.median(best))


def _compute_error(logs: list[float]) -> float:
    spread = statistics.pstdev(logs) + SPREAD_FLOOR
    return spread / math.sqrt(len(logs))


def _get_sent(worker: pool.Worker) -> float:
    return worker.room.slowness if worker.room is not None else 0.0


def is_slow(worker: pool.Worker) -> bool:
    """Return whether a worker is of a slower kind than the typical one."""
    return worker.slowness >= SLOW


def affects_speeds(former: messages.Room | None, room: messages.Room) -> bool:
    """Return whether a capacity update changes what the speeds rest on."""
    if former is None:
        return True
    return (
        former.slowness != room.slowness
        or former.capacity != room.capacity
        or former.labels != room.labels
        or former.pool != room.pool
    )
