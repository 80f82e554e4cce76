"""Commands that send requests to running entries.

Each command returns its output and exit status, so that tests can call it
without starting a process.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import sys
import typing

import msgspec

from agatepick.cmd import client
from agatepick.cmd import draining
from agatepick.cmd import operator_client
from agatepick import exceptions
from agatepick.net import tls
from agatepick.telemetry import timeline
from agatepick import types

DEFAULT_ENTRY = 'http://127.0.0.1:8080'
POLL_SECONDS = 0.2
MAX_WAIT_SECONDS = 60.0
EXIT_STATUS_BY_RUN = {
    types.JobStatus.COMPLETE: 0,
    types.JobStatus.NOT_RUN: 3,
    types.JobStatus.FAILED: 4,
    types.JobStatus.PENDING: 5,
}
"""Exit status of a command that shows a job, by the job's status."""


@dataclasses.dataclass(frozen=True, slots=True)
class Output:
    """Text that a command prints, and its exit status."""

    text: str
    exit_status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CommandContext:
    """Entries and credentials that a command uses, and its output format.

    :param entries: URLs of entries.
    :param authority: path of the certificate of the authority that signed
        the entries' certificates.
    :param as_json: whether commands print JSON instead of text for people.
    """

    entries: tuple[str, ...]
    token: str = ''
    authority: str = ''
    as_json: bool = False

    @classmethod
    def from_environment(
        cls,
        entry: str,
        as_json: bool,
        environment: typing.Mapping[str, str] = os.environ,
    ) -> 'CommandContext':
        """Return a context with the comma-separated URLs in ``entry``.

        If ``entry`` is empty, the URLs are those in ``AGATEPICK_ENTRY``, or
        else :data:`DEFAULT_ENTRY`.
        """
        text = entry or environment.get('AGATEPICK_ENTRY', DEFAULT_ENTRY)
        entries = tuple(url.strip() for url in text.split(',') if url.strip())
        for url in entries:
            if not url.startswith(('http://', 'https://')):
                raise exceptions.BadUsage(
                    f'--entry: found {url!r}; allowed: URLs, such as '
                    f'{DEFAULT_ENTRY}'
                )
        return cls(
            entries,
            environment.get('AGATEPICK_TOKEN', ''),
            environment.get('AGATEPICK_AUTHORITY', ''),
            as_json,
        )

    def caller(self) -> client.Client:
        """Return a client of the callers' API."""
        return client.Client(
            self.entries,
            token=self.token,
            tls=self._make_tls_context(self.entries[0]),
        )

    def operator(self, url: str = '') -> operator_client.OperatorClient:
        """Return a client of the operators' API of one entry."""
        url = url or self.entries[0]
        return operator_client.OperatorClient(
            url, self.token, self._make_tls_context(url)
        )

    def _make_tls_context(self, url: str) -> typing.Any:
        if not url.startswith('https://'):
            return None
        return tls.make_caller_context(self.authority)


async def submit(context: CommandContext, file: str, key: str) -> Output:
    """Submit the job in a JSON file, or on standard input."""
    if file:
        try:
            body = pathlib.Path(file).read_bytes()
        except OSError as exc:
            raise exceptions.BadUsage(f'{file}: cannot be read: {exc}')
    else:
        body = sys.stdin.buffer.read()
    job = client.decode(body)
    caller = context.caller()
    try:
        return format_job(context, await caller.submit(job, key or None))
    finally:
        caller.close()


async def show_or_cancel_job(
    context: CommandContext, key: str, cancel: bool = False
) -> Output:
    """Show the status of a job, or cancel it and show its status."""
    caller = context.caller()
    try:
        job_result = await (caller.cancel(key) if cancel else caller.ask(key))
    finally:
        caller.close()
    output = format_job(context, job_result)
    done = cancel and job_result.http_status in (200, 202)
    return dataclasses.replace(output, exit_status=0) if done else output


async def show(context: CommandContext, path: str) -> Output:
    """Show a resource of the operators' API."""
    operator = context.operator()
    try:
        answer = await operator.get(path)
    finally:
        operator.close()
    if context.as_json:
        return Output(json.dumps(answer.data))
    return Output('\n'.join(_flatten(answer.data)))


async def change(
    context: CommandContext,
    method: str,
    path: str,
    body: object,
    based_on: int | None = None,
    wait: bool = False,
) -> Output:
    """Propose a change of the configuration to the first entry.

    :param based_on: version that the change is based on; ``None`` for the
        entry's current one.
    :param wait: whether to wait until the change is in force.
    """
    operator = context.operator()
    try:
        data = await _propose(operator, method, path, body, based_on, wait)
    finally:
        operator.close()
    if context.as_json:
        return Output(json.dumps(data))
    state = 'in force' if wait else 'accepted'
    return Output(f'{state}: version {data["version"]}')


