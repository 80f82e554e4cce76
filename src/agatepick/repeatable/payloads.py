"""Payloads that both ends of a connection have.

Load pattern: wide jobs, and starts that are refused for want of room and
sent again.  Were a job's payload sent with each start, the same kilobytes
would go over an entry's link for each task and each try; on a narrow link
messages then wait behind them, room granted to the entry lapses before its
answer arrives, its starts are refused, and what is sent again keeps the link
full for good.

Both ends add the same payloads in the same order and keep the same number of
them, so the entry knows what the agent has without being told.
"""

from agatepick import types

KEPT_PAYLOADS = 64
"""Many more than the jobs that one entry has at one worker at a time."""


class Recent:
    """The payloads that went over one connection last."""

    def __init__(self) -> None:
        self._by_job: dict[types.JobKey, bytes] = {}

    def __contains__(self, job: types.JobKey) -> bool:
        return job in self._by_job

    def add(self, job: types.JobKey, payload: bytes) -> None:
        """Note a payload that is sent or received now."""
        self._by_job[job] = payload
        if len(self._by_job) > KEPT_PAYLOADS:
            del self._by_job[next(iter(self._by_job))]

    def get(self, job: types.JobKey) -> bytes | None:
        """A job's payload, if it is still kept."""
        return self._by_job.get(job)

    def clear(self) -> None:
        """The connection is a new one, or the ends differ."""
        self._by_job.clear()
