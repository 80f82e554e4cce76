"""Figures of real processes: settings to start them by, and their reading.

``scripts/measure_slopes.sh`` starts the processes from the settings that
:func:`write` leaves in a directory and notes their pids there; :func:`read`
then watches them and prints one point a line.
"""

import asyncio
import collections.abc
import dataclasses
import pathlib
import random
import socket
import time

import msgspec

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_callers
from agatepick.bench import bench_upstream
from agatepick.capacity import slopes
from agatepick.capacity import slopes_process
from agatepick.net import clocks

HOST = '127.0.0.1'
SLOTS = 8
SETTLE_SECONDS = 8.0
READ_SECONDS = 10.0
TASK_SECONDS = 0.02
TASKS_A_STEP = 5200
"""Tasks sent for one point under load: 40 jobs of 130 tasks."""
TASKS_A_JOB = (1, 8, 32, 130)
MEMORY_STEPS = 5
OPEN_TASKS = 260
"""Tasks under way at once; more would only wait in the entry's queue."""
OPERATOR_TOKEN = 'slopes-operator-token'

IDLE_BY_AGENTS = 'idle-by-agents'
IDLE_BY_ENTRIES = 'idle-by-entries'
LOADED = 'loaded'
REMEMBERED = 'remembered'

SUBJECTS = (
    slopes.Subject(
        'entry_idle_core', 'agents', 'cores', 'process', '2 entries, idle'
    ),
    slopes.Subject(
        'entry_resident', 'agents', 'B', 'process', '2 entries, idle'
    ),
    slopes.Subject(
        'agent_idle_core', 'entries', 'cores', 'process', '4 agents, idle'
    ),
    slopes.Subject(
        'agent_resident', 'entries', 'B', 'process', '4 agents, idle'
    ),
    slopes.Subject(
        'entry_cpu_by_tasks', 'tasks a job', 's/job', 'process', 'one entry'
    ),
    slopes.Subject(
        'agent_cpu_by_tasks',
        'tasks a job',
        's/job',
        'process',
        'one entry, all agents',
    ),
    slopes.Subject(
        'entry_resident_by_jobs',
        'remembered jobs',
        'B',
        'process',
        'jobs of one task',
    ),
    slopes.Subject(
        'entry_resident_by_tasks',
        'remembered tasks',
        'B',
        'process',
        'jobs of 130 tasks',
    ),
)


class Point(msgspec.Struct, frozen=True):
    """One measured point, a line of JSON in the script's file."""

    line: str
    size: float
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Program:
    """One process to start: a command of ``agatepick`` and its settings."""

    role: str
    command: str
    config: str

    def as_line(self) -> str:
        """The line that the script reads, parted by tabs."""
        return f'{self.role}\t{self.command}\t{self.config}'


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens on just now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((HOST, 0))
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def write(place: pathlib.Path, entries: int, agents: int) -> None:
    """Write settings for a table service, entries, agents and upstreams."""
    place.mkdir(parents=True, exist_ok=True)
    ports = iter(free_ports(1 + 2 * entries + 2 * agents))
    programs = [_table(place, table := next(ports))]
    http, peers = [], []
    for number in range(entries):
        http.append(next(ports))
        peers.append(next(ports))
        text = _entry_text(number, http[-1], peers[-1], table)
        programs.append(_program(place, 'entry', 'entry', number, text))
    for number in range(agents):
        announce, run = next(ports), next(ports)
        text = _agent_text(number, announce, peers)
        programs.append(_program(place, 'agent', 'agent', number, text))
        text = _upstream_text(number, announce, run)
        programs.append(
            _program(place, 'upstream', 'standin upstream', number, text)
        )
    lines = ''.join(program.as_line() + '\n' for program in programs)
    (place / 'programs').write_text(lines)
    urls = ''.join(f'http://{HOST}:{port}\n' for port in http)
    (place / 'urls').write_text(urls)


def _program(
    place: pathlib.Path, role: str, command: str, number: int, text: str
) -> Program:
    path = place / f'{role}-{number}.toml'
    path.write_text(text)
    return Program(role, command, str(path))


def _table(place: pathlib.Path, port: int) -> Program:
    text = f'[table]\nlisten = "{HOST}:{port}"\n'
    return _program(place, 'table', 'standin table', 0, text)


def _entry_text(number: int, http: int, peers: int, table: int) -> str:
    return (
        f'[process]\nname = "entry-{number}"\nzone = "zone-{number % 4}"\n'
        f'[http]\nlisten = "{HOST}:{http}"\n'
        f'[peers]\nlisten = "{HOST}:{peers}"\n'
        f'[store]\nurl = "http://{HOST}:{table}"\n'
        f'[tokens]\noperator = "{OPERATOR_TOKEN}"\n'
        '[tls]\nenabled = false\n[log]\nlevel = "warning"\n'
    )


def _agent_text(number: int, announce: int, peers: list[int]) -> str:
    seeds = ', '.join(f'"{HOST}:{port}"' for port in peers)
    return (
        f'[process]\nname = "agent-{number}"\nzone = "zone-{number % 4}"\n'
        f'rack = "rack-{number // 3}"\n'
        f'[entries]\nseeds = [{seeds}]\n'
        f'[upstream]\nlisten = "{HOST}:{announce}"\n'
        '[tls]\nenabled = false\n[log]\nlevel = "warning"\n'
    )


