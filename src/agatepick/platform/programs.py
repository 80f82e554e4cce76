"""The two programs as the platform starts them."""

import asyncio
import os
import random
import signal
import sys
import typing

from tornado import httpserver
from tornado import netutil
from tornado import web

from agatepick import exceptions
from agatepick.platform import announcements
from agatepick.platform import desired
from agatepick.platform import following
from agatepick.platform import ingress
from agatepick.platform import kept
from agatepick.platform import members
from agatepick.platform import rows
from agatepick.platform import settings
from agatepick.platform import worker
from agatepick.repeatable import agent
from agatepick.repeatable import entry
from agatepick.repeatable import events
from agatepick.repeatable import measures
from agatepick.repeatable import process
from agatepick.repeatable import workerapi
from agatepick.telemetry import logs
from agatepick.telemetry import metrics

LOG = logs.logger(__name__)

DESIRED_WAIT_SECONDS = 1.0
"""How long a call waits for a change of the operator's rows: with the time
until a silent connection is noticed it stays under the platform's 2 s."""

ZONES_WAIT_SECONDS = 2.5
"""The same for an agent, which follows closed zones alone: these must be in
force within 5 s, and each call is paid for."""

LINES_PER_SECOND = 300.0
"""Most lines that a process writes; what is beyond is counted and left
out."""

METRICS_PORT = 9464
"""Port of the metrics, the same as in ``deploy/system.toml``."""

MEMBERS_WAIT_SECONDS = 5.0
"""How long a call waits for another entry to be listed."""

STOP_SPARE_SECONDS = 0.4
"""Time between the end of a graceful stop and the platform's kill."""

RELOAD_SECONDS = 1.0
"""How often the settings file is looked at: it may change unannounced."""


def main(words: list[str]) -> int:
    """Run a program by its name until it is stopped."""
    programs = {'entry': run_entry, 'agent': run_agent}
    if len(words) != 1 or words[0] not in programs:
        print(f'usage: {"|".join(programs)}', file=sys.stderr)
        return exceptions.BadUsage.exit_status
    try:
        path = settings.path_from_env()
        cfg = settings.read(path)
    except exceptions.BadSettings as exc:
        print(exc.show(), file=sys.stderr)
        return exc.exit_status
    logs.setup_bounded(cfg.name, LINES_PER_SECOND)
    asyncio.run(programs[words[0]](cfg, path))
    return 0


async def run_entry(cfg: settings.NodeSettings, path: str) -> None:
    """An entry, on a machine that callers reach."""
    rng = random.Random(process.new_incarnation())
    reducer = entry.Entry.from_config(
        entry.EntryConfig(cfg.name, cfg.zone), rng
    )
    own = _process(cfg, 'entry', reducer)
    front = ingress.Front(reducer, own.feed, own.clock)
    own.handle(events.Reply, front.reply)
    own.listen(cfg.links)
    _serve(ingress.application(front), cfg.front)
    _serve(ingress.ready_application(front), cfg.ready)
    own.begin()
    store = rows.RowStore(cfg.store)

    def take_desired(found: following.Snapshot) -> None:
        table = desired.route_table(found)
        if table is not None:
            own.feed(events.RoutesRead(table))

    works = [
        following.follow(
            store, desired.TABLE, DESIRED_WAIT_SECONDS, take_desired, rng
        ),
        members.enlist(store, cfg.name, cfg.links, cfg.zone, rng),
    ]
    await _until_stopped(cfg, path, own, store, works)


async def run_agent(cfg: settings.NodeSettings, path: str) -> None:
    """An agent, on a worker's machine."""
    incarnation = process.new_incarnation()
    rng = random.Random(incarnation)
    reducer = agent.Agent.from_config(
        agent.AgentConfig(cfg.name, cfg.zone), incarnation
    )
    own = _process(cfg, 'agent', reducer, incarnation)
    client = worker.WorkerClient(cfg.worker, own.clock, own.feed)
    own.handle(workerapi.StartRun, client.start)
    own.handle(workerapi.StopRun, client.stop)
    own.handle(workerapi.Watch, client.watch)
    store = rows.RowStore(cfg.store)
    known = kept.Kept(store, cfg.worker, rng)
    own.handle(workerapi.KeepWorker, known.keep)
    app = announcements.application(own.feed, client.worker_clock)
    _serve(app, cfg.control)
    own.begin()
    works = [
        known.recall(client, own.feed),
        known.write_on(),
        following.follow(
            store,
            desired.TABLE,
            ZONES_WAIT_SECONDS,
            lambda found: own.feed(desired.closed_zones(found)),
            rng,
        ),
        following.follow(
            store,
            members.TABLE,
            MEMBERS_WAIT_SECONDS,
            lambda found: own.feed(members.listed(found)),
            rng,
        ),
    ]
    await _until_stopped(cfg, path, own, store, works)
    await client.close()


def _process(
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


def _serve(app: web.Application, address: str) -> None:
    host, _, port = address.rpartition(':')
    server = httpserver.HTTPServer(app)
    server.add_sockets(netutil.bind_sockets(int(port), host))


def _serve_metrics(
    cfg: settings.NodeSettings, found: measures.Measures
) -> None:
    app = metrics.application(found.text)
    host = cfg.links.rpartition(':')[0]
    try:
        _serve(app, f'{host}:{METRICS_PORT}')
    except OSError as exc:
        # Another process of this machine has the port; serving goes on.
        logs.warning(LOG, 'metrics_not_served', reason=exc)


async def _until_stopped(
    cfg: settings.NodeSettings,
    path: str,
    own: process.Process,
    store: rows.RowStore,
    works: list[typing.Coroutine[typing.Any, typing.Any, None]],
) -> None:
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    reload = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, asked.set)
    loop.add_signal_handler(signal.SIGINT, asked.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    own.measures.read(own.figures, lambda: store.counts)
    _serve_metrics(cfg, own.measures)
    tasks = [loop.create_task(work) for work in works]
    tasks.append(loop.create_task(_reload(cfg, path, store, reload)))
    logs.info(LOG, 'started', links=cfg.links)
    await asked.wait()
    await own.stop(cfg.grace_seconds - STOP_SPARE_SECONDS)
    for task in tasks:
        task.cancel()
    await store.close()
    logs.info(LOG, 'stopped')


async def _reload(
    cfg: settings.NodeSettings,
    path: str,
    store: rows.RowStore,
    asked: asyncio.Event,
) -> None:
    """Follow the settings file; what can't change while running is told."""
    changed_at = os.stat(path).st_mtime
    while True:
        try:
            await asyncio.wait_for(asked.wait(), RELOAD_SECONDS)
        except TimeoutError:
            pass
        try:
            now = os.stat(path).st_mtime
            if now == changed_at and not asked.is_set():
                continue
            changed_at = now
            found = settings.read(path)
        except (OSError, exceptions.BadSettings) as exc:
            logs.warning(LOG, 'settings_bad', reason=exc)
            asked.clear()
            continue
        asked.clear()
        store.address = found.store
        logs.info(LOG, 'settings_reloaded', store=found.store)
