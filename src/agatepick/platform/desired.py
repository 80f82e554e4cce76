"""The operator's rows: queues of jobs, and zones taken out of service."""

import msgspec

from agatepick.platform import following
from agatepick.repeatable import events
from agatepick.repeatable import routes
from agatepick.telemetry import logs

LOG = logs.logger(__name__)

TABLE = 'op'
DESIRED_KEY = 'config'
EVACUATE_PREFIX = 'evacuate/'


class _Route(msgspec.Struct, frozen=True):
    """A queue as the operator writes it.

    :param timeout_ms: bounds nothing here; each caller says how long it
        waits, mostly longer.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 1
    max_attempts: int = 3
    stretch: float = 1.6
    target_latency_ms: float = 60.0


class _Desired(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...] = ()


def route_table(found: following.Snapshot) -> routes.RouteTable | None:
    """The queues in the operator's rows; ``None`` without any."""
    value = found.get(DESIRED_KEY)
    if value is None:
        return None
    try:
        desired = msgspec.json.decode(value, type=_Desired)
    except msgspec.MsgspecError as exc:
        # The last good state stays in force.
        logs.warning(LOG, 'desired_state_unreadable', reason=exc)
        return None
    return routes.RouteTable(
        desired.version, tuple(_route(one) for one in desired.routes)
    )


def closed_zones(found: following.Snapshot) -> events.ZonesClosed:
    """The zones that the operator has taken out of service."""
    return events.ZonesClosed(
        frozenset(
            key.removeprefix(EVACUATE_PREFIX)
            for key in found
            if key.startswith(EVACUATE_PREFIX)
        )
    )


def _route(one: _Route) -> routes.Route:
    return routes.Route(
        name=one.name,
        host=one.host,
        prefix=one.prefix,
        pool=one.service,
        priority=one.priority,
        max_attempts=one.max_attempts,
        stretch=one.stretch,
        target_seconds=one.target_latency_ms / 1000.0,
    )
