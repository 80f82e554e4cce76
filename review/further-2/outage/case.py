"""One ping of another writer at each agent, after which nothing is served."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))
import rig  # noqa: E402

JOBS = 30
TRIES = 4
RESEND_SECONDS = rig.BOUNDS['resend_ms'] / 1000.0
FOREIGN_CLOCK_MS = 150


async def send_foreign_ping(case, agent, number):
    """Ping an agent as another writer, of a service that isn't named here.

    It has just started, so its clock is behind that of the worker.
    """
    name = f'i-5d2f77a{number}'
    body = {
        'service': 'zuqa77x',
        'address': '127.0.0.1:9',
        'zone': 'talca',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_left_ms': 0,
        'capacity': {'cpu': 64000, 'mem_mb': 262144, 'gpu': 0},
        'labels': ['a', 'r1-1'],
        'clock_ms': FOREIGN_CLOCK_MS,
        'sequence': 1,
        'born': int(time.time() * 1000) - FOREIGN_CLOCK_MS,
    }
    path = f'/v1/instances/{name}/heartbeat'
    status, _ = await rig.call(agent.control, 'POST', path, body)
    case.record.note(
        f'another writer pings {agent.name} as {name} -> {status}'
    )


async def hand_in(case, number):
    """Hand in a job, and again after each missing answer.

    :returns: whether it was answered with success.
    """
    steps = [{'count': 2, 'cpu': 6200, 'mem_mb': 64, 'estimated_ms': 300}]
    key = f'{number + 1:016x}'
    for retry in range(TRIES):
        status, state = await case.submit(number + retry, key, steps, 3.0)
        if status not in (0, 502, 504):
            return status == 200 and state == 'completed'
        await asyncio.sleep(RESEND_SECONDS)
    return False


async def play(case):
    await case.start(entries=2, workers=3)
    if rig.TROUBLE:
        for number, agent in enumerate(case.agents):
            await send_foreign_ping(case, agent, number)
    # The workers announce themselves again meanwhile.
    await asyncio.sleep(2.0 * rig.HEARTBEAT_SECONDS)
    jobs = []
    for number in range(JOBS):
        jobs.append(asyncio.create_task(hand_in(case, number)))
        await asyncio.sleep(0.5)
    served = sum(await asyncio.gather(*jobs))
    case.record.note(f'{served} of {JOBS} requests served')
    if not served:
        case.violate('Fault', f'none of {JOBS} requests is served')


if __name__ == '__main__':
    rig.main(__file__, rig.Rig, play)
