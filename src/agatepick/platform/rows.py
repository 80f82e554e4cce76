"""Client of the platform's store: rows in tables, and a feed of changes."""

import base64
import binascii
import collections
import typing
import urllib.parse

import msgspec

from agatepick import exceptions
from agatepick.net import httpcalls

CALL_SECONDS = 1.0
"""The store answers in 4 ms; when it is slow, in 0.2 s."""

FIRST_CALL_SECONDS = 0.3
"""The same for a call that follows one that went well: a store that is away
in part leaves calls without an answer, and a process that starts just then
would wait for a second beyond its return."""

FEED_SPARE_SECONDS = 0.4
"""Beyond the time that a feed may wait: a connection that has gone silent is
noticed then, and a change is still in force within the platform's 2 s."""

MAX_CONNECTIONS = 4


class Row(msgspec.Struct, frozen=True):
    """One row; ``value`` is empty for a dropped one."""

    table: str
    key: str
    value: bytes = b''
    row_version: int = 0
    deleted: bool = False


class Rows(msgspec.Struct, frozen=True):
    """An answer about rows, as of ``row_version``."""

    rows: tuple[Row, ...]
    row_version: int
    has_more: bool = False


class HistoryGone(exceptions.StoreError):
    """The changes after a version are no longer told; read all again."""


class Patience:
    """How long the next call may take: more after each without an answer.

    :ivar seconds: until the answer must be there.
    """

    def __init__(self) -> None:
        self.seconds = FIRST_CALL_SECONDS

    def answered(self) -> None:
        """A call went well."""
        self.seconds = FIRST_CALL_SECONDS

    def failed(self) -> None:
        """A call got no answer that counts."""
        self.seconds = min(2.0 * self.seconds, CALL_SECONDS)


class RowStore:
    """Calls of the store at one address.

    :ivar counts: calls so far, by path and status or ``no_answer``.
    """

    def __init__(self, address: str):
        self.address = address
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._client: httpcalls.Client | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            self._client.close()
            self._client = None

    async def read(self, table: str, seconds: float = CALL_SECONDS) -> Rows:
        """All rows of a table's empty part, as of the first page.

        A row of the first page that changes while the others are read is
        told by :meth:`changes` after that version; by the last page's, it
        would be missed for good.

        :raises agatepick.exceptions.StoreError: if they can't be had.
        """
        found: list[Row] = []
        params: dict[str, str | int] = {'table': table, 'part': ''}
        version: int | None = None
        while True:
            page = await self._get('/v1/rows-get', params, seconds)
            found += page.rows
            version = page.row_version if version is None else version
            if not page.has_more or not page.rows:
                return Rows(tuple(found), version)
            # The range begins with ``from`` itself.
            params['from'] = page.rows[-1].key + '\0'

    async def read_row(
        self, table: str, key: str, seconds: float = CALL_SECONDS
    ) -> bytes | None:
        """One row's value; ``None`` if there is no such row.

        :raises agatepick.exceptions.StoreError: if it can't be had.
        """
        params: dict[str, str | int] = {
            'table': table,
            'part': '',
            'from': key,
            'target': key + '\0',
            'limit': 1,
        }
        page = await self._get('/v1/rows-get', params, seconds)
        return page.rows[0].value if page.rows else None

    async def changes(self, table: str, after: int, wait: float) -> Rows:
        """Rows changed after a version, as soon as there are any.

        :param wait: seconds after which none is an answer too.
        :raises HistoryGone: if the store has dropped what changed.
        :raises agatepick.exceptions.StoreError: if they can't be had.
        """
        params: dict[str, str | int] = {
            'table': table,
            'after': after,
            'wait_ms': int(wait * 1000),
        }
        return await self._get(
            '/v1/rows-feed', params, wait + FEED_SPARE_SECONDS
        )

    async def write(
        self,
        table: str,
        key: str,
        value: bytes,
        seconds: float = CALL_SECONDS,
    ) -> None:
        """Set a row, whatever it was; done again it changes nothing more.

        :raises agatepick.exceptions.StoreError: if it may not be done.
        """
        row = {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(value).decode(),
        }
        await self._transact({'expected': [], 'set_keys': [row]}, seconds)

    async def remove(self, table: str, key: str) -> None:
        """Drop a row; done again it changes nothing more.

        :raises agatepick.exceptions.StoreError: if it may not be done.
        """
        row = {'table': table, 'part': '', 'key': key}
        await self._transact({'expected': [], 'remove': [row]}, CALL_SECONDS)

    async def _transact(
        self, body: dict[str, typing.Any], seconds: float
    ) -> None:
        data = msgspec.json.encode({'set_keys': [], 'remove': [], **body})
        status, _ = await self._call('POST', '/v1/rows-tx', seconds, data)
        if status != 200:
            raise self._error(f'answered {status}', 'rows-tx')

    async def _get(
        self, path: str, params: dict[str, str | int], seconds: float
    ) -> Rows:
        query = '?' + urllib.parse.urlencode(params)
        status, body = await self._call('GET', path, seconds, query=query)
        if status == 410:
            raise HistoryGone('history gone', step=path, peer=self.address)
        if status != 200:
            raise self._error(f'answered {status}', path)
        try:
            return msgspec.json.decode(body, type=Rows)
        except (msgspec.MsgspecError, binascii.Error) as exc:
            raise self._error(f'bad body: {exc}', path) from exc

    async def _call(
        self,
        method: str,
        path: str,
        seconds: float,
        body: bytes = b'',
        query: str = '',
    ) -> tuple[int, bytes]:
        if self._client is not None and self._client.address != self.address:
            # The settings name another address now.
            await self.close()
        if self._client is None:
            self._client = httpcalls.Client(self.address, MAX_CONNECTIONS)
        try:
            answer = await self._client.call(
                method, path + query, seconds, body, JSON
            )
        except OSError as exc:
            self.counts[path, 'no_answer'] += 1
            raise self._error(repr(exc), path) from exc
        self.counts[path, str(answer.status)] += 1
        return answer.status, answer.body

    def _error(self, what: str, step: str) -> exceptions.StoreUnavailable:
        return exceptions.StoreUnavailable(what, step=step, peer=self.address)


JSON = {'Content-Type': 'application/json'}