def _upstream_text(number: int, announce: int, run: int) -> str:
    return (
        f'[worker]\nname = "worker-{number}"\n'
        f'listen = "{HOST}:{run}"\n'
        f'agent = "http://{HOST}:{announce}"\n'
        f'kinds = ["short"]\nslots = {SLOTS}\n[log]\nlevel = "warning"\n'
    )


def read(place: pathlib.Path, mode: str) -> list[Point]:
    """Watch the processes that the script has started."""
    pids = _pids(place)
    time.sleep(SETTLE_SECONDS)
    if mode in (LOADED, REMEMBERED):
        return asyncio.run(_loaded(place, pids, mode))
    return _idle(pids, mode)


def _pids(place: pathlib.Path) -> dict[str, list[int]]:
    pids: dict[str, list[int]] = {}
    for line in (place / 'pids').read_text().splitlines():
        role, pid = line.split('\t')
        pids.setdefault(role, []).append(int(pid))
    return pids


def _samples(pids: list[int]) -> list[slopes_process.Sample]:
    return [slopes_process.sample(pid) for pid in pids]


def _idle(pids: dict[str, list[int]], mode: str) -> list[Point]:
    role = 'entry' if mode == IDLE_BY_AGENTS else 'agent'
    size = len(pids['agent' if role == 'entry' else 'entry'])
    before = _samples(pids[role])
    time.sleep(READ_SECONDS)
    after = _samples(pids[role])
    used = slopes_process.mean_use(
        [
            slopes_process.use(old, new, READ_SECONDS)
            for old, new in zip(before, after, strict=True)
        ]
    )
    return [
        Point(f'{role}_idle_core', size, used.core_share),
        Point(f'{role}_resident', size, used.resident_bytes),
    ]


class FixedBalancer:
    """Callers of the running programs; takes entries in turn."""

    def __init__(self, urls: list[str]):
        self._urls = urls
        self._next = 0

    def pick(self, avoid: str = '') -> str:
        """The next entry."""
        self._next += 1
        return self._urls[self._next % len(self._urls)]


async def _loaded(
    place: pathlib.Path, pids: dict[str, list[int]], mode: str
) -> list[Point]:
    urls = (place / 'urls').read_text().split()
    book = bench_upstream.StartBook(clocks.ProcessClock.start())
    callers = bench_callers.Callers(
        FixedBalancer(urls), book, 0.0, random.Random(1)
    )
    points: list[Point] = []
    try:
        if mode == REMEMBERED:
            line = 'entry_resident_by_tasks'
            return await _memory(callers, pids, 130, line)
        points += await _memory(callers, pids, 1, 'entry_resident_by_jobs')
        for tasks in TASKS_A_JOB:
            points += await _cpu(callers, pids, tasks)
    finally:
        callers.close()
    return points


async def _memory(
    callers: bench_callers.Callers,
    pids: dict[str, list[int]],
    tasks: int,
    line: str,
) -> list[Point]:
    points = []
    sent = 0
    for _ in range(MEMORY_STEPS):
        sent += await _send(callers, tasks)
        resident = slopes_process.mean_use(
            [
                slopes_process.use(one, one, 1.0)
                for one in _samples(pids['entry'])
            ]
        ).resident_bytes
        points.append(Point(line, sent * tasks, resident))
    return points


async def _cpu(
    callers: bench_callers.Callers, pids: dict[str, list[int]], tasks: int
) -> list[Point]:
    roles = ('entry', 'agent')
    before = {role: _samples(pids[role]) for role in roles}
    jobs = await _send(callers, tasks)
    after = {role: _samples(pids[role]) for role in roles}
    return [
        Point(
            f'{role}_cpu_by_tasks',
            tasks,
            _cpu_seconds(before[role], after[role]) / jobs,
        )
        for role in roles
    ]


def _cpu_seconds(
    before: list[slopes_process.Sample], after: list[slopes_process.Sample]
) -> float:
    return sum(
        new.cpu_seconds - old.cpu_seconds
        for old, new in zip(before, after, strict=True)
    )


async def _send(callers: bench_callers.Callers, tasks: int) -> int:
    """Send jobs of one size, a bounded number at once; how many."""
    count = max(40, TASKS_A_STEP // tasks)
    plan = (bench_arrivals.TaskPlan('short', TASK_SECONDS, TASK_SECONDS),)
    gate = asyncio.Semaphore(max(1, OPEN_TASKS // tasks))

    async def one(number: int) -> None:
        job = bench_arrivals.JobPlan(
            number, 0.0, f'team-{number % 4}', plan * tasks
        )
        async with gate:
            await callers.submit(job)

    await asyncio.gather(*(one(number) for number in range(count)))
    return count


def load_points(
    path: pathlib.Path,
) -> collections.abc.Mapping[str, list[tuple[float, float]]]:
    """Points by line from the script's file."""
    points: dict[str, list[tuple[float, float]]] = {}
    for line in path.read_bytes().splitlines():
        point = msgspec.json.decode(line, type=Point)
        points.setdefault(point.line, []).append((point.size, point.cost))
    return points
