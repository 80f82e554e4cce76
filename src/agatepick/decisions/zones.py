"""How many of its slots a zone may fill after it has returned to service.

The load: operators return a zone while work waits.  All its slots are free
at one instant in the view of every entry, so without a ramp the whole queue
is thrown at upstreams whose caches and connections are cold: their first
tasks all take long together, urgent ones among them, and the quantiles that
placement goes by are spoilt for minutes.

The ramp begins at a quarter, so that each worker of eight slots gets two
tasks to warm up with, and is complete after two seconds, a few run times of
a sub-second task.  It costs three quarters of a second of the zone's slots
for each return, under a fifth of what the fence of a departure takes.  The
share moves in eighths, one slot of a worker of eight at a time, because each
move files the zone's workers anew.
"""

from agatepick.config import cluster

FIRST_SHARE = 0.25
RAMP_SECONDS = 2.0
STEPS = 8


def share(zone: cluster.Zone | None, now: float) -> float:
    """Part of a zone's slots that may be filled at ``now``, 0 to 1.

    :param zone: what the document in force says of it; ``None`` if it was
        never out.
    """
    if zone is None:
        return 1.0
    if zone.out:
        return 0.0
    passed = max(0.0, now - zone.since) / RAMP_SECONDS
    grown = FIRST_SHARE + (1.0 - FIRST_SHARE) * min(1.0, passed)
    return int(grown * STEPS) / STEPS
