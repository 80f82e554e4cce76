import contextlib
import fcntl
import itertools
import os
import pathlib
import tempfile

import pytest

from tests import intake_rig

COUNTS = {
    'held_body': 600,
    'pieced_body': 600,
    'huge_body': 6,
    'huge_chunked_body': 6,
    'tiny_chunks': 100,
    'many_fields': 1000,
    'many_form_fields': 200,
    'many_query_fields': 800,
    'sent_ahead': 300,
    'jobs_sent_ahead': 60,
    'endless_line': 1500,
    'idle': 3000,
    'half_body': 2700,
    'half_head': 3000,
    'slow_head': 2500,
    'slow_reader': 500,
}
"""Clients at each entry, by kind."""

IN_TIME_SHARE = 0.9
"""Share of the ordinary jobs that are completed in time beside such clients,
and after they have left."""

FEW_DESCRIPTORS = 1700
"""1,500 sockets, and those for files."""


@contextlib.contextmanager
def play_alone():
    """Wait for the plays of other workers: each takes four processors."""
    name = f'agatepick-play-{os.getuid()}'
    with open(pathlib.Path(tempfile.gettempdir()) / name, 'w') as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def check_play(tmp_path, *doses, **options):
    """Play some clients; no process ends, and ordinary jobs are served."""
    with play_alone():
        result = intake_rig.play(doses, tmp_path, **options)
    summary = result.describe()
    assert not result.passed, summary
    assert not result.ended, summary
    for results in (result.during, result.after):
        assert sum(results) >= IN_TIME_SHARE * len(results), summary


@pytest.mark.parametrize(
    'kind, place', itertools.product(COUNTS, intake_rig.PLACES)
)
def test_ordinary_jobs_are_served_beside(kind, place, tmp_path):
    """Clients at any path run a process out of memory, time or sockets."""
    dose = intake_rig.Dose(kind, place, COUNTS[kind])
    check_play(tmp_path, dose, seconds=4.0, after_seconds=2.0)


@pytest.mark.parametrize(
    'kind', ['held_body', 'huge_chunked_body', 'tiny_chunks', 'idle']
)
def test_workers_are_heard_beside(kind, tmp_path):
    """Clients at an agent's address keep its worker's announcements out."""
    dose = intake_rig.Dose(kind, intake_rig.CONTROL, COUNTS[kind])
    check_play(tmp_path, dose)


@pytest.mark.parametrize(
    'kind', ['idle', 'half_body', 'half_head', 'slow_head']
)
def test_crowds_leave_descriptors_for_others(kind, tmp_path):
    """No descriptor is left for ordinary callers, peers and the store."""
    dose = intake_rig.Dose(kind, 'route', COUNTS[kind])
    check_play(tmp_path, dose, descriptors=FEW_DESCRIPTORS)


def test_all_kinds_at_once(tmp_path):
    """Each limit alone holds, and all of them together exceed the memory."""
    places = itertools.cycle(intake_rig.PLACES)
    doses = [
        intake_rig.Dose(kind, next(places), max(2, count // 8))
        for kind, count in COUNTS.items()
    ]
    check_play(tmp_path, *doses)


@pytest.mark.parametrize(
    'kind, count', [('many_steps', 75), ('many_tasks', 100)]
)
def test_jobs_of_thousands_of_tasks_stay_within_the_memory(
    kind, count, tmp_path
):
    """Jobs that wait fill the memory by their tasks, not by their bytes."""
    dose = intake_rig.Dose(kind, 'route', count)
    with play_alone():
        result = intake_rig.play([dose], tmp_path, after_seconds=6.0)
    assert not result.passed, result.describe()
    assert not result.ended, result.describe()


def test_ordinary_jobs_are_served_beside_a_job_of_tiny_tasks(tmp_path):
    """Thousands of runs at once fill the processors of agents and entries."""
    dose = intake_rig.Dose('many_tasks', 'route', 1)
    check_play(tmp_path, dose)
