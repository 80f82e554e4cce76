import json

import test_bench_measures as samples

from agatepick import bench_ideal
from agatepick import bench_measures
from agatepick import bench_report


def test_a_report_names_its_run_and_every_broken_promise(tmp_path):
    gone = bench_measures.Departure('talca', 0.1, 0.2, 0.4, 9.0)
    seen = samples.evidence(samples.answer(), (0, 1, 1), departures=(gone,))
    ideal = bench_ideal.simulate(seen.load.jobs, seen.deployment)
    report = bench_report.summarize(seen, ideal, {'cut_requests': 0})
    body = json.loads(report.as_json())
    assert body['duplicate_starts'] == 1
    assert body['starts_after_fence'] == 3
    assert body['response_over_ideal_mean'] == 2.0
    assert body['cut_requests'] == 0
    assert len(report.as_table().splitlines()) == len(body) + 1
    picture = tmp_path / 'work.png'
    bench_report.plot_work(report, [gone], picture)
    assert picture.read_bytes().startswith(b'\x89PNG')
