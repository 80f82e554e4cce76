"""Streams of bytes from clients, read within the limits of the process."""

import asyncio
import select
import socket
import typing

from tornado import iostream

from agatepick.intake import connections
from agatepick.intake import heads
from agatepick.intake import limits
from agatepick.intake import turns
from agatepick.telemetry import logs

LOG = logs.logger(__name__)

READ_BYTES = 16 * limits.KIB
"""Bytes that are read at a time."""

MAX_BUFFER_BYTES = 8 * limits.MIB
"""Bound of the library on a stream's buffer, which the limits of requests
don't let it reach."""

PART_COST = 1
"""Cost of a part of a body, such as the size of a chunk or its bytes."""

BYTES_PER_COST = 256
"""Bytes that cost as much as a part, beside it."""

LINES_PER_COST = 4
"""Lines of a head that cost as much as a part."""

HEAD_COST = 256
"""Cost of a short head, and of the request that it begins."""

TURN_CREDIT = HEAD_COST
"""Sum of the costs of what is read in one turn."""

FIRST_CREDIT = 3 * HEAD_COST
"""What a client may send at once without waiting for a turn."""

_LIBRARY_HEAD_END = b'\r?\n\r?\n'
_HEAD_END = b'\n\r?\n'
"""Ends at the same byte, and is found twenty times as fast in a long line, as
it begins with a fixed byte."""

