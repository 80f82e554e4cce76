"""What an agent knows of the runs during which its worker crashed.

Load pattern: a task crashes each worker that starts it, and the worker is back
some seconds later.  If its entry learnt only that the run is over, it would
start the task again, and one task would take down worker after worker with all
that runs beside it.

A crash is shown by another incarnation in place of the last one, which has
neither said that it exits nor announced it.  An agent that was suspended or
has just started hasn't seen what happened meanwhile, so it reports no crash.
A silent worker may have crashed or be cut off: its runs are reported as such,
and once more if its next incarnation shows a crash.

A worker that refuses connections has most likely crashed, and its next
incarnation may take seconds to show it, in which a task would take down more
workers.  So its runs are reported at once; the report is withdrawn if the same
incarnation answers again, as it had only closed its port.
"""

import dataclasses
import math

from agatepick import core
from agatepick.repeatable import pauses
from agatepick.repeatable import reports
from agatepick.repeatable import runs
from agatepick import types

WORKER_CRASHED = 'worker_crashed'
"""Reason code of reports on runs during which the worker crashed.  With the
state ``RUNNING`` it doesn't tell that the run is over: a start in transit may
reach the next incarnation."""

WORKER_REFUSED = 'worker_refused'
"""Reason code of reports on runs at a worker that refuses connections."""

WORKER_RETURNED = 'worker_returned'
"""Reason code of reports that withdraw those of crashes."""

WORKER_SILENT = 'worker_silent'
"""Reason code of reports on runs that are over as the worker was silent."""

MAX_DOWN_SECONDS = 20.0
"""Time after the end of a silent worker's run up to which another incarnation
shows that it crashed; later, other causes are as likely."""

SUSPENDED_SECONDS = 1.0
"""Time without any event that shows that this process was suspended: it has a
timer several times a second."""

DISTRUST_SECONDS = 1.5
"""Time after a suspension during which other incarnations show no crash: the
runs may have ended with their lease before."""

MEMORY_SECONDS = 120.0
"""Time for which the names of such tasks are kept: a job's callers submit it
again within two minutes."""

