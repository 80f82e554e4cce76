import asyncio
import socket

import pytest
from tornado import iostream

from agatepick.net import departures


class Callers:
    """Connections whose callers wait, and the watch over them."""

    def __init__(self):
        self.watch = departures.DepartureWatch()

    def connect(self):
        """Return the caller's socket and the stream that is watched."""
        caller, served = socket.socketpair()
        return caller, self.serve(served)

    def serve(self, sock):
        """Return the watched stream of a socket."""
        stream = iostream.IOStream(sock)
        self.watch.add(stream)
        return stream


def play(scenario):
    """Run a scenario in an event loop."""

    async def main():
        scenario(Callers())

    asyncio.run(main())


@pytest.mark.parametrize('unread', [b'', b'\r\n'])
def test_a_connection_is_closed_when_its_caller_has_closed_it(unread):
    def scenario(callers):
        caller, stream = callers.connect()
        _, other = callers.connect()
        caller.sendall(unread)
        callers.watch.close_departed()
        assert not stream.closed()
        caller.close()
        callers.watch.close_departed()
        assert stream.closed()
        assert not other.closed()

    play(scenario)


def test_a_connection_is_not_closed_once_it_is_watched_no_longer():
    def scenario(callers):
        caller, stream = callers.connect()
        callers.watch.discard(stream)
        callers.watch.discard(stream)
        caller.close()
        callers.watch.close_departed()
        assert not stream.closed()

    play(scenario)


def test_the_number_of_a_closed_connection_is_watched_for_its_next_one():
    """The next connection's end would not be noticed."""

    def scenario(callers):
        _, former = callers.connect()
        number = former.socket.fileno()
        former.close()
        pair = socket.socketpair()
        served, caller = sorted(pair, key=lambda one: one.fileno() != number)
        stream = callers.serve(served)
        assert stream.socket.fileno() == number
        callers.watch.discard(former)
        caller.close()
        callers.watch.close_departed()
        assert stream.closed()

    play(scenario)
