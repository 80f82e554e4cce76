import dataclasses

import pytest

from agatepick import bench_arrivals
from agatepick import bench_measures
from agatepick import types

LECTORES = bench_arrivals.DEPLOYMENTS['lectores']
CLEAN = bench_measures.Truth(0, 0, 0, 0, 0, 0)
TASKS = (bench_arrivals.TaskPlan('k', 1.0, 1.0),) * 2
LOAD = bench_arrivals.Load(
    bench_arrivals.Pattern.STEADY,
    seed=1,
    seconds=10.0,
    load=0.5,
    jobs=(bench_arrivals.JobPlan(0, 0.0, 'team', TASKS),),
)


def finished(place):
    task = bench_measures.task_id(place)
    body = bench_measures.echo('key', task)
    return types.TaskAnswer(task, types.Outcome.FINISHED, body)


def evidence(answer, starts=(0, 1), **fields):
    reply = bench_measures.Reply(0, 'key', 0.0, 2.0, answer)
    runs = tuple(
        bench_measures.Run('key', f't{place}', 0, 'talca', 0.5, 1.5)
        for place in starts
    )
    traffic = bench_measures.Traffic({'Starts': 1, 'Results': 1})
    return bench_measures.Evidence(
        LOAD, LECTORES, (reply,), runs, traffic, **fields
    )


def answer(status=types.JobStatus.COMPLETE, tasks=None, key='key'):
    if tasks is None:
        tasks = (finished(0), finished(1))
    return types.JobAnswer(key, status, tasks)


NOT_RUN = types.TaskAnswer('t1', types.Outcome.NOT_RUN)
FAULTS = {
    'a second start': ({'duplicate_starts': 1}, answer(), (0, 1, 1)),
    'no answer': ({'lost': 1}, None, (0, 1)),
    'a "not run" that ran': (
        {'false_not_run': 1},
        answer(types.JobStatus.FAILED, (finished(0), NOT_RUN)),
        (0, 1),
    ),
    'a whole "not run" that ran': (
        {'false_not_run': 2},
        answer(types.JobStatus.NOT_RUN, ()),
        (0, 1),
    ),
    'a part sold as whole': (
        {'incomplete_answers': 1},
        answer(tasks=(finished(0),)),
        (0, 1),
    ),
    'a failed task sold as whole': (
        {'incomplete_answers': 1},
        answer(tasks=(finished(0), NOT_RUN)),
        (0,),
    ),
    'an invented result': ({'wrong_answers': 1}, answer(), (0,)),
    "another's answer": ({'wrong_answers': 1}, answer(key='b'), (0, 1)),
}


@pytest.mark.parametrize('name', FAULTS)
def test_each_broken_promise_is_found_and_counted_once(name):
    """A run breaks one promise towards its caller.

    The upstream's count and the caller's answer don't fit together, and the
    bench has to say which promise it was.
    """
    counts, told, starts = FAULTS[name]
    found = bench_measures.judge(evidence(told, starts))
    assert found == dataclasses.replace(CLEAN, **counts)


def test_a_clean_run_has_no_fault_and_its_times_are_compared():
    seen = evidence(answer())
    assert bench_measures.judge(seen) == CLEAN
    times = bench_measures.response_times(seen)
    found = bench_measures.compare(times, {0: 1.0})
    assert found.response_over_ideal_mean == pytest.approx(2.0, rel=1e-2)
    assert found.p99 == pytest.approx(2.0, rel=1e-2)
    assert bench_measures.missed_deadlines(seen) == 0
    assert bench_measures.goodput(seen) == pytest.approx(2.0 / 800)


def test_a_start_in_a_departed_zone_counts_from_the_fence_on():
    """A zone is out from 0.4 s on, and a task starts there at 0.5 s.

    The operator believes the zone empty and switches it off: the task dies.
    """
    gone = bench_measures.Departure('talca', 0.1, 0.2, 0.4, 9.0)
    late = evidence(answer(), departures=(gone,))
    assert bench_measures.judge(late).starts_after_fence == 2
    gone = dataclasses.replace(gone, in_force=0.6)
    kept = evidence(answer(), departures=(gone,))
    assert bench_measures.judge(kept).starts_after_fence == 0


def test_wasted_messages_are_neither_start_nor_result_or_were_refused():
    counts = {'Starts': 40, 'Results': 40, 'Ping': 10, 'Ask': 10}
    traffic = bench_measures.Traffic(counts, refused_starts=0.25)
    assert traffic.wasted_share() == pytest.approx(0.4)
    assert traffic.wasted_share(bench_measures.HEARTBEATS) == pytest.approx(
        1 - 60 / 90
    )
