"""Runs one reducer on the event loop: feeds it events, carries out effects.

What a kind of effect means is a handler registered for its class, so the
shell knows no role.  Events that arise while effects are carried out wait
their turn: a reducer never runs inside itself.
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
"""The longest time without a Tick."""

Handler = typing.Callable[[typing.Any], None]


class Shell:
    """One reducer with its links, timers and handlers of effects."""

    def __init__(self, reducer: core.Reducer, clock: types.Clock):
        self.reducer = reducer
        self.done = asyncio.Event()
        self._clock = clock
        self._handlers: dict[type, Handler] = {
            core.Exit: lambda effect: self.done.set(),
            core.WakeAt: self._wake_at,
            core.Note: _log_note,
        }
        self._queue: collections.deque[object] = collections.deque()
        self._busy = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    def handle(self, kind: type, handler: Handler) -> None:
        """Carry out effects of class ``kind`` by ``handler``."""
        self._handlers[kind] = handler

    def use_links(self, peers: links.Links) -> None:
        """Carry out the effects on connections by ``peers``."""
        self.handle(core.Send, lambda e: peers.send(e.peer, e.message))
        self.handle(core.Dial, lambda e: peers.dial(e.peer, e.address))
        self.handle(core.Hangup, lambda e: peers.hangup(e.peer))

    def begin(self) -> None:
        """Feed the first Tick; more follow by themselves."""
        self._tick()

    def end(self) -> None:
        """Stop the ticks."""
        if self._timer is not None:
            self._timer.cancel()

    def feed(self, event: object) -> None:
        """Take one event, now or as soon as the one in progress is done."""
        self._queue.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._queue:
                self._step(self._queue.popleft())
        finally:
            self._busy = False

    def _step(self, event: object) -> None:
        for effect in self.reducer.reduce(event, self._clock.now()):
            self._handlers[type(effect)](effect)

    def _tick(self) -> None:
        self._schedule(self._clock.now() + TICK_SECONDS)
        self.feed(core.Tick())

    def _wake_at(self, effect: core.WakeAt) -> None:
        if effect.at < self._timer_at:
            self._schedule(effect.at)

    def _schedule(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = at
        loop = asyncio.get_running_loop()
        seconds = max(0.0, at - self._clock.now())
        self._timer = loop.call_later(seconds, self._tick)


def _log_note(effect: core.Note) -> None:
    fields = ' '.join(f'{key}={value}' for key, value in effect.fields)
    LOG.info('event=%s %s', effect.name, fields)
