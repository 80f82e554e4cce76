import asyncio
import random
import time

import pytest
from tornado import netutil

from agatepick import core
from agatepick.net import connections
from agatepick.net import links
from agatepick.net import messages


class WallClock:
    def now(self) -> float:
        return time.time()


class Node:
    def __init__(self, name: str, incarnation: int = 1):
        self.name = name
        self.incarnation = incarnation
        self.events: list[object] = []
        self.changed = asyncio.Event()
        self.links = links.Links(
            self.hello, self.feed, WallClock(), random.Random(1)
        )

    def hello(self) -> messages.Hello:
        return messages.Hello(
            self.name, 'entry', self.incarnation, 'z', 'r', '', 0
        )

    def feed(self, event: object) -> None:
        self.events.append(event)
        self.changed.set()

    def listen(self, port: int = 0) -> int:
        sockets = netutil.bind_sockets(port, '127.0.0.1')
        self.links.add_sockets(sockets)
        return sockets[0].getsockname()[1]

    async def wait_for(self, kind: type, matches=lambda event: True):
        async with asyncio.timeout(10):
            while True:
                for event in self.events:
                    if isinstance(event, kind) and matches(event):
                        return event
                self.changed.clear()
                await self.changed.wait()


class RecordingTransport:
    """Transport that records what is written."""

    def __init__(self, transport, writes):
        self._transport = transport
        self._writes = writes

    def __getattr__(self, name):
        return getattr(self._transport, name)

    def write(self, data):
        self._writes.append(data)
        self._transport.write(data)


async def connect_nodes():
    """Return two connected nodes, ``a`` and ``b``."""
    left, right = Node('a'), Node('b')
    port = right.listen()
    left.links.dial('b', f'127.0.0.1:{port}')
    await left.wait_for(core.PeerUp)
    await right.wait_for(core.PeerUp)
    return left, right


def run(main):
    return asyncio.run(main())


def test_messages_go_both_ways_over_one_connection():
    async def main():
        left, right = await connect_nodes()
        left.links.send('b', messages.Goodbye('x'))
        right.links.send('a', messages.Ask(3))
        received = await right.wait_for(
            core.Received, lambda e: isinstance(e.message, messages.Goodbye)
        )
        assert received == core.Received('a', messages.Goodbye('x'))
        await left.wait_for(
            core.Received, lambda e: e.message == messages.Ask(3)
        )
        left.links.end()
        right.links.end()

    run(main)


def test_a_refused_connection_shows_that_the_peer_is_dead():
    """A process is killed, which closes its port.

    Its peers must detect that it is dead and not only silent, or an outage of
    the store would stop all starts.
    """

    async def main():
        dead_node = Node('b')
        port = dead_node.listen()
        dead_node.links.end()
        node = Node('a')
        node.links.dial('b', f'127.0.0.1:{port}')
        down = await node.wait_for(core.PeerDown)
        assert down.dead
        node.links.end()

    run(main)


def test_another_name_at_an_address_shows_that_the_peer_is_dead():
    """A process dies and another process gets its address.

    As the new process answers there, the old one can't be running.
    """

    async def main():
        other = Node('c')
        port = other.listen()
        node = Node('a')
        node.links.dial('b', f'127.0.0.1:{port}')
        down = await node.wait_for(core.PeerDown)
        assert down == core.PeerDown('b', 0, True)
        node.links.end()
        other.links.end()

    run(main)


@pytest.mark.parametrize('data', [b'\xff' * 64, b'\0\0\0\1x', b'\0' * 64])
def test_invalid_frames_close_only_their_connection(data):
    """A client that isn't a peer connects and sends arbitrary bytes.

    Its connection must be closed without an event, while peers can connect.
    """

    async def main():
        node, peer = Node('a'), Node('b')
        port = node.listen()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(data)
        async with asyncio.timeout(10):
            while await reader.read(65536):
                pass
        assert node.events == []
        peer.links.dial('a', f'127.0.0.1:{port}')
        await node.wait_for(core.PeerUp)
        writer.close()
        peer.links.end()
        node.links.end()

    run(main)


def test_messages_sent_in_one_loop_iteration_take_one_write():
    """An entry with fifty agents answers hundreds of messages a second.

    With a write and two reads for each of them, system calls take a third of
    its time, and its callers wait longer.
    """

    async def main():
        left, right = await connect_nodes()
        writes = []
        conn = left.links._peers['b']
        conn.transport = RecordingTransport(conn.transport, writes)
        for number in range(20):
            left.links.send('b', messages.Ask(number))
        await right.wait_for(
            core.Received, lambda e: e.message == messages.Ask(19)
        )
        values = [
            event.message.want
            for event in right.events
            if isinstance(event, core.Received)
            and isinstance(event.message, messages.Ask)
        ]
        assert values == list(range(20))
        frames = [messages.encode(messages.Ask(one)) for one in range(20)]
        assert writes[0] == b''.join(
            connections.FRAME_HEADER.pack(len(frame)) + frame
            for frame in frames
        )
        left.links.end()
        right.links.end()

    run(main)


def test_messages_sent_before_a_hangup_arrive():
    """A process sends a goodbye and hangs up at once.

    Its peer must receive the goodbye, or the peer waits for a dead process.
    """

    async def main():
        left, right = await connect_nodes()
        left.links.send('b', messages.Goodbye('x'))
        left.links.hang_up('b')
        await right.wait_for(
            core.Received, lambda e: e.message == messages.Goodbye('x')
        )
        left.links.end()
        right.links.end()

    run(main)


def test_a_message_takes_one_read():
    """An entry receives hundreds of small messages a second, one at a time.

    A coroutine that reads a stream takes three reads and three iterations of
    the event loop for each: 165 to 185 us of CPU time for a message sent and
    received, and 92 to 107 us with one read and one iteration.
    """

    async def main():
        left, right = await connect_nodes()
        left.links.send('b', messages.Ask(99))
        await right.wait_for(
            core.Received, lambda e: e.message == messages.Ask(99)
        )
        conn = right.links._peers['a']
        reads = []
        get_buffer = conn.get_buffer
        conn.get_buffer = lambda hint: reads.append(hint) or get_buffer(hint)
        for number in range(20):
            left.links.send('b', messages.Ask(number))
            await right.wait_for(
                core.Received,
                lambda e, number=number: e.message == messages.Ask(number),
            )
        assert len(reads) <= 21
        left.links.end()
        right.links.end()

    run(main)
