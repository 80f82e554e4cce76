import pathlib

import pytest

from agatepick.conf import settings
from agatepick import core
from agatepick.telemetry import metrics

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'metrics.md'


class Recorder:
    def __init__(self):
        self.sent = []

    def incr(self, stat, count):
        self.sent.append((stat, count))

    def gauge(self, stat, value):
        self.sent.append((stat, value))

    def timing(self, stat, delta):
        self.sent.append((stat, delta))


def test_each_kind_is_sent_under_its_name_and_in_its_unit():
    client = Recorder()
    sender = metrics.Metrics(client)
    sender.noted(core.note('job.refused', code='overload'))
    sender.seconds('http.seconds', 0.25)
    sender.gauge('http.open', 3)
    assert client.sent == [
        ('events.job.refused', 1),
        ('http.seconds', 250.0),
        ('http.open', 3),
    ]
    with pytest.raises(ValueError):
        sender.gauge('events', 1)
    metrics.Metrics.from_config(settings.Metrics()).count('events')


def test_the_page_lists_each_metric_with_its_unit():
    rows = PAGE.read_text().splitlines()
    for one in metrics.METRICS.values():
        row = f'| `{one.name}` | {one.kind.value} | {one.unit} |'
        assert any(line.startswith(row) for line in rows), row
