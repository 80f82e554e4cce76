"""HTTP servers whose clients stay within the limits of the process."""

import asyncio
import dataclasses
import errno
import http
import math
import socket
import ssl
import sys
import typing

import msgspec
from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import netutil
from tornado import tcpserver

from agatepick.intake import budget
from agatepick.intake import connections
from agatepick.intake import limits
from agatepick.intake import stream as streams
from agatepick.intake import turns
from agatepick.net import departures
from agatepick.telemetry import logs

LOG = logs.logger(__name__)

CHECK_SECONDS = 1.0
"""Interval of the checks for time limits, while there are connections."""

ACCEPT_BATCH = 32
"""Connections that are accepted before others have their turn."""

ACCEPT_PAUSE_SECONDS = 0.05
"""Pause while there is no room or no descriptor for a new connection."""

LINE_BYTES = limits.KIB
"""Room for the request line beside the fields of a head."""

RETRY_SECONDS = 1.0
"""When to come back after a refusal, as what holds the memory is ended within
that time."""

_NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

_JSON = 'application/json; charset=UTF-8'


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request whose body isn't read.

    :param retry_after: seconds after which a retry may succeed; 0 if it won't.
    """

    status: int
    reason: str
    retry_after: float = 0.0


_REFUSALS = {
    connections.Reason.MEMORY: Refusal(503, 'out_of_memory', RETRY_SECONDS),
    connections.Reason.BODY_LATE: Refusal(408, 'body_late'),
    connections.Reason.BODY_TOO_LARGE: Refusal(413, 'body_too_large'),
}

Screen = typing.Callable[
    [httputil.RequestStartLine, httputil.HTTPHeaders], Refusal | None
]
"""Decides by its head whether the body of a request is read."""


class Intake:
    """What all servers of a process share.

    :ivar connections: connections of their clients.
    :ivar jobs: memory of the jobs whose callers wait.
    """

    def __init__(
        self,
        process_limits: limits.ProcessLimits,
        request_limits: limits.RequestLimits = limits.RequestLimits(),
    ):
        self.limits = process_limits
        self.connections = connections.Connections(
            process_limits, request_limits, _now
        )
        self.jobs = budget.JobBudget(process_limits.max_job_bytes)
        self.turns = turns.TurnQueue()
        self.departures = departures.DepartureWatch()
        self._checking = False
        self._reported: dict[connections.Reason, int] = {}

    @property
    def request_limits(self) -> limits.RequestLimits:
        """Limits of each request."""
        return self.connections.request_limits

    @request_limits.setter
    def request_limits(self, request_limits: limits.RequestLimits) -> None:
        self.connections.request_limits = request_limits

    def gauges(self) -> dict[str, float]:
        """Return gauges by name; see ``measures.GAUGES``."""
        return {
            'client_connections': self.connections.count(),
            'client_bytes': self.connections.held,
            'client_job_bytes': self.jobs.held,
            'client_turns_waiting': len(self.turns),
        }

    def count_refused(self) -> dict[str, int]:
        """Return the clients refused so far by reason."""
        ended = self.connections.ended
        return {reason.value: count for reason, count in ended.items()}

    def check_regularly(self) -> None:
        """Check for time limits as long as there are connections."""
        if not self._checking:
            self._checking = True
            self._check_later()

    def _check_later(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(CHECK_SECONDS, self._check)

    def _check(self) -> None:
        self.connections.check_times()
        self._report()
        if self.connections.count():
            self._check_later()
        else:
            self._checking = False

    def _report(self) -> None:
        """Log how many clients were refused since the last report."""
        for reason, count in self.connections.ended.items():
            new = count - self._reported.get(reason, 0)
            self._reported[reason] = count
            if new:
                logs.warning(
                    LOG,
                    'clients_refused',
                    reason=reason.value,
                    count=new,
                    connections=self.connections.count(),
                    held=self.connections.held,
                )


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """How the clients of one address are served.

    :param name: name in the counts of connections.
    :param max_connections: largest number of open connections.
    :param body_methods: methods whose bodies the application reads; the
        bodies of others are dropped.
    :param drop_fields: whether fields and queries that no endpoint reads are
        dropped.
    :param max_body_bytes: limit of a body; 0 for the one in force.
    :param max_header_bytes: limit of a head; 0 for the one in force.
    :param screen: refuses requests by their heads.
    """

    name: str
    max_connections: int
    body_methods: frozenset[str] = frozenset()
    drop_fields: bool = True
    max_body_bytes: int = 0
    max_header_bytes: int = 0
    screen: Screen | None = None


class Server(tcpserver.TCPServer, httputil.HTTPServerConnectionDelegate):
    """An HTTP server for an application, at one address."""

    def __init__(
        self,
        app: httputil.HTTPServerConnectionDelegate,
        intake: Intake,
        address: Address,
        tls: ssl.SSLContext | None = None,
    ):
        super().__init__(ssl_options=tls)
        self.intake = intake
        self.address = address
        self._app = app
        self._tls = tls
        self._params = http1connection.HTTP1ConnectionParameters(
            chunk_size=streams.READ_BYTES,
            # The size of a body is checked before the library does.
            max_body_size=sys.maxsize,
        )
        self._listening: dict[int, socket.socket] = {}
        self._open: dict[object, connections.Connection] = {}

    def add_sockets(self, sockets: typing.Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        for sock in sockets:
            # Accepted connections inherit the size.
            sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                connections.RECEIVE_BUFFER_BYTES // 2,
            )
            self._listening[sock.fileno()] = sock
            self._listen(sock)

    def stop(self) -> None:
        """Accept no more connections."""
        loop = asyncio.get_running_loop()
        for number, sock in self._listening.items():
            loop.remove_reader(number)
            sock.close()
        self._listening.clear()

    async def close_all_connections(self) -> None:
        """Close all connections, and wait until they have ended."""
        while self._open:
            conn = next(iter(self._open))
            assert isinstance(conn, http1connection.HTTP1ServerConnection)
            await conn.close()

    def handle_stream(
        self, stream: iostream.IOStream, address: typing.Any
    ) -> None:
        """Serve the requests of a connection."""
        peer = _Peer(stream)
        conn = self.intake.connections.open(
            self.address.name, self.address.max_connections, peer
        )
        if conn is None:
            stream.close()
            return
        if isinstance(stream, streams.LimitedStream):
            stream.conn = conn
        server_conn = http1connection.HTTP1ServerConnection(
            stream, self._params
        )
        self._open[server_conn] = conn
        self.intake.check_regularly()
        server_conn.start_serving(self)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Wait for the next request of a connection."""
        conn = self._open[server_conn]
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        conn.end_request(_count_unread(request_conn.stream), _now())
        in_force = self.intake.request_limits.max_header_bytes
        header_bytes = self.address.max_header_bytes or in_force
        self._params.max_header_size = header_bytes + LINE_BYTES
        inner = self._app.start_request(server_conn, request_conn)
        return _Request(self, conn, request_conn, inner)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended."""
        conn = self._open.pop(server_conn, None)
        if conn is not None:
            self.intake.connections.discard(conn)
            # Without a reference cycle its memory is free at once.
            conn.peer = _GONE

    def get_max_body_bytes(self) -> int:
        """Return the limit of a body at this address."""
        in_force = self.intake.request_limits.max_body_bytes
        return self.address.max_body_bytes or in_force

    def find_refusal(
        self, line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> Refusal | None:
        """Return why the body of a request isn't read, if it isn't."""
        length = headers.get('Content-Length', '0')
        if 'Transfer-Encoding' not in headers and length == '0':
            return None
        if length.isdigit() and int(length) > self.get_max_body_bytes():
            return self.count_refusal(connections.Reason.BODY_TOO_LARGE)
        if length.isdigit() and not self.intake.connections.fits(int(length)):
            return self.count_refusal(connections.Reason.MEMORY)
        if self.address.screen is not None:
            return self.address.screen(line, headers)
        return None

    def count_refusal(self, reason: connections.Reason) -> Refusal:
        """Count and return a refusal."""
        self.intake.connections.ended[reason] += 1
        return _REFUSALS[reason]

    def _listen(self, sock: socket.socket) -> None:
        number = sock.fileno()
        if self._listening.get(number) is sock:
            asyncio.get_running_loop().add_reader(number, self._accept, sock)

    def _accept(self, sock: socket.socket) -> None:
        for _ in range(ACCEPT_BATCH):
            if self._is_full():
                if not streams.is_readable(sock):
                    # Nobody waits, so nobody's connection is ended for it.
                    return
                if not self._make_room():
                    self._pause(sock)
                    return
            try:
                conn, peer = sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                # The client left before it was accepted.
                continue
            except OSError as exc:
                if exc.errno not in _NO_DESCRIPTOR:
                    raise
                self._end_idle(exc)
                self._pause(sock)
                return
            try:
                self.handle_stream(self._make_stream(conn), peer)
            except OSError as exc:
                # TLS can't begin on a connection that the client has closed.
                logs.info(LOG, 'client_left', reason=exc)
                conn.close()

    def _is_full(self) -> bool:
        most = self.address.max_connections
        return self.intake.connections.is_full(self.address.name, most)

    def _make_room(self) -> bool:
        most = self.address.max_connections
        return self.intake.connections.make_room(self.address.name, most)

    def _end_idle(self, exc: OSError) -> None:
        """End idle connections, as the system has no descriptor left."""
        ended = self.intake.connections.end_idle()
        logs.warning(LOG, 'accept_failed', reason=exc, ended=ended)

    def _pause(self, sock: socket.socket) -> None:
        """Accept nothing for a moment; new connections wait meanwhile."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(sock.fileno())
        loop.call_later(ACCEPT_PAUSE_SECONDS, self._listen, sock)

    def _make_stream(self, sock: socket.socket) -> iostream.IOStream:
        sock.setblocking(False)
        if self._tls is None:
            return streams.LimitedStream(
                sock, self.intake.turns, _now, self.address.drop_fields
            )
        return iostream.SSLIOStream(
            netutil.ssl_wrap_socket(
                sock,
                self._tls,
                server_side=True,
                do_handshake_on_connect=False,
            ),
            max_buffer_size=streams.MAX_BUFFER_BYTES,
            read_chunk_size=streams.READ_BYTES,
        )


