"""Workers as seen by an entry, and the choice of a worker for a task.

Load pattern: workers differ in size and speed, some become slow or fail their
tasks, and several entries place tasks on the same ones.

The free capacity of a worker is the value that its agent sent last, minus what
this entry has sent there since.  A worker's cost, sent by its agent, is
compared with that of the others: a job that is slow or fails on all workers is
itself the cause.  Workers with a high cost get no tasks, or one task at a
time, which shows whether they have recovered.
"""

import collections
import dataclasses
import math
import random
import statistics
import typing

from agatepick.net import messages
from agatepick.repeatable import leases
from agatepick.repeatable import payloads
from agatepick import types

MAX_RENEWAL_AGE_SECONDS = 0.43
"""Time since the last renewal after which an agent gets no more runs: two
renewals were missed.  A frozen or lost machine thus gets none, long before its
connection ends."""

EXCLUDED_COST = 2.3
"""Cost, relative to the median, from which a worker gets no tasks: a job may
take 1.6 times its work, so a task there is late in any case."""

PROBATION_COST = 1.8
"""Cost, relative to the median, from which a worker gets one task at a time.
Healthy workers of a slower type stay below it, although wrong run time
estimates make their cost vary."""

COST_STEPS_PER_UNIT = 4.0
"""Number of steps per unit of cost that are distinguished when a worker is
chosen: healthy workers of the slower type are one step behind the others."""

MIN_SPARE_TASKS = 2.5
"""Number of tasks like the one to be placed for which a worker must have free
cores, or it counts as nearly full: another entry may have taken its last slot
since the last update."""

NEARLY_FULL_STEPS = 2
"""Number of steps by which a nearly full worker is ranked lower: entries that
all fill the fast workers to the last slot would compete there and be
refused."""

MAX_ENDS = 12
"""Number of finished runs that are kept for a worker: about as many as it
runs at a time."""

EMPTINESS_JITTER = 0.3
"""Random part that is added to a worker's emptiness, a share of its cores."""

MAX_WIDE_PLACED = 64
"""Number of an entry's runs at a worker from which it gets no more tasks of
wide jobs: with hundreds of tiny runs its agent would have no processor time
for leases, and the worker no room for others."""

TaskKey = tuple[types.JobKey, int]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedRun:
    """One run at a worker.

    :param run: number of the run.  The task may have a later run elsewhere,
        which must not be ended together with this one.
    """

    run: int
    needs: types.Needs


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """One run that finished at a worker.

    :param seconds: its run time.
    :param expected_seconds: its expected time at a typical worker.
    :param has_siblings: whether that is the time of finished siblings.
    """

    job: types.JobKey
    step: int
    queue: str
    ended_at: float
    seconds: float
    expected_seconds: float
    has_siblings: bool


