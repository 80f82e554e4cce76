"""The reducer frame: events in, effects out, no input or output inside.

Each role is one reducer over all its events.  A reducer is fed by a shell
(:mod:`agatepick.runtime.shell`) that turns sockets, HTTP and time into events
and carries the effects out.  It reads no clock: every call brings ``now``.
"""

import dataclasses
import typing

from agatepick.net import messages
from agatepick import types


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message came from a peer whose Hello has been taken."""

    peer: types.PeerName
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUp:
    """A connection to a peer is ready for messages."""

    hello: messages.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown:
    """The last connection to a peer ended, or a dial to it failed.

    :param dead: its address refused the connection, or another incarnation
        answered there: the process is provably gone.
    """

    peer: types.PeerName
    incarnation: int
    dead: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent at least every tick interval."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to stop gracefully."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer; dropped when no connection is up."""

    peer: types.PeerName
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Dial:
    """Keep a connection to a peer at an address (``ip:port``)."""

    peer: types.PeerName
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Hangup:
    """Stop keeping a connection to a peer."""

    peer: types.PeerName


@dataclasses.dataclass(frozen=True, slots=True)
class WakeAt:
    """Send a :class:`Tick` at an instant, or sooner."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """An entry of the time line, also logged: a name and its fields."""

    name: str
    fields: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """The graceful stop is done; the process may end."""


Handler = typing.Callable[[typing.Any, float], list[object]]
"""What a reducer does with one class of event, given the instant."""


class Reducer(typing.Protocol):
    """One role: its state, changed only by events."""

    def reduce(self, event: object, now: float) -> list[object]:
        """Take one event and return the effects to carry out, in order."""
        ...


def note(name: str, **fields: object) -> Note:
    """A :class:`Note` with its fields as text."""
    return Note(name, tuple((key, str(val)) for key, val in fields.items()))
