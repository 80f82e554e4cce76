"""Queues of task reports that are sent together in ``Results`` messages.

Load pattern: short tasks of one owner end within microseconds of each other,
as do all tasks of a cancelled job.  Each message has a fixed cost of about
50 us at both ends, and one per report would overload the entry with wakeups.
Delaying every report would leave freed slots idle for that time, so the first
report is sent at once, and only reports that follow within the delay are held
until it has passed.
"""

import dataclasses

from agatepick.agentside import ledger
from agatepick.net import messages

MAX_BATCH_REPORTS = 1000
MAX_BATCH_BODY_BYTES = 4 * 1024 * 1024
"""Limits of one message: the number of its reports, and the size of their
bodies, which is far below the largest frame size."""


@dataclasses.dataclass(slots=True)
class _Queue:
    """The reports for one owner, and when the last ones were sent to it."""

    sent_at: float
    reports: list[messages.TaskReport] = dataclasses.field(
        default_factory=list
    )


class Outbox:
    """Queues of reports, one for each owner.

    :param delay: longest time that a report is held, in seconds.
    """

    def __init__(self, delay: float):
        self._delay = delay
        self._queues: dict[ledger.EntryId, _Queue] = {}
        self._due_at: dict[ledger.EntryId, float] = {}

    def add(self, owner: ledger.EntryId, report: messages.TaskReport) -> None:
        """Queue a report for an owner."""
        queue = self._queues.get(owner)
        if queue is None:
            queue = self._queues[owner] = _Queue(0.0)
        queue.reports.append(report)
        self._due_at.setdefault(owner, queue.sent_at + self._delay)

    def make_due(self, owner: ledger.EntryId) -> None:
        """Make an owner's queued reports due at the next :meth:`list_due`."""
        if owner in self._due_at:
            self._due_at[owner] = 0.0

    def has_reports(self, owner: ledger.EntryId) -> bool:
        """Return whether any report is queued for an owner."""
        return owner in self._due_at

    def list_due(self, now: float) -> list[ledger.EntryId]:
        """Return the owners whose reports are due."""
        return [owner for owner, at in self._due_at.items() if at <= now]

    def next_due_at(self) -> float | None:
        """Return the instant at which the next reports are due.

        :returns: ``None`` if no report is queued.
        """
        return min(self._due_at.values(), default=None)

    def pop(
        self, owner: ledger.EntryId, now: float
    ) -> list[tuple[messages.TaskReport, ...]]:
        """Remove an owner's reports and return them in batches."""
        self._due_at.pop(owner, None)
        queue = self._queues[owner]
        queue.sent_at = now
        reports, queue.reports = queue.reports, []
        return list(split_batches(reports))

    def discard(self, owner: ledger.EntryId) -> bool:
        """Delete an owner's queue and return whether it had reports."""
        self._queues.pop(owner, None)
        return self._due_at.pop(owner, None) is not None


def split_batches(
    reports: list[messages.TaskReport],
) -> list[tuple[messages.TaskReport, ...]]:
    """Split reports into batches that fit a message each."""
    result = []
    batch: list[messages.TaskReport] = []
    size = 0
    for report in reports:
        too_large = size + len(report.body) > MAX_BATCH_BODY_BYTES
        if batch and (too_large or len(batch) >= MAX_BATCH_REPORTS):
            result.append(tuple(batch))
            batch, size = [], 0
        batch.append(report)
        size += len(report.body)
    if batch:
        result.append(tuple(batch))
    return result
