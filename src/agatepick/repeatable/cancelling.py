"""Cancels of jobs that another entry has.

Callers whose connection breaks send a request again, to any entry, so a cancel
may reach an entry that doesn't have the job.  Entries aren't connected to each
other; an agent, which is connected to all of them, passes the cancel on.
"""

import dataclasses
import random

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import events
from agatepick.repeatable import pool
from agatepick import types

ANSWER_SECONDS = 0.25
"""Time for the answers by way of one agent, some round trips."""

MAX_AGENTS = 3
"""Number of agents that are asked one after the other; the connections of one
to the job's entry may be broken."""


@dataclasses.dataclass(slots=True)
class _Pending:
    """A cancel whose job hasn't been found yet.

    :param due: instant at which the next agent is asked.
    :ivar asked: agents that were asked.
    :ivar missing: answers that the last one still has to pass on.
    """

    event: events.CancelAsked
    due: float
    asked: set[types.PeerName] = dataclasses.field(default_factory=set)
    missing: int = 0


class Cancelling:
    """The cancels that this entry has passed on.

    :param name: name of this entry.
    :param workers: the workers with the agents beside them.
    """

    def __init__(
        self, name: types.PeerName, workers: pool.Pool, rng: random.Random
    ) -> None:
        self._name = name
        self._pool = workers
        self._rng = rng
        self._pending: dict[int, _Pending] = {}

    def ask(self, event: events.CancelAsked, now: float) -> list[object]:
        """Ask the other entries for a job."""
        pending = _Pending(event, now)
        self._pending[event.call] = pending
        return self._ask_next(pending, now)

    def check(self, now: float) -> list[object]:
        """Ask by way of another agent where answers are overdue."""
        effects: list[object] = []
        for pending in list(self._pending.values()):
            if now >= pending.due:
                effects += self._ask_next(pending, now)
        return effects

    def handle_answer(
        self, worker: pool.Worker, message: messages.CancelAnswer, now: float
    ) -> list[object]:
        """Handle the answer of an entry."""
        pending = self._pending.get(message.number)
        if pending is None:
            return []
        if message.found:
            return self._end(pending, found=True)
        pending.missing -= 1
        if pending.missing > 0:
            return []
        return self._end(pending, found=False)

    def _ask_next(self, pending: _Pending, now: float) -> list[object]:
        agents = [
            worker
            for worker in self._pool
            if worker.is_usable(now) and worker.name not in pending.asked
        ]
        if not agents or len(pending.asked) >= MAX_AGENTS:
            return self._end(pending, found=False)
        agent = self._rng.choice(agents)
        others = agent.room.entries - 1 if agent.room is not None else 0
        if others < 1:
            return self._end(pending, found=False)
        pending.asked.add(agent.name)
        pending.missing = others
        pending.due = now + ANSWER_SECONDS
        event = pending.event
        cancel = messages.CancelJob(
            event.call, self._name, event.key, event.host, event.path
        )
        return [core.Send(agent.name, cancel), core.WakeAt(pending.due)]

    def _end(self, pending: _Pending, found: bool) -> list[object]:
        event = pending.event
        del self._pending[event.call]
        return [
            core.note(
                'cancel_passed_on',
                job=event.key,
                found=found,
                agents=len(pending.asked),
            ),
            events.CancelReply(event.call, found),
        ]
