import dataclasses

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_ideal
from agatepick.bench import bench_plan

ONE_SLOT = dataclasses.replace(
    bench_plan.DEPLOYMENTS['lectores'], workers=1, slots=1
)
TWO_SLOTS = dataclasses.replace(ONE_SLOT, slots=2)


def make_job(number, at, *seconds):
    tasks = tuple(bench_arrivals.TaskPlan('k', val, val) for val in seconds)
    return bench_arrivals.JobPlan(number, at, 'team', tasks)


def test_response_time_ends_with_the_last_task():
    jobs = [make_job(0, 1.0, 2.0, 3.0), make_job(1, 2.0, 1.0)]
    assert bench_ideal.simulate(jobs, TWO_SLOTS).response_seconds == {
        0: 3.0,
        1: 2.0,
    }


def test_no_task_starts_in_a_departed_zone_but_running_tasks_end():
    zone = ONE_SLOT.zone_of(0)
    closure = bench_ideal.Closure(zone, 1.0, 10.0)
    jobs = [make_job(0, 0.5, 2.0), make_job(1, 1.5, 1.0)]
    ideal = bench_ideal.simulate(jobs, ONE_SLOT, [closure])
    assert ideal.runs == ((0.5, 2.5), (10.0, 11.0))
    assert bench_ideal.compute_work_between(ideal.runs, 1.0, 10.5) == 2.0
