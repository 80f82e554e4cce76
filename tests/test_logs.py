import io
import logging
import os

from agatepick import core
from agatepick.telemetry import logs


def test_each_event_is_one_line_of_pairs():
    """An upstream's reason contains line breaks and quotes.

    Logs are read line by line, so a value must not span lines.
    """
    stream = io.StringIO()
    log = logging.getLogger('agatepick.test')
    root = logging.getLogger()
    before = (root.handlers[:], root.level)
    try:
        logs.setup('info', 'entry-1', stream)
        logs.log_note(
            log, core.note('task.failed', task='a', why='x "y"\nz=1')
        )
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


def test_routine_lines_are_dropped_before_failure_lines():
    """A burst logs more lines than the budget allows.

    Routine lines are dropped first, so that the log still has the lines that
    explain failures.
    """
    budget = logs.LineBudget(100.0)
    routine = sum(budget.acquire(True, 1.0) for _ in range(200))
    failures = sum(budget.acquire(False, 1.0) for _ in range(40))
    assert routine == 50
    assert failures == 40
    assert budget.pop_dropped_count() == 150
    assert budget.acquire(True, 2.0)


def test_a_stopped_reader_does_not_block_logging():
    """The reader of standard output has stopped, and the pipe is full.

    A blocking write would stall every request of the process.
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


def test_what_clients_send_takes_up_little_of_the_log():
    """A library quotes a faulty head, of 16 KiB, in each of its lines."""
    reading, writing = os.pipe()
    handler = logs.BoundedHandler(writing, 20.0)
    handler.setFormatter(logs._Formatter('entry-1'))
    for number in range(200):
        handler.handle(make_record('tornado.general', 'x' * 16_000, number))
    handler.handle(make_record('agatepick.x', 'event=job_refused', 1))
    os.close(writing)
    with os.fdopen(reading) as file:
        lines = file.read().splitlines()
    assert max(map(len, lines)) < 500
    assert sum('tornado' in line for line in lines) <= 10
    assert any('job_refused' in line for line in lines)


def make_record(name, message, number):
    record = logging.LogRecord(
        name, logging.INFO, __file__, 1, message, None, None
    )
    record.created = 1000.0 + number / 1e6
    return record
