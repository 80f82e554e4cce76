"""Whole processes: a reducer with its shell, links, store and HTTP side.

Every part that touches the outside can be replaced, so that demo, bench and
tests run the very same processes inside one event loop.
"""

import asyncio
import dataclasses
import logging
import random
import secrets
import ssl
import typing

from tornado import httpserver
from tornado import netutil

from agatepick import agent
from agatepick import announce
from agatepick import callers
from agatepick import calls
from agatepick import clocks
from agatepick import configuration
from agatepick import core
from agatepick import dispatch
from agatepick import entry
from agatepick import links
from agatepick import messages
from agatepick import operators
from agatepick import owner
from agatepick import settings
from agatepick import shell
from agatepick import store
from agatepick import tablestore
from agatepick import timeline
from agatepick import types
from agatepick import upstream
from agatepick import web

LOG = logging.getLogger(__name__)

_INCARNATION_BITS = 63


@dataclasses.dataclass(frozen=True)
class Outside:
    """What a process reaches beyond its own sockets.

    :param table: client of the table service; by URL if ``None``.
    :param upstream: what runs an agent's tasks; by HTTP if ``None``.
    :param delay: latency added to messages between processes.
    """

    clock: types.Clock
    rng: random.Random
    table: store.Store | None = None
    upstream: upstream.Upstream | None = None
    delay: links.Delay | None = None

    @classmethod
    def real(cls) -> 'Outside':
        """The machine's clock and randomness; the rest by settings."""
        return cls(clocks.ProcessClock(), random.Random(secrets.randbits(64)))


@dataclasses.dataclass(frozen=True)
class Contexts:
    """TLS contexts; all ``None`` when TLS is off."""

    http: ssl.SSLContext | None = None
    peer_server: ssl.SSLContext | None = None
    peer_client: ssl.SSLContext | None = None


def new_incarnation() -> int:
    """A number that no earlier process of the same name had."""
    return secrets.randbits(_INCARNATION_BITS)


class Process:
    """What entries and agents have in common."""

    def __init__(
        self,
        cfg: settings.Process,
        stop_seconds: float,
        timeline_events: int,
        outside: Outside,
    ):
        self.name = cfg.name
        self.incarnation = new_incarnation()
        self.outside = outside
        self.timeline = timeline.Timeline(
            cfg.name, timeline_events, outside.clock
        )
        self._stop_seconds = stop_seconds
        self._http: httpserver.HTTPServer | None = None
        self.shell: shell.Shell
        self.links: links.Links

    async def run(self) -> None:
        """Serve until the graceful stop is done."""
        await self.shell.done.wait()
        self.kill()

    async def stop(self) -> None:
        """Stop gracefully; what isn't done in time is cut off."""
        self.shell.feed(core.StopRequested())
        try:
            await asyncio.wait_for(self.shell.done.wait(), self._stop_seconds)
        except TimeoutError:
            LOG.warning('event=stop_cut_off process=%s', self.name)
        self.shell.done.set()
        # The last messages leave before their connections close.
        await asyncio.sleep(0)
        self.kill()

    def kill(self) -> None:
        """End at once, as a crash would."""
        self.shell.done.set()
        self.shell.end()
        self.links.end()
        if self._http is not None:
            self._http.stop()

    def _begin(self, contexts: Contexts, reducer: core.Reducer) -> None:
        outside = self.outside
        self.shell = shell.Shell(reducer, outside.clock)
        self.links = links.Links(
            self._hello,
            self.shell.feed,
            outside.clock,
            outside.rng,
            contexts.peer_server,
            contexts.peer_client,
            outside.delay,
        )
        self.shell.use_links(self.links)
        self.shell.handle(core.Note, self._note)

    def _hello(self) -> messages.Hello:
        raise NotImplementedError

    def _note(self, effect: core.Note) -> None:
        self.timeline.add(effect)


