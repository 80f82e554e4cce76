"""A soak of the platform's programs under faults from outside.

It starts entries and agents as processes, puts a loopback proxy before each
of their connections, plays stand-ins of the store and the workers, hands in
jobs, and brings about faults in series that overlap.  What callers, workers
and the store see is checked against what the programs promise:

- no task has two runs at a time;
- a job that was answered as done was done, each task of it;
- a job whose every request was refused as not run has never run;
- a process that is asked to stop answers what it has taken;
- nothing starts in a zone that was closed some seconds ago;
- a queue that was taken away some seconds ago is not served, and no process
  goes back to an older desired state;
- once the faults are over, jobs are done again.

Run it by hand with ``python -m tests.soak --first=1 --count=50``.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile

import aiohttp
import yaml

from agatepick.platform import members
from agatepick.platform import settings
from tests import platform_standins

ZONES = ('talca', 'curico')
ENTRIES = 3
AGENTS = 4
POOL = 'pool'
HOST = 'clubs.example'

RESEND_SECONDS = 1.3
"""Callers hand a job in again so long after they lost its answer."""

TRIES = 4
CLOSED_SECONDS = 5.0
"""By then nothing starts any more in a zone that was closed."""

IN_FORCE_SECONDS = 3.0
"""By then a desired state is in force: 2 s, and a paused machine's turn."""

SETTLE_SECONDS = 12.0
"""By then jobs are done again after all faults are over."""

GRACE_SECONDS = 6.0
CUT_SLACK_SECONDS = 0.2
"""A request younger than this may meet the end of its connection."""

CALM_SECONDS = 4.0
"""Faults this near excuse a request that a stopping process cut."""

CALLERS = 6


@dataclasses.dataclass(frozen=True)
class Broken:
    """One promise that was not kept, and what shows it."""

    promise: str
    detail: str


