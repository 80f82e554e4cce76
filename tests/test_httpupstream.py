import asyncio

import pytest
import tornado.httpserver
import tornado.netutil

from agatepick.agentside import announce
from agatepick.agentside import httpupstream
from agatepick.agentside import upstream
from agatepick.conf import settings
from agatepick.net import clocks
from agatepick.standins import standin_upstream
from agatepick import types
from tests import agents
from tests import test_standin_upstream


class AgentAndWorker:
    """An agent's HTTP side and a stand-in worker that announces to it."""

    def __init__(self):
        self.events = test_standin_upstream.Events()
        self.clock = clocks.ProcessClock.start()
        self.upstream = httpupstream.HttpUpstream(self.events.feed, self.clock)
        self.agent = announce.build_server(
            self.events.feed, settings.Upstreams('127.0.0.1:0')
        )
        socks = tornado.netutil.bind_sockets(0, '127.0.0.1')
        self.agent.add_sockets(socks)
        self.worker = standin_upstream.HttpWorker(
            standin_upstream.StandIn(),
            f'http://127.0.0.1:{socks[0].getsockname()[1]}',
            agents.announced(),
        )

    def task(self, index=0, payload=b'{"seconds": 0.001}', permit=60.0):
        """Return an order for a task.

        :param permit: seconds until its permit ends.
        """
        url = self.worker.announced.url
        until = self.clock.now() + permit
        return upstream.RunTask(
            'j', index, 1, 'k', payload, types.Needs(), 0.0, url, 's', until
        )

    async def wait_for_ends(self, count=1):
        """Return state and reason of the ended tasks, at least ``count``."""
        kind = upstream.TaskEnded
        async with asyncio.timeout(10):
            while True:
                ended = [one for one in self.events if isinstance(one, kind)]
                if len(ended) >= count:
                    return [(one.state.value, one.reason) for one in ended]
                await self.events.wait_for_count(len(self.events) + 1)


def play(scenario):
    async def main():
        pair = AgentAndWorker()
        await pair.worker.start()
        await pair.events.wait_for_count(1)
        try:
            await scenario(pair)
        finally:
            pair.upstream.close()
            await pair.worker.stop()
            pair.agent.stop()
            await pair.agent.close_all_connections()

    asyncio.run(main())


def test_a_worker_announces_itself_runs_tasks_and_leaves_over_http():
    async def scenario(pair):
        assert pair.events[0].url == pair.worker.announced.url
        pair.upstream.run(pair.task())
        assert await pair.wait_for_ends() == [('finished', '')]
        assert pair.events[-1].body == b'{"job":"j","index":0}'
        assert pair.worker.worker.starts == {('j', 0): 1}
        pair.upstream.run(pair.task(1, b'{"fail": true}'))
        assert (await pair.wait_for_ends(2))[1] == ('failed', 'standin_fault')
        await pair.worker.leave()
        assert pair.events[-1] == upstream.UpstreamLeft('s')

    play(scenario)


def test_a_task_is_stopped_over_http():
    async def scenario(pair):
        pair.upstream.run(pair.task(0, b'{"seconds": 600}'))
        async with asyncio.timeout(10):
            while not pair.worker.worker.running:
                await asyncio.sleep(0.001)
        stop = upstream.Action.STOP
        url = pair.worker.announced.url
        pair.upstream.stop(upstream.StopTask('j', 0, stop, url))
        assert await pair.wait_for_ends() == [('failed', 'stopped')]

    play(scenario)


def test_a_worker_that_dies_during_tasks_leaves_its_tasks_unknown():
    """A worker's process is killed while it runs a task.

    The task may have taken effect.  If it were reported as failed or sent
    again, a quote would be filed twice.
    """

    async def scenario(pair):
        pair.upstream.run(pair.task(0, b'{"seconds": 600}'))
        async with asyncio.timeout(10):
            while not pair.worker.worker.running:
                await asyncio.sleep(0.001)
        await pair.worker.stop()
        assert await pair.wait_for_ends() == [('lost', 'no_answer')]
        pair.upstream.run(pair.task(1))
        assert (await pair.wait_for_ends(2))[1] == ('lost', 'no_answer')
        assert upstream.UpstreamGone('s') in pair.events

    play(scenario)


@pytest.mark.parametrize('permit', [-1.0, 0.0, float('nan')])
def test_a_task_is_not_sent_after_its_permit_has_ended(permit):
    """The agent's machine freezes between the decision and the sending.

    Operators have taken the zone out by then, and the task would start in it.
    """

    async def scenario(pair):
        pair.upstream.run(pair.task(permit=permit))
        assert await pair.wait_for_ends() == [('refused', 'start_too_late')]
        assert pair.worker.worker.starts == {}

    play(scenario)


def test_an_answer_that_is_no_json_is_a_failure():
    """A proxy in front of an upstream answers with an HTML page.

    If the page were copied into a job's answer, the answer would be invalid
    JSON.
    """

    async def scenario(pair):
        handlers = [('/tasks', _Page)]
        app = tornado.web.Application(handlers, log_function=lambda _: None)
        server = tornado.httpserver.HTTPServer(app)
        socks = tornado.netutil.bind_sockets(0, '127.0.0.1')
        server.add_sockets(socks)
        url = f'http://127.0.0.1:{socks[0].getsockname()[1]}'
        pair.worker.announced = upstream.Announced(
            's', ('k',), 1, types.Needs(), url, 5.0
        )
        pair.upstream.run(pair.task())
        assert await pair.wait_for_ends() == [('failed', 'answer_not_json')]
        server.stop()

    play(scenario)


class _Page(tornado.web.RequestHandler):
    def post(self):
        self.finish('<html>')
