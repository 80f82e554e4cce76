"""The installation under test: real entries and agents over real sockets.

All run in the bench's own process and event loop; the stand-in table
service and the stand-in upstreams too.  Latency between availability zones
is added to each message on its way out.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import logging
import random

from agatepick.agentside import upstream
from agatepick.api import calls
from agatepick.bench import bench_arrivals
from agatepick.bench import bench_evidence
from agatepick.bench import bench_plan
from agatepick.bench import bench_upstream
from agatepick.conf import settings
from agatepick.config import cluster
from agatepick import core
from agatepick.decisions import placement
from agatepick.net import messages
from agatepick.runtime import processes
from agatepick.standins import standin_table
from agatepick.standins import standin_upstream
from agatepick import types

LOG = logging.getLogger(__name__)

ANY_PORT = '127.0.0.1:0'
READY_SECONDS = 30.0
POLL_SECONDS = 0.05
ANNOUNCED_SECONDS = 5.0
NO_URL = 'http://127.0.0.1:1'
OPERATOR_TOKEN = 'bench-operator-token'
OUTAGE_FAULTS = standin_table.Faults(outage=True)


class ZoneDelay:
    """Latency towards a peer in another zone; none within a zone."""

    def __init__(self, zone: str, seconds: float, zones: dict[str, str]):
        self._zone = zone
        self._seconds = seconds
        self._zones = zones

    def seconds(self, peer: types.PeerName) -> float:
        """Seconds by which delivery to ``peer`` is held up."""
        return 0.0 if self._zones.get(peer) == self._zone else self._seconds


@dataclasses.dataclass
class Counts:
    """Tasks sent to agents and refused by them, and notes of all."""

    started: int = 0
    refused: int = 0
    notes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    first_note: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def refused_share(self) -> float:
        """Refused tasks over tasks sent."""
        return self.refused / self.started if self.started else 0.0


class CountingReducer:
    """Passes events on to a reducer and counts what it sends."""

    def __init__(
        self,
        reducer: core.Reducer,
        counts: Counts,
        now: collections.abc.Callable[[], float],
    ):
        self._reducer = reducer
        self._counts = counts
        self._now = now

    def reduce(self, event: object, now: float) -> list[object]:
        """Take one event."""
        effects = self._reducer.reduce(event, now)
        for effect in effects:
            self._count(effect)
        return effects

    def _count(self, effect: object) -> None:
        if isinstance(effect, core.Note):
            self._counts.notes[effect.name] += 1
            self._counts.first_note.setdefault(effect.name, self._now())
            return
        if not isinstance(effect, core.Send):
            return
        if isinstance(effect.message, messages.Starts):
            self._counts.started += len(effect.message.tasks)
        elif isinstance(effect.message, messages.Results):
            self._counts.refused += sum(
                report.state == types.TaskState.REFUSED
                for report in effect.message.reports
            )


@dataclasses.dataclass
class EntrySite:
    """One entry and whether it still runs."""

    process: processes.EntryProcess
    alive: bool = True

    @property
    def url(self) -> str:
        """Where callers reach it."""
        return f'http://{self.process.http_address}'

    def ready(self) -> bool:
        """Whether the balancer's health check passes."""
        now = self.process.outside.clock.now()
        return self.alive and self.process.entry.ready(now)


@dataclasses.dataclass
class AgentSite:
    """One agent with the upstream beside it."""

    process: processes.AgentProcess
    upstream: standin_upstream.LocalUpstream


