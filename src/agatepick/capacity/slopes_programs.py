"""Measurement of separate processes, and the settings to start them with.

``scripts/measure_slopes.sh`` starts the processes from the settings that
:func:`write_settings` writes to a directory, and records their pids in it.
:func:`measure_points` then samples the processes and returns points, which the
command ``agatepick bench slopes`` prints one per line.
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
SLOTS_PER_AGENT = 8
SETTLE_SECONDS = 8.0
IDLE_SECONDS = 10.0
TASK_SECONDS = 0.02
TASKS_PER_POINT = 5200
"""Tasks submitted for one point under load: 40 jobs of 130 tasks."""
TASKS_PER_JOB = (1, 8, 32, 130)
MEMORY_POINT_COUNT = 5
MAX_OPEN_TASKS = 260
"""Limit of tasks in submitted jobs that have no answer yet.  Further tasks
would only wait in the entry's queue."""
OPERATOR_TOKEN = 'slopes-operator-token'

MODE_IDLE_BY_AGENTS = 'idle-by-agents'
MODE_IDLE_BY_ENTRIES = 'idle-by-entries'
MODE_LOADED = 'loaded'
MODE_REMEMBERED = 'remembered'

LINE_SPECS = (
    slopes.LineSpec(
        'entry_idle_core', 'agents', 'cores', 'process', '2 entries, idle'
    ),
    slopes.LineSpec(
        'entry_resident', 'agents', 'B', 'process', '2 entries, idle'
    ),
    slopes.LineSpec(
        'agent_idle_core', 'entries', 'cores', 'process', '4 agents, idle'
    ),
    slopes.LineSpec(
        'agent_resident', 'entries', 'B', 'process', '4 agents, idle'
    ),
    slopes.LineSpec(
        'entry_cpu_by_tasks', 'tasks a job', 's/job', 'process', 'one entry'
    ),
    slopes.LineSpec(
        'agent_cpu_by_tasks',
        'tasks a job',
        's/job',
        'process',
        'one entry, all agents',
    ),
    slopes.LineSpec(
        'entry_resident_by_jobs',
        'remembered jobs',
        'B',
        'process',
        'jobs of one task',
    ),
    slopes.LineSpec(
        'entry_resident_by_tasks',
        'remembered tasks',
        'B',
        'process',
        'jobs of 130 tasks',
    ),
)


class Point(msgspec.Struct, frozen=True):
    """One measured point, which the script's file has as a line of JSON.

    :param line: name of the cost line that the point belongs to.
    """

    line: str
    size: float
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Program:
    """One process for the script to start.

    :param command: command of ``agatepick``, such as ``entry``.
    :param config: path of the settings file.
    """

    role: str
    command: str
    config: str

    def as_line(self) -> str:
        """Return the line for the script, with fields separated by tabs."""
        return f'{self.role}\t{self.command}\t{self.config}'


