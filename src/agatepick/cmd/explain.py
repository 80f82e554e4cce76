"""History of one request from the logs of all processes.

``agatepick explain ID FILE...`` reads log lines of key=value pairs in any
order and prints those of the request, sorted by time, followed by a line with
the cause of its outcome.
"""

import dataclasses
import sys
import typing

from agatepick.cmd import commands
from agatepick.cmd import log_lines
from agatepick.cmd import overlaps
from agatepick import exceptions

JOB_END_EVENTS = ('job_ended', 'job_refused')

REASON_TEXTS = {
    'overloaded': 'more work waited than could start in time',
    'over_share': 'its queue pressed beyond its share of the cores',
    'waited_too_long': 'no worker had capacity before its latest start',
    'no_worker': 'no known worker is large enough or has its label',
    'no_room_left': 'workers shrank: its tasks fit nowhere, or not in time',
    'cut_off': 'the entry reached no agent',
    'stopping': 'the entry was stopping and the job would not have ended',
    'deadline': 'its deadline expired',
    'caller_left': 'its caller closed the connection',
    'cancelled': 'a caller cancelled it',
    'task_failed': 'a task failed as often as its queue allows',
    'crashes_workers': 'workers crashed again and again under a task',
    'done': 'all tasks completed',
}
"""Explanation of a job's outcome, by the ``reason`` that the log gives."""

DELAY_TEXTS = {
    'run_failed': 'a task failed and ran again elsewhere',
    'run_stuck': 'a task took too long at a worker and was moved',
    'start_unanswered': 'a worker did not answer a start request',
    'run_over': 'a run ended through no fault of its own and was repeated',
    'run_unrenewed': 'its entry renewed the lease too late; runs were ended',
}
"""Explanation of the delay of a job that still completes, by the name of the
logged event that shows the cause."""

MOVE_DECLINED_TEXTS = {
    'own_tail': 'a task took long by itself and was left at its worker',
    'no_gain': 'a task took long and would have ended no sooner elsewhere',
    'budget': 'a task took long and no more work was to be thrown away',
    'second': 'a task took long at two workers and was left at the second',
}
"""Explanation of a slow run that was left where it was, by ``reason``."""

_RUNS_ENDED_BY_AGENT = ('run_unrenewed', 'run_abandoned')


def collect_lines(
    lines: typing.Iterable[str], job: str
) -> list[log_lines.Line]:
    """Return the events of a request, sorted by time."""
    job_field = f'job={job}'
    parsed = [
        log_lines.parse_line(text) for text in lines if job_field in text
    ]
    matching = [
        line for line in parsed if line and line.fields.get('job') == job
    ]
    return sorted(matching, key=lambda line: line.at)


def find_cause(lines: list[log_lines.Line]) -> str:
    """Return the cause of a request's outcome, or of its delay."""
    end_lines = [line for line in lines if line.event in JOB_END_EVENTS]
    if not end_lines:
        return _describe_lost_job(lines)
    end_fields = end_lines[-1].fields
    reason = end_fields.get('reason', '')
    if (
        end_fields.get('verdict') == 'complete'
        and parse_number(end_lines[-1], 'late') > 0.0
    ):
        return (
            f'late by {end_fields["late"]} s: '
            f'{find_delay(lines, end_lines[-1]).text}'
        )
    explanation = REASON_TEXTS.get(reason, 'unknown reason')
    return f'{reason}: {explanation}{_describe_given_up(lines)}'


def _describe_given_up(lines: list[log_lines.Line]) -> str:
    for line in lines:
        if line.event == 'task_given_up':
            index, count = (line.fields.get(k, '') for k in ('index', 'count'))
            return f' (task {index}, {count} crashes)'
    return ''


def _describe_lost_job(lines: list[log_lines.Line]) -> str:
    text = 'no end was logged: its entry was lost, or the log is cut off'
    agent_lines = [
        line for line in lines if line.event in _RUNS_ENDED_BY_AGENT
    ]
    if not agent_lines:
        return text
    agents = ', '.join(sorted({line.process for line in agent_lines}))
    return f'{text}; its runs were ended by {agents}'


@dataclasses.dataclass(frozen=True, slots=True)
class Delay:
    """Cause of the delay of a completed job.

    :param code: name of the cause, for programs.
    :param text: explanation, for people.
    """

    code: str
    text: str


def find_delay(lines: list[log_lines.Line], end: log_lines.Line) -> Delay:
    """Return the cause of the delay of a completed job.

    :param end: the line that logs the end of the job.
    """
    for line in lines:
        if line.event in DELAY_TEXTS:
            # The entry logs run_stuck; agents log the other events.
            is_stuck = line.event == 'run_stuck'
            process = line.fields.get('peer', '') if is_stuck else line.process
            text = f'{line.event} ({process}): {DELAY_TEXTS[line.event]}'
            return Delay(line.event, text)
    admissions = [line for line in lines if line.event == 'job_admitted']
    slack = parse_number(admissions[-1], 'slack') if admissions else 0.0
    for field, code, subject in (
        ('began', 'waited', 'it'),
        ('all_began', 'waited_for_last', 'its last task'),
    ):
        if parse_number(end, field) > slack:
            wait_text = end.fields[field]
            text = f'{subject} waited {wait_text} s for room, its slack was'
            return Delay(code, f'{text} {slack} s')
    declined = [line for line in lines if line.event == 'move_declined']
    if declined:
        fields = declined[-1].fields
        reason = fields.get('reason', '')
        text = MOVE_DECLINED_TEXTS.get(reason, 'unknown reason')
        return Delay(
            'move_declined',
            f'move_declined ({fields.get("peer", "")}): {text}',
        )
    return Delay('slow', 'its tasks took longer than expected')


def parse_number(line: log_lines.Line, name: str) -> float:
    """Return a field as a number; 0 if it is missing or not a number."""
    try:
        return float(line.fields.get(name, ''))
    except ValueError:
        return 0.0


def explain(job: str, files: tuple[str, ...]) -> commands.Output:
    """Return the history of a request, from files or standard input."""
    lines = collect_lines(read_lines(files), job)
    if not lines:
        raise exceptions.BadUsage(
            f'no log line has the request {job}', step='explain'
        )
    text = [line.show(lines[0].at) for line in lines]
    text += [one.show() for one in overlaps.find_overlaps(lines)]
    return commands.Output('\n'.join([*text, f'cause: {find_cause(lines)}']))


def read_lines(files: tuple[str, ...]) -> typing.Iterator[str]:
    """Yield the lines of the files, or of standard input without files.

    :raises agatepick.exceptions.BadUsage: if a file can't be read.
    """
    if not files:
        yield from sys.stdin
    for name in files:
        try:
            with open(name, encoding='utf-8', errors='replace') as file:
                yield from file
        except OSError as exc:
            raise exceptions.BadUsage(
                f'{name}: {exc.strerror}', step='explain'
            ) from exc
