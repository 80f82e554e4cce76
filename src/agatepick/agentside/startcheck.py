"""Whether an agent starts a new attempt, or why it refuses.

Every refusal says "not run" and is kept in the ledger, so it stays true.
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
    """An owner's permit to start tasks, until an instant of its clock.

    :param offset: the owner's clock less ours.
    """

    start_before: float
    offset: clocks.Offset

    def fault(self, margin: float, now: float) -> str:
        """Why it doesn't hold at ``now``; empty if it does.

        The fence before a change is in force leaves room for clocks that are
        at most ``margin`` apart.  Past it, a start could happen in a zone
        that was taken out, by the true time.  The permit's end by our clock
        is known up to the error of the offset, so it counts as that much
        earlier.
        """
        if not self.offset.within(margin):
            return REASON_CLOCK
        end = self.start_before - self.offset.seconds - self.offset.error
        # Asked this way round, an end that is no number has passed.
        return '' if now < end else REASON_TOO_LATE


def room_fault(
    task: messages.StartTask, at: running.Running, leases: slots.Slots
) -> str:
    """Why the upstream can't take a task now; empty if it can.

    An owner that sends by a lease which has just moved is let in while a slot
    is free; filling a slot twice would slow down every task on the worker.
    """
    if at.announced is None:
        return REASON_NO_UPSTREAM
    if at.leaving:
        return REASON_LEAVING
    if task.kind not in at.announced.kinds:
        return REASON_KIND
    if leases.free <= 0:
        return REASON_NO_SLOT
    if not at.fits(task.needs):
        return REASON_NO_ROOM
    return ''
