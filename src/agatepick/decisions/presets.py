"""Presets: the sets of decision settings that operators switch between.

Load pattern: an ordinary day, a peak, and maintenance want opposite
trade-offs.  Without presets an operator changes single settings under
stress, and two operators mix them.

``ordinary`` lets in what will probably be in time.  ``peak`` is stricter at
the door, since a wrong admission then costs two deadlines: its own and that
of the job behind it; it also retries less, because refused work comes back
by itself.  ``maintenance`` expects workers and zones to come and go: it
retries more, ejects more, and keeps more spare time before the deadline.
A tenth is the least spare time with which accepted work stays in time at
150% load when run times aren't declared.

How fast the system shifts: the preset changes at one instant for decisions
about new work.  Jobs that were let in stay in, and running tasks run on; the
number of retry tokens is kept, up to the new bound.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Preset:
    """Settings of every decision under load.

    :param confidence: quantile of run times that admission counts on.
    :param spare_share: part of the time to the deadline that admission
        leaves unused.
    :param retry_share: retries allowed for each started task.
    :param retry_burst: retries allowed at once.
    :param max_ejected_share: part of the agents that may be ejected.
    :param urgent_run: starts of urgent tasks before a waiting ordinary task
        gets one.
    """

    name: str
    confidence: float
    spare_share: float
    retry_share: float
    retry_burst: float
    max_ejected_share: float
    urgent_run: int


ORDINARY = Preset(
    name='ordinary',
    confidence=0.9,
    spare_share=0.1,
    retry_share=0.1,
    retry_burst=200.0,
    max_ejected_share=0.3,
    urgent_run=8,
)

PEAK = Preset(
    name='peak',
    confidence=0.95,
    spare_share=0.15,
    retry_share=0.05,
    retry_burst=100.0,
    max_ejected_share=0.2,
    urgent_run=16,
)

MAINTENANCE = Preset(
    name='maintenance',
    confidence=0.95,
    spare_share=0.2,
    retry_share=0.3,
    retry_burst=400.0,
    max_ejected_share=0.5,
    urgent_run=8,
)

BY_NAME = {preset.name: preset for preset in (ORDINARY, PEAK, MAINTENANCE)}
DEFAULT = ORDINARY.name
