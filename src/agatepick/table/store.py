"""Interface of the platform's transactional table service.

Rows are identified by table and key and hold bytes.  A :class:`Transact` takes
effect as a whole or not at all, and only if all its conditions hold at that
instant.  A reducer sends a request by the effect :class:`CallStore` and
receives the answer as the event :class:`StoreAnswered` with the same id.
"""

import dataclasses
import typing

from agatepick import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of a table."""

    table: str
    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Condition that a row holds ``value``, or doesn't exist if ``None``."""

    table: str
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class RowName:
    """Identifier of a row to delete."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRow:
    """Request that reads one row."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAfter:
    """Request for the first ``limit`` rows, by key, after key ``after``."""

    table: str
    after: str
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Transact:
    """Request that writes and deletes rows if every condition holds."""

    conditions: tuple[Condition, ...]
    puts: tuple[Row, ...]
    deletes: tuple[RowName, ...] = ()


Request = ReadRow | ReadAfter | Transact


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Answer to a read: the rows that were found."""

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Answer to a transaction that took effect."""


Answer = Rows | Committed | exceptions.StoreError
"""Answer to a request; errors are expected answers.

``StoreConflict`` and ``StoreUnavailable`` mean that nothing was written,
``StoreUnknown`` that it is not known whether the transaction took effect.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class CallStore:
    """Effect that sends a request to the store.

    :param timeout_seconds: time after which the answer is an error.
    """

    id: int
    request: Request
    timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswered:
    """Event that carries the answer to the :class:`CallStore` of that id."""

    id: int
    answer: Answer


class Table(typing.Protocol):
    """Interface of a local table service."""

    def execute(self, request: Request) -> Rows | Committed:
        """Execute one request.

        :raises agatepick.exceptions.StoreError: if the request fails.
        """
        ...


class Store(typing.Protocol):
    """Interface of a client of a remote table service."""

    async def call(self, call: CallStore) -> StoreAnswered:
        """Execute one call; errors are returned in the answer, not raised."""
        ...