class Proxy:
    """Passes one port on to another, or not.

    :ivar mode: ``calm``, ``slow``, ``there`` or ``back`` (nothing passes on
        that way) or ``silent`` (on neither).
    """

    def __init__(self, target):
        self.target = target
        self.mode = 'calm'
        self.writers = set()
        self.server = None
        self.address = ''

    async def begin(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def reset(self):
        """Break all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def end(self):
        self.server.close()
        self.reset()

    async def _serve(self, reader, writer):
        host, _, port = self.target.rpartition(':')
        try:
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, there[1]}
        try:
            await asyncio.gather(
                self._pass(reader, there[1], 'there'),
                self._pass(there[0], writer, 'back'),
            )
        except asyncio.CancelledError:
            # The soak is over; the server would log it as a fault.
            pass
        self.writers -= {writer, there[1]}

    async def _pass(self, reader, writer, way):
        try:
            while data := await reader.read(65536):
                while self.mode in (way, 'silent'):
                    await asyncio.sleep(0.02)
                if self.mode == 'slow':
                    await asyncio.sleep(0.1)
                writer.write(data)
                await writer.drain()
        except OSError:
            # One side was reset; so is the other.
            pass
        writer.transport.abort()


class Worker(platform_standins.Worker):
    """A worker that notes its runs and checks that none is doubled."""

    def __init__(self, soak, number):
        super().__init__()
        self.soak = soak
        self.zone = ZONES[number % len(ZONES)]
        self.name = f'w-{number}'

    def begin(self, task, run):
        self.soak.checks.began(self, task, run)
        # Long enough that faults meet runs in progress.
        self.seconds = 0.05 + (sum(task.encode()) % 50) / 100.0
        super().begin(task, run)

    def end(self, task, run, how):
        if self.runs.get(task) == run:
            self.soak.checks.ended(task, how)
        super().end(task, run, how)

    def crash(self):
        """Lose all runs and come back as another life."""
        for task, run in list(self.runs.items()):
            self.end(task, run, 'crashed')
        self.ended.clear()
        self.highest.clear()
        self.until = 0
        self.born += 1

    def beat(self, sequence, state='ready', **more):
        more = {'zone': self.zone, **more}
        return super().beat(sequence, state, **more)


class Store(platform_standins.Store):
    """Lists each entry at the proxy before it."""

    def __init__(self, soak):
        super().__init__()
        self.soak = soak

    def since(self, table, after):
        found = super().since(table, after)
        if table != members.TABLE:
            return found
        return [self.soak.behind_proxy(row) for row in found]


class Checks:
    """What was seen, against what is promised."""

    def __init__(self):
        self.broken = []
        self.running = {}
        self.done = collections.Counter()
        self.started = set()
        self.closed = {}
        self.dropped = {}
        self.faults = []
        self.answered = collections.Counter()

    def fail(self, promise, detail):
        self.broken.append(Broken(promise, detail))

    def began(self, worker, task, run):
        if task in self.running:
            self.fail('one_run', f'{task} run {run}, {self.running[task]}')
        closed_at = self.closed.get(worker.zone)
        if closed_at and _now() > closed_at + CLOSED_SECONDS:
            self.fail('zone_closed', f'{task} in {worker.zone}')
        self.running[task] = worker.name
        self.started.add(task.partition('.')[0])

    def ended(self, task, how):
        self.running.pop(task, None)
        if how == 'done':
            self.done[task] += 1

    def completed(self, key, count):
        for index in range(count):
            if not self.done[f'{key}.0.0.{index}']:
                self.fail('true_answer', f'{key} task {index} was not done')

    def refused(self, key):
        if key in self.started:
            self.fail('not_run', f'{key} was refused by all and has run')

    def disturbed(self, since):
        """Whether a fault other than a request to stop was near."""
        return any(at > since - CALM_SECONDS for at in self.faults)


class Process:
    """One entry or agent, its settings and the proxies before it."""

    def __init__(self, soak, role, number, app=''):
        self.soak = soak
        self.role = role
        self.name = f'{role}-{number}'
        self.zone = ZONES[number % len(ZONES)]
        self.ports = platform_standins.free_ports(4)
        self.store = Proxy(soak.store.address)
        self.links = Proxy(f'127.0.0.1:{self.ports[3]}')
        self.app = app
        self.process = None
        self.stopping_at = None
        self.log = open(soak.folder / f'{self.name}.log', 'ab')

    async def begin(self):
        await self.store.begin()
        await self.links.begin()
        self.start()

    def start(self):
        """Start it, with the settings in force."""
        self.stopping_at = None
        env = {**os.environ, settings.VARIABLE: str(self.write_settings())}
        self.process = subprocess.Popen(
            [sys.executable, 'deploy/start.py', self.role],
            env=env,
            stdout=self.log,
            stderr=self.log,
        )

    def write_settings(self):
        front, ready, control, links = self.ports
        found = {
            'node_name': self.name,
            'ip': '127.0.0.1',
            'zone': self.zone,
            'bind_addresses': {'control': f'127.0.0.1:{control}'},
            'internal_ports': [links, links],
            'platform': {'address': self.store.address},
            'bounds': {'grace_s': GRACE_SECONDS},
        }
        if self.role == 'entry':
            found['bind_addresses'] = {
                'front': f'127.0.0.1:{front}',
                'ready': f'127.0.0.1:{ready}',
            }
        else:
            found['app'] = self.app
        path = self.soak.folder / f'{self.name}.yaml'
        path.write_text(yaml.safe_dump(found))
        return path

    def send(self, number):
        """Signal the process, if it is there."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.send(signal.SIGKILL)
        self.process.wait()
        self.store.end()
        self.links.end()
        self.log.close()


class Soak:
    """One seed: programs, stand-ins, callers and faults."""

    def __init__(self, seed, seconds, folder, faults):
        self.faults = faults
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        self.checks = Checks()
        self.store = Store(self)
        self.workers = [Worker(self, number) for number in range(AGENTS)]
        self.entries = [
            Process(self, 'entry', number) for number in range(ENTRIES)
        ]
        self.agents = [
            Process(self, 'agent', number, worker.address)
            for number, worker in enumerate(self.workers)
        ]
        self.version = 1
        self.extra = []
        self.calls = 0
        self.tasks = []

    async def play(self):
        """The promises that were broken."""
        self._publish()
        for process in [*self.entries, *self.agents]:
            await process.begin()
        try:
            async with aiohttp.ClientSession() as session:
                await self._run(session)
        finally:
            for task in self.tasks:
                task.cancel()
            for process in [*self.entries, *self.agents]:
                process.end()
            self.store.server.stop()
            for worker in self.workers:
                worker.server.stop()
        return self.checks.broken

    async def _run(self, session):
        for agent, worker in zip(self.agents, self.workers, strict=True):
            self._spawn(self._announce(session, agent, worker))
        for process in [*self.entries, *self.agents]:
            self._spawn(self._keep_running(process))
        await self._served(session, 30.0)
        callers = [self._spawn(self._call_on(session)) for _ in range(CALLERS)]
        end = _now() + self.seconds
        while _now() < end:
            if self.faults:
                self._spawn(self.rng.choice(self.faults)(self))
            await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        await self._heal()
        await self._served(session, SETTLE_SECONDS)
        await asyncio.sleep(RESEND_SECONDS)
        for caller in callers:
            caller.cancel()

    def _spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.append(task)
        return task

    async def _served(self, session, seconds):
        """A job is done within some seconds, or that promise is broken."""
        end = _now() + seconds
        while _now() < end:
            if await self._job(session, tries=1, count=1) == 200:
                return
            await asyncio.sleep(0.2)
        self.checks.fail('serves_again', f'not within {seconds} s')

    async def _heal(self):
        """End all faults that last."""
        for process in [*self.entries, *self.agents]:
            process.send(signal.SIGCONT)
            process.store.mode = process.links.mode = 'calm'
        for worker in self.workers:
            worker.silent = False
        self.store.mode = platform_standins.CALM
        for zone in list(self.checks.closed):
            self._open(zone)

    async def _announce(self, session, agent, worker):
        url = (
            f'http://127.0.0.1:{agent.ports[2]}/v1/instances/'
            f'{worker.name}/heartbeat'
        )
        sequence = 0
        while True:
            sequence += 1
            try:
                timeout = aiohttp.ClientTimeout(total=1.0)
                body = worker.beat(sequence)
                async with session.post(url, json=body, timeout=timeout):
                    await asyncio.sleep(1.0)
            except (aiohttp.ClientError, TimeoutError):
                await asyncio.sleep(0.2)

    async def _keep_running(self, process):
        """A process that ended is started again, as on the platform."""
        while True:
            await asyncio.sleep(0.1)
            if process.process.poll() is not None:
                await asyncio.sleep(self.rng.uniform(0.1, 1.0))
                process.start()
            elif process.stopping_at is not None:
                if _now() > process.stopping_at + GRACE_SECONDS:
                    self.checks.faults.append(_now())
                    process.send(signal.SIGKILL)

    # Callers

    async def _call_on(self, session):
        while True:
            await self._job(session)
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))

    async def _job(self, session, tries=TRIES, count=None):
        """Hand one job in until it is answered; the last status."""
        self.calls += 1
        key = f'{self.calls:016x}'
        count = count or self.rng.choice((1, 2, 8))
        refused, status = True, 0
        for _ in range(tries):
            status = await self._post(session, key, count)
            refused = refused and status in (429, 503)
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(RESEND_SECONDS)
        self.checks.answered[status] += 1
        if status == 200:
            self.checks.completed(key, count)
        if refused:
            self.checks.refused(key)
        return status

    async def _post(self, session, key, count):
        entry = self.rng.choice(self.entries)
        prefix = self.rng.choice(['/dates/', *self.extra])
        url = f'http://127.0.0.1:{entry.ports[0]}{prefix}{key}'
        step = {'count': count, 'cpu': 6200, 'mem_mb': 64, 'estimated_ms': 200}
        body = {'best_effort': True, 'spec': 'x', 'steps': [step]}
        headers = {'Host': HOST, 'X-Deadline-Ms': '4000'}
        sent = _now()
        try:
            async with session.post(
                url,
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=4.5),
            ) as answer:
                status = answer.status
                await answer.read()
        except (aiohttp.ClientError, TimeoutError) as exc:
            self._check_cut(entry, key, sent, exc)
            return 0
        self._check_route(prefix, sent, status, entry)
        return status

    def _check_cut(self, entry, key, sent, exc):
        """A process that was asked to stop cuts no request."""
        planned = entry.stopping_at is not None
        refused = isinstance(exc, aiohttp.ClientConnectorError)
        late = _now() > sent + CUT_SLACK_SECONDS
        if planned and late and not refused:
            if not self.checks.disturbed(sent):
                self.checks.fail('no_cut', f'{key} at {entry.name}: {exc!r}')

    def _check_route(self, prefix, sent, status, entry):
        dropped_at = self.checks.dropped.get(prefix)
        if status == 200 and dropped_at is not None:
            if sent > dropped_at + IN_FORCE_SECONDS + CALM_SECONDS:
                self.checks.fail('in_force', f'{prefix} at {entry.name}')

    # The operator

    def _publish(self):
        self.version += self.rng.randint(1, 9)
        routes = [
            {'name': prefix, 'host': HOST, 'prefix': prefix, 'service': POOL}
            for prefix in ['/dates/', *self.extra]
        ]
        desired = {'version': self.version, 'routes': routes, 'services': []}
        self.store.put('op', 'config', desired)

    def _open(self, zone):
        self.checks.closed.pop(zone, None)
        self.store.drop('op', f'evacuate/{zone}')

    def behind_proxy(self, row):
        for entry in self.entries:
            if entry.name == row['key'] and 'value' in row:
                member = {'address': entry.links.address, 'zone': entry.zone}
                return {**row, 'value': _base64(member)}
        return row

    # Faults

    def _pick(self):
        return self.rng.choice([*self.entries, *self.agents])

    def _note_fault(self):
        self.checks.faults.append(_now())

    async def kill(self):
        self._note_fault()
        self._pick().send(signal.SIGKILL)

    async def kill_most(self):
        self._note_fault()
        for process in [*self.entries, *self.agents]:
            if self.rng.random() < 0.7:
                process.send(signal.SIGKILL)

    async def stop(self):
        process = self._pick()
        if process.stopping_at is None:
            process.stopping_at = _now()
            process.send(signal.SIGTERM)

    async def pause(self):
        process = self._pick()
        self._note_fault()
        process.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        process.send(signal.SIGCONT)
        self._note_fault()

    async def reload(self):
        process = self._pick()
        process.write_settings()
        process.send(signal.SIGHUP)

    async def disturb_links(self):
        await self._disturb(self._pick().links)

    async def disturb_store(self):
        await self._disturb(self._pick().store)

    async def _disturb(self, proxy):
        self._note_fault()
        proxy.mode = self.rng.choice(('slow', 'there', 'back', 'silent'))
        await asyncio.sleep(self.rng.uniform(0.3, 4.0))
        proxy.mode = 'calm'
        self._note_fault()

    async def reset_links(self):
        self._note_fault()
        self._pick().links.reset()

    async def store_away(self):
        self._note_fault()
        self.store.mode = self.rng.choice(('busy', 'many', 'lost'))
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        self.store.mode = platform_standins.CALM
        self._note_fault()

    async def forget_history(self):
        self.store.forget()

    async def crash_worker(self):
        self._note_fault()
        self.rng.choice(self.workers).crash()

    async def silence_worker(self):
        self._note_fault()
        worker = self.rng.choice(self.workers)
        worker.silent = True
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        worker.silent = False
        self._note_fault()

    async def change_routes(self):
        if self.extra and self.rng.random() < 0.5:
            prefix = self.extra.pop()
            self.checks.dropped[prefix] = _now()
        else:
            prefix = f'/extra-{self.version}/'
            self.extra.append(prefix)
        self._publish()

    async def evacuate(self):
        zone = self.rng.choice(ZONES)
        if self.checks.closed:
            return
        self.checks.closed[zone] = _now()
        self.store.put('op', f'evacuate/{zone}', {'zone': zone})
        await asyncio.sleep(self.rng.uniform(2.0, 9.0))
        self._open(zone)


