"""Processes that consist of a reducer, its event loop shell and its links.

The parts that communicate with callers, workers and the store are supplied
from outside.  They pass events to :meth:`Process.feed` and register for
effects with :meth:`Process.register_handler`.
"""

import asyncio
import random
import secrets
import typing

from tornado import netutil

from agatepick import core
from agatepick.net import clocks
from agatepick.net import datagrams
from agatepick.net import links
from agatepick.net import messages
from agatepick.repeatable import faults
from agatepick.repeatable import measures
from agatepick.repeatable import pauses
from agatepick.runtime import shell
from agatepick.telemetry import logs
from agatepick import types

_INCARNATION_BITS = 63

TIMEOUTS = links.LinkTimeouts(
    heartbeat_seconds=0.4, silence_seconds=1.2, dial_seconds=1.0
)
"""Timing of the links.  Agents and entries exchange renewals every 0.2 s, so
1.2 s of silence is longer than any pause of a busy process; a connection that
has been silent for so long is replaced."""

FLUSH_SECONDS = 0.1
"""Time for the last messages and answers to be sent before their connections
close."""

LOG = logs.logger(__name__)


class Reducer(core.Reducer, typing.Protocol):
    """Reducer that exports gauges."""

    def gauges(self, now: float) -> dict[str, float]:
        """Return gauges by name; see ``measures.GAUGES``."""
        ...


class Process:
    """One entry or agent process.

    :param role: role that is sent to its peers.
    :param reducer: reducer of the process, with its state.
    :param incarnation: number that no earlier process of this name had.
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
        watched = pauses.WatchedReducer(reducer)
        self.shell = shell.Shell(watched, clock, faults.note)
        self.links = links.Links(
            self._make_hello,
            self.shell.feed,
            clock,
            random.Random(incarnation),
            timeouts=TIMEOUTS,
        )
        self.shell.use_links(self.links)
        self._datagrams = datagrams.Datagrams(self._feed_datagram)
        self.shell.handle(
            core.SendDatagram,
            lambda e: self._datagrams.send(e.address, e.message),
        )
        self.measures = measures.Measures()
        self.shell.handle(core.Note, self._record_note)

    def feed(self, event: object) -> None:
        """Pass an event to the reducer."""
        self.shell.feed(event)

    def gauges(self) -> dict[str, float]:
        """Return the reducer's gauges by name."""
        return self._reducer.gauges(self.clock.now())

    def register_handler(
        self, kind: type, handler: typing.Callable[[typing.Any], None]
    ) -> None:
        """Register the handler of effects of class ``kind``."""
        self.shell.handle(kind, handler)

    def guard(
        self, where: str, step: typing.Callable[[typing.Any], None]
    ) -> typing.Callable[[typing.Any], None]:
        """Return a callback that notes an exception of ``step``.

        Otherwise the coroutine that calls it would end, and with it all that
        it follows.

        :param where: name of the step in the note.
        """

        def guarded(value: typing.Any) -> None:
            try:
                step(value)
            except Exception as exc:
                self.record_fault(where, exc)

        return guarded

    def record_fault(self, where: str, exc: Exception) -> None:
        """Note and count an exception that nobody expected.

        :param where: the part that it ended, from a small fixed set.
        """
        self._record_note(faults.note(where, exc))

    def listen(self, address: str) -> None:
        """Accept connections of peers at ``ip:port``."""
        host, _, port = address.rpartition(':')
        self._address = address
        self.links.add_sockets(netutil.bind_sockets(int(port), host))

    def listen_for_datagrams(self, address: str) -> None:
        """Send and receive datagrams at ``ip:port``."""
        self._datagrams.listen(address)

    def _feed_datagram(self, address: str, message: messages.Message) -> None:
        self.feed(core.DatagramReceived(address, message))

    def begin(self) -> None:
        """Start the heartbeats and the ticks."""
        self.links.begin()
        self.shell.begin()

    async def stop(self, timeout_seconds: float) -> None:
        """Stop gracefully, but cut off remaining work after a timeout.

        :param timeout_seconds: time after which work is cut off.
        """
        self.shell.feed(core.StopRequested())
        try:
            await asyncio.wait_for(self.shell.done.wait(), timeout_seconds)
        except TimeoutError:
            logs.warning(LOG, 'stop_cut_off', process=self.name)
        await asyncio.sleep(FLUSH_SECONDS)
        self.shell.end()
        self.links.end()
        self._datagrams.close()

    def _record_note(self, note: core.Note) -> None:
        logs.log_note(LOG, note, is_routine(note))
        self.measures.count_note(note)

    def _make_hello(self) -> messages.Hello:
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
    """Return a random number that no earlier process of the same name had."""
    return secrets.randbits(_INCARNATION_BITS)


def new_clock() -> types.Clock:
    """Return the clock by which a process times all its leases."""
    return clocks.ProcessClock.start()


def is_routine(note: core.Note) -> bool:
    """Return whether a note is a normal part of a job that succeeds."""
    if note.name in ('job_admitted', 'run_finished'):
        return True
    if note.name == 'run_started':
        return ('run', '1') in note.fields
    if note.name == 'job_ended':
        return ('verdict', 'complete') in note.fields
    # Refusals for lack of capacity are normal where several entries compete
    # for it.
    return ('reason', 'room') in note.fields
