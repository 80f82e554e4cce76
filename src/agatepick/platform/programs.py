"""The entry and agent programs as the platform starts them."""

import asyncio
import random
import signal
import socket
import sys
import typing

from tornado import httputil
from tornado import netutil

from agatepick import exceptions
from agatepick import intake
from agatepick.platform import announcements
from agatepick.platform import desired
from agatepick.platform import following
from agatepick.platform import ingress
from agatepick.platform import members
from agatepick.platform import reloading
from agatepick.platform import rows
from agatepick.platform import settings
from agatepick.platform import supervision
from agatepick.platform import worker
from agatepick.platform import worker_record
from agatepick.repeatable import agent
from agatepick.repeatable import entry
from agatepick.repeatable import events
from agatepick.repeatable import measures
from agatepick.repeatable import policies
from agatepick.repeatable import process
from agatepick.repeatable import workerapi
from agatepick.telemetry import logs
from agatepick.telemetry import metrics

LOG = logs.logger(__name__)

_Coroutine = typing.Coroutine[typing.Any, typing.Any, None]

DESIRED_WAIT_SECONDS = 1.0
"""How long an entry's call waits for a change of the operator's rows.
Together with the time to detect a silent connection this stays below the 2 s
within which the platform wants a change in force."""

ZONES_WAIT_SECONDS = 2.5
"""How long an agent's call waits for a change of the operator's rows, of which
it needs only the closed zones.  These must be in force within 5 s, and each
call has a cost."""

LOG_LINES_PER_SECOND = 300.0
"""Largest number of log lines that a process writes in a second; further ones
are counted and dropped."""

MAX_ANNOUNCEMENT_BYTES = 4 << 20
"""Limit of a worker's announcement."""

BACKLOG = 1024
"""Connections that the system holds until they are accepted.  Beyond it a
caller waits for seconds, as its opening packet is dropped."""

METRICS_PORT = 9464
"""Port of the metrics, the same as in ``deploy/system.toml``."""

MEMBERS_WAIT_SECONDS = 5.0
"""How long a call waits for a change of the list of entries."""

KEEP_ALIVE_SECONDS = 1
"""Interval of keep-alive probes on callers' connections.  If the packet that
ended one was lost, the next probe shows that the caller's side is gone, before
the job comes again at another entry after 1.3 s."""

KEEP_ALIVE_PROBES = 8
"""Number of lost probes after which a connection is closed: more than a short
outage of the path loses."""

STOP_MARGIN_SECONDS = 0.4
"""Time between the end of a graceful stop and the platform's kill."""


def main(args: list[str]) -> int:
    """Run a program by its name until it is stopped.

    :param args: the program's name, and the path of the settings that switch
        the optional decisions under load; without it they are off.
    :returns: exit status.
    """
    programs = {'entry': run_entry, 'agent': run_agent}
    if len(args) not in (1, 2) or args[0] not in programs:
        print(f'usage: {"|".join(programs)} [POLICIES]', file=sys.stderr)
        return exceptions.BadUsage.exit_status
    try:
        file = reloading.SettingsFile(settings.path_from_env())
        cfg = file.read()
        own = policies.Settings()
        if len(args) == 2:
            own = policies.read_settings(args[1])
    except exceptions.BadSettings as exc:
        print(exc.show(), file=sys.stderr)
        return exc.exit_status
    logs.setup_bounded(cfg.name, LOG_LINES_PER_SECOND)
    asyncio.run(programs[args[0]](cfg, file, own))
    return 0


