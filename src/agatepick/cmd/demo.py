"""Demonstration of the whole system in one process.

Two entries, agents in three zones, stand-in workers and a stand-in table
service run over real sockets.  Callers submit jobs over HTTP while a zone is
taken out of service and returned, the preset is switched, and the connections
of an entry are cut.  At the end the answers to callers are compared with the
starts that the stand-in workers counted.
"""

import asyncio
import collections
import dataclasses
import json
import random
import statistics
import sys
import typing

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_callers
from agatepick.bench import bench_cluster
from agatepick.bench import bench_evidence
from agatepick.bench import bench_plan
from agatepick.bench import bench_upstream
from agatepick.bench import bench_violations
from agatepick.cmd import commands
from agatepick.config import cluster
from agatepick import exceptions
from agatepick.net import clocks
from agatepick import types

DEPLOYMENT = bench_plan.Deployment(
    'demo',
    ('talca', 'curico', 'linares'),
    zone_latency_seconds=0.001,
    client_latency_seconds=0.003,
    cores=16,
    memory_mb=64 * 1024,
    workers=6,
)
LEAVING_ZONE = 'curico'
BUSY_SLOT_SHARE = 0.4
"""Share of all slots that the demo's jobs keep busy.  While a zone is out of
service, the remaining two thirds of the workers can still handle this load."""
LOAD_SEED = 7
MIN_LOAD_SECONDS = 15.0
MAX_DRAIN_SECONDS = 30.0
PROGRESS_INTERVAL_SECONDS = 2.0
VERSION_CHECK_DELAY_SECONDS = 0.05


@dataclasses.dataclass
class ConfigurationWatch:
    """Observations of the configuration during the demo.

    :param reversions: how often an entry went back to an older version.
    :param operation_failure: why an operation of the demo failed; empty if all
        succeeded.
    :param divergences: in how many checks two entries with read leases had
        different versions in force.
    :param versions: version last seen in force, by entry name.
    """

    reversions: int = 0
    divergences: int = 0
    operation_failure: str = ''
    versions: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """Measurements of one demo: jobs by status, starts, response times.

    :param mean_seconds: mean response time of the complete jobs.
    :param longest_seconds: longest response time of a complete job.
    """

    jobs: int
    complete: int
    refused: int
    failed: int
    unanswered: int
    tasks_started: int
    mean_seconds: float
    longest_seconds: float
    messages_per_task: float
    starts_by_zone: dict[str, int]


