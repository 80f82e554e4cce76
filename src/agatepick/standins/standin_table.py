"""Stand-in for the platform's transactional table service, with faults.

:class:`MemoryTable` is the table itself and answers at once; tests in
virtual time use it alone.  :class:`TableServer` puts it behind HTTP and
brings about the :class:`Faults` that its user sets, in the same process or
by ``POST /v1/faults``.
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

PATHS: dict[str, type[store.Request]] = {
    '/v1/rows/read': store.ReadRow,
    '/v1/rows/after': store.ReadAfter,
    '/v1/transact': store.Transact,
}


class MemoryTable:
    """Rows in memory; transactions take effect one after another."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], bytes] = {}

    def execute(self, request: store.Request) -> store.Rows | store.Committed:
        """Carry out one request.

        :raises agatepick.exceptions.StoreConflict: if a condition fails.
        """
        match request:
            case store.ReadRow(table, key):
                return store.Rows(self._row(table, key))
            case store.ReadAfter():
                return store.Rows(self._after(request))
            case store.Transact():
                return self._transact(request)

    def _row(self, table: str, key: str) -> tuple[store.Row, ...]:
        value = self._rows.get((table, key))
        return () if value is None else (store.Row(table, key, value),)

    def _after(self, request: store.ReadAfter) -> tuple[store.Row, ...]:
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
        for one in request.conditions:
            if self._rows.get((one.table, one.key)) != one.value:
                raise exceptions.StoreConflict(
                    f'{one.table}/{one.key} differs', step='transact'
                )
        for put in request.puts:
            self._rows[put.table, put.key] = put.value
        for gone in request.deletes:
            self._rows.pop((gone.table, gone.key), None)
        return store.Committed()


@dataclasses.dataclass
class Faults:
    """What goes wrong at the service until it is set otherwise.

    :param outage: every request is answered 503 and does nothing.
    :param silent: requests do nothing and are never answered.
    :param delay: seconds until a request takes effect.
    :param answer_delay: seconds from the effect until the answer.
    :param answer_delays: the same for the next answers one by one, which
        lets them overtake another.
    :param lost_answers: as many next transactions take effect, and their
        connection ends without an answer.
    """

    outage: bool = False
    silent: bool = False
    delay: float = 0.0
    answer_delay: float = 0.0
    answer_delays: list[float] = dataclasses.field(default_factory=list)
    lost_answers: int = 0

    def next_answer_delay(self) -> float:
        """Seconds to hold back the next answer."""
        if self.answer_delays:
            return self.answer_delays.pop(0)
        return self.answer_delay

    def loses_answer(self) -> bool:
        """Whether the answer to this transaction is to be lost."""
        if not self.lost_answers:
            return False
        self.lost_answers -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Requests a second that the service lets in."""

    reads: float = READS_PER_SECOND
    writes: float = WRITES_PER_SECOND


@dataclasses.dataclass
class Counts:
    """Requests that reached the service."""

    reads: int = 0
    writes: int = 0
    limited: int = 0


class TableServer:
    """The table service on an HTTP port."""

    def __init__(self, table: store.Table, listen: str, rates: Rates):
        self.table = table
        self.faults = Faults()
        self.counts = Counts()
        now = asyncio.get_running_loop().time()
        self._reads = ratelimit.TokenBucket(rates.reads, rates.reads, now)
        self._writes = ratelimit.TokenBucket(rates.writes, rates.writes, now)
        self._http = tornado.httpserver.HTTPServer(_application(self))
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
        """A server at ``ip:port``; a new empty table if none is given."""
        return cls(MemoryTable() if table is None else table, listen, rates)

    async def stop(self) -> None:
        """Close the port and every connection."""
        self._http.stop()
        await self._http.close_all_connections()

    def admit(self, request: store.Request) -> bool:
        """Count a request; whether the rate limit lets it in."""
        now = asyncio.get_running_loop().time()
        write = isinstance(request, store.Transact)
        if write:
            self.counts.writes += 1
        else:
            self.counts.reads += 1
        admitted = (self._writes if write else self._reads).acquire(now)
        self.counts.limited += not admitted
        return admitted


def _application(server: TableServer) -> tornado.web.Application:
    routes = [
        tornado.web.url(path, _Rows, {'server': server, 'kind': kind})
        for path, kind in PATHS.items()
    ]
    routes.append(tornado.web.url('/v1/faults', _Faults, {'server': server}))
    return tornado.web.Application(routes, log_function=lambda handler: None)


class _Rows(tornado.web.RequestHandler):
    """One request to the table."""

    def initialize(
        self, server: TableServer, kind: type[store.Request]
    ) -> None:
        self._server = server
        self._kind = kind

    async def post(self) -> None:
        try:
            request = msgspec.json.decode(self.request.body, type=self._kind)
        except msgspec.MsgspecError as exc:
            return self._answer(400, str(exc))
        if not self._server.admit(request):
            return self._answer(429, 'too many requests')
        faults = self._server.faults
        if faults.outage:
            return self._answer(503, 'out of service')
        if faults.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(faults.delay)
        try:
            answer = self._server.table.execute(request)
        except exceptions.StoreConflict as exc:
            return self._answer(409, str(exc))
        await asyncio.sleep(faults.next_answer_delay())
        if isinstance(answer, store.Committed) and faults.loses_answer():
            return self._drop()
        self.finish(msgspec.json.encode(answer))

    def _answer(self, status: int, why: str) -> None:
        self.set_status(status)
        self.finish(why)

    def _drop(self) -> None:
        self.detach().close()


class _Faults(tornado.web.RequestHandler):
    """Sets the faults."""

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
