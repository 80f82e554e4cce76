"""Logs: one line of key=value pairs for each event.

The names of events and fields are those of the time line, so that a line
found in one is found in the other.
"""

import json
import logging
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


def noted(log: logging.Logger, note: core.Note) -> None:
    """Log an entry of the time line."""
    if log.isEnabledFor(logging.INFO):
        log.info('%s', line(note.name, note.fields))


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
