import asyncio

from agatepick.agentside import upstream
from agatepick.standins import standin_upstream
from agatepick import types
from tests import agents


def run(main):
    return asyncio.run(main())


def make_run_task(index=0, payload=b'{"seconds": 0.001}'):
    return upstream.RunTask(
        'j', index, 1, 'k', payload, types.Needs(), 0.0, '', 's'
    )


class Events(list):
    """List of received events, with a method to wait for further ones."""

    def __init__(self):
        super().__init__()
        self._changed = asyncio.Event()

    def feed(self, event):
        self.append(event)
        self._changed.set()

    async def wait_for_count(self, count):
        async with asyncio.timeout(10):
            while len(self) < count:
                self._changed.clear()
                await self._changed.wait()
        return self


def make_local_upstream(events, **faults):
    worker = standin_upstream.StandIn(standin_upstream.Faults(**faults))
    return worker, standin_upstream.LocalUpstream(
        worker, events.feed, agents.announced()
    )


def test_the_stand_in_runs_tasks_counts_starts_and_fails_on_request():
    async def main():
        events = Events()
        worker, local_upstream = make_local_upstream(events)
        local_upstream.run(make_run_task(0))
        local_upstream.run(make_run_task(0))
        local_upstream.run(make_run_task(1, b'{"fail": true}'))
        await events.wait_for_count(3)
        states = {(event.index, event.state.value) for event in events}
        assert states == {(0, 'finished'), (1, 'failed')}
        assert worker.starts == {('j', 0): 2, ('j', 1): 1}
        assert worker.max_running == 3

    run(main)


def test_the_stand_in_stops_a_task_unless_it_ignores_stops():
    async def main():
        events = Events()
        worker, local_upstream = make_local_upstream(events)
        stop = upstream.StopTask('j', 0, upstream.Action.STOP, '')
        local_upstream.run(make_run_task(0, b'{"seconds": 600}'))
        worker.faults.ignores_stop = True
        local_upstream.stop(stop)
        assert worker.running == 1
        worker.faults.ignores_stop = False
        local_upstream.stop(stop)
        assert [(event.state.value, event.reason) for event in events] == [
            ('failed', 'stopped')
        ]

    run(main)


def test_a_dead_worker_neither_ends_tasks_nor_renews():
    async def main():
        events = Events()
        worker, local_upstream = make_local_upstream(events)
        local_upstream.begin()
        local_upstream.run(make_run_task(0))
        worker.crash()
        local_upstream.run(make_run_task(1))
        await asyncio.sleep(0.01)
        assert list(events) == [agents.announced()]
        assert worker.starts == {('j', 0): 1}
        local_upstream.end()

    run(main)
