import asyncio

import uuid_utils

from agatepick.cmd import commands
from tests import local_cluster


def new_key():
    return str(uuid_utils.uuid7())


def test_a_job_goes_from_its_caller_to_upstreams_and_back():
    async def main():
        async with local_cluster.cluster() as cluster:
            for entry in cluster.entries:
                body = local_cluster.make_job_body(10)
                code, answer = await cluster.call(
                    entry, 'POST', '/v1/jobs', body
                )
                assert code == 200
                outcomes = {
                    task['id']: task['outcome'] for task in answer['tasks']
                }
                assert outcomes == {f't{i}': 'finished' for i in range(10)}
            assert cluster.count_starts() == 20

    asyncio.run(main())


def test_a_resubmission_at_another_entry_joins_the_running_job():
    """A caller loses its connection and resubmits at another entry.

    It must receive the answer of the running job; a second run would file
    every quote twice.
    """

    async def main():
        async with local_cluster.cluster() as cluster:
            key = {'Idempotency-Key': new_key()}
            body = local_cluster.make_job_body(3, 0.2)
            answers = await asyncio.gather(
                *[
                    cluster.call(entry, 'POST', '/v1/jobs', body, **key)
                    for entry in cluster.entries
                ]
            )
            assert [code for code, _ in answers] == [200, 200]
            assert answers[0][1] == answers[1][1]
            assert cluster.count_starts() == 3

    asyncio.run(main())


def test_an_agent_that_dies_leaves_its_tasks_unknown_and_never_rerun():
    """A worker's machine loses power while it runs tasks.

    The answer must report the outcome as unknown, since the tasks may have
    taken effect; a second start elsewhere could double a booking.
    """

    async def main():
        async with local_cluster.cluster(entries=1, agents=1) as cluster:
            entry = cluster.entries[0]
            sent = asyncio.create_task(
                cluster.call(
                    entry,
                    'POST',
                    '/v1/jobs',
                    local_cluster.make_job_body(2, 30.0),
                )
            )
            while cluster.count_starts() < 2:
                await asyncio.sleep(0.01)
            cluster.agents[0].kill()
            cluster.workers[0].crash()
            code, answer = await sent
            assert code == 502
            assert answer['run'] == 'failed'
            assert [task['outcome'] for task in answer['tasks']] == [
                'unknown',
                'unknown',
            ]
            assert cluster.count_starts() == 2

    asyncio.run(main())


def test_an_entry_that_stops_completes_its_requests():
    """An operator replaces an entry that has waiting callers.

    The entry completes and answers its jobs before it exits, and meanwhile
    another entry handles new jobs.
    """

    async def main():
        async with local_cluster.cluster() as cluster:
            first, second = cluster.entries
            sent = [
                asyncio.create_task(
                    cluster.call(
                        entry,
                        'POST',
                        '/v1/jobs',
                        local_cluster.make_job_body(2, 0.3),
                    )
                )
                for entry in (first, second) * 4
            ]
            await asyncio.sleep(0.05)
            stopping = asyncio.create_task(first.stop())
            await asyncio.sleep(0.05)
            late = await cluster.call(
                second, 'POST', '/v1/jobs', local_cluster.make_job_body(2)
            )
            codes = [code for code, _ in await asyncio.gather(*sent)]
            assert codes == [200] * 8, [t.result() for t in sent]
            assert late[0] == 200
            await stopping

    asyncio.run(main())


def test_a_query_for_a_key_of_another_format_is_answered():
    """A caller queries a job by a UUID that isn't a UUIDv7.

    No job can have that key; the request must not crash the entry.
    """

    async def main():
        async with local_cluster.cluster(entries=1, agents=1) as cluster:
            entry = cluster.entries[0]
            path = '/v1/jobs/00000000-0000-4000-8000-000000000000'
            code, answer = await cluster.call(entry, 'GET', path)
            assert code == 404
            assert answer['code'] == 'unknown_job'
            code, _ = await cluster.call(
                entry, 'POST', '/v1/jobs', local_cluster.make_job_body(1)
            )
            assert code == 200

    asyncio.run(main())


def test_a_job_can_be_queried_and_cancelled_at_any_entry():
    """A caller without a token submits a job and queries it later.

    Only the job's body names the team, so the query doesn't, and must still
    find the job.
    """

    async def main():
        async with local_cluster.cluster() as cluster:
            first, second = cluster.entries
            wait = {'Prefer': 'respond-async'}
            body = local_cluster.make_job_body(2, 30.0)
            code, answer = await cluster.call(
                first, 'POST', '/v1/jobs', body, **wait
            )
            path = f'/v1/jobs/{answer["job"]}'
            assert (code, answer['run']) == (202, 'pending')
            for entry in (first, second):
                code, answer = await cluster.call(entry, 'GET', path)
                assert (code, answer['run']) == (202, 'pending')
            code, answer = await cluster.call(second, 'DELETE', path)
            assert code in (200, 202)
            async with asyncio.timeout(local_cluster.TIMEOUT_SECONDS):
                while (await cluster.call(first, 'GET', path))[0] == 202:
                    await asyncio.sleep(0.01)
            code, answer = await cluster.call(second, 'GET', path)
            assert (code, answer['code']) == (409, 'cancelled')
            assert {task['id'] for task in answer['tasks']} == {'t0', 't1'}

    asyncio.run(main())


def test_a_drained_zone_is_reported_after_its_last_task():
    """An operator takes a zone out of service while a long task runs there.

    If the zone were reported empty too early, the operator would power it off
    and abort the task; the command must wait for the task.
    """

    async def main():
        async with local_cluster.cluster(
            entries=1, zones=('z1', 'z2')
        ) as cluster:
            (entry,) = cluster.entries
            context = commands.CommandContext(
                (f'http://{entry.http_address}',), 'x' * 16
            )
            body = local_cluster.make_job_body(1, 5.0, zones=['z1'])
            sent = asyncio.create_task(
                cluster.call(entry, 'POST', '/v1/jobs', body)
            )
            async with asyncio.timeout(local_cluster.TIMEOUT_SECONDS):
                while not cluster.count_starts():
                    await asyncio.sleep(0.01)
            output = await commands.drain_zone(context, 'z1', None)
            assert cluster.workers[0].running == 0
            assert 'the last task in z1 has ended' in output.text
            assert 'none started after acceptance' in output.text
            assert (await sent)[0] == 200

    asyncio.run(main())