class Cluster:
    """All processes of one run; also the callers' balancer."""

    def __init__(
        self,
        load: bench_arrivals.Load,
        deployment: bench_plan.Deployment,
        clock: types.Clock,
        book: bench_upstream.StartBook,
        policy: str = '',
    ):
        self.counts = Counts()
        self.entries: list[EntrySite] = []
        self.agents: list[AgentSite] = []
        self.table: standin_table.TableServer
        self._load = load
        self._deployment = deployment
        self._clock = clock
        self._book = book
        self._policy = policy
        self._rng = random.Random(load.seed)
        self._zones: dict[str, str] = {}
        self._stopped: collections.Counter[str] = collections.Counter()
        self._names = 0

    async def start(self) -> None:
        """Start everything and wait until every slot is on offer."""
        self.table = await standin_table.TableServer.start()
        for number in range(self._deployment.entries):
            self.entries.append(await self._start_entry(number))
        await self._until(lambda: all(site.ready() for site in self.entries))
        for number in range(self._deployment.workers):
            self.agents.append(await self._start_agent(number))
        await self._until(self._is_whole)

    async def stop(self) -> None:
        """End everything at once."""
        for agent in self.agents:
            agent.upstream.end()
            agent.process.kill()
        for entry in self.entries:
            entry.process.kill()
        await self.table.stop()

    def pick(self, avoid: str = '') -> str:
        """URL of a ready entry, another than ``avoid`` if there is one."""
        ready = [site.url for site in self.entries if site.ready()]
        others = [url for url in ready if url != avoid]
        urls = others or ready
        urls = urls or [site.url for site in self.entries if site.alive]
        return self._rng.choice(urls)

    def traffic(self) -> collections.Counter[str]:
        """Messages by kind that all processes have sent so far."""
        total = collections.Counter(self._stopped)
        sites: list[EntrySite | AgentSite] = [*self.entries, *self.agents]
        for site in sites:
            total.update(site.process.links.traffic.by_kind)
        return total

    def bytes_sent(self) -> int:
        """Bytes that all processes have sent so far to one another."""
        sites: list[EntrySite | AgentSite] = [*self.entries, *self.agents]
        return sum(site.process.links.traffic.bytes_out for site in sites)

    def evidence_traffic(
        self, before: collections.Counter[str]
    ) -> bench_evidence.Traffic:
        """Messages sent since ``before``."""
        counts = self.traffic() - before
        return bench_evidence.Traffic(counts, self.counts.refused_share)

    async def change(self, change: cluster.Change) -> cluster.Proposed:
        """Propose a change at a ready entry, again while it conflicts."""
        while True:
            site = next(site for site in self.entries if site.ready())
            verdict = await site.process.calls.call(
                lambda number: calls.ChangeProposed(number, change)
            )
            assert isinstance(verdict, cluster.Proposed)
            if verdict.verdict == 'accepted':
                return verdict
            LOG.info('event=change_retried verdict=%s', verdict.verdict)
            await asyncio.sleep(POLL_SECONDS)

    def set_store_down(self, down: bool) -> None:
        """Begin or end an outage of the table service."""
        self.table.faults = OUTAGE_FAULTS if down else standin_table.Faults()

    async def kill_entry(self, number: int) -> None:
        """End an entry at once."""
        site = self.entries[number]
        site.alive = False
        self._stopped.update(site.process.links.traffic.by_kind)
        site.process.links.traffic.by_kind.clear()
        site.process.kill()

    async def replace_entry(self, number: int) -> None:
        """Start a new entry, then stop the old one gracefully."""
        new = await self._start_entry(number)
        await self._until(new.ready)
        old = self.entries[number]
        self.entries.append(new)
        await old.process.stop()
        old.alive = False

    async def replace_agent(self, number: int) -> None:
        """Stop an agent gracefully, then start a new one in its place."""
        old = self.agents[number]
        await old.process.stop()
        old.upstream.end()
        self._stopped.update(old.process.links.traffic.by_kind)
        self.agents[number] = await self._start_agent(number)

    def _new_name(self, prefix: str, number: int) -> str:
        self._names += 1
        return f'{prefix}-{number}-{self._names}'

    def _outside(self, name: str, zone: str) -> processes.Outside:
        self._zones[name] = zone
        seconds = self._deployment.zone_latency
        return processes.Outside(
            self._clock,
            random.Random(self._rng.random()),
            delay=ZoneDelay(zone, seconds, self._zones),
        )

    async def _start_entry(self, number: int) -> EntrySite:
        name = self._new_name('entry', number)
        zone = self._deployment.zone_of(number)
        cfg = settings.EntrySettings(
            process=settings.Process(name, zone),
            http=settings.Http(listen=ANY_PORT, max_hold_seconds=120.0),
            peers=settings.Peers(listen=ANY_PORT),
            store=settings.Store(f'http://{self.table.address}'),
            tokens=settings.Tokens(operator=OPERATOR_TOKEN),
            tls=settings.Tls(enabled=False),
        )
        outside = self._outside(name, zone)
        policy = self._policy or placement.DEFAULT_POLICY
        process = processes.EntryProcess.from_settings(cfg, outside, policy)
        await process.start()
        self._count(process)
        return EntrySite(process)

    async def _start_agent(self, number: int) -> AgentSite:
        name = self._new_name('agent', number)
        zone = self._deployment.zone_of(number)
        rack = f'rack-{number // self._deployment.rack_size}'
        seeds = tuple(
            site.process.member.address for site in self.entries if site.alive
        )
        cfg = settings.AgentSettings(
            process=settings.Process(name, zone, rack),
            entries=settings.Entries(seeds),
            upstream=settings.Upstreams(listen=ANY_PORT),
            tls=settings.Tls(enabled=False),
        )
        made: list[standin_upstream.LocalUpstream] = []

        def runner(feed: processes.Feed) -> standin_upstream.LocalUpstream:
            made.append(self._upstream(name, number, zone, feed))
            return made[0]

        outside = dataclasses.replace(self._outside(name, zone), runner=runner)
        process = processes.AgentProcess.from_settings(cfg, outside)
        await process.start()
        self._count(process)
        made[0].begin()
        return AgentSite(process, made[0])

    def _upstream(
        self, name: str, number: int, zone: str, feed: processes.Feed
    ) -> standin_upstream.LocalUpstream:
        faults = standin_upstream.Faults(
            fail_all=number in self._load.failing,
            slow_factor=dict(self._load.slow).get(number, 1.0),
        )
        worker = bench_upstream.Worker(number, zone, self._book, faults)
        announced = upstream.Announced(
            name,
            bench_arrivals.KINDS,
            self._deployment.slots,
            types.Needs(self._deployment.cores, self._deployment.memory_mb),
            NO_URL,
            ANNOUNCED_SECONDS,
        )
        return standin_upstream.LocalUpstream(worker, feed, announced)

    def _count(self, process: processes.Process) -> None:
        process.shell.reducer = CountingReducer(
            process.shell.reducer, self.counts, self._book.now
        )

    def _is_whole(self) -> bool:
        now = self._clock.now()
        offered = sum(
            site.process.entry.status(now).dispatch.slots
            for site in self.entries
        )
        return offered >= self._deployment.total_slots

    async def _until(self, done: collections.abc.Callable[[], bool]) -> None:
        async with asyncio.timeout(READY_SECONDS):
            while not done():
                await asyncio.sleep(POLL_SECONDS)
