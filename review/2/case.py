"""TWICE: a worker's notice that it leaves is acted on, its answer is lost."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

RUN_MS = 3600
END_ANYWAY_SECONDS = 2.0
"""Time after which a worker ends that got no acknowledgement."""


async def drain(case, worker):
    """Let a worker drain, leave and end, as the pages say."""
    record = case.record
    agent = case.agents[case.workers.index(worker)]
    worker.state = 'draining'
    while not await worker.announce():
        await asyncio.sleep(0.05)
    record.write(worker.name, 'draining, acknowledged')
    await asyncio.sleep(standins.DRAIN_SECONDS + 0.3)
    proxy = standins.Proxy(agent.control)
    await proxy.start()
    worker.control = proxy.address

    def on_data(direction, data):
        if direction == 'back' and case.trouble:
            record.write('network', f'resets {proxy.reset()} channel(s)')
            return False
        return True

    proxy.on_data = on_data
    record.write(worker.name, 'sends deregister')
    acknowledged = await worker.deregister(END_ANYWAY_SECONDS)
    if acknowledged:
        record.write(worker.name, 'deregister acknowledged, ends')
    else:
        record.write(worker.name, 'deregister not acknowledged, ends later')
        await asyncio.sleep(END_ANYWAY_SECONDS)
        record.write(worker.name, 'ends')
    worker.stop()
    proxy.stop()


async def play(case):
    await case.start(['talca', 'curico'], ['talca', 'curico', 'talca'])
    key = case.new_key()
    job = case.spawn(case.submit(case.entries[0], key, RUN_MS, 2, wait=15.0))
    await asyncio.sleep(0.5)
    rows = [row for row in case.history if row[0].startswith(key)]
    if not rows:
        raise standins.CannotRun('the job was not started')
    worker = next(w for w in case.workers if w.name == rows[0][5])
    await drain(case, worker)
    await job
    return case.report_overlaps()


if __name__ == '__main__':
    sys.exit(standins.main(FOLDER, play))
