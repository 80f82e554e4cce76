"""Measurement of messages and bytes on links, over installation sizes.

The links count every frame exactly, so these figures need no separate
processes, unlike processor time and memory
(:mod:`agatepick.capacity.slopes_process`).
"""

import asyncio
import collections
import collections.abc
import dataclasses

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_cluster
from agatepick.bench import bench_plan
from agatepick.bench import bench_run
from agatepick.bench import bench_upstream
from agatepick.capacity import slopes
from agatepick.config import cluster
from agatepick.net import clocks
from agatepick.net import links

IDLE_SECONDS = 8.0
CHANGE_SECONDS = 12.0
LOADED_SECONDS = 6.0
LOADED_SHARE = 0.5
TASK_SECONDS = 0.1
SETTLE_SECONDS = 2.0
"""Time after the start until all links have completed their handshakes and the
configuration lists all entries."""
AGENT_COUNTS = (4, 8, 16, 32)
ENTRY_COUNTS = (2, 3, 4, 6)
FEW_AGENTS = 4
FEW_ENTRIES = 2
CHANGES_PER_SECOND = (0.5, 1.0, 2.0, 4.0)
TASKS_PER_JOB = (1, 4, 16, 64, 130)
TEAM_COUNTS = (2, 8, 24, 64)

LINE_SPECS = (
    slopes.LineSpec(
        'entry_control_bytes',
        'agents',
        'B/s',
        'wire',
        f'{FEW_ENTRIES} entries, idle',
    ),
    slopes.LineSpec(
        'entry_control_messages',
        'agents',
        'messages/s',
        'wire',
        f'{FEW_ENTRIES} entries, idle',
    ),
    slopes.LineSpec(
        'entry_control_bytes_by_entries',
        'entries',
        'B/s',
        'wire',
        f'{FEW_AGENTS} agents, idle',
    ),
    slopes.LineSpec(
        'agent_control_bytes',
        'entries',
        'B/s',
        'wire',
        f'{FEW_AGENTS} agents, idle',
    ),
    slopes.LineSpec(
        'table_reads',
        'entries',
        'reads/s',
        'wire',
        f'{FEW_AGENTS} agents, idle',
    ),
    slopes.LineSpec(
        'table_writes',
        'entries',
        'writes/s',
        'wire',
        f'{FEW_AGENTS} agents, idle',
    ),
    slopes.LineSpec(
        'entry_bytes_by_changes',
        'changes/s',
        'B/s',
        'wire',
        f'{FEW_ENTRIES} entries, {FEW_AGENTS} agents',
    ),
    slopes.LineSpec(
        'table_reads_by_changes',
        'changes/s',
        'reads/s',
        'wire',
        f'{FEW_ENTRIES} entries, {FEW_AGENTS} agents',
    ),
    slopes.LineSpec(
        'table_writes_by_changes',
        'changes/s',
        'writes/s',
        'wire',
        f'{FEW_ENTRIES} entries, {FEW_AGENTS} agents',
    ),
    slopes.LineSpec(
        'job_messages',
        'tasks a job',
        'messages/job',
        'wire',
        'lectores, half of the slots busy, heartbeats left out',
    ),
    slopes.LineSpec(
        'job_bytes',
        'tasks a job',
        'B/job',
        'wire',
        'lectores, half of the slots busy',
    ),
    slopes.LineSpec(
        'team_messages',
        'teams',
        'messages/s',
        'wire',
        'quotas set, half of the slots busy',
    ),
)

