import pytest

from agatepick import cli
from agatepick.cmd import explain
from agatepick.cmd import overlaps
from agatepick.cmd import summary

FIRST = ('1.0', 'w1', 'run_started index=3 run=1')
FIRST_OVER = ('1.2', 'w1', 'run_over index=3 run=1 reason=worker_lost')
SECOND = ('1.25', 'w2', 'run_started index=3 run=2')
OUTLIVED = (
    '1.5',
    'w1',
    'run_outlived index=3 run=1 reason=worker_lost seconds=0.300',
)
SECOND_DONE = ('1.6', 'w2', 'run_finished index=3 run=2 reason=done')


def make_lines(*rows):
    return [
        f'time={at} level=info process={process} event={event} job=j\n'
        for at, process, event in rows
    ]


def find(*rows):
    lines = explain.collect_lines(make_lines(*rows), 'j')
    return overlaps.find_overlaps(lines)


def test_a_run_that_outlived_its_end_overlaps_the_next():
    (found,) = find(FIRST, FIRST_OVER, SECOND, OUTLIVED, SECOND_DONE)
    assert found.index == '3'
    assert (found.earlier, found.later) == ('run 1 (w1)', 'run 2 (w2)')
    assert (found.reason, found.outlived) == ('worker_lost', True)
    assert found.seconds == pytest.approx(0.25)


def test_runs_one_after_the_other_do_not_overlap():
    assert find(FIRST, FIRST_OVER, SECOND, SECOND_DONE) == []


def test_runs_of_other_tasks_do_not_overlap():
    other = ('1.1', 'w2', 'run_started index=4 run=1')
    assert find(FIRST, other, FIRST_OVER) == []


def test_a_start_that_was_refused_is_no_overlap():
    refused = ('1.1', 'w1', 'run_refused index=3 run=1 reason=no_room')
    assert find(FIRST, refused, SECOND, SECOND_DONE) == []


def test_the_same_run_number_at_another_entry_overlaps():
    """A job came again at another entry while its first run went on."""
    again = ('1.1', 'w2', 'run_started index=3 run=1')
    (found,) = find(FIRST, again, FIRST_OVER)
    assert (found.earlier, found.later) == ('run 1 (w1)', 'run 1 (w2)')
    assert (found.reason, found.outlived) == ('worker_lost', False)


def test_a_run_without_an_end_is_named_as_such():
    """An agent was killed, or the line of the end was dropped."""
    (found,) = find(FIRST, SECOND, SECOND_DONE)
    assert (found.reason, found.seconds) == ('no_end_logged', None)


def test_the_commands_name_the_overlap(tmp_path, capsys):
    path = tmp_path / 'all.log'
    rows = (FIRST, FIRST_OVER, SECOND, OUTLIVED, SECOND_DONE)
    path.write_text(''.join(make_lines(*rows)))
    assert cli.main(['explain', 'j', str(path)]) == 0
    text = (
        'task 3: run 1 (w1) and run 2 (w2) at once for 0.250 s; the first was '
        'counted as over on worker_lost, and its worker listed it later'
    )
    assert text in capsys.readouterr().out.splitlines()
    assert cli.main(['explain', '--summary', str(path)]) == 0
    assert '1 two_runs worker_lost' in capsys.readouterr().out


def test_the_summary_counts_a_request_with_two_runs_once():
    rows = (FIRST, FIRST_OVER, SECOND, OUTLIVED, SECOND_DONE)
    counts, _ = summary.count_failures(make_lines(*rows))
    group = summary.FailureGroup(0, '', 'two_runs', 'worker_lost')
    assert counts == {group: 1}


def test_the_summary_does_not_count_runs_without_an_end():
    counts, _ = summary.count_failures(make_lines(FIRST, SECOND, SECOND_DONE))
    assert [group.outcome for group in counts] == ['lost']
