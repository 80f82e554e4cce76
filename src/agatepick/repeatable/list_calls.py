"""Calls for the lists of one worker, and the lease that they extend.

While there are runs, or something is left to acknowledge, the lists are
requested all the time.  At rest one call stands open, so that a crash is
noticed (:mod:`~agatepick.repeatable.rest_watch`).
"""

from agatepick import core
from agatepick.repeatable import list_requests
from agatepick.repeatable import listed_ends
from agatepick.repeatable import rest_watch
from agatepick.repeatable import run_orders
from agatepick.repeatable import runs
from agatepick.repeatable import unowned
from agatepick.repeatable import worker_clock
from agatepick.repeatable import worker_lease
from agatepick.repeatable import worker_state
from agatepick.repeatable import workerapi


class ListCalls:
    """The calls to the worker that is addressed at the time.

    :param present: runs that haven't certainly ended, by task name.
    :ivar requests: timing of the requests for lists.
    """

    def __init__(
        self,
        present: dict[str, runs.Run],
        ends: listed_ends.ListedEnds,
        unowned_runs: unowned.UnownedRuns,
        state: worker_state.WorkerState,
        clock: worker_clock.WorkerClock,
        lease: worker_lease.WorkerLease,
        orders: run_orders.RunOrders,
    ) -> None:
        self.requests = list_requests.ListRequests()
        self._rest_watch = rest_watch.RestWatch()
        self._runs = present
        self._ends = ends
        self._unowned = unowned_runs
        self._state = state
        self._clock = clock
        self._lease = lease
        self._orders = orders

    def reset(self, now: float) -> None:
        """Reset the state for another incarnation of the worker."""
        self.requests.reset(now)
        self._rest_watch.reset()

    def call(self, now: float) -> list[object]:
        """Request the lists, or keep a call open, if it is due."""
        if not self._state.incarnation or not self.requests.is_due(now):
            return []
        if self._state.leaving and not self._runs:
            return []
        if self._is_at_rest(now):
            return self._watch(now)
        return self._request(now)

    def _is_at_rest(self, now: float) -> bool:
        """Return whether the lists would tell nothing new of the worker."""
        return (
            not self._runs
            and self._ends.acknowledged
            and self._unowned.earlier_over
            and not self._unowned.listed
            and self._clock.known
            and not self.requests.is_silent(now)
            and not self.requests.refused
        )

    def _request(self, now: float) -> list[object]:
        lease_until = 0.0
        if self._should_extend_lease(now):
            lease_until = self._lease.extend(now)
        wait = list_requests.WAIT_SECONDS if self._may_wait() else 0.0
        self.requests.record_request(wait, now)
        return [
            workerapi.RequestLists(
                self._state.incarnation,
                self._state.epoch,
                self._ends.last_number,
                lease_until,
                wait,
                self._clock.convert(lease_until, now) if lease_until else 0.0,
            )
        ]

    def _may_wait(self) -> bool:
        """Return whether the lists are only wanted once a run has ended."""
        if not self._clock.known:
            return False
        if self._runs:
            return True
        return not self._unowned.earlier_over and self._ends.listed

    def _should_extend_lease(self, now: float) -> bool:
        """Return whether the runs at the worker should go on."""
        return (
            not self.requests.is_silent(now)
            and not self.requests.refused
            and self._clock.known
            and self._has_renewed_run(now)
            and not self._orders.must_lapse(now)
        )

    def _has_renewed_run(self, now: float) -> bool:
        """Return whether a run should go on; none does at a leaving worker."""
        return not self._state.leaving and any(
            not run.stopping and run.owner.lease_until > now
            for run in self._runs.values()
        )

    # At rest

    def _watch(self, now: float) -> list[object]:
        """Keep a call open at a worker without runs."""
        if not self._rest_watch.is_due(now):
            return []
        self._rest_watch.record_call(now)
        return [
            workerapi.WatchWorker(
                self._state.incarnation,
                self._state.epoch,
                self._ends.last_number,
                rest_watch.WAIT_SECONDS,
            )
        ]

    def handle_watch_end(
        self, event: workerapi.WatchEnded, now: float
    ) -> list[object]:
        """Handle the end of the call that stood open at the worker."""
        if not self._state.addresses(event.incarnation):
            return []
        self._rest_watch.record_end()
        # Beside runs, the requests for lists show whether it is silent.
        if event.answered or self._runs and not event.broken:
            return []
        self.requests.hurry(now)
        return self.doubt_incarnation()

    def doubt_incarnation(self) -> list[object]:
        """Start nothing before a list shows who is at the worker's address.

        The worker may have crashed, and another incarnation, of another kind,
        may have taken its place already.
        """
        if not self._clock.known:
            return []
        self._clock.distrust()
        return [core.note('worker_doubted', life=self._state.incarnation)]