class Demo:
    """One run of the demo.

    :param seconds: duration of the load, at least
        :data:`MIN_LOAD_SECONDS`.
    :param print_line: function that prints a line of progress.
    """

    def __init__(
        self, seconds: float, print_line: typing.Callable[[str], None]
    ) -> None:
        self._print_line = print_line
        self._seconds = max(seconds, MIN_LOAD_SECONDS)
        self._clock = clocks.ProcessClock.start()
        self._recorder = bench_upstream.StartRecorder(self._clock)
        self._load = bench_arrivals.draw_load(
            bench_plan.Pattern.STEADY,
            LOAD_SEED,
            self._seconds,
            BUSY_SLOT_SHARE,
            DEPLOYMENT,
        )
        self._cluster = bench_cluster.Cluster(
            self._load, DEPLOYMENT, self._clock, self._recorder
        )
        self._callers = bench_callers.Callers(
            self._cluster,
            self._recorder,
            DEPLOYMENT.client_latency_seconds,
            random.Random(LOAD_SEED),
        )
        self._departures: list[bench_evidence.ZoneDeparture] = []
        self._watch = ConfigurationWatch()

    async def run(self) -> tuple[bench_evidence.Evidence, ConfigurationWatch]:
        """Run the demo and return its evidence and observations."""
        self._print_line(
            f'starting {DEPLOYMENT.entries} entries and '
            f'{DEPLOYMENT.workers} agents in {len(DEPLOYMENT.zones)} zones, '
            f'a table service and {DEPLOYMENT.total_slots} worker slots'
        )
        try:
            await self._cluster.start()
            before = self._cluster.count_messages_sent()
            self._recorder.start_run()
            self._print_event(f'sending {len(self._load.jobs)} jobs')
            await self._run_load()
            traffic = self._cluster.compute_traffic_since(before)
        finally:
            self._callers.close()
            await self._cluster.stop()
        open_replies = [
            bench_evidence.Reply(number, key, 0.0, self._recorder.now(), None)
            for number, key in self._callers.open.items()
        ]
        evidence = bench_evidence.Evidence(
            self._load,
            DEPLOYMENT,
            (*self._callers.replies, *open_replies),
            tuple(self._recorder.runs),
            traffic,
            tuple(self._departures),
        )
        return evidence, self._watch

    async def _run_load(self) -> None:
        jobs = [
            asyncio.create_task(self._send(job)) for job in self._load.jobs
        ]
        progress = asyncio.create_task(self._report_progress())
        operations = asyncio.create_task(self._run_operations())
        remaining_seconds = (
            self._seconds + MAX_DRAIN_SECONDS - self._recorder.now()
        )
        _, unfinished = await asyncio.wait(
            [*jobs, operations], timeout=remaining_seconds
        )
        progress.cancel()
        for task in unfinished:
            task.cancel()
        await asyncio.gather(
            *jobs, operations, progress, return_exceptions=True
        )
        if operations.cancelled():
            self._watch.operation_failure = 'not completed in time'
        elif operations.exception() is not None:
            self._watch.operation_failure = repr(operations.exception())

    async def _send(self, job: bench_arrivals.JobPlan) -> None:
        await asyncio.sleep(job.at - self._recorder.now())
        await self._callers.submit(job)

    async def _run_operations(self) -> None:
        await self._sleep_until_load_share(0.1)
        removal = await self._change(cluster.ZoneOut(LEAVING_ZONE))
        departure = bench_evidence.ZoneDeparture(
            LEAVING_ZONE,
            self._recorder.now(),
            self._recorder.now(),
            self._recorder.to_run_seconds(removal.in_force_at),
            float('inf'),
        )
        self._departures.append(departure)
        await self._sleep_until_load_share(0.4)
        restoration = await self._change(cluster.ZoneIn(LEAVING_ZONE))
        returned_at = self._recorder.to_run_seconds(restoration.in_force_at)
        self._departures[0] = dataclasses.replace(
            departure, returned_at=returned_at
        )
        await self._sleep_until_load_share(0.6)
        await self._change(cluster.PresetUse('peak'))
        await self._sleep_until_load_share(0.8)
        self._cut_connections(self._cluster.entries[0])
        await self._change(cluster.PresetUse('ordinary'))

    async def _change(self, change: cluster.Change) -> cluster.ProposalOutcome:
        description = _describe_change(change)
        self._print_event(f'operator: {description}')
        verdict = await self._cluster.change(change)
        in_force = self._recorder.to_run_seconds(verdict.in_force_at)
        self._print_event(
            f'accepted as version {verdict.version}, in force everywhere at '
            f'{in_force:.1f} s'
        )
        await asyncio.sleep(
            in_force - self._recorder.now() + VERSION_CHECK_DELAY_SECONDS
        )
        self._print_event(f'in force: {description}')
        return verdict

    def _cut_connections(self, entry: bench_cluster.EntrySite) -> None:
        peers = entry.process.links.connected()
        for peer in peers:
            entry.process.links.disconnect(peer)
        self._print_event(
            f'{entry.process.name}: {len(peers)} connections cut'
        )

    async def _sleep_until_load_share(self, share: float) -> None:
        await asyncio.sleep(share * self._seconds - self._recorder.now())

    async def _report_progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_SECONDS)
            self._check_versions()
            starts = collections.Counter(
                run.zone for run in self._recorder.runs
            )
            zones = ', '.join(
                f'{zone} {starts[zone]}' for zone in DEPLOYMENT.zones
            )
            self._print_event(
                f'{len(self._callers.replies)} of {len(self._load.jobs)} '
                f'jobs answered; tasks started: {zones}'
            )

    def _check_versions(self) -> None:
        """Count reversions and divergences of the versions in force now."""
        now = self._clock.now()
        versions = set()
        for site in self._cluster.entries:
            name = site.process.name
            version = site.process.entry.configuration.in_force(now).version
            if version < self._watch.versions.get(name, 0):
                self._watch.reversions += 1
            self._watch.versions[name] = version
            if site.process.entry.configuration.get_lease_end(now) > now:
                versions.add(version)
        self._watch.divergences += len(versions) > 1

    def _print_event(self, text: str) -> None:
        self._print_line(f'{self._recorder.now():6.1f} s  {text}')


