"""Processor time for what clients send ahead.

Load pattern: bodies in chunks of a few bytes, and requests sent ahead of their
answers.  They take up little memory, but keep the processor busy for as long
as there is something to read, and heartbeats, leases and other clients wait.
A client that sends no more than one request at a time needs no turn.
"""

import asyncio
import collections
import enum
import time
import typing

BATCH_SECONDS = 0.005
"""Time that one batch of turns should take, which all else waits for."""

MAX_BATCH = 64
"""Largest number of turns in a batch."""

WINDOW_SECONDS = 0.02
MAX_WINDOW_COST = 4096
"""Sum of the costs of reads, some milliseconds of work, after which further
ones have to wait for turns until the window is over."""


class Group(enum.IntEnum):
    """Who waits for a turn.

    ``KNOWN`` has had an answer on its connection before, and ``AHEAD`` sends
    ahead of its answers.
    """

    KNOWN = 0
    NEW = 1
    AHEAD = 2


ORDERS = (
    (Group.KNOWN, Group.NEW, Group.AHEAD),
    (Group.NEW, Group.KNOWN, Group.AHEAD),
    (Group.KNOWN, Group.NEW, Group.AHEAD),
    (Group.AHEAD, Group.KNOWN, Group.NEW),
)
"""Which group is first, turn after turn: each has its share beside a crowd."""

PAUSE_FACTOR = 1.0
"""Pause before a batch of what was sent ahead, by the time that the one before
took."""


class Turn(typing.Protocol):
    """Something that waits for its turn."""

    def take(self) -> bool:
        """Go on, and return whether it did: its client may have left."""
        ...


class BatchSize:
    """The number of turns that take a batch's time."""

    def __init__(self) -> None:
        self.turns = 1

    def record(self, seconds: float) -> None:
        """Record how long a batch took."""
        if seconds > BATCH_SECONDS:
            self.turns = max(1, self.turns // 2)
        elif seconds < BATCH_SECONDS / 2.0:
            self.turns = min(MAX_BATCH, self.turns * 2)


class TurnQueue:
    """Turns in the order in which they were asked for, a batch at a time.

    Clients that had an answer before and don't send ahead come first, but not
    always: others would never have their turn beside a crowd.
    """

    def __init__(self) -> None:
        self._groups: dict[Group, collections.deque[Turn]] = {
            group: collections.deque() for group in Group
        }
        self._taken = 0
        self._size = BatchSize()
        self._running = False
        self._window_cost = 0
        self._window_ends_at = 0.0

    def __len__(self) -> int:
        return sum(len(group) for group in self._groups.values())

    def spend(self, cost: int) -> None:
        """Count a read that didn't wait for a turn."""
        self._window_cost += cost

    def is_busy(self) -> bool:
        """Return whether much has been read of late."""
        now = time.monotonic()
        if now >= self._window_ends_at:
            self._window_ends_at = now + WINDOW_SECONDS
            self._window_cost = 0
        return self._window_cost > MAX_WINDOW_COST

    def wait(self, turn: Turn, group: Group) -> None:
        """Let something wait for its turn."""
        self._groups[group].append(turn)
        if not self._running:
            self._running = True
            asyncio.get_running_loop().call_soon(self._start_batch)

    def _start_batch(self) -> None:
        if not len(self):
            self._running = False
            return
        started_at = time.monotonic()
        left = self._size.turns
        while left and len(self):
            left -= self._pop().take()
        # What took its turn goes on in the next two rounds of the event loop:
        # the read, and the handler of the request.
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self._end_batch, started_at)

    def _pop(self) -> Turn:
        order = ORDERS[self._taken % len(ORDERS)]
        self._taken += 1
        group = next(group for group in order if self._groups[group])
        return self._groups[group].popleft()

    def _end_batch(self, started_at: float) -> None:
        seconds = time.monotonic() - started_at
        self._size.record(seconds)
        loop = asyncio.get_running_loop()
        if self._groups[Group.KNOWN] or self._groups[Group.NEW]:
            loop.call_soon(self._start_batch)
        else:
            loop.call_later(PAUSE_FACTOR * seconds, self._start_batch)
