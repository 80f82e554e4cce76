import dataclasses

import pytest

from agatepick.bench import bench_evidence
from agatepick.bench import bench_violations
from agatepick import types

CLEAN = bench_violations.Violations(0, 0, 0, 0, 0, 0)
NOT_RUN = types.TaskAnswer('t1', types.Outcome.NOT_RUN)
COMPLETE = types.JobStatus.COMPLETE
FAULTS = {
    'a second start': ({'duplicate_starts': 1}, COMPLETE, 'ff', (0, 1, 1)),
    'a task "not run" that was started': (
        {'false_not_run': 1},
        types.JobStatus.FAILED,
        'fn',
        (0, 1),
    ),
    'a job "not run" whose tasks were started': (
        {'false_not_run': 2},
        types.JobStatus.NOT_RUN,
        '',
        (0, 1),
    ),
    'a partial answer with status complete': (
        {'incomplete_answers': 1},
        COMPLETE,
        'f',
        (0, 1),
    ),
    'a task not run in a complete answer': (
        {'incomplete_answers': 1},
        COMPLETE,
        'fn',
        (0,),
    ),
    'a result of a task that was never started': (
        {'wrong_answers': 1},
        COMPLETE,
        'ff',
        (0,),
    ),
    'no final answer': ({'lost': 1}, types.JobStatus.PENDING, '', (0, 1)),
}


@pytest.mark.parametrize('name', FAULTS)
def test_each_broken_promise_is_found_and_counted_once(
    name, make_bench_evidence, make_bench_answer, make_finished_task
):
    """The upstreams' records contradict the caller's answer.

    The bench has to count the contradiction under the guarantee that it
    breaks, and only there.
    """
    counts, status, task_letters, starts = FAULTS[name]
    tasks = [
        make_finished_task(index) if letter == 'f' else NOT_RUN
        for index, letter in enumerate(task_letters)
    ]
    violations = bench_violations.find_violations(
        make_bench_evidence(make_bench_answer(status, *tasks), starts)
    )
    assert violations == dataclasses.replace(CLEAN, **counts)


def test_a_correct_answer_passes_but_not_under_another_key(
    make_bench_evidence, make_bench_answer, make_finished_task
):
    """Two answers are swapped on their way to the callers.

    A caller would take another caller's meeting date or quote for its own.
    """
    tasks = make_finished_task(0), make_finished_task(1)
    own = make_bench_evidence(make_bench_answer(COMPLETE, *tasks))
    assert bench_violations.find_violations(own) == CLEAN
    crossed = make_bench_evidence(
        make_bench_answer(COMPLETE, *tasks, key='other')
    )
    assert bench_violations.find_violations(crossed).wrong_answers == 1


def test_a_start_in_a_zone_counts_once_its_departure_is_in_force(
    make_bench_evidence,
):
    """A task starts at 0.5 s in a zone whose departure is in force at 0.4 s.

    The operator believes the zone empty and switches it off, which kills the
    task.
    """
    departure = bench_evidence.ZoneDeparture('talca', 0.1, 0.2, 0.4, 9.0)
    late_starts = make_bench_evidence(None, departures=(departure,))
    assert (
        bench_violations.find_violations(late_starts).starts_after_fence == 2
    )
    departure = dataclasses.replace(departure, in_force_at=0.6)
    earlier_starts = make_bench_evidence(None, departures=(departure,))
    assert (
        bench_violations.find_violations(earlier_starts).starts_after_fence
        == 0
    )
