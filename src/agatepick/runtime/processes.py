"""Processes: a reducer with its shell, links, store and HTTP servers.

Every external dependency can be replaced, so that the demo, the bench and the
tests run the same process code inside one event loop.
"""

import asyncio
import dataclasses
import logging
import random
import secrets
import typing

from tornado import netutil

from agatepick.agentside import agent
from agatepick.agentside import announce
from agatepick.agentside import httpupstream
from agatepick.agentside import upstream
from agatepick.api import callers
from agatepick.api import calls
from agatepick.api import operators
from agatepick.api import web
from agatepick.conf import settings
from agatepick.config import configuration
from agatepick.config import readlease
from agatepick import core
from agatepick.decisions import dispatch
from agatepick.decisions import placement
from agatepick import exceptions
from agatepick import intake
from agatepick.net import clocks
from agatepick.net import links
from agatepick.net import messages
from agatepick.net import tls
from agatepick.owning import entry
from agatepick.owning import owner
from agatepick.runtime import shell
from agatepick.table import store
from agatepick.table import tablestore
from agatepick.telemetry import metrics
from agatepick.telemetry import timeline
from agatepick import types

LOG = logging.getLogger(__name__)

FLUSH_SECONDS = 0.1
_INCARNATION_BITS = 63
_POLL_INTERVAL_PER_FENCE = 1 / 6
_RENEWAL_INTERVAL_PER_FENCE = 0.23
"""Interval between renewals, and between grants, as a fraction of the fence;
``_POLL_INTERVAL_PER_FENCE`` is the one between reads of the head.  Two reads
or two renewals or grants in a row may fail before a read lease expires."""


Feed = typing.Callable[[object], None]


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """External dependencies of a process.

    :param table: client of the table service; ``None`` creates one for the
        configured URL.
    :param make_upstream: creates the upstream that runs the agent's tasks,
        given the function that passes events to the agent's reducer;
        ``None`` uses HTTP.
    :param latency: latency added to messages between processes.
    """

    clock: types.Clock
    rng: random.Random
    table: store.Store | None = None
    make_upstream: typing.Callable[[Feed], upstream.Upstream] | None = None
    latency: links.LatencyModel | None = None

    @classmethod
    def real(cls) -> 'Dependencies':
        """Return dependencies with the real clock and a random seed.

        The other dependencies keep their defaults.
        """
        rng = random.Random(secrets.randbits(_INCARNATION_BITS))
        return cls(clocks.ProcessClock.start(), rng)


def new_incarnation() -> int:
    """Return a random number that identifies this run of a process."""
    return secrets.randbits(_INCARNATION_BITS)


