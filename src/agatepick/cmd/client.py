"""Asynchronous client of the callers' HTTP API.

The client creates the idempotency key of each job and retries in these cases:

* after a broken connection or a pending outcome, with the same key, so that
  the job can't run twice;
* after a rejection with "not run" and a retry delay, with a new key, because
  the rejection of the old key is final.

Any other response is returned to the caller.
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
from agatepick.net import decoding
from agatepick import types

REQUEST_TIMEOUT_SECONDS = 10.0
MIN_TIMEOUT_SECONDS = 0.001
RETRY_DELAYS = backoff.BackoffDelays(first_seconds=0.1, max_seconds=2.0)
"""Upper bounds of the random delays between attempts."""
CONNECT_TIMEOUT_SECONDS = 2.0
PERMANENT_HTTP_STATUSES = (401, 403, 404)
"""Statuses that a retry with the same key and token would get again."""
ANSWER_GRACE_SECONDS = 5.0
"""Time after the job's deadline in which its answer may still arrive: at the
deadline the entry reports the missed deadline, which takes time to deliver."""


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """Task to submit; ``payload`` is any JSON value."""

    id: str
    kind: str
    payload: typing.Any = None
    needs: types.Needs = types.Needs()
    expected_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Job to submit.

    :param timeout_seconds: time from the submission to the job's deadline.
    """

    tasks: tuple[Task, ...]
    team: str = ''
    timeout_seconds: float = 10.0
    urgent: bool = False
    zones: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TaskResult:
    """Result of one task; ``body`` is the upstream's JSON value."""

    id: str
    outcome: types.Outcome
    body: typing.Any = None
    reason: str = ''
    step: str = ''
    peer: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class JobResult:
    """Result of a job; ``tasks`` have the task ids chosen by the caller.

    :param run: status of the job.
    :param retry_after: seconds after which the caller may submit the job
        again; 0 if the entry named none.
    :param tries: number of requests that the client sent for this result.
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
        """Whether every task has finished."""
        return self.run == types.JobStatus.COMPLETE


class _Reply(msgspec.Struct, frozen=True):
    """Members of responses and problem documents that the client reads."""

    run: str = ''
    job: str = ''
    tasks: tuple[TaskResult, ...] = ()
    code: str = ''
    detail: str = ''
    field: str = ''
    step: str = ''
    peer: str = ''
    retry_after: float = 0.0


FetchResult = result.Result[JobResult, exceptions.Unreachable]


class Client:
    """Client that submits jobs to one of several entries.

    :param entries: URLs, such as ``http://127.0.0.1:8080``.
    :param token: bearer token of the team; empty sends none.
    :param tls: trusted certificates for ``https`` entries.
    :param rng: random source of the jitter of delays.
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
            raise exceptions.BadSettings(
                'no entry URL is configured', step='client'
            )
        self._entries = [entry.rstrip('/') for entry in entries]
        self._token = token
        self._tls = tls
        self._rng = rng or random.Random()
        self._http = http or tornado.httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=1000
        )
        self._next_entry = self._rng.randrange(len(entries))

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def submit(self, job: Job, key: str | None = None) -> JobResult:
        """Submit a job, retrying until its deadline, and return its result.

        The answer to the last request may take until
        :data:`ANSWER_GRACE_SECONDS` after the deadline.

        :param key: UUIDv7 of an earlier submission, to join that job.
        :raises agatepick.exceptions.Unreachable: if no entry answered; the
            job may be pending.
        """
        body = encode(job)
        key = key or new_key()
        deadline = time.monotonic() + job.timeout_seconds
        for tries in itertools.count(1):
            remaining_seconds = max(
                deadline - time.monotonic(), MIN_TIMEOUT_SECONDS
            )
            fetch_result = await self._post(body, key, remaining_seconds)
            delay = self._compute_retry_delay(
                tries, _get_retry_after(fetch_result)
            )
            late = time.monotonic() + delay >= deadline
            if late or not _is_retryable(fetch_result):
                return dataclasses.replace(_unwrap(fetch_result), tries=tries)
            await asyncio.sleep(delay)
            if _is_rejection(fetch_result):
                key = new_key()
        raise AssertionError('unreachable')

    async def ask(self, key: str) -> JobResult:
        """Return the present result of the job with an idempotency key."""
        return _unwrap(await self._fetch('GET', f'/v1/jobs/{key}'))

    async def cancel(self, key: str) -> JobResult:
        """Cancel a job and return its status."""
        return _unwrap(await self._fetch('DELETE', f'/v1/jobs/{key}'))

    async def _post(
        self, body: bytes, key: str, remaining_seconds: float
    ) -> FetchResult:
        headers = {
            'Content-Type': 'application/json',
            'Idempotency-Key': key,
        }
        fetch_result = await self._fetch(
            'POST',
            '/v1/jobs',
            body,
            headers,
            remaining_seconds + ANSWER_GRACE_SECONDS,
        )
        return fetch_result.map(
            lambda job_result: dataclasses.replace(job_result, job=key)
        )

    async def _fetch(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float = REQUEST_TIMEOUT_SECONDS,
    ) -> FetchResult:
        entry = self._entries[self._next_entry % len(self._entries)]
        all_headers = dict(headers or {})
        if self._token:
            all_headers['Authorization'] = f'Bearer {self._token}'
        req = tornado.httpclient.HTTPRequest(
            entry + path,
            method=method,
            headers=all_headers,
            body=body,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=timeout,
            ssl_options=self._tls,
        )
        try:
            response = await self._http.fetch(req, raise_error=False)
        # The HTTP client raises socket errors as well as HTTP errors.
        except (OSError, tornado.httpclient.HTTPError) as exc:
            self._next_entry += 1
            return result.Failure(
                exceptions.Unreachable(
                    f'no answer: {exc}', step='request', peer=entry
                )
            )
        if response.code >= 500:
            self._next_entry += 1
        return result.Success(_parse_response(response, entry))

    def _compute_retry_delay(self, tries: int, min_seconds: float) -> float:
        """Return the seconds until the next attempt.

        Callers that were rejected together would otherwise retry together
        and be rejected again; full jitter spreads them over the delay.
        """
        return min_seconds + self._rng.uniform(
            0, RETRY_DELAYS.get_delay(tries)
        )


