"""The operator's rows in the store: queues of jobs, pools and closed zones.

A closed zone is one that the operator has taken out of service.
"""

import typing

import msgspec

from agatepick import intake
from agatepick.net import decoding
from agatepick.platform import following
from agatepick.repeatable import events
from agatepick.repeatable import routes
from agatepick.telemetry import logs
from agatepick import types

LOG = logs.logger(__name__)

TABLE = 'op'
DESIRED_KEY = 'config'
EVACUATE_PREFIX = 'evacuate/'

_Decoded = typing.TypeVar('_Decoded')


class _Route(msgspec.Struct, frozen=True):
    """A queue as the operator writes it.

    :param timeout_ms: not used; each caller sends its own deadline, which is
        mostly longer.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 1
    max_attempts: int = 3
    stretch: float = 1.6
    target_latency_ms: float = 60.0


class _DesiredState(msgspec.Struct, frozen=True):
    """The value of the row that lists all queues."""

    version: int
    routes: tuple[_Route, ...] = ()


class _Service(msgspec.Struct, frozen=True):
    """A pool as the operator writes it."""

    name: str
    rejects_overload: bool = False


class _PoolOfRoute(msgspec.Struct, frozen=True):
    """The pool of a queue."""

    service: str


class _Pools(msgspec.Struct, frozen=True):
    """The part of the value of that row which names pools."""

    routes: tuple[_PoolOfRoute, ...] = ()
    services: tuple[_Service, ...] = ()


class _Limits(msgspec.Struct, frozen=True):
    """The part of the value of that row which limits callers' requests."""

    limits: dict[str, typing.Any] = {}


def parse_route_table(
    snapshot: following.Snapshot,
) -> routes.RouteTable | None:
    """Return the queues in the operator's rows.

    :returns: ``None`` if the row of the queues is missing or invalid.
    """
    desired = _decode(snapshot, _DesiredState)
    if desired is None:
        return None
    return routes.RouteTable(
        desired.version, tuple(_make_route(route) for route in desired.routes)
    )


def parse_pools(snapshot: following.Snapshot) -> events.PoolsNamed | None:
    """Return the pools that the operator's rows name.

    :returns: ``None`` if the row of the queues is missing or invalid.
    """
    pools = _decode(snapshot, _Pools)
    if pools is None:
        return None
    names = {service.name for service in pools.services}
    names |= {route.service for route in pools.routes}
    guarding = frozenset(
        service.name for service in pools.services if service.rejects_overload
    )
    return events.PoolsNamed(frozenset(names), guarding)


def parse_closed_zones(snapshot: following.Snapshot) -> events.ZonesClosed:
    """Return the zones that the operator has taken out of service."""
    return events.ZonesClosed(
        frozenset(
            key.removeprefix(EVACUATE_PREFIX)
            for key in snapshot
            if key.startswith(EVACUATE_PREFIX)
        )
    )


def parse_request_limits(
    snapshot: following.Snapshot,
) -> intake.RequestLimits | None:
    """Return the limits of callers' requests in the operator's rows.

    A limit that is missing or invalid has its default.

    :returns: ``None`` if the row of the queues is missing or invalid.
    """
    state = _decode(snapshot, _Limits)
    if state is None:
        return None
    defaults = intake.RequestLimits()
    values = state.limits
    return intake.RequestLimits(
        _get_limit(values, 'max_header_bytes', defaults.max_header_bytes),
        _get_limit(values, 'max_body_bytes', defaults.max_body_bytes),
        _get_limit(values, 'header_timeout_ms', defaults.header_seconds * 1000)
        / 1000.0,
        _get_limit(values, 'idle_timeout_ms', defaults.idle_seconds * 1000)
        / 1000.0,
    )


def _get_limit(
    values: dict[str, typing.Any], name: str, default: float
) -> int:
    value = values.get(name, default)
    is_number = isinstance(value, int | float) and value is not True
    if is_number and 1 <= value <= types.MAX_COUNT:
        return int(value)
    logs.warning(LOG, 'limit_bad', field=f'limits.{name}', used=default)
    return int(default)


def _decode(
    snapshot: following.Snapshot, kind: type[_Decoded]
) -> _Decoded | None:
    """Return the row of the queues, or ``None`` if it's missing or invalid."""
    value = snapshot.get(DESIRED_KEY)
    if value is None:
        return None
    try:
        return decoding.decode(value, kind)
    except decoding.Unreadable as exc:
        # The last valid state stays in force.
        logs.warning(LOG, 'desired_state_unreadable', reason=exc)
        return None


def _make_route(route: _Route) -> routes.Route:
    return routes.Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        pool=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_seconds=route.target_latency_ms / 1000.0,
    )
