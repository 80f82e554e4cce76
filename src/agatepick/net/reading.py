"""Base class of protocols that read from a socket into a shared buffer.

A coroutine that reads a stream takes three iterations of the event loop and
three system calls for a small message; a protocol takes one of each.
"""

import asyncio
import typing

READ_BYTES = 64 * 1024
"""Size of a read, which holds many messages of a busy peer."""


def make_buffer() -> bytearray:
    """Return a buffer that the connections of one event loop share."""
    return bytearray(READ_BYTES)


class Reader(asyncio.BufferedProtocol):
    """Base class of a connection; subclasses handle the received bytes.

    :param buffer: buffer that bytes are read into.  Connections of one event
        loop share it, as nothing runs between a read and :meth:`handle_data`.
    :ivar transport: the transport; ``None`` before the connection is made.
    """

    def __init__(self, buffer: bytearray) -> None:
        self.transport: asyncio.Transport | None = None
        self._buffer = buffer

    def handle_data(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError

    def abort(self) -> None:
        """Close the connection at once, without flushing the transport."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = typing.cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Hand ``nbytes`` received bytes to :meth:`handle_data`."""
        self.handle_data(bytes(memoryview(self._buffer)[:nbytes]))
