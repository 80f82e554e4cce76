import json

from agatepick.bench import bench_evidence
from agatepick.bench import bench_ideal
from agatepick.bench import bench_report
from agatepick import types


def test_a_report_names_its_run_and_every_broken_promise(
    tmp_path, make_bench_evidence, make_bench_answer, make_finished_task
):
    departure = bench_evidence.ZoneDeparture('talca', 0.1, 0.2, 0.4, 9.0)
    tasks = make_finished_task(0), make_finished_task(1)
    answer = make_bench_answer(types.JobStatus.COMPLETE, *tasks)
    evidence = make_bench_evidence(answer, (0, 1, 1), (departure,))
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
