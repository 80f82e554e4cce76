"""The lease of all runs at one worker, as its agent has extended it.

Both instants of an extension, the one that the order carries and the one from
which the agent counts the runs as over, follow from the same clock reading:
otherwise a process that is suspended between two readings would count runs as
over that its order has just extended.
"""

from agatepick.repeatable import leases


class WorkerLease:
    """The end of the lease of a worker's runs, at the latest."""

    def __init__(self) -> None:
        self._over_at = 0.0
        self._extended_to = 0.0

    def extend(self, now: float) -> float:
        """Extend the lease.

        :param now: clock reading by which the extension was decided.
        :returns: instant that the order to the worker carries.
        """
        self._over_at = max(self._over_at, now + leases.WORKER_EXPIRY_SECONDS)
        self._extended_to = now + leases.WORKER_LEASE_SECONDS
        return self._extended_to

    def keep(self) -> float:
        """Return the instant of the last extension, without a further one."""
        return self._extended_to

    def record_pause(self, seconds: float, now: float) -> None:
        """Leave out the time for which this process stood still.

        The VM may have been suspended with the worker, whose clock stood
        still too: the runs there have as much of their lease left as before.
        """
        if self._over_at > now - seconds:
            self._over_at += seconds

    def extend_to_bound(self, now: float) -> None:
        """Expect the longest lease, which another incarnation may have given.

        An order that reached it holds an instant of the former one's clock.
        """
        until = now + leases.MAX_WORKER_EXPIRY_SECONDS
        self._over_at = max(self._over_at, until)

    @property
    def over_at(self) -> float:
        """Instant from which no run is left at the worker."""
        return self._over_at

    def is_over(self, now: float) -> bool:
        """Return whether no run is left at the worker."""
        return now >= self._over_at
