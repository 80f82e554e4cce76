"""HTTP API for callers: submit a job, query its status, cancel it.

``POST /v1/jobs`` holds the request open until the job has ended, or responds
with ``202`` shortly after submission with ``Prefer: respond-async``.  The HTTP
status depends on the status of the job:

* complete: 200 with the outcome of every task, by the caller's task ids;
* pending: 202 with ``Location``, which the caller polls;
* failed: 502, or 504 after the deadline and 409 when cancelled, with a
  problem document that lists the outcome of each task;
* not run: 503 or 429 if a retry may help, otherwise 422 (or the status in
  :data:`HTTP_STATUS_BY_CODE`), with a problem document.
"""

import asyncio
import math
import re
import typing
import uuid

import msgspec
import tornado.routing
import uuid_utils

from agatepick.api import calls
from agatepick.api import job_bodies
from agatepick.api import web
from agatepick.intake import budget
from agatepick import types

ASYNC_HOLD_SECONDS = 0.05
"""A request with ``Prefer: respond-async`` is held this long, so that its
response already reports a rejection by admission control and saves a second
request."""
PENDING_RETRY_SECONDS = 1.0

HTTP_STATUS_BY_CODE = {
    'cancelled': 409,
    'deadline': 504,
    'key_ahead': 422,
    'key_expired': 422,
    'key_malformed': 422,
    'key_reused': 422,
    'quota': 429,
    'unknown_job': 404,
}
"""HTTP status by code of a :class:`agatepick.types.JobAnswer`, for codes
whose HTTP status doesn't follow from the job status and ``retry_after``."""

_PREFER_WAIT = re.compile(r'\bwait\s*=\s*(\d{1,6})\b')


def routes(front: web.Front) -> list[tornado.routing.URLSpec]:
    """Return the routes of the callers' API."""
    args = {'front': front}
    return [
        tornado.routing.URLSpec(r'/v1/jobs', Jobs, args),
        tornado.routing.URLSpec(r'/v1/jobs/([^/]+)', Job, args),
    ]


def parse_job_key(header: str | None, now: float) -> types.JobKey:
    """Return the key in an ``Idempotency-Key`` header, or a new key.

    The owner of a job and the age of its key are derived from the UUIDv7, so
    other formats are rejected.

    :param now: time of the process clock, which also validates keys.  The
        wall clock may be stepped while the process runs, but the process
        clock never steps; a key with a wall clock timestamp could lie in the
        future of the process clock and would be rejected.
    """
    if header is None:
        return str(uuid_utils.uuid7(nanoseconds=int(now * 1e9)))
    try:
        key = uuid.UUID(header.strip().strip('"'))
    except ValueError:
        key = None
    if key is None or key.version != 7:
        raise web.Refused(
            422,
            'bad_key',
            f'Idempotency-Key: found {header[:60]!r}; allowed: a UUIDv7',
            field='Idempotency-Key',
        )
    return str(key)


def get_http_status(answer: types.JobAnswer) -> int:
    """Return the HTTP status for the status of a job."""
    if answer.status == types.JobStatus.COMPLETE:
        return 200
    if answer.code in HTTP_STATUS_BY_CODE:
        return HTTP_STATUS_BY_CODE[answer.code]
    if answer.status == types.JobStatus.PENDING:
        return 202
    if answer.status == types.JobStatus.FAILED:
        return 502
    return 503 if answer.retry_after else 422


class CallerHandler(web.Handler):
    """Base class of the handlers of the callers' API."""

    def authenticate_team(self) -> str | None:
        """Return the team that the caller's token belongs to.

        :returns: ``None`` if no team tokens are configured.
        """
        teams = self.front.tokens.teams
        if not teams:
            return None
        token = web.get_bearer_token(self.request)
        # All tokens are compared, so that timing reveals no match.
        teams_of_token = [
            team
            for team, team_token in teams.items()
            if web.tokens_equal(token, team_token)
        ]
        if not teams_of_token:
            raise web.Refused(
                401,
                'bad_token',
                'no team has this bearer token',
                run=self.get_run_before_submission(),
                headers={'WWW-Authenticate': 'Bearer'},
            )
        return teams_of_token[0]

    def send_answer(
        self, answer: types.JobAnswer, status: int | None = None
    ) -> None:
        """Send the status of a job."""
        status = status or get_http_status(answer)
        self.set_header('Location', f'/v1/jobs/{answer.key}')
        tasks = tuple(
            job_bodies.make_task_reply(task) for task in answer.tasks
        )
        if status < 300:
            if answer.status == types.JobStatus.PENDING:
                after = answer.retry_after or PENDING_RETRY_SECONDS
                self.set_header('Retry-After', str(math.ceil(after)))
            reply = job_bodies.JobReply(
                answer.key,
                answer.status.value,
                tasks,
                answer.code,
                answer.reason,
            )
            self.send_json(status, msgspec.json.encode(reply))
            return
        self.send_problem(
            web.Problem(
                title=web.get_status_phrase(status),
                status=status,
                detail=answer.reason or answer.code,
                run=answer.status.value,
                code=answer.code,
                job=answer.key,
                step=answer.step,
                peer=answer.peer,
                retry_after=answer.retry_after,
                tasks=tasks,
            )
        )


