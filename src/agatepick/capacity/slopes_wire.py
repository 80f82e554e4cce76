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
from agatepick.net import connections

IDLE_SECONDS = 8.0
CHANGE_SECONDS = 12.0
LOADED_SECONDS = 6.0
BUSY_SLOT_SHARE = 0.5
TASK_SECONDS = 0.1
SETTLE_SECONDS = 2.0
"""Time after the start until all links have completed their handshakes and the
configuration lists all entries."""
AGENT_COUNTS = (4, 8, 16, 32)
ENTRY_COUNTS = (2, 3, 4, 6)
FIXED_AGENT_COUNT = 4
FIXED_ENTRY_COUNT = 2
CHANGES_PER_SECOND = (0.5, 1.0, 2.0, 4.0)
TASKS_PER_JOB = (1, 4, 16, 64, 130)
TEAM_COUNTS = (2, 8, 24, 64)

LINE_SPECS = (
    slopes.LineSpec(
        'entry_control_bytes',
        'agents',
        'B/s',
        'wire',
        f'{FIXED_ENTRY_COUNT} entries, idle',
    ),
    slopes.LineSpec(
        'entry_control_messages',
        'agents',
        'messages/s',
        'wire',
        f'{FIXED_ENTRY_COUNT} entries, idle',
    ),
    slopes.LineSpec(
        'entry_control_bytes_by_entries',
        'entries',
        'B/s',
        'wire',
        f'{FIXED_AGENT_COUNT} agents, idle',
    ),
    slopes.LineSpec(
        'agent_control_bytes',
        'entries',
        'B/s',
        'wire',
        f'{FIXED_AGENT_COUNT} agents, idle',
    ),
    slopes.LineSpec(
        'table_reads',
        'entries',
        'reads/s',
        'wire',
        f'{FIXED_AGENT_COUNT} agents, idle',
    ),
    slopes.LineSpec(
        'table_writes',
        'entries',
        'writes/s',
        'wire',
        f'{FIXED_AGENT_COUNT} agents, idle',
    ),
    slopes.LineSpec(
        'entry_bytes_by_changes',
        'changes/s',
        'B/s',
        'wire',
        f'{FIXED_ENTRY_COUNT} entries, {FIXED_AGENT_COUNT} agents',
    ),
    slopes.LineSpec(
        'table_reads_by_changes',
        'changes/s',
        'reads/s',
        'wire',
        f'{FIXED_ENTRY_COUNT} entries, {FIXED_AGENT_COUNT} agents',
    ),
    slopes.LineSpec(
        'table_writes_by_changes',
        'changes/s',
        'writes/s',
        'wire',
        f'{FIXED_ENTRY_COUNT} entries, {FIXED_AGENT_COUNT} agents',
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

    messages_per_second: float
    bytes_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class CounterSample:
    """Counters of one installation at one instant.

    :param entry_traffic: messages and bytes of each entry, both sent and
        received; ``agent_traffic`` likewise.
    :param table_reads: requests to the table service; ``table_writes``
        likewise.
    """

    entry_traffic: tuple[tuple[int, int], ...]
    agent_traffic: tuple[tuple[int, int], ...]
    table_reads: int
    table_writes: int


def measure() -> tuple[slopes.Line, ...]:
    """Measure costs and return their fitted lines, in about three minutes."""
    points: Points = collections.defaultdict(list)
    for count in AGENT_COUNTS:
        asyncio.run(
            measure_idle(points, FIXED_ENTRY_COUNT, count, by_agents=True)
        )
    for count in ENTRY_COUNTS:
        asyncio.run(
            measure_idle(points, count, FIXED_AGENT_COUNT, by_agents=False)
        )
    for changes_per_second in CHANGES_PER_SECOND:
        asyncio.run(measure_changes(points, changes_per_second))
    for tasks_per_job in TASKS_PER_JOB:
        asyncio.run(measure_loaded(points, tasks_per_job))
    for team_count in TEAM_COUNTS:
        asyncio.run(measure_quotas(points, team_count))
    return slopes.fit_all(LINE_SPECS, points)


def read_counters(installation: bench_cluster.Cluster) -> CounterSample:
    """Read all counters of an installation."""
    counts = installation.table.counts
    return CounterSample(
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


def sum_traffic(traffic: connections.Traffic) -> tuple[int, int]:
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
    entry_count: int,
    agent_count: int,
    jobs: tuple[bench_arrivals.JobPlan, ...] = (),
) -> tuple[
    bench_arrivals.Load, bench_plan.Deployment, bench_upstream.StartRecorder
]:
    """Return a load, a deployment and a start recorder for one measurement."""
    deployment = dataclasses.replace(
        bench_plan.DEPLOYMENTS['lectores'],
        entries=entry_count,
        workers=agent_count,
    )
    pattern = bench_plan.Pattern.STEADY
    load = bench_arrivals.Load(
        pattern, 1, LOADED_SECONDS, BUSY_SLOT_SHARE, jobs
    )
    recorder = bench_upstream.StartRecorder(clocks.ProcessClock.start())
    return load, deployment, recorder


async def measure_idle(
    points: Points, entry_count: int, agent_count: int, by_agents: bool
) -> None:
    """Measure an installation without jobs; add the points of its lines.

    :param by_agents: whether the points are for lines over the number of
        agents; otherwise over that of entries.
    """
    load, deployment, recorder = make_setup(entry_count, agent_count)
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
    entry = compute_mean_traffic(
        before.entry_traffic, after.entry_traffic, IDLE_SECONDS
    )
    agent = compute_mean_traffic(
        before.agent_traffic, after.agent_traffic, IDLE_SECONDS
    )
    if by_agents:
        points['entry_control_bytes'].append(
            (agent_count, entry.bytes_per_second)
        )
        points['entry_control_messages'].append(
            (agent_count, entry.messages_per_second)
        )
        return
    reads = (after.table_reads - before.table_reads) / IDLE_SECONDS
    writes = (after.table_writes - before.table_writes) / IDLE_SECONDS
    points['entry_control_bytes_by_entries'].append(
        (entry_count, entry.bytes_per_second)
    )
    points['agent_control_bytes'].append((entry_count, agent.bytes_per_second))
    points['table_reads'].append((entry_count, reads))
    points['table_writes'].append((entry_count, writes))


async def measure_changes(points: Points, changes_per_second: float) -> None:
    """Measure an installation during changes of its configuration."""
    load, deployment, recorder = make_setup(
        FIXED_ENTRY_COUNT, FIXED_AGENT_COUNT
    )
    clock = clocks.ProcessClock.start()
    installation = bench_cluster.Cluster(load, deployment, clock, recorder)
    try:
        await installation.start()
        await asyncio.sleep(SETTLE_SECONDS)
        before, since = read_counters(installation), recorder.now()
        change_count = 0
        while recorder.now() - since < CHANGE_SECONDS:
            await asyncio.sleep(
                since + change_count / changes_per_second - recorder.now()
            )
            await installation.change(
                cluster.SettingSet('bench', str(change_count))
            )
            change_count += 1
        seconds = recorder.now() - since
        after = read_counters(installation)
    finally:
        await installation.stop()
    entry = compute_mean_traffic(
        before.entry_traffic, after.entry_traffic, seconds
    )
    actual_rate = change_count / seconds
    points['entry_bytes_by_changes'].append(
        (actual_rate, entry.bytes_per_second)
    )
    reads = (after.table_reads - before.table_reads) / seconds
    writes = (after.table_writes - before.table_writes) / seconds
    points['table_reads_by_changes'].append((actual_rate, reads))
    points['table_writes_by_changes'].append((actual_rate, writes))


def make_even_jobs(
    deployment: bench_plan.Deployment, tasks_per_job: int, team_count: int = 1
) -> tuple[bench_arrivals.JobPlan, ...]:
    """Return jobs of equal size at equal intervals.

    They keep :data:`BUSY_SLOT_SHARE` of the slots busy.
    """
    plan = (bench_arrivals.TaskPlan('short', TASK_SECONDS, TASK_SECONDS),)
    work = BUSY_SLOT_SHARE * LOADED_SECONDS * deployment.total_slots
    count = max(4, round(work / (tasks_per_job * TASK_SECONDS)))
    return tuple(
        bench_arrivals.JobPlan(
            number,
            number * LOADED_SECONDS / count,
            f'team-{number % team_count}',
            plan * tasks_per_job,
        )
        for number in range(count)
    )


async def measure_loaded(points: Points, tasks_per_job: int) -> None:
    """Measure messages and bytes per job, for jobs of one size."""
    deployment = bench_plan.DEPLOYMENTS['lectores']
    jobs = make_even_jobs(deployment, tasks_per_job)
    load, _, _ = make_setup(deployment.entries, deployment.workers, jobs)
    played = await bench_run.play(load, deployment)
    figures = played.report.figures
    counts = played.evidence.traffic.counts
    useful = counts.get('Starts', 0) + counts.get('Results', 0)
    points['job_messages'].append((tasks_per_job, useful / len(jobs)))
    sent = figures.get('bytes')
    assert isinstance(sent, int | float)
    points['job_bytes'].append((tasks_per_job, sent / len(jobs)))


async def measure_quotas(points: Points, team_count: int) -> None:
    """Measure the quota messages per second with jobs of several teams.

    :param team_count: number of teams, each with a quota.
    """
    deployment = bench_plan.DEPLOYMENTS['lectores']
    jobs = make_even_jobs(deployment, 4, team_count)
    load, _, _ = make_setup(deployment.entries, deployment.workers, jobs)
    quotas = tuple(
        cluster.QuotaSet(f'team-{number}', deployment.total_slots)
        for number in range(team_count)
    )
    played = await bench_run.play(load, deployment, first_changes=quotas)
    counts = played.evidence.traffic.counts
    quota_messages = counts.get('QuotaAsk', 0) + counts.get('QuotaGrant', 0)
    points['team_messages'].append(
        (team_count, quota_messages / LOADED_SECONDS)
    )
