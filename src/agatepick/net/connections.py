"""A connection to a peer, over which framed Cap'n Proto messages go.

A frame is a big-endian 32-bit length and one encoded message.
"""

import asyncio
import dataclasses
import logging
import struct
import typing

from agatepick import exceptions
from agatepick.net import codec
from agatepick.net import messages
from agatepick.net import reading

LOG = logging.getLogger(__name__)

FRAME_HEADER = struct.Struct('>I')
MAX_FRAME_BYTES = 32 * 1024 * 1024
"""Largest accepted frame: a job of 130 tasks with 100 kB bodies fits."""
MAX_UNSENT_BYTES = 64 * 1024 * 1024
"""Size of the write buffer at which a peer that doesn't read is disconnected.

The limit prevents the process from running out of memory.
"""
HEARTBEAT_INTERVAL_SECONDS = 1.0
SAMPLE_RENEWAL_SECONDS = 15.0
"""Age at which a clock sample is renewed on a connection in use.

Two clocks that drift apart by 500 ppm differ by a further 8 ms by then.
"""
MAX_SAMPLE_ROUND_TRIP_SECONDS = 0.1
"""Longest round trip of a sample that is kept for ``SAMPLE_RENEWAL_SECONDS``.

A longer round trip makes the error bound too wide.
"""


class LogicalClock(typing.Protocol):
    """Interface of the logical clock of the timeline.

    Its stamps on messages order causes before their effects.
    """

    def stamp(self) -> int:
        """Return the stamp of an outgoing message."""
        ...

    def merge(self, stamp: int) -> None:
        """Merge the stamp of an incoming message into the clock."""
        ...


@dataclasses.dataclass
class Traffic:
    """Counters of the messages that a process sent and received.

    :param by_kind: number of sent messages, by the name of their class.
    """

    messages_out: int = 0
    messages_in: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    by_kind: dict[str, int] = dataclasses.field(default_factory=dict)

    def count_sent(self, message: messages.Message, size: int) -> None:
        """Count an outgoing message.

        :param size: bytes of its frame.
        """
        kind = type(message).__name__
        self.messages_out += 1
        self.bytes_out += size
        self.by_kind[kind] = self.by_kind.get(kind, 0) + 1

    def count_received(self, size: int) -> None:
        """Count an incoming message.

        :param size: bytes of its frame.
        """
        self.messages_in += 1
        self.bytes_in += size


