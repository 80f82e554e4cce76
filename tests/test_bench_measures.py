import pytest

from agatepick.bench import bench_evidence
from agatepick.bench import bench_measures
from agatepick import types


def test_times_are_compared_with_the_ideal_and_deadlines_are_kept(
    bench_seen, bench_answer
):
    seen = bench_seen(bench_answer(types.JobStatus.COMPLETE))
    times = bench_measures.response_times(seen)
    found = bench_measures.compare_to_ideal(times, {0: 1.0})
    assert found.response_over_ideal_mean == pytest.approx(2.0, rel=1e-2)
    assert found.p99 == pytest.approx(2.0, rel=1e-2)
    assert found.own_p99 == pytest.approx(2.0, rel=1e-2)
    assert bench_measures.missed_deadlines(seen) == 0
    assert bench_measures.goodput(seen) == pytest.approx(2.0 / 800)


def test_wasted_messages_are_neither_start_nor_result_or_were_refused():
    counts = {'Starts': 40, 'Results': 40, 'Ping': 10, 'Ask': 10}
    traffic = bench_evidence.Traffic(counts, refused_starts=0.25)
    assert traffic.wasted_share() == pytest.approx(0.4)
    assert traffic.wasted_share(bench_evidence.HEARTBEATS) == pytest.approx(
        1 - 60 / 90
    )
