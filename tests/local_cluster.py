"""Complete clusters in one event loop, with real sockets, for tests."""

import asyncio
import contextlib
import json
import random

from tornado import httpclient

from agatepick.agentside import upstream
from agatepick.conf import settings
from agatepick.net import clocks
from agatepick.runtime import processes
from agatepick.standins import standin_table
from agatepick.standins import standin_upstream
from agatepick import types

ANY_PORT = '127.0.0.1:0'
PLAIN = settings.Tls(enabled=False)
# With a shorter fence, leases expire whenever the machine is busy.
TIMING = settings.Timing(
    fence_seconds=3.0, margin_seconds=0.1, heartbeat_seconds=0.2
)
TIMEOUT_SECONDS = 30.0


class LocalCluster:
    """Cluster of a table service, entries and agents with stand-ins."""

    def __init__(self, table: standin_table.TableServer):
        self.table = table
        self.entries: list[processes.EntryProcess] = []
        self.agents: list[processes.AgentProcess] = []
        self.workers: list[standin_upstream.StandIn] = []
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=100
        )

    async def add_entry(self, name: str, zone: str = 'z1'):
        cfg = settings.EntrySettings(
            process=settings.Process(name, zone),
            http=settings.Http(ANY_PORT),
            peers=settings.Peers(ANY_PORT),
            store=settings.Store(f'http://{self.table.address}'),
            tokens=settings.Tokens('x' * 16),
            tls=PLAIN,
            timing=TIMING,
        )
        process = processes.EntryProcess.from_settings(cfg)
        await process.start()
        self.entries.append(process)
        return process

    async def add_agent(self, name: str, zone: str = 'z1', slots: int = 4):
        worker = standin_upstream.StandIn()
        created = []

        def make_upstream(feed):
            announced = upstream.Announced(
                f's-{name}', ('k',), slots, types.Needs(8, 999), 'x', 5.0
            )
            created.append(
                standin_upstream.LocalUpstream(worker, feed, announced)
            )
            return created[0]

        cfg = settings.AgentSettings(
            process=settings.Process(name, zone, f'rack-{name}'),
            entries=settings.Entries((self.entries[0].member.address,)),
            upstream=settings.Upstreams(ANY_PORT),
            tls=PLAIN,
            timing=TIMING,
        )
        dependencies = processes.Dependencies(
            clocks.ProcessClock.start(),
            random.Random(name),
            make_upstream=make_upstream,
        )
        process = processes.AgentProcess.from_settings(cfg, dependencies)
        await process.start()
        created[0].begin()
        self.agents.append(process)
        self.workers.append(worker)
        return process

    async def settle(self) -> None:
        """Wait until every entry is ready and has the slots of all agents."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not all(map(self._is_settled, self.entries)):
                await asyncio.sleep(0.02)

    def _is_settled(self, process) -> bool:
        now = process.dependencies.clock.now()
        status = process.entry.status(now)
        listed = len(status.configuration.entries) == len(self.entries)
        all_agents = len(status.agents) == len(self.agents)
        leased = status.configuration.lease_seconds > 0
        serves = status.ready and leased and status.dispatch.slots
        return serves and listed and all_agents

    def list_entries(self, process):
        """Return the entries listed in the configuration in force."""
        now = process.dependencies.clock.now()
        return process.entry.configuration.in_force(now).listed()

    async def call(self, process, method, path, body=None, **headers):
        """Send an HTTP request and return its status and JSON."""
        resp = await self._client.fetch(
            f'http://{process.http_address}{path}',
            method=method,
            headers=headers,
            body=None if body is None else json.dumps(body),
            request_timeout=TIMEOUT_SECONDS,
            raise_error=False,
        )
        return resp.code, json.loads(resp.body or b'null')

    def count_starts(self) -> int:
        """Return the number of starts counted by the workers."""
        return sum(sum(worker.starts.values()) for worker in self.workers)

    def kill(self) -> None:
        for process in [*self.entries, *self.agents]:
            process.kill()


@contextlib.asynccontextmanager
async def cluster(entries: int = 2, agents: int = 2, zones=('z1',)):
    local_cluster = LocalCluster(await standin_table.TableServer.start())
    for index in range(entries):
        await local_cluster.add_entry(f'e{index}')
    for index in range(agents):
        await local_cluster.add_agent(f'a{index}', zones[index % len(zones)])
    try:
        await local_cluster.settle()
        yield local_cluster
    finally:
        local_cluster.kill()
        await local_cluster.table.stop()


def make_job_body(tasks: int, seconds: float = 0.01, **fields):
    """Return the body of a job with identical tasks."""
    payload = {'seconds': seconds}
    task_bodies = [
        {'id': f't{i}', 'kind': 'k', 'payload': payload} for i in range(tasks)
    ]
    return {
        'team': 'team',
        'tasks': task_bodies,
        'timeout_seconds': 20,
        **fields,
    }
