"""The driver of a reducer: what an exception leaves of the other work."""

import asyncio

import pytest

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import faults
from agatepick.repeatable import measures
from agatepick.repeatable import process
from agatepick.runtime import shell

MESSAGE = messages.Goodbye('x')


class Clock:
    def now(self):
        return 50.0


class Reducer:
    """A reducer that raises an exception for the event ``bad``."""

    def __init__(self, effects=()):
        self.effects = list(effects)
        self.handled = []

    def reduce(self, event, now):
        self.handled.append(event)
        if event == 'bad':
            raise KeyError('no such pool')
        effects, self.effects = self.effects, []
        return effects


class Notes:
    """A shell with a reducer, and the notes and messages that it let out."""

    def __init__(self, reducer, note_fault=faults.note):
        self.notes = []
        self.sent = []
        self.shell = shell.Shell(reducer, Clock(), note_fault)
        self.shell.handle(core.Note, self.notes.append)
        self.shell.handle(core.Send, self._send)

    def _send(self, effect):
        if effect.peer == 'unreachable':
            raise OverflowError('value out of range')
        self.sent.append(effect.peer)


def test_an_event_that_fails_does_not_lose_the_others():
    """A reducer raises an exception while other events are in its queue.

    Callers whose jobs were in these events would wait in vain.
    """
    reducer = Reducer()
    driver = Notes(reducer)
    reducer.effects = [core.Send('a', MESSAGE)]
    driver.shell.handle(
        core.Send,
        lambda effect: [driver.shell.feed(event) for event in ('bad', 'good')],
    )
    driver.shell.feed('first')
    assert reducer.handled == ['first', 'bad', 'good']
    (note,) = driver.notes
    fields = dict(note.fields)
    assert note.name == 'fault'
    assert fields['reason'] == 'KeyError'
    assert 'reduce' in fields['trace']


def test_a_message_that_can_not_be_sent_does_not_hold_back_the_others():
    """One of several messages can't be encoded.

    The starts behind it would be lost, although their tasks count as started;
    and the reducer must learn which message was lost.
    """
    reducer = Reducer([core.Send('unreachable', MESSAGE)])
    reducer.effects.append(core.Send('b', MESSAGE))
    driver = Notes(reducer)
    driver.shell.feed('first')
    assert driver.sent == ['b']
    assert reducer.handled == [
        'first',
        core.SendFailed('unreachable', MESSAGE, 'OverflowError'),
    ]
    assert len(driver.notes) == 1


def test_ticks_go_on_after_one_that_failed(monkeypatch):
    monkeypatch.setattr(shell, 'TICK_SECONDS', 0.001)

    class FailingReducer(Reducer):
        def reduce(self, event, now):
            self.handled.append(event)
            raise ValueError('each time')

    async def main():
        reducer = FailingReducer()
        driver = Notes(reducer)
        driver.shell.begin()
        async with asyncio.timeout(10):
            while len(reducer.handled) < 3:
                await asyncio.sleep(0.001)
        driver.shell.end()
        assert len(driver.notes) >= 2

    asyncio.run(main())


def test_without_notes_the_first_exception_is_raised_after_all_events():
    """The caller of the shell closes the connection of a message it rejects.

    The events that are queued behind it are handled all the same.
    """
    reducer = Reducer([core.Send('a', MESSAGE), core.Send('b', MESSAGE)])
    driver = Notes(reducer, note_fault=None)
    driver.shell.handle(
        core.Send,
        lambda effect: driver.shell.feed(
            'bad' if effect.peer == 'a' else 'good'
        ),
    )
    with pytest.raises(KeyError):
        driver.shell.feed('first')
    assert reducer.handled == ['first', 'bad', 'good']
    driver.shell.feed('later')
    assert reducer.handled[-1] == 'later'


def test_a_noted_fault_is_bounded():
    """An exception's text may contain a caller's whole body."""

    def fail(depth):
        if depth:
            fail(depth - 1)
        raise ValueError('x' * 100_000)

    (note,) = faults.contain('place', fail, 100)
    assert sum(len(value) for _, value in note.fields) < 2000


def test_a_fault_is_counted_by_its_class():
    counts = measures.Measures()
    counts.count_note(faults.note('place', ValueError('x'), job='j'))
    line = b'agatepick_events_total{event="fault",reason="ValueError"} 1.0'
    assert line in counts.text()


def test_a_callback_that_fails_does_not_end_its_caller(caplog):
    """An operator's rows can't be read because of a fault of our own.

    The coroutine that follows them would end, and no later state would come in
    force until the process restarts.
    """
    proc = process.Process('e', 'entry', 'z', Reducer(), 1, Clock())
    read = []

    def step(value):
        read.append(value)
        if value == 'bad':
            raise KeyError('no such field')

    guarded = proc.guard('zones', step)
    for value in ('bad', 'good'):
        guarded(value)
    assert read == ['bad', 'good']
    assert b'event="fault",reason="KeyError"' in proc.measures.text()
