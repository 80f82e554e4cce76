import pathlib
import re

from agatepick.repeatable import measures

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOG_CALL_PATTERNS = (
    r"(?:core\.note|run_note)\(\s*'(\w+)'",
    r"logs\.(?:info|warning)\(\s*LOG,\s*'(\w+)'",
)

EVENTS_WITHOUT_LOG_CALL = {
    'run_failed',
    'run_finished',
    'run_over',
    'lines_dropped',
}
"""Events with a composed name, or written without a log function."""


def test_the_page_lists_each_event_that_the_programs_log():
    """Engineers look up events of logs in the page, which lists no others."""
    logged = set(EVENTS_WITHOUT_LOG_CALL)
    for package in ('intake', 'repeatable', 'platform'):
        for path in (ROOT / 'src' / 'agatepick' / package).glob('*.py'):
            for call in LOG_CALL_PATTERNS:
                logged |= set(re.findall(call, path.read_text()))
    logged.discard('run_')
    page = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
    listed = set(re.findall(r'`(\w+)`', page.partition('## Events')[2]))
    assert listed == logged


def test_the_page_explains_each_gauge():
    page = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
    for name, meaning in measures.GAUGES.items():
        assert re.search(rf'\| `{name}` \| \w+ \| {meaning} \|', page), name
