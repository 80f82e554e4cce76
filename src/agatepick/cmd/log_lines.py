"""Events in log lines of key=value pairs."""

import dataclasses
import json
import re

_LOG_FIELD_PATTERN = re.compile(r'([A-Za-z_][\w.]*)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One event of a log.

    :param at: time of the event by the clock of the process that logged it,
        in seconds since the epoch.
    """

    at: float
    process: str
    event: str
    fields: dict[str, str]

    def show(self, start: float) -> str:
        """Return the event as a line, with its time relative to ``start``."""
        pairs = ' '.join(f'{key}={val}' for key, val in self.fields.items())
        return f'{self.at - start:+9.3f} s {self.process} {self.event} {pairs}'


def parse_line(text: str) -> Line | None:
    """Return the event in a log line; ``None`` if it isn't an event."""
    pairs = {
        key: _unquote(value) for key, value in _LOG_FIELD_PATTERN.findall(text)
    }
    try:
        at = float(pairs.pop('time'))
        process, event = pairs.pop('process'), pairs.pop('event')
    except (KeyError, ValueError):
        return None
    pairs.pop('level', None)
    return Line(at, process, event, pairs)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
