"""Jobs whose callers leave and submit them again at another entry.

Callers submit a job again 1.3 s after they lost its answer.  From then on the
entry that they left must start none of its tasks, as the other entry runs
them.
"""

import asyncio
import contextlib
import dataclasses
import json
import random
import threading
import time

import pytest
from tornado import httpserver
from tornado import netutil

from agatepick.platform import ingress
from agatepick.platform import worker
from agatepick.repeatable import agent
from agatepick.repeatable import entry
from agatepick.repeatable import events
from agatepick.repeatable import process
from agatepick.repeatable import routes
from agatepick.repeatable import workerapi
from agatepick import types
from tests import platform_standins

RESEND_SECONDS = 1.3
FREEZE_SECONDS = RESEND_SECONDS + 0.05
AGENTS = 3
SETTLE_SECONDS = 0.4
"""Time after a freeze for the starts that it delayed."""

JOBS = 6
PATIENT_LINKS = dataclasses.replace(process.TIMEOUTS, silence_seconds=1.6)
"""Links whose silence is noticed at the latest instant of the usual ones."""

ROUTE = routes.Route('dates', 'clubs.example', '/dates/', 'pool')


class Entry:
    """An entry whose event loop has its own thread, so that it can freeze."""

    def __init__(self):
        self.front, ready, peers = platform_standins.find_free_ports(3)
        self.address = f'127.0.0.1:{peers}'
        self.loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def start(self):
        self._thread.start()
        self._started.wait()

    def stop(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()

    def freeze(self, seconds):
        """Let the process stand still in the middle of its work."""
        self.loop.call_soon_threadsafe(time.sleep, seconds)

    def _run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.call_soon(self._begin)
        self.loop.run_forever()
        pending = asyncio.all_tasks(self.loop)
        for task in pending:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*pending, return_exceptions=True)
        )
        self.loop.close()

    def _begin(self):
        cfg = entry.EntryConfig('entry', 'talca')
        reducer = entry.Entry.from_config(cfg, random.Random(1))
        proc = make_process('entry', reducer)
        front = ingress.Front(reducer, proc.feed, proc.clock)
        proc.register_handler(events.Reply, front.reply)
        proc.listen(self.address)
        server = httpserver.HTTPServer(ingress.make_application(front))
        server.add_sockets(netutil.bind_sockets(self.front, '127.0.0.1'))
        proc.begin()
        proc.feed(events.RoutesRead(routes.RouteTable(1, (ROUTE,))))
        self._started.set()


class Worker(platform_standins.Worker):
    """A worker that records when its runs start."""

    def __init__(self, number):
        super().__init__(run_seconds=60.0)
        self.name = f'w-{number}'
        self.starts = []

    def start_run(self, task, run):
        self.starts.append((asyncio.get_running_loop().time(), task, run))
        super().start_run(task, run)


def make_process(name, reducer):
    return process.Process(
        name,
        name.partition('-')[0],
        'talca',
        reducer,
        process.new_incarnation(),
        process.new_clock(),
    )


def start_agent(number, beside, address):
    """Start an agent that serves one entry, and return its process."""
    cfg = agent.AgentConfig(f'agent-{number}', 'talca')
    proc = make_process(cfg.name, agent.Agent.from_config(cfg, number))
    client = worker.WorkerClient(beside.address, proc.clock, proc.feed)
    proc.register_handler(workerapi.StartRun, client.start)
    proc.register_handler(workerapi.StopRun, client.stop)
    proc.register_handler(workerapi.RequestLists, client.request_lists)
    proc.register_handler(workerapi.IdentifyWorker, client.identify)
    proc.register_handler(workerapi.PersistWorker, lambda effect: None)
    proc.begin()
    proc.feed(events.PoolsNamed(frozenset(('pool',))))
    proc.feed(events.ZonesClosed(frozenset()))
    proc.feed(events.EntriesListed((events.ListedEntry('entry', address),)))
    proc.feed(
        workerapi.WorkerAnnounced(
            worker.make_incarnation(beside.name, beside.born),
            beside.born,
            1,
            'pool',
            types.Needs(64.0, 262144),
            (),
            False,
            beside.address,
        )
    )
    return proc


