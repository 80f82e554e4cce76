"""Event loop driver that passes events to a reducer and executes its effects.

The handler of an effect is registered for the effect's class, so the shell is
the same for entries and agents.  Events raised while effects are executed are
queued, so that a reducer is never called recursively.

An exception ends the one event or effect that raised it: the others in the
queue are still handled, as their senders won't send them again.
"""

import asyncio
import collections
import logging
import typing

from agatepick import core
from agatepick.net import links
from agatepick import types

LOG = logging.getLogger(__name__)

TICK_SECONDS = 0.25
"""Maximum time between two :class:`agatepick.core.Tick` events."""

Handler = typing.Callable[[typing.Any], None]

FaultNote = typing.Callable[[str, Exception], core.Note]
"""Function that returns the note of an exception and of where it was raised.
"""


class Shell:
    """Driver of one reducer, with its timer and effect handlers.

    :param note_fault: makes a note of an exception, which is then executed as
        an effect, and a message that could not be sent becomes a
        :class:`~agatepick.core.SendFailed`.  Without it the first exception is
        raised once all queued events are handled.
    """

    def __init__(
        self,
        reducer: core.Reducer,
        clock: types.Clock,
        note_fault: FaultNote | None = None,
    ):
        self.reducer = reducer
        self.done = asyncio.Event()
        self._clock = clock
        self._note_fault = note_fault
        self._first_fault: Exception | None = None
        self._handlers: dict[type, Handler] = {
            core.Exit: lambda effect: self.done.set(),
            core.WakeAt: self._wake_at,
            core.Note: _log_note,
        }
        self._queue: collections.deque[object] = collections.deque()
        self._reducing = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    def handle(self, kind: type, handler: Handler) -> None:
        """Register ``handler`` for effects of class ``kind``."""
        self._handlers[kind] = handler

    def use_links(self, peers: links.Links) -> None:
        """Register ``peers`` as handler of the effects on connections."""
        self.handle(core.Send, lambda e: peers.send(e.peer, e.message))
        self.handle(core.Dial, lambda e: peers.dial(e.peer, e.address))
        self.handle(core.Hangup, lambda e: peers.hang_up(e.peer))

    def begin(self) -> None:
        """Start the ticks: pass the first one to the reducer."""
        self._feed_tick()

    def end(self) -> None:
        """Stop the ticks."""
        if self._timer is not None:
            self._timer.cancel()

    def feed(self, event: object) -> None:
        """Pass an event to the reducer, after the events already queued."""
        self._queue.append(event)
        if self._reducing:
            return
        self._reducing = True
        try:
            while self._queue:
                self._reduce_event(self._queue.popleft())
        finally:
            self._reducing = False
        fault, self._first_fault = self._first_fault, None
        if fault is not None:
            raise fault

    def _reduce_event(self, event: object) -> None:
        try:
            effects = self.reducer.reduce(event, self._clock.now())
        except Exception as exc:
            self._record_fault(type(event).__name__, exc)
            return
        for effect in effects:
            self._execute(effect)

    def _execute(self, effect: object) -> None:
        try:
            self._handlers[type(effect)](effect)
        except Exception as exc:
            self._record_fault(type(effect).__name__, exc)
            if isinstance(effect, core.Send) and self._note_fault is not None:
                reason = type(exc).__name__
                self._queue.append(
                    core.SendFailed(effect.peer, effect.message, reason)
                )

    def _record_fault(self, where: str, exc: Exception) -> None:
        if self._note_fault is None:
            self._first_fault = self._first_fault or exc
            return
        try:
            note = self._note_fault(where, exc)
            self._handlers[core.Note](note)
        except Exception:
            LOG.exception('event=fault where=%s', where)

    def _feed_tick(self) -> None:
        self._schedule_tick(self._clock.now() + TICK_SECONDS)
        self.feed(core.Tick())

    def _wake_at(self, effect: core.WakeAt) -> None:
        if effect.at < self._timer_at:
            self._schedule_tick(effect.at)

    def _schedule_tick(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = at
        loop = asyncio.get_running_loop()
        seconds = max(0.0, at - self._clock.now())
        self._timer = loop.call_later(seconds, self._feed_tick)


def _log_note(effect: core.Note) -> None:
    fields = ' '.join(f'{key}={value}' for key, value in effect.fields)
    LOG.info('event=%s %s', effect.name, fields)
