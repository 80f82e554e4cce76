"""State that an agent keeps of its entries and of their runs."""

import dataclasses

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import health
from agatepick.repeatable import leases
from agatepick.repeatable import payloads
from agatepick import types


@dataclasses.dataclass(slots=True, eq=False)
class Owner:
    """One incarnation of an entry, which owns runs at this agent.

    :ivar lease_until: end of the lease on its runs.
    :ivar last_start_number: number of the last start message received from
        it.
    :ivar agent_count: number of agents that the entry is connected to.
    :ivar round_trip_seconds: round trip of the last renewal.
    :ivar leaving: whether it gets no more capacity here.
    :ivar replaced: whether a newer incarnation has replaced it.
    :ivar payload_cache: payloads that it has sent on this connection.
    """

    name: types.PeerName
    incarnation: int
    lease_until: float = 0.0
    last_start_number: int = 0
    agent_count: int = 1
    connected: bool = True
    round_trip_seconds: float = 0.0
    leaving: bool = False
    replaced: bool = False
    payload_cache: payloads.PayloadCache = dataclasses.field(
        default_factory=payloads.PayloadCache
    )


@dataclasses.dataclass(slots=True)
class Run:
    """One run at the worker, until it has certainly ended.

    :ivar name: name of the task at the worker.
    :ivar requested_at: instant at which the entry's start message arrived.
    :ivar expected_seconds: expected run time; 0 if there is none.
    :ivar start_count: number of starts sent.
    :ivar unanswered_start_count: number of these that may still be answered.
    :ivar confirmed_at: when the worker answered the start; 0 before.
    :ivar first_stop_at: when the first stop was sent; 0 before.
    :ivar stop_count: number of stops sent.
    :ivar stop_overdue: whether its stop was noted as overdue.
    :ivar unrenewed: whether it was noted that its entry's lease is over.
    :ivar stop_acknowledged_at: when the worker acknowledged a stop; 0 before.
    :ivar former_lease_over_at: end of the lease of the worker that it was
        started at, if another has taken that one's place; 0 before.
    :ivar next_overdue_ratio: multiple of the expected time at which the run
        next counts as overdue.
    :ivar apart: whether it must not run beside another such run.
    :ivar crashed: whether a crash of the worker was reported for it.
    """

    ref: messages.RunRef
    name: str
    payload: bytes
    needs: types.Needs
    owner: Owner
    requested_at: float
    expected_seconds: float
    start_count: int = 0
    unanswered_start_count: int = 0
    start_sent_at: float = 0.0
    confirmed_at: float = 0.0
    stopping: bool = False
    stop_sent_at: float = 0.0
    first_stop_at: float = 0.0
    stop_count: int = 0
    stop_overdue: bool = False
    unrenewed: bool = False
    stop_acknowledged_at: float = 0.0
    former_lease_over_at: float = 0.0
    next_overdue_ratio: float = health.OVERDUE_RATIO
    apart: bool = False
    crashed: bool = False

    def must_lapse(self, now: float) -> bool:
        """Return whether the end of the lease alone ends it in time.

        Its task may start elsewhere soon, and no stop was acknowledged.
        """
        if self.stop_acknowledged_at:
            return False
        if self.owner.lease_until <= now:
            return True
        allowed_until = self.first_stop_at + leases.STOP_ALLOWANCE_SECONDS
        return self.stopping and now >= allowed_until

    def is_over_if_absent(self, lists_requested_at: float, now: float) -> bool:
        """Return whether it has ended if it isn't in the worker's lists.

        Only if the lists were requested after its start was answered.  If it
        is being stopped, they must have been requested after the answer to its
        stop, from which on the worker doesn't start it any more, whatever the
        answer to the start was; it may have got none.  The lists of a worker
        that took the place of another show nothing of that one's runs.
        """
        if now < self.former_lease_over_at:
            return False
        answered_at = self.confirmed_at
        if self.stopping:
            if self.unanswered_start_count and not self.confirmed_at:
                return False
            answered_at = self.stop_acknowledged_at
        return 0.0 < answered_at < lists_requested_at


def run_note(name: str, run: Run, reason: str) -> core.Note:
    """Return a note on one run."""
    return core.note(
        name,
        job=run.ref.job,
        index=run.ref.index,
        run=run.ref.run,
        peer=run.owner.name,
        reason=reason,
    )
