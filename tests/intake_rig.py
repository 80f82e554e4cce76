"""Real processes, ordinary callers, and clients that misbehave beside them.

Two entries and three agents run as processes of their own, with the memory
and the descriptors of a small machine.  Ten ordinary jobs a second are handed
in while clients of another process misbehave, and after they have left.  A
process that passes the memory of its machine is ended, as the platform does.

Play one kind by hand with ``python -m tests.intake_rig held_body route 600``.
"""

import argparse
import asyncio
import collections
import dataclasses
import os
import pathlib
import re
import resource
import signal
import subprocess
import sys
import tempfile

import aiohttp

from tests import misbehaving_clients
from tests import soak

MIB = 1 << 20
MEMORY_MB = 160
"""Memory of a small entry's machine."""

AGENT_MEMORY_MB = 168
DESCRIPTORS = 3075
"""Descriptors of a process; 200 of them are for files."""

JOBS_PER_SECOND = 10
IN_TIME_SECONDS = 3.0
"""Time in which an ordinary job is to be answered, with all its retries."""

AFTER_SECONDS = 4.0
SETTLE_SECONDS = 1.0
WATCH_SECONDS = 0.1
UNREAD_SECONDS = 0.5
SOCKETS = pathlib.Path('/proc/net/tcp')
LISTENING = b'0A'
LOG_END_CHARACTERS = 2000
READY_SECONDS = 1.0
"""Interval and timeout of the balancer's readiness checks."""

HOST = 'clubs.example'
PLACES = ('route', 'none', 'ready')
"""Paths at the entries: of a queue, of none, and that of the balancer."""

CONTROL = 'control'
"""The address of an agent at which its worker announces itself."""

PATHS = {
    'route': '/dates/',
    'none': '/nowhere/',
    'ready': '/v1/ready',
    CONTROL: '/v1/instances/x/heartbeat?',
}
PORTS = {'route': 0, 'none': 0, 'ready': 1, CONTROL: 2}
"""Index of the port among those of a process."""

LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
"""Limits of the desired state as the platform writes them."""

_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_UNREAD = re.compile(
    rb'^ *\d+: \w+:(\w+) \w+:\w+ (\w\w) \w+:(?!00000000)(\w+)', re.MULTILINE
)
"""Local port, state, and unread bytes if there are any."""


@dataclasses.dataclass(frozen=True)
class Dose:
    """Clients of one kind.

    :param place: name of the path that they ask for.
    :param count: number of clients at each entry.
    """

    kind: str
    place: str
    count: int


@dataclasses.dataclass
class Result:
    """What a play has shown.

    :ivar most_mb: most memory of a process, with bytes in its sockets.
    :ivar passed: names of the processes that passed their memory.
    :ivar ended: end of its log by the name of each process that ended by
        itself.
    """

    most_mb: float = 0.0
    passed: set[str] = dataclasses.field(default_factory=set)
    ended: dict[str, str] = dataclasses.field(default_factory=dict)
    during: list[bool] = dataclasses.field(default_factory=list)
    after: list[bool] = dataclasses.field(default_factory=list)
    ready_misses: list[float] = dataclasses.field(default_factory=list)
    statuses: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def describe(self):
        return (
            f'most_mb={self.most_mb:.0f} passed={sorted(self.passed)} '
            f'ended={self.ended} '
            f'during={sum(self.during)}/{len(self.during)} '
            f'after={sum(self.after)}/{len(self.after)} '
            f'ready_misses={len(self.ready_misses)} '
            f'statuses={dict(self.statuses)}'
        )


class Process(soak.Process):
    """A process with the limits of its machine."""

    @property
    def memory_mb(self):
        if self.role == 'agent':
            return AGENT_MEMORY_MB
        return self.soak.memory_mb

    def make_settings(self):
        limits = {
            'memory_mb': self.memory_mb,
            'max_fds': self.soak.descriptors,
        }
        return {**super().make_settings(), 'limits': limits}

    def start(self):
        super().start()
        bounds = (self.soak.descriptors, self.soak.descriptors)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, bounds)

    def read_log_end(self):
        """Return the last lines that the process has written."""
        text = pathlib.Path(self.log.name).read_text(errors='replace')
        return text[-LOG_END_CHARACTERS:]

    def count_bytes(self, unread):
        """Return the memory in use, with unread bytes in sockets.

        :param unread: such bytes by local port.
        """
        try:
            with open(f'/proc/{self.process.pid}/statm') as file:
                pages = int(file.read().split()[1])
        except (OSError, IndexError):
            return 0
        in_sockets = sum(unread.get(port, 0) for port in self.ports)
        return pages * _PAGE_BYTES + in_sockets


