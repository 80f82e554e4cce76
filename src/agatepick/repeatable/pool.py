"""What an entry knows of each worker, and which one a task goes to.

Load pattern: workers differ in size and speed, some turn slow or fail what
they are given, and several entries fill the same ones.

An entry counts on the room that an agent told last, less what it has sent
there since.  A worker's cost, told by its agent, is compared with that of
the others: what is slow or fails everywhere is the jobs' own doing.  Costly
workers get nothing, or one task at a time to show that they have recovered.
"""

import collections
import dataclasses
import random
import statistics
import typing

from agatepick.net import messages
from agatepick.repeatable import leases
from agatepick.repeatable import payloads
from agatepick import types

FRESH_SECONDS = 0.43
"""Silence after which nothing is placed at an agent: two renewals missed.
A frozen or lost machine then gets nothing, long before its connection ends."""

AVOIDED_COST = 2.3
"""Cost, over the others' median, from which a worker gets nothing: a job may
take 1.6 times its work, so a task there is late wherever it stands."""

TRIED_COST = 1.8
"""Cost from which it gets one task at a time.  Below it are workers of a
slower kind, whose cost guesses of run times blur."""

COST_STEPS = 4.0
"""Steps of cost that are told apart when a worker is chosen: the slower kind
of sound workers is one step behind the others."""

ROOMY_TASKS = 2.5
"""A worker with room for fewer such tasks is nearly full, and another entry
may have taken the last place since the news of it came."""

TIGHT_STEPS = 2
"""How far a nearly full worker is put behind the others: entries that all
fill the fast workers to the last place meet there, and are refused."""

Key = tuple[types.JobKey, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """One run at a worker.

    :param run: its number: the task may have a later run elsewhere, which
        must not be taken for over when this one is.
    """

    run: int
    needs: types.Needs


@dataclasses.dataclass(slots=True)
class Worker:
    """One agent's worker, as this entry knows it.

    :ivar room: what its agent told last.
    :ivar free: room for more of this entry's runs.
    :ivar sent: room taken by start messages that ``room`` doesn't count.
    :ivar renewed_at: when this entry last renewed its lease there.
    :ivar placed: its runs there, by task.
    :ivar trip: seconds that the last renewal took, there and back.
    :ivar recent: payloads that its agent has.
    """

    name: types.PeerName
    incarnation: int
    zone: str
    rack: str
    connected: bool = True
    room: messages.Room | None = None
    free: types.Needs = types.Needs()
    sent: collections.deque[tuple[int, types.Needs]] = dataclasses.field(
        default_factory=collections.deque
    )
    number: int = 0
    renewed_at: float = 0.0
    trip: float = 0.0
    placed: dict[Key, Placed] = dataclasses.field(default_factory=dict)
    recent: payloads.Recent = dataclasses.field(
        default_factory=payloads.Recent
    )

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

    def bind(self, key: Key, run: int, needs: types.Needs) -> None:
        """A run goes there with the next start message."""
        self.placed[key] = Placed(run, needs)
        self.sent.append((self.number + 1, needs))
        self.free = self.free - needs

    def fill(self) -> None:
        """There is no room until the agent tells of some."""
        self.free = types.Needs()

    def take_room(self, room: messages.Room) -> None:
        """The agent told of its worker."""
        self.room = room
        while self.sent and self.sent[0][0] <= room.taken:
            self.sent.popleft()
        self.free = room.free
        for _, needs in self.sent:
            self.free = self.free - needs

    @property
    def pool(self) -> str:
        """Name of the workers that it belongs to; empty before it is told."""
        return self.room.pool if self.room is not None else ''

    @property
    def cost(self) -> float:
        """Expected time until a result, over that at a sound worker."""
        return self.room.cost if self.room is not None else 1.0


class Pool:
    """All workers that this entry knows."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.workers: dict[types.PeerName, Worker] = {}

    def __iter__(self) -> typing.Iterator[Worker]:
        return iter(self.workers.values())

    def __len__(self) -> int:
        return len(self.workers)

    def get(self, name: types.PeerName) -> Worker | None:
        """A worker by its agent's name."""
        return self.workers.get(name)

    def add(self, worker: Worker) -> None:
        """An agent connected for the first time in its life."""
        self.workers[worker.name] = worker

    def remove(self, name: types.PeerName) -> None:
        """An agent is gone for good."""
        del self.workers[name]

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

    def candidates(self, pool: str, label: str, now: float) -> 'Candidates':
        """Those that may take tasks of a pool in one round of placing."""
        return Candidates(self.usable(pool, label, now), self._rng)


class Candidates:
    """Workers that tasks of one kind may go to, in one round of placing.

    What is the same for all tasks of a round is worked out once.
    """

    def __init__(self, workers: list[Worker], rng: random.Random) -> None:
        self._rng = rng
        usual = usual_cost(workers)
        self.workers = [
            worker for worker in workers if _takes_work(worker, usual)
        ]
        self._tried = {
            worker.name for worker in workers if not sound(worker, usual)
        }

    def pick(
        self, needs: types.Needs, avoid: frozenset[types.PeerName]
    ) -> Worker | None:
        """The worker that a task goes to, or ``None`` if none has room."""
        best: Worker | None = None
        best_rank: tuple[int, float] | None = None
        for worker in self.workers:
            if needs.cpu > worker.free.cpu or not needs.fits(worker.free):
                continue
            if worker.name in avoid:
                continue
            if worker.placed and worker.name in self._tried:
                continue
            rank = self._rank(worker, needs)
            if best_rank is None or rank < best_rank:
                best, best_rank = worker, rank
        return best

    def _rank(self, worker: Worker, needs: types.Needs) -> tuple[int, float]:
        """Fast workers with some room to spare first, mostly the emptier."""
        assert worker.room is not None
        capacity = worker.room.capacity.cpu or 1.0
        emptiness = worker.free.cpu / capacity
        # Entries that all picked the emptiest would meet there.
        jitter = self._rng.random() * 0.3
        steps = int(worker.cost * COST_STEPS)
        if worker.free.cpu < ROOMY_TASKS * needs.cpu:
            steps += TIGHT_STEPS
        return steps, jitter - emptiness


def usual_cost(workers: list[Worker]) -> float:
    """The median cost, which all are compared with."""
    if not workers:
        return 1.0
    return statistics.median(worker.cost for worker in workers)


def sound(worker: Worker, usual: float) -> bool:
    """Whether a worker does about as well as the others."""
    return worker.cost < TRIED_COST * max(usual, 1.0)


def _takes_work(worker: Worker, usual: float) -> bool:
    if sound(worker, usual):
        return True
    if worker.cost >= AVOIDED_COST * max(usual, 1.0):
        return False
    return not worker.placed
