"""Programs ``agatepick entry``, ``agatepick agent`` and the stand-ins.

Each program runs until SIGTERM or SIGINT; then it drains and exits.  A second
signal terminates it immediately.
"""

import asyncio
import logging
import signal
import typing

import uuid_utils

from agatepick.agentside import upstream
from agatepick.cmd import commands
from agatepick.conf import settings
from agatepick import exceptions
from agatepick.net import tls
from agatepick.runtime import processes
from agatepick.standins import standin_table
from agatepick.standins import standin_upstream
from agatepick.telemetry import logs
from agatepick import types

LOG = logging.getLogger(__name__)

ANNOUNCEMENT_LEASE_SECONDS = 5.0

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Program(typing.Protocol):
    """Program that runs until it is stopped."""

    async def stop(self) -> None:
        """Stop gracefully."""
        ...


def run_entry(cfg: settings.EntrySettings) -> commands.Output:
    """Run an entry until it is stopped."""
    logs.setup(cfg.log.level, cfg.process.name)
    asyncio.run(_run_entry(cfg))
    return commands.Output('')


def run_agent(cfg: settings.AgentSettings) -> commands.Output:
    """Run an agent until it is stopped."""
    logs.setup(cfg.log.level, cfg.process.name)
    asyncio.run(_run_agent(cfg))
    return commands.Output('')


def run_table(cfg: settings.TableSettings) -> commands.Output:
    """Run the stand-in table service until it is stopped."""
    logs.setup(cfg.log.level, 'table')
    asyncio.run(_run_table(cfg))
    return commands.Output('')


def run_upstream(cfg: settings.UpstreamSettings) -> commands.Output:
    """Run the upstream of a stand-in worker until it is stopped."""
    logs.setup(cfg.log.level, cfg.worker.name)
    asyncio.run(_run_upstream(cfg))
    return commands.Output('')


async def _run_entry(cfg: settings.EntrySettings) -> None:
    contexts = tls.Contexts.from_config(cfg.tls)
    process = processes.EntryProcess.from_settings(cfg)
    await process.start(contexts)
    logs.event(
        LOG,
        logging.INFO,
        'entry_listening',
        http=process.http_address,
        peers=process.member.address,
    )
    await _run_until_stopped(process, contexts)


async def _run_agent(cfg: settings.AgentSettings) -> None:
    contexts = tls.Contexts.from_config(cfg.tls)
    process = processes.AgentProcess.from_settings(cfg)
    await process.start(contexts)
    logs.event(
        LOG,
        logging.INFO,
        'agent_listening',
        upstream=process.upstream_address,
    )
    await _run_until_stopped(process, contexts)


async def _run_table(cfg: settings.TableSettings) -> None:
    table = cfg.table
    server = await standin_table.TableServer.start(
        listen=table.listen,
        rates=standin_table.Rates(
            table.reads_per_second, table.writes_per_second
        ),
    )
    server.faults.delay = table.write_seconds
    logs.event(LOG, logging.INFO, 'table_listening', http=server.address)
    await _run_until_stopped(server, None)


async def _run_upstream(cfg: settings.UpstreamSettings) -> None:
    worker_cfg = cfg.worker
    announced = upstream.Announced(
        session=str(uuid_utils.uuid7()),
        kinds=worker_cfg.kinds,
        slots=worker_cfg.slots,
        capacity=types.Needs(
            worker_cfg.cpu, worker_cfg.memory_mb, worker_cfg.accelerators
        ),
        url='',
        term=ANNOUNCEMENT_LEASE_SECONDS,
    )
    worker = standin_upstream.HttpWorker(
        standin_upstream.StandIn(default_task_seconds=worker_cfg.task_seconds),
        worker_cfg.agent,
        announced,
        worker_cfg.listen,
    )
    await worker.start()
    logs.event(LOG, logging.INFO, 'upstream_listening', http=worker_cfg.listen)
    await _run_until_stopped(worker, None)


async def _run_until_stopped(
    program: Program, contexts: tls.Contexts | None
) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in _SIGNALS:
        loop.add_signal_handler(signal_number, stop_requested.set)
    reload_task = None
    if contexts is not None and contexts.cfg.enabled:
        reload_task = loop.create_task(_reload_certificates(contexts))
    await stop_requested.wait()
    for signal_number in _SIGNALS:
        # Without a handler a second signal terminates the process.
        loop.remove_signal_handler(signal_number)
    await program.stop()
    if reload_task is not None:
        reload_task.cancel()


async def _reload_certificates(contexts: tls.Contexts) -> None:
    while True:
        await asyncio.sleep(contexts.cfg.reload_seconds)
        try:
            if contexts.reload():
                logs.event(LOG, logging.INFO, 'certificates_reloaded')
        except exceptions.BadSettings as exc:
            logs.event(
                LOG, logging.ERROR, 'certificates_bad', reason=exc.show()
            )