class Jobs(CallerHandler):
    """Resource ``/v1/jobs``."""

    _reply_task: 'asyncio.Task[object] | None' = None

    def get_run_before_submission(self) -> str:
        """Return ``pending`` for a request with an idempotency key.

        An earlier attempt of the same request may already have started the
        job.  After "not run" the caller would submit it under another key,
        and the job would run twice.
        """
        if 'Idempotency-Key' in self.request.headers:
            return types.JobStatus.PENDING.value
        return super().get_run_before_submission()

    async def post(self) -> None:
        """Submit a job."""
        self.mark_body_complete()
        body = self.get_body()
        team = self.authenticate_team()
        key = parse_job_key(
            self.request.headers.get('Idempotency-Key'),
            self.front.clock.now(),
        )
        now = self.front.clock.now()
        job = job_bodies.parse_job(
            body, key, team, now, self.front.limits.max_tasks
        )
        hold_seconds = self._get_hold_seconds()
        cost = budget.estimate_job_bytes(len(body), len(job.tasks), 0)
        self._reserve_memory(cost)
        self._reply_task = asyncio.create_task(
            self.front.calls.call(
                lambda number: calls.JobSubmitted(number, job)
            )
        )
        self._reply_task.add_done_callback(
            lambda _: self._release_memory(cost)
        )
        done, _ = await asyncio.wait([self._reply_task], timeout=hold_seconds)
        if self._reply_task.cancelled():
            return
        if done:
            answer = typing.cast(types.JobAnswer, self._reply_task.result())
        else:
            self._reply_task.cancel()
            answer = types.JobAnswer(key, types.JobStatus.PENDING)
        self.send_answer(answer)

    def _reserve_memory(self, cost: int) -> None:
        clients = self.front.clients
        if clients is not None and not clients.jobs.reserve(cost):
            raise web.Refused(
                503,
                'busy',
                'the jobs that wait take up the memory for jobs',
                run=self.get_run_before_submission(),
                retry_after=web.BUSY_RETRY_SECONDS,
            )

    def _release_memory(self, cost: int) -> None:
        if self.front.clients is not None:
            self.front.clients.jobs.release(cost)

    def on_connection_close(self) -> None:
        super().on_connection_close()
        if self._reply_task is not None:
            self._reply_task.cancel()

    def _get_hold_seconds(self) -> float:
        prefer = self.request.headers.get('Prefer', '').lower()
        match = _PREFER_WAIT.search(prefer)
        longest = self.front.limits.max_hold_seconds
        if match:
            return min(float(match[1]), longest)
        return ASYNC_HOLD_SECONDS if 'respond-async' in prefer else longest


class Job(CallerHandler):
    """Resource ``/v1/jobs/{id}``."""

    run_if_rejected = ''

    async def get(self, key: str) -> None:
        """Return the status of a job, with its results once it has ended."""
        team = self.authenticate_team() or ''
        parsed_key = self._parse_key(key)
        answer = await self.front.calls.call(
            lambda number: calls.JobAsked(number, parsed_key, team)
        )
        self.send_answer(typing.cast(types.JobAnswer, answer))

    async def delete(self, key: str) -> None:
        """Cancel a job; tasks that haven't started are never started."""
        team = self.authenticate_team() or ''
        parsed_key = self._parse_key(key)
        answer = typing.cast(
            types.JobAnswer,
            await self.front.calls.call(
                lambda number: calls.JobCancelled(number, parsed_key, team)
            ),
        )
        status = get_http_status(answer)
        if answer.code == 'cancelled':
            status = 200
        self.send_answer(answer, status)

    def _parse_key(self, text: str) -> str:
        try:
            return str(uuid.UUID(text))
        except ValueError:
            raise self.make_rejection(
                404, 'unknown_job', 'no such job'
            ) from None
