"""The demo: the whole system at work in one process, told to a person.

Two entries, three zones of agents, stand-in workers and a stand-in table
service run over real sockets.  Callers send jobs over HTTP while a zone goes
out and comes back, the preset is switched and an entry's connections are
cut.  At the end what callers were told is held against the starts that the
stand-in workers counted by themselves.
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
from agatepick.bench import bench_truth
from agatepick.bench import bench_upstream
from agatepick.cmd import commands
from agatepick.config import cluster
from agatepick import exceptions
from agatepick.net import clocks
from agatepick import types

DEPLOYMENT = bench_plan.Deployment(
    'demo',
    ('talca', 'curico', 'linares'),
    zone_latency=0.001,
    client_latency=0.003,
    cores=16,
    memory_mb=64 * 1024,
    workers=6,
)
LEAVING_ZONE = 'curico'
LOAD = 0.4
"""Share of all slots that are busy: two thirds of the workers, which is what
is left while a zone is out, can do it all."""
SEED = 7
SHORTEST_SECONDS = 15.0
DRAIN_SECONDS = 30.0
PROGRESS_SECONDS = 2.0
CHECK_DELAY = 0.05


@dataclasses.dataclass
class Watch:
    """What the demo saw of the configuration while it ran.

    :param reverted: times that an entry went back to an older version.
    :param act_failed: why an act of the demo could not be done.
    :param apart: times that two entries had different versions in force,
        although both had leases.
    """

    reverted: int = 0
    apart: int = 0
    act_failed: str = ''
    versions: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """Figures of one demo; durations in seconds."""

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
    """One run.

    :param say: takes a line for the person who watches.
    """

    def __init__(
        self, seconds: float, say: typing.Callable[[str], None]
    ) -> None:
        self._say = say
        self._seconds = max(seconds, SHORTEST_SECONDS)
        self._clock = clocks.ProcessClock.start()
        self._book = bench_upstream.StartBook(self._clock)
        self._load = bench_arrivals.plan(
            bench_plan.Pattern.STEADY, SEED, self._seconds, LOAD, DEPLOYMENT
        )
        self._site = bench_cluster.Cluster(
            self._load, DEPLOYMENT, self._clock, self._book
        )
        self._callers = bench_callers.Callers(
            self._site,
            self._book,
            DEPLOYMENT.client_latency,
            random.Random(SEED),
        )
        self._departures: list[bench_evidence.Departure] = []
        self._watch = Watch()

    async def run(self) -> tuple[bench_evidence.Evidence, Watch]:
        """Play everything; returns what it left behind."""
        self._say(
            f'starting {DEPLOYMENT.entries} entries and '
            f'{DEPLOYMENT.workers} agents in {len(DEPLOYMENT.zones)} zones, '
            f'a table service and {DEPLOYMENT.total_slots} worker slots'
        )
        try:
            await self._site.start()
            before = self._site.traffic()
            self._book.begin()
            self._tell(f'sending {len(self._load.jobs)} jobs')
            await self._play()
            traffic = self._site.evidence_traffic(before)
        finally:
            self._callers.close()
            await self._site.stop()
        silent = [
            bench_evidence.Reply(number, key, 0.0, self._book.now(), None)
            for number, key in self._callers.open.items()
        ]
        evidence = bench_evidence.Evidence(
            self._load,
            DEPLOYMENT,
            (*self._callers.replies, *silent),
            tuple(self._book.runs),
            traffic,
            tuple(self._departures),
        )
        return evidence, self._watch

    async def _play(self) -> None:
        jobs = [
            asyncio.create_task(self._send(job)) for job in self._load.jobs
        ]
        telling = asyncio.create_task(self._progress())
        acts = asyncio.create_task(self._acts())
        left = self._seconds + DRAIN_SECONDS - self._book.now()
        _, late = await asyncio.wait([*jobs, acts], timeout=left)
        telling.cancel()
        for task in late:
            task.cancel()
        await asyncio.gather(*jobs, acts, telling, return_exceptions=True)
        if acts.cancelled():
            self._watch.act_failed = 'not done in time'
        elif acts.exception() is not None:
            self._watch.act_failed = repr(acts.exception())

    async def _send(self, job: bench_arrivals.JobPlan) -> None:
        await asyncio.sleep(job.at - self._book.now())
        await self._callers.submit(job)

    async def _acts(self) -> None:
        await self._at(0.1)
        out = await self._change(cluster.ZoneOut(LEAVING_ZONE))
        gone = bench_evidence.Departure(
            LEAVING_ZONE,
            self._book.now(),
            self._book.now(),
            self._book.seconds_at(out.in_force_at),
            float('inf'),
        )
        self._departures.append(gone)
        await self._at(0.4)
        back = await self._change(cluster.ZoneIn(LEAVING_ZONE))
        returned = self._book.seconds_at(back.in_force_at)
        self._departures[0] = dataclasses.replace(gone, returned=returned)
        await self._at(0.6)
        await self._change(cluster.PresetUse('peak'))
        await self._at(0.8)
        self._cut(self._site.entries[0])
        await self._change(cluster.PresetUse('ordinary'))

    async def _change(self, change: cluster.Change) -> cluster.Proposed:
        what = _words(change)
        self._tell(f'operator: {what}')
        verdict = await self._site.change(change)
        in_force = self._book.seconds_at(verdict.in_force_at)
        self._tell(
            f'accepted as version {verdict.version}, in force everywhere at '
            f'{in_force:.1f} s'
        )
        await asyncio.sleep(in_force - self._book.now() + CHECK_DELAY)
        self._tell(f'in force: {what}')
        return verdict

    def _cut(self, entry: bench_cluster.EntrySite) -> None:
        peers = entry.process.links.connected()
        for peer in peers:
            entry.process.links.cut(peer)
        self._tell(f'{entry.process.name}: {len(peers)} connections cut')

    async def _at(self, share: float) -> None:
        await asyncio.sleep(share * self._seconds - self._book.now())

    async def _progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_SECONDS)
            self._look()
            starts = collections.Counter(run.zone for run in self._book.runs)
            zones = ', '.join(
                f'{zone} {starts[zone]}' for zone in DEPLOYMENT.zones
            )
            self._tell(
                f'{len(self._callers.replies)} of {len(self._load.jobs)} '
                f'jobs answered; tasks started: {zones}'
            )

    def _look(self) -> None:
        """Look at the version in force at each entry."""
        now = self._clock.now()
        versions = set()
        for site in self._site.entries:
            name = site.process.name
            version = site.process.entry.configuration.in_force(now).version
            if version < self._watch.versions.get(name, 0):
                self._watch.reverted += 1
            self._watch.versions[name] = version
            if site.process.entry.configuration.lease_until(now) > now:
                versions.add(version)
        self._watch.apart += len(versions) > 1

    def _tell(self, text: str) -> None:
        self._say(f'{self._book.now():6.1f} s  {text}')


def _words(change: cluster.Change) -> str:
    match change:
        case cluster.ZoneOut(zone):
            return f'zone {zone} out of service'
        case cluster.ZoneIn(zone):
            return f'zone {zone} back in service'
        case cluster.PresetUse(preset):
            return f'preset {preset}'
    return cluster.subject(change)


def broken(evidence: bench_evidence.Evidence, watch: Watch) -> dict[str, int]:
    """How often each promise was broken."""
    truth = bench_truth.judge(evidence)
    return {
        **dataclasses.asdict(truth),
        'reverted_configurations': watch.reverted,
        'configurations_apart': watch.apart,
    }


def measures(evidence: bench_evidence.Evidence) -> Measures:
    """The figures of a run."""
    by_run = collections.Counter(
        'none' if one.answer is None else one.answer.status.value
        for one in evidence.replies
    )
    times = [
        one.got - one.sent
        for one in evidence.replies
        if one.answer is not None
        and one.answer.status is types.JobStatus.COMPLETE
    ]
    counted = {
        kind: count
        for kind, count in evidence.traffic.counts.items()
        if kind not in bench_evidence.HEARTBEATS
    }
    starts = collections.Counter(run.zone for run in evidence.runs)
    return Measures(
        jobs=len(evidence.load.jobs),
        complete=by_run['complete'],
        refused=by_run['not_run'],
        failed=by_run['failed'],
        unanswered=by_run['none'] + by_run['pending'],
        tasks_started=len(evidence.runs),
        mean_seconds=statistics.fmean(times) if times else 0.0,
        longest_seconds=max(times, default=0.0),
        messages_per_task=sum(counted.values()) / max(1, len(evidence.runs)),
        starts_by_zone=dict(starts),
    )


def report(found: Measures, promises: dict[str, int]) -> list[str]:
    """The end of the story, for a person."""
    zones = ', '.join(
        f'{zone} {count}' for zone, count in found.starts_by_zone.items()
    )
    return [
        '',
        f'jobs: {found.jobs}, of which complete {found.complete}, '
        f'not run {found.refused}, failed {found.failed}, '
        f'without an answer {found.unanswered}',
        f'tasks started, counted by the workers: {found.tasks_started} '
        f'({zones})',
        f'response of complete jobs: mean {found.mean_seconds * 1000:.0f} '
        f'ms, longest {found.longest_seconds * 1000:.0f} ms',
        f'messages between processes for each task: '
        f'{found.messages_per_task:.2f}',
        '',
        *[f'{name}: {count}' for name, count in promises.items()],
        f'promises broken: {sum(promises.values())}',
    ]


def run_command(seconds: float, as_json: bool) -> commands.Output:
    """Run the demo; the exit status is 1 if a promise was broken."""

    def say(line: str) -> None:
        print(line, file=sys.stderr if as_json else sys.stdout, flush=True)

    evidence, watch = asyncio.run(Demo(seconds, say).run())
    if watch.act_failed:
        raise exceptions.AgatepickError(
            f'an act of the demo could not be carried out: {watch.act_failed}',
            step='demo',
        )
    promises = broken(evidence, watch)
    found = measures(evidence)
    status = 1 if sum(promises.values()) else 0
    if as_json:
        data = {**dataclasses.asdict(found), 'promises': promises}
        return commands.Output(json.dumps(data), status)
    return commands.Output('\n'.join(report(found, promises)), status)
