"""Runs at a worker that its agent doesn't know.

An earlier incarnation of the agent started them, or an order was carried out
late.  Each start extends the lease of all runs at the worker: if tasks were
started beside such a run whose stop got lost, it would outlive the time after
which its entry starts the task elsewhere, and a quote that the task files
would be filed twice.
"""

import typing

from agatepick.repeatable import past_runs
from agatepick.repeatable import runs
from agatepick.repeatable import workerapi

STOP_RETRY_SECONDS = 0.2
"""Pause before a run that no entry owns is stopped once more."""


class UnownedRuns:
    """The listed runs of one worker that its agent doesn't count as running.

    :param known: the agent's runs, by task name.
    :ivar listed: whether the last list has such runs.
    :ivar earlier_over: whether no run that an earlier incarnation of the agent
        started is left.
    """

    def __init__(self, known: typing.Mapping[str, runs.Run]) -> None:
        self._known = known
        self._past_runs = past_runs.PastRuns()
        self._stopped_at = 0.0
        self.listed = False
        self.earlier_over = False

    def reset(self) -> None:
        """Expect the lists of another incarnation of the worker."""
        self.listed = False
        self.earlier_over = False

    def record_end(self, run: runs.Run, reason: str, now: float) -> None:
        """Record that a run isn't known any more, as it is over."""
        self._past_runs.add(run, reason, now)

    def stop_listed(
        self, event: workerapi.ListsReceived, epoch: int, now: float
    ) -> list[object]:
        """Stop the runs that a list shows, with some pause between."""
        unowned = self._find(event, now)
        self.listed = bool(unowned)
        self.earlier_over = self.earlier_over or not unowned
        if not unowned or now < self._stopped_at + STOP_RETRY_SECONDS:
            return []
        self._stopped_at = now
        return [
            workerapi.StopRun(event.incarnation, epoch, run.name, run.run)
            for run in unowned
        ]

    def note_listed(
        self, event: workerapi.ListsReceived, now: float
    ) -> list[object]:
        """Return notes on the runs that a list shows, one for each run."""
        return self._past_runs.note_listed(
            self._find(event, now), event.incarnation, now
        )

    def _find(
        self, event: workerapi.ListsReceived, now: float
    ) -> list[workerapi.RunningRun]:
        """Return the listed runs that aren't known.

        Those that ended after the request for the lists are left out: the
        lists may be older than their end.
        """
        return [
            run
            for run in event.running
            if not self._is_known(run)
            and not self._past_runs.ended_since(
                (run.name, run.run), event.requested_at, now
            )
        ]

    def _is_known(self, run: workerapi.RunningRun) -> bool:
        known = self._known.get(run.name)
        return known is not None and known.ref.run == run.run
