"""What one entry has running in each availability zone.

Operators who take a zone out want to know when the last task there has
ended, and when the last one started.
"""

import collections
import dataclasses

from agatepick import types


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneWork:
    """Work of one entry in one zone.

    :param running: tasks started there whose end hasn't been reported.
    :param last_start_at: when the last start was sent there; 0 if none was.
    """

    zone: str
    running: int
    last_start_at: float


class ZoneCounter:
    """Counts starts and ends by agent, and shows them by zone."""

    def __init__(self) -> None:
        self._zones: dict[types.PeerName, str] = {}
        self._running: collections.Counter[types.PeerName] = (
            collections.Counter()
        )
        self._last: dict[str, float] = {}

    def started(
        self, agent: types.PeerName, zone: str, count: int, now: float
    ) -> None:
        """Starts were sent to an agent."""
        self._zones[agent] = zone
        self._running[agent] += count
        self._last[zone] = now

    def ended(self, agent: types.PeerName) -> None:
        """A task's end, or a refusal, was reported."""
        if self._running[agent] > 0:
            self._running[agent] -= 1

    def lost(self, agent: types.PeerName) -> None:
        """An agent is given up: nobody will report its tasks."""
        self._running.pop(agent, None)

    def show(self) -> tuple[ZoneWork, ...]:
        """The work in each zone that had any, by name."""
        running: collections.Counter[str] = collections.Counter()
        for agent, count in self._running.items():
            running[self._zones[agent]] += count
        return tuple(
            ZoneWork(zone, running[zone], at)
            for zone, at in sorted(self._last.items())
        )
