"""Runs that go on although they should have ended."""

import typing

from agatepick import core
from agatepick.repeatable import runs

STOP_OVERDUE_SECONDS = 0.3
"""Time from the first stop of a run after which its going on is noted."""


def note_overdue(
    present: typing.Iterable[runs.Run], now: float
) -> list[object]:
    """Return a note for each run that has long been stopped, once."""
    effects: list[object] = []
    for run in present:
        if not run.first_stop_at or run.stop_overdue:
            continue
        seconds = now - run.first_stop_at
        if seconds >= STOP_OVERDUE_SECONDS:
            run.stop_overdue = True
            effects.append(_note_overdue_stop(run, seconds))
    return effects


def count_unwanted(present: typing.Iterable[runs.Run], now: float) -> int:
    """Return the number of runs that should have ended."""
    return sum(
        bool(run.first_stop_at) or run.owner.lease_until <= now
        for run in present
    )


def _note_overdue_stop(run: runs.Run, seconds: float) -> core.Note:
    answered = run.stop_acknowledged_at > 0.0
    return core.note(
        'stop_overdue',
        job=run.ref.job,
        index=run.ref.index,
        run=run.ref.run,
        peer=run.owner.name,
        reason='answered' if answered else 'unanswered',
        seconds=f'{seconds:.3f}',
        stops=run.stop_count,
    )
