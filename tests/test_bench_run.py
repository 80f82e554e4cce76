import asyncio
import dataclasses

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_plan
from agatepick.bench import bench_run


def test_a_whole_installation_answers_every_job_and_breaks_no_promise():
    """Callers submit jobs to real entries and agents over real sockets.

    Every caller gets a complete answer, and the upstreams count one start per
    task.
    """
    lectores = bench_plan.DEPLOYMENTS['lectores']
    small = dataclasses.replace(lectores, workers=3)
    load = bench_arrivals.draw_load(
        bench_plan.Pattern.STEADY, 1, 1.0, 0.5, small
    )
    played = asyncio.run(bench_run.play(load, small))
    figures = played.report.figures
    assert figures['completed_jobs'] == figures['jobs'] == len(load.jobs)
    assert figures['task_starts'] == figures['tasks']
    broken = ('duplicate_starts', 'lost', 'false_not_run', 'wrong_answers')
    assert [figures[name] for name in broken] == [0, 0, 0, 0]
    assert figures['incomplete_answers'] == figures['cut_requests'] == 0