def _describe_change(change: cluster.Change) -> str:
    match change:
        case cluster.ZoneOut(zone):
            return f'zone {zone} out of service'
        case cluster.ZoneIn(zone):
            return f'zone {zone} back in service'
        case cluster.PresetUse(preset):
            return f'preset {preset}'
    return cluster.subject(change)


def count_violations(
    evidence: bench_evidence.Evidence, watch: ConfigurationWatch
) -> dict[str, int]:
    """Return the number of violations of each guarantee."""
    violations = bench_violations.find_violations(evidence)
    return {
        **dataclasses.asdict(violations),
        'reverted_configurations': watch.reversions,
        'configurations_apart': watch.divergences,
    }


def compute_measures(evidence: bench_evidence.Evidence) -> Measures:
    """Return the measurements of a run."""
    count_by_status = collections.Counter(
        'none' if reply.answer is None else reply.answer.status.value
        for reply in evidence.replies
    )
    times = [
        reply.received_at - reply.sent_at
        for reply in evidence.replies
        if reply.answer is not None
        and reply.answer.status is types.JobStatus.COMPLETE
    ]
    message_counts = {
        kind: count
        for kind, count in evidence.traffic.counts.items()
        if kind not in bench_evidence.HEARTBEATS
    }
    starts = collections.Counter(run.zone for run in evidence.runs)
    return Measures(
        jobs=len(evidence.load.jobs),
        complete=count_by_status['complete'],
        refused=count_by_status['not_run'],
        failed=count_by_status['failed'],
        unanswered=count_by_status['none'] + count_by_status['pending'],
        tasks_started=len(evidence.runs),
        mean_seconds=statistics.fmean(times) if times else 0.0,
        longest_seconds=max(times, default=0.0),
        messages_per_task=sum(message_counts.values())
        / max(1, len(evidence.runs)),
        starts_by_zone=dict(starts),
    )


def format_report(measures: Measures, violations: dict[str, int]) -> list[str]:
    """Return the lines of the final report."""
    zones = ', '.join(
        f'{zone} {count}' for zone, count in measures.starts_by_zone.items()
    )
    return [
        '',
        f'jobs: {measures.jobs}, of which complete {measures.complete}, '
        f'not run {measures.refused}, failed {measures.failed}, '
        f'without an answer {measures.unanswered}',
        f'tasks started, counted by the workers: {measures.tasks_started} '
        f'({zones})',
        f'response of complete jobs: mean {measures.mean_seconds * 1000:.0f} '
        f'ms, longest {measures.longest_seconds * 1000:.0f} ms',
        f'messages between processes for each task: '
        f'{measures.messages_per_task:.2f}',
        '',
        *[f'{name}: {count}' for name, count in violations.items()],
        f'promises broken: {sum(violations.values())}',
    ]


def run_command(seconds: float, as_json: bool) -> commands.Output:
    """Run the demo; the exit status is 1 if a guarantee was violated."""

    def print_line(line: str) -> None:
        print(line, file=sys.stderr if as_json else sys.stdout, flush=True)

    evidence, watch = asyncio.run(Demo(seconds, print_line).run())
    if watch.operation_failure:
        raise exceptions.AgatepickError(
            f'an operation of the demo failed: {watch.operation_failure}',
            step='demo',
        )
    violations = count_violations(evidence, watch)
    measures = compute_measures(evidence)
    status = 1 if sum(violations.values()) else 0
    if as_json:
        data = {**dataclasses.asdict(measures), 'promises': violations}
        return commands.Output(json.dumps(data), status)
    return commands.Output(
        '\n'.join(format_report(measures, violations)), status
    )
