"""What an agent keeps of the entries that it knows and of their runs."""

import dataclasses

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import health
from agatepick.repeatable import payloads
from agatepick import types


@dataclasses.dataclass(slots=True, eq=False)
class Owner:
    """One life of an entry.

    :ivar valid_until: end of the lease on its runs.
    :ivar taken: number of its last start message.
    :ivar agents: agents that it listens to.
    :ivar trip: seconds from the last renewal until its answer.
    :ivar leaving: it gets no more room here.
    :ivar gone: another life has taken its place.
    :ivar recent: payloads that it has sent on this connection.
    """

    name: types.PeerName
    incarnation: int
    valid_until: float = 0.0
    taken: int = 0
    agents: int = 1
    connected: bool = True
    trip: float = 0.0
    leaving: bool = False
    gone: bool = False
    recent: payloads.Recent = dataclasses.field(
        default_factory=payloads.Recent
    )


@dataclasses.dataclass(slots=True)
class Run:
    """One run at the worker, until it is known to be over.

    :ivar starts: times that its start was sent.
    :ivar unanswered: how many of these may still get an answer.
    :ivar confirmed_at: when the worker answered the start; 0 before.
    :ivar stopped_at: when the worker took note of a stop; 0 before.
    """

    ref: messages.RunRef
    name: str
    payload: bytes
    needs: types.Needs
    owner: Owner
    asked_at: float
    expected: float
    starts: int = 0
    unanswered: int = 0
    start_sent_at: float = 0.0
    confirmed_at: float = 0.0
    stopping: bool = False
    stop_sent_at: float = 0.0
    stopped_at: float = 0.0
    overdue_at: float = health.OVERDUE_RATIO


def run_note(name: str, run: Run, reason: str) -> core.Note:
    """A note on one run."""
    return core.note(
        name,
        job=run.ref.job,
        index=run.ref.index,
        run=run.ref.run,
        peer=run.owner.name,
        reason=reason,
    )