class Process:
    """Common base class of entries and agents."""

    def __init__(
        self,
        cfg: settings.Process,
        stop_seconds: float,
        timeline_events: int,
        metrics_cfg: settings.Metrics,
        clients: intake.Intake,
        dependencies: Dependencies,
    ):
        self.clients = clients
        self.name = cfg.name
        self.incarnation = new_incarnation()
        self.dependencies = dependencies
        self.timeline = timeline.Timeline(
            cfg.name, timeline_events, dependencies.clock
        )
        self.metrics = metrics.Metrics()
        self.metrics_address = ''
        self._metrics_cfg = metrics_cfg
        self._metrics_http: intake.Server | None = None
        self._stop_seconds = stop_seconds
        self._http: intake.Server | None = None
        self._close_task: asyncio.Task[None] | None = None
        self.shell: shell.Shell
        self.links: links.Links

    async def run(self) -> None:
        """Serve until the graceful stop has completed."""
        await self.shell.done.wait()
        self.kill()

    async def stop(self) -> None:
        """Stop gracefully; abort what is unfinished at the timeout."""
        self.shell.feed(core.StopRequested())
        try:
            await asyncio.wait_for(self.shell.done.wait(), self._stop_seconds)
        except TimeoutError:
            LOG.warning('event=stop_cut_off process=%s', self.name)
        self.shell.done.set()
        # The last messages and responses are sent before connections close.
        await asyncio.sleep(FLUSH_SECONDS)
        self.kill()

    def kill(self) -> None:
        """Terminate immediately, as in a crash."""
        self.shell.done.set()
        self.shell.end()
        self.links.end()
        if self._metrics_http is not None:
            self._metrics_http.stop()
        if self._http is not None:
            self._http.stop()
            # A closed connection makes callers retry at another entry; on an
            # open one they would wait indefinitely.
            loop = asyncio.get_running_loop()
            self._close_task = loop.create_task(
                self._http.close_all_connections()
            )

    def _start_shell(
        self, contexts: tls.Contexts, reducer: core.Reducer
    ) -> None:
        dependencies = self.dependencies
        self.shell = shell.Shell(reducer, dependencies.clock)
        self.links = links.Links(
            self._make_hello,
            self._receive,
            dependencies.clock,
            dependencies.rng,
            contexts.peer_server,
            contexts.peer_client,
            dependencies.latency,
            self.timeline.hybrid,
        )
        self.shell.use_links(self.links)
        self.shell.handle(core.Send, self._send)
        self.shell.handle(core.Note, self._record_note)
        if self._metrics_cfg.listen:
            self._serve_metrics()

    def _serve_metrics(self) -> None:
        sockets = _bind_sockets(self._metrics_cfg.listen)
        self.metrics_address = _format_address(sockets)
        self._metrics_http = intake.Server(
            metrics.make_application(self._render_metrics),
            self.clients,
            intake.Address(
                'metrics', self.clients.limits.max_small_connections
            ),
        )
        self._metrics_http.add_sockets(sockets)

    def _make_hello(self) -> messages.Hello:
        raise NotImplementedError

    def _send(self, effect: core.Send) -> None:
        self.timeline.add_tasks(
            timeline.note_sent_tasks(effect.peer, effect.message)
        )
        self.links.send(effect.peer, effect.message)

    def _receive(self, event: object) -> None:
        if isinstance(event, core.Received):
            self.timeline.add_tasks(
                timeline.note_received_tasks(event.peer, event.message)
            )
        self.shell.feed(event)

    def _record_note(self, effect: core.Note) -> None:
        self.timeline.add(effect)
        self.metrics.count_note(effect)

    def _render_metrics(self) -> bytes:
        traffic = self.links.traffic
        self.metrics.set_gauge('links_messages_out', traffic.messages_out)
        self.metrics.set_gauge('links_messages_in', traffic.messages_in)
        self.metrics.set_gauge('links_bytes_out', traffic.bytes_out)
        self.metrics.set_gauge('links_bytes_in', traffic.bytes_in)
        for name, value in self.clients.gauges().items():
            self.metrics.set_gauge(name, value)
        return self.metrics.text()