class Connection(reading.Reader):
    """Connection to one peer that carries framed messages.

    :param buffer: as for :class:`~agatepick.net.reading.Reader`.
    :param on_made: callback that is called once the connection is made.
    """

    def __init__(
        self,
        traffic: Traffic,
        buffer: bytearray,
        on_made: typing.Callable[['Connection'], None],
        logical_clock: LogicalClock | None = None,
    ):
        super().__init__(buffer)
        self.hello: messages.Hello | None = None
        self.last_message_at = 0.0
        self.closed = False
        loop = asyncio.get_running_loop()
        self.lost: asyncio.Future[None] = loop.create_future()
        self._first_message: asyncio.Future[messages.Message] = (
            loop.create_future()
        )
        self._early_messages: list[messages.Message] = []
        self._handler: typing.Callable[[messages.Message], None] = (
            self._store_early
        )
        self._sampled_at = 0.0
        self._traffic = traffic
        self._on_made = on_made
        self._logical_clock = logical_clock
        self._unread = b''
        self._read_offset = 0
        self._unsent: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and call the ``on_made`` callback."""
        super().connection_made(transport)
        self._on_made(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection as closed and lost."""
        self.closed = True
        if not self._first_message.done():
            self._first_message.set_exception(
                exc or ConnectionResetError('closed')
            )
            # Possibly nobody awaits the future.  Reading its exception keeps
            # asyncio from logging that it was never retrieved.
            self._first_message.exception()
        if not self.lost.done():
            self.lost.set_result(None)

    def handle_data(self, data: bytes) -> None:
        """Handle each complete frame among the received bytes."""
        self._unread = self._unread[self._read_offset :] + data
        self._read_offset = 0
        self._run_guarded(self._handle_frames)

    def send(self, message: messages.Message) -> None:
        """Queue a message; a closed connection drops it.

        The messages queued in one iteration of the event loop are sent by one
        write.
        """
        if self.closed:
            return
        stamp = (
            0 if self._logical_clock is None else self._logical_clock.stamp()
        )
        data = codec.encode(message, stamp)
        self._traffic.count_sent(message, len(data) + FRAME_HEADER.size)
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(FRAME_HEADER.pack(len(data)))
        self._unsent.append(data)

    def close(self) -> None:
        """Flush the queued messages, as far as possible, and close."""
        self._flush()
        self._disconnect()

    async def receive_first(self, timeout_seconds: float) -> messages.Message:
        """Wait for the first message of the peer and return it.

        :raises OSError: if the connection is lost before.
        :raises TimeoutError: if no message arrives in time.
        """
        async with asyncio.timeout(timeout_seconds):
            return await self._first_message

    async def serve(
        self, handler: typing.Callable[[messages.Message], None]
    ) -> None:
        """Pass further messages to ``handler`` until the connection ends."""
        early_messages, self._early_messages = self._early_messages, []
        self._handler = handler
        for message in early_messages:
            self._run_guarded(lambda: handler(message))
        # A cancelled task would cancel the future, as if the connection were
        # lost.
        await asyncio.shield(self.lost)

    def ping(self, now: float) -> None:
        """Send a ping, whose pong is a heartbeat and a clock sample."""
        self.send(messages.Ping(now))

    def needs_ping(self, now: float) -> bool:
        """Return whether the peer is silent or its clock sample is old."""
        silent = now - self.last_message_at >= HEARTBEAT_INTERVAL_SECONDS
        return silent or now - self._sampled_at >= SAMPLE_RENEWAL_SECONDS

    def record_pong(self, pong: messages.Pong, now: float) -> None:
        """Record a pong, unless it arrived too late to be a clock sample.

        A process that is busy starting may send its first pong late.  If that
        pong counted as a sample, its clock would be unknown until the next
        sample: its lease grants would be ignored, and agents would refuse its
        starts.
        """
        if now - pong.sent <= MAX_SAMPLE_ROUND_TRIP_SECONDS:
            self._sampled_at = now

    def _store_early(self, message: messages.Message) -> None:
        """Store a message that arrives before the connection is served."""
        if self._first_message.done():
            self._early_messages.append(message)
        else:
            self._first_message.set_result(message)

    def _run_guarded(self, step: typing.Callable[[], None]) -> None:
        """Run ``step``; an invalid message closes the connection."""
        try:
            step()
        except exceptions.AgatepickError as exc:
            # Besides the decoder, a reducer raises the error for a message
            # that it rejects.
            exc.peer = self.hello.name if self.hello else ''
            LOG.warning('event=bad_message reason="%s"', exc.show())
            self.close()

    def _flush(self) -> None:
        if not self._unsent or self.closed or self.transport is None:
            return
        data = b''.join(self._unsent)
        self._unsent.clear()
        waiting = self.transport.get_write_buffer_size()
        if waiting + len(data) > MAX_UNSENT_BYTES:
            LOG.warning('event=peer_reads_nothing unsent=%s', waiting)
            self._disconnect()
            return
        self.transport.write(data)

    def _disconnect(self) -> None:
        self.closed = True
        self.abort()

    def _handle_frames(self) -> None:
        while not self.closed:
            data = self._read_frame()
            if data is None:
                return
            self._handler(self._decode(data))

    def _read_frame(self) -> bytes | None:
        """Return the message of the next complete frame, if there is one."""
        body = self._read_offset + FRAME_HEADER.size
        if len(self._unread) < body:
            return None
        (size,) = FRAME_HEADER.unpack_from(self._unread, self._read_offset)
        if size > MAX_FRAME_BYTES:
            raise exceptions.BadMessage(
                f'frame of {size} bytes exceeds {MAX_FRAME_BYTES} bytes',
                step='receive',
            )
        if len(self._unread) < body + size:
            return None
        self._read_offset = body + size
        return self._unread[body : self._read_offset]

    def _decode(self, data: bytes) -> messages.Message:
        self._traffic.count_received(len(data) + FRAME_HEADER.size)
        stamped = codec.decode_stamped(data)
        if self._logical_clock is not None:
            self._logical_clock.merge(stamped.stamp)
        return stamped.message