@dataclasses.dataclass(slots=True)
class Worker:
    """State of one agent and its worker, as seen by this entry.

    :ivar room: last capacity update of its agent.
    :ivar free: free capacity for this entry's runs.
    :ivar in_transit: capacity used by start messages that ``room`` doesn't
        include, each with the number of its message.
    :ivar last_start_number: number of the last start message.
    :ivar renewed_at: instant at which this entry last renewed the agent's
        lease.
    :ivar placed: this entry's runs at the worker, by task.
    :ivar round_trip_seconds: the shorter round trip of the last two renewals.
    :ivar last_trip_seconds: round trip of the last renewal.
    :ivar payload_cache: payloads that its agent has cached.
    :ivar ends: this entry's runs that finished there last.
    :ivar typical_slowness: slowness of the pool's typical worker, as agents
        measure it.
    :ivar prior_slowness: slowness, relative to the typical worker, while its
        agent knows none.
    """

    name: types.PeerName
    incarnation: int
    zone: str
    rack: str
    connected: bool = True
    room: messages.Room | None = None
    free: types.Needs = types.Needs()
    in_transit: collections.deque[tuple[int, types.Needs]] = dataclasses.field(
        default_factory=collections.deque
    )
    last_start_number: int = 0
    renewed_at: float = 0.0
    round_trip_seconds: float = 0.0
    last_trip_seconds: float = 0.0
    placed: dict[TaskKey, PlacedRun] = dataclasses.field(default_factory=dict)
    payload_cache: payloads.PayloadCache = dataclasses.field(
        default_factory=payloads.PayloadCache
    )
    ends: collections.deque[EndedRun] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_ENDS)
    )
    typical_slowness: float = 1.0
    prior_slowness: float = 1.0

    def is_usable(self, now: float) -> bool:
        """Return whether runs may be sent to the worker."""
        return (
            self.connected
            and self.room is not None
            and self.room.open
            and now <= self.renewed_at + MAX_RENEWAL_AGE_SECONDS
        )

    def record_round_trip(self, seconds: float) -> None:
        """Record the round trip of a renewal.

        A process that once stood still for a moment has one long trip, which
        is over when its entry hears of it; a saturated one has many.
        """
        self.round_trip_seconds = min(seconds, self.last_trip_seconds)
        self.last_trip_seconds = seconds

    def lease_expired(self, now: float) -> bool:
        """Return whether no run of this entry can be left at the worker."""
        return now > self.renewed_at + leases.EXPIRY_SECONDS

    def reserve(self, key: TaskKey, run: int, needs: types.Needs) -> None:
        """Reserve capacity for a run in the next start message."""
        self.placed[key] = PlacedRun(run, needs)
        self.in_transit.append((self.last_start_number + 1, needs))
        self.free = self.free - needs

    @property
    def is_crowded(self) -> bool:
        """Whether it gets no more tasks of wide jobs."""
        return len(self.placed) >= MAX_WIDE_PLACED

    def mark_full(self) -> None:
        """Set the free capacity to zero until the agent's next update."""
        self.free = types.Needs()

    def drop_start(self, number: int) -> None:
        """Drop a start message that was never sent.

        Its capacity is free with the next update.  The payloads that it
        contained aren't at the agent.
        """
        self.in_transit = collections.deque(
            item for item in self.in_transit if item[0] != number
        )
        self.payload_cache.clear()

    def update_room(self, room: messages.Room) -> None:
        """Apply a capacity update of the agent."""
        self.room = room
        while self.in_transit and self.in_transit[0][0] <= room.taken:
            self.in_transit.popleft()
        self.free = room.free
        for _, needs in self.in_transit:
            self.free = self.free - needs

    @property
    def pool(self) -> str:
        """Name of the worker's pool; empty before the first update."""
        return self.room.pool if self.room is not None else ''

    @property
    def cost(self) -> float:
        """Expected time until a result, relative to when it is healthy.

        Before a worker's usual slowness is known its agent compares it with
        the typical worker.
        """
        room = self.room
        if room is None:
            return 1.0
        if room.slowness or self.prior_slowness <= 1.0:
            return room.cost
        return max(1.0, room.cost / self.prior_slowness)

    @property
    def slowness(self) -> float:
        """Usual run time, relative to the typical worker of its pool."""
        room = self.room
        if room is None or not room.slowness:
            return self.prior_slowness
        return room.slowness / self.typical_slowness


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Time that a task needs and has.

    :param expected_seconds: expected run time at the typical worker.
    :param seconds_left: time until the task should have ended.
    """

    expected_seconds: float
    seconds_left: float


class Pool:
    """All workers whose agents are connected or were recently.

    :param make_candidates: makes the candidates of a placement round; by
        default their usual speeds don't matter.
    """

    def __init__(
        self,
        rng: random.Random,
        make_candidates: typing.Callable[
            [list[Worker], random.Random], 'Candidates'
        ]
        | None = None,
    ):
        self._rng = rng
        self._make_candidates = make_candidates or Candidates
        self.workers: dict[types.PeerName, Worker] = {}

    def __iter__(self) -> typing.Iterator[Worker]:
        return iter(self.workers.values())

    def __len__(self) -> int:
        return len(self.workers)

    def get(self, name: types.PeerName) -> Worker | None:
        """Return a worker by its agent's name."""
        return self.workers.get(name)

    def add(self, worker: Worker) -> None:
        """Add the worker of a new agent incarnation."""
        self.workers[worker.name] = worker

    def remove(self, name: types.PeerName) -> None:
        """Remove the worker of an agent that has gone."""
        del self.workers[name]

    def usable_workers(
        self, pool: str, label: str, now: float
    ) -> list[Worker]:
        """Return the workers to which a task of a pool may be sent now."""
        return [
            worker
            for worker in self.workers.values()
            if worker.is_usable(now)
            and worker.room is not None
            and worker.room.pool == pool
            and (not label or label in worker.room.labels)
        ]

    def candidates(self, pool: str, label: str, now: float) -> 'Candidates':
        """Return the candidates for tasks of a pool in one placement round."""
        workers = self.usable_workers(pool, label, now)
        return self._make_candidates(workers, self._rng)


