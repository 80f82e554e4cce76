"""Whole processes: a reducer with its shell and its links to its peers.

What speaks to callers, workers and the store is handed in from outside; it
feeds events through :meth:`Process.feed` and takes the effects that it
registers for with :meth:`Process.handle`.
"""

import asyncio
import random
import secrets
import typing

from tornado import netutil

from agatepick import core
from agatepick.net import clocks
from agatepick.net import links
from agatepick.net import messages
from agatepick.repeatable import measures
from agatepick.runtime import shell
from agatepick.telemetry import logs
from agatepick import types

_INCARNATION_BITS = 63

PACE = links.Pace(heartbeat=0.4, silence=1.2, dial=1.0)
"""Agents and entries exchange renewals every 0.2 s, so 1.2 s of silence is
no pause of a busy process; a connection that went silent is replaced then."""

LAST_ANSWERS_SECONDS = 0.1
"""The last messages and answers leave before their connections close."""

LOG = logs.logger(__name__)


class Reducer(core.Reducer, typing.Protocol):
    """A reducer that can tell what it has."""

    def figures(self, now: float) -> dict[str, float]:
        """Figures of the moment, by their names in ``measures``."""
        ...


class Process:
    """One entry or agent.

    :param role: what its peers are told that it is.
    :param reducer: its decisions and state.
    """

    def __init__(
        self,
        name: types.PeerName,
        role: str,
        zone: str,
        reducer: Reducer,
        incarnation: int,
        clock: types.Clock,
    ):
        self.name = name
        self.clock = clock
        self._reducer = reducer
        self._role = role
        self._zone = zone
        self._incarnation = incarnation
        self._address = ''
        self.shell = shell.Shell(reducer, clock)
        self.links = links.Links(
            self._hello,
            self.shell.feed,
            clock,
            random.Random(incarnation),
            pace=PACE,
        )
        self.shell.use_links(self.links)
        self.measures = measures.Measures()
        self.shell.handle(core.Note, self._note)

    def feed(self, event: object) -> None:
        """Let the reducer take an event."""
        self.shell.feed(event)

    def figures(self) -> dict[str, float]:
        """What the reducer has at this moment."""
        return self._reducer.figures(self.clock.now())

    def handle(
        self, kind: type, handler: typing.Callable[[typing.Any], None]
    ) -> None:
        """Carry out effects of class ``kind`` by ``handler``."""
        self.shell.handle(kind, handler)

    def listen(self, address: str) -> None:
        """Take connections of peers at ``ip:port``."""
        host, _, port = address.rpartition(':')
        self._address = address
        self.links.add_sockets(netutil.bind_sockets(int(port), host))

    def begin(self) -> None:
        """Start the heartbeats and the ticks."""
        self.links.begin()
        self.shell.begin()

    async def stop(self, seconds: float) -> None:
        """Stop gracefully; what isn't done in time is cut off."""
        self.shell.feed(core.StopRequested())
        try:
            await asyncio.wait_for(self.shell.done.wait(), seconds)
        except TimeoutError:
            logs.warning(LOG, 'stop_cut_off', process=self.name)
        await asyncio.sleep(LAST_ANSWERS_SECONDS)
        self.shell.end()
        self.links.end()

    def _note(self, note: core.Note) -> None:
        logs.noted(LOG, note, _routine(note))
        self.measures.noted(note)

    def _hello(self) -> messages.Hello:
        return messages.Hello(
            self.name,
            self._role,
            self._incarnation,
            self._zone,
            '',
            self._address,
            0,
        )


def new_incarnation() -> int:
    """A number that no earlier process of the same name had."""
    return secrets.randbits(_INCARNATION_BITS)


def new_clock() -> types.Clock:
    """The clock that all of a process's leases are counted by."""
    return clocks.ProcessClock.start()


def _routine(note: core.Note) -> bool:
    """Whether a note is of the ordinary course of a job that ends well."""
    if note.name == 'job_admitted':
        return True
    if note.name == 'job_ended':
        return ('verdict', 'complete') in note.fields
    # Entries that race for the same room are turned away now and then.
    return ('reason', 'room') in note.fields
