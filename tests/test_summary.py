import pytest

from agatepick import cli
from agatepick.cmd import summary

HEAD = 'level=info process=e event='
ADMITTED = 'job_admitted job={job} queue=q slack=0.1'
ENDED = 'job_ended job={job} queue=q verdict=complete reason=done'
LINES = [
    ('10.0', ADMITTED, 'in-time'),
    ('10.3', ENDED + ' began=0.0 all_began=0.0 late=-0.1', 'in-time'),
    ('11.0', 'job_refused job={job} queue=q reason=overloaded', 'refused'),
    ('11.1', ADMITTED, 'waited'),
    ('11.9', ENDED + ' began=0.4 all_began=0.4 late=0.2', 'waited'),
    ('11.2', ADMITTED, 'last'),
    ('11.9', ENDED + ' began=0.0 all_began=0.3 late=0.2', 'last'),
    ('11.3', ADMITTED, 'slow'),
    ('11.9', ENDED + ' began=0.0 all_began=0.0 late=0.2', 'slow'),
    ('12.1', ADMITTED, 'stuck'),
    ('12.6', 'run_stuck job={job} peer=w', 'stuck'),
    ('12.9', ENDED + ' began=0.0 all_began=0.5 late=0.2', 'stuck'),
    ('12.2', ADMITTED, 'lost'),
]
TEXT = [f'time={at} {HEAD}{line.format(job=job)}\n' for at, line, job in LINES]


@pytest.mark.parametrize(
    ('second', 'outcome', 'cause'),
    [
        (1, 'refused', 'overloaded'),
        (1, 'late', 'waited'),
        (1, 'late', 'waited_for_last'),
        (1, 'late', 'slow'),
        (2, 'late', 'run_stuck'),
        (2, 'lost', 'no_end_logged'),
    ],
)
def test_failures_are_counted_by_second_and_cause(second, outcome, cause):
    counts, number = summary.count_failures(
        ['noise that is no event\n', *TEXT]
    )
    assert counts[summary.FailureGroup(second, 'q', outcome, cause)] == 1
    assert sum(counts.values()) == 6
    assert number == 7


def test_the_command_prints_the_table(tmp_path, capsys):
    path = tmp_path / 'entry.log'
    path.write_text(''.join(TEXT))
    assert cli.main(['explain', '--summary', str(path)]) == 0
    printed = capsys.readouterr().out
    assert '7 requests, 6 of them went wrong' in printed
    assert '     1      1 q refused overloaded' in printed


def test_explain_needs_a_request_or_a_summary(capsys):
    assert cli.main(['explain']) != 0
    assert 'name a request' in capsys.readouterr().err


def test_a_log_without_requests_is_reported_as_empty(tmp_path, capsys):
    path = tmp_path / 'empty.log'
    path.write_text('')
    assert cli.main(['explain', '--summary', str(path)]) == 0
    assert '0 requests' in capsys.readouterr().out
