"""What an agent keeps of its worker for its own next life."""

import asyncio
import random

import pytest

from agatepick.net import clocks
from agatepick.platform import kept
from agatepick.platform import rows
from agatepick.platform import worker
from agatepick.repeatable import workerapi
from agatepick import types
from tests import platform_standins

KEY = '10.0.0.1:8080'


def seen(standin, name=None):
    """What an agent was told of the stand-in."""
    return workerapi.WorkerSeen(
        life=worker.life_of(name or standin.name, standin.born),
        born=standin.born,
        sequence=4,
        pool='pool',
        capacity=types.Needs(64.0, 262144, 0),
        labels=('a', 'r1-1'),
        draining=False,
        address=standin.address,
    )


class Lives:
    """A store, a worker, and one life of its agent after the other."""

    def __init__(self):
        self.store = platform_standins.Store()
        self.worker = platform_standins.Worker()

    async def keep(self, found):
        """One life keeps what it was told of its worker."""
        client = rows.RowStore(self.store.address)
        known = kept.Kept(client, KEY, random.Random(1))
        known.keep(workerapi.KeepWorker(found))
        work = asyncio.get_running_loop().create_task(known.write_on())
        async with asyncio.timeout(10):
            while '/v1/rows-tx' not in self.store.calls:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.02)
        work.cancel()
        await client.close()

    async def recall(self):
        """What the next life is told of its worker at its start."""
        fed = []
        client = rows.RowStore(self.store.address)
        known = kept.Kept(client, KEY, random.Random(2))
        orders = worker.WorkerClient(
            self.worker.address, clocks.ProcessClock.start(), fed.append
        )
        await known.recall(orders, fed.append)
        await client.close()
        await orders.close()
        return fed


@pytest.fixture(autouse=True)
def patient(monkeypatch):
    # A busy machine's answers may take longer than the platform's.
    monkeypatch.setattr(worker, 'ORDER_SECONDS', 30.0)
    monkeypatch.setattr(kept, 'GIVE_UP_SECONDS', 0.2)


def test_an_agent_s_next_life_knows_its_worker_before_it_announces_itself():
    """An agent is killed and started again; its worker lives on.

    The worker's next announcement may be 1.5 s away, and callers would be
    turned away until then.
    """

    async def main():
        lives = Lives()
        await lives.keep(seen(lives.worker))
        (found,) = await lives.recall()
        assert found.life == seen(lives.worker).life
        assert found.pool == 'pool'
        assert found.capacity == types.Needs(64.0, 262144, 0)
        assert found.labels == ('a', 'r1-1')
        assert found.sequence < lives.worker.beat(1)['sequence']

    asyncio.run(main())


def test_a_worker_that_was_born_again_is_recalled_as_its_new_life():
    """Agent and worker lost their power, and both are back."""

    async def main():
        lives = Lives()
        before = seen(lives.worker)
        await lives.keep(before)
        lives.worker.born += 5_000
        (found,) = await lives.recall()
        assert found.born == before.born + 5_000
        assert found.life != before.life

    asyncio.run(main())


def test_another_worker_at_the_same_address_is_not_taken_for_the_kept_one():
    """The worker was replaced by one with another id while the agent was away.

    It may be of another kind or pool, so nothing is started there until it
    has announced itself.
    """

    async def main():
        lives = Lives()
        await lives.keep(seen(lives.worker, 'i-of-before'))
        assert await lives.recall() == []

    asyncio.run(main())


def test_a_worker_that_left_is_forgotten():
    async def main():
        lives = Lives()
        await lives.keep(seen(lives.worker))
        lives.store.calls.clear()
        await lives.keep(None)
        assert await lives.recall() == []

    asyncio.run(main())


def test_a_store_that_is_away_holds_up_nothing():
    """The agent is back before the store, and waits for an announcement."""

    async def main():
        lives = Lives()
        await lives.keep(seen(lives.worker))
        lives.store.mode = 'busy'
        assert await lives.recall() == []

    asyncio.run(main())


def test_a_row_that_cannot_be_read_names_no_worker(caplog):
    async def main():
        lives = Lives()
        lives.store.put(kept.TABLE, KEY, b'{"name": 7}')
        assert await lives.recall() == []
        assert 'kept_unreadable' in caplog.text

    asyncio.run(main())
