"""Durations of the two leases that bound a run.

Without leases, after an entry died and its caller submitted the job again
elsewhere, the new runs would start while the old ones still run: a quote that
the job files for the caller would be filed twice.

A run is bounded by two leases in sequence.  The agent holds a lease from the
entry, renewed by a round trip and counted from the time of the agent's
request; the worker holds a lease from the agent, counted on the worker's own
clock.  In the longest sequence the entry answers a renewal and dies; the agent
extends the worker's lease just before its lease from the entry expires, and
dies too; the worker ends all runs when its lease expires.

    ENTRY_LEASE_SECONDS + WORKER_LEASE_SECONDS * CLOCK_DRIFT + STOP_SECONDS

is 1.17 s, and callers submit a job again 1.3 s after they lost the answer.

An agent that lives stops the run, but stops may get no answer for seconds,
and the worker has one lease for all its runs.  The agent therefore doesn't
extend that lease beside a run that must end and isn't known to be stopped: the
same sequence bounds such a run.
"""

ENTRY_LEASE_SECONDS = 0.45
"""Duration of an agent's lease on an entry's runs, counted from the sending of
the last renewal that was answered.  One renewal may be lost."""

RENEWAL_INTERVAL_SECONDS = 0.2
"""Pause between an agent's renewals, a bit less than half of the lease."""

WORKER_LEASE_SECONDS = 0.65
"""Time by which an agent extends its worker's lease.  The worker allows up to
1 s; a shorter lease keeps the whole sequence below the callers' 1.3 s."""

CLOCK_DRIFT = 1.0 / 0.98
"""A worker's monotonic clock may be 2% slow, so its lease lasts longer."""

STOP_SECONDS = 0.05
"""Longest time that a worker takes to stop a run."""

STOP_ALLOWANCE_SECONDS = 0.1
"""Time for which a stop that an entry requested may be unacknowledged before
the worker's lease isn't extended any more.  The request may take as long as
the entry's lease allows, so the run is over 1.27 s after its job was answered;
stops are repeated for 0.65 s more before the other runs there end with it."""

LOOP_DELAY_SECONDS = 0.05
"""Allowance for event loop delays between the steps of that sequence."""

MAX_WORKER_LEASE_SECONDS = 1.0
"""Upper bound to which the worker cuts any longer lease.  A request meant for
an earlier incarnation of the worker contains an instant of that incarnation's
clock, which may be hours ahead."""

WORKER_EXPIRY_SECONDS = WORKER_LEASE_SECONDS * CLOCK_DRIFT + STOP_SECONDS
"""Time from the last extension of a worker's lease until its runs are over."""

MAX_WORKER_EXPIRY_SECONDS = (
    MAX_WORKER_LEASE_SECONDS * CLOCK_DRIFT + STOP_SECONDS
)
"""Time from a request that may have reached another incarnation of the worker
until the runs there are over.  The request may have extended their lease up to
the worker's own bound."""

EXPIRY_SECONDS = (
    ENTRY_LEASE_SECONDS + WORKER_EXPIRY_SECONDS + LOOP_DELAY_SECONDS
)
"""Time from an entry's last answer to an agent's renewal until none of the
entry's runs is left at that agent's worker."""
