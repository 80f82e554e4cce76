"""The list of entries in the platform's store."""

import asyncio
import random

import msgspec

from agatepick.decisions import backoff
from agatepick import exceptions
from agatepick.net import addresses
from agatepick.net import decoding
from agatepick.platform import following
from agatepick.platform import rows
from agatepick.repeatable import events
from agatepick.telemetry import logs

LOG = logs.logger(__name__)

TABLE = 'agatepick-entries'
MAX_KEY_CHARS = 60
"""Length of another writer's key in a log line."""

REGISTER_DELAYS = backoff.BackoffDelays(first_seconds=0.4, max_seconds=0.8)
"""Delays before an entry retries to register itself."""


class _Member(msgspec.Struct, frozen=True):
    """The value of an entry's row."""

    address: str
    zone: str = ''


def parse_entries(snapshot: following.Snapshot) -> events.EntriesListed:
    """Return the entries in the rows; invalid rows are skipped."""
    entries = []
    for name, value in sorted(snapshot.items()):
        try:
            member = decoding.decode(value, _Member)
            addresses.split(member.address)
        except (decoding.Unreadable, addresses.BadAddress) as exc:
            logs.warning(
                LOG, 'member_unreadable', key=name[:MAX_KEY_CHARS], reason=exc
            )
            continue
        entries.append(events.ListedEntry(name, member.address, member.zone))
    return events.EntriesListed(tuple(entries))


async def register(
    store: rows.RowStore,
    name: str,
    address: str,
    zone: str,
    rng: random.Random,
) -> None:
    """Write an entry's row, and retry until the store accepts it."""
    value = msgspec.json.encode(_Member(address, zone))
    timeout = rows.CallTimeout()
    failure_backoff = backoff.Backoff(REGISTER_DELAYS, rng)
    while True:
        try:
            await store.write(TABLE, name, value, timeout.seconds)
        except exceptions.StoreError as exc:
            timeout.increase()
            logs.warning(LOG, 'enlist_failed', reason=exc.show())
            await asyncio.sleep(failure_backoff.record_failure())
            continue
        logs.info(LOG, 'enlisted', address=address)
        return
