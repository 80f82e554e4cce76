"""The table service fails under a whole cluster on real sockets."""

import asyncio

import uuid_utils

from tests import whole

OPERATOR = {'Authorization': f'Bearer {"x" * 16}'}


def config(process):
    return process.entry.configuration.status(now(process))


def now(process):
    return process.outside.clock.now()


def suspicion_ends(process):
    entries = config(process).in_force.entries
    removed_at = max(one.removed_at for one in entries)
    return removed_at + whole.TIMING.skew_seconds


async def until(check):
    async with asyncio.timeout(whole.PATIENCE):
        while not check():
            await asyncio.sleep(0.02)


async def submit(cluster, process):
    """A job's answer; asked again while its owner is being replaced."""
    key = {'Idempotency-Key': str(uuid_utils.uuid7())}
    body = whole.job(5)
    return await cluster.call(process, 'POST', '/v1/jobs', body, **key)


def test_jobs_complete_while_the_table_service_is_down():
    """The service is down for longer than a lease; a departure then fails.

    Callers notice nothing.  The operator is told that nothing was written,
    and the same departure holds once the service is back.
    """

    async def main():
        async with whole.cluster(zones=('z1', 'z2')) as cluster:
            cluster.table.faults.outage = True
            await until(
                lambda: all(
                    config(one).lease_source == 'peers'
                    for one in cluster.entries
                )
            )
            for process in cluster.entries:
                code, _ = await submit(cluster, process)
                assert code == 200
            out = ('PUT', '/v1/zones/z1', {'state': 'out'})
            code, _ = await cluster.call(cluster.entries[0], *out, **OPERATOR)
            assert code == 503
            cluster.table.faults.outage = False
            await until(
                lambda: config(cluster.entries[0]).lease_source == 'store'
            )
            code, _ = await cluster.call(cluster.entries[0], *out, **OPERATOR)
            assert code == 200
            await until(lambda: config(cluster.entries[1]).zones)
            before = sum(cluster.workers[0].starts.values())
            code, _ = await submit(cluster, cluster.entries[1])
            assert code == 200
            assert sum(cluster.workers[0].starts.values()) == before

    asyncio.run(main())


def test_an_entry_killed_in_an_outage_stops_nobody():
    """Its port refuses connections, so the other entry goes on alone."""

    async def main():
        async with whole.cluster() as cluster:
            left, gone = cluster.entries
            cluster.table.faults.outage = True
            await until(lambda: config(left).lease_source == 'peers')
            gone.kill()
            for _ in range(2 * round(whole.TIMING.fence_seconds)):
                await asyncio.sleep(1.0)
                assert config(left).lease_source == 'peers'
            cluster.table.faults.outage = False
            await until(lambda: len(config(left).in_force.listed()) == 1)
            # Keys stamped sooner may have been started by the lost entry.
            await until(lambda: suspicion_ends(left) < now(left))
            code, _ = await submit(cluster, left)
            assert code == 200

    asyncio.run(main())
