"""Counters and histograms of one process, as text for a scraper.

What a reducer decides it also notes, so the notes are what is counted: one
counter by event and reason, both from small fixed sets, and a histogram of
the time until an answer by verdict.
"""

import prometheus_client

from agatepick import core

SECONDS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
"""Upper edges of the buckets: most tasks take 50 ms to some seconds."""

MAX_REASONS = 64
"""Reasons counted apart; more would mean that one holds a free text."""

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


class Measures:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._events = prometheus_client.Counter(
            'agatepick_events',
            'Decisions and changes of belief, as in the log',
            ('event', 'reason'),
            registry=self._registry,
        )
        self._answers = prometheus_client.Histogram(
            'agatepick_job_seconds',
            'Seconds from a job to its answer',
            ('verdict',),
            buckets=SECONDS,
            registry=self._registry,
        )
        self._reasons: set[str] = set()

    def noted(self, note: core.Note) -> None:
        """Count one note."""
        fields = dict(note.fields)
        reason = self._bounded(fields.get('reason', ''))
        self._events.labels(note.name, reason).inc()
        verdict = fields.get('verdict')
        if verdict is not None:
            self._answers.labels(verdict).observe(float(fields['seconds']))

    def text(self) -> bytes:
        """All metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self._registry)

    def _bounded(self, reason: str) -> str:
        if reason in self._reasons:
            return reason
        if len(self._reasons) >= MAX_REASONS:
            return 'other'
        self._reasons.add(reason)
        return reason
