"""HTTP servers whose clients stay within the limits of the process."""

import asyncio
import errno
import socket
import ssl
import sys
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import netutil
from tornado import tcpserver

from agatepick.intake import clients
from agatepick.intake import connections
from agatepick.intake import limits
from agatepick.intake import requests
from agatepick.intake import stream as streams
from agatepick.telemetry import logs

LOG = logs.logger(__name__)

ACCEPT_BATCH = 32
"""Connections that are accepted before others have their turn."""

ACCEPT_PAUSE_SECONDS = 0.05
"""Pause while there is no room or no descriptor for a new connection."""

LINE_BYTES = limits.KIB
"""Room for the request line beside the fields of a head."""

_NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Server(tcpserver.TCPServer, httputil.HTTPServerConnectionDelegate):
    """An HTTP server for an application, at one address."""

    def __init__(
        self,
        app: httputil.HTTPServerConnectionDelegate,
        intake: clients.Intake,
        address: clients.Address,
        tls: ssl.SSLContext | None = None,
    ):
        super().__init__(ssl_options=tls)
        self.intake = intake
        self.address = address
        self._app = app
        self._checks = requests.Checks(intake, address)
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
        peer = requests.Peer(stream)
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
        conn.end_request(
            requests.count_unread(request_conn.stream), clients.now()
        )
        in_force = self.intake.request_limits.max_header_bytes
        header_bytes = self.address.max_header_bytes or in_force
        self._params.max_header_size = header_bytes + LINE_BYTES
        inner = self._app.start_request(server_conn, request_conn)
        return requests.Request(self._checks, conn, request_conn, inner)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended."""
        conn = self._open.pop(server_conn, None)
        if conn is not None:
            self.intake.connections.discard(conn)
            # Without a reference cycle its memory is free at once.
            conn.peer = requests.GONE

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
                sock, self.intake.turns, clients.now, self.address.drop_fields
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
