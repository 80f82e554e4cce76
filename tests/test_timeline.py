import asyncio

import pytest

from agatepick import core
from agatepick import exceptions
from agatepick.telemetry import timeline
from tests import conftest
from tests import whole


def test_an_effect_never_comes_before_its_cause():
    """An agent's clock is behind its entry's by a fifth of a second.

    Sorted by their clocks, a task would seem to start before it was sent.
    """
    entry = timeline.Timeline('entry-1', 10, conftest.FixedClock(100.2))
    agent = timeline.Timeline('agent-1', 10, conftest.FixedClock(100.0))
    entry.add(core.note('task.sent', job='j', task='a'))
    agent.hybrid.merge(entry.hybrid.stamp())
    agent.add(core.note('task.started', job='j', task='a'))
    entry.hybrid.merge(agent.hybrid.stamp())
    entry.add(core.note('task.ended', job='j', task='a'))
    parts = [agent.events(), entry.events()]
    names = [one.event for one in timeline.merge(parts)]
    assert names == ['task.sent', 'task.started', 'task.ended']


def test_one_broken_clock_does_not_move_the_others():
    """A process believes that it is a year ahead.

    The stamps of those that it talks to stay near the true time.
    """
    clock = conftest.FixedClock(100.0)
    line = timeline.Timeline('entry-1', 10, clock)
    line.hybrid.merge(int(100.0 + 365 * 86400) * timeline.MICROSECONDS)
    line.add(core.note('any'))
    assert line.events()[0].stamp == 100 * timeline.MICROSECONDS


def test_only_the_last_events_are_kept_and_told_by_subject():
    line = timeline.Timeline('entry-1', 2, conftest.FixedClock(100.0))
    for job in 'abc':
        line.add(core.note('job.ended', job=job, zone='talca'))
    assert len(line) == 2
    (line_of_c,) = line.lines(job='c', zone='talca')
    (event,) = timeline.parse(line_of_c + b'\n')
    assert event.show() == (
        '100.000000 entry-1 event=job.ended job=c zone=talca'
    )
    with pytest.raises(exceptions.BadMessage):
        timeline.parse(b'{"stamp": "x"}')


def test_a_zones_changes_are_found_by_its_name():
    line = timeline.Timeline('entry-1', 10, conftest.FixedClock(100.0))
    line.add(core.note('change_accepted', about='zone:talca'))
    line.add(core.note('change_accepted', about='preset'))
    assert len(line.events(zone='talca')) == 1
    assert line.events(zone='curico') == []


def test_the_way_of_one_task_is_told_over_all_processes():
    async def main():
        async with whole.cluster(agents=1) as cluster:
            code, answer = await cluster.call(
                cluster.entries[0], 'POST', '/v1/jobs', whole.job(3)
            )
            assert code == 200
            processes = [*cluster.entries, *cluster.agents]
            found = [
                timeline.parse(
                    b'\n'.join(one.timeline.lines(answer['job'], '1'))
                )
                for one in processes
            ]
            return [one.event for one in timeline.merge(found)]

    assert asyncio.run(main()) == [
        'task_sent',
        'task_started',
        'task_ended',
        'task_reported',
    ]
