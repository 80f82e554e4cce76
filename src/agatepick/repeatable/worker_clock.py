"""The clock of one incarnation of a worker, by what the worker itself answers.

A lease is an instant of the worker's clock.  With a clock that is ahead of
the true one, runs would outlast the agent's own count of their lease; with one
that is behind, the worker would refuse each start as too late.

Only a list of runs says which incarnation sent it.  Its request and its
arrival bound the clock from both sides, so a reading that comes from elsewhere
(an answer to an order, an announcement) counts only below that bound.  The
clock is never faster than ours, but it may be slower, and it stands still
while its VM is suspended: the bound never rises.
"""

import dataclasses
import math

MAX_SLOWNESS = 0.02
"""Part of the time by which a worker's clock may fall behind."""

RESOLUTION_SECONDS = 0.001
"""Readings are whole milliseconds, rounded down."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """An offset of the worker's clock from ours, at most the true one.

    :param at: instant of our clock at which it held.
    """

    at: float
    offset: float

    def compute_offset(self, now: float) -> float:
        """Return the offset now, if the clock is as slow as allowed."""
        return self.offset - (now - self.at) * MAX_SLOWNESS


class WorkerClock:
    """An estimate of a worker's clock that is never ahead of it.

    Instants and readings are in seconds.
    """

    def __init__(self) -> None:
        self._sample: _Sample | None = None
        self._max_offset = math.inf

    @property
    def known(self) -> bool:
        """Whether instants can be converted."""
        return self._sample is not None

    def reset(self) -> None:
        """Expect the clock of another incarnation."""
        self._sample = None
        self._max_offset = math.inf

    def distrust(self) -> None:
        """Wait for another list, as the clock may have stood still."""
        self._sample = None

    def add_list(
        self, reading: float, requested_at: float, now: float
    ) -> None:
        """Add the reading in a list that arrived just now."""
        bound = reading + RESOLUTION_SECONDS - requested_at
        self._max_offset = min(self._max_offset, bound)
        sample = self._sample
        if sample is None or sample.offset > self._max_offset:
            self._sample = _Sample(now, reading - now)
        else:
            self.add(reading, now)

    def add(self, reading: float, now: float) -> None:
        """Add a reading that arrived just now and may be another clock's.

        It doesn't count before a list.

        :param reading: 0 if the message had none.
        """
        sample = self._sample
        offset = reading - now
        if not reading or sample is None or offset > self._max_offset:
            return
        if offset >= sample.compute_offset(now):
            self._sample = _Sample(now, offset)

    def convert(self, instant: float, now: float) -> float:
        """Return the worker's reading at an instant of our clock.

        :returns: seconds; 0 if the clock isn't known.
        """
        if self._sample is None:
            return 0.0
        return instant + self._sample.compute_offset(now)

    def date(self, reading: float, now: float) -> float:
        """Return the instant of our clock at which the worker read its own.

        :returns: ``now`` if the clock isn't known, and at most that.
        """
        if self._sample is None:
            return now
        return min(now, reading - self._sample.compute_offset(now))
