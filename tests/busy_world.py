"""Simulation under load: jobs of three queues, and their callers' results.

The reducers, links and leases are those of :mod:`tests.repeatable_world`; here
workers differ in size and speed, tasks in cores and run time, and callers' run
time estimates are wrong by a factor in either direction.
"""

import collections
import dataclasses
import math
import random

from agatepick import core
from agatepick.net import codec
from agatepick.repeatable import events
from agatepick.repeatable import jobs
from agatepick.repeatable import routes
from agatepick.repeatable import workerapi
from agatepick import types
from tests import repeatable_world

STRETCH = 1.6
TARGET_SECONDS = 0.06
LATE_FACTOR = 3.0
"""Multiple of the objective up to which a late answer still has some value."""

LATE_WORTH = 0.2
"""Share of a job's value that such a late answer has."""

SLOW_FACTOR = 1.3
"""Factor on run times at a slow worker."""


@dataclasses.dataclass(frozen=True)
class Queue:
    """Jobs of one kind.

    :param share: share of all jobs.
    :param width: mean number of tasks of a job.
    :param seconds: mean run time of a task at a fast worker.
    :param worth: value of one job of mean size that is answered in time.
    :param payload: bytes of the payload that each task of a job receives.
    """

    name: str
    share: float
    width: float
    seconds: float
    worth: float
    priority: int
    payload: int

    @property
    def route(self):
        return routes.Route(
            self.name,
            'host',
            f'/{self.name}/',
            'pool',
            priority=self.priority,
            stretch=STRETCH,
            target_seconds=TARGET_SECONDS,
        )


QUEUES = (
    Queue('wide', 0.245, 8, 0.12, 0.0291, 0, 1000),
    Queue('long', 0.044, 4, 1.8, 0.16, 2, 2400),
    Queue('quick', 0.711, 2, 0.4, 0.01, 1, 300),
)
CORES = 3.1
"""Mean cores of a task."""


def _mix(*shares):
    """Return the same queues with other shares of all jobs."""
    return tuple(
        dataclasses.replace(queue, share=share)
        for queue, share in zip(QUEUES, shares, strict=True)
    )


MOSTLY_WIDE = _mix(0.7, 0.03, 0.27)
MOSTLY_LONG = _mix(0.1, 0.6, 0.3)

CALLER_SECONDS = 0.0005
"""Time that a whole processor takes to read and answer a caller's request."""

MESSAGE_SECONDS = 0.00005
"""Time that a whole processor takes to send or receive a message.

Any other event that a process handles takes as long.
"""

WORKER_CALL_SECONDS = 0.0001
"""Time that a whole processor takes for an agent's request to its worker."""

FRAME_BYTES = 70
"""Bytes that a message takes on a link in addition to its encoded size."""


@dataclasses.dataclass
class Caller:
    """A caller that submits one job, and the answer that it gets.

    :ivar objective: seconds from the job's submission within which its answer
        is in time.
    :ivar seconds: seconds from the job's submission to its answer.
    """

    queue: Queue
    spec: jobs.Job
    sent_at: float
    objective: float
    worth: float
    answer: jobs.Answer | None = None
    seconds: float = math.inf

    @property
    def done(self):
        answer = self.answer
        return answer and answer.verdict is jobs.Verdict.COMPLETE

    @property
    def in_time(self):
        return self.done and self.seconds <= self.objective

    @property
    def earned(self):
        if self.in_time:
            return self.worth
        if self.done and self.seconds <= LATE_FACTOR * self.objective:
            return LATE_WORTH * self.worth
        return 0.0


class Worker(repeatable_world.Worker):
    """A worker with its own size and speed."""

    def __init__(self, world, name, cores, slowness):
        super().__init__(world, name)
        self.capacity = types.Needs(cores, 65536, 0)
        self.slowness = slowness

    def has_room(self, name):
        needs = self.world.tasks[name].needs.cpu
        used = sum(self.world.tasks[task].needs.cpu for task in self.runs)
        return used + needs <= self.capacity.cpu + 1e-6