async def run_entry(
    cfg: settings.NodeSettings,
    file: reloading.SettingsFile,
    own: policies.Settings,
) -> None:
    """Run an entry, on a machine that callers reach."""
    rng = random.Random(process.new_incarnation())
    reducer = entry.Entry.from_config(
        entry.EntryConfig(cfg.name, cfg.zone, own.policies), rng
    )
    proc = _make_process(cfg, 'entry', reducer)
    clients = _make_intake(cfg, own)
    front = ingress.Front(reducer, proc.feed, proc.clock, clients)
    proc.register_handler(events.Reply, front.reply)
    proc.register_handler(events.CancelReply, front.reply_to_cancel)
    proc.listen(cfg.links)
    proc.listen_for_datagrams(cfg.links)
    app = ingress.make_application(front)
    serve_callers(app, cfg.front, clients, front.screen)
    _serve_small(
        ingress.make_ready_application(front), clients, 'ready', cfg.ready
    )
    proc.begin()
    store = rows.RowStore(cfg.store)

    def apply_desired_state(snapshot: following.Snapshot) -> None:
        table = desired.parse_route_table(snapshot)
        if table is not None:
            proc.feed(events.RoutesRead(table))
        limits = desired.parse_request_limits(snapshot)
        if limits is not None:
            clients.request_limits = limits

    def watch_desired_state() -> _Coroutine:
        apply = proc.guard('desired', apply_desired_state)
        wait = DESIRED_WAIT_SECONDS
        return following.watch_table(store, desired.TABLE, wait, apply, rng)

    def register() -> _Coroutine:
        return members.register(store, cfg.name, cfg.links, cfg.zone, rng)

    parts = [
        supervision.Part('watch_desired', watch_desired_state),
        _watch_entries(proc, store, rng),
        supervision.Part('register', register),
    ]
    await _run_until_stopped(cfg, file, proc, store, clients, parts)


async def run_agent(
    cfg: settings.NodeSettings,
    file: reloading.SettingsFile,
    own: policies.Settings,
) -> None:
    """Run an agent, on a worker's machine."""
    incarnation = process.new_incarnation()
    rng = random.Random(incarnation)
    reducer = agent.Agent.from_config(
        agent.AgentConfig(cfg.name, cfg.zone, own.policies), incarnation
    )
    proc = _make_process(cfg, 'agent', reducer, incarnation)
    client = worker.WorkerClient(cfg.worker, proc.clock, proc.feed)
    proc.register_handler(workerapi.StartRun, client.start)
    proc.register_handler(workerapi.StopRun, client.stop)
    proc.register_handler(workerapi.RequestLists, client.request_lists)
    proc.register_handler(workerapi.WatchWorker, client.watch)
    proc.register_handler(workerapi.IdentifyWorker, client.identify)
    store = rows.RowStore(cfg.store)
    record = worker_record.WorkerRecord(store, cfg.worker, rng)
    proc.register_handler(workerapi.PersistWorker, record.update)
    clients = _make_intake(cfg, own)
    _serve(
        announcements.make_application(proc.feed),
        clients,
        intake.Address(
            'control',
            clients.limits.max_small_connections,
            frozenset({'POST'}),
            max_body_bytes=MAX_ANNOUNCEMENT_BYTES,
        ),
        cfg.control,
    )
    proc.begin()

    def apply_zones(snapshot: following.Snapshot) -> None:
        pools = desired.parse_pools(snapshot)
        if pools is not None:
            proc.feed(pools)
        proc.feed(desired.parse_closed_zones(snapshot))

    def watch_zones() -> _Coroutine:
        apply = proc.guard('zones', apply_zones)
        wait = ZONES_WAIT_SECONDS
        return following.watch_table(store, desired.TABLE, wait, apply, rng)

    parts = [
        supervision.Part('restore', lambda: record.restore(client, proc.feed)),
        supervision.Part('write_worker', record.write_changes),
        supervision.Part('watch_zones', watch_zones),
        _watch_entries(proc, store, rng),
    ]
    await _run_until_stopped(cfg, file, proc, store, clients, parts)
    await client.close()


def _watch_entries(
    proc: process.Process, store: rows.RowStore, rng: random.Random
) -> supervision.Part:
    """Return the part that follows the list of entries."""

    def apply(snapshot: following.Snapshot) -> None:
        proc.feed(members.parse_entries(snapshot))

    def watch() -> _Coroutine:
        guarded = proc.guard('entries', apply)
        wait = MEMBERS_WAIT_SECONDS
        return following.watch_table(store, members.TABLE, wait, guarded, rng)

    return supervision.Part('watch_entries', watch)


