"""Logs: one line of key=value pairs for each event.

The names of events and fields are those of the time line, so that a line
found in one is found in the other.
"""

import json
import logging
import os
import sys
import typing

from agatepick import core

_PLAIN = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789'
    '._-:/+,@%[]<>()*~'
)


def line(name: str, fields: typing.Iterable[tuple[str, object]]) -> str:
    """``event=name key=value ...``; values that need it are quoted."""
    pairs = [('event', name), *fields]
    return ' '.join(f'{key}={_quoted(str(value))}' for key, value in pairs)


def event(
    log: logging.Logger, level: int, name: str, **fields: object
) -> None:
    """Log one event."""
    if log.isEnabledFor(level):
        log.log(level, '%s', line(name, fields.items()))


def noted(log: logging.Logger, note: core.Note, routine: bool = False) -> None:
    """Log an entry of the time line.

    :param routine: of the ordinary course, dropped first under load.
    """
    if log.isEnabledFor(logging.INFO):
        text = line(note.name, note.fields)
        log.info('%s', text, extra={'routine': routine})


def setup(level: str, process: str, stream: typing.Any = None) -> None:
    """Send all logs of this process to standard error, a line an event.

    :param level: lowest level that is shown, such as ``info``.
    :param process: name that each line carries.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_Formatter(process))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


class Budget:
    """How many lines a process may still write.

    Load pattern: a burst of refusals writes as many lines as requests come,
    and the processor time that they take is missing just then.  Lines of the
    ordinary course may take only the upper half of the budget, so that those
    that explain a failure outlive them.

    :param lines_per_second: refill; as many may come at once.
    """

    def __init__(self, lines_per_second: float):
        self._rate = lines_per_second
        self._left = lines_per_second
        self._at: float | None = None
        self.dropped = 0

    def takes(self, routine: bool, now: float) -> bool:
        """Whether a line may be written; one that may not is counted."""
        if self._at is not None:
            grown = self._left + (now - self._at) * self._rate
            self._left = min(grown, self._rate)
        self._at = now
        floor = self._rate / 2.0 if routine else 0.0
        if self._left - 1.0 < floor:
            self.dropped += 1
            return False
        self._left -= 1.0
        return True

    def take_dropped(self) -> int:
        """Lines dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor, never more than it takes at once.

    A reader that has stopped would else hold up every request: the pipe is
    full after 64 KiB, and a blocking write waits for ever.
    """

    def __init__(self, descriptor: int, lines_per_second: float):
        super().__init__()
        self._descriptor = descriptor
        self._budget = Budget(lines_per_second)
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        routine = getattr(record, 'routine', False)
        if not self._budget.takes(routine, record.created):
            return
        dropped = self._budget.take_dropped()
        text = self.format(record)
        if dropped:
            text += f'\n{text.partition(" event=")[0]} event=lines_dropped'
            text += f' count={dropped}'
        try:
            os.write(self._descriptor, text.encode() + b'\n')
        except OSError:
            # Nobody reads: there is no place left to tell it but the next
            # line that gets through.
            self._budget.dropped += dropped + 1


def setup_bounded(process: str, lines_per_second: float) -> None:
    """Send all logs to standard output without ever waiting for it.

    :param process: name that each line carries.
    """
    handler = BoundedHandler(sys.stdout.fileno(), lines_per_second)
    handler.setFormatter(_Formatter(process))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)


class _Formatter(logging.Formatter):
    """Prefixes time, level and process; foreign lines become events too."""

    def __init__(self, process: str):
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        text = record.getMessage()
        if not text.startswith('event='):
            text = line('log', [('logger', record.name), ('message', text)])
        if record.exc_info and record.exc_info[1] is not None:
            exc = record.exc_info[1]
            text += f' error={_quoted(f"{type(exc).__name__}: {exc}")}'
        level = record.levelname.lower()
        return (
            f'time={record.created:.6f} level={level} '
            f'process={_quoted(self._process)} {text}'
        )


def _quoted(value: str) -> str:
    if value and _PLAIN.issuperset(value):
        return value
    return json.dumps(value)


def logger(name: str) -> logging.Logger:
    """The logger of a module."""
    return logging.getLogger(name)


def info(log: logging.Logger, name: str, **fields: object) -> None:
    """Log one event of the ordinary course."""
    event(log, logging.INFO, name, **fields)


def warning(log: logging.Logger, name: str, **fields: object) -> None:
    """Log one event that an operator may have to look into."""
    event(log, logging.WARNING, name, **fields)
