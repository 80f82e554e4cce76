"""Tells the story of one request from the logs of all processes.

``agatepick explain ID FILE...`` reads lines of key=value pairs, mixed as
they come, and prints those that name the request, in order of time, with a
line that names the cause of its end.
"""

import dataclasses
import json
import re
import sys
import typing

from agatepick.cmd import commands
from agatepick import exceptions

_PAIR = re.compile(r'([A-Za-z_][\w.]*)=("(?:[^"\\]|\\.)*"|\S*)')

ENDS = ('job_ended', 'job_refused')

CAUSES = {
    'overloaded': 'more work waited than could start in its time',
    'waited_too_long': 'no worker had room before its latest start',
    'no_worker': 'no known worker is large enough or has its label',
    'cut_off': 'the entry reached no agent',
    'stopping': 'the entry was stopping and the job would not have ended',
    'deadline': "its caller's time was over",
    'caller_left': 'its caller closed the connection',
    'cancelled': 'a caller cancelled it',
    'task_failed': 'a task failed as often as its queue allows',
    'done': 'all tasks ended well',
}
"""What each reason in the log means, for people."""

DELAYS = {
    'run_failed': 'a task failed and ran again elsewhere',
    'run_stuck': 'a task took too long at a worker and was moved',
    'start_unanswered': 'a worker left a start without an answer',
    'run_over': 'a run ended without its own doing and was done again',
    'run_unrenewed': 'its entry renewed too late, and runs were ended',
}
"""Events that hold a job up that ends well all the same."""

_ORPHANED = ('run_unrenewed', 'run_abandoned')


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    :param at: seconds since the epoch, by the clock of its process.
    """

    at: float
    process: str
    event: str
    fields: dict[str, str]

    def show(self, start: float) -> str:
        """The line for a person."""
        pairs = ' '.join(f'{key}={val}' for key, val in self.fields.items())
        return f'{self.at - start:+9.3f} s {self.process} {self.event} {pairs}'


def parse(text: str) -> Line | None:
    """A line of a log; ``None`` for what isn't an event."""
    pairs = {key: _plain(value) for key, value in _PAIR.findall(text)}
    try:
        at = float(pairs.pop('time'))
        process, event = pairs.pop('process'), pairs.pop('event')
    except (KeyError, ValueError):
        return None
    pairs.pop('level', None)
    return Line(at, process, event, pairs)


def story(lines: typing.Iterable[str], job: str) -> list[Line]:
    """What was logged about a request, in order of time."""
    needle = f'job={job}'
    parsed = [parse(text) for text in lines if needle in text]
    found = [line for line in parsed if line and line.fields.get('job') == job]
    return sorted(found, key=lambda line: line.at)


def cause(found: list[Line]) -> str:
    """Why the request ended as it did, or ended late."""
    ends = [line for line in found if line.event in ENDS]
    if not ends:
        return _lost(found)
    end = ends[-1].fields
    reason = end.get('reason', '')
    if end.get('verdict') == 'complete' and number(ends[-1], 'late') > 0.0:
        return f'late by {end["late"]} s: {delay(found, ends[-1]).text}'
    known = CAUSES.get(reason, 'not a reason known here')
    return f'{reason}: {known}'


def _lost(found: list[Line]) -> str:
    text = 'no end was logged: its entry was lost, or the log is cut off'
    ended = [line for line in found if line.event in _ORPHANED]
    if not ended:
        return text
    agents = ', '.join(sorted({line.process for line in ended}))
    return f'{text}; its runs were ended by {agents}'


@dataclasses.dataclass(frozen=True, slots=True)
class Delay:
    """What held a job up that ended well.

    :param word: for programs.
    :param text: for people.
    """

    word: str
    text: str


def delay(found: list[Line], end: Line) -> Delay:
    """What held a job up that ended well."""
    for line in found:
        if line.event in DELAYS:
            # An agent's peer is the entry; an entry's is the agent.
            stuck = line.event == 'run_stuck'
            where = line.fields.get('peer', '') if stuck else line.process
            text = f'{line.event} ({where}): {DELAYS[line.event]}'
            return Delay(line.event, text)
    begun = [line for line in found if line.event == 'job_admitted']
    slack = number(begun[-1], 'slack') if begun else 0.0
    for field, word, what in (
        ('began', 'waited', 'it'),
        ('all_began', 'waited_for_last', 'its last task'),
    ):
        if number(end, field) > slack:
            waited = end.fields[field]
            text = f'{what} waited {waited} s for room, its slack was'
            return Delay(word, f'{text} {slack} s')
    return Delay('slow', 'its tasks took longer than expected')


def number(line: Line, name: str) -> float:
    """A field of a line as a number; 0 if it has none."""
    try:
        return float(line.fields.get(name, ''))
    except ValueError:
        return 0.0


def explain(job: str, files: tuple[str, ...]) -> commands.Output:
    """The story of a request, from files or standard input."""
    found = story(read(files), job)
    if not found:
        raise exceptions.BadUsage(
            f'no line names the request {job}', step='explain'
        )
    text = [line.show(found[0].at) for line in found]
    return commands.Output('\n'.join([*text, f'cause: {cause(found)}']))


def read(files: tuple[str, ...]) -> typing.Iterator[str]:
    """The lines of some files; of standard input if none is named.

    :raises agatepick.exceptions.BadUsage: if one can't be read.
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


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
