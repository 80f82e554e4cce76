"""The peers that a process is connected to."""

import asyncio
import typing

from agatepick import core
from agatepick.net import connections
from agatepick import types


class ConnectedPeers:
    """The connections of a process, one for each connected peer.

    A ``PeerDown`` follows each ``PeerUp``, whether the peer, the network or
    this process has closed the connection.

    :param feed: callback for the events ``PeerUp`` and ``PeerDown``.
    """

    def __init__(self, feed: typing.Callable[[object], None]) -> None:
        self._feed = feed
        self._conns: dict[types.PeerName, connections.Connection] = {}
        self._lost_events: dict[types.PeerName, asyncio.Event] = {}
        self._ended = False

    def __contains__(self, peer: types.PeerName) -> bool:
        return peer in self._conns

    def get_names(self) -> tuple[types.PeerName, ...]:
        """Return the names of the connected peers."""
        return tuple(self._conns)

    def get_connections(self) -> tuple[connections.Connection, ...]:
        """Return the connections of all connected peers."""
        return tuple(self._conns.values())

    def get(self, peer: types.PeerName) -> connections.Connection | None:
        """Return the connection to a peer, or ``None``."""
        return self._conns.get(peer)

    def add(self, conn: connections.Connection) -> None:
        """Add a connection whose peer has sent its Hello.

        It replaces an older connection to the same peer.
        """
        hello = conn.hello
        assert hello is not None
        old = self._conns.get(hello.name)
        self._conns[hello.name] = conn
        # The task that serves the connection may be cancelled before the
        # connection is lost, so it can't be the one that reports the loss.
        conn.lost.add_done_callback(lambda lost: self._remove(conn))
        if old is not None and old.hello is not None:
            # The peer connected again, so it has lost the older connection,
            # possibly with messages that were in transit.
            old.close()
            old_incarnation = old.hello.incarnation
            dead = old_incarnation != hello.incarnation
            self._feed(core.PeerDown(hello.name, old_incarnation, dead))
        self._feed(core.PeerUp(hello))

    def end(self) -> None:
        """Report no further events."""
        self._ended = True

    async def wait_until_lost(self, peer: types.PeerName) -> None:
        """Wait until a peer isn't connected."""
        if peer in self._conns:
            await self._lost_events.setdefault(peer, asyncio.Event()).wait()

    def _remove(self, conn: connections.Connection) -> None:
        hello = conn.hello
        assert hello is not None
        if self._ended or self._conns.get(hello.name) is not conn:
            return
        del self._conns[hello.name]
        lost = self._lost_events.pop(hello.name, None)
        if lost is not None:
            lost.set()
        self._feed(core.PeerDown(hello.name, hello.incarnation))
