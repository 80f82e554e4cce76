from agatepick import core
from agatepick import intake
from agatepick.repeatable import measures
from tests import repeatable_world


def test_notes_are_counted_by_event_and_reason():
    metrics = measures.Measures()
    for _ in range(3):
        metrics.count_note(
            core.note('job_refused', job='x', reason='overloaded')
        )
    text = metrics.text().decode()
    line = 'agatepick_events_total{event="job_refused",reason="overloaded"} 3'
    assert line in text


def test_answers_go_into_a_histogram_by_verdict():
    metrics = measures.Measures()
    ended = core.note('job_ended', verdict='complete', seconds='0.250')
    metrics.count_note(ended)
    text = metrics.text().decode()
    assert 'agatepick_job_seconds_count{verdict="complete"} 1.0' in text
    assert 'le="0.2",verdict="complete"} 0.0' in text


def test_the_number_of_reasons_is_bounded():
    """A reason with free text would create a series for each request."""
    metrics = measures.Measures()
    for number in range(1000):
        metrics.count_note(core.note('job_refused', reason=f'r{number}'))
    lines = metrics.text().decode().count('agatepick_events_total{')
    assert lines <= measures.MAX_REASONS + 1


def test_gauges_are_computed_on_each_scrape():
    """A queue grows between two scrapes; the second one must show it."""
    metrics = measures.Measures()
    waits = [0.0]
    calls = {('/v1/rows-get', '200'): 3}
    metrics.register(lambda: {'longest_wait_seconds': waits[0]}, lambda: calls)
    assert 'agatepick_longest_wait_seconds 0.0' in metrics.text().decode()
    waits[0] = 1.5
    text = metrics.text().decode()
    assert 'agatepick_longest_wait_seconds 1.5' in text
    line = 'agatepick_store_calls_total{call="/v1/rows-get",outcome="200"} 3.0'
    assert line in text


def test_reducers_export_exactly_the_documented_gauges():
    world = repeatable_world.World(entries=1, agents=1)
    world.run(1.0)
    world.submit(repeatable_world.make_job('j', 11, expected=0.3))
    world.run(0.02)
    gauges = {
        name: node.reducer.gauges(world.now)
        for name, node in world.nodes.items()
    }
    clients = intake.Intake(intake.ProcessLimits.from_config())
    exported = {*gauges['entry-0'], *gauges['agent-0'], *clients.gauges()}
    assert exported == set(measures.GAUGES)
    assert gauges['entry-0']['jobs_open'] == 1.0
    assert gauges['entry-0']['jobs_waiting'] == 1.0
    assert gauges['entry-0']['workers_usable'] == 1.0
    assert gauges['agent-0']['runs'] == 10.0
    assert gauges['agent-0']['free_cores'] == 4.0
    assert gauges['agent-0']['worker_open'] == 1.0
