"""Reports on runs to entries, also after a broken connection.

A report may be lost with its connection.  Reports are therefore kept for a
while, and an entry that reconnects receives a full report on all of its runs:
a run that the full report doesn't contain has ended.
"""

import collections
import dataclasses
import typing

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import faults
from agatepick.repeatable import runs
from agatepick import types

NO_PAYLOAD = 'payload'
"""Reason code for refusing a run whose payload the agent doesn't have."""

CRASHED_BEFORE = 'crashed_before'
"""Reason code for refusing a run under whose task the worker crashed, unless
the entry knows of each crash."""

SUSPECT_THERE = 'suspect_there'
"""Reason code for refusing a run that must not run beside another such one."""

RETENTION_SECONDS = 5.0
"""Time for which reports are kept for an entry whose connection broke."""


_History = collections.deque[tuple[float, messages.RunReport]]


def make_plain(message: messages.RunReports) -> messages.RunReports:
    """Return the same reports without reasons and times.

    The worker sends these; the other values are our own.
    """
    plain = tuple(
        dataclasses.replace(report, reason=faults.REASON, seconds=0.0)
        for report in message.reports
    )
    return messages.RunReports(plain, message.whole)


class Reports:
    """Reports to all entries."""

    def __init__(self) -> None:
        self._history: dict[runs.Owner, _History] = {}
        self._queued: dict[runs.Owner, list[messages.RunReport]] = {}

    def forget(self, owner: runs.Owner) -> None:
        """Drop the reports to an ended incarnation of an entry."""
        owner.replaced = True
        self._history.pop(owner, None)
        self._queued.pop(owner, None)

    def add(
        self,
        owner: runs.Owner,
        ref: messages.RunRef,
        state: types.RunState,
        reason: str,
        seconds: float,
        *,
        beside: int = 0,
        crashes: int = 0,
    ) -> None:
        """Queue a report on a run's new state.

        Reports on runs that an earlier incarnation of an entry requested
        aren't sent to the next one: it may own a job of the same name by now.
        """
        if owner.replaced:
            return
        report = messages.RunReport(
            ref.job,
            ref.index,
            ref.run,
            state.value,
            reason,
            seconds,
            beside,
            crashes,
        )
        self._queued.setdefault(owner, []).append(report)

    def flush(self, now: float) -> list[object]:
        """Return the messages that contain all queued reports."""
        if not self._queued:
            return []
        effects: list[object] = []
        for owner, reports in self._queued.items():
            history = self._history.setdefault(owner, collections.deque())
            history.extend((now, report) for report in reports)
            _drop_old(history, now)
            effects.append(
                core.Send(owner.name, messages.RunReports(tuple(reports)))
            )
        self._queued.clear()
        return effects

    def build_full_report(
        self, owner: runs.Owner, running: typing.Iterable[runs.Run], now: float
    ) -> messages.RunReports:
        """Return a full report on an entry's runs, for a new connection."""
        history = self._history.get(owner, collections.deque())
        _drop_old(history, now)
        refs = dict.fromkeys(run.ref for run in running if run.owner is owner)
        # A job that was submitted again has the run numbers of its first
        # submission, whose reports would end the run that is going on.
        reports = [
            report
            for _, report in history
            if messages.RunRef(report.job, report.index, report.run)
            not in refs
        ]
        reports += [
            messages.RunReport(
                ref.job, ref.index, ref.run, types.RunState.RUNNING.value
            )
            for ref in refs
        ]
        return messages.RunReports(tuple(reports), whole=True)


def _drop_old(history: _History, now: float) -> None:
    while history and history[0][0] < now - RETENTION_SECONDS:
        history.popleft()
