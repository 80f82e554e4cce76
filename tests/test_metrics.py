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


def values(text):
    """All samples of a metrics page, by name and labels."""
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_each_kind_is_told_under_its_name_and_in_its_unit():
    found = metrics.Metrics()
    found.noted(core.note('job.refused', code='overload'))
    found.seconds('http_seconds', 0.25)
    found.gauge('http_open', 3)
    told = values(found.text().decode())
    assert told['agatepick_events_total', 'job.refused'] == 1.0
    assert told['agatepick_http_seconds_sum',] == 0.25
    assert told['agatepick_http_seconds_bucket', '0.2'] == 0.0
    assert told['agatepick_http_seconds_bucket', '0.3'] == 1.0
    assert told['agatepick_http_open',] == 3.0
    with pytest.raises(KeyError):
        found.gauge('events', 1)


def test_gauges_are_as_of_the_request():
    """A scraper asks now and then; what it gets must not be of long ago."""

    async def main():
        found = metrics.Metrics()
        counted = iter((5, 7))

        def text():
            found.gauge('links_bytes_in', next(counted))
            return found.text()

        server = httpserver.HTTPServer(metrics.application(text))
        (sock,) = netutil.bind_sockets(0, '127.0.0.1')
        server.add_sockets([sock])
        url = f'http://127.0.0.1:{sock.getsockname()[1]}/metrics'

        def ask():
            with urllib.request.urlopen(url, timeout=10) as answer:
                return values(answer.read().decode())

        loop = asyncio.get_running_loop()
        told = [await loop.run_in_executor(None, ask) for _ in range(2)]
        server.stop()
        return [one['agatepick_links_bytes_in',] for one in told]

    assert asyncio.run(main()) == [5.0, 7.0]


def test_the_page_lists_each_metric_with_its_unit():
    rows = PAGE.read_text().splitlines()
    for one in metrics.METRICS.values():
        name = f'agatepick_{one.name}'
        row = f'| `{name}` | {one.kind.value} | {one.unit} |'
        assert any(line.startswith(row) for line in rows), row