class Play(soak.Soak):
    """One play of clients that misbehave beside ordinary callers."""

    entry_count = 2
    agent_count = 3
    process_type = Process
    more_desired = {'limits': LIMITS}

    def __init__(
        self,
        doses,
        folder,
        seconds=5.0,
        memory_mb=MEMORY_MB,
        descriptors=DESCRIPTORS,
        after_seconds=AFTER_SECONDS,
    ):
        super().__init__(1, seconds, folder, ())
        self.doses = doses
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.after_seconds = after_seconds
        self.result = Result()
        self.unread = {}

    async def _run(self, session):
        self.session = session
        for agent, worker in zip(self.agents, self.workers, strict=True):
            self._spawn(self._announce(session, agent, worker))
        await self._check_service(session, 30.0)
        self._spawn(self._watch_memory())
        for entry in self.entries:
            self._spawn(self._check_ready(entry))
        clients = [
            self._start_clients(dose, number)
            for number, dose in enumerate(self.doses)
        ]
        try:
            await self._hand_in_jobs(self.seconds, self.result.during)
        finally:
            for client in clients:
                client.kill()
                client.wait()
        await asyncio.sleep(SETTLE_SECONDS)
        await self._hand_in_jobs(self.after_seconds, self.result.after)

    def _start_clients(self, dose, number):
        port = PORTS[dose.place]
        targets = self.agents if dose.place == CONTROL else self.entries
        return subprocess.Popen(
            [
                sys.executable,
                '-m',
                'tests.misbehaving_clients',
                dose.kind,
                *(f'127.0.0.1:{target.ports[port]}' for target in targets),
                f'--path={PATHS[dose.place]}',
                f'--host={HOST}',
                f'--count={dose.count}',
                f'--number={1 + number * 100_000}',
                f'--seconds={self.seconds}',
            ]
        )

    # Ordinary callers

    async def _hand_in_jobs(self, seconds, results):
        """Hand in jobs at a steady rate; record which were in time."""
        posts = []
        for _ in range(int(seconds * JOBS_PER_SECOND)):
            posts.append(self._spawn(self._hand_in_job()))
            await asyncio.sleep(1.0 / JOBS_PER_SECOND)
        results += await asyncio.gather(*posts)

    async def _hand_in_job(self):
        """Return whether a job was completed in time."""
        status = 0
        try:
            async with asyncio.timeout(IN_TIME_SECONDS):
                status = await self._submit_job(self.session, count=2)
        except TimeoutError:
            pass
        self.result.statuses[status] += 1
        return status == 200

    async def _check_ready(self, entry):
        """Record when the readiness check of an entry fails."""
        url = f'http://127.0.0.1:{entry.ports[1]}/v1/ready'
        timeout = aiohttp.ClientTimeout(total=READY_SECONDS)
        while True:
            try:
                async with self.session.get(url, timeout=timeout) as answer:
                    ready = answer.status == 200
            except (aiohttp.ClientError, TimeoutError):
                ready = False
            if not ready:
                self.result.ready_misses.append(_now())
            await asyncio.sleep(READY_SECONDS)

    # The machine

    async def _watch_memory(self):
        """End each process that passes the memory of its machine."""
        self._spawn(self._watch_unread())
        while True:
            for process in [*self.entries, *self.agents]:
                self._check_process(process, self.unread)
            await asyncio.sleep(WATCH_SECONDS)

    async def _watch_unread(self):
        """Count the bytes in sockets, beside the ordinary callers."""
        while True:
            # With thousands of sockets, the system takes long for the list.
            table = await asyncio.to_thread(SOCKETS.read_bytes)
            self.unread = _count_unread(table)
            await asyncio.sleep(UNREAD_SECONDS)

    def _check_process(self, process, unread):
        if process.name in self.result.passed:
            return
        if process.process.poll() is not None:
            self.result.ended.setdefault(process.name, process.read_log_end())
            return
        used = process.count_bytes(unread)
        self.result.most_mb = max(self.result.most_mb, used / MIB)
        if used > process.memory_mb * MIB:
            self.result.passed.add(process.name)
            process.send_signal(signal.SIGKILL)


def _count_unread(table):
    """Return the unread bytes in all sockets by local port."""
    unread = {}
    for port, state, waiting in _UNREAD.findall(table):
        # The queue of a listening socket holds connections, not bytes.
        if state != LISTENING:
            number = int(port, 16)
            unread[number] = unread.get(number, 0) + int(waiting, 16)
    return unread


def _now():
    return asyncio.get_running_loop().time()


def play(doses, folder, **options):
    """Play some clients; return the result."""

    async def main():
        played = Play(doses, pathlib.Path(folder), **options)
        await played.run()
        return played.result

    return asyncio.run(main())


def main():
    """Play one kind of clients, and print what was seen."""
    parser = argparse.ArgumentParser(description=__doc__.partition('\n')[0])
    parser.add_argument('kind', choices=misbehaving_clients.KINDS)
    parser.add_argument('place', choices=PATHS)
    parser.add_argument('count', type=int)
    parser.add_argument('--seconds', type=float, default=5.0)
    parser.add_argument('--memory', type=int, default=MEMORY_MB)
    parser.add_argument('--descriptors', type=int, default=DESCRIPTORS)
    parser.add_argument('--after', type=float, default=AFTER_SECONDS)
    parser.add_argument('--logs', default='', help='folder of the logs')
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = args.logs or temporary
        result = play(
            [Dose(args.kind, args.place, args.count)],
            folder,
            seconds=args.seconds,
            memory_mb=args.memory,
            descriptors=args.descriptors,
            after_seconds=args.after,
        )
    print(f'{args.kind} {args.place} {args.count} {result.describe()}')


if __name__ == '__main__':
    main()