Points = dict[str, list[tuple[float, float]]]


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficRate:
    """Traffic of one process per second."""

    messages: float
    bytes: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Counters of one installation at one instant.

    :param entries: messages and bytes of each entry, both sent and received;
        ``agents`` likewise.
    :param reads: requests to the table service; ``writes`` likewise.
    """

    entries: tuple[tuple[int, int], ...]
    agents: tuple[tuple[int, int], ...]
    reads: int
    writes: int


def measure() -> tuple[slopes.Line, ...]:
    """Measure all lines of this module in about three minutes."""
    points: Points = collections.defaultdict(list)
    for count in AGENT_COUNTS:
        asyncio.run(measure_idle(points, FEW_ENTRIES, count, by_agents=True))
    for count in ENTRY_COUNTS:
        asyncio.run(measure_idle(points, count, FEW_AGENTS, by_agents=False))
    for rate in CHANGES_PER_SECOND:
        asyncio.run(measure_changes(points, rate))
    for tasks in TASKS_PER_JOB:
        asyncio.run(measure_loaded(points, tasks))
    for teams in TEAM_COUNTS:
        asyncio.run(measure_quotas(points, teams))
    return slopes.fit_all(LINE_SPECS, points)


def read_counters(installation: bench_cluster.Cluster) -> Reading:
    """Read all counters of an installation."""
    counts = installation.table.counts
    return Reading(
        tuple(
            sum_traffic(site.process.links.traffic)
            for site in installation.entries
        ),
        tuple(
            sum_traffic(site.process.links.traffic)
            for site in installation.agents
        ),
        counts.reads,
        counts.writes,
    )


def sum_traffic(traffic: links.Traffic) -> tuple[int, int]:
    """Return the messages and the bytes, each the sum of both directions."""
    return (
        traffic.messages_in + traffic.messages_out,
        traffic.bytes_in + traffic.bytes_out,
    )


def compute_mean_traffic(
    before: collections.abc.Sequence[tuple[int, int]],
    after: collections.abc.Sequence[tuple[int, int]],
    seconds: float,
) -> TrafficRate:
    """Compute the mean traffic per process and second, for one role.

    :param before: messages and bytes of each process; ``after`` likewise.
    :param seconds: time between the two readings.
    """
    count = len(before) * seconds
    pairs = list(zip(before, after, strict=True))
    return TrafficRate(
        sum(new[0] - old[0] for old, new in pairs) / count,
        sum(new[1] - old[1] for old, new in pairs) / count,
    )


def make_setup(
    entries: int, agents: int, jobs: tuple[bench_arrivals.JobPlan, ...] = ()
) -> tuple[
    bench_arrivals.Load, bench_plan.Deployment, bench_upstream.StartRecorder
]:
    """Return a load, a deployment and a start recorder for one measurement."""
    deployment = dataclasses.replace(
        bench_plan.DEPLOYMENTS['lectores'], entries=entries, workers=agents
    )
    pattern = bench_plan.Pattern.STEADY
    load = bench_arrivals.Load(pattern, 1, LOADED_SECONDS, LOADED_SHARE, jobs)
    recorder = bench_upstream.StartRecorder(clocks.ProcessClock.start())
    return load, deployment, recorder


async def measure_idle(
    points: Points, entries: int, agents: int, by_agents: bool
) -> None:
    """Measure an installation without jobs; add the points of its lines.

    :param by_agents: whether the points are for lines over the number of
        agents; otherwise over that of entries.
    """
    load, deployment, recorder = make_setup(entries, agents)
    clock = clocks.ProcessClock.start()
    installation = bench_cluster.Cluster(load, deployment, clock, recorder)
    try:
        await installation.start()
        await asyncio.sleep(SETTLE_SECONDS)
        before = read_counters(installation)
        await asyncio.sleep(IDLE_SECONDS)
        after = read_counters(installation)
    finally:
        await installation.stop()
    entry = compute_mean_traffic(before.entries, after.entries, IDLE_SECONDS)
    agent = compute_mean_traffic(before.agents, after.agents, IDLE_SECONDS)
    if by_agents:
        points['entry_control_bytes'].append((agents, entry.bytes))
        points['entry_control_messages'].append((agents, entry.messages))
        return
    reads = (after.reads - before.reads) / IDLE_SECONDS
    writes = (after.writes - before.writes) / IDLE_SECONDS
    points['entry_control_bytes_by_entries'].append((entries, entry.bytes))
    points['agent_control_bytes'].append((entries, agent.bytes))
    points['table_reads'].append((entries, reads))
    points['table_writes'].append((entries, writes))


async def measure_changes(points: Points, rate: float) -> None:
    """Measure an installation during changes of its configuration.

    :param rate: changes per second.
    """
    load, deployment, recorder = make_setup(FEW_ENTRIES, FEW_AGENTS)
    clock = clocks.ProcessClock.start()
    installation = bench_cluster.Cluster(load, deployment, clock, recorder)
    try:
        await installation.start()
        await asyncio.sleep(SETTLE_SECONDS)
        before, since = read_counters(installation), recorder.now()
        change_count = 0
        while recorder.now() - since < CHANGE_SECONDS:
            await asyncio.sleep(since + change_count / rate - recorder.now())
            await installation.change(
                cluster.SettingSet('bench', str(change_count))
            )
            change_count += 1
        seconds = recorder.now() - since
        after = read_counters(installation)
    finally:
        await installation.stop()
    entry = compute_mean_traffic(before.entries, after.entries, seconds)
    actual_rate = change_count / seconds
    points['entry_bytes_by_changes'].append((actual_rate, entry.bytes))
    reads = (after.reads - before.reads) / seconds
    writes = (after.writes - before.writes) / seconds
    points['table_reads_by_changes'].append((actual_rate, reads))
    points['table_writes_by_changes'].append((actual_rate, writes))


def make_even_jobs(
    deployment: bench_plan.Deployment, tasks: int, teams: int = 1
) -> tuple[bench_arrivals.JobPlan, ...]:
    """Return jobs of equal size at equal intervals.

    They keep :data:`LOADED_SHARE` of the slots busy.

    :param tasks: tasks of each job.
    """
    plan = (bench_arrivals.TaskPlan('short', TASK_SECONDS, TASK_SECONDS),)
    work = LOADED_SHARE * LOADED_SECONDS * deployment.total_slots
    count = max(4, round(work / (tasks * TASK_SECONDS)))
    return tuple(
        bench_arrivals.JobPlan(
            number,
            number * LOADED_SECONDS / count,
            f'team-{number % teams}',
            plan * tasks,
        )
        for number in range(count)
    )


async def measure_loaded(points: Points, tasks: int) -> None:
    """Measure messages and bytes per job, for jobs of one size.

    :param tasks: tasks of each job.
    """
    deployment = bench_plan.DEPLOYMENTS['lectores']
    jobs = make_even_jobs(deployment, tasks)
    load, _, _ = make_setup(deployment.entries, deployment.workers, jobs)
    played = await bench_run.play(load, deployment)
    figures = played.report.figures
    counts = played.evidence.traffic.counts
    useful = counts.get('Starts', 0) + counts.get('Results', 0)
    points['job_messages'].append((tasks, useful / len(jobs)))
    sent = figures.get('bytes')
    assert isinstance(sent, int | float)
    points['job_bytes'].append((tasks, sent / len(jobs)))


async def measure_quotas(points: Points, teams: int) -> None:
    """Measure the quota messages per second with jobs of several teams.

    :param teams: number of teams, each with a quota.
    """
    deployment = bench_plan.DEPLOYMENTS['lectores']
    jobs = make_even_jobs(deployment, 4, teams)
    load, _, _ = make_setup(deployment.entries, deployment.workers, jobs)
    quotas = tuple(
        cluster.QuotaSet(f'team-{number}', deployment.total_slots)
        for number in range(teams)
    )
    played = await bench_run.play(load, deployment, first_changes=quotas)
    counts = played.evidence.traffic.counts
    quota_messages = counts.get('QuotaAsk', 0) + counts.get('QuotaGrant', 0)
    points['team_messages'].append((teams, quota_messages / LOADED_SECONDS))
