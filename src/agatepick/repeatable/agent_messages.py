"""Connections and messages of an entry's agents."""

import typing

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import faults
from agatepick.repeatable import kinds
from agatepick.repeatable import membership
from agatepick.repeatable import outcomes
from agatepick.repeatable import placing
from agatepick.repeatable import pool
from agatepick.repeatable import shrinking

ROLE_AGENT = 'agent'

_Handler = typing.Callable[[pool.Worker, typing.Any, float], list[object]]


class AgentMessages:
    """What an entry's agents tell it.

    :param workers: the workers with the agents beside them.
    :param speeds: speeds of the workers; ``None`` if they aren't learnt.
    """

    def __init__(
        self,
        workers: pool.Pool,
        placer: placing.Placing,
        results: outcomes.Outcomes,
        shrunk: shrinking.Shrinking,
        speeds: kinds.RelativeSpeeds | None,
    ) -> None:
        self._pool = workers
        self._placing = placer
        self._outcomes = results
        self._shrinking = shrunk
        self._speeds = speeds
        self._membership = membership.Membership(workers)
        self._handlers: dict[type, _Handler] = {
            messages.Room: self._handle_room,
            messages.RunReports: results.handle_reports,
            messages.Renewal: self._handle_renewal,
        }

    def connect(self, event: core.PeerUp, now: float) -> list[object]:
        """Handle the connection of a peer, if it is an agent."""
        hello = event.hello
        if hello.role != ROLE_AGENT:
            return []
        self._membership.connect(hello)
        self._placing.forget(hello.name)
        return [core.note('agent_up', peer=hello.name)]

    def disconnect(self, event: core.PeerDown, now: float) -> list[object]:
        """Handle the loss of an agent's connection."""
        if not self._membership.disconnect(event.peer, now):
            return []
        self._placing.forget(event.peer)
        return [core.note('agent_down', peer=event.peer)]

    def handle_message(self, event: core.Received, now: float) -> list[object]:
        """Handle a message of an agent."""
        worker = self._pool.get(event.peer)
        handle = self._handlers.get(type(event.message))
        if worker is None or handle is None:
            return []
        return handle(worker, event.message, now)

    def handle_unsent(
        self, event: core.SendFailed, now: float
    ) -> list[object]:
        """Handle a message to an agent that could not be encoded."""
        effects: list[object] = [faults.note_unsent(event)]
        worker = self._pool.get(event.peer)
        if worker is None or not isinstance(event.message, messages.StartRuns):
            return effects
        return effects + self._outcomes.handle_unsent(
            worker, event.message, now
        )

    def forget_gone(self, now: float) -> None:
        """Forget agents that were disconnected long ago."""
        self._membership.forget_gone(now)

    def requeue_expired(self, now: float) -> list[object]:
        """Queue the tasks again whose runs are over by their lease."""
        effects: list[object] = []
        for worker in self._membership.find_expired(now):
            effects += self._outcomes.requeue_all(worker, 'agent_silent', now)
        return effects

    def _handle_renewal(
        self, worker: pool.Worker, message: messages.Renewal, now: float
    ) -> list[object]:
        effects: list[object] = []
        if worker.lease_expired(now) and worker.placed:
            # The worker's runs may have ended with its lease: their tasks are
            # queued again first, and only then may the renewed lease cover new
            # runs.
            effects += self._outcomes.requeue_all(worker, 'lease_over', now)
        worker.renewed_at = now
        worker.record_round_trip(message.trip)
        return [
            *effects,
            core.Send(
                worker.name, messages.Renewed(message.sent, len(self._pool))
            ),
        ]

    def _handle_room(
        self, worker: pool.Worker, room: messages.Room, now: float
    ) -> list[object]:
        former = worker.room
        self._shrinking.observe(worker, room, now)
        self._placing.store_room(worker, room)
        if self._speeds is not None and kinds.affects_speeds(former, room):
            self._speeds.update()
        return []
