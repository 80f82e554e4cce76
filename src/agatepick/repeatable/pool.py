"""What an entry knows of each worker, and which one a task goes to.

Load pattern: workers differ in size and speed, some turn slow or fail what
they are given, and several entries fill the same ones.  Without a memory of
how workers did, a slow one is always free and gets the most work.

An entry counts on the room that an agent told last, less what it has sent
there since.  A worker's slowness is a moving average of run times over
expected ones; a run that goes on for longer than expected counts at once, as
a worker that stands still ends nothing that could be counted.  Slow and
failing workers come last, and get a task now and then to show that they have
recovered.
"""

import collections
import dataclasses
import math
import random
import typing

from agatepick import messages
from agatepick import outliers
from agatepick.repeatable import leases
from agatepick import types

FRESH_SECONDS = 0.3
"""Silence after which nothing is placed at an agent: two renewals missed.
A frozen or lost machine then gets nothing, long before its connection ends."""

SLOWNESS_WEIGHT = 0.15
"""Weight of one run time in the moving average: of 10 runs at once, seven
ends in a row move it two thirds of the way."""

RECOVERY_SECONDS = 4.0
"""Time constant with which a slow worker's record fades: one that is tried
again in vain costs one task then, one that has recovered is of use soon."""

SLOW = 1.9
"""Slowness from which a worker is a last resort: a job may take 1.6 times
its work, so a task there is late wherever it stands in its job."""

MAX_EJECTED_SHARE = 0.34
"""Most workers that are avoided for failures at a time; the rest carries
the load.  A rack or a zone of four may fail together."""

MAX_SLOWNESS = 12.0

Key = tuple[types.JobKey, int]


@dataclasses.dataclass(slots=True)
class Worker:
    """One agent's worker, as this entry knows it.

    :ivar room: what its agent told last.
    :ivar sent: room taken by start messages that ``room`` doesn't count.
    :ivar renewed_at: when this entry last renewed its lease there.
    :ivar placed: its runs there: key and needs.
    """

    name: types.PeerName
    incarnation: int
    zone: str
    rack: str
    connected: bool = True
    room: messages.Room | None = None
    sent: collections.deque[tuple[int, types.Needs]] = dataclasses.field(
        default_factory=collections.deque
    )
    number: int = 0
    renewed_at: float = 0.0
    slowness: float = 1.0
    slowness_at: float = 0.0
    placed: dict[Key, types.Needs] = dataclasses.field(default_factory=dict)
    probing: Key | None = None

    def free(self) -> types.Needs:
        """Room for more of this entry's runs."""
        if self.room is None:
            return types.Needs()
        free = self.room.free
        for _, needs in self.sent:
            free = free - needs
        return free

    def usable(self, now: float) -> bool:
        """Whether runs may be sent there."""
        return (
            self.connected
            and self.room is not None
            and self.room.open
            and now <= self.renewed_at + FRESH_SECONDS
        )

    def over(self, now: float) -> bool:
        """Whether nothing of this entry runs there any more, for sure."""
        return now > self.renewed_at + leases.OVER_SECONDS

    def take_room(self, room: messages.Room) -> None:
        """The agent told of its worker."""
        self.room = room
        while self.sent and self.sent[0][0] <= room.taken:
            self.sent.popleft()

    def slow_now(self, now: float) -> float:
        """Slowness, faded by the time since it was last seen."""
        faded = max(0.0, now - self.slowness_at) / RECOVERY_SECONDS
        if self.placed:
            faded = 0.0
        return 1.0 + (self.slowness - 1.0) * math.exp(-faded)

    def took(self, ratio: float, now: float) -> None:
        """A run took ``ratio`` times the expected time."""
        slow = self.slow_now(now)
        slow += SLOWNESS_WEIGHT * (min(ratio, MAX_SLOWNESS) - slow)
        self.slowness, self.slowness_at = slow, now

    def takes(self, ratio: float, now: float) -> None:
        """A run goes on for ``ratio`` times the expected time so far."""
        if ratio > self.slow_now(now):
            self.slowness = min(ratio, MAX_SLOWNESS)
            self.slowness_at = now


class Pool:
    """All workers that this entry knows."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._outliers = outliers.Outliers(MAX_EJECTED_SHARE)
        self.workers: dict[types.PeerName, Worker] = {}

    def __iter__(self) -> typing.Iterator[Worker]:
        return iter(self.workers.values())

    def get(self, name: types.PeerName) -> Worker | None:
        """A worker by its agent's name."""
        return self.workers.get(name)

    def add(self, worker: Worker) -> None:
        """An agent connected for the first time in its life."""
        self.workers[worker.name] = worker
        self._outliers.add(worker.name)

    def remove(self, name: types.PeerName) -> None:
        """An agent is gone for good."""
        del self.workers[name]
        self._outliers.forget(name)

    def ended(self, worker: Worker, ok: bool, now: float) -> bool:
        """A run ended; whether the worker's standing changed by it."""
        return self._outliers.record(worker.name, ok, now)

    def standing(self, worker: Worker) -> outliers.Standing:
        """Whether a worker is avoided for its failures."""
        return self._outliers.standing(worker.name)

    def advance(self, now: float) -> None:
        """Try ejected workers again whose time has run out."""
        self._outliers.advance(now)

    def usable(self, pool: str, label: str, now: float) -> list[Worker]:
        """Workers to which a task of a pool may go now."""
        return [
            worker
            for worker in self.workers.values()
            if worker.usable(now)
            and worker.room is not None
            and worker.room.pool == pool
            and (not label or label in worker.room.labels)
        ]

    def pick(
        self,
        candidates: list[Worker],
        needs: types.Needs,
        avoid: frozenset[types.PeerName],
        now: float,
    ) -> Worker | None:
        """The worker that a task goes to, or ``None`` if none has room."""
        fitting = [
            worker
            for worker in candidates
            if worker.name not in avoid and needs.fits(worker.free())
        ]
        best: Worker | None = None
        best_rank: tuple[int, float] | None = None
        for worker in fitting:
            if not self._takes_work(worker, now):
                continue
            rank = self._rank(worker, now)
            if best_rank is None or rank < best_rank:
                best, best_rank = worker, rank
        return best

    def _takes_work(self, worker: Worker, now: float) -> bool:
        standing = self.standing(worker)
        if standing is outliers.Standing.EJECTED:
            return False
        slow = worker.slow_now(now) >= SLOW
        if slow or standing is outliers.Standing.TRIAL:
            # One task shows whether it has recovered.
            return not worker.placed
        return True

    def _rank(self, worker: Worker, now: float) -> tuple[int, float]:
        """Fast workers first; of alike ones, mostly the emptier."""
        assert worker.room is not None
        capacity = worker.room.capacity.cpu or 1.0
        emptiness = worker.free().cpu / capacity
        # Entries that all picked the emptiest would meet there.
        jitter = self._rng.random() * 0.3
        return int(worker.slow_now(now) * 4.0), jitter - emptiness
