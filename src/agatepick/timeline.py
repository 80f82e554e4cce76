"""The time line: what happened in each process, merged in causal order.

Each process keeps its last events.  An event is stamped by a hybrid logical
clock: physical microseconds, moved on so that every event is stamped later
than the ones before it and than every message that had come in.  So events
merged by stamp never show an effect before its cause, whatever the offset
between the processes' clocks.
"""

import collections
import heapq
import logging
import typing

import msgspec

from agatepick import core
from agatepick import exceptions
from agatepick import logs
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
        return all(
            not wanted or self.fields.get(name) == wanted
            for name, wanted in (('job', job), ('task', task), ('zone', zone))
        )

    def show(self) -> str:
        """The event as a line for a person."""
        fields = logs.line(self.event, self.fields.items())
        return f'{self.at:.6f} {self.process} {fields}'


class Timeline:
    """The last events of one process.

    :param process: its name.
    :param capacity: events kept; the oldest go first.
    """

    def __init__(self, process: str, capacity: int, clock: types.Clock):
        self.hybrid = HybridClock(clock)
        self._process = process
        self._clock = clock
        self._kept: collections.deque[tuple[int, float, core.Note]] = (
            collections.deque(maxlen=capacity)
        )

    def __len__(self) -> int:
        return len(self._kept)

    def add(self, note: core.Note) -> None:
        """Keep an event, and log it."""
        self._kept.append((self.hybrid.stamp(), self._clock.now(), note))
        logs.noted(_log, note)

    def events(
        self, job: str = '', task: str = '', zone: str = ''
    ) -> list[Event]:
        """Kept events about a job, task and zone, oldest first."""
        events = (
            Event(stamp, at, self._process, note.name, dict(note.fields))
            for stamp, at, note in self._kept
        )
        return [one for one in events if one.concerns(job, task, zone)]

    def lines(
        self, job: str = '', task: str = '', zone: str = ''
    ) -> list[bytes]:
        """The same, each a line of JSON."""
        return [
            msgspec.json.encode(one) for one in self.events(job, task, zone)
        ]


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
