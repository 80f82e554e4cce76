"""Metrics of one process, as text for a scraper.

:data:`METRICS` defines the names, kinds and units, and ``docs/metrics.md``
lists them.  A metric must be defined in :data:`METRICS` before it can be
recorded, so the page is complete.
"""

import dataclasses
import enum
import typing

import prometheus_client
from tornado import web

from agatepick import core

BUCKET_SECONDS = (
    0.01,
    0.03,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.75,
    1.0,
    2.0,
    5.0,
    10.0,
)
"""Upper bounds of the buckets; most tasks take 50 ms to 1 s."""


class Kind(enum.StrEnum):
    """Kind of a metric."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    HISTOGRAM = 'histogram'


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """Definition of a metric: its name, kind, unit and meaning.

    :param label: name of a counter's label; empty for none.
    """

    name: str
    kind: Kind
    unit: str
    meaning: str
    label: str = ''


METRICS = {
    metric.name: metric
    for metric in (
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
        Metric(
            'client_connections',
            Kind.GAUGE,
            'connections',
            'open connections of clients, at all addresses',
        ),
        Metric(
            'client_bytes',
            Kind.GAUGE,
            'bytes',
            'memory for connections and unfinished requests',
        ),
        Metric(
            'client_job_bytes',
            Kind.GAUGE,
            'bytes',
            'memory for jobs whose callers wait',
        ),
        Metric(
            'client_turns_waiting',
            Kind.GAUGE,
            'reads',
            'reads of what clients have sent ahead',
        ),
    )
}


class Metrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._gauges: dict[str, prometheus_client.Gauge] = {}
        self._histograms: dict[str, prometheus_client.Histogram] = {}
        for metric in METRICS.values():
            self._register(metric)

    def count(self, name: str, label_value: str) -> None:
        """Increment a counter for one value of its label."""
        self._counters[name].labels(label_value).inc()

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name].set(value)

    def observe_seconds(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        self._histograms[name].observe(seconds)

    def count_note(self, note: core.Note) -> None:
        """Count an event of the timeline by its name."""
        self.count('events', note.name)

    def text(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self._registry)

    def _register(self, metric: Metric) -> None:
        name = f'agatepick_{metric.name}'
        if metric.kind is Kind.COUNTER:
            self._counters[metric.name] = prometheus_client.Counter(
                name, metric.meaning, (metric.label,), registry=self._registry
            )
        elif metric.kind is Kind.GAUGE:
            self._gauges[metric.name] = prometheus_client.Gauge(
                name, metric.meaning, registry=self._registry
            )
        else:
            self._histograms[metric.name] = prometheus_client.Histogram(
                name,
                metric.meaning,
                buckets=BUCKET_SECONDS,
                registry=self._registry,
            )


class _MetricsHandler(web.RequestHandler):
    def initialize(self, text: typing.Callable[[], bytes]) -> None:
        self._text = text

    def get(self) -> None:
        """Send all metrics."""
        self.set_header('Content-Type', prometheus_client.CONTENT_TYPE_LATEST)
        self.finish(self._text())


def make_application(text: typing.Callable[[], bytes]) -> web.Application:
    """Return an application that serves metrics at ``/metrics``.

    :param text: called for each request; returns the current metrics.
    """
    return web.Application(
        [(r'/metrics', _MetricsHandler, {'text': text})],
        log_function=lambda handler: None,
    )
