"""HTTP client of one server with persistent connections.

Tornado's clients open a connection for each call, which costs a worker's agent
too much.  aiohttp reuses connections, but its import takes a third of a
program's start time, and after a power failure callers wait for that start.
This module therefore pools connections itself, and httptools parses the
responses: calls to its worker are most of an agent's work, and a parser in
Python would take most of each call.

Connections may go silent without being reset, all at once, while new ones
work.  A call can't tell such a connection before its timeout, and with a pool
of them each further call would wait for one more timeout.  After calls without
a response the client therefore gives up its idle connections too, and the next
call opens one.
"""

import asyncio
import dataclasses
import typing

import httptools

from agatepick.net import reading

FIRST_FINAL_STATUS = 200
"""Statuses below this are interim; another response follows."""


class NotSent(OSError):
    """Raised for a request that wasn't valid any more when it was due."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes


class Client:
    """Client of one server.

    :param address: ``ip:port``.
    :param max_connections: largest number of open connections; further calls
        wait for one of them.
    :param max_unanswered: number of timeouts without a response between them
        at which all idle connections are closed.
    """

    def __init__(
        self, address: str, max_connections: int, max_unanswered: int = 1
    ) -> None:
        self.address = address
        self._max_unanswered = max_unanswered
        self._unanswered = 0
        self._slots = asyncio.Semaphore(max_connections)
        self._idle: list[_Connection] = []
        self._buffer = reading.make_buffer()

    async def call(
        self,
        method: str,
        path: str,
        timeout_seconds: float,
        body: bytes = b'',
        headers: typing.Mapping[str, str] | None = None,
        is_valid: typing.Callable[[], bool] | None = None,
    ) -> Response:
        """Send one request and return its response.

        :param timeout_seconds: timeout of the whole call, including the wait
            for a free connection.
        :param is_valid: returns whether the request may still be sent; it is
            called just before the request is written.  By default a request
            is always valid.
        :raises NotSent: if ``is_valid`` returned false.
        :raises ConnectionRefusedError: if no process listens at the address.
        :raises TimeoutError: if the timeout has expired.
        :raises OSError: if the connection was lost, or the response isn't
            valid HTTP.
        """
        lines = [f'{method} {path} HTTP/1.1', f'Host: {self.address}']
        lines += [
            f'{name}: {value}' for name, value in (headers or {}).items()
        ]
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        data = head.encode('latin-1') + body
        try:
            async with asyncio.timeout(timeout_seconds):
                async with self._slots:
                    response = await self._send(
                        method == 'GET', data, is_valid
                    )
        except TimeoutError:
            self._record_timeout()
            raise
        self._unanswered = 0
        return response

    def close(self) -> None:
        """Close the idle connections."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def _record_timeout(self) -> None:
        self._unanswered += 1
        if self._unanswered >= self._max_unanswered:
            # An idle connection proves nothing, however new it is: it may
            # have gone silent at any time before this timeout.  One in use
            # will prove itself by a response.
            self.close()

    async def _send(
        self,
        retryable: bool,
        data: bytes,
        is_valid: typing.Callable[[], bool] | None,
    ) -> Response:
        if retryable and self._idle:
            # The server may have closed the idle connection meanwhile.
            try:
                return await self._call_once(data, is_valid)
            except ConnectionError:
                self.close()
        return await self._call_once(data, is_valid)

    async def _call_once(
        self, data: bytes, is_valid: typing.Callable[[], bool] | None
    ) -> Response:
        conn = await self._acquire()
        try:
            if is_valid is not None and not is_valid():
                raise NotSent('not valid any more')
            return await conn.send_request(data)
        finally:
            if conn.reusable:
                self._idle.append(conn)
            else:
                conn.close()

    async def _acquire(self) -> '_Connection':
        while self._idle:
            conn = self._idle.pop()
            if conn.reusable:
                return conn
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(
            lambda: _Connection(self._buffer), host, int(port)
        )
        return conn


class _Connection(reading.Reader):
    """Connection to the server, with one call at a time.

    :ivar reusable: whether the connection can be used for another call.
    """

    def __init__(self, buffer: bytearray) -> None:
        super().__init__(buffer)
        self.reusable = False
        self._parser: httptools.HttpResponseParser | None = None
        self._body_parts: list[bytes] = []
        self._response: asyncio.Future[Response] | None = None

    def send_request(self, data: bytes) -> asyncio.Future[Response]:
        """Send a request and return the future of its response."""
        assert self.transport is not None
        self.reusable = False
        self._parser = httptools.HttpResponseParser(self)
        self._body_parts = []
        self._response = asyncio.get_running_loop().create_future()
        if self.transport.is_closing():
            self._fail(ConnectionResetError('closed by the server'))
        else:
            self.transport.write(data)
        return self._response

    def close(self) -> None:
        """Close the connection; its call, if any, fails."""
        self.reusable = False
        self.abort()

    # Callbacks of the event loop

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in progress."""
        self.reusable = False
        self._fail(exc or ConnectionResetError('closed by the server'))

    def handle_data(self, data: bytes) -> None:
        """Feed received bytes to the parser."""
        if self._parser is None:
            # A response without a request is a fault of the server.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(OSError(f'no HTTP answer: {exc}'))
            self.close()

    # Callbacks of the parser

    def on_body(self, body: bytes) -> None:
        """Store a part of the response's body."""
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Complete the call, unless the response is interim."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        self.reusable = self._parser.should_keep_alive()
        self._parser = None
        if self._response is not None and not self._response.done():
            self._response.set_result(
                Response(status, b''.join(self._body_parts))
            )

    def _fail(self, exc: Exception) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(exc)
