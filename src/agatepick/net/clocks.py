"""The process's clock, and the offset of a peer's clock from it.

Leases and fences compare instants read by different processes.  A wall clock
that is stepped by an operator or a time daemon would end leases early or, far
worse, extend them.  The process therefore reads the wall clock once, at its
start, and adds the elapsed time of a clock that is never stepped.
"""

import dataclasses
import math
import time

MAX_SAMPLES_KEPT = 8
"""Samples of a peer's clock that an estimate is chosen from, at most."""


class ProcessClock:
    """Clock that adds the elapsed time to the wall time at its start.

    ``CLOCK_BOOTTIME`` includes the time for which a VM is suspended.  With
    ``CLOCK_MONOTONIC``, the expired leases of a VM that is resumed after a
    minute would appear valid for a further minute.

    :param wall: seconds since the epoch at the start.
    :param boot: ``CLOCK_BOOTTIME`` at the start, in seconds.
    """

    def __init__(self, wall: float, boot: float):
        self._epoch_offset = wall - boot

    @classmethod
    def start(cls) -> 'ProcessClock':
        """Return the clock of a process that starts now."""
        return cls(time.time(), time.clock_gettime(time.CLOCK_BOOTTIME))

    def now(self) -> float:
        """Return the seconds since the epoch; the result never decreases."""
        return self._epoch_offset + time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True, slots=True)
class Offset:
    """Offset of a peer's clock from the local clock, with its error bound.

    :param seconds: the peer's clock less the local clock.
    :param error_seconds: bound on the error; the true offset differs from
        ``seconds`` by at most this much.
    """

    seconds: float
    error_seconds: float

    def within(self, margin_seconds: float) -> bool:
        """Return whether the offset, error included, is within a margin."""
        return abs(self.seconds) + self.error_seconds <= margin_seconds


UNKNOWN_OFFSET = Offset(0.0, math.inf)


def compute_offset(
    sent: float, received: float, replied: float, arrived: float
) -> Offset:
    """Return the offset of a peer's clock, derived from four instants.

    :param sent: when the ping was sent, by the local clock.
    :param received: when the peer received it, by the peer's clock.
    :param replied: when the peer sent the pong, by the peer's clock.
    :param arrived: when the pong arrived, by the local clock.

    The time between ``received`` and ``replied`` is spent at the peer, so half
    of the rest of the round trip bounds the error, even if one direction is
    slower than the other.
    """
    round_trip = max(0.0, (arrived - sent) - (replied - received))
    return Offset(
        ((received - sent) + (replied - arrived)) / 2, round_trip / 2
    )


class OffsetEstimate:
    """Estimate of a peer's offset from its last few samples.

    A sample that a busy process delayed has a wide error bound.  The estimate
    is the sample with the smallest error bound among the last few; older ones
    are discarded, so that a drifting clock is detected.
    """

    def __init__(self) -> None:
        self.best = UNKNOWN_OFFSET
        """Sample with the smallest error; :data:`UNKNOWN_OFFSET` if none."""
        self._samples: list[Offset] = []

    def add(self, sample: Offset) -> None:
        """Add a sample and update :attr:`best`."""
        self._samples.append(sample)
        del self._samples[:-MAX_SAMPLES_KEPT]
        # The best sample is stored, since each start of a task reads it.
        self.best = min(
            self._samples, key=lambda kept_sample: kept_sample.error_seconds
        )
