"""Updates to entries on the worker and its free capacity.

Load pattern: many short tasks. Each start and each end changes the free
capacity; if every change were sent to every entry, an entry would mostly read
updates, and one with a small processor would have no time for its callers at
peak load. An update is therefore sent only when the capacity that an entry
assumes differs enough from the actual one: by one task where few fit, by more
where many do.
"""

import dataclasses
import math

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import health
from agatepick.repeatable import runs
from agatepick.repeatable import sharing
from agatepick.repeatable import workerapi
from agatepick import types

TELL_SECONDS = 0.03
"""Shortest pause between two updates to one entry: about as often as a full
worker frees a slot."""

NEWS_SECONDS = 0.0027
"""That pause per agent of the busiest connected entry, so that no entry
receives more than 370 updates a second, however many agents there are."""

STALE_SECONDS = 0.25
"""Longest time for which a smaller difference of the capacity that an entry
assumes is tolerated."""

COST_STEP = 0.2
"""Smallest change of a worker's cost that is sent."""

MOST_TASKS = 255
"""Number of slots above which differences are ignored."""

_LEVELS = tuple(
    round(2.0 * math.log2(1 + tasks)) for tasks in range(MOST_TASKS + 1)
)
"""Capacity levels by number of free slots: each level spans one slot below
four, and a fifth of all slots above."""

Owners = dict[types.PeerName, runs.Owner]


@dataclasses.dataclass(slots=True)
class _Belief:
    """State that one entry assumes of the worker.

    :ivar told: last update that was sent.
    :ivar told_at: instant of that update.
    :ivar free: free capacity in it, minus the entry's starts since.
    """

    told: messages.Room
    told_at: float
    free: types.Needs


class Telling:
    """Sender of grants to waiting entries, and of updates to all."""

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
        self._size = types.Needs()
        self._free = types.Needs()
        self._level = 0
        self._beliefs: dict[types.PeerName, _Belief] = {}
        self._changes = 0
        self._seen: object = None
        self._next_at: float | None = None

    def forget(self, entry: types.PeerName) -> None:
        """Drop the state of an entry that reconnected."""
        self._beliefs.pop(entry, None)
        self._changes += 1

    def start_sent(self, entry: types.PeerName, needs: types.Needs) -> None:
        """Subtract an entry's start from the capacity that it assumes."""
        self._size = needs
        belief = self._beliefs.get(entry)
        if belief is not None:
            belief.free = belief.free - needs
            self._changes += 1

    def emptied(self, entry: types.PeerName) -> None:
        """Set the assumed capacity of an entry to zero.

        The entry has answered a grant or a start of it was refused: it sends
        no starts until the next update.
        """
        belief = self._beliefs.get(entry)
        if belief is not None:
            belief.free = types.Needs()
            self._changes += 1

    def share(
        self,
        worker: workerapi.WorkerSeen | None,
        is_open: bool,
        owners: Owners,
        now: float,
    ) -> list[object]:
        """Grant released capacity, and send the entries due updates."""
        self._worker = worker
        self._open = is_open
        heard = [one.agents for one in owners.values() if one.connected]
        self._entries = len(heard)
        self._agents = max(heard, default=1)
        cost = self._health.cost(now)
        if abs(cost - self._cost) >= COST_STEP:
            self._cost = cost
        effects = self._grant(owners, now) if is_open else []
        if not self._news_due(now):
            return effects
        self._free = self._room.free
        self._level = self._level_of(self._free)
        for owner in owners.values():
            if owner.connected:
                effects += self._news(owner, now)
        return effects

    def next_at(self) -> float | None:
        """Return the instant of the next update, or ``None``."""
        return self._next_at

    def _news_due(self, now: float) -> bool:
        """Return whether an update to any entry may be due.

        The entries are only checked after a change, as most events change none
        of the values in an update.
        """
        seen = (
            self._room.changes,
            self._changes,
            self._worker,
            self._open,
            self._entries,
            self._cost,
        )
        waited = self._next_at is not None and now >= self._next_at
        if seen == self._seen and not waited:
            return False
        self._seen = seen
        self._next_at = None
        return True

    def _news(self, owner: runs.Owner, now: float) -> list[object]:
        due_at = self._due_at(owner)
        if now < due_at:
            if self._next_at is None or due_at < self._next_at:
                self._next_at = due_at
            return []
        news = self._describe(owner, self._free)
        self._beliefs[owner.name] = _Belief(news, now, self._free)
        return [core.Send(owner.name, news)]

    def _due_at(self, owner: runs.Owner) -> float:
        """Return the instant from which an update is due, or infinity."""
        belief = self._beliefs.get(owner.name)
        if belief is None:
            return 0.0
        told = belief.told
        if told.open != (self._open and not owner.leaving):
            # Whether runs may be started changes rarely and is sent at once:
            # after a restart callers wait for just that.
            return 0.0
        pause = max(TELL_SECONDS, NEWS_SECONDS * self._agents)
        if not self._is_as_told(told) or self._matters(belief.free):
            return belief.told_at + pause
        if belief.free == self._free:
            return math.inf
        return belief.told_at + max(STALE_SECONDS, pause)

    def _matters(self, counted: types.Needs) -> bool:
        """Return whether the actual free capacity would change decisions.

        :param counted: free capacity that the entry assumes.
        """
        if self._size == types.Needs():
            # Nothing has been started here yet, so the size of a slot is
            # unknown.
            return counted != self._free
        return self._level_of(counted) != self._level

    def _is_as_told(self, told: messages.Room) -> bool:
        """Return whether all but the free capacity equals the last update."""
        if told.entries != self._entries or told.cost != self._cost:
            return False
        worker = self._worker
        if worker is None:
            return not told.pool
        return (
            told.pool == worker.pool
            and told.capacity == worker.capacity
            and told.labels == worker.labels
        )

    def _level_of(self, free: types.Needs) -> int:
        """Return the level of the number of tasks that fit.

        A task is assumed to have the size of the last one that was started.
        """
        size = self._size
        ratios = [free.cpu / size.cpu] if size.cpu else []
        if size.memory_mb:
            ratios.append(free.memory_mb / size.memory_mb)
        if size.accelerators:
            ratios.append(free.accelerators / size.accelerators)
        tasks = int(min(ratios, default=0.0) + 1e-9)
        return _LEVELS[max(0, min(tasks, MOST_TASKS))]

    def _describe(
        self, owner: runs.Owner, free: types.Needs, grant: int = 0
    ) -> messages.Room:
        """Return a capacity update for one entry."""
        worker = self._worker
        return messages.Room(
            self._incarnation,
            self._open and not owner.leaving,
            worker.pool if worker else '',
            worker.labels if worker else (),
            worker.capacity if worker else types.Needs(),
            free,
            grant,
            owner.taken,
            self._entries,
            self._cost,
        )

    def _grant(self, owners: Owners, now: float) -> list[object]:
        effects: list[object] = []
        for grant in self._room.grants(now):
            owner = owners[grant.entry]
            room = self._describe(owner, grant.room, grant.number)
            self._beliefs[owner.name] = _Belief(room, now, grant.room)
            effects.append(core.Send(grant.entry, room))
        return effects
