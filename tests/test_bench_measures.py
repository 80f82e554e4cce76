import pytest

from agatepick.bench import bench_evidence
from agatepick.bench import bench_measures
from agatepick import types


def test_response_times_are_compared_with_the_ideal_and_deadlines_met(
    make_bench_evidence, make_bench_answer
):
    evidence = make_bench_evidence(make_bench_answer(types.JobStatus.COMPLETE))
    times = bench_measures.compute_response_times(evidence)
    responses = bench_measures.compare_to_ideal(times, {0: 1.0})
    assert responses.response_over_ideal_mean == pytest.approx(2.0, rel=1e-2)
    assert responses.p99 == pytest.approx(2.0, rel=1e-2)
    assert responses.own_p99 == pytest.approx(2.0, rel=1e-2)
    assert bench_measures.count_missed_deadlines(evidence) == 0
    assert bench_measures.compute_goodput(evidence) == pytest.approx(2.0 / 800)


def test_wasted_messages_are_neither_start_nor_result_or_were_refused():
    counts = {'Starts': 40, 'Results': 40, 'Ping': 10, 'Ask': 10}
    traffic = bench_evidence.Traffic(counts, refused_starts=0.25)
    assert traffic.wasted_share() == pytest.approx(0.4)
    assert traffic.wasted_share(bench_evidence.HEARTBEATS) == pytest.approx(
        1 - 60 / 90
    )
