"""Callers' HTTP: hand in a job, ask how it stands, cancel it.

``POST /v1/jobs`` holds the answer open until the job has ended, or answers
``202`` at once with ``Prefer: respond-async``.  The status of an answer
follows the job's:

* complete: 200 with every task's outcome under the caller's own ids;
* pending: 202 with ``Location``; ask there again;
* failed: 502, or 504 past the deadline and 409 when cancelled, a problem
  document that lists each task's outcome;
* not run: 503 or 429 where a retry may help, else 422 (or as
  :data:`STATUS_OF_CODE` says), a problem document.
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
from agatepick import types

ASYNC_GRACE = 0.05
"""Seconds that even an asynchronous request is held, so that a refusal at
the door is told at once and not by a second request."""
PENDING_RETRY = 1.0

STATUS_OF_CODE = {
    'cancelled': 409,
    'deadline': 504,
    'key_ahead': 422,
    'key_expired': 422,
    'key_malformed': 422,
    'key_reused': 422,
    'quota': 429,
    'unknown_job': 404,
}
"""HTTP status of those codes of a :class:`agatepick.types.JobAnswer` for
which it doesn't follow from the job's status and whether a retry helps."""

_PREFER_WAIT = re.compile(r'\bwait\s*=\s*(\d{1,6})\b')


def routes(front: web.Front) -> list[tornado.routing.URLSpec]:
    """Routes of the callers' side."""
    args = {'front': front}
    return [
        tornado.routing.URLSpec(r'/v1/jobs', Jobs, args),
        tornado.routing.URLSpec(r'/v1/jobs/([^/]+)', Job, args),
    ]


def job_key(header: str | None, now: float) -> types.JobKey:
    """The key of an ``Idempotency-Key``; a new one if there is none.

    The owner of a job and the age of its key follow from the UUIDv7, so
    other forms are refused.

    :param now: by the clock that keys are judged by.  The wall clock may be
        set while a process runs, whose own clock never steps; a key stamped
        by the one would be ahead of the other, and refused.
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


def status_of(answer: types.JobAnswer) -> int:
    """The HTTP status that tells how a job stands."""
    if answer.status == types.JobStatus.COMPLETE:
        return 200
    if answer.code in STATUS_OF_CODE:
        return STATUS_OF_CODE[answer.code]
    if answer.status == types.JobStatus.PENDING:
        return 202
    if answer.status == types.JobStatus.FAILED:
        return 502
    return 503 if answer.retry_after else 422


class CallerHandler(web.Handler):
    """Base of the callers' handlers."""

    def team(self) -> str | None:
        """The team that the caller's token names.

        :returns: ``None`` if the settings hold no tokens of teams.
        """
        teams = self.front.tokens.teams
        if not teams:
            return None
        token = web.bearer(self.request)
        # All are compared, so that the time taken tells nothing.
        found = [
            team
            for team, known in teams.items()
            if web.same_token(token, known)
        ]
        if not found:
            raise web.Refused(
                401,
                'bad_token',
                'no team has this bearer token',
                run=self.run_if_not_taken(),
                headers={'WWW-Authenticate': 'Bearer'},
            )
        return found[0]

    def send_answer(
        self, answer: types.JobAnswer, status: int | None = None
    ) -> None:
        """Answer with how a job stands."""
        status = status or status_of(answer)
        self.set_header('Location', f'/v1/jobs/{answer.key}')
        tasks = tuple(job_bodies.task_reply(task) for task in answer.tasks)
        if status < 300:
            if answer.status == types.JobStatus.PENDING:
                after = answer.retry_after or PENDING_RETRY
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
                title=web.title_of(status),
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
    """``/v1/jobs``."""

    _wait: 'asyncio.Task[object] | None' = None

    def run_if_not_taken(self) -> str:
        """``pending`` for a key of the caller's own.

        The job may run already, from the same request sent before.  Told
        "not run", its caller would hand it in under another key, and it
        would run twice.
        """
        if 'Idempotency-Key' in self.request.headers:
            return types.JobStatus.PENDING.value
        return super().run_if_not_taken()

    async def post(self) -> None:
        """Hand in a job."""
        self.body_is_whole()
        body = self.take_body()
        team = self.team()
        key = job_key(
            self.request.headers.get('Idempotency-Key'),
            self.front.clock.now(),
        )
        now = self.front.clock.now()
        job = job_bodies.job_spec(
            body, key, team, now, self.front.limits.max_tasks
        )
        hold = self._hold()
        self._wait = asyncio.create_task(
            self.front.calls.call(
                lambda number: calls.JobSubmitted(number, job)
            )
        )
        done, _ = await asyncio.wait([self._wait], timeout=hold)
        if self._wait.cancelled():
            return
        if done:
            answer = typing.cast(types.JobAnswer, self._wait.result())
        else:
            self._wait.cancel()
            answer = types.JobAnswer(key, types.JobStatus.PENDING)
        self.send_answer(answer)

    def on_connection_close(self) -> None:
        super().on_connection_close()
        if self._wait is not None:
            self._wait.cancel()

    def _hold(self) -> float:
        prefer = self.request.headers.get('Prefer', '').lower()
        found = _PREFER_WAIT.search(prefer)
        longest = self.front.limits.max_hold_seconds
        if found:
            return min(float(found[1]), longest)
        return ASYNC_GRACE if 'respond-async' in prefer else longest


class Job(CallerHandler):
    """``/v1/jobs/{id}``."""

    run_if_refused = ''

    async def get(self, key: str) -> None:
        """How a job stands; its answer once it has ended."""
        team = self.team() or ''
        known = self._key(key)
        answer = await self.front.calls.call(
            lambda number: calls.JobAsked(number, known, team)
        )
        self.send_answer(typing.cast(types.JobAnswer, answer))

    async def delete(self, key: str) -> None:
        """Cancel a job: what hasn't started never will."""
        team = self.team() or ''
        known = self._key(key)
        answer = typing.cast(
            types.JobAnswer,
            await self.front.calls.call(
                lambda number: calls.JobCancelled(number, known, team)
            ),
        )
        status = status_of(answer)
        if answer.code == 'cancelled':
            status = 200
        self.send_answer(answer, status)

    def _key(self, text: str) -> str:
        try:
            return str(uuid.UUID(text))
        except ValueError:
            raise self.refused(404, 'unknown_job', 'no such job') from None