class BusyWorld(repeatable_world.World):
    """Entries, agents, workers of two sizes, and callers that submit jobs.

    :param cores: mean cores of a task.
    :param sizes: cores of a fast and of a slow worker.
    :param link: bytes per second that an entry's link carries.
    :param listed: whether agents get a list of the entries and choose those
        that they serve; otherwise each is connected to every entry.
    :param queues: kinds of jobs that arrive.
    :param processor: share of a processor that each process has; infinite for
        events that take no time.
    :param speeds: slowness of the workers, in turn; by default every third
        one is slow.
    :param tail: share of tasks that take far longer than their siblings, and
        the factor on their run time.
    :param switches: optional decisions; by default all are off.
    :ivar callers: all callers so far, by job.
    :ivar starts: number of starts that agents sent to workers.
    :ivar refused_starts: number of starts that agents refused for lack of
        capacity.
    """

    def __init__(
        self,
        seed=0,
        entries=3,
        agents=11,
        cores=CORES,
        sizes=(32.0, 48.0),
        link=math.inf,
        listed=False,
        queues=QUEUES,
        processor=math.inf,
        speeds=(1.0, 1.0, SLOW_FACTOR),
        tail=(0.0, 1.0),
        switches=None,
    ):
        self.queues = queues
        self.processor = processor
        self.busy_until = collections.defaultdict(float)
        self.event_queues = collections.defaultdict(collections.deque)
        self.task_cores = cores
        self.sizes = sizes
        self.speeds = speeds
        self.tail = tail
        self.link = link
        self.link_free_at = {}
        self.tasks = {}
        self.callers = {}
        self.true_seconds = {}
        self.starts = 0
        self.refused_starts = 0
        self.messages = 0
        self.load_rng = random.Random(seed)
        super().__init__(entries, agents, seed, listed, switches)

    def _make_worker(self, index):
        slow = index % 3 == 2
        return Worker(
            self,
            f'w-{index}',
            self.sizes[slow],
            self.speeds[index % len(self.speeds)],
        )

    def start(self, name):
        super().start(name)
        if name not in self.workers:
            table = tuple(queue.route for queue in self.queues)
            self.feed(name, events.RoutesRead(routes.RouteTable(2, table)))

    @property
    def cores(self):
        """Capacity of all workers, in cores of a fast worker.

        A slow worker's cores count for less, as its runs take longer.
        """
        return sum(
            worker.capacity.cpu / worker.slowness
            for worker in self.workers.values()
        )

    def load(self, share, seconds, queues=None):
        """Submit jobs that fill a share of the workers for some seconds.

        :param queues: kinds of these jobs; by default all.
        """
        queues = queues or self.queues
        # Mean seconds for which all tasks of a job run at fast workers.
        seconds_a_job = sum(
            queue.share * queue.width * queue.seconds for queue in queues
        ) / sum(queue.share for queue in queues)
        seconds_a_job *= 1.0 + self.tail[0] * (self.tail[1] - 1.0)
        rate = share * self.cores / (seconds_a_job * self.task_cores)
        at = self.load_rng.expovariate(rate)
        while at < seconds:
            self.schedule(at, self._submit_any, queues)
            at += self.load_rng.expovariate(rate)

    def _submit_any(self, queues):
        rng = self.load_rng
        shares = [queue.share for queue in queues]
        self.submit_random(rng.choices(queues, shares)[0])

    def submit_random(self, queue):
        """Submit the job of one caller."""
        rng = self.load_rng
        key = f'{len(self.callers):016x}'
        width = max(1, round(queue.width * rng.lognormvariate(-0.08, 0.4)))
        mean = queue.seconds * rng.lognormvariate(-0.08, 0.4)
        estimate = mean * rng.lognormvariate(0.0, 0.4)
        cpu = self.task_cores * rng.uniform(0.8, 1.2)
        tasks = tuple(
            jobs.Task(f'{key}.{index}', 0, types.Needs(cpu, 64, 0), estimate)
            for index in range(width)
        )
        for task in tasks:
            self.tasks[task.name] = task
            self.true_seconds[task.name] = mean * rng.uniform(0.85, 1.15)
            if self.tail[0] and rng.random() < self.tail[0]:
                self.true_seconds[task.name] *= self.tail[1]
        longest = max(self.true_seconds[task.name] for task in tasks)
        work = width * mean / (queue.width * queue.seconds)
        spec = jobs.Job(
            key,
            queue.route,
            bytes(queue.payload),
            tasks,
            (frozenset(),),
            self.now + 15.0,
        )
        self.callers[key] = Caller(
            queue,
            spec,
            self.now,
            STRETCH * longest + TARGET_SECONDS,
            queue.worth * (0.3 + 0.7 * min(work, 4.0)),
        )
        self.submit(spec)

    def delay(self, node, message):
        seconds = super().delay(node, message)
        if node.name in self.workers or math.isinf(self.link):
            return seconds
        # All messages of a machine pass its single link, in order.
        size = len(codec.encode(message)) + FRAME_BYTES
        free_at = max(self.now, self.link_free_at.get(node.name, 0.0))
        self.link_free_at[node.name] = free_at + size / self.link
        return seconds + self.link_free_at[node.name] - self.now

    def feed(self, name, event):
        # A process handles one event at a time.
        if not self.event_queues[name] and self.now >= self.busy_until[name]:
            self._handle(name, event)
            return
        self.event_queues[name].append(event)
        if len(self.event_queues[name]) == 1:
            self._schedule_next(name)

    def _schedule_next(self, name):
        seconds = max(0.0, self.busy_until[name] - self.now)
        self.schedule(seconds, self._handle_next, name)

    def _handle_next(self, name):
        self._handle(name, self.event_queues[name].popleft())
        if self.event_queues[name]:
            self._schedule_next(name)

    def _handle(self, name, event):
        caller = isinstance(event, events.JobArrived)
        self._spend(name, CALLER_SECONDS if caller else MESSAGE_SECONDS)
        super().feed(name, event)

    def _spend(self, name, seconds):
        since = max(self.now, self.busy_until[name])
        self.busy_until[name] = since + seconds / self.processor

    def get_run_seconds(self, task):
        return self.true_seconds[task]

    def compute_earned_share(self, since=0.0, until=math.inf):
        """Return the share of the callers' total value that was earned.

        :param since: submission time of the first callers counted, in seconds.
        :param until: end of the submission time, in seconds.
        """
        callers = [
            caller
            for caller in self.callers.values()
            if since <= caller.sent_at - repeatable_world.START < until
        ]
        total = sum(caller.worth for caller in callers)
        return sum(caller.earned for caller in callers) / total

    def _apply(self, node, effect):
        if isinstance(effect, core.Send):
            self.messages += 1
            self._spend(node.name, MESSAGE_SECONDS)
        if isinstance(effect, workerapi.StartRun | workerapi.RequestLists):
            self._spend(node.name, WORKER_CALL_SECONDS)
        if isinstance(effect, core.Note) and effect.name == 'run_refused':
            self.refused_starts += ('reason', 'room') in effect.fields
        if isinstance(effect, workerapi.StartRun):
            self.starts += 1
        super()._apply(node, effect)

    def _reply(self, node, effect):
        waiting = self.waiting.get(effect.call)
        super()._reply(node, effect)
        if waiting and waiting[1].key in self.answers:
            caller = self.callers[waiting[1].key]
            caller.answer = effect.answer
            caller.seconds = self.now - caller.sent_at
