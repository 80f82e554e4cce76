"""An asynchronous client of the callers' HTTP side.

It mints the key of each job and retries only what is true to retry:

* the connection broke, or the outcome is pending: the same key again, so
  that the job can't run twice;
* a refusal that says "not run" and when to come back: a new key, for the
  refusal of the old one stands;
* anything else is the answer.
"""

import asyncio
import dataclasses
import itertools
import json
import random
import ssl
import time
import typing

import msgspec
from returns import result
import tornado.httpclient
import uuid_utils

from agatepick.decisions import backoff
from agatepick import exceptions
from agatepick import types

ASK_TIMEOUT = 10.0
MIN_TIMEOUT = 0.001
RETRY_PAUSES = backoff.Pauses(first=0.1, most=2.0)
"""Longest pauses before another try."""
CONNECT_TIMEOUT = 2.0
NO_RETRY = (401, 403, 404)
"""Statuses that another try under the same key and token gets again."""
HOLD_SLACK = 5.0
"""Seconds that an answer may come after the job's deadline: the entry tells
of a missed deadline, and that answer still has to reach us."""


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """A task to hand in; ``payload`` is any JSON value."""

    id: str
    kind: str
    payload: typing.Any = None
    needs: types.Needs = types.Needs()
    expected_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job to hand in, with the seconds in which its answer is of use."""

    tasks: tuple[Task, ...]
    team: str = ''
    timeout_seconds: float = 10.0
    urgent: bool = False
    zones: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TaskResult:
    """How one task ended; ``body`` is the upstream's JSON value."""

    id: str
    outcome: types.Outcome
    body: typing.Any = None
    reason: str = ''
    step: str = ''
    peer: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class JobResult:
    """What became of a job; ``tasks`` are under the caller's own ids.

    :param tries: requests that it took.
    """

    job: str
    run: types.JobStatus
    tasks: tuple[TaskResult, ...] = ()
    http_status: int = 200
    code: str = ''
    detail: str = ''
    field: str = ''
    step: str = ''
    peer: str = ''
    retry_after: float = 0.0
    tries: int = 1

    @property
    def complete(self) -> bool:
        """Whether every task finished."""
        return self.run == types.JobStatus.COMPLETE


class _Reply(msgspec.Struct, frozen=True):
    """Members of answers and problem documents that the client reads."""

    run: str = ''
    job: str = ''
    tasks: tuple[TaskResult, ...] = ()
    code: str = ''
    detail: str = ''
    field: str = ''
    step: str = ''
    peer: str = ''
    retry_after: float = 0.0


Found = result.Result[JobResult, exceptions.Unreachable]


class Client:
    """Hands in jobs at any of some entries.

    :param entries: URLs, such as ``http://127.0.0.1:8080``.
    :param token: the team's bearer token; empty sends none.
    :param tls: for ``https`` entries, whom to trust.
    :param rng: source of the pauses' jitter.
    """

    def __init__(
        self,
        entries: typing.Sequence[str],
        *,
        token: str = '',
        tls: ssl.SSLContext | None = None,
        rng: random.Random | None = None,
        http: tornado.httpclient.AsyncHTTPClient | None = None,
    ):
        if not entries:
            raise exceptions.BadSettings('no entry to talk to', step='client')
        self._entries = [entry.rstrip('/') for entry in entries]
        self._token = token
        self._tls = tls
        self._rng = rng or random.Random()
        self._http = http or tornado.httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=1000
        )
        self._next = self._rng.randrange(len(entries))

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def submit(self, job: Job, key: str | None = None) -> JobResult:
        """Hand in a job and wait for its answer, for as long as it is of use.

        :param key: a UUIDv7 of an earlier submission, to join it.
        :raises agatepick.exceptions.Unreachable: if no entry answered; the
            job may be pending.
        """
        body = encode(job)
        key = key or new_key()
        until = time.monotonic() + job.timeout_seconds
        for tries in itertools.count(1):
            left = max(until - time.monotonic(), MIN_TIMEOUT)
            found = await self._post(body, key, left)
            pause = self._pause(tries, _hint(found))
            late = time.monotonic() + pause >= until
            if late or not _is_retryable(found):
                return dataclasses.replace(_unwrapped(found), tries=tries)
            await asyncio.sleep(pause)
            if _is_refusal(found):
                key = new_key()
        raise AssertionError('unreachable')

    async def ask(self, key: str) -> JobResult:
        """How a job stands."""
        return _unwrapped(await self._fetch('GET', f'/v1/jobs/{key}'))

    async def cancel(self, key: str) -> JobResult:
        """Cancel a job; says how it stands."""
        return _unwrapped(await self._fetch('DELETE', f'/v1/jobs/{key}'))

    async def _post(self, body: bytes, key: str, left: float) -> Found:
        headers = {
            'Content-Type': 'application/json',
            'Idempotency-Key': key,
        }
        found = await self._fetch(
            'POST', '/v1/jobs', body, headers, left + HOLD_SLACK
        )
        return found.map(lambda one: dataclasses.replace(one, job=key))

    async def _fetch(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float = ASK_TIMEOUT,
    ) -> Found:
        entry = self._entries[self._next % len(self._entries)]
        sent = dict(headers or {})
        if self._token:
            sent['Authorization'] = f'Bearer {self._token}'
        req = tornado.httpclient.HTTPRequest(
            entry + path,
            method=method,
            headers=sent,
            body=body,
            connect_timeout=CONNECT_TIMEOUT,
            request_timeout=timeout,
            ssl_options=self._tls,
        )
        try:
            response = await self._http.fetch(req, raise_error=False)
        # The client raises the socket's own errors beside HTTP ones.
        except (OSError, tornado.httpclient.HTTPError) as exc:
            self._next += 1
            return result.Failure(
                exceptions.Unreachable(
                    f'no answer: {exc}', step='request', peer=entry
                )
            )
        if response.code >= 500:
            self._next += 1
        return result.Success(_read(response, entry))

    def _pause(self, tries: int, hint: float) -> float:
        """Seconds before the next try.

        Callers that were refused together would come back together, and be
        refused again; full jitter spreads them over the whole pause.
        """
        return hint + self._rng.uniform(0, RETRY_PAUSES.after(tries))