def _make_process(
    cfg: settings.NodeSettings,
    role: str,
    reducer: typing.Any,
    incarnation: int | None = None,
) -> process.Process:
    return process.Process(
        cfg.name,
        role,
        cfg.zone,
        reducer,
        incarnation or process.new_incarnation(),
        process.new_clock(),
    )


def _make_intake(
    cfg: settings.NodeSettings, own: policies.Settings
) -> intake.Intake:
    return intake.Intake.from_config(
        own.limits, cfg.memory_mb, cfg.descriptors
    )


def _serve(
    app: httputil.HTTPServerConnectionDelegate,
    clients: intake.Intake,
    options: intake.Address,
    address: str,
) -> list[socket.socket]:
    """Serve HTTP at ``ip:port``, and return the listening sockets."""
    host, _, port = address.rpartition(':')
    socks = netutil.bind_sockets(int(port), host, backlog=BACKLOG)
    intake.Server(app, clients, options).add_sockets(socks)
    return socks


def _serve_small(
    app: httputil.HTTPServerConnectionDelegate,
    clients: intake.Intake,
    name: str,
    address: str,
) -> None:
    """Serve HTTP at an address that is asked now and then."""
    most = clients.limits.max_small_connections
    _serve(app, clients, intake.Address(name, most), address)


def serve_callers(
    app: httputil.HTTPServerConnectionDelegate,
    address: str,
    clients: intake.Intake | None = None,
    screen: intake.Screen | None = None,
) -> None:
    """Serve callers at ``ip:port``, with keep-alive probes to them.

    :param clients: what the servers of the process share; that of a process
        whose machine isn't known by default.
    :param screen: refuses requests by their heads.
    """
    clients = clients or intake.Intake.from_config()
    options = intake.Address(
        'front',
        clients.limits.max_connections,
        frozenset({'POST'}),
        screen=screen,
    )
    for sock in _serve(app, clients, options, address):
        # Accepted connections inherit the options.
        _set_keep_alive(sock)


def _set_keep_alive(sock: socket.socket) -> None:
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)


def _serve_metrics(
    cfg: settings.NodeSettings,
    proc_measures: measures.Measures,
    clients: intake.Intake,
) -> None:
    app = metrics.make_application(proc_measures.text)
    host = cfg.links.rpartition(':')[0]
    try:
        _serve_small(app, clients, 'metrics', f'{host}:{METRICS_PORT}')
    except OSError as exc:
        # Another process on this machine uses the port; metrics are optional.
        logs.warning(LOG, 'metrics_not_served', reason=exc)


async def _run_until_stopped(
    cfg: settings.NodeSettings,
    file: reloading.SettingsFile,
    proc: process.Process,
    store: rows.RowStore,
    clients: intake.Intake,
    parts: list[supervision.Part],
) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    proc.measures.register(
        lambda: {**proc.gauges(), **clients.gauges()},
        lambda: store.call_counts,
        clients.count_refused,
    )
    _serve_metrics(cfg, proc.measures, clients)

    def apply_settings(new_cfg: settings.NodeSettings) -> None:
        # Only the store's address can change while the process runs.
        store.address = new_cfg.store

    def follow_settings() -> _Coroutine:
        return reloading.follow_settings(
            file, apply_settings, reload_requested
        )

    parts.append(supervision.Part('settings', follow_settings))
    rng = random.Random(process.new_incarnation())
    tasks = [
        loop.create_task(supervision.supervise(part, proc.record_fault, rng))
        for part in parts
    ]
    logs.info(LOG, 'started', links=cfg.links)
    await stop_requested.wait()
    await proc.stop(cfg.grace_seconds - STOP_MARGIN_SECONDS)
    for task in tasks:
        task.cancel()
    await store.close()
    logs.info(LOG, 'stopped')
