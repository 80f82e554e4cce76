"""Fixtures shared by several test files."""

import asyncio
import dataclasses
import json
import random

import pytest
import tornado.httpclient
import tornado.netutil

from agatepick.api import callers
from agatepick.api import calls
from agatepick.api import web
from agatepick.bench import bench_arrivals
from agatepick.bench import bench_evidence
from agatepick.bench import bench_plan
from agatepick.bench import bench_violations
from agatepick.conf import settings
from agatepick.decisions import dispatch
from agatepick.net import messages
from agatepick import types

NOW = 1_700_000_000.0
OPERATOR = 'operator-token-0123'
TEAM_TOKEN = 'talca-team-token-01'


class FixedClock:
    """Clock with a time that tests set."""

    def __init__(self, now=NOW):
        self.instant = now

    def now(self):
        return self.instant


class NoTimeline:
    """Timeline that stores no events."""

    def lines(self, job='', task='', zone=''):
        return []


class Site:
    """HTTP server with a fake reducer, and a client of it."""

    def __init__(self, front, routes):
        self.front = front
        self._server = web.server(front, routes)
        socks = bind_free_port()
        self.port = socks[0].getsockname()[1]
        self._server.add_sockets(socks)
        self._client = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    @property
    def url(self):
        return f'http://127.0.0.1:{self.port}'

    async def fetch(self, method, path, body=None, **headers):
        """Return the response of any status, with its JSON as ``data``."""
        if body is not None and not isinstance(body, bytes):
            body = json.dumps(body).encode()
        names = {key.replace('_', '-'): val for key, val in headers.items()}
        response = await self._client.fetch(
            self.url + path,
            method=method,
            body=body,
            headers=names,
            raise_error=False,
            allow_nonstandard_methods=True,
        )
        response.data = json.loads(response.body) if response.body else None
        return response

    async def close(self):
        self._client.close()
        self._server.stop()
        await self._server.close_all_connections()


def bind_free_port():
    """Return sockets bound to a free loopback port."""
    return tornado.netutil.bind_sockets(0, '127.0.0.1')


def fail_on_event(event):
    """Fail the test, as a reducer that must not receive events."""
    pytest.fail(f'unexpected event: {event}')


def make_front(feed, clock, teams=None, **limits):
    """Return the handlers' dependencies, with a function as the reducer."""
    http = settings.Http(listen='127.0.0.1:0')
    return web.Front(
        name='entry-1',
        calls=calls.Calls(feed),
        clock=clock,
        limits=dataclasses.replace(http, **limits),
        tokens=settings.Tokens(operator=OPERATOR, teams=teams or {}),
        timeline=NoTimeline(),
    )


def start_site(feed):
    """Return a running HTTP server with a function as the reducer."""
    site_front = make_front(feed, FixedClock())
    return Site(site_front, callers.routes(site_front))


@pytest.fixture
def clock():
    return FixedClock()


@pytest.fixture
def front(clock):
    """Builds the handlers' dependencies, with a function as the reducer."""

    def build(feed, teams=None, **limits):
        return make_front(feed, clock, teams, **limits)

    return build


@pytest.fixture
def serve(front):
    """Runs a scenario against an HTTP server with a fake reducer.

    ``answer(event)`` returns the reply to an event, or ``None`` for no reply.
    """

    def run(answer, scenario, routes=callers.routes, **options):
        async def main():
            def feed(event):
                value = answer(event)
                if value is not None:
                    site_front.calls.reply(calls.Reply(event.call, value))

            site_front = front(feed, **options)
            site = Site(site_front, routes(site_front))
            try:
                return await scenario(site)
            finally:
                await site.close()

        return asyncio.run(main())

    return run


@pytest.fixture
def make_bench_answer():
    """Builds the answer to the bench job ``key``, which has two tasks."""

    def build(status=types.JobStatus.COMPLETE, *tasks, key='key'):
        return types.JobAnswer(key, status, tasks)

    return build


@pytest.fixture
def make_finished_task():
    """Builds the answer of a task that the upstream has run."""

    def build(index):
        task = bench_violations.make_task_id(index)
        body = bench_violations.make_expected_body('key', task)
        return types.TaskAnswer(task, types.Outcome.FINISHED, body)

    return build


@pytest.fixture
def make_bench_evidence():
    """Builds the evidence of a bench run of one job with two tasks."""
    tasks = (bench_arrivals.TaskPlan('k', 1.0, 1.0),) * 2
    job = bench_arrivals.JobPlan(0, 0.0, 'team', tasks)
    pattern = bench_plan.Pattern.STEADY
    load = bench_arrivals.Load(pattern, 1, 10.0, 0.5, (job,))
    traffic = bench_evidence.Traffic({'Starts': 1, 'Results': 1})

    def build(answer, starts=(0, 1), departures=()):
        reply = bench_evidence.Reply(0, 'key', 0.0, 2.0, answer)
        runs = tuple(
            bench_evidence.Run('key', f't{index}', 0, 'talca', 0.5, 1.5)
            for index in starts
        )
        return bench_evidence.Evidence(
            load,
            bench_plan.DEPLOYMENTS['lectores'],
            (reply,),
            runs,
            traffic,
            departures,
        )

    return build


@pytest.fixture
def make_job():
    """Builds a job of identical tasks, each declared to take ``seconds``."""
    numbers = iter(range(10**6))

    def make(team='t', tasks=1, kind='k', deadline=1e6, seconds=0.0, **more):
        needs = more.pop('needs', types.Needs())
        specs = tuple(
            types.TaskSpec(str(i), kind, b'', needs, seconds)
            for i in range(tasks)
        )
        key = f'{team}-{next(numbers)}'
        return types.JobSpec(key, team, specs, deadline, **more)

    return make


@pytest.fixture
def make_dispatch():
    """Builds a dispatcher with agents in four zones and racks of three."""

    def make(agents=10, slots=8, kinds=('k',), **settings):
        cfg = dispatch.DispatchSettings(**settings)
        dispatcher = dispatch.Dispatch.from_config(cfg, random.Random(1))
        for i in range(agents):
            info = dispatch.AgentInfo(f'a{i}', 1, f'z{i % 4}', f'r{i // 3}')
            offer = messages.Offer(
                1, slots, slots, kinds, types.Needs(64, 256000, 1), False
            )
            dispatcher.apply_offer(info, offer, 0.0)
        return dispatcher

    return make
