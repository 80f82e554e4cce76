"""What entries are told of the worker and of its room."""

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import health
from agatepick.repeatable import runs
from agatepick.repeatable import sharing
from agatepick.repeatable import workerapi
from agatepick import types

TELL_SECONDS = 0.03
"""Least pause between two broadcasts of free room: about as often as a full
worker frees a place."""

NEWS_SECONDS = 0.0027
"""That pause for each agent that the busiest entry listens to, so that no
entry hears more than 370 broadcasts a second, however many agents there are.
"""

COST_STEP = 0.2
"""Change of a worker's cost that is worth a message."""

Owners = dict[types.PeerName, runs.Owner]


class Telling:
    """Grants to those that wait for room, and news to all."""

    def __init__(
        self, incarnation: int, room: sharing.Sharing, record: health.Health
    ) -> None:
        self._incarnation = incarnation
        self._room = room
        self._health = record
        self._worker: workerapi.WorkerSeen | None = None
        self._open = False
        self._entries = 0
        self._agents = 1
        self._cost = 1.0
        self._news: messages.Room | None = None
        self._told: messages.Room | None = None
        self._told_at = 0.0
        self._due = False
        self._seen: object = None

    def share(
        self,
        worker: workerapi.WorkerSeen | None,
        is_open: bool,
        owners: Owners,
        now: float,
    ) -> list[object]:
        """Grant freed room, and tell all entries what has changed."""
        self._worker = worker
        self._open = is_open
        heard = [one.agents for one in owners.values() if one.connected]
        self._entries = len(heard)
        self._agents = max(heard, default=1)
        cost = self._health.cost(now)
        if abs(cost - self._cost) >= COST_STEP:
            self._cost = cost
        effects = self._grant(owners, now) if is_open else []
        # Looked at only when something has changed: most events change
        # nothing of it.
        seen = (self._room.changes, worker, is_open, self._entries, self._cost)
        if seen != self._seen:
            self._seen = seen
            self._news = self.describe(_NOBODY)
            self._due = self._news != self._told
        news = self._news
        if news is None or not self._due:
            return effects
        # Whether runs may be started at all changes rarely and is told at
        # once: after a restart callers wait for just that.
        switched = self._told is not None and news.open != self._told.open
        waits = now < self._told_at + self._pause() and not switched
        if waits:
            return effects
        self._told, self._told_at, self._due = news, now, False
        effects += [
            core.Send(owner.name, self.describe(owner))
            for owner in owners.values()
            if owner.connected
        ]
        return effects

    def next_at(self) -> float | None:
        """Instant at which entries are told what has changed."""
        return self._told_at + self._pause() if self._due else None

    def _pause(self) -> float:
        return max(TELL_SECONDS, NEWS_SECONDS * self._agents)

    def describe(
        self,
        owner: runs.Owner,
        free: types.Needs | None = None,
        grant: int = 0,
    ) -> messages.Room:
        """The worker and its room, as one entry is told of them."""
        worker = self._worker
        return messages.Room(
            self._incarnation,
            self._open and not owner.leaving,
            worker.pool if worker else '',
            worker.labels if worker else (),
            worker.capacity if worker else types.Needs(),
            self._room.free if free is None else free,
            grant,
            owner.taken,
            self._entries,
            self._cost,
        )

    def _grant(self, owners: Owners, now: float) -> list[object]:
        effects: list[object] = []
        for grant in self._room.grants(now):
            owner = owners[grant.entry]
            room = self.describe(owner, grant.room, grant.number)
            effects.append(core.Send(grant.entry, room))
        return effects


_NOBODY = runs.Owner('', 0)
