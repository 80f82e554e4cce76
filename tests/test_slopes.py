import os

import pytest

from agatepick.capacity import slopes
from agatepick.capacity import slopes_process
from agatepick import exceptions

LINE_SPEC = slopes.LineSpec('bytes', 'agents', 'B/s', 'wire')


def test_fitting_a_straight_line_leaves_no_residual(tmp_path):
    line = slopes.fit(LINE_SPEC, [(1, 5.0), (2, 7.0), (4, 11.0), (8, 19.0)])
    assert (line.slope, line.intercept) == pytest.approx((2.0, 3.0))
    assert line.residual == pytest.approx(0.0, abs=1e-12)
    assert line.at(100) == pytest.approx(203.0)
    assert line.size_at(203.0) == pytest.approx(100.0)
    path = tmp_path / 'slopes.json'
    path.write_text(slopes.Slopes((line,)).as_json())
    assert slopes.load(path).line('bytes') == line


def test_three_sizes_are_too_few_for_a_line():
    with pytest.raises(exceptions.BadSettings):
        slopes.fit(LINE_SPEC, [(1, 5.0), (2, 7.0), (4, 11.0), (4, 12.0)])


def test_a_process_is_read_by_its_pid():
    before = slopes_process.take_sample(os.getpid())
    assert before.resident_bytes > 1 << 20
    sum(range(3_000_000))
    after = slopes_process.take_sample(os.getpid())
    used = slopes_process.compute_usage(before, after, 1.0)
    assert used.core_share > 0.0
