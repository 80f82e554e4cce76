"""The stored record of an agent's worker, used by its next incarnation."""

import asyncio
import json
import random

import pytest

from agatepick.net import clocks
from agatepick.platform import rows
from agatepick.platform import worker
from agatepick.platform import worker_record
from agatepick.repeatable import workerapi
from agatepick import types
from tests import platform_standins

KEY = '10.0.0.1:8080'


def make_announcement(standin, name=None):
    """Return the event for an announcement of the stand-in."""
    return workerapi.WorkerAnnounced(
        incarnation=worker.make_incarnation(
            name or standin.name, standin.born
        ),
        born=standin.born,
        sequence=4,
        pool='pool',
        capacity=types.Needs(64.0, 262144, 0),
        labels=('a', 'r1-1'),
        draining=False,
        address=standin.address,
    )


class Incarnations:
    """A store, a worker, and consecutive incarnations of its agent."""

    def __init__(self):
        self.store = platform_standins.Store()
        self.worker = platform_standins.Worker()

    async def store_worker(self, announced, slowness=0.0):
        """Store a worker as one incarnation of the agent does."""
        client = rows.RowStore(self.store.address)
        record = worker_record.WorkerRecord(client, KEY, random.Random(1))
        record.update(workerapi.PersistWorker(announced, slowness))
        work = asyncio.get_running_loop().create_task(record.write_changes())
        async with asyncio.timeout(10):
            while '/v1/rows-tx' not in self.store.calls:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.02)
        work.cancel()
        await client.close()

    async def restore(self, expected=0):
        """Return the events that the next incarnation gets at its start.

        :param expected: number of events that are waited for, up to the time
            after which the row isn't needed; with 0 it is tried for 0.2 s.
        """
        seconds = worker_record.GIVE_UP_SECONDS if expected else 0.2
        events = []
        client = rows.RowStore(self.store.address)
        record = worker_record.WorkerRecord(client, KEY, random.Random(2))
        worker_client = worker.WorkerClient(
            self.worker.address, clocks.ProcessClock.start(), events.append
        )
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(worker_record, 'GIVE_UP_SECONDS', seconds)
            await record.restore(worker_client, events.append)
        await client.close()
        await worker_client.close()
        return events


@pytest.fixture(autouse=True)
def extend_timeouts(monkeypatch):
    # Answers on a busy machine may take longer than on the platform.
    monkeypatch.setattr(worker, 'REQUEST_TIMEOUT_SECONDS', 30.0)


def test_a_restarted_agent_uses_its_worker_before_the_announcement():
    """An agent is killed and restarted while its worker continues to run.

    The worker's next announcement may be 1.5 s away, and callers would be
    refused until then.
    """

    async def main():
        agent = Incarnations()
        await agent.store_worker(make_announcement(agent.worker))
        (event,) = await agent.restore(expected=1)
        assert event.incarnation == make_announcement(agent.worker).incarnation
        assert event.pool == 'pool'
        assert event.capacity == types.Needs(64.0, 262144, 0)
        assert event.labels == ('a', 'r1-1')
        assert event.sequence < agent.worker.make_heartbeat(1)['sequence']

    asyncio.run(main())


def test_a_worker_that_was_born_since_is_not_restored():
    """Agent and worker both restart after a power failure.

    The worker may be of another kind now, so nothing may start there until it
    has announced itself.
    """

    async def main():
        agent = Incarnations()
        await agent.store_worker(make_announcement(agent.worker))
        agent.worker.born += 5_000
        assert await agent.restore() == []
        agent.worker.born -= 5_000
        (event,) = await agent.restore(expected=1)
        assert event.born == agent.worker.born

    asyncio.run(main())


def test_a_row_without_a_time_of_birth_is_ignored():
    """An earlier version wrote the row; its worker may be another one now."""

    async def main():
        agent = Incarnations()
        await agent.store_worker(make_announcement(agent.worker))
        (value, _) = agent.store.rows[worker_record.TABLE, KEY]
        row = json.loads(value)
        del row['born']
        agent.store.put(worker_record.TABLE, KEY, row)
        assert await agent.restore() == []

    asyncio.run(main())


def test_another_worker_at_the_stored_address_is_not_restored():
    """A worker is replaced by one with another id while its agent is down.

    The new one may be of another kind or pool, so nothing may start there
    until it has announced itself.
    """

    async def main():
        agent = Incarnations()
        await agent.store_worker(
            make_announcement(agent.worker, 'i-of-before')
        )
        assert await agent.restore() == []

    asyncio.run(main())


@pytest.mark.parametrize('name', [None, 'i-of-before'])
def test_the_usual_slowness_of_the_same_kind_is_restored(name):
    """An agent restarts, perhaps beside another worker than before.

    Until it had seen enough runs a sound worker of a slow kind would look
    sick; whether the worker is of that kind its announcement shows.
    """

    async def main():
        agent = Incarnations()
        stored = make_announcement(agent.worker, name)
        await agent.store_worker(stored, 1.8)
        event = (await agent.restore(expected=1))[0]
        assert event == workerapi.SlownessRecalled(
            'pool', stored.capacity, stored.labels, 1.8
        )

    asyncio.run(main())


def test_the_record_of_a_worker_that_left_is_removed():
    async def main():
        agent = Incarnations()
        await agent.store_worker(make_announcement(agent.worker))
        agent.store.calls.clear()
        await agent.store_worker(None)
        assert await agent.restore() == []

    asyncio.run(main())


def test_an_unavailable_store_does_not_delay_the_start():
    """An agent restarts while the store refuses calls.

    It must start without its stored worker and wait for an announcement.
    """

    async def main():
        agent = Incarnations()
        await agent.store_worker(make_announcement(agent.worker))
        agent.store.mode = 'busy'
        assert await agent.restore() == []

    asyncio.run(main())


def test_an_invalid_row_restores_no_worker(caplog):
    async def main():
        agent = Incarnations()
        agent.store.put(worker_record.TABLE, KEY, b'{"name": 7}')
        assert await agent.restore() == []
        assert 'kept_unreadable' in caplog.text

    asyncio.run(main())
