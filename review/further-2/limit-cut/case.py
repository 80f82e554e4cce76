"""A worker shrinks while it is partitioned, and is filled as before after."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))
import rig  # noqa: E402

FULL = 64000
SHRUNK = 13000
TASK = 6200
CUT_SECONDS = 5.0
COUNTS_SECONDS = rig.BOUNDS['contact_ms'] / 1000.0 + rig.HEARTBEAT_SECONDS
JOBS_PER_SECOND = 9.0


class Rig(rig.Rig):
    """Watches for starts beyond a capacity that has shrunk long enough ago.

    :ivar shrunk_at: instant at which each worker shrank, by name.
    """

    def __init__(self, folder):
        super().__init__(folder)
        self.shrunk_at = {}

    def on_start(self, worker, task, run, body):
        super().on_start(worker, task, run, body)
        shrunk_at = self.shrunk_at.get(worker.name)
        limit = FULL
        if shrunk_at is None or self.record.now() > shrunk_at + COUNTS_SECONDS:
            limit = worker.cpu
        if worker.used() > limit:
            ago = 'never'
            if shrunk_at is not None:
                ago = f'{self.record.now() - shrunk_at:.2f} s ago'
            self.violate(
                'LIMIT',
                f'{task} brings {worker.name} to {worker.used()} of'
                f' {worker.cpu} thousandths of a core; it shrank {ago}',
            )

    def shrink(self, worker):
        worker.cpu = SHRUNK
        self.shrunk_at[worker.name] = self.record.now()
        self.record.note(f'{worker.name} shrinks to {SHRUNK}')


async def send_jobs(case):
    """Hand in jobs of eight tasks at a steady rate, as several clients."""
    number = 0
    tasks = set()
    while True:
        number += 1
        steps = [{'count': 8, 'cpu': TASK, 'mem_mb': 64, 'estimated_ms': 400}]
        key = f'{number:016x}'
        job = case.submit(number % 10, key, steps, 3.0)
        task = asyncio.create_task(job)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / JOBS_PER_SECOND)


async def wait_for_ping(worker):
    sequence = worker.sequence
    while worker.sequence == sequence:
        await asyncio.sleep(0.005)


async def play(case):
    await case.start(entries=2, workers=6, cpu=FULL, guards=False)
    sender = asyncio.create_task(send_jobs(case))
    worker = case.workers[0]
    await wait_for_ping(worker)
    # The cut begins as the next ping is due, so that the last one before its
    # end has just been lost.
    await asyncio.sleep(rig.HEARTBEAT_SECONDS - 0.1)
    cut_at = time.monotonic()
    if rig.TROUBLE:
        worker.uncut.clear()
        case.record.note(f'{worker.name} is cut off')
    await asyncio.sleep(0.1)
    case.shrink(worker)
    await asyncio.sleep(max(0.0, cut_at + CUT_SECONDS - time.monotonic()))
    if rig.TROUBLE:
        case.record.note(f'{worker.name} is reached again')
        worker.uncut.set()
    await asyncio.sleep(5.0)
    sender.cancel()


if __name__ == '__main__':
    rig.main(__file__, Rig, play)
