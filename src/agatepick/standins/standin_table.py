"""Stand-in for the platform's transactional table service, with faults.

:class:`MemoryTable` is the table itself and responds synchronously; tests in
virtual time use it directly.  :class:`TableServer` serves it over HTTP and
injects the :class:`Faults` that are set in the same process or by
``POST /v1/faults``.
"""

import asyncio
import dataclasses
import socket

import msgspec
import tornado.httpserver
import tornado.netutil
import tornado.web

from agatepick import exceptions
from agatepick.table import ratelimit
from agatepick.table import store

READS_PER_SECOND = 2000.0
WRITES_PER_SECOND = 400.0

REQUEST_TYPES: dict[str, type[store.Request]] = {
    '/v1/rows/read': store.ReadRow,
    '/v1/rows/after': store.ReadAfter,
    '/v1/transact': store.Transact,
}


class MemoryTable:
    """Table service in memory, whose transactions run one after another."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], bytes] = {}

    def execute(self, request: store.Request) -> store.Rows | store.Committed:
        """Execute one request.

        :raises agatepick.exceptions.StoreConflict: if a condition fails.
        """
        match request:
            case store.ReadRow(table, key):
                return store.Rows(self._read_row(table, key))
            case store.ReadAfter():
                return store.Rows(self._read_after(request))
            case store.Transact():
                return self._transact(request)

    def _read_row(self, table: str, key: str) -> tuple[store.Row, ...]:
        value = self._rows.get((table, key))
        return () if value is None else (store.Row(table, key, value),)

    def _read_after(self, request: store.ReadAfter) -> tuple[store.Row, ...]:
        keys = sorted(
            key
            for table, key in self._rows
            if table == request.table and key > request.after
        )
        return tuple(
            store.Row(request.table, key, self._rows[request.table, key])
            for key in keys[: request.limit]
        )

    def _transact(self, request: store.Transact) -> store.Committed:
        for condition in request.conditions:
            if (
                self._rows.get((condition.table, condition.key))
                != condition.value
            ):
                raise exceptions.StoreConflict(
                    f'{condition.table}/{condition.key} differs',
                    step='transact',
                )
        for put in request.puts:
            self._rows[put.table, put.key] = put.value
        for delete in request.deletes:
            self._rows.pop((delete.table, delete.key), None)
        return store.Committed()


@dataclasses.dataclass
class Faults:
    """Faults to inject, in force until they are changed.

    :param outage: whether every request gets status 503 and has no effect.
    :param silent: whether requests have no effect and get no answer.
    :param delay: seconds until a request takes effect.
    :param answer_delay: seconds from the effect until the answer.
    :param answer_delays: answer delays of the next requests, one each, so
        that answers can overtake each other.
    :param lost_answers: how many of the next transactions take effect, but
        have their connection closed without an answer.
    """

    outage: bool = False
    silent: bool = False
    delay: float = 0.0
    answer_delay: float = 0.0
    answer_delays: list[float] = dataclasses.field(default_factory=list)
    lost_answers: int = 0

    def next_answer_delay(self) -> float:
        """Return the delay of the next answer in seconds.

        Each call uses up one of ``answer_delays`` while there are any.
        """
        if self.answer_delays:
            return self.answer_delays.pop(0)
        return self.answer_delay

    def consume_lost_answer(self) -> bool:
        """Return whether the answer to this transaction is lost.

        Each call uses up one of ``lost_answers``.
        """
        if not self.lost_answers:
            return False
        self.lost_answers -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Rate limits in requests per second."""

    reads: float = READS_PER_SECOND
    writes: float = WRITES_PER_SECOND


@dataclasses.dataclass
class Counts:
    """Numbers of requests that reached the service.

    :param limited: requests that the rate limit rejected.
    """

    reads: int = 0
    writes: int = 0
    limited: int = 0


class TableServer:
    """HTTP server of the table service."""

    def __init__(self, table: store.Table, listen: str, rates: Rates):
        self.table = table
        self.faults = Faults()
        self.counts = Counts()
        now = asyncio.get_running_loop().time()
        self._reads = ratelimit.TokenBucket(rates.reads, rates.reads, now)
        self._writes = ratelimit.TokenBucket(rates.writes, rates.writes, now)
        self._http = tornado.httpserver.HTTPServer(_make_application(self))
        host, _, port = listen.rpartition(':')
        sockets = tornado.netutil.bind_sockets(int(port), host, socket.AF_INET)
        self._http.add_sockets(sockets)
        self.address = f'{host}:{sockets[0].getsockname()[1]}'

    @classmethod
    async def start(
        cls,
        table: store.Table | None = None,
        listen: str = '127.0.0.1:0',
        rates: Rates = Rates(),
    ) -> 'TableServer':
        """Start a server.

        :param table: table to serve; None for a new empty one.
        :param listen: address as ``ip:port``.
        """
        return cls(MemoryTable() if table is None else table, listen, rates)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._http.stop()
        await self._http.close_all_connections()

    def admit(self, request: store.Request) -> bool:
        """Count a request; return whether the rate limit admits it."""
        now = asyncio.get_running_loop().time()
        is_write = isinstance(request, store.Transact)
        if is_write:
            self.counts.writes += 1
        else:
            self.counts.reads += 1
        admitted = (self._writes if is_write else self._reads).acquire(now)
        self.counts.limited += not admitted
        return admitted


def _make_application(server: TableServer) -> tornado.web.Application:
    routes = [
        tornado.web.url(
            path, _RequestHandler, {'server': server, 'kind': kind}
        )
        for path, kind in REQUEST_TYPES.items()
    ]
    routes.append(
        tornado.web.url('/v1/faults', _FaultsHandler, {'server': server})
    )
    return tornado.web.Application(routes, log_function=lambda handler: None)


class _RequestHandler(tornado.web.RequestHandler):
    """Handler of reads and transactions."""

    def initialize(
        self, server: TableServer, kind: type[store.Request]
    ) -> None:
        self._server = server
        self._kind = kind

    async def post(self) -> None:
        try:
            request = msgspec.json.decode(self.request.body, type=self._kind)
        except msgspec.MsgspecError as exc:
            return self._reply(400, str(exc))
        if not self._server.admit(request):
            return self._reply(429, 'too many requests')
        faults = self._server.faults
        if faults.outage:
            return self._reply(503, 'out of service')
        if faults.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(faults.delay)
        try:
            answer = self._server.table.execute(request)
        except exceptions.StoreConflict as exc:
            return self._reply(409, str(exc))
        await asyncio.sleep(faults.next_answer_delay())
        if (
            isinstance(answer, store.Committed)
            and faults.consume_lost_answer()
        ):
            return self._close_connection()
        self.finish(msgspec.json.encode(answer))

    def _reply(self, status: int, text: str) -> None:
        self.set_status(status)
        self.finish(text)

    def _close_connection(self) -> None:
        self.detach().close()


class _FaultsHandler(tornado.web.RequestHandler):
    """Handler that replaces the server's faults by those in a request."""

    def initialize(self, server: TableServer) -> None:
        self._server = server

    def post(self) -> None:
        try:
            faults = msgspec.json.decode(self.request.body, type=Faults)
        except msgspec.MsgspecError as exc:
            self.set_status(400)
            self.finish(str(exc))
            return
        self._server.faults = faults
        self.finish('{}')
