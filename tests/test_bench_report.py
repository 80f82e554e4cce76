import json

from agatepick.bench import bench_evidence
from agatepick.bench import bench_ideal
from agatepick.bench import bench_report
from agatepick import types


def test_a_report_names_its_run_and_every_broken_promise(
    tmp_path, bench_seen, bench_answer, bench_finished
):
    departure = bench_evidence.Departure('talca', 0.1, 0.2, 0.4, 9.0)
    tasks = bench_finished(0), bench_finished(1)
    answer = bench_answer(types.JobStatus.COMPLETE, *tasks)
    evidence = bench_seen(answer, (0, 1, 1), (departure,))
    ideal = bench_ideal.simulate(evidence.load.jobs, evidence.deployment)
    report = bench_report.summarize(evidence, ideal, {'cut_requests': 0})
    body = json.loads(report.as_json())
    assert body['duplicate_starts'] == 1
    assert body['starts_after_fence'] == 3
    assert body['response_over_ideal_mean'] == 2.0
    assert body['cut_requests'] == 0
    assert len(report.as_table().splitlines()) == len(body) + 1
    plot = tmp_path / 'work.png'
    bench_report.plot_work(report, [departure], plot)
    assert plot.read_bytes().startswith(b'\x89PNG')