class EntryProcess(Process):
    """Process of one entry."""

    def __init__(
        self,
        cfg: settings.EntrySettings,
        dependencies: Dependencies,
        policy: str = placement.DEFAULT_POLICY,
    ):
        super().__init__(
            cfg.process,
            cfg.timing.stop_seconds,
            cfg.log.timeline_events,
            cfg.metrics,
            web.make_intake(cfg.http, cfg.limits),
            dependencies,
        )
        self.cfg = cfg
        self._policy = policy
        self._store_tasks: set[asyncio.Task[None]] = set()
        self.member: messages.Member
        self.entry: entry.Entry
        self.calls: calls.Calls
        self.http_address = ''

    @classmethod
    def from_settings(
        cls,
        cfg: settings.EntrySettings,
        dependencies: Dependencies | None = None,
        policy: str = placement.DEFAULT_POLICY,
    ) -> 'EntryProcess':
        """Return an entry that isn't listening yet.

        :param policy: placement policy; policies other than the default are
            baselines of the bench.
        """
        return cls(cfg, dependencies or Dependencies.real(), policy)

    async def start(self, contexts: tls.Contexts | None = None) -> None:
        """Listen and start to follow the configuration."""
        peers = self.cfg.peers
        sockets = _bind_sockets(peers.listen)
        address = peers.advertise or _format_address(sockets)
        self.member = messages.Member(
            self.name,
            self.incarnation,
            address,
            self.cfg.process.zone,
            0.0,
        )
        self.entry = entry.Entry.from_config(
            self._make_entry_config(), self.dependencies.rng
        )
        self._start_shell(contexts or _PLAINTEXT, self.entry)
        self.calls = calls.Calls(self.shell.feed, self.cfg.http.max_open)
        self.shell.handle(calls.Reply, self.calls.reply)
        self._register_table()
        self.links.add_sockets(sockets)
        self.links.begin()
        self._listen_http(contexts or _PLAINTEXT)
        self.shell.begin()

    def _register_table(self) -> None:
        table = self.dependencies.table
        if table is None:
            table = tablestore.TableStore.from_config(
                tablestore.TableClientSettings(
                    _strip_scheme(self.cfg.store.url)
                ),
                self.dependencies.rng,
            )
        client = table
        loop = asyncio.get_running_loop()

        async def run_call(effect: store.CallStore) -> None:
            self.shell.feed(await client.call(effect))

        def start_call(effect: store.CallStore) -> None:
            # The event loop keeps only weak references to its tasks.
            task = loop.create_task(run_call(effect))
            self._store_tasks.add(task)
            task.add_done_callback(self._store_tasks.discard)

        self.shell.handle(store.CallStore, start_call)

    def _listen_http(self, contexts: tls.Contexts) -> None:
        front = web.Front(
            self.name,
            self.calls,
            self.dependencies.clock,
            self.cfg.http,
            self.cfg.tokens,
            self.timeline,
            lambda: self.entry.ready(self.dependencies.clock.now()),
            self.metrics,
            self.clients,
        )
        routes = [*callers.routes(front), *operators.routes(front)]
        self._http = web.server(front, routes, contexts.http)
        sockets = _bind_sockets(self.cfg.http.listen)
        self.http_address = _format_address(sockets)
        self._http.add_sockets(sockets)

    def _make_entry_config(self) -> entry.EntryConfig:
        timing = self.cfg.timing
        return entry.EntryConfig(
            me=self.member,
            configuration=configuration.ConfigurationSettings(
                readlease.LeaseDurations(
                    timing.fence_seconds, timing.margin_seconds
                ),
                poll_seconds=timing.fence_seconds * _POLL_INTERVAL_PER_FENCE,
                renew_seconds=timing.fence_seconds
                * _RENEWAL_INTERVAL_PER_FENCE,
                grant_seconds=timing.fence_seconds
                * _RENEWAL_INTERVAL_PER_FENCE,
                store_timeout_seconds=self.cfg.store.timeout_seconds,
            ),
            dispatch=dispatch.DispatchSettings(self.name, policy=self._policy),
            limits=owner.OwnerConfig(
                retention_seconds=timing.retention_seconds,
                key_skew_seconds=timing.skew_seconds,
            ),
        )

    def _make_hello(self) -> messages.Hello:
        return messages.Hello(
            self.name,
            entry.ROLE_ENTRY,
            self.incarnation,
            self.cfg.process.zone,
            self.cfg.process.rack,
            self.member.address,
            self.entry.configuration.version,
        )


