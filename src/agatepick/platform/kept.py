"""What the worker beside an agent is, kept in the store.

What goes wrong without it: after a kill or a loss of power an agent is back
within a second, and its worker lives, but announces itself only every 1.5 s.
Until then callers meet entries that can start nothing.  So each agent keeps
a row of what its worker announced, and its next life uses it as soon as the
worker itself has answered under the id that the row names.
"""

import asyncio
import random
import typing

import msgspec

from agatepick.decisions import backoff
from agatepick import exceptions
from agatepick.platform import rows
from agatepick.platform import worker
from agatepick.repeatable import workerapi
from agatepick.telemetry import logs
from agatepick import types

LOG = logs.logger(__name__)

TABLE = 'agatepick-workers'

FAILED_PAUSES = backoff.Pauses(first=0.5, most=2.0)
"""Before a row is written again.  It is needed at the next start of this
process only."""

ASK_SECONDS = 0.15
"""Pause between two questions to a worker that doesn't answer, or to the
store: a worker is given up after 0.12 s, and one order in twenty may get no
answer."""

GIVE_UP_SECONDS = 1.5
"""The worker's own announcement comes within this."""


class _Row(msgspec.Struct, frozen=True):
    """A worker as it was announced; ``name`` is its id, without its life."""

    name: str
    pool: str
    cpu: float
    mem_mb: int
    gpu: int
    labels: tuple[str, ...] = ()


class Kept:
    """The row of one agent's worker.

    :param key: the same in each life of the agent.
    """

    def __init__(
        self, store: rows.RowStore, key: str, rng: random.Random
    ) -> None:
        self._store = store
        self._key = key
        self._failed = backoff.Backoff(FAILED_PAUSES, rng)
        self._wanted: bytes | None = None
        self._changed = asyncio.Event()

    def keep(self, effect: workerapi.KeepWorker) -> None:
        """Carry out the agent's effect; :meth:`write_on` writes the row."""
        found = effect.worker
        self._wanted = None if found is None else _encode(found)
        self._changed.set()

    async def write_on(self) -> None:
        """Write the newest that is to be kept, for ever."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            try:
                await self._write(self._wanted)
            except exceptions.StoreError as exc:
                logs.warning(LOG, 'worker_not_kept', reason=exc.show())
                self._changed.set()
                await asyncio.sleep(self._failed.failed())
            else:
                self._failed.succeeded()

    async def recall(
        self,
        client: worker.WorkerClient,
        feed: typing.Callable[[object], None],
    ) -> None:
        """Tell the agent what its worker is, if that answers.

        The row alone proves nothing: the worker may be gone, or another one
        may live at its address, which answers to its own id only.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + GIVE_UP_SECONDS
        found = await self._read_until(end)
        while found is not None and loop.time() < end:
            born = await client.born(found.name)
            if born:
                feed(_seen(found, born, client.address))
                return
            await asyncio.sleep(ASK_SECONDS)

    async def _read_until(self, end: float) -> _Row | None:
        loop = asyncio.get_running_loop()
        patience = rows.Patience()
        while loop.time() < end:
            try:
                return await self._read(patience.seconds)
            except exceptions.StoreError as exc:
                logs.info(LOG, 'worker_not_recalled', reason=exc.show())
                patience.failed()
                await asyncio.sleep(ASK_SECONDS)
        return None

    async def _write(self, value: bytes | None) -> None:
        if value is None:
            await self._store.remove(TABLE, self._key)
        else:
            await self._store.write(TABLE, self._key, value)

    async def _read(self, seconds: float) -> _Row | None:
        value = await self._store.read_row(TABLE, self._key, seconds)
        if value is None:
            return None
        try:
            return msgspec.json.decode(value, type=_Row)
        except msgspec.MsgspecError as exc:
            logs.warning(LOG, 'kept_unreadable', key=self._key, reason=exc)
            return None


def _encode(seen: workerapi.WorkerSeen) -> bytes:
    return msgspec.json.encode(
        _Row(
            worker.id_of(seen.life),
            seen.pool,
            seen.capacity.cpu,
            seen.capacity.memory_mb,
            seen.capacity.accelerators,
            seen.labels,
        )
    )


def _seen(found: _Row, born: int, address: str) -> workerapi.WorkerSeen:
    return workerapi.WorkerSeen(
        life=worker.life_of(found.name, born),
        born=born,
        sequence=workerapi.NOT_ANNOUNCED,
        pool=found.pool,
        capacity=types.Needs(found.cpu, found.mem_mb, found.gpu),
        labels=found.labels,
        draining=False,
        address=address,
    )
