"""The part of its slots that a zone may fill after its return to service.

Load pattern: operators return a zone while work waits.  All its slots become
free at one instant in every entry, so without a ramp the whole queue is sent
to upstreams whose caches and connections are cold: their first tasks all
take long at the same time, urgent ones among them, and the quantiles on which
placement relies are distorted for minutes.

The ramp begins at a quarter of the slots, so that each worker with eight slots
gets two tasks to warm up with, and is complete after two seconds, a few run
times of a sub-second task.  Each return to service leaves as much capacity
unused as all the zone's slots have in three quarters of a second, less than a
fifth of what the fence costs when a zone is taken out.  The
share grows in eighths, one slot at a time for a worker with eight, because
each step updates the indexes of all the zone's workers.
"""

from agatepick.config import cluster

FIRST_SHARE = 0.25
"""Part of a zone's slots that may be filled when it returns to service."""
RAMP_SECONDS = 2.0
"""Time after which all slots of a returned zone may be filled."""
RAMP_STEPS = 8
"""The share is rounded down to a multiple of one divided by this number."""


def get_share(zone: cluster.Zone | None, now: float) -> float:
    """Return the part of a zone's slots that may be filled, 0 to 1.

    :param zone: its state in the configuration in force; ``None`` if it was
        never out of service.
    """
    if zone is None:
        return 1.0
    if zone.out:
        return 0.0
    progress = max(0.0, now - zone.since) / RAMP_SECONDS
    share = FIRST_SHARE + (1.0 - FIRST_SHARE) * min(1.0, progress)
    return int(share * RAMP_STEPS) / RAMP_STEPS