FAULTS = (
    Soak.kill,
    Soak.kill_most,
    Soak.stop,
    Soak.stop,
    Soak.pause,
    Soak.reload,
    Soak.disturb_links,
    Soak.disturb_store,
    Soak.reset_links,
    Soak.store_away,
    Soak.forget_history,
    Soak.crash_worker,
    Soak.silence_worker,
    Soak.change_routes,
    Soak.evacuate,
)


def play(seed, seconds, folder, faults=FAULTS):
    """Play one seed; the promises that were broken, and the answers.

    :param faults: what may happen; with none it is a calm day.
    """

    folder = pathlib.Path(folder)

    async def main():
        soak = Soak(seed, seconds, folder, faults)
        broken = await soak.play()
        return broken, dict(soak.checks.answered)

    broken, answered = asyncio.run(main())
    if broken:
        # Beside the logs of all processes, or it couldn't be traced later.
        lines = [f'{one.promise}: {one.detail}\n' for one in broken]
        (folder / 'broken.txt').write_text(''.join(lines))
    return broken, answered


def _now():
    return asyncio.get_running_loop().time()


def _base64(value):
    return platform_standins.base64.b64encode(
        json.dumps(value).encode()
    ).decode()


def main():
    """Play seeds in a row; exit status 1 if any promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__.partition('\n')[0])
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--count', type=int, default=50)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--logs', default='')
    args = parser.parse_args()
    failed = 0
    logs = pathlib.Path(args.logs or tempfile.gettempdir())
    logs.mkdir(parents=True, exist_ok=True)
    for seed in range(args.first, args.first + args.count):
        # Of its own each time: a later run must not replace what shows why
        # an earlier one failed.
        folder = tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=logs)
        broken, answered = play(seed, args.seconds, folder)
        print(f'seed={seed} broken={len(broken)} answers={answered}')
        for one in broken[:5]:
            print(f'  {one.promise}: {one.detail} (logs in {folder})')
        sys.stdout.flush()
        failed += bool(broken)
        if not broken:
            shutil.rmtree(folder)
    print(f'{args.count - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