class EntryProcess(Process):
    """One entry."""

    def __init__(self, cfg: settings.EntrySettings, outside: Outside):
        super().__init__(
            cfg.process,
            cfg.timing.stop_seconds,
            cfg.log.timeline_events,
            outside,
        )
        self.cfg = cfg
        self.member: messages.Member
        self.entry: entry.Entry
        self.calls: calls.Calls
        self.http_address = ''

    @classmethod
    def from_settings(
        cls, cfg: settings.EntrySettings, outside: Outside | None = None
    ) -> 'EntryProcess':
        """An entry that listens nowhere yet."""
        return cls(cfg, outside or Outside.real())

    async def start(self, contexts: Contexts = Contexts()) -> None:
        """Listen, and begin to follow the configuration."""
        peers = self.cfg.peers
        sockets = _bind(peers.listen)
        address = peers.advertise or _address(sockets)
        self.member = messages.Member(
            self.name,
            self.incarnation,
            address,
            self.cfg.process.zone,
            0.0,
        )
        self.entry = entry.Entry.from_config(
            self._entry_config(), self.outside.rng
        )
        self._begin(contexts, self.entry)
        self.calls = calls.Calls(self.shell.feed, self.cfg.http.max_open)
        self.shell.handle(calls.Reply, self.calls.reply)
        self._use_table()
        self.links.add_sockets(sockets)
        self.links.begin()
        self._listen_http(contexts)
        self.shell.begin()

    def _use_table(self) -> None:
        table = self.outside.table
        if table is None:
            table = tablestore.TableStore.from_config(
                tablestore.TableStoreSettings(
                    self.cfg.store.url, self.cfg.store.timeout_seconds
                ),
                self.outside.clock,
                self.outside.rng,
            )
        client = table
        loop = asyncio.get_running_loop()

        async def carry(effect: store.CallStore) -> None:
            answer = await client.call(effect.request)
            self.shell.feed(store.StoreAnswered(effect.call_id, answer))

        self.shell.handle(
            store.CallStore, lambda effect: loop.create_task(carry(effect))
        )

    def _listen_http(self, contexts: Contexts) -> None:
        front = web.Front(
            self.name,
            self.calls,
            self.outside.clock,
            self.cfg.http,
            self.cfg.tokens,
            self.timeline,
            lambda: self.entry.ready(self.outside.clock.now()),
        )
        routes = [*callers.routes(front), *operators.routes(front)]
        self._http = web.server(front, routes, contexts.http)
        sockets = _bind(self.cfg.http.listen)
        self.http_address = _address(sockets)
        self._http.add_sockets(sockets)

    def _entry_config(self) -> entry.EntryConfig:
        timing = self.cfg.timing
        return entry.EntryConfig(
            me=self.member,
            configuration=configuration.ConfigurationSettings(
                fence_seconds=timing.fence_seconds,
                margin_seconds=timing.margin_seconds,
            ),
            dispatch=dispatch.DispatchSettings(),
            owner=owner.OwnerConfig(
                retention_seconds=timing.retention_seconds,
                key_skew_seconds=timing.skew_seconds,
            ),
        )

    def _hello(self) -> messages.Hello:
        return messages.Hello(
            self.name,
            entry.ENTRY,
            self.incarnation,
            self.cfg.process.zone,
            self.cfg.process.rack,
            self.member.address,
            self.entry.configuration.version,
        )


class AgentProcess(Process):
    """One agent, beside its upstream."""

    def __init__(self, cfg: settings.AgentSettings, outside: Outside):
        super().__init__(
            cfg.process,
            cfg.timing.stop_seconds,
            cfg.log.timeline_events,
            outside,
        )
        self.cfg = cfg
        self.agent: agent.Agent
        self.upstream_address = ''

    @classmethod
    def from_settings(
        cls, cfg: settings.AgentSettings, outside: Outside | None = None
    ) -> 'AgentProcess':
        """An agent that dials nobody yet."""
        return cls(cfg, outside or Outside.real())

    async def start(self, contexts: Contexts = Contexts()) -> None:
        """Take announcements and dial the entries."""
        process, timing = self.cfg.process, self.cfg.timing
        self.agent = agent.Agent.from_config(
            agent.AgentConfig(
                name=process.name,
                zone=process.zone,
                rack=process.rack,
                seeds=self.cfg.entries.seeds,
                retention_seconds=timing.retention_seconds,
                clock_margin=timing.margin_seconds,
            ),
            self.incarnation,
        )
        self._begin(contexts, self.agent)
        self._use_upstream()
        self.links.begin()
        self._listen_announcements()
        self.shell.begin()

    def _use_upstream(self) -> None:
        runner = self.outside.upstream
        if runner is None:
            runner = upstream.HttpUpstream(self.shell.feed)
        runner.attach(self.shell)

    def _listen_announcements(self) -> None:
        sockets = _bind(self.cfg.upstream.listen)
        self.upstream_address = _address(sockets)
        self._http = announce.server(self.shell.feed, self.cfg.upstream)
        self._http.add_sockets(sockets)

    def _hello(self) -> messages.Hello:
        process = self.cfg.process
        return messages.Hello(
            self.name,
            entry.AGENT,
            self.incarnation,
            process.zone,
            process.rack,
            '',
            0,
        )


def _bind(address: str) -> list[typing.Any]:
    host, _, port = address.rpartition(':')
    return netutil.bind_sockets(int(port), host.strip('[]'))


def _address(sockets: list[typing.Any]) -> str:
    host, port = sockets[0].getsockname()[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