class AgentProcess(Process):
    """Process of one agent, which runs beside its upstream."""

    def __init__(
        self, cfg: settings.AgentSettings, dependencies: Dependencies
    ):
        super().__init__(
            cfg.process,
            cfg.timing.stop_seconds,
            cfg.log.timeline_events,
            cfg.metrics,
            web.make_intake(settings.Http(cfg.operators.listen), cfg.limits),
            dependencies,
        )
        self.cfg = cfg
        self.agent: agent.Agent
        self.upstream_address = ''
        self.operators_address = ''
        self._upstream: upstream.Upstream
        self._operators_http: intake.Server | None = None

    @classmethod
    def from_settings(
        cls,
        cfg: settings.AgentSettings,
        dependencies: Dependencies | None = None,
    ) -> 'AgentProcess':
        """Return an agent that has no connections yet."""
        return cls(cfg, dependencies or Dependencies.real())

    async def start(self, contexts: tls.Contexts | None = None) -> None:
        """Listen for announcements and connect to the entries."""
        self.agent = agent.Agent.from_config(
            agent.AgentConfig.from_settings(self.cfg),
            self.incarnation,
        )
        self._start_shell(contexts or _PLAINTEXT, self.agent)
        self._register_upstream()
        self._listen_announcements()
        if self.cfg.operators.listen:
            self._listen_operators(contexts or _PLAINTEXT)
        self.links.begin()
        self.shell.begin()

    def _register_upstream(self) -> None:
        feed = self._receive_upstream_event
        make_upstream = self.dependencies.make_upstream
        task_upstream = (
            make_upstream(feed)
            if make_upstream is not None
            else httpupstream.HttpUpstream(feed, self.dependencies.clock)
        )
        self._upstream = task_upstream
        self.shell.handle(upstream.RunTask, self._run_task)
        self.shell.handle(upstream.StopTask, task_upstream.stop)

    def _run_task(self, effect: upstream.RunTask) -> None:
        self._record_task('task_started', effect, '')
        self._upstream.run(effect)

    def _receive_upstream_event(self, event: object) -> None:
        if isinstance(event, upstream.TaskEnded):
            self._record_task('task_ended', event, event.state)
        self.shell.feed(event)

    def _record_task(
        self,
        name: str,
        task: upstream.RunTask | upstream.TaskEnded,
        state: str,
    ) -> None:
        mark = timeline.TaskMark(task.job, task.index, task.attempt, state)
        zone = self.cfg.process.zone
        self.timeline.add_tasks(timeline.TaskNote(name, '', zone, (mark,)))

    def _listen_announcements(self) -> None:
        sockets = _bind_sockets(self.cfg.upstream.listen)
        self.upstream_address = _format_address(sockets)
        self._http = announce.build_server(
            self.shell.feed, self.cfg.upstream, self.clients
        )
        self._http.add_sockets(sockets)

    def _listen_operators(self, contexts: tls.Contexts) -> None:
        """Serve timeline and health; only entries serve the other routes."""
        cfg = self.cfg.operators
        front = web.Front(
            self.name,
            calls.Calls(self.shell.feed),
            self.dependencies.clock,
            settings.Http(cfg.listen),
            settings.Tokens(cfg.token),
            self.timeline,
            measured=self.metrics,
            clients=self.clients,
        )
        routes = operators.process_routes(front)
        self._operators_http = web.server(front, routes, contexts.http)
        sockets = _bind_sockets(cfg.listen)
        self.operators_address = _format_address(sockets)
        self._operators_http.add_sockets(sockets)

    def kill(self) -> None:
        """Terminate immediately, as in a crash."""
        super().kill()
        if self._operators_http is not None:
            self._operators_http.stop()

    def _make_hello(self) -> messages.Hello:
        process = self.cfg.process
        return messages.Hello(
            self.name,
            entry.ROLE_AGENT,
            self.incarnation,
            process.zone,
            process.rack,
            '',
            0,
        )


_PLAINTEXT = tls.Contexts(settings.Tls(enabled=False))


def _strip_scheme(url: str) -> str:
    return url.partition('://')[2]


def _bind_sockets(address: str) -> list[typing.Any]:
    host, _, port = address.rpartition(':')
    try:
        return netutil.bind_sockets(int(port), host.strip('[]'))
    except OSError as exc:
        raise exceptions.BadSettings(
            f'{address}: cannot listen: {exc.strerror}; free the address or '
            f'set another',
            step='listen',
        ) from exc


def _format_address(sockets: list[typing.Any]) -> str:
    host, port = sockets[0].getsockname()[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
