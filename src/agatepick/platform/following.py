"""Watcher of one table of the store, through outages and lost history."""

import asyncio
import random
import typing

from agatepick.decisions import backoff
from agatepick import exceptions
from agatepick.platform import rows
from agatepick.telemetry import logs

LOG = logs.logger(__name__)

RETRY_DELAYS = backoff.BackoffDelays(first_seconds=0.15, max_seconds=0.3)
"""Delays after failed calls.  All processes must have the current rows within
two seconds of the store's return."""

HISTORY_DELAYS = backoff.BackoffDelays(first_seconds=0.1, max_seconds=1.0)
"""Delays after the store has discarded the requested changes."""

CALL_INTERVAL_SECONDS = 0.1
"""Shortest time between the starts of two calls, as the store may answer a
call before its wait for a change is over."""

Snapshot = dict[str, bytes]


async def watch_table(
    store: rows.RowStore,
    table: str,
    wait: float,
    on_change: typing.Callable[[Snapshot], None],
    rng: random.Random,
) -> None:
    """Pass each new state of a table to a callback, until cancelled.

    :param wait: seconds for which one call waits for a change.
    :param on_change: callback that gets all rows of the table.
    :param rng: source of jitter for the delays.
    """
    snapshot: Snapshot = {}
    version = -1
    latest_version = -1
    unavailable = False
    timeout = rows.CallTimeout()
    failure_backoff = backoff.Backoff(RETRY_DELAYS, rng)
    history_backoff = backoff.Backoff(HISTORY_DELAYS, rng)
    loop = asyncio.get_running_loop()
    while True:
        next_call_at = loop.time() + CALL_INTERVAL_SECONDS
        try:
            if version < 0:
                page = await store.read(table, timeout.seconds)
                if page.row_version < latest_version:
                    # The read is older than the state passed on already.
                    await asyncio.sleep(failure_backoff.record_failure())
                    continue
                snapshot = {}
            else:
                page = await store.changes(table, version, wait)
                history_backoff.reset()
        except rows.HistoryGone:
            logs.info(LOG, 'store_history_gone', table=table, after=version)
            version = -1
            await asyncio.sleep(history_backoff.record_failure())
            continue
        except exceptions.StoreError as exc:
            if not unavailable:
                logs.warning(LOG, 'store_lost', table=table, reason=exc.show())
            unavailable = True
            timeout.increase()
            await asyncio.sleep(failure_backoff.record_failure())
            continue
        timeout.reset()
        failure_backoff.reset()
        if unavailable:
            logs.info(LOG, 'store_regained', table=table)
            unavailable = False
        changed = version < 0 or bool(page.rows)
        version = latest_version = max(version, page.row_version)
        for row in page.rows:
            if row.deleted:
                snapshot.pop(row.key, None)
            else:
                snapshot[row.key] = row.value
        if changed:
            on_change(dict(snapshot))
        await asyncio.sleep(max(0.0, next_call_at - loop.time()))
