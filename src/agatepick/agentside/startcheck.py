"""Checks that an agent makes before it starts a new attempt.

Every refusal is reported as "not run" and stored in the ledger, so that a
delayed copy of the start message is refused too and the report stays correct.
"""

import dataclasses

from agatepick.agentside import running
from agatepick.agentside import slots
from agatepick.net import clocks
from agatepick.net import messages

REASON_CLOCK = 'clock'
REASON_KIND = 'kind'
REASON_LEAVING = 'leaving'
REASON_NO_ROOM = 'no_room'
REASON_NO_SLOT = 'no_slot'
REASON_NO_UPSTREAM = 'no_upstream'
REASON_TOO_LATE = 'start_too_late'


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """An owner's permit to start tasks until a time of the owner's clock.

    :param start_before: end of the permit by the owner's clock, in seconds.
    :param offset: the owner's clock minus the agent's, in seconds.
    """

    start_before: float
    offset: clocks.Offset

    def find_fault(self, margin: float, now: float) -> str:
        """Return why the permit is invalid at ``now``; empty if it is valid.

        The fence before a change is in force covers clocks that are at most
        ``margin`` apart.  With a larger offset, a task could start in a zone
        after the zone was taken out of service.  The permit's end by the
        agent's clock is uncertain by the error of the offset, so the permit
        ends that much earlier.

        :param margin: seconds.
        """
        if not self.offset.within(margin):
            return REASON_CLOCK
        # With this comparison, a permit whose end is NaN has expired.
        return '' if now < self.find_end() else REASON_TOO_LATE

    def find_end(self) -> float:
        """Return the earliest end of the permit by the agent's clock."""
        return (
            self.start_before - self.offset.seconds - self.offset.error_seconds
        )


def find_capacity_fault(
    task: messages.StartTask,
    upstream_state: running.UpstreamState,
    leases: slots.Slots,
) -> str:
    """Return why the upstream can't run a task now; empty if it can.

    A start for a slot whose lease has just moved to another entry is accepted
    while any slot is free.  Two tasks in one slot would slow down every task
    on the worker.
    """
    if upstream_state.announced is None:
        return REASON_NO_UPSTREAM
    if upstream_state.leaving:
        return REASON_LEAVING
    if task.kind not in upstream_state.announced.kinds:
        return REASON_KIND
    if leases.free <= 0:
        return REASON_NO_SLOT
    if not upstream_state.has_room(task.needs):
        return REASON_NO_ROOM
    return ''
