"""Measurement of the cluster configuration's cost by number of entries.

The script runs entries in one process over loopback sockets and a stand-in
table service.  For each number of entries it prints a line: bytes sent per
entry and second and requests to the table service per second while idle, and
the milliseconds until a change is accepted and until every entry has it.
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


def make_entry(table, number):
    """Return an entry process that isn't started yet."""
    return processes.EntryProcess.from_settings(
        settings.EntrySettings(
            process=settings.Process(f'entry-{number}', 'talca'),
            http=settings.Http(ANY_PORT),
            peers=settings.Peers(ANY_PORT),
            store=settings.Store(f'http://{table.address}'),
            tokens=settings.Tokens('operator-token-0123'),
            tls=settings.Tls(enabled=False),
        )
    )


async def wait_until(condition, seconds=60.0):
    """Wait until ``condition()`` is true; return the elapsed seconds."""
    started_at = time.monotonic()
    while not condition():
        if time.monotonic() - started_at > seconds:
            raise TimeoutError
        await asyncio.sleep(0.0005)
    return time.monotonic() - started_at


def count_listed(process):
    """Return how many entries are listed in one entry's configuration."""
    now = process.dependencies.clock.now()
    return len(process.entry.configuration.in_force(now).listed())


async def change(entries, change_number):
    """Propose a change; return the seconds until it is accepted and known.

    A change is known when every entry's configuration has it.
    """
    started_at = time.monotonic()

    def propose(number):
        return calls.ChangeProposed(
            number, cluster.QuotaSet('team', change_number)
        )

    reply = await entries[change_number % len(entries)].calls.call(propose)
    accepted = time.monotonic() - started_at
    until_known = await wait_until(
        lambda: all(
            process.entry.configuration.version >= reply.version
            for process in entries
        )
    )
    return accepted, accepted + until_known


async def measure(size):
    """Return the figures for one number of entries as a line of text."""
    async with contextlib.AsyncExitStack() as stack:
        table = await standin_table.TableServer.start()
        stack.push_async_callback(table.stop)
        entries = [make_entry(table, number) for number in range(size)]
        for process in entries:
            await process.start()
            stack.push_async_callback(process.stop)
        await wait_until(
            lambda: all(count_listed(process) == size for process in entries)
        )
        before = sum(process.links.traffic.bytes_out for process in entries)
        reads, writes = table.counts.reads, table.counts.writes
        await asyncio.sleep(IDLE_SECONDS)
        bytes_out = (
            sum(process.links.traffic.bytes_out for process in entries)
            - before
        )
        reads = table.counts.reads - reads
        writes = table.counts.writes - writes
        times = [await change(entries, index + 1) for index in range(CHANGES)]
        accepted = [pair[0] * 1000 for pair in times]
        known = [pair[1] * 1000 for pair in times]
        return (
            f'entries={size} '
            f'bytes_out_per_node_s={bytes_out / size / IDLE_SECONDS:.0f} '
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
