"""Requests that are read within the limits of the process."""

import asyncio
import http
import math
import typing

import msgspec
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from agatepick.intake import clients
from agatepick.intake import connections
from agatepick.intake import refusals
from agatepick.intake import stream as streams

_JSON = 'application/json; charset=UTF-8'


class Checks:
    """Decides which requests are taken in at an address."""

    def __init__(self, intake: clients.Intake, address: clients.Address):
        self.intake = intake
        self.address = address

    def get_max_body_bytes(self) -> int:
        """Return the limit of a body at this address."""
        in_force = self.intake.request_limits.max_body_bytes
        return self.address.max_body_bytes or in_force

    def find_refusal(
        self, line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> refusals.Refusal | None:
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

    def count_refusal(self, reason: connections.Reason) -> refusals.Refusal:
        """Count and return a refusal."""
        self.intake.connections.ended[reason] += 1
        return refusals.REFUSALS[reason]


class Peer:
    """The network side of a connection.

    :ivar request: request whose body is being read.
    """

    def __init__(self, stream: iostream.IOStream):
        self._stream = stream
        self.request: Request | None = None

    def is_writing(self) -> bool:
        return not self._stream.closed() and self._stream.writing()

    def has_bytes(self) -> bool:
        stream = self._stream
        return isinstance(stream, streams.LimitedStream) and stream.has_bytes()

    def refuse(self, reason: connections.Reason) -> None:
        if self.request is None:
            self.close()
            return
        self.request.refuse(refusals.REFUSALS[reason])

    def close(self) -> None:
        if self.request is not None:
            self.request.drop_body()
        if isinstance(self._stream, streams.LimitedStream):
            self._stream.close_soon()
        else:
            self._stream.close()


class Gone:
    """The network side of a connection that has ended."""

    def is_writing(self) -> bool:
        return False

    def has_bytes(self) -> bool:
        return False

    def refuse(self, reason: connections.Reason) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


GONE = Gone()


class Request(httputil.HTTPMessageDelegate):
    """A request that is read within the limits, then handed on."""

    def __init__(
        self,
        checks: Checks,
        conn: connections.Connection,
        request_conn: http1connection.HTTP1Connection,
        inner: httputil.HTTPMessageDelegate,
    ):
        self._checks = checks
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
        if isinstance(self._conn.peer, Peer):
            self._conn.peer.request = self
        fields = sum(1 for _ in headers.get_all())
        line_bytes = len(start_line.path)
        self._conn.begin_body(fields, line_bytes, clients.now())
        refusal = self._checks.find_refusal(start_line, headers)
        if refusal is not None:
            self._inner = None
            return self.refuse(refusal)
        address = self._checks.address
        self._keeps_body = start_line.method in address.body_methods
        if address.drop_fields:
            # The application would parse forms and queries that it doesn't
            # read.
            headers.pop('Content-Type', None)
            path, mark, _ = start_line.path.partition('?')
            if mark:
                start_line = start_line._replace(path=path)
        assert self._inner is not None
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> typing.Awaitable[None] | None:
        """Keep a part of the body."""
        if self._ended is not None:
            return self._ended
        self._received += len(chunk)
        if self._received > self._checks.get_max_body_bytes():
            reason = connections.Reason.BODY_TOO_LARGE
            return self.refuse(self._checks.count_refusal(reason))
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
        if isinstance(self._conn.peer, Peer):
            self._conn.peer.request = None
        unread = count_unread(self._request_conn.stream)
        self._conn.begin_answer(unread, clients.now())
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

    def refuse(self, refusal: refusals.Refusal) -> typing.Awaitable[None]:
        """Answer, and read no further until the connection is closed."""
        ended: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._ended = ended
        self.drop_body()
        self._conn.begin_refusal(clients.now())
        stream = self._request_conn.stream
        if stream.closed():
            ended.set_result(None)
            return ended
        self._write_refusal(refusal)
        watch = self._checks.intake.departures

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

    def _write_refusal(self, refusal: refusals.Refusal) -> None:
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


def get_max_age(stream: iostream.IOStream) -> float:
    """Return the seconds since which a client sent its request at most."""
    if isinstance(stream, streams.LimitedStream):
        return clients.now() - stream.conn.sent_after
    return math.inf


def count_unread(stream: iostream.IOStream) -> int:
    """Return the bytes that were read and not asked for yet."""
    if isinstance(stream, streams.LimitedStream):
        return stream.count_unread()
    return 0
