"""Reader of the configuration's head and of the missing change rows.

One read is in progress at a time: it reads the head, then the change rows that
are not known yet, and the snapshot if the needed rows were deleted.
"""

import dataclasses
import typing

from agatepick.config import cluster
from agatepick.config import headrows
from agatepick.config import history
from agatepick import exceptions
from agatepick.table import store


@dataclasses.dataclass(frozen=True, slots=True)
class HeadSeen:
    """Outcome: the head was read, and every version up to it is known."""

    head: cluster.Head


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """Outcome: the store couldn't be read."""

    reason: str


Outcome = HeadSeen | ReadFailed | store.Request
"""Outcome of a step; a request must be sent next."""


class HeadReader:
    """State of the read in progress."""

    def __init__(self, known: history.History):
        self._known = known
        self._head: cluster.Head | None = None
        self._asked: store.Request | None = None

    @property
    def busy(self) -> bool:
        """Return whether a read is in progress."""
        return self._asked is not None

    def start(self) -> store.Request:
        """Start a read; return its first request, which reads the head."""
        self._head = None
        return self._ask(headrows.read_head)

    def answered(self, answer: store.Answer, now: float) -> Outcome:
        """Handle the store's answer to the last request."""
        asked, self._asked = self._asked, None
        if not isinstance(answer, store.Rows):
            return ReadFailed(str(answer))
        try:
            return self._step(asked, answer, now)
        except exceptions.AgatepickError as exc:
            return ReadFailed(exc.show())

    def _ask(self, request: store.Request) -> store.Request:
        self._asked = request
        return request

    def _step(
        self, asked: store.Request | None, rows: store.Rows, now: float
    ) -> Outcome:
        if asked == headrows.read_head:
            self._head = headrows.head_of(rows)
        elif asked == headrows.read_snapshot:
            if not self._known.adopt(headrows.snapshot_of(rows), now):
                raise exceptions.BadMessage(
                    'snapshot is older than what is known', step='read'
                )
        else:
            taken = [
                self._known.take(row, now) for row in headrows.changes_of(rows)
            ]
            if not any(taken) and self._behind():
                return self._ask(headrows.read_snapshot)
        return self._next()

    def _behind(self) -> bool:
        head = typing.cast(cluster.Head, self._head)
        return head.version > self._known.version

    def _next(self) -> Outcome:
        head = typing.cast(cluster.Head, self._head)
        if self._behind():
            return self._ask(headrows.read_changes(self._known.version))
        self._known.see(head)
        return HeadSeen(head)
