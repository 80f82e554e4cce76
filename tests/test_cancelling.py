"""Cancelling of jobs at the programs."""

import asyncio

import aiohttp
import pytest

from tests import test_platform

KEY = '5c0e7a21d94b36f8'
PATH = f'/dates/{KEY}'
STEPS = 8
STEP = {'count': 1, 'cpu': 6200, 'mem_mb': 64, 'estimated_ms': 300}
JOB = {
    'best_effort': True,
    'spec': 'text',
    'steps': [
        {**STEP, 'after': [number - 1] if number else []}
        for number in range(STEPS)
    ],
}
NO_QUEUES = {'version': 8, 'routes': [], 'services': []}


async def send_delete(programs, session, path=PATH, host='clubs.example'):
    url = f'http://127.0.0.1:{programs.ports[0]}{path}'
    async with session.delete(url, headers={'Host': host}) as answer:
        return answer.status


async def wait_for_removal(programs, session):
    async with asyncio.timeout(10.0):
        while True:
            status, _ = await programs.post(session, f'{PATH[:-1]}0', JOB)
            if status == 404:
                return
            await asyncio.sleep(0.05)


def list_started(programs):
    return {
        body['task']
        for name, body in programs.worker.requests
        if name == 'run-start' and body['task'].startswith(KEY)
    }


@pytest.mark.parametrize('removed', [False, True])
def test_a_job_is_cancelled_whether_its_queue_is_removed_or_not(
    tmp_path, removed
):
    """A job of a removed queue couldn't be cancelled, and went on."""

    async def main():
        programs = test_platform.Programs(tmp_path)
        programs.worker.run_seconds = 0.3
        programs.store.put('op', 'config', test_platform.DESIRED)
        try:
            programs.start('entry')
            programs.start('agent')
            async with aiohttp.ClientSession() as session:
                await programs.announce(session)
                await programs.wait_ready(session)
                job = asyncio.create_task(programs.post(session, PATH, JOB))
                await asyncio.sleep(0.5)
                if removed:
                    programs.store.put('op', 'config', NO_QUEUES)
                    await wait_for_removal(programs, session)
                assert await send_delete(programs, session) == 200
                started = list_started(programs)
                assert started
                assert len(started) < STEPS
                assert (await job)[1] == {'state': 'cancelled'}
                await asyncio.sleep(0.5)
                assert list_started(programs) == started
                other = await send_delete(programs, session, host='other')
                assert other == 410
                assert await send_delete(programs, session) == 410
                assert await send_delete(programs, session, '/dates/x') == 404
        finally:
            programs.stop()

    test_platform.run(main)
