"""The table service fails under a whole cluster on real sockets."""

import asyncio

import uuid_utils

from tests import local_cluster

OPERATOR = {'Authorization': f'Bearer {"x" * 16}'}


def config(process):
    """Return the status of an entry's configuration."""
    return process.entry.configuration.status(now(process))


def now(process):
    return process.dependencies.clock.now()


def last_suspect_stamp(process):
    """Return the last stamp of keys that a lost entry may have started."""
    entries = config(process).in_force.entries
    removed_at = max(one.removed_at for one in entries)
    return removed_at + local_cluster.TIMING.skew_seconds


async def until(check):
    """Wait until a condition holds."""
    async with asyncio.timeout(local_cluster.TIMEOUT_SECONDS):
        while not check():
            await asyncio.sleep(0.02)


async def submit(cluster, process):
    """Submit a job through a process and return its answer."""
    key = {'Idempotency-Key': str(uuid_utils.uuid7())}
    body = local_cluster.make_job_body(5)
    return await cluster.call(process, 'POST', '/v1/jobs', body, **key)


def test_jobs_complete_while_the_table_service_is_down():
    """The service is down for longer than a lease.

    Jobs still complete.  Taking a zone out fails with a status that says that
    nothing was written, and succeeds once the service is available again.
    """

    async def main():
        async with local_cluster.cluster(zones=('z1', 'z2')) as cluster:
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


def test_an_entry_killed_in_an_outage_stops_no_other_entry():
    """An entry is killed during an outage of the table service.

    Its port refuses connections, so the other entry continues alone.
    """

    async def main():
        async with local_cluster.cluster() as cluster:
            survivor, killed = cluster.entries
            cluster.table.faults.outage = True
            await until(lambda: config(survivor).lease_source == 'peers')
            killed.kill()
            for _ in range(2 * round(local_cluster.TIMING.fence_seconds)):
                await asyncio.sleep(1.0)
                assert config(survivor).lease_source == 'peers'
            cluster.table.faults.outage = False
            await until(lambda: len(config(survivor).in_force.listed()) == 1)
            # Keys stamped sooner may have been started by the lost entry.
            await until(lambda: last_suspect_stamp(survivor) < now(survivor))
            code, _ = await submit(cluster, survivor)
            assert code == 200

    asyncio.run(main())
