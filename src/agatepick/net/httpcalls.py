"""HTTP calls to one server over connections that stay open.

Tornado's own clients open a connection for each call, which a worker's
agent can't afford: 13,000 a minute.  aiohttp keeps them open, but to import
it took 0.2 of the 0.55 s of processor time that a program needs to start, and
after a loss of power callers wait for just that.  So tornado's implementation
of the protocol, which the server side loads anyway, is used with connections
that are kept here.
"""

import asyncio
import dataclasses
import socket
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream


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
        self._idle: list[iostream.IOStream] = []

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
        fields = httputil.HTTPHeaders(dict(headers or {}))
        fields['Host'] = self.address
        if body or method != 'GET':
            fields['Content-Length'] = str(len(body))
        line = httputil.RequestStartLine(method, path, '')
        req = _Request(line, fields, body)
        async with asyncio.timeout(seconds):
            async with self._free:
                return await self._exchange(req)

    def close(self) -> None:
        """Close the connections that no call uses."""
        for stream in self._idle:
            stream.set_close_callback(None)
            stream.close()
        self._idle.clear()

    async def _exchange(self, req: '_Request') -> Response:
        if req.line.method == 'GET' and self._idle:
            # The server may be closing the connection just now.
            try:
                return await self._once(req)
            except iostream.StreamClosedError:
                self.close()
        return await self._once(req)

    async def _once(self, req: '_Request') -> Response:
        stream = await self._take()
        answer = _Answer()
        kept = False
        try:
            conn = http1connection.HTTP1Connection(stream, True)
            conn.write_headers(req.line, req.fields, req.body)
            conn.finish()
            await conn.read_response(answer)
            kept = answer.whole and answer.keeps and not stream.closed()
        finally:
            if kept:
                self._keep(stream)
            else:
                stream.close()
        if not answer.whole:
            raise iostream.StreamClosedError(stream.error)
        return Response(answer.status, b''.join(answer.parts))

    async def _take(self) -> iostream.IOStream:
        while self._idle:
            stream = self._idle.pop()
            stream.set_close_callback(None)
            if not stream.closed():
                return stream
        host, _, port = self.address.rpartition(':')
        stream = iostream.IOStream(socket.socket())
        try:
            await stream.connect((host, int(port)))
        except iostream.StreamClosedError as exc:
            raise exc.real_error or exc from exc
        except BaseException:
            stream.close()
            raise
        stream.set_nodelay(True)
        return stream

    def _keep(self, stream: iostream.IOStream) -> None:
        self._idle.append(stream)
        stream.set_close_callback(lambda: self._drop(stream))

    def _drop(self, stream: iostream.IOStream) -> None:
        """The server closed a connection that no call uses."""
        if stream in self._idle:
            self._idle.remove(stream)


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    """What is sent, as tornado takes it."""

    line: httputil.RequestStartLine
    fields: httputil.HTTPHeaders
    body: bytes


class _Answer(httputil.HTTPMessageDelegate):
    """Collects one answer.

    :ivar whole: whether all of it has come.
    :ivar keeps: whether the server takes another call by this connection.
    """

    def __init__(self) -> None:
        self.status = 0
        self.parts: list[bytes] = []
        self.whole = False
        self.keeps = True

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.status = start_line.code
        self.keeps = (
            start_line.version == 'HTTP/1.1'
            and headers.get('Connection', '').lower() != 'close'
        )

    def data_received(self, chunk: bytes) -> None:
        self.parts.append(chunk)

    def finish(self) -> None:
        self.whole = True
