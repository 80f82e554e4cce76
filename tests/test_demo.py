import dataclasses

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_evidence
from agatepick.bench import bench_plan
from agatepick.bench import bench_violations
from agatepick.cmd import demo
from agatepick import types

LOAD = bench_arrivals.draw_load(
    bench_plan.Pattern.STEADY, 1, 2.0, 0.2, demo.DEPLOYMENT
)
KEY = '0190a5e4-7b00-7000-8000-000000000001'


def make_evidence(runs=(), departures=()):
    """Return the evidence of one complete job, with its starts."""
    job = LOAD.jobs[0]
    names = [
        bench_violations.make_task_id(index) for index in range(len(job.tasks))
    ]
    tasks = tuple(
        types.TaskAnswer(
            name,
            types.Outcome.FINISHED,
            bench_violations.make_expected_body(KEY, name),
        )
        for name in names
    )
    answer = types.JobAnswer(KEY, types.JobStatus.COMPLETE, tasks)
    required_runs = [
        bench_evidence.Run(KEY, name, 0, 'talca', 1.0, 1.1) for name in names
    ]
    return bench_evidence.Evidence(
        dataclasses.replace(LOAD, jobs=(job,)),
        demo.DEPLOYMENT,
        (bench_evidence.Reply(job.number, KEY, 0.5, 1.5, answer),),
        (*required_runs, *runs),
        bench_evidence.Traffic({'Starts': 2, 'Results': 2, 'Ping': 90}),
        tuple(departures),
    )


def test_a_correct_run_has_no_violations_and_is_measured():
    run_evidence = make_evidence()
    violations = demo.count_violations(run_evidence, demo.ConfigurationWatch())
    assert set(violations.values()) == {0}
    measures = demo.compute_measures(run_evidence)
    assert (measures.complete, measures.longest_seconds) == (1, 1.0)
    assert measures.messages_per_task == 4 / measures.tasks_started
    assert demo.format_report(measures, violations)[-1] == 'promises broken: 0'


def test_each_broken_promise_is_counted():
    """A task runs twice, in a zone out of service, and an entry reverts.

    The report must count each violation, since it sets the exit status.
    """
    second_run = bench_evidence.Run(KEY, 't0', 3, 'curico', 1.2, 1.3)
    departure = bench_evidence.ZoneDeparture('curico', 0.1, 0.2, 1.0, 9.0)
    run_evidence = make_evidence([second_run], [departure])
    violations = demo.count_violations(
        run_evidence, demo.ConfigurationWatch(reversions=1)
    )
    assert violations['duplicate_starts'] == 1
    assert violations['starts_after_fence'] == 1
    assert violations['reverted_configurations'] == 1
    report = demo.format_report(
        demo.compute_measures(run_evidence), violations
    )
    assert report[-1] == 'promises broken: 3'
