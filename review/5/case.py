"""A side machine is suspended for seconds, with its worker and its agent."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig  # noqa: E402

SUSPENDED_SECONDS = (1.0, 2.0)
ALLOWED_SECONDS = 0.15
"""Time after waking for which two runs aren't counted, though the rule has no
such bound: `stop_timeout_ms` and twice that for the orders."""


class Worker(rig.Worker):
    """A worker on a machine that may be suspended.

    Its steady clock, by which its lease is measured, doesn't count that time;
    its runs stand still, and what reaches it waits in its sockets.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.suspended_at = None
        self.lost_seconds = 0.0
        self.awake = asyncio.Event()
        self.awake.set()

    def steady(self):
        return (self.suspended_at or time.monotonic()) - self.lost_seconds

    def clock_ms(self):
        return int((self.steady() - self.born_at) * 1000)

    def suspend(self):
        self.suspended_at = time.monotonic()
        self.awake.clear()

    def resume(self):
        self.lost_seconds += time.monotonic() - self.suspended_at
        self.suspended_at = None
        self.awake.set()

    async def finish(self, task, run, seconds):
        end = self.steady() + seconds
        while self.steady() < end:
            await asyncio.sleep(0.005)
        if self.runs.get(task) == run:
            self.end(task, 'done')

    async def handle(self, request):
        await self.awake.wait()
        answer = await super().handle(request)
        await self.awake.wait()
        return answer

    async def ping(self):
        await self.awake.wait()
        await super().ping()


class Rig(rig.Rig):
    """Watches for tasks with two runs at the same time.

    While the machine is suspended and just after, runs that were started
    elsewhere meanwhile aren't counted: no order can end the others sooner.

    :ivar running: by task, the runs that go on, by worker and number.
    :ivar woke_at: instant at which the machine woke last.
    """

    worker_type = Worker

    def __init__(self, folder):
        super().__init__(folder)
        self.running = {}
        self.woke_at = None

    def on_start(self, worker, task, run, body):
        super().on_start(worker, task, run, body)
        others = self.running.setdefault(task, {})
        for name, other in others:
            if self.woke_at is not None:
                since = self.record.now() - self.woke_at
                self.violate(
                    'TWICE',
                    f'{task} starts at {worker.name} as run {run}'
                    f' {since * 1000:.0f} ms after the machine woke, while'
                    f' run {other} goes on at {name}',
                )
        others[worker.name, run] = None

    def on_end(self, worker, task, run, how):
        super().on_end(worker, task, run, how)
        self.running.get(task, {}).pop((worker.name, run), None)

    def check(self):
        """Record the tasks that have two runs now."""
        since = self.record.now() - self.woke_at
        for task, runs in self.running.items():
            if len(runs) > 1:
                places = ', '.join(f'{run} at {name}' for name, run in runs)
                self.violate(
                    'TWICE',
                    f'{task} has runs {places}, {since * 1000:.0f} ms after'
                    ' the machine woke',
                )


async def play(case):
    await case.start(entries=2, workers=4)
    for number, seconds in enumerate(SUSPENDED_SECONDS):
        await play_round(case, number, seconds)
        await asyncio.sleep(1.0)


async def play_round(case, number, seconds):
    """Suspend a side machine while its worker runs tasks of two jobs."""
    worker, agent = case.workers[0], case.agents[0]
    steps = [{'count': 16, 'cpu': 6200, 'mem_mb': 64, 'estimated_ms': 3900}]
    jobs = [
        asyncio.create_task(
            case.submit(client, f'{2 * number + client + 1:016x}', steps, 20.0)
        )
        for client in range(2)
    ]
    await asyncio.sleep(0.4)
    if not worker.runs:
        raise rig.CannotRun('nothing runs at the worker to be suspended')
    if rig.TROUBLE:
        case.record.note(f'the machine of {worker.name} is suspended')
        case.woke_at = None
        agent.signal(signal.SIGSTOP)
        worker.suspend()
    await asyncio.sleep(seconds)
    case.woke_at = case.record.now()
    if rig.TROUBLE:
        case.record.note(f'the machine of {worker.name} wakes')
        worker.resume()
        agent.signal(signal.SIGCONT)
    await asyncio.sleep(ALLOWED_SECONDS)
    case.check()
    await asyncio.wait(jobs, timeout=15.0)


if __name__ == '__main__':
    rig.main(__file__, Rig, play)
