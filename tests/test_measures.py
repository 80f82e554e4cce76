from agatepick import core
from agatepick.repeatable import measures


def test_notes_are_counted_by_event_and_reason():
    found = measures.Measures()
    for _ in range(3):
        found.noted(core.note('job_refused', job='x', reason='overloaded'))
    text = found.text().decode()
    line = 'agatepick_events_total{event="job_refused",reason="overloaded"} 3'
    assert line in text


def test_answers_go_into_a_histogram_by_verdict():
    found = measures.Measures()
    ended = core.note('job_ended', verdict='complete', seconds='0.250')
    found.noted(ended)
    text = found.text().decode()
    assert 'agatepick_job_seconds_count{verdict="complete"} 1.0' in text
    assert 'le="0.2",verdict="complete"} 0.0' in text


def test_reasons_never_grow_without_bound():
    """A reason with a free text would make a series for each request."""
    found = measures.Measures()
    for number in range(1000):
        found.noted(core.note('job_refused', reason=f'r{number}'))
    lines = found.text().decode().count('agatepick_events_total{')
    assert lines <= measures.MAX_REASONS + 1
