"""What the commands do that talk to running entries.

Each returns the lines to print and the exit status, so that tests need no
process of their own.
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
STATUS_OF_RUN = {
    types.JobStatus.COMPLETE: 0,
    types.JobStatus.NOT_RUN: 3,
    types.JobStatus.FAILED: 4,
    types.JobStatus.PENDING: 5,
}
"""Exit status that tells what became of a job."""


@dataclasses.dataclass(frozen=True, slots=True)
class Output:
    """What a command prints, and its exit status."""

    text: str
    exit_status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Where the entries are and how to talk to them.

    :param entries: URLs of entries.
    :param as_json: print JSON for a script.
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
    ) -> 'Site':
        """By option, else by ``AGATEPICK_ENTRY``, else the local one."""
        text = entry or environment.get('AGATEPICK_ENTRY', DEFAULT_ENTRY)
        entries = tuple(one.strip() for one in text.split(',') if one.strip())
        for one in entries:
            if not one.startswith(('http://', 'https://')):
                raise exceptions.BadUsage(
                    f'--entry: found {one!r}; allowed: URLs, such as '
                    f'{DEFAULT_ENTRY}'
                )
        return cls(
            entries,
            environment.get('AGATEPICK_TOKEN', ''),
            environment.get('AGATEPICK_AUTHORITY', ''),
            as_json,
        )

    def caller(self) -> client.Client:
        """A client of the callers' side."""
        return client.Client(
            self.entries, token=self.token, tls=self._context(self.entries[0])
        )

    def operator(self, url: str = '') -> operator_client.OperatorClient:
        """A client of the operators' side of one entry."""
        url = url or self.entries[0]
        return operator_client.OperatorClient(
            url, self.token, self._context(url)
        )

    def _context(self, url: str) -> typing.Any:
        if not url.startswith('https://'):
            return None
        return tls.caller_context(self.authority)


async def submit(site: Site, file: str, key: str) -> Output:
    """Hand in the job in a JSON file, or on standard input."""
    if file:
        try:
            body = pathlib.Path(file).read_bytes()
        except OSError as exc:
            raise exceptions.BadUsage(f'{file}: cannot be read: {exc}')
    else:
        body = sys.stdin.buffer.read()
    job = client.decode(body)
    caller = site.caller()
    try:
        return job_output(site, await caller.submit(job, key or None))
    finally:
        caller.close()


async def ask(site: Site, key: str, cancel: bool = False) -> Output:
    """How a job stands, or cancel it."""
    caller = site.caller()
    try:
        found = await (caller.cancel(key) if cancel else caller.ask(key))
    finally:
        caller.close()
    output = job_output(site, found)
    done = cancel and found.http_status in (200, 202)
    return dataclasses.replace(output, exit_status=0) if done else output


async def show(site: Site, path: str) -> Output:
    """Read a resource of the operators' side."""
    operator = site.operator()
    try:
        answer = await operator.get(path)
    finally:
        operator.close()
    if site.as_json:
        return Output(json.dumps(answer.data))
    return Output('\n'.join(_flat(answer.data)))


async def change(
    site: Site,
    method: str,
    path: str,
    body: object,
    based_on: int | None = None,
    wait: bool = False,
) -> Output:
    """Propose a change on the version that the entry knows.

    :param wait: return only once the change is in force.
    """
    operator = site.operator()
    try:
        data = await _propose(operator, method, path, body, based_on, wait)
    finally:
        operator.close()
    if site.as_json:
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
        await _until_in_force(operator, int(answer.data['version']))
    return typing.cast(dict[str, typing.Any], answer.data)


async def drain_zone(site: Site, zone: str, based_on: int | None) -> Output:
    """Take a zone out of service and wait until its last task has ended."""
    clients = [site.operator(url) for url in site.entries]
    path, body = f'/v1/zones/{zone}', {'state': 'out'}
    try:
        data = await _propose(
            clients[0], 'PUT', path, body, based_on, wait=True
        )
        drained = await draining.until_empty(
            clients,
            zone,
            int(data['version']),
            float(data['accepted_at']),
            MAX_WAIT_SECONDS,
        )
    finally:
        for one in clients:
            one.close()
    if site.as_json:
        return Output(json.dumps(dataclasses.asdict(drained)))
    return Output(drained.show())


async def _until_in_force(
    operator: operator_client.OperatorClient, version: int
) -> None:
    tries = int(MAX_WAIT_SECONDS / POLL_SECONDS)
    for _ in range(tries):
        answer = await operator.get('/v1/config')
        if answer.data['in_force']['version'] >= version:
            return
        await asyncio.sleep(POLL_SECONDS)
    raise exceptions.OutcomeUnknown(
        f'version {version} was accepted, and was not in force after '
        f'{MAX_WAIT_SECONDS:g} s',
        step='wait',
        peer=operator.url,
    )


async def show_timeline(site: Site, job: str, task: str, zone: str) -> Output:
    """The events of every process named by ``--entry``, merged."""
    clients = [site.operator(url) for url in site.entries]
    try:
        parts = await asyncio.gather(
            *[
                one.lines('/v1/timeline', job=job, task=task, zone=zone)
                for one in clients
            ]
        )
    finally:
        for one in clients:
            one.close()
    events = timeline.merge([timeline.parse(part) for part in parts])
    if site.as_json:
        lines = [msgspec.json.encode(one).decode() for one in events]
    else:
        lines = [one.show() for one in events]
    return Output('\n'.join(lines))


def job_output(site: Site, found: client.JobResult) -> Output:
    """What is printed of a job."""
    status = STATUS_OF_RUN[found.run]
    if found.http_status in (401, 403):
        status = exceptions.Unauthorised.exit_status
    if site.as_json:
        return Output(msgspec.json.encode(found).decode(), status)
    lines = [f'job {found.job or "-"}: {found.run.value}']
    if found.code or found.detail:
        lines[0] += f': {found.detail or found.code} ({_where(found)})'
    if found.retry_after:
        lines[0] += f'; try again in {found.retry_after:g} s'
    for task in found.tasks:
        body = '' if task.body is None else f' {json.dumps(task.body)}'
        why = f': {task.reason}' if task.reason else ''
        lines.append(f'  {task.id}: {task.outcome.value}{why}{body}')
    return Output('\n'.join(lines), status)


def _where(found: client.JobResult) -> str:
    parts = [
        f'{name}={value}'
        for name, value in (
            ('code', found.code),
            ('field', found.field),
            ('step', found.step),
            ('peer', found.peer),
        )
        if value
    ]
    return ' '.join(parts)


def _flat(value: typing.Any, path: str = '') -> list[str]:
    """Lines of ``key = value`` for a person."""
    if isinstance(value, dict) and value:
        return [
            line
            for key, item in value.items()
            for line in _flat(item, f'{path}.{key}' if path else key)
        ]
    if isinstance(value, list) and any(isinstance(i, dict) for i in value):
        return [
            line
            for index, item in enumerate(value)
            for line in _flat(item, f'{path}[{_label(item, index)}]')
        ]
    return [f'{path} = {json.dumps(value)}']


def _label(item: typing.Any, index: int) -> object:
    return item.get('name', index) if isinstance(item, dict) else index
