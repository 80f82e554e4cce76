"""Tasks of one entry that run in each availability zone.

Operators who take a zone out of service need to know when the last task was
started there and when the last one has ended.
"""

import collections
import dataclasses

from agatepick import types


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneWork:
    """Tasks of one entry in one zone.

    :param running: tasks sent to the zone whose end hasn't been reported.
    :param last_start_at: time of the last start sent there; 0 if none was.
    """

    zone: str
    running: int
    last_start_at: float


class ZoneCounter:
    """Counter of the tasks that run at each agent, summed by zone."""

    def __init__(self) -> None:
        self._zones: dict[types.PeerName, str] = {}
        self._running: collections.Counter[types.PeerName] = (
            collections.Counter()
        )
        self._last_starts: dict[str, float] = {}

    def count_starts(
        self, agent: types.PeerName, zone: str, count: int, now: float
    ) -> None:
        """Add task starts that are sent to an agent."""
        self._zones[agent] = zone
        self._running[agent] += count
        self._last_starts[zone] = now

    def count_end(self, agent: types.PeerName) -> None:
        """Subtract a task whose end or refusal an agent reported."""
        if self._running[agent] > 0:
            self._running[agent] -= 1

    def drop_agent(self, agent: types.PeerName) -> None:
        """Delete the count of a lost agent, which reports no more ends."""
        self._running.pop(agent, None)

    def list_zones(self) -> tuple[ZoneWork, ...]:
        """Return the work in each zone that had any, in order of its name."""
        running: collections.Counter[str] = collections.Counter()
        for agent, count in self._running.items():
            running[self._zones[agent]] += count
        return tuple(
            ZoneWork(zone, running[zone], at)
            for zone, at in sorted(self._last_starts.items())
        )
