"""Containment of exceptions that nobody expected.

Load pattern: one job in thousands has values with which a decision fails.  The
exception would take along all that was decided in the same event: starts that
are marked as sent, answers, and renewals of leases.  Each job, report and step
of an event is therefore handled on its own, and an exception ends only that
part.  It is noted with its traceback, and counted by its class.
"""

import traceback
import typing

from agatepick import core

REASON = 'fault'
"""Reason code of answers and refusals that an exception caused."""

MAX_FRAMES = 8
"""Number of innermost frames of a traceback that are noted."""

MAX_TRACE_CHARS = 1500
"""Length of a noted traceback: a fault of each job writes a line for each."""

MAX_ERROR_CHARS = 200
"""Length of a noted error message, which may contain a caller's text."""

Step = typing.Callable[..., list[object]]


def note(where: str, exc: Exception, **fields: object) -> core.Note:
    """Return the note of an exception, with its traceback.

    :param where: the part that it ended, from a small fixed set.
    :param fields: identifiers, such as the job's.
    """
    return core.note(
        'fault',
        where=where,
        **fields,
        reason=type(exc).__name__,
        error=str(exc)[:MAX_ERROR_CHARS],
        trace=_format_trace(exc),
    )


def note_unsent(event: core.SendFailed) -> core.Note:
    """Return the note of a message that could not be encoded."""
    return core.note(
        'send_failed',
        peer=event.peer,
        kind=type(event.message).__name__,
        reason=event.reason,
    )


def contain(where: str, step: Step, *args: typing.Any) -> list[object]:
    """Return the effects of a step, or the note of its exception.

    :param where: as for :func:`note`.
    """
    try:
        return step(*args)
    except Exception as exc:
        return [note(where, exc)]


def _format_trace(exc: Exception) -> str:
    """Return the innermost frames of a traceback as ``file:line function``."""
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_FRAMES:]
    text = ' < '.join(
        f'{frame.filename.rpartition("/")[2]}:{frame.lineno} {frame.name}'
        for frame in reversed(frames)
    )
    return text[:MAX_TRACE_CHARS]