def find_free_ports(count: int) -> list[int]:
    """Return numbers of TCP ports that are free at present."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((HOST, 0))
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def write_settings(directory: pathlib.Path, entries: int, agents: int) -> None:
    """Write settings for a table service, entries, agents and upstreams."""
    directory.mkdir(parents=True, exist_ok=True)
    ports = iter(find_free_ports(1 + 2 * entries + 2 * agents))
    programs = [_write_table_settings(directory, table_port := next(ports))]
    http_ports, peer_ports = [], []
    for number in range(entries):
        http_ports.append(next(ports))
        peer_ports.append(next(ports))
        text = _format_entry_settings(
            number, http_ports[-1], peer_ports[-1], table_port
        )
        programs.append(
            _write_program_settings(directory, 'entry', 'entry', number, text)
        )
    for number in range(agents):
        announce_port, run_port = next(ports), next(ports)
        text = _format_agent_settings(number, announce_port, peer_ports)
        programs.append(
            _write_program_settings(directory, 'agent', 'agent', number, text)
        )
        text = _format_upstream_settings(number, announce_port, run_port)
        programs.append(
            _write_program_settings(
                directory, 'upstream', 'standin upstream', number, text
            )
        )
    lines = ''.join(program.as_line() + '\n' for program in programs)
    (directory / 'programs').write_text(lines)
    urls = ''.join(f'http://{HOST}:{port}\n' for port in http_ports)
    (directory / 'urls').write_text(urls)


def _write_program_settings(
    directory: pathlib.Path, role: str, command: str, number: int, text: str
) -> Program:
    path = directory / f'{role}-{number}.toml'
    path.write_text(text)
    return Program(role, command, str(path))


def _write_table_settings(directory: pathlib.Path, port: int) -> Program:
    text = f'[table]\nlisten = "{HOST}:{port}"\n'
    return _write_program_settings(
        directory, 'table', 'standin table', 0, text
    )


def _format_entry_settings(
    number: int, http_port: int, peer_port: int, table_port: int
) -> str:
    return (
        f'[process]\nname = "entry-{number}"\nzone = "zone-{number % 4}"\n'
        f'[http]\nlisten = "{HOST}:{http_port}"\n'
        f'[peers]\nlisten = "{HOST}:{peer_port}"\n'
        f'[store]\nurl = "http://{HOST}:{table_port}"\n'
        f'[tokens]\noperator = "{OPERATOR_TOKEN}"\n'
        '[tls]\nenabled = false\n[log]\nlevel = "warning"\n'
    )


def _format_agent_settings(
    number: int, announce_port: int, peer_ports: list[int]
) -> str:
    seeds = ', '.join(f'"{HOST}:{port}"' for port in peer_ports)
    return (
        f'[process]\nname = "agent-{number}"\nzone = "zone-{number % 4}"\n'
        f'rack = "rack-{number // 3}"\n'
        f'[entries]\nseeds = [{seeds}]\n'
        f'[upstream]\nlisten = "{HOST}:{announce_port}"\n'
        '[tls]\nenabled = false\n[log]\nlevel = "warning"\n'
    )


def _format_upstream_settings(
    number: int, announce_port: int, run_port: int
) -> str:
    return (
        f'[worker]\nname = "worker-{number}"\n'
        f'listen = "{HOST}:{run_port}"\n'
        f'agent = "http://{HOST}:{announce_port}"\n'
        f'kinds = ["short"]\nslots = {SLOTS_PER_AGENT}\n'
        f'[log]\nlevel = "warning"\n'
    )


def measure_points(directory: pathlib.Path, mode: str) -> list[Point]:
    """Measure the processes that the script has started.

    :param mode: one of the constants :data:`MODE_IDLE_BY_AGENTS`,
        :data:`MODE_IDLE_BY_ENTRIES`, :data:`MODE_LOADED` and
        :data:`MODE_REMEMBERED`.
    """
    pids = _read_pids(directory)
    time.sleep(SETTLE_SECONDS)
    if mode in (MODE_LOADED, MODE_REMEMBERED):
        return asyncio.run(_measure_loaded(directory, pids, mode))
    return _measure_idle(pids, mode)


def _read_pids(directory: pathlib.Path) -> dict[str, list[int]]:
    pids: dict[str, list[int]] = {}
    for line in (directory / 'pids').read_text().splitlines():
        role, pid = line.split('\t')
        pids.setdefault(role, []).append(int(pid))
    return pids


def _take_samples(pids: list[int]) -> list[slopes_process.Sample]:
    return [slopes_process.take_sample(pid) for pid in pids]


def _measure_idle(pids: dict[str, list[int]], mode: str) -> list[Point]:
    role = 'entry' if mode == MODE_IDLE_BY_AGENTS else 'agent'
    size = len(pids['agent' if role == 'entry' else 'entry'])
    before = _take_samples(pids[role])
    time.sleep(IDLE_SECONDS)
    after = _take_samples(pids[role])
    usage = slopes_process.compute_mean_usage(
        [
            slopes_process.compute_usage(old, new, IDLE_SECONDS)
            for old, new in zip(before, after, strict=True)
        ]
    )
    return [
        Point(f'{role}_idle_core', size, usage.core_share),
        Point(f'{role}_resident', size, usage.resident_bytes),
    ]


class RoundRobinBalancer:
    """Balancer that selects the entries in turn."""

    def __init__(self, urls: list[str]):
        self._urls = urls
        self._next = 0

    def pick(self, avoided_url: str = '') -> str:
        """Return the URL of the next entry."""
        self._next += 1
        return self._urls[self._next % len(self._urls)]


async def _measure_loaded(
    directory: pathlib.Path, pids: dict[str, list[int]], mode: str
) -> list[Point]:
    urls = (directory / 'urls').read_text().split()
    recorder = bench_upstream.StartRecorder(clocks.ProcessClock.start())
    callers = bench_callers.Callers(
        RoundRobinBalancer(urls), recorder, 0.0, random.Random(1)
    )
    points: list[Point] = []
    try:
        if mode == MODE_REMEMBERED:
            line = 'entry_resident_by_tasks'
            return await _measure_memory(callers, pids, 130, line)
        points += await _measure_memory(
            callers, pids, 1, 'entry_resident_by_jobs'
        )
        for tasks_per_job in TASKS_PER_JOB:
            points += await _measure_cpu(callers, pids, tasks_per_job)
    finally:
        callers.close()
    return points


async def _measure_memory(
    callers: bench_callers.Callers,
    pids: dict[str, list[int]],
    tasks_per_job: int,
    line: str,
) -> list[Point]:
    points = []
    sent = 0
    for _ in range(MEMORY_POINT_COUNT):
        sent += await _submit_jobs(callers, tasks_per_job)
        resident = slopes_process.compute_mean_usage(
            [
                slopes_process.compute_usage(sample, sample, 1.0)
                for sample in _take_samples(pids['entry'])
            ]
        ).resident_bytes
        points.append(Point(line, sent * tasks_per_job, resident))
    return points


async def _measure_cpu(
    callers: bench_callers.Callers,
    pids: dict[str, list[int]],
    tasks_per_job: int,
) -> list[Point]:
    roles = ('entry', 'agent')
    before = {role: _take_samples(pids[role]) for role in roles}
    jobs = await _submit_jobs(callers, tasks_per_job)
    after = {role: _take_samples(pids[role]) for role in roles}
    return [
        Point(
            f'{role}_cpu_by_tasks',
            tasks_per_job,
            _sum_cpu_seconds(before[role], after[role]) / jobs,
        )
        for role in roles
    ]


def _sum_cpu_seconds(
    before: list[slopes_process.Sample], after: list[slopes_process.Sample]
) -> float:
    return sum(
        new.cpu_seconds - old.cpu_seconds
        for old, new in zip(before, after, strict=True)
    )


async def _submit_jobs(
    callers: bench_callers.Callers, tasks_per_job: int
) -> int:
    """Submit jobs of one size with bounded concurrency.

    :returns: the number of jobs.
    """
    count = max(40, TASKS_PER_POINT // tasks_per_job)
    plan = (bench_arrivals.TaskPlan('short', TASK_SECONDS, TASK_SECONDS),)
    semaphore = asyncio.Semaphore(max(1, MAX_OPEN_TASKS // tasks_per_job))

    async def submit_job(number: int) -> None:
        job = bench_arrivals.JobPlan(
            number, 0.0, f'team-{number % 4}', plan * tasks_per_job
        )
        async with semaphore:
            await callers.submit(job)

    await asyncio.gather(*(submit_job(number) for number in range(count)))
    return count


def load_points(
    path: pathlib.Path,
) -> collections.abc.Mapping[str, list[tuple[float, float]]]:
    """Load the points from the script's file.

    :returns: pairs of size and cost, by name of the cost line.
    """
    points: dict[str, list[tuple[float, float]]] = {}
    for line in path.read_bytes().splitlines():
        point = msgspec.json.decode(line, type=Point)
        points.setdefault(point.line, []).append((point.size, point.cost))
    return points
