import pytest

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_plan

LECTORES = bench_plan.DEPLOYMENTS['lectores']


def plan_load(pattern, load=None, seed=1):
    return bench_arrivals.draw_load(pattern, seed, 20.0, load, LECTORES)


@pytest.mark.parametrize('pattern', list(bench_plan.Pattern))
def test_the_load_is_determined_by_the_seed(pattern):
    assert plan_load(pattern) == plan_load(pattern)
    assert plan_load(pattern).jobs != plan_load(pattern, seed=2).jobs


@pytest.mark.parametrize('load', [0.5, 0.8, 1.5])
def test_arrivals_fill_the_requested_share_of_the_slots(load):
    jobs = plan_load(bench_plan.Pattern.STEADY, load).jobs
    share = sum(job.work for job in jobs) / (20.0 * LECTORES.total_slots)
    assert load <= share < load + 0.05
    assert all(
        0.05 <= task.seconds <= 5.0 for job in jobs for task in job.tasks
    )


def test_three_teams_send_four_fifths_of_a_hot_load():
    jobs = plan_load(bench_plan.Pattern.HOT).jobs
    heavy = [job.work for job in jobs if job.team.startswith('heavy')]
    share = sum(heavy) / sum(job.work for job in jobs)
    assert 0.7 < share < 0.9
