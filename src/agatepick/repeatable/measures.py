"""Counters, gauges and histograms of one process in Prometheus format.

A reducer emits a note for each decision.  Notes are counted by event and
reason, both from small fixed sets; a histogram by verdict shows the time until
a job was answered.
"""

import typing

import prometheus_client
from prometheus_client import core as families
from prometheus_client import registry

from agatepick import core

BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
"""Upper bounds of the buckets in seconds: most tasks take 50 ms to some
seconds."""

MAX_REASONS = 64
"""Largest number of distinct reason labels; more would mean that a reason
contains free text."""


GAUGES = {
    'jobs_open': 'jobs whose callers wait for an answer',
    'jobs_waiting': 'jobs with tasks that wait for room',
    'jobs_wide': 'jobs that take what others leave, by their many tasks',
    'longest_wait_seconds': 'age of the oldest job that has not begun',
    'workers_usable': 'workers to which runs may be sent now',
    'free_cores': 'cores that are free for more runs, as far as is known',
    'free_cores_slow': 'those at workers slower than the typical one',
    'queues_over_share': 'queues that press beyond their share of the cores',
    'state_version': 'version of the desired state in force; 0 for none',
    'tasks_suspected': 'tasks under which workers crashed of late',
    'entries_live': 'other entries that answer what they are asked',
    'runs': 'runs at the worker that are not known to be over',
    'runs_unwanted': 'those whose stop was sent or whose entry left them',
    'entries': 'entries that the agent is connected to',
    'over_committed_cores': 'cores in use beyond what the worker has now',
    'worker_open': '1 while runs may be started at the worker',
    'worker_slowness': 'usual run time at the worker over the expected one',
    'client_connections': 'open connections of clients, at all addresses',
    'client_bytes': 'memory for connections and unfinished requests',
    'client_job_bytes': 'memory for jobs whose callers wait',
    'client_turns_waiting': 'reads of what clients have sent ahead',
}
"""Gauges and their help texts by name.  The values are computed on each scrape
only."""

Gauges = typing.Callable[[], dict[str, float]]
Counts = typing.Callable[[], dict[tuple[str, str], int]]
Refusals = typing.Callable[[], typing.Mapping[str, int]]


class _Reader(registry.Collector):
    """Collector that turns gauges and counts into metrics."""

    def __init__(
        self, gauges: Gauges, store_calls: Counts, refusals: Refusals
    ):
        self._gauges = gauges
        self._store_calls = store_calls
        self._refusals = refusals

    def collect(self) -> typing.Iterator[families.Metric]:
        """Yield a metric for each gauge, and one for each set of counts."""
        for name, value in self._gauges().items():
            yield families.GaugeMetricFamily(
                f'agatepick_{name}', GAUGES[name], value
            )
        calls = families.CounterMetricFamily(
            'agatepick_store_calls',
            'Calls to the store, by what was asked and the outcome',
            labels=('call', 'outcome'),
        )
        for labels, count in self._store_calls().items():
            calls.add_metric(labels, count)
        yield calls
        refused = families.CounterMetricFamily(
            'agatepick_clients_refused',
            'Connections ended and requests refused at a limit, by reason',
            labels=('reason',),
        )
        for reason, count in self._refusals().items():
            refused.add_metric((reason,), count)
        yield refused


class Measures:
    """Metrics of one process."""

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
            buckets=BUCKETS,
            registry=self._registry,
        )
        self._reasons: set[str] = set()

    def count_note(self, note: core.Note) -> None:
        """Count one note."""
        fields = dict(note.fields)
        reason = self._limit_reason(fields.get('reason', ''))
        self._events.labels(note.name, reason).inc()
        verdict = fields.get('verdict')
        if verdict is not None:
            self._answers.labels(verdict).observe(float(fields['seconds']))

    def register(
        self,
        gauges: Gauges,
        store_calls: Counts,
        refusals: Refusals = dict,
    ) -> None:
        """Export gauges and counts on each scrape.

        :param store_calls: returns the calls so far by path and outcome.
        :param refusals: returns the clients refused so far by reason.
        """
        self._registry.register(_Reader(gauges, store_calls, refusals))

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def _limit_reason(self, reason: str) -> str:
        if reason in self._reasons:
            return reason
        if len(self._reasons) >= MAX_REASONS:
            return 'other'
        self._reasons.add(reason)
        return reason