class _Peer:
    """The network side of a connection.

    :ivar request: request whose body is being read.
    """

    def __init__(self, stream: iostream.IOStream):
        self._stream = stream
        self.request: _Request | None = None

    def is_writing(self) -> bool:
        return not self._stream.closed() and self._stream.writing()

    def has_bytes(self) -> bool:
        stream = self._stream
        return isinstance(stream, streams.LimitedStream) and stream.has_bytes()

    def refuse(self, reason: connections.Reason) -> None:
        if self.request is None:
            self.close()
            return
        self.request.refuse(_REFUSALS[reason])

    def close(self) -> None:
        if self.request is not None:
            self.request.drop_body()
        if isinstance(self._stream, streams.LimitedStream):
            self._stream.close_soon()
        else:
            self._stream.close()


class _Gone:
    """The network side of a connection that has ended."""

    def is_writing(self) -> bool:
        return False

    def has_bytes(self) -> bool:
        return False

    def refuse(self, reason: connections.Reason) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


_GONE = _Gone()


class _Request(httputil.HTTPMessageDelegate):
    """A request that is read within the limits, then handed on."""

    def __init__(
        self,
        server: Server,
        conn: connections.Connection,
        request_conn: http1connection.HTTP1Connection,
        inner: httputil.HTTPMessageDelegate,
    ):
        self._server = server
        self._conn = conn
        self._request_conn = request_conn
        self._inner: httputil.HTTPMessageDelegate | None = inner
        self._received = 0
        self._body = bytearray()
        self._keeps_body = False
        self._ended: asyncio.Future[None] | None = None

    def headers_received(
        self,
        start_line: (httputil.RequestStartLine | httputil.ResponseStartLine),
        headers: httputil.HTTPHeaders,
    ) -> typing.Awaitable[None] | None:
        """Refuse a request by its head, or begin to read its body."""
        assert isinstance(start_line, httputil.RequestStartLine)
        if isinstance(self._conn.peer, _Peer):
            self._conn.peer.request = self
        fields = sum(1 for _ in headers.get_all())
        self._conn.begin_body(fields, _now())
        refusal = self._server.find_refusal(start_line, headers)
        if refusal is not None:
            self._inner = None
            return self.refuse(refusal)
        address = self._server.address
        self._keeps_body = start_line.method in address.body_methods
        if address.drop_fields:
            # The application would parse forms and queries that it doesn't
            # read.
            headers.pop('Content-Type', None)
            path = start_line.path.partition('?')[0]
            start_line = start_line._replace(path=path)
        assert self._inner is not None
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> typing.Awaitable[None] | None:
        """Keep a part of the body."""
        if self._ended is not None:
            return self._ended
        self._received += len(chunk)
        if self._received > self._server.get_max_body_bytes():
            reason = connections.Reason.BODY_TOO_LARGE
            return self.refuse(self._server.count_refusal(reason))
        if self._keeps_body:
            self._body += chunk
        return None

    def finish(self) -> None:
        """Hand the request on."""
        if self._ended is not None or self._inner is None:
            return
        inner = self._inner
        # The body isn't held beside that of the request.
        self._inner = None
        body = bytes(self._body)
        self.drop_body()
        if isinstance(self._conn.peer, _Peer):
            self._conn.peer.request = None
        unread = _count_unread(self._request_conn.stream)
        self._conn.begin_answer(unread, _now())
        if body:
            inner.data_received(body)
        inner.finish()

    def on_connection_close(self) -> None:
        """Drop a request whose connection has ended."""
        self.drop_body()
        inner, self._inner = self._inner, None
        if inner is not None:
            inner.on_connection_close()

    def drop_body(self) -> None:
        """Release the memory of the body."""
        self._body = bytearray()

    def refuse(self, refusal: Refusal) -> typing.Awaitable[None]:
        """Answer, and read no further until the connection is closed."""
        ended: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._ended = ended
        self.drop_body()
        self._conn.begin_refusal(_now())
        stream = self._request_conn.stream
        if stream.closed():
            ended.set_result(None)
            return ended
        self._write_refusal(refusal)
        watch = self._server.intake.departures

        def end() -> None:
            watch.discard(stream)
            if not ended.done():
                ended.set_result(None)

        stream.set_close_callback(end)
        # The client can read the answer before the connection is reset by
        # what it goes on sending.
        stream.io_loop.remove_handler(stream.fileno())
        if isinstance(stream, streams.LimitedStream):
            stream.end_writing()
        watch.add(stream)
        return ended

    def _write_refusal(self, refusal: Refusal) -> None:
        body = msgspec.json.encode({'reason': refusal.reason})
        headers = httputil.HTTPHeaders(
            {
                'Content-Type': _JSON,
                'Content-Length': str(len(body)),
                'Connection': 'close',
            }
        )
        if refusal.retry_after:
            headers['Retry-After'] = str(math.ceil(refusal.retry_after))
        phrase = http.HTTPStatus(refusal.status).phrase
        line = httputil.ResponseStartLine('HTTP/1.1', refusal.status, phrase)
        self._request_conn.write_headers(line, headers, body)


def _count_unread(stream: iostream.IOStream) -> int:
    if isinstance(stream, streams.LimitedStream):
        return stream.count_unread()
    return 0


def _now() -> float:
    return asyncio.get_running_loop().time()