MAX_REMEMBERED = 512
"""Largest number of names kept: the runs of some twenty crashes."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Remembered:
    """Crashes under one task.

    :param at: instant of the last one.
    """

    count: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _SilentEnd:
    """A run that is over, of a worker that has been silent since."""

    run: runs.Run
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """A refused connection to the watched incarnation.

    :param at: instant of the first one since the last answer; infinite if
        there was none.
    :param reported: runs that were reported for it.
    """

    at: float = math.inf
    reported: tuple[runs.Run, ...] = ()


_NO_REFUSAL = _Refusal()


class CrashEvidence:
    """Record of the runs during which one agent's worker crashed.

    :param enabled: whether crashes are reported at all.
    """

    def __init__(self, run_reports: reports.Reports, enabled: bool) -> None:
        self.enabled = enabled
        self._reports = run_reports
        self._watched = ''
        self._silent_ends: list[_SilentEnd] = []
        self._refusal = _NO_REFUSAL
        self._remembered: dict[str, _Remembered] = {}
        self._pauses = pauses.PauseWatch(SUSPENDED_SECONDS)
        self._distrust_until = 0.0

    def record_step(self, now: float) -> None:
        """Record that this process handles an event."""
        if self._pauses.record_event(now):
            self._distrust_until = now + DISTRUST_SECONDS
            self._silent_ends.clear()

    def watch(self, incarnation: str) -> None:
        """Expect an incarnation to stay; empty for one that says it exits."""
        self._watched = incarnation

    def record_answer(self, requested_at: float) -> list[object]:
        """Record that the watched incarnation answers: it hasn't crashed.

        :param requested_at: instant of the request that it answers.
        """
        self._silent_ends.clear()
        if requested_at <= self._refusal.at:
            return []
        return self._withdraw()

    def record_departure(self) -> list[object]:
        """Record that the watched incarnation says that it exits."""
        self.watch('')
        return self._withdraw()

    def _withdraw(self) -> list[object]:
        """Withdraw the reports on refused connections."""
        withdrawn = self._refusal.reported
        self._refusal = _NO_REFUSAL
        for run in withdrawn:
            self._withdraw_run(run)
        if not withdrawn:
            return []
        return [core.note('worker_returned', runs=len(withdrawn))]

    def review_listed(self, run: runs.Run) -> None:
        """Withdraw the crash under a run that the present incarnation lists.

        Its start was in transit as the former one crashed, so it never ran
        there, unless the start was sent to both.  While connections are
        refused, the list may be older than the refusal.
        """
        refused = any(run is reported for reported in self._refusal.reported)
        if run.crashed and run.start_count == 1 and not refused:
            self._withdraw_run(run)

    def _withdraw_run(self, run: runs.Run) -> None:
        run.crashed = False
        self._forget_one(run.name)
        self._reports.add(
            run.owner, run.ref, types.RunState.RUNNING, WORKER_RETURNED, 0.0
        )

    def record_silent_end(self, run: runs.Run, now: float) -> str:
        """Record a run that is over as its worker was silent.

        :returns: reason code of the report.
        """
        if not self.enabled or not self._watched or now < self._distrust_until:
            return 'lapsed'
        if run.crashed:
            # The refused connection was reported, and is withdrawn if need be.
            return 'lapsed'
        self._silent_ends.append(_SilentEnd(run, now))
        return WORKER_SILENT

    def record_incarnation(
        self, incarnation: str, present: list[runs.Run], now: float
    ) -> list[object]:
        """Report a crash if another incarnation is in the place of the last.

        :param present: runs that aren't known to be over.
        """
        if not self._watched or incarnation == self._watched:
            return []
        self._watched = ''
        refused, self._refusal = self._refusal.reported, _NO_REFUSAL
        for run in refused:
            # Reported and remembered as refused; now it is proven.
            self._report(run, types.RunState.RUNNING, WORKER_CRASHED, 0, now)
        reported = self._report_all(present, WORKER_CRASHED, now)
        if not self._may_report(now):
            return []
        beside = len(refused) + len(reported)
        return [core.note('worker_crashed', runs=beside)]

    def record_refusal(
        self, present: list[runs.Run], now: float
    ) -> list[object]:
        """Report that the worker refuses connections: it may have crashed.

        :param present: runs that aren't known to be over.
        """
        if not self._watched or self._refusal.at <= now:
            return []
        reported = self._report_all(present, WORKER_REFUSED, now)
        self._refusal = _Refusal(now, tuple(reported))
        if not self._may_report(now):
            return []
        return [core.note('worker_refused', runs=len(reported))]

    def _may_report(self, now: float) -> bool:
        return self.enabled and now >= self._distrust_until

    def _report_all(
        self, present: list[runs.Run], reason: str, now: float
    ) -> list[runs.Run]:
        """Report the runs under which the worker crashed, or may have.

        :returns: those that weren't reported before.
        """
        silent_ends = [
            end.run
            for end in self._silent_ends
            if now <= end.at + MAX_DOWN_SECONDS
        ]
        self._silent_ends.clear()
        if not self._may_report(now):
            return []
        beside = len(present) + len(silent_ends)
        # A start in transit outlasts the crash that was reported.
        fresh = [run for run in present if not run.crashed]
        for run in fresh:
            run.crashed = True
            self._report(run, types.RunState.RUNNING, reason, beside, now)
        for run in silent_ends:
            self._report(run, types.RunState.OVER, reason, beside, now)
        for run in [*fresh, *silent_ends]:
            self._remember(run.name, now)
        return [*fresh, *silent_ends]

    def _report(
        self,
        run: runs.Run,
        state: types.RunState,
        reason: str,
        beside: int,
        now: float,
    ) -> None:
        self._reports.add(
            run.owner,
            run.ref,
            state,
            reason,
            now - run.requested_at,
            beside=beside,
        )

    def _remember(self, name: str, now: float) -> None:
        count = self.count(name, now) + 1
        self._remembered.pop(name, None)
        self._remembered[name] = _Remembered(count, now)
        if len(self._remembered) > MAX_REMEMBERED:
            del self._remembered[next(iter(self._remembered))]

    def _forget_one(self, name: str) -> None:
        remembered = self._remembered.pop(name, None)
        if remembered is not None and remembered.count > 1:
            self._remembered[name] = dataclasses.replace(
                remembered, count=remembered.count - 1
            )

    def count(self, name: str, now: float) -> int:
        """Return how often the worker crashed under a task, of late."""
        remembered = self._remembered.get(name)
        if remembered is None or now > remembered.at + MEMORY_SECONDS:
            return 0
        return remembered.count
