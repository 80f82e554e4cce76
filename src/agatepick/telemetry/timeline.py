"""The time line: what happened in each process, merged in causal order.

Each process keeps its last events.  An event is stamped by a hybrid logical
clock: physical microseconds, moved on so that every event is stamped later
than the ones before it and than every message that had come in.  So events
merged by stamp never show an effect before its cause, whatever the offset
between the processes' clocks.
"""

import collections
import dataclasses
import heapq
import logging
import typing

import msgspec

from agatepick import core
from agatepick import exceptions
from agatepick.net import messages
from agatepick.telemetry import logs
from agatepick import types

MICROSECONDS = 1_000_000
MAX_AHEAD = 60 * MICROSECONDS
"""A stamp further ahead of our clock is not taken over.  One process with a
broken clock would otherwise move every process's stamps to its own time."""

_log = logging.getLogger('agatepick')


class HybridClock:
    """Stamps in microseconds that respect causes; starts at the clock."""

    def __init__(self, clock: types.Clock):
        self._clock = clock
        self._last = 0

    def stamp(self) -> int:
        """A stamp later than all before; for an event or a message out."""
        self._last = max(self._physical(), self._last + 1)
        return self._last

    def merge(self, stamp: int) -> None:
        """Take note of the stamp of a message that came in."""
        if stamp <= self._physical() + MAX_AHEAD:
            self._last = max(self._last, stamp)

    def _physical(self) -> int:
        return int(self._clock.now() * MICROSECONDS)


class Event(msgspec.Struct, frozen=True):
    """One event of one process.

    :param stamp: hybrid logical clock, microseconds.
    :param at: the process's clock, seconds since the epoch.
    """

    stamp: int
    at: float
    process: str
    event: str
    fields: dict[str, str]

    def concerns(self, job: str, task: str, zone: str) -> bool:
        """Whether the event is about what is named; empty is anything."""
        fields = self.fields
        return (
            (not job or fields.get('job') == job)
            and (not task or fields.get('task') == task)
            and (not zone or zone in _zones(fields))
        )

    def show(self) -> str:
        """The event as a line for a person."""
        fields = logs.line(self.event, self.fields.items())
        return f'{self.at:.6f} {self.process} {fields}'


@dataclasses.dataclass(frozen=True, slots=True)
class TaskMark:
    """One task in a :class:`TaskNote`, by its index in the job."""

    job: types.JobKey
    index: int
    attempt: int
    state: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class TaskNote:
    """What befell some tasks at once; an event for each when it is read.

    Thousands of tasks a second pass through an entry, so what is kept of
    them is small and is made into events only for whoever looks.
    """

    name: str
    peer: str
    zone: str
    marks: tuple[TaskMark, ...]


def sent(peer: str, message: messages.Message) -> TaskNote | None:
    """What sending a message means for tasks, if anything."""
    if not isinstance(message, messages.Starts):
        return None
    marks = tuple(
        [TaskMark(one.job, one.index, one.attempt) for one in message.tasks]
    )
    return TaskNote('task_sent', peer, '', marks)


def taken(peer: str, message: messages.Message) -> TaskNote | None:
    """What a message that came in means for tasks, if anything."""
    if not isinstance(message, messages.Results) or not message.reports:
        return None
    marks = tuple(
        [
            TaskMark(one.job, one.index, one.attempt, one.state)
            for one in message.reports
        ]
    )
    return TaskNote('task_reported', peer, '', marks)


class Timeline:
    """The last events of one process.

    :param process: its name.
    :param capacity: events kept; the oldest go first.
    """

    def __init__(self, process: str, capacity: int, clock: types.Clock):
        self.hybrid = HybridClock(clock)
        self._process = process
        self._clock = clock
        self._kept: collections.deque[_Kept] = collections.deque(
            maxlen=capacity
        )

    def __len__(self) -> int:
        return len(self._kept)

    def add(self, note: core.Note) -> None:
        """Keep an event, and log it."""
        self._keep(note)
        logs.noted(_log, note)

    def add_tasks(self, note: TaskNote | None) -> None:
        """Keep what befell tasks; shown in the log only for debugging."""
        if note is None:
            return
        self._keep(note)
        if _log.isEnabledFor(logging.DEBUG):
            for name, fields in _told(note):
                logs.event(_log, logging.DEBUG, name, **fields)

    def _keep(self, what: core.Note | TaskNote) -> None:
        self._kept.append(_Kept(self.hybrid.stamp(), self._clock.now(), what))

    def events(
        self, job: str = '', task: str = '', zone: str = ''
    ) -> list[Event]:
        """Kept events about a job, task and zone, oldest first."""
        events = (
            Event(kept.stamp, kept.at, self._process, name, fields)
            for kept in self._kept
            for name, fields in _told(kept.what)
        )
        return [one for one in events if one.concerns(job, task, zone)]

    def lines(
        self, job: str = '', task: str = '', zone: str = ''
    ) -> list[bytes]:
        """The same, each a line of JSON."""
        return [
            msgspec.json.encode(one) for one in self.events(job, task, zone)
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class _Kept:
    stamp: int
    at: float
    what: core.Note | TaskNote


def _told(
    what: core.Note | TaskNote,
) -> list[tuple[str, dict[str, str]]]:
    """Names and fields of the events that one kept thing stands for."""
    if isinstance(what, core.Note):
        return [(what.name, dict(what.fields))]
    return [(what.name, _task_fields(what, mark)) for mark in what.marks]


def _task_fields(note: TaskNote, mark: TaskMark) -> dict[str, str]:
    fields = {
        'job': mark.job,
        'task': str(mark.index),
        'attempt': str(mark.attempt),
        'state': mark.state,
        'peer': note.peer,
        'zone': note.zone,
    }
    return {name: value for name, value in fields.items() if value}


def _zones(fields: dict[str, str]) -> tuple[str, str]:
    """Zones that an event is about: by its field, or by its subject."""
    subject = fields.get('about', '')
    named = subject.removeprefix('zone:') if ':' in subject else ''
    return fields.get('zone', ''), named


def merge(parts: typing.Iterable[list[Event]]) -> list[Event]:
    """Events of several processes in causal order."""
    return list(heapq.merge(*parts, key=lambda one: (one.stamp, one.process)))


def parse(data: bytes) -> list[Event]:
    """Events from lines of JSON.

    :raises agatepick.exceptions.BadMessage: if a line is no event.
    """
    try:
        return [
            msgspec.json.decode(line, type=Event)
            for line in data.splitlines()
            if line
        ]
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise exceptions.BadMessage(
            f'no event of a time line: {exc}', step='timeline'
        ) from exc
