"""Interface of reducers, and their common events and effects.

A reducer receives events, returns effects and performs no I/O.  Each role is
one reducer.  A shell (:mod:`agatepick.runtime.shell`) turns sockets, HTTP and
time into events and executes the effects.  A reducer reads no clock: every
call passes ``now``.
"""

import dataclasses
import typing

from agatepick.net import messages
from agatepick import types


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Event that a message arrived from a peer that has sent its Hello."""

    peer: types.PeerName
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class DatagramReceived:
    """Event that a datagram arrived, perhaps late, twice or from anybody.

    :param address: ``ip:port`` of its sender.
    """

    address: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUp:
    """Event that a connection to a peer is ready for messages."""

    hello: messages.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown:
    """Event that the last connection to a peer ended, or a dial failed.

    :param incarnation: incarnation of the peer; 0 for a failed dial.
    :param dead: whether the process is provably dead: its address refused the
        connection, or another process or incarnation answered there.
    """

    peer: types.PeerName
    incarnation: int
    dead: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Event that time has passed.

    The shell sends it at least every ``TICK_SECONDS``.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """Event that a graceful stop of the process was requested."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendFailed:
    """Event that a message could not be sent, as its encoding failed.

    :param reason: name of the exception's class.
    """

    peer: types.PeerName
    message: messages.Message
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Effect that sends a message to a peer, if it is connected."""

    peer: types.PeerName
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendDatagram:
    """Effect that sends a message to ``ip:port`` that may get lost."""

    address: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Dial:
    """Effect that maintains a connection to a peer at ``ip:port``."""

    peer: types.PeerName
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Hangup:
    """Effect that stops dialling a peer and closes its connection."""

    peer: types.PeerName


@dataclasses.dataclass(frozen=True, slots=True)
class WakeAt:
    """Effect that requests a :class:`Tick` no later than an instant."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """Effect that adds an event and its fields to the timeline and log."""

    name: str
    fields: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """Effect that lets the process exit after a graceful stop."""


Handler = typing.Callable[[typing.Any, float], list[object]]
"""Function of a reducer that handles one class of events at an instant."""


class Reducer(typing.Protocol):
    """Interface of a reducer, whose state only changes by events."""

    def reduce(self, event: object, now: float) -> list[object]:
        """Handle one event and return the effects to execute, in order."""
        ...


def note(name: str, **fields: object) -> Note:
    """Return a :class:`Note` with its fields as text."""
    return Note(name, tuple((key, str(val)) for key, val in fields.items()))
