"""Reports that wait to ride together in one ``Results`` message.

Load pattern: short tasks of one owner end within microseconds of each other,
as do all tasks of a cancelled job.  A message each costs both ends its fixed
part, about 50 us, and drowns the entry in wakeups.  A plain delay would
leave a freed slot idle for as long, so the first report goes at once and
only those that follow within the delay are held, until it has passed.
"""

import dataclasses

from agatepick.agentside import ledger
from agatepick.net import messages

MAX_REPORTS = 1000
MAX_BYTES = 4 * 1024 * 1024
"""Reports in a message at most: far below the largest frame of a link."""


@dataclasses.dataclass(slots=True)
class _Queue:
    sent_at: float
    reports: list[messages.TaskReport] = dataclasses.field(
        default_factory=list
    )


class Outbox:
    """Reports by the owner that they go to.

    :param delay: seconds that a report is held at most.
    """

    def __init__(self, delay: float):
        self._delay = delay
        self._queues: dict[ledger.Owner, _Queue] = {}
        self._waiting: dict[ledger.Owner, float] = {}

    def add(self, owner: ledger.Owner, report: messages.TaskReport) -> None:
        """Queue a report for an owner."""
        queue = self._queues.get(owner)
        if queue is None:
            queue = self._queues[owner] = _Queue(0.0)
        queue.reports.append(report)
        self._waiting.setdefault(owner, queue.sent_at + self._delay)

    def hurry(self, owner: ledger.Owner) -> None:
        """What is queued for an owner goes with the next :meth:`due`."""
        if owner in self._waiting:
            self._waiting[owner] = 0.0

    def holds(self, owner: ledger.Owner) -> bool:
        """Whether anything is queued for an owner."""
        return owner in self._waiting

    def due(self, now: float) -> list[ledger.Owner]:
        """Owners whose reports have waited long enough."""
        return [owner for owner, at in self._waiting.items() if at <= now]

    def next_at(self) -> float | None:
        """When reports are due next; ``None`` if none are queued."""
        return min(self._waiting.values(), default=None)

    def take(
        self, owner: ledger.Owner, now: float
    ) -> list[tuple[messages.TaskReport, ...]]:
        """The reports for an owner, by message; they are queued no more."""
        self._waiting.pop(owner, None)
        queue = self._queues[owner]
        queue.sent_at = now
        reports, queue.reports = queue.reports, []
        return list(batches(reports))

    def discard(self, owner: ledger.Owner) -> bool:
        """Forget an owner; whether reports for it were queued."""
        self._queues.pop(owner, None)
        return self._waiting.pop(owner, None) is not None


def batches(
    reports: list[messages.TaskReport],
) -> list[tuple[messages.TaskReport, ...]]:
    """Reports in portions that fit a message."""
    found = []
    batch: list[messages.TaskReport] = []
    size = 0
    for report in reports:
        over = size + len(report.body) > MAX_BYTES
        if batch and (over or len(batch) >= MAX_REPORTS):
            found.append(tuple(batch))
            batch, size = [], 0
        batch.append(report)
        size += len(report.body)
    if batch:
        found.append(tuple(batch))
    return found
