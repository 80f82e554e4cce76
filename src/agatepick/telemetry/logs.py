"""Logs: one line of key=value pairs for each event.

Events and fields have the same names as in the timeline, so that an event can
be looked up in both.
"""

import json
import logging
import os
import sys
import typing

from agatepick import core

_UNQUOTED_CHARACTERS = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789'
    '._-:/+,@%[]<>()*~'
)


MAX_MESSAGE_CHARACTERS = 300
"""Length of a library's message, which may hold what a client has sent."""


def line(name: str, fields: typing.Iterable[tuple[str, object]]) -> str:
    """Return ``event=name key=value ...``, with values quoted if needed."""
    pairs = [('event', name), *fields]
    return ' '.join(f'{key}={_quote(str(value))}' for key, value in pairs)


def event(
    log: logging.Logger, level: int, name: str, **fields: object
) -> None:
    """Log one event."""
    if log.isEnabledFor(level):
        log.log(level, '%s', line(name, fields.items()))


def log_note(
    log: logging.Logger, note: core.Note, routine: bool = False
) -> None:
    """Log an event of the timeline.

    :param routine: whether the event belongs to normal operation; routine
        lines are dropped first under load.
    """
    if log.isEnabledFor(logging.INFO):
        text = line(note.name, note.fields)
        log.info('%s', text, extra={'routine': routine})


def setup(level: str, process: str, stream: typing.Any = None) -> None:
    """Send all logs of this process to standard error, one line per event.

    :param level: lowest level that is logged, such as ``info``.
    :param process: process name that is added to each line.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_Formatter(process))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


class LineBudget:
    """Token bucket that limits the log lines of a process.

    A burst of rejected requests logs a line for each request, and spends
    processor time on it when the process is overloaded.  Routine lines may
    use only the upper half of the budget, so that lines that explain a
    failure are still written.

    :param lines_per_second: refill rate, and maximum burst in lines.
    """

    def __init__(self, lines_per_second: float):
        self._lines_per_second = lines_per_second
        self._available = lines_per_second
        self._refilled_at: float | None = None
        self.dropped = 0

    def acquire(self, routine: bool, now: float) -> bool:
        """Take one line from the budget, or count the line as dropped.

        :param routine: whether the line belongs to normal operation.
        :param now: current time in seconds.
        :returns: whether the line may be written.
        """
        if self._refilled_at is not None:
            refilled = (
                self._available
                + (now - self._refilled_at) * self._lines_per_second
            )
            self._available = min(refilled, self._lines_per_second)
        self._refilled_at = now
        floor = self._lines_per_second / 2.0 if routine else 0.0
        if self._available - 1.0 < floor:
            self.dropped += 1
            return False
        self._available -= 1.0
        return True

    def pop_dropped_count(self) -> int:
        """Return and reset the number of lines dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped


class BoundedHandler(logging.Handler):
    """Log handler that writes lines to a descriptor without blocking.

    If the reader of a pipe stops, the pipe is full after 64 KiB, and a
    blocking write would stall every request of the process.
    """

    def __init__(self, descriptor: int, lines_per_second: float):
        super().__init__()
        self._descriptor = descriptor
        self._budget = LineBudget(lines_per_second)
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line or count it as dropped."""
        routine = getattr(record, 'routine', _is_library_info(record))
        if not self._budget.acquire(routine, record.created):
            return
        dropped = self._budget.pop_dropped_count()
        text = self.format(record)
        if dropped:
            text += f'\n{text.partition(" event=")[0]} event=lines_dropped'
            text += f' count={dropped}'
        try:
            os.write(self._descriptor, text.encode() + b'\n')
        except OSError:
            # The pipe is full or closed; the next line that can be written
            # reports the dropped ones.
            self._budget.dropped += dropped + 1


def setup_bounded(process: str, lines_per_second: float) -> None:
    """Send all logs to standard output without blocking.

    :param process: process name that is added to each line.
    """
    handler = BoundedHandler(sys.stdout.fileno(), lines_per_second)
    handler.setFormatter(_Formatter(process))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)


class _Formatter(logging.Formatter):
    """Formatter that adds time, level and process to each line.

    Messages that aren't events, such as those of libraries, become ``log``
    events.
    """

    def __init__(self, process: str):
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        text = record.getMessage()
        if not text.startswith('event='):
            message = text[:MAX_MESSAGE_CHARACTERS]
            text = line('log', [('logger', record.name), ('message', message)])
        if record.exc_info and record.exc_info[1] is not None:
            exc = record.exc_info[1]
            text += f' error={_quote(f"{type(exc).__name__}: {exc}")}'
        level = record.levelname.lower()
        return (
            f'time={record.created:.6f} level={level} '
            f'process={_quote(self._process)} {text}'
        )


def _is_library_info(record: logging.LogRecord) -> bool:
    """Return whether a library tells of a client's faulty request.

    A crowd of them would leave no room for the lines that explain a failure.
    """
    of_library = not record.name.startswith('agatepick')
    return of_library and record.levelno <= logging.INFO


def _quote(value: str) -> str:
    if value and _UNQUOTED_CHARACTERS.issuperset(value):
        return value
    return json.dumps(value)


def logger(name: str) -> logging.Logger:
    """Return the logger of a module."""
    return logging.getLogger(name)


def info(log: logging.Logger, name: str, **fields: object) -> None:
    """Log one event of normal operation."""
    event(log, logging.INFO, name, **fields)


def warning(log: logging.Logger, name: str, **fields: object) -> None:
    """Log one event that an operator may have to investigate."""
    event(log, logging.WARNING, name, **fields)
