"""Updates to entries on the worker and its free capacity.

Load pattern: many short tasks.  Each start and each end changes the free
capacity; if every change were sent to every entry, an entry would mostly read
updates, and one with a small processor would have no time for its callers at
peak load.  An update is therefore sent only when the capacity that an entry
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
from agatepick.repeatable import speeds
from agatepick.repeatable import workerapi
from agatepick import types

MIN_UPDATE_SECONDS = 0.03
"""Shortest pause between two updates to one entry: about as often as a full
worker frees a slot."""

UPDATE_SECONDS_PER_AGENT = 0.0027
"""Shortest pause between two updates to one entry, divided by the number of
agents of the connected entry that has the most: no entry receives more than
370 updates a second, however many agents there are."""

MAX_STALE_SECONDS = 0.25
"""Longest time for which an entry may assume a free capacity that differs from
the actual one, but on the same level (:data:`_LEVELS`)."""

MIN_COST_CHANGE = 0.2
"""Smallest change of a worker's cost that is sent."""

MAX_COUNTED_TASKS = 255
"""Number of slots above which differences are ignored."""

_LEVELS = tuple(
    round(2.0 * math.log2(1 + tasks)) for tasks in range(MAX_COUNTED_TASKS + 1)
)
"""Capacity levels by number of free slots.  Below four slots each number has a
level of its own; above, a level spans a factor of 1.4, or a fifth to either
side of its middle."""

Owners = dict[types.PeerName, runs.Owner]


@dataclasses.dataclass(slots=True)
class _AssumedState:
    """State that one entry assumes of the worker.

    :ivar last_update: last update that was sent.
    :ivar sent_at: instant of that update.
    :ivar free: free capacity in that update, minus the entry's starts since.
    """

    last_update: messages.Room
    sent_at: float
    free: types.Needs


