"""Timeline: the events of each process, merged in causal order.

Each process keeps its most recent events.  An event has a timestamp of a
hybrid logical clock: physical microseconds, advanced as needed so that every
event has a later timestamp than all earlier events and received messages.
Events merged by timestamp therefore never show an effect before its cause,
whatever the offset between the clocks of the processes.
"""

import collections
import dataclasses
import heapq
import logging
import typing

import msgspec

from agatepick import core
from agatepick import exceptions
from agatepick.net import decoding
from agatepick.net import messages
from agatepick.telemetry import logs
from agatepick import types

MICROSECONDS_PER_SECOND = 1_000_000
MAX_LEAD_MICROSECONDS = 60 * MICROSECONDS_PER_SECOND
"""Largest lead of a received timestamp over the local clock; a timestamp that
is further ahead is ignored.  Otherwise one process with a wrong clock would
shift the timestamps of all."""

_log = logging.getLogger('agatepick')


class HybridClock:
    """Hybrid logical clock in microseconds, based on a physical clock."""

    def __init__(self, clock: types.Clock):
        self._clock = clock
        self._last = 0

    def stamp(self) -> int:
        """Return a timestamp later than all earlier ones."""
        self._last = max(self._read_microseconds(), self._last + 1)
        return self._last

    def merge(self, stamp: int) -> None:
        """Advance the clock to the timestamp of a received message."""
        if stamp <= self._read_microseconds() + MAX_LEAD_MICROSECONDS:
            self._last = max(self._last, stamp)

    def _read_microseconds(self) -> int:
        return int(self._clock.now() * MICROSECONDS_PER_SECOND)


class Event(msgspec.Struct, frozen=True):
    """One event of one process.

    :param stamp: timestamp of the hybrid logical clock, in microseconds.
    :param at: time of the process clock, in seconds since the epoch.
    """

    stamp: int
    at: float
    process: str
    event: str
    fields: dict[str, str]

    def matches(self, job: str, task: str, zone: str) -> bool:
        """Return whether job, task and zone match; empty ones match any."""
        fields = self.fields
        return (
            (not job or fields.get('job') == job)
            and (not task or fields.get('task') == task)
            and (not zone or zone in _get_zones(fields))
        )

    def show(self) -> str:
        """Return the event as a line of text."""
        fields = logs.line(self.event, self.fields.items())
        return f'{self.at:.6f} {self.process} {fields}'


@dataclasses.dataclass(frozen=True, slots=True)
class TaskMark:
    """One task in a :class:`TaskNote`, identified by its index in the job.

    :param state: state of the task at the agent; empty when it is sent.
    """

    job: types.JobKey
    index: int
    attempt: int
    state: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class TaskNote:
    """One event of several tasks; expanded to one event per task when read.

    Thousands of tasks per second pass through an entry, so the stored form is
    compact and events are created only on request.
    """

    name: str
    peer: str
    zone: str
    marks: tuple[TaskMark, ...]


def note_sent_tasks(peer: str, message: messages.Message) -> TaskNote | None:
    """Return the task events of a sent message, or ``None``."""
    if not isinstance(message, messages.Starts):
        return None
    marks = tuple(
        [
            TaskMark(task.job, task.index, task.attempt)
            for task in message.tasks
        ]
    )
    return TaskNote('task_sent', peer, '', marks)


def note_received_tasks(
    peer: str, message: messages.Message
) -> TaskNote | None:
    """Return the task events of a received message, or ``None``."""
    if not isinstance(message, messages.Results) or not message.reports:
        return None
    marks = tuple(
        [
            TaskMark(report.job, report.index, report.attempt, report.state)
            for report in message.reports
        ]
    )
    return TaskNote('task_reported', peer, '', marks)


class Timeline:
    """Most recent events of one process.

    :param process: name of the process.
    :param capacity: maximum number of events; the oldest are evicted first.
    """

    def __init__(self, process: str, capacity: int, clock: types.Clock):
        self.hybrid = HybridClock(clock)
        self._process = process
        self._clock = clock
        self._records: collections.deque[_Record] = collections.deque(
            maxlen=capacity
        )

    def __len__(self) -> int:
        return len(self._records)

    def add(self, note: core.Note) -> None:
        """Store an event and log it."""
        self._append(note)
        logs.log_note(_log, note)

    def add_tasks(self, note: TaskNote | None) -> None:
        """Store events of tasks; they are logged only at level debug."""
        if note is None:
            return
        self._append(note)
        if _log.isEnabledFor(logging.DEBUG):
            for name, fields in _expand_note(note):
                logs.event(_log, logging.DEBUG, name, **fields)

    def _append(self, note: core.Note | TaskNote) -> None:
        self._records.append(
            _Record(self.hybrid.stamp(), self._clock.now(), note)
        )

    def events(
        self, job: str = '', task: str = '', zone: str = ''
    ) -> list[Event]:
        """Return the events that match job, task and zone, oldest first."""
        events = (
            Event(record.stamp, record.at, self._process, name, fields)
            for record in self._records
            for name, fields in _expand_note(record.note)
        )
        return [event for event in events if event.matches(job, task, zone)]

    def lines(
        self, job: str = '', task: str = '', zone: str = ''
    ) -> list[bytes]:
        """Return the events that match job, task and zone, as JSON lines."""
        return [
            msgspec.json.encode(event)
            for event in self.events(job, task, zone)
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    stamp: int
    at: float
    note: core.Note | TaskNote


def _expand_note(
    note: core.Note | TaskNote,
) -> list[tuple[str, dict[str, str]]]:
    """Return the names and fields of the events that a note stands for."""
    if isinstance(note, core.Note):
        return [(note.name, dict(note.fields))]
    return [(note.name, _get_task_fields(note, mark)) for mark in note.marks]


def _get_task_fields(note: TaskNote, mark: TaskMark) -> dict[str, str]:
    fields = {
        'job': mark.job,
        'task': str(mark.index),
        'attempt': str(mark.attempt),
        'state': mark.state,
        'peer': note.peer,
        'zone': note.zone,
    }
    return {name: value for name, value in fields.items() if value}


def _get_zones(fields: dict[str, str]) -> tuple[str, str]:
    """Return the zones named by an event's ``zone`` and ``about`` fields."""
    subject = fields.get('about', '')
    subject_zone = subject.removeprefix('zone:') if ':' in subject else ''
    return fields.get('zone', ''), subject_zone


def merge(timelines: typing.Iterable[list[Event]]) -> list[Event]:
    """Return the events of several processes in causal order."""
    return list(
        heapq.merge(*timelines, key=lambda event: (event.stamp, event.process))
    )


def parse(data: bytes) -> list[Event]:
    """Return the events in JSON lines.

    :raises agatepick.exceptions.BadMessage: if a line isn't an event.
    """
    try:
        return [
            decoding.decode(line, Event) for line in data.splitlines() if line
        ]
    except decoding.Unreadable as exc:
        raise exceptions.BadMessage(
            f'line is not a timeline event: {exc}', step='timeline'
        ) from exc
