"""Simulation of workers that don't guard their capacity while it changes."""

from agatepick.repeatable import policies
from agatepick.repeatable import workerapi
from agatepick import types
from tests import busy_world

BEAT_SECONDS = 1.5

GUARD = policies.Policies(capacity_guard=True)


class Worker(busy_world.Worker):
    """A worker that takes every start, however full it is.

    :ivar guards: whether it refuses what doesn't fit, as other workers do.
    :ivar announced: capacity in its last announcement.
    :ivar over_starts: instants of starts beyond that capacity.
    """

    guards = False

    def __init__(self, world, name, cores, slowness):
        super().__init__(world, name, cores, slowness)
        self.full = self.capacity
        self.announced = self.capacity
        self.over_starts = []

    def resize(self, share):
        """Change the capacity to a share of the usual one."""
        self.capacity = types.Needs(
            self.full.cpu * share, int(self.full.memory_mb * share), 0
        )

    def has_room(self, name):
        if self.guards:
            return super().has_room(name)
        used = sum(self.world.tasks[task].needs.cpu for task in self.runs)
        used += self.world.tasks[name].needs.cpu
        if used > self.announced.cpu + 1e-6:
            self.over_starts.append(self.world.now)
        return True


class ShrinkingWorld(busy_world.BusyWorld):
    """Entries, agents and unguarded workers that shrink and grow."""

    def _make_worker(self, index):
        worker = super()._make_worker(index)
        return Worker(self, worker.name, worker.capacity.cpu, worker.slowness)

    def resize(self, share, names=None):
        """Change the capacity of all workers, or of some."""
        for name in names or self.workers:
            self.workers[name].resize(share)

    def list_over_starts(self):
        """Return the instants of all starts beyond a known capacity."""
        return [
            at for worker in self.workers.values() for at in worker.over_starts
        ]

    def compute_done_share(self, queue, since=0.0, until=1e9):
        """Return the share of a queue's callers that were served in time."""
        start = busy_world.repeatable_world.START
        callers = [
            caller
            for caller in self.callers.values()
            if caller.queue.name == queue
            and since <= caller.sent_at - start < until
        ]
        return sum(caller.in_time for caller in callers) / len(callers)

    def feed(self, name, event):
        if isinstance(event, workerapi.WorkerAnnounced):
            self.workers[name].announced = event.capacity
        super().feed(name, event)
