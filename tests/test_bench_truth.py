import dataclasses

import pytest

from agatepick.bench import bench_evidence
from agatepick.bench import bench_truth
from agatepick import types

CLEAN = bench_truth.Violations(0, 0, 0, 0, 0, 0)
NOT_RUN = types.TaskAnswer('t1', types.Outcome.NOT_RUN)
COMPLETE = types.JobStatus.COMPLETE
FAULTS = {
    'a second start': ({'duplicate_starts': 1}, COMPLETE, 'ff', (0, 1, 1)),
    'a "not run" that ran': (
        {'false_not_run': 1},
        types.JobStatus.FAILED,
        'fn',
        (0, 1),
    ),
    'a whole "not run" that ran': (
        {'false_not_run': 2},
        types.JobStatus.NOT_RUN,
        '',
        (0, 1),
    ),
    'a part sold as whole': (
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
    'an invented result': ({'wrong_answers': 1}, COMPLETE, 'ff', (0,)),
    'no final answer': ({'lost': 1}, types.JobStatus.PENDING, '', (0, 1)),
}


@pytest.mark.parametrize('name', FAULTS)
def test_each_broken_promise_is_found_and_counted_once(
    name, bench_seen, bench_answer, bench_finished
):
    """A run breaks one promise towards its caller.

    The upstream's count and the caller's answer don't fit together, and the
    bench has to say which promise it was.
    """
    counts, status, told, starts = FAULTS[name]
    tasks = [
        bench_finished(place) if letter == 'f' else NOT_RUN
        for place, letter in enumerate(told)
    ]
    found = bench_truth.judge(bench_seen(bench_answer(status, *tasks), starts))
    assert found == dataclasses.replace(CLEAN, **counts)


def test_a_clean_answer_is_no_fault_but_the_same_under_another_key_is(
    bench_seen, bench_answer, bench_finished
):
    """Two answers are crossed on their way.

    The caller takes another's meeting date or quote for its own.
    """
    tasks = bench_finished(0), bench_finished(1)
    own = bench_seen(bench_answer(COMPLETE, *tasks))
    assert bench_truth.judge(own) == CLEAN
    crossed = bench_seen(bench_answer(COMPLETE, *tasks, key='other'))
    assert bench_truth.judge(crossed).wrong_answers == 1


def test_a_start_in_a_departed_zone_counts_from_the_fence_on(bench_seen):
    """A zone is out from 0.4 s on, and a task starts there at 0.5 s.

    The operator believes the zone empty and switches it off: the task dies.
    """
    gone = bench_evidence.Departure('talca', 0.1, 0.2, 0.4, 9.0)
    late = bench_seen(None, departures=(gone,))
    assert bench_truth.judge(late).starts_after_fence == 2
    gone = dataclasses.replace(gone, in_force=0.6)
    kept = bench_seen(None, departures=(gone,))
    assert bench_truth.judge(kept).starts_after_fence == 0
