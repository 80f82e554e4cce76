"""How long a run may go on without its owner, and when it is surely over.

What goes wrong without this: an entry dies, its caller hands the job in
again elsewhere, and the new runs meet the old ones, which still go on.  The
caller's quote is filed twice.

Two leases in a row bound a run's life.  The agent holds a lease from the
entry, renewed by a round trip and counted from when the agent asked; the
worker holds one from the agent, counted on the worker's own clock.  The
longest chain: the entry answers a renewal and dies; the agent renews at the
worker just before its lease from the entry runs out, and dies too; the
worker ends everything when its lease runs out.

    OWNER_SECONDS + WORKER_SECONDS * CLOCK_DRIFT + STOP_SECONDS

is 1.17 s, and callers hand a job in again 1.3 s after they lost the answer.
"""

OWNER_SECONDS = 0.45
"""How long an agent goes on with an entry's runs after its last answered
renewal was sent.  One renewal may be lost."""

RENEW_SECONDS = 0.2
"""Pause between an agent's renewals, a bit less than half of the lease."""

WORKER_SECONDS = 0.65
"""How far ahead an agent extends its worker's lease.  The worker's bound is
1 s; less keeps the whole chain under the callers' 1.3 s."""

CLOCK_DRIFT = 1.02
"""A worker's steady clock may be 2% slow, so its lease lasts 2% longer."""

STOP_SECONDS = 0.05
"""Longest time that a worker takes to end a run."""

SPARE_SECONDS = 0.05
"""Turns of the event loops in between."""

LONGEST_WORKER_SECONDS = 1.0
"""To what the worker cuts any longer lease.  An order meant for a former life
bears an instant of that life's clock, which may be hours ahead."""

WORKER_OVER_SECONDS = WORKER_SECONDS * CLOCK_DRIFT + STOP_SECONDS
"""After the last extension of its lease a worker runs nothing any more."""

LONGEST_OVER_SECONDS = LONGEST_WORKER_SECONDS * CLOCK_DRIFT + STOP_SECONDS
"""The same after an order that may have reached another life of a worker."""

OVER_SECONDS = OWNER_SECONDS + WORKER_OVER_SECONDS + SPARE_SECONDS
"""After its last answer to an agent's renewal, an entry knows that nothing
of its own runs at that agent's worker."""
