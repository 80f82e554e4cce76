"""Callers of the bench: they submit jobs over HTTP and record the replies.

A balancer chooses a ready entry for each request.  When a connection breaks or
the outcome is pending, the caller retries with the same key at another entry,
up to :data:`MAX_OUTCOME_WAIT_SECONDS` past the deadline; a refusal is final.
"""

import asyncio
import dataclasses
import random
import typing

import msgspec
import tornado.httpclient
import tornado.simple_httpclient
import uuid_utils

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_evidence
from agatepick.bench import bench_upstream
from agatepick.bench import bench_violations
from agatepick.standins import standin_upstream
from agatepick import types

MAX_OPEN_REQUESTS = 10_000
CONNECT_TIMEOUT_SECONDS = 2.0
MAX_OUTCOME_WAIT_SECONDS = 10.0
"""Time past a job's deadline during which its caller retries."""
RETRY_DELAY_SECONDS_RANGE = (0.05, 0.25)


class TaskBody(msgspec.Struct, frozen=True):
    """One task of an answer.

    :param body: the upstream's JSON value, as the bytes that arrived.
    """

    id: str
    outcome: types.Outcome
    body: msgspec.Raw = msgspec.Raw(b'')
    reason: str = ''


class AnswerBody(msgspec.Struct, frozen=True):
    """The fields of an answer or problem document that the bench reads."""

    job: str = ''
    run: str = ''
    tasks: tuple[TaskBody, ...] = ()
    code: str = ''
    detail: str = ''


class Balancer(typing.Protocol):
    """Selection of the entry for a caller's next request."""

    def pick(self, avoided_url: str = '') -> str:
        """Return the URL of a ready entry, if possible not ``avoided_url``."""
        ...


@dataclasses.dataclass
class RequestErrors:
    """Numbers of requests that ended without a response, by error."""

    count_by_error: dict[str, int] = dataclasses.field(default_factory=dict)

    def add(self, error: str) -> None:
        """Count one request that ended with ``error``."""
        self.count_by_error[error] = self.count_by_error.get(error, 0) + 1


