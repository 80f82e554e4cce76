import io
import logging

from agatepick import core
from agatepick import logs


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
