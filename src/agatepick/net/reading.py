"""Reading from a socket where its bytes come in.

A coroutine that reads a stream takes three turns of the loop and three calls
of the kernel for a small message; a protocol takes one of each.
"""

import asyncio
import typing

READ_BYTES = 64 * 1024
"""Most that is read at once: a busy peer's messages come many at a time."""


def new_buffer() -> bytearray:
    """Where the connections of one loop read to."""
    return bytearray(READ_BYTES)


class Reader(asyncio.BufferedProtocol):
    """One connection; whoever extends it takes what comes.

    :param buffer: where bytes are read to; connections of one loop share it,
        as nothing runs between the read and :meth:`received`.
    :ivar transport: ``None`` before the connection has come about.
    """

    def __init__(self, buffer: bytearray) -> None:
        self.transport: asyncio.Transport | None = None
        self._buffer = buffer

    def received(self, data: bytes) -> None:
        """Take bytes that have come."""
        raise NotImplementedError

    def abort(self) -> None:
        """End the connection, without waiting for a silent peer."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection has come about."""
        self.transport = typing.cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Where the next bytes go."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """So many bytes have come."""
        self.received(bytes(memoryview(self._buffer)[:nbytes]))
