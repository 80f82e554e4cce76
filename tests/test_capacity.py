import pathlib

import pytest

from agatepick.capacity import capacity
from agatepick.capacity import slopes

DOCS = pathlib.Path(__file__).parents[1] / 'docs'
LINES = {
    'entry_cpu_by_tasks': (100e-6, 400e-6),
    'entry_control_bytes': (64.0, 0.0),
    'job_messages': (1.0, 1.0),
    'job_bytes': (500.0, 0.0),
    'entry_idle_core': (0.001, 0.0),
}


@pytest.fixture
def measurement():
    return slopes.Slopes(
        tuple(
            slopes.fit(
                slopes.LineSpec(name, 'x', 'u', 'wire'),
                [(size, size * slope + start) for size in (1, 2, 4, 8)],
            )
            for name, (slope, start) in LINES.items()
        )
    )


def test_plan_sizes_follow_from_the_lines(measurement):
    plan = capacity.Plan.from_slopes(measurement)
    assert plan.cpu_seconds_per_task == pytest.approx(100e-6 + 400e-6 / 130)
    assert plan.entries == 76
    assert plan.agents_per_entry == 32
    assert plan.entries_per_agent == pytest.approx(76 * 32 / 9100)


def test_only_the_tables_between_markers_are_regenerated(measurement):
    page = 'a\n<!-- table: control -->\nold\n<!-- end -->\nb\n'
    updated = capacity.update(page, measurement)
    assert updated.startswith('a\n<!-- table: control -->\n| role |')
    assert updated.endswith('|\n<!-- end -->\nb\n')
    assert 'old' not in updated and 'not measured' in updated
    assert capacity.update(updated, measurement) == updated


def test_the_pages_tables_match_the_measurement():
    page = (DOCS / 'CAPACITY.md').read_text(encoding='utf-8')
    measurement = slopes.load(DOCS / 'slopes.json')
    assert capacity.update(page, measurement) == page
