"""Announcements of other writers at an agent, beside its worker's own."""

import asyncio
import itertools

import aiohttp
import pytest

from agatepick.repeatable import leases
from tests import platform_standins
from tests import test_platform

KEYS = itertools.count(1)
PING_PAUSE_SECONDS = 0.2
SLOW_SECONDS = 0.05
"""Time that an order may take from its decision to the worker."""


class Worker(platform_standins.Worker):
    """A worker that records how far ahead its leases were extended.

    :ivar extensions: seconds by which each order would extend the lease.
    """

    def __init__(self):
        super().__init__(run_seconds=0.3)
        self.extensions = []

    def extend_lease(self, until):
        self.extensions.append((until - self.clock_ms()) / 1000.0)
        super().extend_lease(until)


class Programs(test_platform.Programs):
    """An entry and an agent, and another writer who pings the agent."""

    def __init__(self, tmp_path):
        super().__init__(tmp_path)
        self.worker.server.stop()
        self.worker = Worker()
        self.store.put('op', 'config', test_platform.DESIRED)

    async def ping(self, session, name, body):
        """Send an announcement and return the status of its answer."""
        url = f'http://127.0.0.1:{self.ports[2]}/v1/instances/{name}/heartbeat'
        async with asyncio.timeout(30):
            while True:
                try:
                    async with session.post(url, json=body) as answer:
                        return answer.status
                except aiohttp.ClientError:
                    await asyncio.sleep(0.05)

    async def ping_foreign(self, session, ahead=0.0, name='i-5d2f77aa', **now):
        """Announce another worker, whose clock is some seconds ahead."""
        fields = {'sequence': 1, **now}
        body = self.worker.make_heartbeat(service='zuqa77x', **fields)
        body['clock_ms'] += int(ahead * 1000)
        return await self.ping(session, name, body)

    async def announce_forever(self, session):
        for sequence in itertools.count(2):
            body = self.worker.make_heartbeat(sequence)
            await self.ping(session, self.worker.name, body)
            await asyncio.sleep(PING_PAUSE_SECONDS)

    async def submit(self, session, **headers):
        path = f'/dates/{next(KEYS):016x}'
        return await self.post(session, path, test_platform.JOB, **headers)


def play(tmp_path, action):
    """Run an action with both programs once they are ready."""

    async def main():
        programs = Programs(tmp_path)
        try:
            programs.start('entry')
            programs.start('agent')
            async with aiohttp.ClientSession() as session:
                await asyncio.wait_for(action(programs, session), 20.0)
        finally:
            programs.stop()

    test_platform.run(main)


async def check_service(programs, session):
    """Check that a job completes, and how long its runs' leases are."""
    pings = asyncio.create_task(programs.announce_forever(session))
    await programs.wait_ready(session)
    await asyncio.sleep(2 * PING_PAUSE_SECONDS)
    status, body = await programs.submit(session)
    pings.cancel()
    assert (status, body) == (200, {'state': 'completed'})
    assert max(programs.worker.extensions) <= leases.WORKER_LEASE_SECONDS
    late = leases.WORKER_LEASE_SECONDS - SLOW_SECONDS
    assert max(programs.worker.extensions) >= late


@pytest.mark.parametrize('ahead', [0.4, 1.0, 2.4, -5.0, -3_600.0])
def test_a_foreign_clock_changes_no_lease(tmp_path, ahead):
    """Another writer's clock makes leases too long, or each start late."""

    async def action(programs, session):
        await programs.announce(session)
        born = programs.worker.born + 1000
        await programs.ping_foreign(session, ahead, born=born)
        await check_service(programs, session)

    play(tmp_path, action)


def test_a_foreign_clock_before_the_worker_s_own(tmp_path):
    """Another writer's announcement comes before the worker's first."""

    async def action(programs, session):
        born = programs.worker.born + 1000
        await programs.ping_foreign(session, -5.0, born=born)
        await check_service(programs, session)

    play(tmp_path, action)


RUN_SECONDS = 0.6


@pytest.mark.parametrize(
    'now',
    [
        {},
        {'name': 'i-7f3a91c2', 'born': 1_800_000_000_000},
        {'name': 'i-7f3a91c2', 'sequence': 1_000_000},
        {'born': 1_600_000_000_000},
    ],
)
def test_foreign_announcements_end_no_runs(tmp_path, now):
    """Another writer's announcements, each 0.2 s, stop the worker's runs."""

    async def action(programs, session):
        await programs.announce(session)
        pings = asyncio.create_task(programs.announce_forever(session))
        await programs.wait_ready(session)
        programs.worker.run_seconds = RUN_SECONDS
        job = asyncio.create_task(programs.submit(session))
        while not job.done():
            await programs.ping_foreign(session, **now)
            await asyncio.sleep(0.2)
        pings.cancel()
        assert await job == (200, {'state': 'completed'})
        names = {name for name, body in programs.worker.requests}
        assert names == {'hold', 'run-start'}

    play(tmp_path, action)


def test_a_worker_that_takes_another_s_place_is_used(tmp_path):
    """Its announcement comes before the agent knows what has happened."""

    async def action(programs, session):
        await programs.announce(session)
        await programs.wait_ready(session)
        programs.worker.born += 60_000
        programs.worker.name = 'i-00000002'
        programs.worker.fencing_token = 0
        await check_service(programs, session)

    play(tmp_path, action)


@pytest.mark.parametrize('guards', [True, False])
def test_a_restarted_agent_uses_what_it_stored_of_a_guarding_worker(
    tmp_path, guards
):
    """Its orders' epoch is the worker's birth, by which it asks again."""

    async def action(programs, session):
        services = [{'name': 'pool', 'rejects_overload': guards}]
        state = {**test_platform.DESIRED, 'services': services}
        programs.store.put('op', 'config', state)
        await programs.announce(session)
        await programs.wait_ready(session)
        assert await programs.submit(session) == (200, {'state': 'completed'})
        assert programs.worker.fencing_token == programs.worker.born
        programs.processes[-1].kill()
        programs.processes[-1].wait()
        programs.start('agent')
        await asyncio.sleep(2.0)
        status, _ = await programs.submit(session, **{'X-Deadline-Ms': '2000'})
        assert (status == 200) is guards

    play(tmp_path, action)
