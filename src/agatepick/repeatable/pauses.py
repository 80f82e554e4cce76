"""Detection that a process stood still.

A process that is suspended, or whose loop is blocked, handles no event for
much longer than its timer's period.  Its view of others is older than it
seems then: what it counts as silence may be its own.
"""

from agatepick import core

PAUSE_SECONDS = 0.6
"""Time without any event that is noted.  Agents and entries have timers of
0.2 and 0.25 s, so a busy process stays below it."""


class PauseWatch:
    """Watch over the time between two events.

    :param seconds: longest time that isn't a pause.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._last_event_at: float | None = None

    def record_event(self, now: float) -> float:
        """Record that an event is handled.

        :returns: seconds for which the process stood still; 0 if it didn't.
        """
        last, self._last_event_at = self._last_event_at, now
        if last is None or now <= last + self._seconds:
            return 0.0
        return now - last


class WatchedReducer:
    """Reducer that passes events on, and notes that the process stood still.

    :param reducer: reducer that handles the events.
    """

    def __init__(self, reducer: core.Reducer) -> None:
        self._reducer = reducer
        self._pauses = PauseWatch(PAUSE_SECONDS)

    def reduce(self, event: object, now: float) -> list[object]:
        """Handle one event and return the effects to carry out, in order."""
        seconds = self._pauses.record_event(now)
        effects = self._reducer.reduce(event, now)
        if not seconds:
            return effects
        woke_by = type(event).__name__
        note = core.note(
            'process_paused', seconds=f'{seconds:.3f}', kind=woke_by
        )
        return [note, *effects]
