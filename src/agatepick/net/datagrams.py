"""Datagrams between processes: one encoded message each, over UDP.

They need no connection, so the first one after a cut arrives as soon as the
path is whole again.  They may be lost, overtake each other, or come from
anybody: what can't be decoded is dropped and counted.
"""

import asyncio
import socket
import typing

from agatepick import exceptions
from agatepick.net import codec
from agatepick.net import messages
from agatepick.telemetry import logs

LOG = logs.logger(__name__)

MAX_BATCH = 256
"""Datagrams that are read before others have their turn."""

MAX_BYTES = 65_536
"""Largest datagram."""

Receiver = typing.Callable[[str, messages.Message], None]
"""Function that gets a sender's ``ip:port`` and its message."""


class Datagrams:
    """One socket of a process.

    :param on_message: called with each message.
    :ivar unreadable: number of datagrams that were no message.
    """

    def __init__(self, on_message: Receiver) -> None:
        self.unreadable = 0
        self._on_message = on_message
        self._sock: socket.socket | None = None

    def listen(self, address: str) -> None:
        """Bind a socket at ``ip:port``.

        :raises OSError: if the port is in use.
        """
        host, _, port = address.rpartition(':')
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind((host, int(port)))
        except OSError:
            sock.close()
            raise
        self._sock = sock
        asyncio.get_running_loop().add_reader(sock, self._receive_all)

    def send(self, address: str, message: messages.Message) -> None:
        """Send a message to ``ip:port``; nothing tells whether it arrives."""
        if self._sock is None:
            return
        host, _, port = address.rpartition(':')
        try:
            self._sock.sendto(codec.encode(message), (host, int(port)))
        except OSError as exc:
            # The link is full, or the peer is gone: its answer will be missed.
            LOG.debug('event=datagram_unsent peer=%s reason=%r', address, exc)

    def close(self) -> None:
        """Close the socket."""
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
            self._sock = None

    def _receive_all(self) -> None:
        """Pass on what has arrived.

        All of it at once: were it one message in each turn of a busy loop, an
        answer would count as missed while it waits here.
        """
        for _ in range(MAX_BATCH):
            if self._sock is None:
                return
            try:
                data, sender = self._sock.recvfrom(MAX_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                # A port that one of ours was sent to is closed.
                LOG.debug('event=datagram_refused reason=%r', exc)
                continue
            self._pass_on(data, f'{sender[0]}:{sender[1]}')

    def _pass_on(self, data: bytes, sender: str) -> None:
        try:
            message = codec.decode(data)
        except exceptions.BadMessage as exc:
            self.unreadable += 1
            logs.info(
                LOG, 'datagram_unreadable', peer=sender, reason=exc.show()
            )
            return
        self._on_message(sender, message)
