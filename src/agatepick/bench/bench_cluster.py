"""The installation under test: real entries and agents over real sockets.

Entries, agents, the stand-in table service and the stand-in upstreams all run
in the bench's own process and event loop.  Each outgoing message to another
availability zone is delayed by the latency between zones.
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
READY_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.05
ANNOUNCEMENT_LEASE_SECONDS = 5.0
UNUSED_URL = 'http://127.0.0.1:1'
OPERATOR_TOKEN = 'bench-operator-token'
TABLE_OUTAGE = standin_table.Faults(outage=True)


class ZoneDelay:
    """Latency towards a peer in another zone; zero within a zone."""

    def __init__(self, zone: str, seconds: float, zones: dict[str, str]):
        self._zone = zone
        self._seconds = seconds
        self._zones = zones

    def seconds(self, peer: types.PeerName) -> float:
        """Return the latency of messages to ``peer``."""
        return 0.0 if self._zones.get(peer) == self._zone else self._seconds


@dataclasses.dataclass
class EffectCounts:
    """Counts of tasks sent to agents, of refused ones, and of events.

    These events are the :class:`.core.Note` effects of the processes.

    :param sent_tasks: tasks that entries sent to agents to be started.
    :param refused_tasks: those that the agents refused.
    :param count_by_note: number of notes, by name.
    :param first_note_at: instant of the first note, in seconds from the run's
        start, by name.
    """

    sent_tasks: int = 0
    refused_tasks: int = 0
    count_by_note: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    first_note_at: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def refused_share(self) -> float:
        """Share of sent tasks that agents refused."""
        return self.refused_tasks / self.sent_tasks if self.sent_tasks else 0.0


class CountingReducer:
    """Wrapper that counts the tasks and notes in a reducer's effects.

    :param now: function that returns the seconds since the run's start.
    """

    def __init__(
        self,
        reducer: core.Reducer,
        counts: EffectCounts,
        now: collections.abc.Callable[[], float],
    ):
        self._reducer = reducer
        self._counts = counts
        self._now = now

    def reduce(self, event: object, now: float) -> list[object]:
        """Pass one event to the wrapped reducer and count its effects."""
        effects = self._reducer.reduce(event, now)
        for effect in effects:
            self._count_effect(effect)
        return effects

    def _count_effect(self, effect: object) -> None:
        if isinstance(effect, core.Note):
            self._counts.count_by_note[effect.name] += 1
            self._counts.first_note_at.setdefault(effect.name, self._now())
            return
        if not isinstance(effect, core.Send):
            return
        if isinstance(effect.message, messages.Starts):
            self._counts.sent_tasks += len(effect.message.tasks)
        elif isinstance(effect.message, messages.Results):
            self._counts.refused_tasks += sum(
                report.state == types.TaskState.REFUSED
                for report in effect.message.reports
            )


@dataclasses.dataclass
class EntrySite:
    """One entry process and whether it still runs."""

    process: processes.EntryProcess
    alive: bool = True

    @property
    def url(self) -> str:
        """URL of the entry for callers."""
        return f'http://{self.process.http_address}'

    def is_ready(self) -> bool:
        """Return whether the entry runs and reports itself ready for jobs.

        The balancer sends requests only to ready entries.
        """
        now = self.process.dependencies.clock.now()
        return self.alive and self.process.entry.ready(now)


@dataclasses.dataclass
class AgentSite:
    """One agent process and its stand-in upstream."""

    process: processes.AgentProcess
    upstream: standin_upstream.LocalUpstream


class Cluster:
    """All processes of one run; also the balancer that the callers use."""

    def __init__(
        self,
        load: bench_arrivals.Load,
        deployment: bench_plan.Deployment,
        clock: types.Clock,
        recorder: bench_upstream.StartRecorder,
        policy: str = '',
    ):
        self.counts = EffectCounts()
        self.entries: list[EntrySite] = []
        self.agents: list[AgentSite] = []
        self.table: standin_table.TableServer
        self._load = load
        self._deployment = deployment
        self._clock = clock
        self._recorder = recorder
        self._policy = policy
        self._rng = random.Random(load.seed)
        self._zones: dict[str, str] = {}
        self._stopped_traffic: collections.Counter[str] = collections.Counter()
        self._name_count = 0

    async def start(self) -> None:
        """Start all processes and wait until agents offer every slot."""
        self.table = await standin_table.TableServer.start()
        for number in range(self._deployment.entries):
            self.entries.append(await self._start_entry(number))
        await self._wait_until(
            lambda: all(site.is_ready() for site in self.entries)
        )
        for number in range(self._deployment.workers):
            self.agents.append(await self._start_agent(number))
        await self._wait_until(self._are_all_slots_offered)

    async def stop(self) -> None:
        """Stop all processes without draining them."""
        for agent in self.agents:
            agent.upstream.end()
            agent.process.kill()
        for entry in self.entries:
            entry.process.kill()
        await self.table.stop()

    def pick(self, avoided_url: str = '') -> str:
        """Return the URL of a ready entry, if possible not ``avoided_url``."""
        ready = [site.url for site in self.entries if site.is_ready()]
        others = [url for url in ready if url != avoided_url]
        urls = others or ready
        urls = urls or [site.url for site in self.entries if site.alive]
        return self._rng.choice(urls)

    def count_messages_sent(self) -> collections.Counter[str]:
        """Count the messages that all processes have sent so far, by kind."""
        total = collections.Counter(self._stopped_traffic)
        sites: list[EntrySite | AgentSite] = [*self.entries, *self.agents]
        for site in sites:
            total.update(site.process.links.traffic.by_kind)
        return total

    def count_bytes_sent(self) -> int:
        """Count the bytes sent by all processes except replaced agents."""
        sites: list[EntrySite | AgentSite] = [*self.entries, *self.agents]
        return sum(site.process.links.traffic.bytes_out for site in sites)

    def compute_traffic_since(
        self, before: collections.Counter[str]
    ) -> bench_evidence.Traffic:
        """Return the traffic since an earlier count of messages.

        :param before: result of :meth:`count_messages_sent`.
        """
        counts = self.count_messages_sent() - before
        return bench_evidence.Traffic(counts, self.counts.refused_share)

    async def change(self, change: cluster.Change) -> cluster.ProposalOutcome:
        """Propose a change at a ready entry; retry until it is accepted."""
        while True:
            site = next(site for site in self.entries if site.is_ready())
            verdict = await site.process.calls.call(
                lambda number: calls.ChangeProposed(number, change)
            )
            assert isinstance(verdict, cluster.ProposalOutcome)
            if verdict.verdict == 'accepted':
                return verdict
            LOG.info('event=change_retried verdict=%s', verdict.verdict)
            await asyncio.sleep(POLL_SECONDS)

    def set_store_down(self, down: bool) -> None:
        """Start or end an outage of the table service."""
        self.table.faults = TABLE_OUTAGE if down else standin_table.Faults()

    async def kill_entry(self, number: int) -> None:
        """Kill an entry."""
        site = self.entries[number]
        site.alive = False
        self._stopped_traffic.update(site.process.links.traffic.by_kind)
        site.process.links.traffic.by_kind.clear()
        site.process.kill()

    async def replace_entry(self, number: int) -> None:
        """Start a new entry, then gracefully stop the one that it replaces."""
        new = await self._start_entry(number)
        await self._wait_until(new.is_ready)
        old = self.entries[number]
        self.entries.append(new)
        await old.process.stop()
        old.alive = False

    async def replace_agent(self, number: int) -> None:
        """Stop an agent gracefully, then start a new one in its place."""
        old = self.agents[number]
        await old.process.stop()
        old.upstream.end()
        self._stopped_traffic.update(old.process.links.traffic.by_kind)
        self.agents[number] = await self._start_agent(number)

    def _make_process_name(self, prefix: str, number: int) -> str:
        self._name_count += 1
        return f'{prefix}-{number}-{self._name_count}'

    def _make_dependencies(
        self, name: str, zone: str
    ) -> processes.Dependencies:
        self._zones[name] = zone
        seconds = self._deployment.zone_latency_seconds
        return processes.Dependencies(
            self._clock,
            random.Random(self._rng.random()),
            latency=ZoneDelay(zone, seconds, self._zones),
        )

    async def _start_entry(self, number: int) -> EntrySite:
        name = self._make_process_name('entry', number)
        zone = self._deployment.zone_of(number)
        cfg = settings.EntrySettings(
            process=settings.Process(name, zone),
            http=settings.Http(listen=ANY_PORT, max_hold_seconds=120.0),
            peers=settings.Peers(listen=ANY_PORT),
            store=settings.Store(f'http://{self.table.address}'),
            tokens=settings.Tokens(operator=OPERATOR_TOKEN),
            tls=settings.Tls(enabled=False),
        )
        dependencies = self._make_dependencies(name, zone)
        policy = self._policy or placement.DEFAULT_POLICY
        process = processes.EntryProcess.from_settings(
            cfg, dependencies, policy
        )
        await process.start()
        self._wrap_reducer(process)
        return EntrySite(process)

    async def _start_agent(self, number: int) -> AgentSite:
        name = self._make_process_name('agent', number)
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
        created: list[standin_upstream.LocalUpstream] = []

        def make_upstream(
            feed: processes.Feed,
        ) -> standin_upstream.LocalUpstream:
            created.append(self._make_upstream(name, number, zone, feed))
            return created[0]

        dependencies = dataclasses.replace(
            self._make_dependencies(name, zone), make_upstream=make_upstream
        )
        process = processes.AgentProcess.from_settings(cfg, dependencies)
        await process.start()
        self._wrap_reducer(process)
        created[0].begin()
        return AgentSite(process, created[0])

    def _make_upstream(
        self, name: str, number: int, zone: str, feed: processes.Feed
    ) -> standin_upstream.LocalUpstream:
        faults = standin_upstream.Faults(
            fail_all=number in self._load.failing_workers,
            slow_factor=dict(self._load.slow_factors).get(number, 1.0),
        )
        worker = bench_upstream.Worker(number, zone, self._recorder, faults)
        announced = upstream.Announced(
            name,
            bench_arrivals.KINDS,
            self._deployment.slots,
            types.Needs(self._deployment.cores, self._deployment.memory_mb),
            UNUSED_URL,
            ANNOUNCEMENT_LEASE_SECONDS,
        )
        return standin_upstream.LocalUpstream(worker, feed, announced)

    def _wrap_reducer(self, process: processes.Process) -> None:
        process.shell.reducer = CountingReducer(
            process.shell.reducer, self.counts, self._recorder.now
        )

    def _are_all_slots_offered(self) -> bool:
        now = self._clock.now()
        offered = sum(
            site.process.entry.status(now).dispatch.slots
            for site in self.entries
        )
        return offered >= self._deployment.total_slots

    async def _wait_until(
        self, condition: collections.abc.Callable[[], bool]
    ) -> None:
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(POLL_SECONDS)
