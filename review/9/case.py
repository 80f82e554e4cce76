"""A request held up by a cut starts a job again that runs elsewhere."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig_3  # noqa: E402

CUT_SECONDS = 2.0
BUDGET_SECONDS = 1.5
WORK_SECONDS = 1.0
CLIENTS = 20


async def play(rig):
    """Cut off the first entry for a while; return whether TWICE was broken."""
    entry = rig.entries[0]
    paths = (entry.front_path, entry.link_path, entry.store_path)
    channels = [rig_3.Channel(entry.front_path.address) for _ in range(CLIENTS)]
    for channel in channels:
        await channel.open()
        status, _ = await channel.call(
            'GET', rig_3.PREFIX, None, {'Host': rig_3.HOST}
        )
        if status != 200:
            raise rig_3.CannotRun(f'count answered {status}')
    if rig_3.TROUBLE:
        for path in paths:
            path.begin_cut()
        rig.record.add('entry-0 is cut off')
    clients = [
        asyncio.create_task(client(rig, number, channel))
        for number, channel in enumerate(channels)
    ]
    await asyncio.sleep(CUT_SECONDS)
    if rig_3.TROUBLE:
        for path in paths:
            path.heal()
        rig.record.add('entry-0 is back')
    answers = await asyncio.gather(*clients)
    await asyncio.sleep(1.0)
    rig.record.add(
        f'{answers.count(200)} of {CLIENTS} jobs completed;'
        f' {len(rig.overlaps)} starts of tasks that were running'
    )
    return bool(rig.overlaps)


async def client(rig, number, channel):
    """Submit a job on an open channel, and again after no response."""
    await asyncio.sleep(0.02 * number)
    step = {'count': 2, 'cpu': 3100, 'mem_mb': 64, 'seconds': WORK_SECONDS}
    key, body = rig.make_job([step])
    status, _ = await rig.post(
        channel.address, key, body, BUDGET_SECONDS, channel=channel
    )
    if status not in (0, 502, 504):
        return status
    await asyncio.sleep(rig_3.RESEND_SECONDS)
    other = rig.entries[1 + number % (len(rig.entries) - 1)]
    status, _ = await rig.post(other.front, key, body, BUDGET_SECONDS)
    return status


def add_paths(rig):
    """Put a path that can be cut between the first entry and all others."""
    entry = rig.entries[0]
    entry.front_path = rig.add_path(entry.front, rig_3.CLIENT_DELAY_SECONDS)
    entry.link_path = rig.add_path(entry.links, rig_3.ZONE_DELAY_SECONDS)
    entry.store_path = rig.add_path(
        rig.store.address, rig_3.ZONE_DELAY_SECONDS
    )
    rig.names[entry.front_path.address] = entry.name
    rig.store.seen_as[entry.links] = entry.link_path.address
    entry.store_address = entry.store_path.address


rig_3.main(HERE, play, add_paths, entries=3, agents=6)
