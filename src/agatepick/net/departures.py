"""Connections that callers have closed behind bytes that nobody has read.

The HTTP server reads a connection that waits for its answer only while it has
no unread bytes, so it doesn't notice the end of one whose caller sent more
than its request: an empty line, or a further request.  The job's runs would go
on beside those of the next entry that gets the job.
"""

import select

from tornado import ioloop
from tornado import iostream

CHECK_SECONDS = 0.05
"""Interval at which waiting connections are checked.  It adds to the time
until the runs of a caller that left are over."""

_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class DepartureWatch:
    """A watch over the connections of the callers that wait."""

    def __init__(self) -> None:
        self._poll = select.poll()
        self._streams: dict[int, iostream.IOStream] = {}
        self._numbers: dict[iostream.IOStream, int] = {}
        self._timer = ioloop.PeriodicCallback(
            self.close_departed, CHECK_SECONDS * 1000.0
        )

    def add(self, stream: iostream.IOStream) -> None:
        """Watch a connection whose caller waits for an answer."""
        if stream.closed():
            return
        number = stream.socket.fileno()
        self._streams[number] = stream
        self._numbers[stream] = number
        self._poll.register(number, select.POLLRDHUP)
        if not self._timer.is_running():
            self._timer.start()

    def discard(self, stream: iostream.IOStream) -> None:
        """Watch a connection no longer."""
        number = self._numbers.pop(stream, None)
        # Another connection may have the number of one that was closed.
        if number is None or self._streams.get(number) is not stream:
            return
        del self._streams[number]
        self._poll.unregister(number)
        if not self._streams:
            self._timer.stop()

    def close_departed(self) -> None:
        """Close the connections whose callers have closed them."""
        for number, found in self._poll.poll(0):
            stream = self._streams[number]
            if found & _GONE:
                stream.close()
            if stream.closed():
                self.discard(stream)
