"""What entries are told of their runs, also after a broken connection.

A report may be lost with its connection.  So reports are kept for a while,
and an entry that connects again is told all that the agent knows of its
runs: what isn't in that list is over.
"""

import collections
import typing

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import runs
from agatepick import types

NO_PAYLOAD = 'payload'
"""Why a run is refused whose payload the agent doesn't have."""

KEPT_SECONDS = 5.0
"""How long reports are kept for an entry whose connection broke."""


class Reports:
    """Reports to all entries."""

    def __init__(self) -> None:
        self._kept: dict[
            runs.Owner, collections.deque[tuple[float, messages.RunReport]]
        ] = {}
        self._reports: dict[runs.Owner, list[messages.RunReport]] = {}

    def forget(self, owner: runs.Owner) -> None:
        """An entry's life is over."""
        owner.gone = True
        self._kept.pop(owner, None)
        self._reports.pop(owner, None)

    def add(
        self,
        owner: runs.Owner,
        ref: messages.RunRef,
        state: types.RunState,
        reason: str,
        seconds: float,
    ) -> None:
        """A run stands otherwise now.

        What an earlier life of an entry asked for isn't told to the next:
        it may own a job of the same name by now.
        """
        if owner.gone:
            return
        report = messages.RunReport(
            ref.job, ref.index, ref.run, state.value, reason, seconds
        )
        self._reports.setdefault(owner, []).append(report)

    def flush(self, now: float) -> list[object]:
        """The messages that bring all reports on their way."""
        if not self._reports:
            return []
        effects: list[object] = []
        for owner, reports in self._reports.items():
            kept = self._kept.setdefault(owner, collections.deque())
            kept.extend((now, report) for report in reports)
            effects.append(
                core.Send(owner.name, messages.RunReports(tuple(reports)))
            )
        self._reports.clear()
        return effects

    def whole(
        self, owner: runs.Owner, running: typing.Iterable[runs.Run], now: float
    ) -> messages.RunReports:
        """All runs of an entry, as it may have missed reports."""
        kept = self._kept.get(owner, collections.deque())
        while kept and kept[0][0] < now - KEPT_SECONDS:
            kept.popleft()
        reports = [report for _, report in kept]
        reports += [
            messages.RunReport(
                run.ref.job,
                run.ref.index,
                run.ref.run,
                types.RunState.RUNNING.value,
            )
            for run in running
            if run.owner is owner
        ]
        return messages.RunReports(tuple(reports), whole=True)
