"""Processor time for what clients send ahead.

Load pattern: bodies in chunks of a few bytes, and requests sent ahead of their
answers.  They take up little memory, but keep the processor busy for as long
as there is something to read, and heartbeats, leases and other clients wait.
A client that sends no more than one request at a time needs no turn.
"""

import asyncio
import collections
import time
import typing

BATCH_SECONDS = 0.005
"""Time that one batch of turns should take, which all else waits for."""

MAX_BATCH = 64
"""Largest number of turns in a batch."""

MAX_ROUND_COST = 4096
"""Sum of the costs of reads after which a round of the event loop has taken
some milliseconds for them."""

AHEAD_INTERVAL = 4
"""Every so many turns goes to what was sent ahead."""

PAUSE_FACTOR = 1.0
"""Pause after a batch, by the time that it took."""


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

    Clients that haven't sent ahead come first, but not always: others would
    never have their turn beside a crowd.
    """

    def __init__(self) -> None:
        self._first: collections.deque[Turn] = collections.deque()
        self._ahead: collections.deque[Turn] = collections.deque()
        self._taken = 0
        self._size = BatchSize()
        self._running = False
        self._round_cost = 0

    def __len__(self) -> int:
        return len(self._first) + len(self._ahead)

    def spend(self, cost: int) -> None:
        """Count a read in this round of the event loop."""
        if not self._round_cost:
            asyncio.get_running_loop().call_soon(self._begin_round)
        self._round_cost += cost

    def _begin_round(self) -> None:
        self._round_cost = 0

    def is_busy(self) -> bool:
        """Return whether much has been read in this round."""
        return self._round_cost > MAX_ROUND_COST

    def wait(self, turn: Turn, ahead: bool) -> None:
        """Let something wait for its turn.

        :param ahead: whether it was sent ahead.
        """
        (self._ahead if ahead else self._first).append(turn)
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
        self._taken += 1
        ahead_is_due = self._taken % AHEAD_INTERVAL == 0
        if self._ahead and (ahead_is_due or not self._first):
            return self._ahead.popleft()
        return self._first.popleft()

    def _end_batch(self, started_at: float) -> None:
        seconds = time.monotonic() - started_at
        self._size.record(seconds)
        asyncio.get_running_loop().call_later(
            PAUSE_FACTOR * seconds, self._start_batch
        )