class Callers:
    """All callers of one run.

    :param latency_seconds: one-way latency between a caller and an entry.
    :ivar keys: idempotency keys of all submitted jobs, by job number.
    :ivar open: keys of the jobs without a recorded reply, by job number.
    :ivar cancelled: numbers of the jobs that their callers cancelled.
    """

    def __init__(
        self,
        balancer: Balancer,
        recorder: bench_upstream.StartRecorder,
        latency_seconds: float,
        rng: random.Random,
    ):
        self.replies: list[bench_evidence.Reply] = []
        self.keys: dict[int, str] = {}
        self.open: dict[int, str] = {}
        self.cancelled: set[int] = set()
        self.request_errors = RequestErrors()
        self._balancer = balancer
        self._recorder = recorder
        self._latency_seconds = latency_seconds
        self._rng = rng
        self._http = tornado.simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_OPEN_REQUESTS
        )

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def submit(self, job: bench_arrivals.JobPlan) -> None:
        """Submit one job, and resubmit it if its plan says so."""
        key = str(uuid_utils.uuid7())
        self.keys[job.number] = key
        self.open[job.number] = key
        body = encode_job(job)
        url = self._balancer.pick()
        submissions = [self._send(job, key, body, url, False)]
        if job.resubmit_delay_seconds is not None:
            submissions.append(self._resubmit(job, key, body, url))
        await asyncio.gather(*submissions)

    async def cancel(self, number: int) -> None:
        """Cancel a job by its number."""
        key = self.keys[number]
        self.cancelled.add(number)
        await asyncio.sleep(self._latency_seconds)
        await self._fetch(
            tornado.httpclient.HTTPRequest(
                f'{self._balancer.pick()}/v1/jobs/{key}', method='DELETE'
            )
        )

    async def _resubmit(
        self, job: bench_arrivals.JobPlan, key: str, body: bytes, url: str
    ) -> None:
        await asyncio.sleep(job.resubmit_delay_seconds or 0.0)
        if job.to_other_entry:
            url = self._balancer.pick(avoided_url=url)
        await self._send(job, key, body, url, True)

    async def _send(
        self,
        job: bench_arrivals.JobPlan,
        key: str,
        body: bytes,
        url: str,
        resubmission: bool,
    ) -> None:
        sent_at = self._recorder.now()
        give_up_at = sent_at + job.timeout_seconds + MAX_OUTCOME_WAIT_SECONDS
        while True:
            answer, error = await self._post(key, body, url, give_up_at)
            final = answer is not None and (
                answer.status is not types.JobStatus.PENDING
            )
            if final or self._recorder.now() >= give_up_at:
                break
            await asyncio.sleep(self._rng.uniform(*RETRY_DELAY_SECONDS_RANGE))
            url = self._balancer.pick(avoided_url=url)
        self.open.pop(job.number, None)
        self.replies.append(
            bench_evidence.Reply(
                job.number,
                key,
                sent_at,
                self._recorder.now(),
                answer,
                resubmission=resubmission,
                cancelled=job.number in self.cancelled,
                error=error,
            )
        )

    async def _post(
        self, key: str, body: bytes, url: str, give_up_at: float
    ) -> tuple[types.JobAnswer | None, str]:
        await asyncio.sleep(self._latency_seconds)
        response = await self._fetch(
            tornado.httpclient.HTTPRequest(
                f'{url}/v1/jobs',
                method='POST',
                body=body,
                headers={
                    'Content-Type': 'application/json',
                    'Idempotency-Key': key,
                },
                connect_timeout=CONNECT_TIMEOUT_SECONDS,
                request_timeout=max(1.0, give_up_at - self._recorder.now()),
            )
        )
        await asyncio.sleep(self._latency_seconds)
        if response is None:
            return None, 'cut'
        return read_answer(response.body, response.code, key), ''

    async def _fetch(
        self, req: tornado.httpclient.HTTPRequest
    ) -> tornado.httpclient.HTTPResponse | None:
        try:
            return await self._http.fetch(req, raise_error=False)
        except ConnectionRefusedError as exc:
            # The balancer chose an entry that no longer listens; no request
            # was in progress.
            self.request_errors.add(f'refused {type(exc).__name__}')
            return None
        except (OSError, tornado.httpclient.HTTPError) as exc:
            self.request_errors.add(type(exc).__name__)
            return None


def encode_job(job: bench_arrivals.JobPlan) -> bytes:
    """Return the body of ``POST /v1/jobs``."""
    return msgspec.json.encode(
        {
            'team': job.team,
            'timeout_seconds': job.timeout_seconds,
            'urgent': job.urgent,
            'tasks': [
                {
                    'id': bench_violations.make_task_id(position),
                    'kind': task.kind,
                    'payload': standin_upstream.Payload(task.seconds),
                    'needs': {'cpu': task.cpu},
                    'expected_seconds': task.expected_seconds,
                }
                for position, task in enumerate(job.tasks)
            ],
        }
    )


def read_answer(
    body: bytes, status: int, key: types.JobKey
) -> types.JobAnswer | None:
    """Return the answer in an HTTP response; None if the body has none.

    A refusal by admission control names no job, so ``key``, the idempotency
    key of the request, becomes the answer's key.
    """
    try:
        parsed = msgspec.json.decode(body, type=AnswerBody)
        outcome = types.JobStatus(parsed.run)
    except (msgspec.DecodeError, ValueError):
        return None
    tasks = tuple(
        types.TaskAnswer(task.id, task.outcome, bytes(task.body), task.reason)
        for task in parsed.tasks
    )
    return types.JobAnswer(
        parsed.job or key,
        outcome,
        tasks,
        code=parsed.code or str(status),
        reason=parsed.detail,
    )
