"""Follows one table of the store, through outages and lost history."""

import asyncio
import random
import typing

from agatepick.decisions import backoff
from agatepick import exceptions
from agatepick.platform import rows
from agatepick.telemetry import logs

LOG = logs.logger(__name__)

FAILED_PAUSES = backoff.Pauses(first=0.15, most=0.3)
"""After failed calls.  All must be in step within two seconds of the store's
return."""

GONE_PAUSES = backoff.Pauses(first=0.1, most=1.0)
"""After the store has dropped the changes that were asked for."""

LEAST_SECONDS = 0.1
"""Least time from one call to the next, for a store that answers before the
wait is over."""

Snapshot = dict[str, bytes]


async def follow(
    store: rows.RowStore,
    table: str,
    wait: float,
    take: typing.Callable[[Snapshot], None],
    rng: random.Random,
) -> None:
    """Hand each state of a table to ``take``, for ever.

    :param wait: seconds that one call waits for a change.
    """
    found: Snapshot = {}
    version = -1
    newest = -1
    away = False
    patience = rows.Patience()
    failed = backoff.Backoff(FAILED_PAUSES, rng)
    gone = backoff.Backoff(GONE_PAUSES, rng)
    loop = asyncio.get_running_loop()
    while True:
        next_at = loop.time() + LEAST_SECONDS
        try:
            if version < 0:
                page = await store.read(table, patience.seconds)
                if page.row_version < newest:
                    # A read that lags behind what is known already.
                    await asyncio.sleep(failed.failed())
                    continue
                found = {}
            else:
                page = await store.changes(table, version, wait)
                gone.succeeded()
        except rows.HistoryGone:
            logs.info(LOG, 'store_history_gone', table=table, after=version)
            version = -1
            await asyncio.sleep(gone.failed())
            continue
        except exceptions.StoreError as exc:
            if not away:
                logs.warning(LOG, 'store_lost', table=table, reason=exc.show())
            away = True
            patience.failed()
            await asyncio.sleep(failed.failed())
            continue
        patience.answered()
        failed.succeeded()
        if away:
            logs.info(LOG, 'store_regained', table=table)
            away = False
        changed = version < 0 or bool(page.rows)
        version = newest = max(version, page.row_version)
        for row in page.rows:
            if row.deleted:
                found.pop(row.key, None)
            else:
                found[row.key] = row.value
        if changed:
            take(dict(found))
        await asyncio.sleep(max(0.0, next_at - loop.time()))