def new_key() -> str:
    """Return a new idempotency key."""
    return str(uuid_utils.uuid7())


def encode(job: Job) -> bytes:
    """Return the request body that submits a job."""
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
    """Return the job in the JSON text ``body``, such as a file's.

    :raises agatepick.exceptions.BadSettings: with the name of the invalid
        field.
    """
    try:
        return decoding.decode(body, Job)
    except decoding.Unreadable as exc:
        raise exceptions.BadSettings(str(exc), step='submit') from exc


def _parse_response(
    response: tornado.httpclient.HTTPResponse, entry: str
) -> JobResult:
    """Return the job result in a response.

    A response that isn't from agatepick, such as one from a balancer, gives
    the status "pending", because the job may be running.  If the status were
    "not run", the caller would submit the job again, and it could run twice.
    """
    try:
        reply = decoding.decode(response.body, _Reply)
        run = types.JobStatus(reply.run)
    except ValueError:
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
        _parse_retry_after(response, reply),
    )


def _parse_retry_after(
    response: tornado.httpclient.HTTPResponse, reply: _Reply
) -> float:
    if reply.retry_after:
        return reply.retry_after
    header = response.headers.get('Retry-After', '')
    return float(header) if header.isdigit() else 0.0


def _is_rejection(fetch_result: FetchResult) -> bool:
    job_result = fetch_result.value_or(None)
    return job_result is not None and job_result.run == types.JobStatus.NOT_RUN


def _is_retryable(fetch_result: FetchResult) -> bool:
    job_result = fetch_result.value_or(None)
    if job_result is None:
        return True
    if job_result.run == types.JobStatus.NOT_RUN:
        return job_result.retry_after > 0
    return (
        job_result.run == types.JobStatus.PENDING
        and job_result.http_status not in PERMANENT_HTTP_STATUSES
    )


def _get_retry_after(fetch_result: FetchResult) -> float:
    job_result = fetch_result.value_or(None)
    return 0.0 if job_result is None else job_result.retry_after


def _unwrap(fetch_result: FetchResult) -> JobResult:
    match fetch_result:
        case result.Success(job_result):
            return typing.cast(JobResult, job_result)
        case result.Failure(exc):
            raise typing.cast(exceptions.Unreachable, exc)
    raise AssertionError('neither success nor failure')
