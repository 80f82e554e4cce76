"""The process's clock, and the offset of a peer's clock from it.

Leases and fences compare instants taken by different processes.  A wall
clock that an operator or a time daemon steps would end leases early or, far
worse, extend them.  The process therefore reads the wall clock once, at its
start, and counts on from there by a clock that never steps.
"""

import dataclasses
import math
import time

SAMPLES_KEPT = 8


class ProcessClock:
    """Wall time at start plus the time passed since.

    ``CLOCK_BOOTTIME`` counts the time a virtual machine is suspended too.
    With ``CLOCK_MONOTONIC`` a machine resumed after a minute would believe
    for a minute more that its expired leases are good.
    """

    def __init__(self, wall: float, boot: float):
        self._base = wall - boot

    @classmethod
    def start(cls) -> 'ProcessClock':
        """The clock of a process that starts now."""
        return cls(time.time(), time.clock_gettime(time.CLOCK_BOOTTIME))

    def now(self) -> float:
        """Seconds since the epoch; never steps back."""
        return self._base + time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True, slots=True)
class Offset:
    """How far a peer's clock is ahead of ours, and by how much that errs.

    :param seconds: the peer's clock less ours.
    :param error: the true offset is within ``seconds`` plus or minus this.
    """

    seconds: float
    error: float

    def within(self, margin: float) -> bool:
        """Whether the offset is surely no more than ``margin``."""
        return abs(self.seconds) + self.error <= margin


UNKNOWN = Offset(0.0, math.inf)


def offset(
    sent: float, received: float, replied: float, arrived: float
) -> Offset:
    """Offset by four instants.

    :param sent: when the ping left, by our clock.
    :param received: when the peer took it, by the peer's clock.
    :param replied: when the peer answered, by the peer's clock.
    :param arrived: when the answer came, by our clock.

    The peer held the ping between ``received`` and ``replied``, so half of
    the rest of the round trip bounds the error, however the two ways differ.
    """
    trip = max(0.0, (arrived - sent) - (replied - received))
    return Offset(((received - sent) + (replied - arrived)) / 2, trip / 2)


class OffsetEstimate:
    """The best of the last few samples of one peer's offset.

    A sample delayed by a busy process has a wide error.  The one with the
    least error of the last few is the best that is known, and an old one
    ages out, so that a drifting clock is noticed.
    """

    def __init__(self) -> None:
        self.best = UNKNOWN
        """The sample with the least error; :data:`UNKNOWN` if none."""
        self._samples: list[Offset] = []

    def add(self, sample: Offset) -> None:
        """Take one more sample."""
        self._samples.append(sample)
        del self._samples[:-SAMPLES_KEPT]
        # Asked for at every start, so found once a sample and kept.
        self.best = min(self._samples, key=lambda one: one.error)