async def _propose(
    operator: operator_client.OperatorClient,
    method: str,
    path: str,
    body: object,
    based_on: int | None,
    wait: bool,
) -> dict[str, typing.Any]:
    if based_on is None:
        based_on = (await operator.get('/v1/config')).version
    answer = await operator.change(method, path, body, based_on)
    if wait:
        await _wait_until_in_force(operator, int(answer.data['version']))
    return typing.cast(dict[str, typing.Any], answer.data)


async def drain_zone(
    context: CommandContext, zone: str, based_on: int | None
) -> Output:
    """Take a zone out of service and wait until its last task ends."""
    clients = [context.operator(url) for url in context.entries]
    path, body = f'/v1/zones/{zone}', {'state': 'out'}
    try:
        data = await _propose(
            clients[0], 'PUT', path, body, based_on, wait=True
        )
        drain_result = await draining.wait_until_empty(
            clients,
            zone,
            int(data['version']),
            float(data['accepted_at']),
            MAX_WAIT_SECONDS,
        )
    finally:
        for operator in clients:
            operator.close()
    if context.as_json:
        return Output(json.dumps(dataclasses.asdict(drain_result)))
    return Output(drain_result.show())


async def _wait_until_in_force(
    operator: operator_client.OperatorClient, version: int
) -> None:
    tries = int(MAX_WAIT_SECONDS / POLL_SECONDS)
    for _ in range(tries):
        answer = await operator.get('/v1/config')
        if answer.data['in_force']['version'] >= version:
            return
        await asyncio.sleep(POLL_SECONDS)
    raise exceptions.OutcomeUnknown(
        f'version {version} was accepted, but was not in force after '
        f'{MAX_WAIT_SECONDS:g} s',
        step='wait',
        peer=operator.url,
    )


async def show_timeline(
    context: CommandContext, job: str, task: str, zone: str
) -> Output:
    """Show the merged events of all processes in ``context.entries``."""
    clients = [context.operator(url) for url in context.entries]
    try:
        parts = await asyncio.gather(
            *[
                operator.get_lines(
                    '/v1/timeline', job=job, task=task, zone=zone
                )
                for operator in clients
            ]
        )
    finally:
        for operator in clients:
            operator.close()
    events = timeline.merge([timeline.parse(part) for part in parts])
    if context.as_json:
        lines = [msgspec.json.encode(event).decode() for event in events]
    else:
        lines = [event.show() for event in events]
    return Output('\n'.join(lines))


def format_job(
    context: CommandContext, job_result: client.JobResult
) -> Output:
    """Return the output for the result of a job."""
    status = EXIT_STATUS_BY_RUN[job_result.run]
    if job_result.http_status in (401, 403):
        status = exceptions.Unauthorised.exit_status
    if context.as_json:
        return Output(msgspec.json.encode(job_result).decode(), status)
    lines = [f'job {job_result.job or "-"}: {job_result.run.value}']
    if job_result.code or job_result.detail:
        lines[0] += (
            f': {job_result.detail or job_result.code} '
            f'({_format_details(job_result)})'
        )
    if job_result.retry_after:
        lines[0] += f'; try again in {job_result.retry_after:g} s'
    for task in job_result.tasks:
        body = '' if task.body is None else f' {json.dumps(task.body)}'
        reason_text = f': {task.reason}' if task.reason else ''
        lines.append(f'  {task.id}: {task.outcome.value}{reason_text}{body}')
    return Output('\n'.join(lines), status)


def _format_details(job_result: client.JobResult) -> str:
    parts = [
        f'{name}={value}'
        for name, value in (
            ('code', job_result.code),
            ('field', job_result.field),
            ('step', job_result.step),
            ('peer', job_result.peer),
        )
        if value
    ]
    return ' '.join(parts)


def _flatten(value: typing.Any, path: str = '') -> list[str]:
    """Return a JSON value as lines of ``key = value``."""
    if isinstance(value, dict) and value:
        return [
            line
            for key, item in value.items()
            for line in _flatten(item, f'{path}.{key}' if path else key)
        ]
    if isinstance(value, list) and any(isinstance(i, dict) for i in value):
        return [
            line
            for index, item in enumerate(value)
            for line in _flatten(item, f'{path}[{_get_label(item, index)}]')
        ]
    return [f'{path} = {json.dumps(value)}']


def _get_label(item: typing.Any, index: int) -> object:
    return item.get('name', index) if isinstance(item, dict) else index
