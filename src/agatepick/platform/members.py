"""The entries that there are, listed in the platform's store."""

import asyncio
import random

import msgspec

from agatepick.decisions import backoff
from agatepick import exceptions
from agatepick.platform import following
from agatepick.platform import rows
from agatepick.repeatable import events
from agatepick.telemetry import logs

LOG = logs.logger(__name__)

TABLE = 'agatepick-entries'
FAILED_PAUSES = backoff.Pauses(first=0.4, most=0.8)
"""Before an entry tries again to list itself."""


class _Member(msgspec.Struct, frozen=True):
    address: str
    zone: str = ''


def listed(found: following.Snapshot) -> events.EntriesListed:
    """The entries in the rows; a row that can't be read names none."""
    entries = []
    for name, value in sorted(found.items()):
        try:
            member = msgspec.json.decode(value, type=_Member)
        except msgspec.MsgspecError as exc:
            logs.warning(LOG, 'member_unreadable', key=name, reason=exc)
            continue
        entries.append(events.Listed(name, member.address, member.zone))
    return events.EntriesListed(tuple(entries))


async def enlist(
    store: rows.RowStore,
    name: str,
    address: str,
    zone: str,
    rng: random.Random,
) -> None:
    """List an entry, however long the store is away."""
    value = msgspec.json.encode(_Member(address, zone))
    patience = rows.Patience()
    failed = backoff.Backoff(FAILED_PAUSES, rng)
    while True:
        try:
            await store.write(TABLE, name, value, patience.seconds)
        except exceptions.StoreError as exc:
            patience.failed()
            logs.warning(LOG, 'enlist_failed', reason=exc.show())
            await asyncio.sleep(failed.failed())
            continue
        logs.info(LOG, 'enlisted', address=address)
        return
