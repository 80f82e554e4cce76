"""The agents that an entry knows, also those that are gone.

A run that an agent's previous incarnation started continues until the lease of
its worker expires, and the new incarnation has no record of it.  So the former
one is kept until then, without a place in the pool.
"""

from agatepick.net import messages
from agatepick.repeatable import pool
from agatepick import types

FORGET_SECONDS = 10.0
"""Time after which a disconnected agent is forgotten."""


class Membership:
    """The agents of one entry, connected or not.

    :param workers: the workers with the agents beside them.
    """

    def __init__(self, workers: pool.Pool) -> None:
        self._pool = workers
        self._disconnected_at: dict[types.PeerName, float] = {}
        self._former: list[pool.Worker] = []

    def connect(self, hello: messages.Hello) -> None:
        """Record that an agent is connected, with no known capacity yet."""
        self._disconnected_at.pop(hello.name, None)
        worker = self._pool.get(hello.name)
        if worker is None or worker.incarnation != hello.incarnation:
            if worker is not None:
                self._former.append(worker)
            worker = pool.Worker(
                hello.name, hello.incarnation, hello.zone, hello.rack
            )
            self._pool.add(worker)
        worker.connected = True
        worker.room = None
        worker.mark_full()
        worker.last_start_number = 0
        worker.in_transit.clear()
        worker.payload_cache.clear()

    def disconnect(self, name: types.PeerName, now: float) -> bool:
        """Record that an agent's connection is lost.

        :returns: whether it was connected.
        """
        worker = self._pool.get(name)
        if worker is None or not worker.connected:
            return False
        worker.connected = False
        self._disconnected_at[name] = now
        return True

    def forget_gone(self, now: float) -> None:
        """Forget agents that were disconnected long ago and have no runs."""
        for name, disconnected_at in list(self._disconnected_at.items()):
            worker = self._pool.get(name)
            if worker is None or worker.connected:
                del self._disconnected_at[name]
            elif now > disconnected_at + FORGET_SECONDS and not worker.placed:
                del self._disconnected_at[name]
                self._pool.remove(name)

    def find_expired(self, now: float) -> list[pool.Worker]:
        """Return the workers with runs that are all over by their lease."""
        self._former = [worker for worker in self._former if worker.placed]
        return [
            worker
            for worker in [*self._pool, *self._former]
            if worker.placed and worker.lease_expired(now)
        ]
