"""Starts and stops that one worker gets, each by the lease that it carries.

Requests may get no answer, or be carried out seconds later, so both may be
sent again; the worker starts the same run once.
"""

from agatepick.repeatable import runs
from agatepick.repeatable import unowned
from agatepick.repeatable import worker_clock
from agatepick.repeatable import worker_lease
from agatepick.repeatable import worker_state
from agatepick.repeatable import workerapi

STOP_RETRY_SECONDS = 0.1
"""Pause before a stop is sent again.  One request in twenty may get no answer;
the retry is sent well within the 1.3 s after which callers submit a job
again."""


class RunOrders:
    """Orders to the worker that is addressed at the time.

    :param present: runs that haven't certainly ended, by task name.
    """

    def __init__(
        self,
        present: dict[str, runs.Run],
        unowned_runs: unowned.UnownedRuns,
        state: worker_state.WorkerState,
        clock: worker_clock.WorkerClock,
        lease: worker_lease.WorkerLease,
    ) -> None:
        self._runs = present
        self._unowned = unowned_runs
        self._state = state
        self._clock = clock
        self._lease = lease

    def start(self, run: runs.Run, now: float) -> list[object]:
        """Send a start, for the first time or again."""
        run.start_count += 1
        run.unanswered_start_count += 1
        run.start_sent_at = now
        lease_until = self._bound_start(now)
        return [
            workerapi.StartRun(
                self._state.incarnation,
                self._state.epoch,
                run.ref,
                run.name,
                run.payload,
                lease_until,
                self._clock.convert(lease_until, now),
            )
        ]

    def stop(self, run: runs.Run, now: float) -> list[object]:
        """Send a stop, unless one is acknowledged or was just sent."""
        if not self._state.incarnation or run.stop_acknowledged_at:
            return []
        if now < run.stop_sent_at + STOP_RETRY_SECONDS and run.stopping:
            return []
        run.stopping = True
        run.stop_sent_at = now
        run.first_stop_at = run.first_stop_at or now
        run.stop_count += 1
        return [
            workerapi.StopRun(
                self._state.incarnation,
                self._state.epoch,
                run.name,
                run.ref.run,
            )
        ]

    def must_lapse(self, now: float) -> bool:
        """Return whether only the lease's end may still end a run there.

        The worker has one lease for all its runs.  If it were extended for the
        others beside a run whose stops get no answer, that run would go on
        while its task starts elsewhere.
        """
        return self._unowned.listed or any(
            run.must_lapse(now) for run in self._runs.values()
        )

    def _bound_start(self, now: float) -> float:
        """Return the instant of the worker's lease that a start carries."""
        if self.must_lapse(now):
            return self._lease.keep()
        return self._lease.extend(now)