_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class LimitedStream(iostream.IOStream):
    """A stream whose client can't read ahead of others.

    What has been sent ahead is read in turns, and is dropped once the client
    has left.

    :ivar conn: connection that counts the bytes; set before the first read.
    """

    conn: connections.Connection

    def __init__(
        self,
        sock: typing.Any,
        queue: turns.TurnQueue,
        now: typing.Callable[[], float],
        drop_fields: bool,
    ):
        super().__init__(
            sock, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=READ_BYTES
        )
        self._queue = queue
        self._now = now
        self._drop_fields = drop_fields
        self._credit = FIRST_CREDIT
        self._in_read = False
        self._read_bytes_total = 0
        self._taken_bytes = 0
        self._pending: asyncio.Future[bytes] | None = None
        self._turn: _StreamTurn | None = None

    def close(self, exc_info: typing.Any = False) -> None:
        """Close the stream, and drop what was sent ahead."""
        super().close(exc_info)
        self._pending = None
        if self.error is not None:
            # Its frames refer to this stream, and would keep it.
            self.error.__traceback__ = None
        if self._turn is not None:
            self._turn.drop()
            self._turn = None

    def count_unread(self) -> int:
        """Return the bytes that were read and not asked for yet."""
        self._settle()
        return self._read_bytes_total - self._taken_bytes

    def has_left(self) -> bool:
        """Return whether the client has closed its side."""
        return self.closed() or _poll(self.socket, select.POLLRDHUP, _GONE)

    def has_bytes(self) -> bool:
        """Return whether the system holds bytes for this stream."""
        return not self.closed() and is_readable(self.socket)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read what is there, and count it."""
        count = super().read_from_fd(buf)
        if count:
            self._read_bytes_total += count
            self._in_read = True
            try:
                self.conn.record_read(count, self._now())
            finally:
                self._in_read = False
        return count

    def end_writing(self) -> None:
        """Tell the client that no further answer follows."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError as exc:
            # The client has left meanwhile.
            logs.info(LOG, 'client_left', reason=exc)

    def close_soon(self) -> None:
        """Close, but not while a read is under way in this stream."""
        if self._in_read:
            self.io_loop.add_callback(self.close)
        else:
            self.close()

    async def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> bytes:
        """Read the head of a request."""
        if regex == _LIBRARY_HEAD_END:
            regex = _HEAD_END
        fut = super().read_until_regex(regex, max_bytes)
        ready = self._begin_read(fut)
        try:
            head = await fut
        finally:
            # Its exception would refer to this frame, and keep the stream.
            del fut
        self._settle()
        cost = HEAD_COST + len(head) // BYTES_PER_COST
        cost += heads.count_lines(head) // LINES_PER_COST
        if self._must_wait(cost, ready):
            head = await self._wait(head, cost)
        if self._drop_fields:
            head = heads.drop_query(heads.drop_unused_fields(head))
        return head

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> typing.Awaitable[bytes]:
        """Read the size of a chunk."""
        return self._take_turn(super().read_until(delimiter, max_bytes))

    def read_bytes(
        self, num_bytes: int, partial: bool = False
    ) -> typing.Awaitable[bytes]:
        """Read bytes of a body."""
        return self._take_turn(super().read_bytes(num_bytes, partial))

    def _take_turn(
        self, fut: typing.Awaitable[bytes]
    ) -> typing.Awaitable[bytes]:
        """Return the result of a read, at its turn if it was sent ahead."""
        assert isinstance(fut, asyncio.Future)
        if not self._begin_read(fut):
            return fut
        if fut.cancelled() or fut.exception() is not None:
            return fut
        self._settle()
        data = fut.result()
        cost = PART_COST + len(data) // BYTES_PER_COST
        if not self._must_wait(cost, ready=True):
            return fut
        return self._wait(data, cost)

    def _begin_read(self, fut: typing.Awaitable[bytes]) -> bool:
        """Return whether the bytes that a read waits for were there."""
        assert isinstance(fut, asyncio.Future)
        self._settle()
        if self.closed():
            return fut.done()
        self._pending = fut
        if fut.done():
            return True
        self._credit = FIRST_CREDIT
        return False

    def _must_wait(self, cost: int, ready: bool) -> bool:
        """Spend credit, and return whether the read has to wait for a turn.

        :param ready: whether its bytes were there before it was asked for.
        """
        self._credit -= cost
        if (ready and self._credit < 0) or self._queue.is_busy():
            return True
        self._queue.spend(cost)
        return False

    def _wait(self, data: bytes, cost: int) -> asyncio.Future[bytes]:
        """Return the bytes of a read at its turn."""
        self._turn = _StreamTurn(self, data, cost)
        self.conn.set_stalled(True)
        self._queue.wait(self._turn, self._choose_group())
        return self._turn.fut

    def _choose_group(self) -> turns.Group:
        if self._credit < 0:
            return turns.Group.AHEAD
        return turns.Group.KNOWN if self.conn.served else turns.Group.NEW

    def end_turn(self, cost: int) -> None:
        """Go on reading after a wait for a read of some cost."""
        self._credit = TURN_CREDIT - cost
        self._turn = None
        self.conn.set_stalled(False)

    def _settle(self) -> None:
        """Count the bytes of a read that has ended."""
        fut = self._pending
        if fut is None or not fut.done():
            return
        self._pending = None
        if not fut.cancelled() and fut.exception() is None:
            self._taken_bytes += len(fut.result())


class _StreamTurn:
    """A read whose bytes are there, and which waits for its turn."""

    def __init__(self, stream: LimitedStream, data: bytes, cost: int):
        # Without its stream, a turn that was dropped holds little.
        self._stream: LimitedStream | None = stream
        self._data = data
        self._cost = cost
        self.fut: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )

    def take(self) -> bool:
        """Return the bytes to the reader, unless the client has left."""
        stream = self._stream
        if stream is None or self.fut.done():
            return False
        if stream.has_left():
            stream.close()
            return False
        stream.end_turn(self._cost)
        self.fut.set_result(self._data)
        return True

    def drop(self) -> None:
        """Forget the bytes of a stream that was closed."""
        self._stream = None
        self._data = b''
        if not self.fut.done():
            self.fut.set_exception(iostream.StreamClosedError())
            # The reader may have been cancelled; the exception isn't an error
            # that nobody has seen.
            self.fut.exception()


def is_readable(sock: socket.socket) -> bool:
    """Return whether there are bytes to read, or connections to accept."""
    return _poll(sock, select.POLLIN, select.POLLIN)


def _poll(sock: socket.socket, interest: int, events: int) -> bool:
    poll = select.poll()
    poll.register(sock.fileno(), interest)
    return any(found & events for _, found in poll.poll(0))
