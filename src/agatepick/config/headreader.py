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
class HeadRead:
    """Outcome of a read after which every version up to the head is known."""

    head: cluster.Head


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """Outcome of a read that failed."""

    reason: str


StepOutcome = HeadRead | ReadFailed | store.Request
"""Outcome of one step of a read; a request is the next one to send."""


class HeadReader:
    """Reader of the head and the versions up to it, one read at a time."""

    def __init__(self, version_history: history.History):
        self._history = version_history
        self._head: cluster.Head | None = None
        self._request: store.Request | None = None

    @property
    def busy(self) -> bool:
        """Return whether a read is in progress."""
        return self._request is not None

    def start(self) -> store.Request:
        """Start a read; return its first request, which reads the head."""
        self._head = None
        return self._set_request(headrows.READ_HEAD)

    def handle_answer(self, answer: store.Answer, now: float) -> StepOutcome:
        """Handle the store's answer to the last request."""
        request, self._request = self._request, None
        if not isinstance(answer, store.Rows):
            return ReadFailed(str(answer))
        try:
            return self._handle_rows(request, answer, now)
        except exceptions.AgatepickError as exc:
            return ReadFailed(exc.show())

    def _set_request(self, request: store.Request) -> store.Request:
        self._request = request
        return request

    def _handle_rows(
        self, request: store.Request | None, rows: store.Rows, now: float
    ) -> StepOutcome:
        if request == headrows.READ_HEAD:
            self._head = headrows.parse_head(rows)
        elif request == headrows.READ_SNAPSHOT:
            if not self._history.add_snapshot(
                headrows.parse_snapshot(rows), now
            ):
                raise exceptions.BadMessage(
                    'snapshot is older than what is known', step='read'
                )
        else:
            added = [
                self._history.add_row(row, now)
                for row in headrows.parse_changes(rows)
            ]
            if not any(added) and self._is_behind():
                return self._set_request(headrows.READ_SNAPSHOT)
        return self._continue()

    def _is_behind(self) -> bool:
        head = typing.cast(cluster.Head, self._head)
        return head.version > self._history.version

    def _continue(self) -> StepOutcome:
        head = typing.cast(cluster.Head, self._head)
        if self._is_behind():
            return self._set_request(
                headrows.make_changes_request(self._history.version)
            )
        self._history.record_head(head)
        return HeadRead(head)
