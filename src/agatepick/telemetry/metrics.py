"""Metrics of one process, as text for a scraper.

The names, kinds and units are :data:`METRICS`; ``docs/metrics.md`` lists the
same.  A name that isn't there can't be counted, so the page stays whole.
"""

import dataclasses
import enum
import typing

import prometheus_client
from tornado import web

from agatepick import core

SECONDS = (0.01, 0.03, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0)
"""Upper edges of the buckets: most tasks take 50 ms to a second."""


class Kind(enum.StrEnum):
    """Kinds of metrics."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    HISTOGRAM = 'histogram'


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """One metric: its name, kind, unit and meaning.

    :param label: what a counter is split by; empty for nothing.
    """

    name: str
    kind: Kind
    unit: str
    meaning: str
    label: str = ''


METRICS = {
    one.name: one
    for one in (
        Metric(
            'events',
            Kind.COUNTER,
            'events',
            'events of the time line, by name',
            'event',
        ),
        Metric(
            'http_requests',
            Kind.COUNTER,
            'requests',
            'answered requests, by status class',
            'status',
        ),
        Metric(
            'http_seconds',
            Kind.HISTOGRAM,
            'seconds',
            'time from a request to its answer',
        ),
        Metric('http_open', Kind.GAUGE, 'requests', 'requests held open'),
        Metric(
            'links_messages_out',
            Kind.GAUGE,
            'messages',
            'messages sent to peers since the start',
        ),
        Metric(
            'links_messages_in',
            Kind.GAUGE,
            'messages',
            'messages taken from peers since the start',
        ),
        Metric(
            'links_bytes_out',
            Kind.GAUGE,
            'bytes',
            'bytes sent to peers since the start',
        ),
        Metric(
            'links_bytes_in',
            Kind.GAUGE,
            'bytes',
            'bytes taken from peers since the start',
        ),
    )
}


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._gauges: dict[str, prometheus_client.Gauge] = {}
        self._histograms: dict[str, prometheus_client.Histogram] = {}
        for one in METRICS.values():
            self._add(one)

    def count(self, name: str, by: str) -> None:
        """Add one to a counter, under a value of its label."""
        self._counters[name].labels(by).inc()

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name].set(value)

    def seconds(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self._histograms[name].observe(seconds)

    def noted(self, note: core.Note) -> None:
        """Count an event of the time line by its name."""
        self.count('events', note.name)

    def text(self) -> bytes:
        """All of them in the text format of Prometheus."""
        return prometheus_client.generate_latest(self._registry)

    def _add(self, one: Metric) -> None:
        name = f'agatepick_{one.name}'
        if one.kind is Kind.COUNTER:
            self._counters[one.name] = prometheus_client.Counter(
                name, one.meaning, (one.label,), registry=self._registry
            )
        elif one.kind is Kind.GAUGE:
            self._gauges[one.name] = prometheus_client.Gauge(
                name, one.meaning, registry=self._registry
            )
        else:
            self._histograms[one.name] = prometheus_client.Histogram(
                name, one.meaning, buckets=SECONDS, registry=self._registry
            )


class _Page(web.RequestHandler):
    def initialize(self, text: typing.Callable[[], bytes]) -> None:
        self._text = text

    def get(self) -> None:
        """All metrics."""
        self.set_header('Content-Type', prometheus_client.CONTENT_TYPE_LATEST)
        self.finish(self._text())


def application(text: typing.Callable[[], bytes]) -> web.Application:
    """Serves metrics at ``/metrics``.

    :param text: called for each answer; all metrics as of that moment.
    """
    return web.Application(
        [(r'/metrics', _Page, {'text': text})],
        log_function=lambda handler: None,
    )
