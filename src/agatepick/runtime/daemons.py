"""The programs ``agatepick entry``, ``agent`` and the stand-ins.

Each runs until SIGTERM or SIGINT asks it to stop; then it drains and ends.
A second signal ends it at once.
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

ANNOUNCED_SECONDS = 5.0

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Program(typing.Protocol):
    """What runs until it is stopped."""

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
    """Run a stand-in worker's upstream until it is stopped."""
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
    await _until_stopped(process, contexts)


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
    await _until_stopped(process, contexts)


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
    await _until_stopped(server, None)


async def _run_upstream(cfg: settings.UpstreamSettings) -> None:
    said = cfg.worker
    announced = upstream.Announced(
        session=str(uuid_utils.uuid7()),
        kinds=said.kinds,
        slots=said.slots,
        capacity=types.Needs(said.cpu, said.memory_mb, said.accelerators),
        url='',
        term=ANNOUNCED_SECONDS,
    )
    worker = standin_upstream.HttpWorker(
        standin_upstream.StandIn(default_seconds=said.task_seconds),
        said.agent,
        announced,
        said.listen,
    )
    await worker.start()
    logs.event(LOG, logging.INFO, 'upstream_listening', http=said.listen)
    await _until_stopped(worker, None)


async def _until_stopped(
    program: Program, contexts: tls.Contexts | None
) -> None:
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    for number in _SIGNALS:
        loop.add_signal_handler(number, asked.set)
    reloading = None
    if contexts is not None and contexts.cfg.enabled:
        reloading = loop.create_task(_reload(contexts))
    await asked.wait()
    for number in _SIGNALS:
        # From here on a second signal ends the process at once.
        loop.remove_signal_handler(number)
    await program.stop()
    if reloading is not None:
        reloading.cancel()


async def _reload(contexts: tls.Contexts) -> None:
    while True:
        await asyncio.sleep(contexts.cfg.reload_seconds)
        try:
            if contexts.reload():
                logs.event(LOG, logging.INFO, 'certificates_reloaded')
        except exceptions.BadSettings as exc:
            logs.event(
                LOG, logging.ERROR, 'certificates_bad', reason=exc.show()
            )
