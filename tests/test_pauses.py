"""What a process notes of the time in which it stood still."""

from agatepick import core
from agatepick.repeatable import pauses

NOW = 1000.0


class Reducer:
    def reduce(self, event, now):
        return [core.Exit()]


def test_a_process_that_stood_still_notes_it_once():
    """A process is suspended, and handles what came meanwhile on waking."""
    reducer = pauses.WatchedReducer(Reducer())
    assert reducer.reduce(core.Tick(), NOW) == [core.Exit()]
    assert reducer.reduce(core.Tick(), NOW + 0.25) == [core.Exit()]
    note, last = reducer.reduce(core.Tick(), NOW + 2.25)
    assert note == core.note('process_paused', seconds='2.000', kind='Tick')
    assert last == core.Exit()
    assert reducer.reduce(core.Tick(), NOW + 2.26) == [core.Exit()]


def test_a_busy_process_notes_nothing():
    """Its timer is late by as much as its period."""
    reducer = pauses.WatchedReducer(Reducer())
    for step in range(10):
        assert reducer.reduce(core.Tick(), NOW + step * 0.5) == [core.Exit()]
