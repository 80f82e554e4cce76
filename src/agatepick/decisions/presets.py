"""Presets: the sets of decision settings that operators switch between.

Load pattern: ordinary days, peaks and maintenance need opposite trade-offs.
Without presets an operator changes single settings under stress, and the
changes of two operators are mixed.

``ordinary`` admits jobs that will probably be in time.  ``peak`` is stricter
at admission, since a wrongly admitted job then misses its own deadline and
makes the next job miss its deadline too; it also retries less, because
callers submit refused jobs again.  ``maintenance`` expects workers and zones
to come and go: it retries more, ejects more, and reserves more of the time
to the deadline.  A tenth is the smallest reserve with which admitted work is
in time at 150% load when run times aren't declared.

A change of preset applies at once to decisions about new work.  Admitted
jobs stay admitted, and running tasks continue; the number of retry tokens is
kept, up to the new bound.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Preset:
    """The settings of all decisions under load.

    :param confidence: quantile of run times that admission uses, 0 to 1.
    :param spare_share: part of the time to the deadline that admission
        leaves unused.
    :param retry_share: number of retries that each started task adds to the
        retry budget.
    :param retry_burst: largest number of retries in the budget.
    :param max_ejected_share: part of the agents that may be ejected.
    :param urgent_run: consecutive starts of urgent tasks after which a
        waiting ordinary task is started.
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
