"""What the servers of a process share: its limits, counts and turns."""

import asyncio
import dataclasses

from agatepick.intake import budget
from agatepick.intake import connections
from agatepick.intake import limits
from agatepick.intake import refusals
from agatepick.intake import turns
from agatepick.net import departures
from agatepick.telemetry import logs

LOG = logs.logger(__name__)

CHECK_SECONDS = 1.0
"""Interval of the checks for time limits, while there are connections."""


class Intake:
    """What all servers of a process share.

    :ivar connections: connections of their clients.
    :ivar jobs: memory of the jobs whose callers wait.
    """

    def __init__(
        self,
        process_limits: limits.ProcessLimits,
        request_limits: limits.RequestLimits = limits.RequestLimits(),
    ):
        self.limits = process_limits
        self.connections = connections.Connections(
            process_limits, request_limits, now
        )
        self.jobs = budget.JobBudget(process_limits.max_job_bytes)
        self.turns = turns.TurnQueue()
        self.departures = departures.DepartureWatch()
        self._checking = False
        self._reported: dict[connections.Reason, int] = {}

    @classmethod
    def from_config(
        cls,
        cfg: limits.IntakeSettings = limits.IntakeSettings(),
        memory_mb: float = 0.0,
        descriptors: float = 0.0,
    ) -> 'Intake':
        """Return that of a process; see :class:`limits.ProcessLimits`."""
        return cls(
            limits.ProcessLimits.from_config(cfg, memory_mb, descriptors)
        )

    @property
    def request_limits(self) -> limits.RequestLimits:
        """Limits of each request."""
        return self.connections.request_limits

    @request_limits.setter
    def request_limits(self, request_limits: limits.RequestLimits) -> None:
        self.connections.request_limits = request_limits

    def gauges(self) -> dict[str, float]:
        """Return gauges by name; see ``measures.GAUGES``."""
        return {
            'client_connections': self.connections.count(),
            'client_bytes': self.connections.held,
            'client_job_bytes': self.jobs.held,
            'client_turns_waiting': len(self.turns),
        }

    def count_refused(self) -> dict[str, int]:
        """Return the clients refused so far by reason."""
        ended = self.connections.ended
        return {reason.value: count for reason, count in ended.items()}

    def check_regularly(self) -> None:
        """Check for time limits as long as there are connections."""
        if not self._checking:
            self._checking = True
            self._check_later()

    def _check_later(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(CHECK_SECONDS, self._check)

    def _check(self) -> None:
        self.connections.check_times()
        self._report()
        if self.connections.count():
            self._check_later()
        else:
            self._checking = False

    def _report(self) -> None:
        """Log how many clients were refused since the last report."""
        for reason, count in self.connections.ended.items():
            new = count - self._reported.get(reason, 0)
            self._reported[reason] = count
            if new:
                logs.warning(
                    LOG,
                    'clients_refused',
                    reason=reason.value,
                    count=new,
                    connections=self.connections.count(),
                    held=self.connections.held,
                )


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """How the clients of one address are served.

    :param name: name in the counts of connections.
    :param max_connections: largest number of open connections.
    :param body_methods: methods whose bodies the application reads; the
        bodies of others are dropped.
    :param drop_fields: whether fields and queries that no endpoint reads are
        dropped.
    :param max_body_bytes: limit of a body; 0 for the one in force.
    :param max_header_bytes: limit of a head; 0 for the one in force.
    :param screen: refuses requests by their heads.
    """

    name: str
    max_connections: int
    body_methods: frozenset[str] = frozenset()
    drop_fields: bool = True
    max_body_bytes: int = 0
    max_header_bytes: int = 0
    screen: refusals.Screen | None = None


def now() -> float:
    """Return the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()
