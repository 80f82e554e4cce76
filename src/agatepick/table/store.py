"""What agatepick asks of the platform's transactional table service.

Rows are named by table and key and hold bytes.  A :class:`Transact` takes
effect as a whole or not at all, and only if all its conditions hold at that
instant.  A reducer asks by the effect :class:`CallStore` and is answered by
the event :class:`StoreAnswered` with the same id.
"""

import dataclasses
import typing

from agatepick import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row."""

    table: str
    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """The row holds exactly ``value``; ``None``: there is no such row."""

    table: str
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class RowName:
    """A row to delete."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRow:
    """Read one row."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAfter:
    """Read up to ``limit`` rows whose keys sort after ``after``, in order."""

    table: str
    after: str
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Transact:
    """Write and delete rows if every condition holds."""

    conditions: tuple[Condition, ...]
    puts: tuple[Row, ...]
    deletes: tuple[RowName, ...] = ()


Request = ReadRow | ReadAfter | Transact


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Answer to a read: what was found."""

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Answer to a transaction that took effect."""


Answer = Rows | Committed | exceptions.StoreError
"""An error is an expected answer: ``StoreConflict`` and ``StoreUnavailable``
mean that nothing was written, ``StoreUnknown`` that it can't be told."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallStore:
    """Effect: send a request to the store.

    :param timeout: seconds after which it is answered by an error.
    """

    id: int
    request: Request
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswered:
    """Event: how the :class:`CallStore` of that id ended."""

    id: int
    answer: Answer


class Table(typing.Protocol):
    """A table service that answers at once."""

    def execute(self, request: Request) -> Rows | Committed:
        """Carry out one request.

        :raises agatepick.exceptions.StoreError: if it can't be done.
        """
        ...


class Store(typing.Protocol):
    """A table service behind a network."""

    async def call(self, call: CallStore) -> StoreAnswered:
        """Carry out one call; errors are in the answer, none is raised."""
        ...
