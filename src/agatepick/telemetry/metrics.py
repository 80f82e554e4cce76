"""Metrics by statsd, over UDP.

The names, kinds and units are :data:`METRICS`; ``docs/metrics.md`` lists the
same.  A name that isn't there can't be sent, so the page stays whole.
"""

import dataclasses
import enum
import typing

import statsd

from agatepick.conf import settings
from agatepick import core


class Kind(enum.StrEnum):
    """Kinds of statsd metrics."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    TIMER = 'timer'


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """One metric: its name, kind, unit and meaning."""

    name: str
    kind: Kind
    unit: str
    meaning: str


METRICS = {
    one.name: one
    for one in (
        Metric(
            'events',
            Kind.COUNTER,
            'events',
            'events of the time line, by name',
        ),
        Metric(
            'http.requests',
            Kind.COUNTER,
            'requests',
            'answered requests, by status class',
        ),
        Metric(
            'http.seconds',
            Kind.TIMER,
            'milliseconds',
            'time from a request to its answer',
        ),
        Metric('http.open', Kind.GAUGE, 'requests', 'requests held open'),
        Metric(
            'links.messages_out',
            Kind.GAUGE,
            'messages',
            'messages sent to peers since the start',
        ),
        Metric(
            'links.messages_in',
            Kind.GAUGE,
            'messages',
            'messages taken from peers since the start',
        ),
        Metric(
            'links.bytes_out',
            Kind.GAUGE,
            'bytes',
            'bytes sent to peers since the start',
        ),
        Metric(
            'links.bytes_in',
            Kind.GAUGE,
            'bytes',
            'bytes taken from peers since the start',
        ),
    )
}


class Client(typing.Protocol):
    """What is used of a statsd client."""

    def incr(self, stat: str, count: int) -> None:
        """Add to a counter."""
        ...

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""
        ...

    def timing(self, stat: str, delta: float) -> None:
        """Record milliseconds."""
        ...


class Metrics:
    """Sends the metrics of one process.

    Sending is one datagram without an answer: a statsd server that is gone
    or slow holds nothing up.

    :param client: ``None`` sends nothing.
    """

    def __init__(self, client: Client | None = None):
        self._client = client

    @classmethod
    def from_config(cls, cfg: settings.Metrics) -> 'Metrics':
        """Metrics to the server that settings name, if any."""
        if not cfg.statsd:
            return cls()
        host, _, port = cfg.statsd.rpartition(':')
        return cls(
            statsd.StatsClient(host.strip('[]'), int(port), prefix=cfg.prefix)
        )

    def count(self, name: str, by: str = '', count: int = 1) -> None:
        """Add to a counter, under a part of its own if ``by`` is given."""
        self._check(name, Kind.COUNTER)
        if self._client is not None:
            self._client.incr(f'{name}.{by}' if by else name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._check(name, Kind.GAUGE)
        if self._client is not None:
            self._client.gauge(name, value)

    def seconds(self, name: str, seconds: float) -> None:
        """Record a duration; sent as milliseconds."""
        self._check(name, Kind.TIMER)
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def noted(self, note: core.Note) -> None:
        """Count an event of the time line by its name."""
        self.count('events', note.name)

    def _check(self, name: str, kind: Kind) -> None:
        if METRICS[name].kind != kind:
            raise ValueError(f'{name} is no {kind.value}')
