"""Connections to peers: framed Cap'n Proto messages over TCP.

A frame is a big-endian 32-bit length and one encoded message.  Both sides
first send a :class:`~agatepick.net.messages.Hello`, the accepting side before
the dialling side, so that a dialler that already has a connection to that peer
can close the new one before the peer registers it.  A connection carries
messages in both directions.  A peer that dials again has lost the older
connection, and the new one replaces it.
"""

import asyncio
import dataclasses
import logging
import random
import socket
import ssl
import typing

from agatepick import core
from agatepick.decisions import backoff
from agatepick.net import connections
from agatepick.net import messages
from agatepick.net import peers
from agatepick.net import reading
from agatepick import types

LOG = logging.getLogger(__name__)

ENTRY = 'entry'
HELLO_TIMEOUT_SECONDS = 5.0
MAX_SILENCE_SECONDS = 5.0
"""Time without a message after which a peer is disconnected.

Five heartbeats last longer than a garbage collection or a busy event loop, and
less than a caller waits.
"""
REDIAL_DELAYS = backoff.BackoffDelays(first_seconds=0.075, max_seconds=1.5)
REDIAL_RESET_SECONDS = 1.0
"""Duration of a connection after which the delay between dials is reset.

A peer that accepts connections and closes them at once is dialled with
increasing delays.
"""
GREATER_NAME_DIAL_DELAY_SECONDS = 0.25
"""Delay of a dial by the entry with the greater name.

Two entries dial each other.  Without the delay both would connect at the same
time, and each would close the other's connection.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkTimeouts:
    """Intervals and timeouts of the connections, in seconds.

    :param heartbeat_seconds: interval between checks of all connections.
    :param silence_seconds: time without a message after which a peer is
        disconnected.
    :param dial_seconds: timeout for a connection to open, and for the peer's
        Hello.
    """

    heartbeat_seconds: float = connections.HEARTBEAT_INTERVAL_SECONDS
    silence_seconds: float = MAX_SILENCE_SECONDS
    dial_seconds: float = HELLO_TIMEOUT_SECONDS


class LatencyModel(typing.Protocol):
    """Interface of a model of added one-way latency, for the bench."""

    def seconds(self, peer: types.PeerName) -> float:
        """Return the seconds by which delivery to ``peer`` is delayed."""
        ...


class Links:
    """All connections of one process to its peers.

    :param make_hello: callback that returns the process's current Hello.
    :param feed: callback for the events ``PeerUp``, ``PeerDown`` and
        ``Received``.
    """

    def __init__(
        self,
        make_hello: typing.Callable[[], messages.Hello],
        feed: typing.Callable[[object], None],
        clock: types.Clock,
        rng: random.Random,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
        latency: LatencyModel | None = None,
        logical_clock: connections.LogicalClock | None = None,
        timeouts: LinkTimeouts = LinkTimeouts(),
    ):
        self.traffic = connections.Traffic()
        self._make_hello = make_hello
        self._feed = feed
        self._clock = clock
        self._rng = rng
        self._server_tls = server_tls
        self._client_tls = client_tls
        self._latency = latency
        self._logical_clock = logical_clock
        self._timeouts = timeouts
        self._peers = peers.ConnectedPeers(feed)
        self._connections: set[connections.Connection] = set()
        self._dials: dict[types.PeerName, asyncio.Task[None]] = {}
        self._buffer = reading.make_buffer()
        self._tasks: set[asyncio.Task[None]] = set()
        self._sockets: list[socket.socket] = []
        self._servers: list[asyncio.Server] = []
        self._heartbeat: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Start to send heartbeats; must be called once, on the event loop."""
        loop = asyncio.get_running_loop()
        self._heartbeat = loop.create_task(self._send_heartbeats())

    def add_sockets(self, sockets: typing.Iterable[socket.socket]) -> None:
        """Accept connections of peers on listening sockets."""
        for sock in sockets:
            self._sockets.append(sock)
            self._start_task(self._serve_socket(sock))

    def end(self) -> None:
        """Close all connections and listening sockets at once."""
        self._peers.end()
        for task in [*self._dials.values(), *self._tasks]:
            task.cancel()
        for server in self._servers:
            server.close()
        for sock in self._sockets:
            sock.close()
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        for conn in list(self._connections):
            conn.close()

    def connected(self) -> tuple[types.PeerName, ...]:
        """Return the names of the connected peers."""
        return self._peers.get_names()

    def send(self, peer: types.PeerName, message: messages.Message) -> None:
        """Send a message to a peer; it is dropped if none is connected."""
        conn = self._peers.get(peer)
        if conn is None:
            return
        seconds = self._latency.seconds(peer) if self._latency else 0.0
        if seconds <= 0:
            conn.send(message)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, conn.send, message)

    def dial(self, peer: types.PeerName, address: str) -> None:
        """Connect to ``peer`` at ``ip:port``, and again after each loss.

        This ends with :meth:`hang_up`.
        """
        if peer in self._dials:
            return
        loop = asyncio.get_running_loop()
        self._dials[peer] = loop.create_task(self._maintain(peer, address))

    def hang_up(self, peer: types.PeerName) -> None:
        """Close the connection to a peer and stop dialling it."""
        task = self._dials.pop(peer, None)
        if task is not None:
            task.cancel()
        conn = self._peers.get(peer)
        if conn is not None:
            conn.close()

    def disconnect(self, peer: types.PeerName) -> None:
        """Close the connection to a peer, which may be opened again."""
        conn = self._peers.get(peer)
        if conn is not None:
            conn.close()

    async def _serve_socket(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: self._make_connection(self._on_accepted),
            sock=sock,
            ssl=self._server_tls,
        )
        self._servers.append(server)

    def _on_accepted(self, conn: connections.Connection) -> None:
        assert conn.transport is not None
        address = str(conn.transport.get_extra_info('peername'))
        conn.send(self._make_hello())
        self._start_task(self._serve_accepted(conn, address))

    async def _serve_accepted(
        self, conn: connections.Connection, address: str
    ) -> None:
        if await self._receive_hello(conn, address):
            await self._serve(conn)

    def _start_task(
        self, coroutine: typing.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_connection(
        self, on_made: typing.Callable[[connections.Connection], None]
    ) -> connections.Connection:
        conn = connections.Connection(
            self.traffic, self._buffer, on_made, self._logical_clock
        )
        conn.last_message_at = self._clock.now()
        self._connections.add(conn)
        conn.lost.add_done_callback(
            lambda done: self._connections.discard(conn)
        )
        return conn

    async def _receive_hello(
        self, conn: connections.Connection, address: str
    ) -> bool:
        try:
            hello = await conn.receive_first(self._timeouts.dial_seconds)
        except (OSError, TimeoutError) as exc:
            LOG.info('event=greet_failed peer=%s reason=%r', address, exc)
            conn.close()
            return False
        if not isinstance(hello, messages.Hello):
            LOG.warning('event=no_hello peer=%s', address)
            conn.close()
            return False
        conn.hello = hello
        return True

    async def _serve(self, conn: connections.Connection) -> None:
        hello = conn.hello
        assert hello is not None
        self._peers.add(conn)
        conn.ping(self._clock.now())
        await conn.serve(
            lambda message: self._on_message(conn, hello.name, message)
        )

    def _on_message(
        self,
        conn: connections.Connection,
        peer: str,
        message: messages.Message,
    ) -> None:
        now = self._clock.now()
        conn.last_message_at = now
        if isinstance(message, messages.Ping):
            conn.send(messages.Pong(message.sent, now, self._clock.now()))
            return
        if isinstance(message, messages.Pong):
            conn.record_pong(message, now)
        self._feed(core.Received(peer, message))

    async def _maintain(self, peer: types.PeerName, address: str) -> None:
        redial = backoff.Backoff(REDIAL_DELAYS, self._rng)
        while True:
            started_at = self._clock.now()
            await self._peers.wait_until_lost(peer)
            served = await self._dial_once(peer, address)
            if (
                served
                and self._clock.now() >= started_at + REDIAL_RESET_SECONDS
            ):
                redial.reset()
            await asyncio.sleep(redial.record_failure())

    async def _dial_once(self, peer: types.PeerName, address: str) -> bool:
        """Dial a peer and serve the connection until it is lost.

        :returns: whether the peer was connected.
        """
        own = self._make_hello()
        if own.role == ENTRY and own.name > peer:
            await asyncio.sleep(GREATER_NAME_DIAL_DELAY_SECONDS)
        if peer in self._peers:
            return True
        conn = await self._connect(peer, address)
        if conn is None:
            return False
        try:
            return await self._serve_dialled(conn, peer, address)
        finally:
            # A hang-up cancels this task, possibly before the peer is known.
            conn.close()

    async def _serve_dialled(
        self, conn: connections.Connection, peer: str, address: str
    ) -> bool:
        """Serve a connection that was dialled until it is lost.

        :returns: whether the peer was connected.
        """
        if not await self._receive_hello(conn, address):
            return False
        self._report_if_replaced(conn, peer, address)
        name = conn.hello.name if conn.hello else ''
        if name in self._peers:
            conn.close()
            await self._peers.wait_until_lost(name)
            return True
        conn.send(self._make_hello())
        await self._serve(conn)
        return True

    def _report_if_replaced(
        self, conn: connections.Connection, peer: str, address: str
    ) -> None:
        # Another process has the address, so the dialled one is dead.
        actual = conn.hello.name if conn.hello else ''
        if peer not in (address, actual):
            self._feed(core.PeerDown(peer, 0, True))

    async def _connect(
        self, peer: types.PeerName, address: str
    ) -> connections.Connection | None:
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._timeouts.dial_seconds):
                _, conn = await loop.create_connection(
                    lambda: self._make_connection(lambda conn: None),
                    host,
                    int(port),
                    ssl=self._client_tls,
                )
        except (OSError, ValueError, OverflowError) as exc:
            # Another process wrote the address, which may be no address.  A
            # refused connection shows that the process is dead.
            dead = isinstance(exc, ConnectionRefusedError)
            LOG.info('event=dial_failed peer=%s reason=%r', peer, exc)
            self._feed(core.PeerDown(peer, 0, dead))
            return None
        return conn

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self._timeouts.heartbeat_seconds)
            now = self._clock.now()
            for conn in self._peers.get_connections():
                if now - conn.last_message_at > self._timeouts.silence_seconds:
                    conn.close()
                elif conn.needs_ping(now):
                    conn.ping(now)
