"""What the cluster configuration costs, over the number of entries.

Runs entries in one process over loopback sockets and a stand-in table
service: bytes and store calls a second while idle, and how long changes take
to be accepted and to be known by every entry.  Prints a line for each size.
"""

import asyncio
import contextlib
import statistics
import sys
import time

from agatepick.api import calls
from agatepick.conf import settings
from agatepick.config import cluster
from agatepick.runtime import processes
from agatepick.standins import standin_table

SIZES = (2, 4, 8)
IDLE_SECONDS = 8.0
CHANGES = 10
ANY_PORT = '127.0.0.1:0'


def entry(table, place):
    """One entry process, not yet started."""
    return processes.EntryProcess.from_settings(
        settings.EntrySettings(
            process=settings.Process(f'entry-{place}', 'talca'),
            http=settings.Http(ANY_PORT),
            peers=settings.Peers(ANY_PORT),
            store=settings.Store(f'http://{table.address}'),
            tokens=settings.Tokens('operator-token-0123'),
            tls=settings.Tls(enabled=False),
        )
    )


async def until(check, seconds=60.0):
    """Wait until ``check()`` holds; returns how long it took."""
    began = time.monotonic()
    while not check():
        if time.monotonic() - began > seconds:
            raise TimeoutError
        await asyncio.sleep(0.0005)
    return time.monotonic() - began


def listed(process):
    """How many entries are listed in force, as one of them sees it."""
    now = process.outside.clock.now()
    return len(process.entry.configuration.in_force(now).listed())


async def change(entries, place):
    """Seconds until a change is accepted, and until the last one knows."""
    began = time.monotonic()

    def propose(number):
        return calls.ChangeProposed(number, cluster.QuotaSet('team', place))

    reply = await entries[place % len(entries)].calls.call(propose)
    accepted = time.monotonic() - began
    known = await until(
        lambda: all(
            one.entry.configuration.version >= reply.version for one in entries
        )
    )
    return accepted, accepted + known


async def measure(size):
    """Figures for one number of entries, as text."""
    async with contextlib.AsyncExitStack() as stack:
        table = await standin_table.TableServer.start()
        stack.push_async_callback(table.stop)
        entries = [entry(table, place) for place in range(size)]
        for one in entries:
            await one.start()
            stack.push_async_callback(one.stop)
        await until(lambda: all(listed(one) == size for one in entries))
        before = sum(one.links.traffic.bytes_out for one in entries)
        reads, writes = table.counts.reads, table.counts.writes
        await asyncio.sleep(IDLE_SECONDS)
        spent = sum(one.links.traffic.bytes_out for one in entries) - before
        reads = table.counts.reads - reads
        writes = table.counts.writes - writes
        times = [await change(entries, one + 1) for one in range(CHANGES)]
        accepted = [one[0] * 1000 for one in times]
        known = [one[1] * 1000 for one in times]
        return (
            f'entries={size} '
            f'bytes_out_per_node_s={spent / size / IDLE_SECONDS:.0f} '
            f'store_reads_s={reads / IDLE_SECONDS:.1f} '
            f'store_writes_s={writes / IDLE_SECONDS:.1f} '
            f'accepted_ms_median={statistics.median(accepted):.1f} '
            f'accepted_ms_max={max(accepted):.1f} '
            f'known_everywhere_ms_median={statistics.median(known):.1f} '
            f'known_everywhere_ms_max={max(known):.1f}'
        )


async def main():
    """Measure each size in turn."""
    for size in SIZES:
        sys.stdout.write(await measure(size) + '\n')


if __name__ == '__main__':
    asyncio.run(main())
