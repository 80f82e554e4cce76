import asyncio
import pathlib
import urllib.request

from prometheus_client import parser
import pytest
from tornado import httpserver
from tornado import netutil

from agatepick import core
from agatepick.telemetry import metrics

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'metrics.md'


def parse_samples(text):
    """Return the samples of a metrics page by name and labels."""
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_each_kind_of_metric_is_exported_with_its_name_and_unit():
    recorder = metrics.Metrics()
    recorder.count_note(core.note('job.refused', code='overload'))
    recorder.observe_seconds('http_seconds', 0.25)
    recorder.set_gauge('http_open', 3)
    samples = parse_samples(recorder.text().decode())
    assert samples['agatepick_events_total', 'job.refused'] == 1.0
    assert samples['agatepick_http_seconds_sum',] == 0.25
    assert samples['agatepick_http_seconds_bucket', '0.2'] == 0.0
    assert samples['agatepick_http_seconds_bucket', '0.3'] == 1.0
    assert samples['agatepick_http_open',] == 3.0
    with pytest.raises(KeyError):
        recorder.set_gauge('events', 1)


def test_gauges_are_current_at_each_request():
    """A scraper would otherwise read the gauges of an earlier request."""

    async def main():
        recorder = metrics.Metrics()
        readings = iter((5, 7))

        def text():
            recorder.set_gauge('links_bytes_in', next(readings))
            return recorder.text()

        server = httpserver.HTTPServer(metrics.make_application(text))
        (sock,) = netutil.bind_sockets(0, '127.0.0.1')
        server.add_sockets([sock])
        url = f'http://127.0.0.1:{sock.getsockname()[1]}/metrics'

        def scrape():
            with urllib.request.urlopen(url, timeout=10) as answer:
                return parse_samples(answer.read().decode())

        loop = asyncio.get_running_loop()
        samples = [await loop.run_in_executor(None, scrape) for _ in range(2)]
        server.stop()
        return [reading['agatepick_links_bytes_in',] for reading in samples]

    assert asyncio.run(main()) == [5.0, 7.0]


def test_the_page_lists_each_metric_with_its_unit():
    rows = PAGE.read_text().splitlines()
    for metric in metrics.METRICS.values():
        name = f'agatepick_{metric.name}'
        row = f'| `{name}` | {metric.kind.value} | {metric.unit} |'
        assert any(line.startswith(row) for line in rows), row
