"""The record of an agent's worker in the store.

Without it a restart of an agent interrupts service: after a kill or a power
failure the agent is back within a second and its worker still runs, but the
worker announces itself only every 1.5 s.  Until then callers reach entries
that can start no task.  Each agent therefore stores a row with its worker's
last announcement, and its next incarnation uses the row as soon as the worker
has answered under the id in the row, with the same time of birth.  A worker
that was born since may be of another kind or pool: it is used once it has
announced itself.
"""

import asyncio
import random
import typing

import msgspec

from agatepick.decisions import backoff
from agatepick import exceptions
from agatepick.net import decoding
from agatepick.platform import quantities
from agatepick.platform import rows
from agatepick.platform import worker
from agatepick.repeatable import workerapi
from agatepick.telemetry import logs
from agatepick import types

LOG = logs.logger(__name__)

TABLE = 'agatepick-workers'

WRITE_DELAYS = backoff.BackoffDelays(first_seconds=0.5, max_seconds=2.0)
"""Delays before a failed write is retried.  The row is only needed at the next
start of this process."""

RETRY_SECONDS = 0.15
"""Pause between two requests to a worker or a store that doesn't answer.  A
request to a worker times out after 0.12 s, and one request in twenty may get
no answer."""

GIVE_UP_SECONDS = 1.5
"""Time after the agent's start from which the row isn't needed, as the worker
has announced itself by then."""


class _Row(msgspec.Struct, frozen=True):
    """A worker as it was announced.

    :param name: id of the worker, without its incarnation.
    :param born: start of the announced incarnation in milliseconds; 0 in rows
        of earlier versions, which aren't used.
    :param slowness: its usual slowness; 0 if there is nothing to remember.
    """

    name: str
    pool: str
    cpu: quantities.Amount
    mem_mb: quantities.Count
    gpu: quantities.Count
    labels: tuple[str, ...] = ()
    born: quantities.Whole = 0
    slowness: quantities.Amount = 0.0


class WorkerRecord:
    """The stored row of one agent's worker.

    :param key: key of the row, the same in each incarnation of the agent.
    """

    def __init__(
        self, store: rows.RowStore, key: str, rng: random.Random
    ) -> None:
        self._store = store
        self._key = key
        self._write_backoff = backoff.Backoff(WRITE_DELAYS, rng)
        self._value: bytes | None = None
        self._changed = asyncio.Event()

    def update(self, effect: workerapi.PersistWorker) -> None:
        """Replace the state that :meth:`write_changes` writes to the row."""
        announced = effect.worker
        self._value = None
        if announced is not None:
            self._value = _encode(announced, effect.slowness)
        self._changed.set()

    async def write_changes(self) -> None:
        """Write the newest state of the row, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            try:
                await self._write(self._value)
            except exceptions.StoreError as exc:
                logs.warning(LOG, 'worker_not_kept', reason=exc.show())
                self._changed.set()
                await asyncio.sleep(self._write_backoff.record_failure())
            else:
                self._write_backoff.reset()

    async def restore(
        self,
        client: worker.WorkerClient,
        feed: typing.Callable[[object], None],
    ) -> None:
        """Announce the stored worker to the agent if the worker answers.

        The row alone isn't sufficient: the worker may be gone, or another
        one may have its address, which answers only to its own id.  A worker
        that was born after it had announced what the row holds is left to
        announce itself.

        :param feed: passes an event to the agent.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + GIVE_UP_SECONDS
        row = await self._read_until(deadline)
        if row is not None and row.slowness:
            feed(_recall_slowness(row))
        while row is not None and loop.time() < deadline:
            stored = _decode(row, client.address)
            identity = await client.fetch_identity(
                stored.incarnation, row.born
            )
            if identity is workerapi.Identity.SAME:
                feed(stored)
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def _read_until(self, deadline: float) -> _Row | None:
        loop = asyncio.get_running_loop()
        timeout = rows.CallTimeout()
        while loop.time() < deadline:
            try:
                return await self._read(timeout.seconds)
            except exceptions.StoreError as exc:
                logs.info(LOG, 'worker_not_recalled', reason=exc.show())
                timeout.increase()
                await asyncio.sleep(RETRY_SECONDS)
        return None

    async def _write(self, value: bytes | None) -> None:
        if value is None:
            await self._store.remove(TABLE, self._key)
        else:
            await self._store.write(TABLE, self._key, value)

    async def _read(self, timeout_seconds: float) -> _Row | None:
        value = await self._store.read_row(TABLE, self._key, timeout_seconds)
        if value is None:
            return None
        try:
            row = decoding.decode(value, _Row)
        except decoding.Unreadable as exc:
            logs.warning(LOG, 'kept_unreadable', key=self._key, reason=exc)
            return None
        return row if row.born else None


def _encode(announced: workerapi.WorkerAnnounced, slowness: float) -> bytes:
    return msgspec.json.encode(
        _Row(
            worker.get_id(announced.incarnation),
            announced.pool,
            announced.capacity.cpu,
            announced.capacity.memory_mb,
            announced.capacity.accelerators,
            announced.labels,
            announced.born,
            slowness,
        )
    )


def _recall_slowness(row: _Row) -> workerapi.SlownessRecalled:
    capacity = types.Needs(row.cpu, row.mem_mb, row.gpu)
    return workerapi.SlownessRecalled(
        row.pool, capacity, row.labels, row.slowness
    )


def _decode(row: _Row, address: str) -> workerapi.WorkerAnnounced:
    return workerapi.WorkerAnnounced(
        incarnation=worker.make_incarnation(row.name, row.born),
        born=row.born,
        sequence=workerapi.NOT_ANNOUNCED,
        pool=row.pool,
        capacity=types.Needs(row.cpu, row.mem_mb, row.gpu),
        labels=row.labels,
        draining=False,
        address=address,
    )
