import pytest

from agatepick import cli
from agatepick.cmd import explain

ENTRY = (
    'time=10.000000 level=info process=e event=job_admitted job=a1 queue=q '
    'tasks=2\n',
    'time=10.500000 level=info process=e event=job_ended job=a1 queue=q '
    'verdict=failed reason=task_failed seconds=0.500 late=0.1\n',
    'time=10.100000 level=info process=e event=job_refused job=b2 queue=q '
    'reason=overloaded retry_after=1.5\n',
    'time=10.200000 level=info process=e event=job_admitted job=c3 queue=q\n',
    'time=10.300000 level=info process=e event=job_ended job=e5 queue=q '
    'verdict=not_run reason=no_room_left seconds=0.500 late=0.1\n',
    'time=10.300000 level=info process=e event=job_refused job=d4 queue=q '
    'reason=over_share retry_after=1.5 share=20.0 held=31.2\n',
    'time=11.000000 level=info process=e event=task_given_up job=f5 index=2 '
    'count=3\n',
    'time=11.000000 level=info process=e event=job_ended job=f5 queue=q '
    'verdict=failed reason=crashes_workers seconds=2.000 late=1.0\n',
)
AGENT = (
    'noise that is no event\n',
    '  3.1 agent time=10.200000 level=info process=w event=run_failed job=a1 '
    'index=1 run=1 peer=e reason="went \\"wrong\\""\n',
)


def test_a_request_s_lines_come_in_order_of_all_processes():
    lines = explain.collect_lines([*ENTRY, *AGENT], 'a1')
    assert [line.event for line in lines] == [
        'job_admitted',
        'run_failed',
        'job_ended',
    ]
    assert lines[1].fields['reason'] == 'went "wrong"'


@pytest.mark.parametrize(
    ('job', 'text'),
    [
        ('a1', 'task_failed: a task failed as often'),
        ('b2', 'overloaded: more work waited'),
        ('c3', 'no end was logged'),
        ('e5', 'no_room_left: workers shrank'),
        ('d4', 'over_share: its queue pressed beyond its share'),
        (
            'f5',
            'crashes_workers: workers crashed again and again under a task '
            '(task 2, 3 crashes)',
        ),
    ],
)
def test_the_cause_of_each_kind_of_failure_is_named(job, text):
    """Jobs are rejected, fail, crash workers or are lost with an entry.

    Others end with their room.  The explanation must name the cause of each.
    """
    lines = explain.collect_lines([*ENTRY, *AGENT], job)
    assert explain.find_cause(lines).startswith(text)


def make_late_job_lines(began, *more):
    """Return the log lines of a late job, with additional lines."""
    return [
        'time=1.0 level=info process=e event=job_admitted job=d4 slack=0.1\n',
        *more,
        'time=1.8 level=info process=e event=job_ended job=d4 '
        f'verdict=complete reason=done began={began} late=0.3\n',
    ]


STUCK = 'time=1.5 level=info process=e event=run_stuck job=d4 peer=w\n'
FAILED = 'time=1.5 level=info process=w event=run_failed job=d4 peer=e\n'
LEFT = (
    'time=1.5 level=info process=e event=move_declined job=d4 peer=w '
    'reason=own_tail\n'
)


@pytest.mark.parametrize(
    ('lines', 'text'),
    [
        (
            make_late_job_lines('0.4'),
            'it waited 0.4 s for room, its slack was 0.1 s',
        ),
        (
            make_late_job_lines('0.0', STUCK),
            'run_stuck (w): a task took too long',
        ),
        (make_late_job_lines('0.0', FAILED), 'run_failed (w): a task failed'),
        (
            make_late_job_lines('0.0', LEFT),
            'move_declined (w): a task took long by itself',
        ),
        (
            make_late_job_lines('0.0', LEFT, STUCK),
            'run_stuck (w): a task took too long',
        ),
        (make_late_job_lines('0.0'), 'its tasks took longer than expected'),
    ],
)
def test_the_cause_of_a_late_answer_is_named(lines, text):
    """All tasks complete, but the answer misses the deadline.

    The explanation must name what made it late.
    """
    cause = explain.find_cause(explain.collect_lines(lines, 'd4'))
    assert cause.startswith('late by 0.3 s: ')
    assert text in cause


def test_the_agents_that_ended_a_lost_entry_s_runs_are_named():
    lines = [
        *ENTRY,
        'time=11.0 level=info process=w event=run_abandoned job=c3 index=0\n',
    ]
    cause = explain.find_cause(explain.collect_lines(lines, 'c3'))
    assert cause.endswith('its runs were ended by w')


def test_the_command_reads_logs_of_all_processes(tmp_path, capsys):
    for name, lines in (('e.log', ENTRY), ('w.log', AGENT)):
        (tmp_path / name).write_text(''.join(lines))
    files = [str(tmp_path / name) for name in ('w.log', 'e.log')]
    assert cli.main(['explain', 'a1', *files]) == 0
    text = capsys.readouterr().out.splitlines()
    assert 'job_admitted' in text[0]
    assert text[-1].startswith('cause: task_failed')


def test_a_request_that_is_in_no_log_is_an_error(tmp_path, capsys):
    (tmp_path / 'e.log').write_text(''.join(ENTRY))
    assert cli.main(['explain', 'zz', str(tmp_path / 'e.log')]) == 2
    assert 'zz' in capsys.readouterr().err
