"""HTTP calls to one server over connections that stay open.

Tornado's own clients open a connection for each call, which a worker's
agent can't afford.  aiohttp keeps them open, but to import it takes a third
of the time that a program needs to start, and after a loss of power callers
wait for just that.  So connections are kept here, and httptools reads the
answers: calls of its worker are most of what an agent does, and a parser in
Python would be most of each.
"""

import asyncio
import dataclasses
import typing

import httptools

from agatepick.net import reading

CONTINUED_BELOW = 200
"""Statuses below this announce the answer that follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A whole answer."""

    status: int
    body: bytes


class Client:
    """Calls of one server.

    :param address: ``ip:port``.
    :param connections: most that are open at a time; further calls wait.
    """

    def __init__(self, address: str, connections: int) -> None:
        self.address = address
        self._free = asyncio.Semaphore(connections)
        self._idle: list[_Connection] = []
        self._buffer = reading.new_buffer()

    async def call(
        self,
        method: str,
        path: str,
        seconds: float,
        body: bytes = b'',
        headers: typing.Mapping[str, str] | None = None,
    ) -> Response:
        """Make one call.

        :param seconds: until the whole answer must be there, with the wait
            for a free connection.
        :raises ConnectionRefusedError: if nothing listens there.
        :raises TimeoutError: if the time is over.
        :raises OSError: if the connection broke, or the answer is no HTTP.
        """
        lines = [f'{method} {path} HTTP/1.1', f'Host: {self.address}']
        lines += [
            f'{name}: {value}' for name, value in (headers or {}).items()
        ]
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        data = head.encode('latin-1') + body
        async with asyncio.timeout(seconds):
            async with self._free:
                return await self._exchange(method == 'GET', data)

    def close(self) -> None:
        """Close the connections that no call uses."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    async def _exchange(self, repeatable: bool, data: bytes) -> Response:
        if repeatable and self._idle:
            # The server may be closing the connection just now.
            try:
                return await self._once(data)
            except ConnectionError:
                self.close()
        return await self._once(data)

    async def _once(self, data: bytes) -> Response:
        conn = await self._take()
        try:
            return await conn.ask(data)
        finally:
            if conn.reusable:
                self._idle.append(conn)
            else:
                conn.close()

    async def _take(self) -> '_Connection':
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
    """One connection; it takes one call at a time.

    :ivar reusable: whether the server takes another call by it.
    """

    def __init__(self, buffer: bytearray) -> None:
        super().__init__(buffer)
        self.reusable = False
        self._parser: httptools.HttpResponseParser | None = None
        self._parts: list[bytes] = []
        self._answer: asyncio.Future[Response] | None = None

    def ask(self, data: bytes) -> asyncio.Future[Response]:
        """Send a request; the future has its answer."""
        assert self.transport is not None
        self.reusable = False
        self._parser = httptools.HttpResponseParser(self)
        self._parts = []
        self._answer = asyncio.get_running_loop().create_future()
        if self.transport.is_closing():
            self._fail(ConnectionResetError('closed by the server'))
        else:
            self.transport.write(data)
        return self._answer

    def close(self) -> None:
        """End the connection and what is asked by it."""
        self.reusable = False
        self.abort()

    # What the loop calls

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.reusable = False
        self._fail(exc or ConnectionResetError('closed by the server'))

    def received(self, data: bytes) -> None:
        """Hand on what has come to the parser."""
        if self._parser is None:
            # Nothing was asked: whoever answers all the same isn't sound.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(OSError(f'no HTTP answer: {exc}'))
            self.close()

    # What the parser calls

    def on_body(self, body: bytes) -> None:
        """A part of the answer's body."""
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """All of the answer has come."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status < CONTINUED_BELOW:
            return
        self.reusable = self._parser.should_keep_alive()
        self._parser = None
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(Response(status, b''.join(self._parts)))

    def _fail(self, exc: Exception) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(exc)