class Candidates:
    """Workers for tasks of one pool and label, in one placement round.

    Values that are the same for all tasks of a round are computed once.

    :ivar weighs_time: whether it matters which time a task needs and has.
    :ivar held_back: whether the last task was not placed although a worker
        had room for it.
    """

    def __init__(self, workers: list[Worker], rng: random.Random) -> None:
        self._rng = rng
        self.weighs_time = False
        self.held_back = False
        median = compute_median_cost(workers)
        self.workers = [
            worker for worker in workers if _accepts_work(worker, median)
        ]
        self._on_probation = {
            worker.name for worker in workers if not is_healthy(worker, median)
        }

    def compute_limit(
        self,
        needs: types.Needs,
        agents_to_avoid: frozenset[types.PeerName],
        demand: Demand | None,
    ) -> float:
        """Return the slowness up to which workers are suitable for a task."""
        return math.inf

    def pick(
        self,
        needs: types.Needs,
        agents_to_avoid: frozenset[types.PeerName],
        demand: Demand | None = None,
    ) -> Worker | None:
        """Return the worker for a task, or ``None`` if none has capacity.

        :param demand: time that the task needs and has, if that is known.
        """
        best: Worker | None = None
        best_rank: tuple[int, float] | None = None
        for worker in self.workers:
            if needs.cpu > worker.free.cpu or not needs.fits(worker.free):
                continue
            if worker.name in agents_to_avoid:
                continue
            if not self._takes_more(worker):
                continue
            rank = self._rank(worker, needs)
            if best_rank is None or rank < best_rank:
                best, best_rank = worker, rank
        return best

    def _takes_more(self, worker: Worker) -> bool:
        return not worker.placed or worker.name not in self._on_probation

    def pick_emptiest(
        self,
        needs: types.Needs,
        agents_to_avoid: frozenset[types.PeerName],
        occupied: frozenset[types.PeerName],
    ) -> Worker | None:
        """Return the worker with the fewest cores in use, or ``None``.

        :param agents_to_avoid: agents to use only if no other one fits.
        :param occupied: agents not to use.
        """
        fitting = [
            worker
            for worker in self.workers
            if worker.name not in occupied and needs.fits(worker.free)
        ]
        return min(
            fitting,
            key=lambda worker: (
                worker.name in agents_to_avoid,
                _count_used_cores(worker),
                self._rng.random(),
            ),
            default=None,
        )

    def _rank(self, worker: Worker, needs: types.Needs) -> tuple[int, float]:
        """Return the sort key of a candidate, the lowest for the best.

        Fast workers that aren't nearly full come first, then emptier ones.
        """
        assert worker.room is not None
        capacity = worker.room.capacity.cpu or 1.0
        emptiness = worker.free.cpu / capacity
        # Without jitter all entries would pick the same emptiest worker.
        jitter = self._rng.random() * EMPTINESS_JITTER
        steps = int(worker.cost * COST_STEPS_PER_UNIT)
        if worker.free.cpu < MIN_SPARE_TASKS * needs.cpu:
            steps += NEARLY_FULL_STEPS
        return steps, jitter - emptiness


def _count_used_cores(worker: Worker) -> float:
    capacity = worker.room.capacity.cpu if worker.room is not None else 0.0
    return capacity - worker.free.cpu


def compute_median_cost(workers: list[Worker]) -> float:
    """Return the median cost, to which each worker's cost is compared."""
    if not workers:
        return 1.0
    return statistics.median(worker.cost for worker in workers)


def is_healthy(worker: Worker, median: float) -> bool:
    """Return whether a worker's cost is close to that of the others."""
    return worker.cost < PROBATION_COST * max(median, 1.0)


def _accepts_work(worker: Worker, median: float) -> bool:
    if is_healthy(worker, median):
        return True
    if worker.cost >= EXCLUDED_COST * max(median, 1.0):
        return False
    return not worker.placed
