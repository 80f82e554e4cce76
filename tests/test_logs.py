import io
import logging
import os

from agatepick import core
from agatepick.telemetry import logs


def test_each_event_is_one_line_of_pairs():
    """An upstream's reason holds line breaks and quotes.

    A log is read by line, so a value must not break out of its own.
    """
    stream = io.StringIO()
    log = logging.getLogger('agatepick.test')
    root = logging.getLogger()
    before = (root.handlers[:], root.level)
    try:
        logs.setup('info', 'entry-1', stream)
        logs.noted(log, core.note('task.failed', task='a', why='x "y"\nz=1'))
        log.info('from a library')
        log.debug('not shown')
    finally:
        root.handlers[:], level = before
        root.setLevel(level)
    first, second = stream.getvalue().splitlines()
    assert first.endswith(
        'level=info process=entry-1 event=task.failed task=a '
        'why="x \\"y\\"\\nz=1"'
    )
    assert second.endswith(
        'event=log logger=agatepick.test message="from a library"'
    )


def test_lines_of_failures_outlive_those_of_success():
    """A burst writes more lines than the budget allows.

    What explains a failure must still be found; success is dropped first.
    """
    budget = logs.Budget(100.0)
    routine = sum(budget.takes(True, 1.0) for _ in range(200))
    failures = sum(budget.takes(False, 1.0) for _ in range(40))
    assert routine == 50
    assert failures == 40
    assert budget.take_dropped() == 150
    assert budget.takes(True, 2.0)


def test_a_reader_that_has_stopped_delays_nothing():
    """Nobody reads standard output any more, and its pipe is full.

    A write that waited would hold up every request of the process.
    """
    reading, writing = os.pipe()
    handler = logs.BoundedHandler(writing, 100_000.0)
    handler.setFormatter(logging.Formatter('%(message)s event=x'))
    record = logging.LogRecord('n', 20, 'p', 1, 'x' * 1000, None, None)
    for _ in range(200):
        handler.emit(record)
    assert len(os.read(reading, 1_000_000)) <= 65536
    handler.emit(record)
    text = os.read(reading, 1_000_000).decode()
    assert 'event=lines_dropped count=' in text
    os.close(reading)
    os.close(writing)