def new_key() -> str:
    """A key for one job."""
    return str(uuid_utils.uuid7())


def encode(job: Job) -> bytes:
    """The body that hands in a job."""
    return json.dumps(
        {
            'team': job.team,
            'tasks': [
                {
                    'id': task.id,
                    'kind': task.kind,
                    'payload': task.payload,
                    'needs': dataclasses.asdict(task.needs),
                    'expected_seconds': task.expected_seconds,
                }
                for task in job.tasks
            ],
            'timeout_seconds': job.timeout_seconds,
            'urgent': job.urgent,
            'zones': list(job.zones),
        }
    ).encode()


def decode(body: bytes) -> Job:
    """The job in a file's JSON.

    :raises agatepick.exceptions.BadSettings: naming the field at fault.
    """
    try:
        return msgspec.json.decode(body, type=Job)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise exceptions.BadSettings(str(exc), step='submit') from exc


def _read(response: tornado.httpclient.HTTPResponse, entry: str) -> JobResult:
    """What a response says of the job.

    A response that says nothing of it, as a balancer's own does, leaves the
    outcome pending: taken for "not run" the job might run twice.
    """
    try:
        reply = msgspec.json.decode(response.body, type=_Reply)
        run = types.JobStatus(reply.run)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError):
        return JobResult(
            '',
            types.JobStatus.PENDING,
            http_status=response.code,
            code='no_agatepick',
            detail=f'HTTP {response.code} without an answer of agatepick',
            step='request',
            peer=entry,
        )
    return JobResult(
        reply.job,
        run,
        reply.tasks,
        response.code,
        reply.code,
        reply.detail,
        reply.field,
        reply.step,
        reply.peer,
        _retry_after(response, reply),
    )


def _retry_after(
    response: tornado.httpclient.HTTPResponse, reply: _Reply
) -> float:
    if reply.retry_after:
        return reply.retry_after
    header = response.headers.get('Retry-After', '')
    return float(header) if header.isdigit() else 0.0


def _is_refusal(found: Found) -> bool:
    one = found.value_or(None)
    return one is not None and one.run == types.JobStatus.NOT_RUN


def _is_retryable(found: Found) -> bool:
    one = found.value_or(None)
    if one is None:
        return True
    if one.run == types.JobStatus.NOT_RUN:
        return one.retry_after > 0
    return (
        one.run == types.JobStatus.PENDING and one.http_status not in NO_RETRY
    )


def _hint(found: Found) -> float:
    one = found.value_or(None)
    return 0.0 if one is None else one.retry_after


def _unwrapped(found: Found) -> JobResult:
    match found:
        case result.Success(one):
            return typing.cast(JobResult, one)
        case result.Failure(exc):
            raise typing.cast(exceptions.Unreachable, exc)
    raise AssertionError('neither success nor failure')
