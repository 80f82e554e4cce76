"""Payload cache shared by both ends of a connection.

Load pattern: wide jobs, and starts that are refused for lack of capacity and
sent again.  If each start contained its job's payload, the same kilobytes
would pass an entry's link for each task and each attempt.  On a narrow link
messages then queue behind them, capacity granted to the entry expires before
its answer arrives, its starts are refused, and the retries keep the link
saturated permanently.

Both ends add the same payloads in the same order and keep the same number of
them, so the entry can derive the contents of the agent's cache from its own,
without messages.
"""

from agatepick import types

MAX_CACHED_PAYLOADS = 64
"""Size of the cache, many more than the jobs that one entry has at one worker
at a time."""


class PayloadCache:
    """Cache of the payloads that passed one connection most recently."""

    def __init__(self) -> None:
        self._by_job: dict[types.JobKey, bytes] = {}

    def __contains__(self, job: types.JobKey) -> bool:
        return job in self._by_job

    def add(self, job: types.JobKey, payload: bytes) -> None:
        """Add a payload that is sent or received now."""
        self._by_job[job] = payload
        if len(self._by_job) > MAX_CACHED_PAYLOADS:
            del self._by_job[next(iter(self._by_job))]

    def get(self, job: types.JobKey) -> bytes | None:
        """Return a job's payload, or ``None`` if it isn't cached."""
        return self._by_job.get(job)

    def clear(self) -> None:
        """Remove all payloads: the connection is new, or the caches differ."""
        self._by_job.clear()