@contextlib.asynccontextmanager
async def run_system():
    """Run an entry and some agents."""
    owner = Entry()
    owner.start()
    workers = [Worker(number) for number in range(AGENTS)]
    agents = [
        start_agent(number, beside, owner.address)
        for number, beside in enumerate(workers)
    ]
    await asyncio.sleep(SETTLE_SECONDS)
    try:
        yield owner, workers
    finally:
        for proc in agents:
            proc.shell.end()
            proc.links.end()
        owner.stop()
        for beside in workers:
            beside.server.stop()


async def submit(owner, number, following=b'', port=None):
    """Submit a job of one task and return the writer of its connection.

    :param following: bytes that the caller sends after its request.
    :param port: port to connect to; by default the entry's own.
    """
    _, writer = await asyncio.open_connection('127.0.0.1', port or owner.front)
    step = {'count': 1, 'cpu': 1000, 'mem_mb': 64, 'estimated_ms': 1000}
    job = {'best_effort': True, 'spec': 'x', 'steps': [step]}
    body = json.dumps(job).encode()
    head = (
        f'POST /dates/{number:016x} HTTP/1.1\r\nHost: clubs.example\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body + following)
    await writer.drain()
    return writer


async def freeze_while_callers_leave(owner, submitted):
    """Freeze an entry beyond its callers' pause; return when that ends."""
    owner.freeze(FREEZE_SECONDS)
    resent_at = asyncio.get_running_loop().time() + RESEND_SECONDS
    await asyncio.sleep(0.01)
    for writer in submitted:
        writer.transport.abort()
    await asyncio.sleep(FREEZE_SECONDS + SETTLE_SECONDS)
    return resent_at


def find_starts(workers, since):
    return [
        start
        for beside in workers
        for start in beside.starts
        if start[0] >= since
    ]


def test_a_woken_entry_starts_no_task_again_whose_caller_left(monkeypatch):
    """On waking, reports of lapsed runs were handled before the callers."""
    monkeypatch.setattr(process, 'TIMEOUTS', PATIENT_LINKS)

    async def main():
        async with run_system() as (owner, workers):
            submitted = [await submit(owner, number) for number in range(JOBS)]
            await asyncio.sleep(SETTLE_SECONDS)
            assert len(find_starts(workers, 0.0)) == JOBS
            resent_at = await freeze_while_callers_leave(owner, submitted)
            assert find_starts(workers, resent_at) == []

    asyncio.run(main())


@pytest.mark.parametrize(
    'following',
    [b'\r\n', b'GET /dates/ HTTP/1.1\r\nHost: clubs.example\r\n\r\n'],
)
def test_the_runs_of_a_caller_that_sent_more_end_when_it_leaves(following):
    """The end of a connection with unread bytes wasn't noticed."""

    async def main():
        async with run_system() as (owner, workers):
            writer = await submit(owner, 1, following)
            await asyncio.sleep(SETTLE_SECONDS)
            assert len(find_starts(workers, 0.0)) == 1
            writer.transport.abort()
            await asyncio.sleep(RESEND_SECONDS)
            assert [beside.runs for beside in workers if beside.runs] == []

    asyncio.run(main())


async def serve_one_way_end(owner):
    """Serve a proxy that doesn't pass on the end of a caller's connection.

    It keeps the entry's side open, whose probes its system answers.
    """

    async def forward(reader, writer):
        _, onward = await asyncio.open_connection('127.0.0.1', owner.front)
        while data := await reader.read(65536):
            onward.write(data)
        writer.transport.abort()
        await asyncio.sleep(60.0)

    return await asyncio.start_server(forward, '127.0.0.1', 0)


def test_the_runs_of_a_caller_whose_end_reaches_only_itself_are_over():
    """Something on the path ends the caller's side and keeps the entry's."""

    async def main():
        async with run_system() as (owner, workers):
            proxy = await serve_one_way_end(owner)
            port = proxy.sockets[0].getsockname()[1]
            writer = await submit(owner, 1, port=port)
            await asyncio.sleep(SETTLE_SECONDS)
            assert len(find_starts(workers, 0.0)) == 1
            writer.transport.abort()
            await asyncio.sleep(RESEND_SECONDS)
            proxy.close()
            assert [beside.runs for beside in workers if beside.runs] == []

    asyncio.run(main())