class Publisher:
    """Sender of grants to waiting entries, and of updates to all."""

    def __init__(
        self,
        incarnation: int,
        capacity: sharing.SharedCapacity,
        health_record: health.Health,
        usual_speed: speeds.UsualSpeed | None = None,
    ) -> None:
        self._incarnation = incarnation
        self._capacity = capacity
        self._health = health_record
        self._usual_speed = usual_speed or speeds.UsualSpeed()
        self._worker: workerapi.WorkerAnnounced | None = None
        self._open = False
        self._entry_count = 0
        self._max_agents = 1
        self._cost = 1.0
        self._task_size = types.Needs()
        self._free = types.Needs()
        self._level = 0
        self._assumed: dict[types.PeerName, _AssumedState] = {}
        self._change_count = 0
        self._last_inputs: object = None
        self._next_update_at: float | None = None

    def forget(self, entry: types.PeerName) -> None:
        """Drop the state of an entry that reconnected and assumes nothing."""
        self._assumed.pop(entry, None)
        self._change_count += 1

    def subtract_start(
        self, entry: types.PeerName, needs: types.Needs
    ) -> None:
        """Subtract an entry's start from the capacity that it assumes."""
        self._task_size = needs
        assumed = self._assumed.get(entry)
        if assumed is not None:
            assumed.free = assumed.free - needs
            self._change_count += 1

    def clear_capacity(self, entry: types.PeerName) -> None:
        """Set the assumed capacity of an entry to zero.

        The entry has answered a grant, or one of its starts was refused: it
        sends no starts until the next update.
        """
        assumed = self._assumed.get(entry)
        if assumed is not None:
            assumed.free = types.Needs()
            self._change_count += 1

    def publish(
        self,
        worker: workerapi.WorkerAnnounced | None,
        is_open: bool,
        owners: Owners,
        now: float,
    ) -> list[object]:
        """Grant released capacity, and send the entries due updates."""
        self._worker = worker
        self._open = is_open
        agent_counts = [
            owner.agent_count for owner in owners.values() if owner.connected
        ]
        self._entry_count = len(agent_counts)
        self._max_agents = max(agent_counts, default=1)
        cost = self._health.cost(now)
        if abs(cost - self._cost) >= MIN_COST_CHANGE:
            self._cost = cost
        effects = self._send_grants(owners, now) if is_open else []
        if not self._is_update_due(now):
            return effects
        self._free = self._capacity.free
        self._level = self._level_of(self._free)
        for owner in owners.values():
            if owner.connected:
                effects += self._send_update(owner, now)
        return effects

    def next_due(self) -> float | None:
        """Return the instant of the next update, or ``None``."""
        return self._next_update_at

    def _is_update_due(self, now: float) -> bool:
        """Return whether an update to any entry may be due.

        The entries are only checked after a change, as most events change none
        of the values in an update.
        """
        inputs = (
            self._capacity.change_count,
            self._change_count,
            self._worker,
            self._open,
            self._entry_count,
            self._cost,
            self._usual_speed.published,
        )
        deferred_due = (
            self._next_update_at is not None and now >= self._next_update_at
        )
        if inputs == self._last_inputs and not deferred_due:
            return False
        self._last_inputs = inputs
        self._next_update_at = None
        return True

    def _send_update(self, owner: runs.Owner, now: float) -> list[object]:
        due_at = self._due_at(owner)
        if now < due_at:
            if self._next_update_at is None or due_at < self._next_update_at:
                self._next_update_at = due_at
            return []
        update = self._build_update(owner, self._free)
        self._assumed[owner.name] = _AssumedState(update, now, self._free)
        return [core.Send(owner.name, update)]

    def _due_at(self, owner: runs.Owner) -> float:
        """Return the instant from which an update is due, or infinity."""
        assumed = self._assumed.get(owner.name)
        if assumed is None:
            return 0.0
        last_update = assumed.last_update
        if last_update.open != (self._open and not owner.leaving):
            # Whether runs may be started here changes rarely and is sent at
            # once: after a restart callers wait until they may.
            return 0.0
        if self._capacity.guarded and self._is_resized(last_update):
            # A worker changes its capacity at most once an announcement, and
            # with hundreds of agents the pause is as long as the slack of the
            # jobs that wait.
            return 0.0
        pause = max(
            MIN_UPDATE_SECONDS, UPDATE_SECONDS_PER_AGENT * self._max_agents
        )
        if not self._is_unchanged(last_update) or self._changes_decisions(
            assumed.free
        ):
            return assumed.sent_at + pause
        if assumed.free == self._free:
            return math.inf
        return assumed.sent_at + max(MAX_STALE_SECONDS, pause)

    def _is_resized(self, last_update: messages.Room) -> bool:
        worker = self._worker
        return worker is not None and last_update.capacity != worker.capacity

    def _changes_decisions(self, assumed_free: types.Needs) -> bool:
        """Return whether an entry would decide otherwise on current values.

        Only the free capacity is compared, by its level once the size of a
        slot is known.

        :param assumed_free: free capacity that the entry assumes.
        """
        if self._task_size == types.Needs():
            # No run has been started at this worker yet, so the size of a slot
            # is unknown.
            return assumed_free != self._free
        return self._level_of(assumed_free) != self._level

    def _is_unchanged(self, last_update: messages.Room) -> bool:
        """Return whether all but the free capacity equals the last update."""
        if (
            last_update.entries != self._entry_count
            or last_update.cost != self._cost
            or last_update.slowness != self._usual_speed.published
        ):
            return False
        worker = self._worker
        if worker is None:
            return not last_update.pool
        return (
            last_update.born == worker.born
            and last_update.pool == worker.pool
            and last_update.capacity == worker.capacity
            and last_update.labels == worker.labels
        )

    def _level_of(self, free: types.Needs) -> int:
        """Return the level of the number of tasks that fit into ``free``.

        A task is assumed to have the size of the last one that was started.
        """
        size = self._task_size
        ratios = [free.cpu / size.cpu] if size.cpu else []
        if size.memory_mb:
            ratios.append(free.memory_mb / size.memory_mb)
        if size.accelerators:
            ratios.append(free.accelerators / size.accelerators)
        tasks = int(min(ratios, default=0.0) + 1e-9)
        return _LEVELS[max(0, min(tasks, MAX_COUNTED_TASKS))]

    def _build_update(
        self, owner: runs.Owner, free: types.Needs, grant_number: int = 0
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
            grant_number,
            owner.last_start_number,
            self._entry_count,
            self._cost,
            self._usual_speed.published,
            worker.born if worker else 0,
        )

    def _send_grants(self, owners: Owners, now: float) -> list[object]:
        effects: list[object] = []
        for grant in self._capacity.issue_grants(now):
            owner = owners[grant.entry]
            update = self._build_update(owner, grant.capacity, grant.number)
            self._assumed[owner.name] = _AssumedState(
                update, now, grant.capacity
            )
            effects.append(core.Send(grant.entry, update))
        return effects
