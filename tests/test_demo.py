import dataclasses

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_evidence
from agatepick.bench import bench_plan
from agatepick.bench import bench_truth
from agatepick.cmd import demo
from agatepick import types

LOAD = bench_arrivals.plan(
    bench_plan.Pattern.STEADY, 1, 2.0, 0.2, demo.DEPLOYMENT
)
KEY = '0190a5e4-7b00-7000-8000-000000000001'


def evidence(runs=(), departures=()):
    """One job of the load, complete, with the starts that it needs."""
    job = LOAD.jobs[0]
    names = [bench_truth.task_id(place) for place in range(len(job.tasks))]
    tasks = tuple(
        types.TaskAnswer(
            name, types.Outcome.FINISHED, bench_truth.echo(KEY, name)
        )
        for name in names
    )
    answer = types.JobAnswer(KEY, types.JobStatus.COMPLETE, tasks)
    needed = [
        bench_evidence.Run(KEY, name, 0, 'talca', 1.0, 1.1) for name in names
    ]
    return bench_evidence.Evidence(
        dataclasses.replace(LOAD, jobs=(job,)),
        demo.DEPLOYMENT,
        (bench_evidence.Reply(job.number, KEY, 0.5, 1.5, answer),),
        (*needed, *runs),
        bench_evidence.Traffic({'Starts': 2, 'Results': 2, 'Ping': 90}),
        tuple(departures),
    )


def test_a_whole_run_breaks_nothing_and_is_measured():
    found = evidence()
    promises = demo.broken(found, demo.Watch())
    assert set(promises.values()) == {0}
    measured = demo.measures(found)
    assert (measured.complete, measured.longest_seconds) == (1, 1.0)
    assert measured.messages_per_task == 4 / measured.tasks_started
    assert demo.report(measured, promises)[-1] == 'promises broken: 0'


def test_each_broken_promise_is_counted():
    """A task runs twice, in a zone that is out, and an entry goes back.

    Whoever runs the demo must see it, and its exit status follows.
    """
    again = bench_evidence.Run(KEY, 't0', 3, 'curico', 1.2, 1.3)
    gone = bench_evidence.Departure('curico', 0.1, 0.2, 1.0, 9.0)
    found = evidence([again], [gone])
    promises = demo.broken(found, demo.Watch(reverted=1))
    assert promises['duplicate_starts'] == 1
    assert promises['starts_after_fence'] == 1
    assert promises['reverted_configurations'] == 1
    report = demo.report(demo.measures(found), promises)
    assert report[-1] == 'promises broken: 3'
