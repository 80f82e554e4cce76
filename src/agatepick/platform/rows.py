"""Client of the platform's store: rows in tables, and a feed of changes."""

import base64
import collections
import typing
import urllib.parse

import msgspec

from agatepick import exceptions
from agatepick.net import decoding
from agatepick.net import httpcalls

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of a call.  The store answers in 4 ms, in 0.2 s when it is slow."""

FIRST_CALL_TIMEOUT_SECONDS = 0.3
"""Timeout of the first call and of one after a success.  A partly unavailable
store leaves calls without an answer, and with
:data:`CALL_TIMEOUT_SECONDS` a process that starts meanwhile would wait for a
second beyond the store's return."""

CHANGES_MARGIN_SECONDS = 0.4
"""Time beyond its wait after which a call for changes counts as unanswered, as
its connection is silent; even then a change is in force within the 2 s that
the platform allows."""

MAX_CONNECTIONS = 4

MAX_UNANSWERED = 1
"""Number of timeouts after which no idle connection is used any more.  Each
further call on a silent one would delay a change by a whole timeout, and two
of them exceed what the platform allows."""


class Row(msgspec.Struct, frozen=True):
    """One row; ``value`` is empty for a deleted one."""

    table: str
    key: str
    value: bytes = b''
    row_version: int = 0
    deleted: bool = False


class Rows(msgspec.Struct, frozen=True):
    """The rows of an answer, as of ``row_version``."""

    rows: tuple[Row, ...]
    row_version: int
    has_more: bool = False


class HistoryGone(exceptions.StoreError):
    """The store has discarded the changes; the table must be read again."""


class CallTimeout:
    """The timeout of the next call, which doubles after each failure.

    :ivar seconds: time within which the answer must arrive.
    """

    def __init__(self) -> None:
        self.seconds = FIRST_CALL_TIMEOUT_SECONDS

    def reset(self) -> None:
        """Return to the first timeout after a successful call."""
        self.seconds = FIRST_CALL_TIMEOUT_SECONDS

    def increase(self) -> None:
        """Double the timeout after a failed call, up to the maximum."""
        self.seconds = min(2.0 * self.seconds, CALL_TIMEOUT_SECONDS)


class RowStore:
    """A client of the store at one address.

    :ivar call_counts: number of calls, by path and status or ``no_answer``.
    """

    def __init__(self, address: str):
        self.address = address
        self.call_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._client: httpcalls.Client | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            self._client.close()
            self._client = None

    async def read(
        self, table: str, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Rows:
        """Return all rows of a table in the part with the empty name.

        The version returned is that of the first page.  A row of the first
        page may change while later pages are read: :meth:`changes` after this
        version returns it, but after the version of the last page the change
        would be missed permanently.

        :raises agatepick.exceptions.StoreError: if the rows can't be read.
        """
        collected: list[Row] = []
        params: dict[str, str | int] = {'table': table, 'part': ''}
        version: int | None = None
        while True:
            page = await self._get('/v1/rows-get', params, timeout_seconds)
            collected += page.rows
            version = page.row_version if version is None else version
            if not page.has_more or not page.rows:
                return Rows(tuple(collected), version)
            # The range includes ``from``.
            params['from'] = page.rows[-1].key + '\0'

    async def read_row(
        self,
        table: str,
        key: str,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> bytes | None:
        """Return a row's value, or ``None`` if there is no such row.

        :raises agatepick.exceptions.StoreError: if the row can't be read.
        """
        params: dict[str, str | int] = {
            'table': table,
            'part': '',
            'from': key,
            'target': key + '\0',
            'limit': 1,
        }
        page = await self._get('/v1/rows-get', params, timeout_seconds)
        return page.rows[0].value if page.rows else None

    async def changes(self, table: str, after: int, wait: float) -> Rows:
        """Return the rows that changed after a version.

        The store answers as soon as there is a change.

        :param wait: seconds after which the answer may be empty.
        :raises HistoryGone: if the store has discarded these changes.
        :raises agatepick.exceptions.StoreError: if they can't be read.
        """
        params: dict[str, str | int] = {
            'table': table,
            'after': after,
            'wait_ms': int(wait * 1000),
        }
        return await self._get(
            '/v1/rows-feed', params, wait + CHANGES_MARGIN_SECONDS
        )

    async def write(
        self,
        table: str,
        key: str,
        value: bytes,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Write a row unconditionally; a retry is idempotent.

        :raises agatepick.exceptions.StoreError: if the write may not have
            been applied.
        """
        row = {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(value).decode(),
        }
        await self._transact(
            {'expected': [], 'set_keys': [row]}, timeout_seconds
        )

    async def remove(self, table: str, key: str) -> None:
        """Delete a row; a retry is idempotent.

        :raises agatepick.exceptions.StoreError: if the deletion may not have
            been applied.
        """
        row = {'table': table, 'part': '', 'key': key}
        await self._transact(
            {'expected': [], 'remove': [row]}, CALL_TIMEOUT_SECONDS
        )

    async def _transact(
        self, body: dict[str, typing.Any], timeout_seconds: float
    ) -> None:
        data = msgspec.json.encode({'set_keys': [], 'remove': [], **body})
        status, _ = await self._call(
            'POST', '/v1/rows-tx', timeout_seconds, data
        )
        if status != 200:
            raise self._make_error(f'answered {status}', 'rows-tx')

    async def _get(
        self, path: str, params: dict[str, str | int], timeout_seconds: float
    ) -> Rows:
        query = '?' + urllib.parse.urlencode(params)
        status, body = await self._call(
            'GET', path, timeout_seconds, query=query
        )
        if status == 410:
            raise HistoryGone(
                'the changes were discarded', step=path, peer=self.address
            )
        if status != 200:
            raise self._make_error(f'answered {status}', path)
        try:
            return decoding.decode(body, Rows)
        except decoding.Unreadable as exc:
            raise self._make_error(f'invalid body: {exc}', path) from exc

    async def _call(
        self,
        method: str,
        path: str,
        timeout_seconds: float,
        body: bytes = b'',
        query: str = '',
    ) -> tuple[int, bytes]:
        if self._client is not None and self._client.address != self.address:
            # The settings were reloaded with another address.
            await self.close()
        if self._client is None:
            self._client = httpcalls.Client(
                self.address, MAX_CONNECTIONS, MAX_UNANSWERED
            )
        try:
            answer = await self._client.call(
                method, path + query, timeout_seconds, body, JSON_HEADERS
            )
        except OSError as exc:
            self.call_counts[path, 'no_answer'] += 1
            raise self._make_error(repr(exc), path) from exc
        self.call_counts[path, str(answer.status)] += 1
        return answer.status, answer.body

    def _make_error(self, what: str, step: str) -> exceptions.StoreUnavailable:
        return exceptions.StoreUnavailable(what, step=step, peer=self.address)


JSON_HEADERS = {'Content-Type': 'application/json'}
