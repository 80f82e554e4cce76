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
import xxhash

from agatepick import calls
from agatepick import types
from agatepick import web

DEFAULT_TIMEOUT = 10.0
MAX_TIMEOUT = 300.0
ASYNC_GRACE = 0.05
"""Seconds that even an asynchronous request is held, so that a refusal at
the door is told at once and not by a second request."""
PENDING_RETRY = 1.0

STATUS_OF_CODE = {
    'bad_key': 422,
    'cancelled': 409,
    'deadline': 504,
    'key_ahead': 422,
    'key_reused': 422,
    'key_too_old': 422,
    'never_fits': 422,
    'overload': 503,
    'quota': 429,
    'stopping': 503,
    'unavailable': 503,
    'unknown_job': 404,
}
"""HTTP status of the codes of a :class:`agatepick.types.JobAnswer`."""

_Text = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_PREFER_WAIT = re.compile(r'\bwait\s*=\s*(\d{1,6})\b')


class NeedsBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources of a task, as JSON."""

    cpu: typing.Annotated[float, msgspec.Meta(ge=0, le=4096)] = 0.0
    memory_mb: typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 24)] = 0
    accelerators: typing.Annotated[int, msgspec.Meta(ge=0, le=1024)] = 0


class TaskBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One task of a job, as JSON; the payload is passed on as it is."""

    id: _Text
    kind: _Text
    payload: msgspec.Raw = msgspec.Raw(b'null')
    needs: NeedsBody = NeedsBody()
    expected_seconds: typing.Annotated[float, msgspec.Meta(ge=0, le=86400)] = (
        0.0
    )


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/jobs``.

    :param team: may be left out by a caller whose token names it.
    :param timeout_seconds: the deadline, counted from the request's arrival.
    :param deadline: the deadline as seconds since the epoch, instead.
    """

    tasks: typing.Annotated[tuple[TaskBody, ...], msgspec.Meta(min_length=1)]
    team: typing.Annotated[str, msgspec.Meta(max_length=256)] = ''
    timeout_seconds: (
        typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_TIMEOUT)] | None
    ) = None
    deadline: typing.Annotated[float, msgspec.Meta(gt=0)] | None = None
    urgent: bool = False
    zones: tuple[_Text, ...] = ()


class TaskReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """One task's outcome, as JSON."""

    id: str
    outcome: str
    body: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET
    reason: str = ''
    step: str = ''
    peer: str = ''


class JobReply(msgspec.Struct, frozen=True):
    """Answer that isn't a problem: a job complete or pending."""

    job: str
    run: str
    tasks: tuple[TaskReply, ...]


def routes(front: web.Front) -> list[tornado.routing.URLSpec]:
    """Routes of the callers' side."""
    args = {'front': front}
    return [
        tornado.routing.URLSpec(r'/v1/jobs', Jobs, args),
        tornado.routing.URLSpec(r'/v1/jobs/([^/]+)', Job, args),
    ]


def job_spec(
    body: bytes, key: str, team: str | None, now: float, max_tasks: int
) -> types.JobSpec:
    """The job that a request's body describes.

    :param team: the team of the caller's token; ``None`` if callers need no
        token, and the body names it.
    :raises agatepick.web.Refused: naming the field at fault.
    """
    parsed = _parsed(body)
    if len(parsed.tasks) > max_tasks:
        raise web.Refused(
            413,
            'too_many_tasks',
            f'{len(parsed.tasks)} tasks; allowed: {max_tasks}',
            field='$.tasks',
        )
    _check_ids(parsed.tasks)
    if parsed.deadline is not None and parsed.timeout_seconds is not None:
        raise _bad_field('$.deadline', 'give deadline or timeout_seconds')
    deadline = parsed.deadline or now + (
        parsed.timeout_seconds or DEFAULT_TIMEOUT
    )
    if deadline <= now:
        raise _bad_field('$.deadline', 'lies in the past')
    if deadline > now + MAX_TIMEOUT:
        raise _bad_field('$.deadline', f'is over {MAX_TIMEOUT:g} s ahead')
    return types.JobSpec(
        key=key,
        team=_team(parsed, team),
        tasks=tuple(_task_spec(task) for task in parsed.tasks),
        deadline=deadline,
        urgent=parsed.urgent,
        zones=parsed.zones,
        digest=xxhash.xxh3_128_digest(body),
    )


def job_key(header: str | None) -> types.JobKey:
    """The key of an ``Idempotency-Key``; a new one if there is none.

    The owner of a job and the age of its key follow from the UUIDv7, so
    other forms are refused.
    """
    if header is None:
        return str(uuid_utils.uuid7())
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
    if answer.status == types.JobStatus.PENDING:
        return 202
    if answer.code in STATUS_OF_CODE:
        return STATUS_OF_CODE[answer.code]
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
                run=self.run_if_refused,
                headers={'WWW-Authenticate': 'Bearer'},
            )
        return found[0]

    def send_answer(
        self, answer: types.JobAnswer, status: int | None = None
    ) -> None:
        """Answer with how a job stands."""
        status = status or status_of(answer)
        self.set_header('Location', f'/v1/jobs/{answer.key}')
        tasks = tuple(_task_reply(task) for task in answer.tasks)
        if status < 300:
            if answer.status == types.JobStatus.PENDING:
                after = answer.retry_after or PENDING_RETRY
                self.set_header('Retry-After', str(math.ceil(after)))
            reply = JobReply(answer.key, answer.status.value, tasks)
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

    async def post(self) -> None:
        """Hand in a job."""
        self.body_is_whole()
        body = self.take_body()
        team = self.team()
        key = job_key(self.request.headers.get('Idempotency-Key'))
        now = self.front.clock.now()
        job = job_spec(body, key, team, now, self.front.limits.max_tasks)
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


def _parsed(body: bytes) -> JobBody:
    try:
        return msgspec.json.decode(body, type=JobBody)
    except msgspec.ValidationError as exc:
        detail, _, field = str(exc).partition(' - at `')
        raise _bad_field(field.rstrip('`') or '$', detail) from exc
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise web.Refused(400, 'bad_json', f'not JSON: {exc}') from exc


def _bad_field(field: str, detail: str) -> web.Refused:
    return web.Refused(422, 'bad_field', f'{field}: {detail}', field=field)


def _check_ids(tasks: tuple[TaskBody, ...]) -> None:
    seen: dict[str, int] = {}
    for index, task in enumerate(tasks):
        first = seen.setdefault(task.id, index)
        if first != index:
            raise _bad_field(
                f'$.tasks[{index}].id',
                f'{task.id!r} is the id of $.tasks[{first}] too',
            )


def _team(parsed: JobBody, team: str | None) -> str:
    if team is None:
        if not parsed.team:
            raise _bad_field('$.team', 'is missing')
        return parsed.team
    if parsed.team not in ('', team):
        raise web.Refused(
            403,
            'wrong_team',
            f'the token is not of team {parsed.team!r}',
            field='$.team',
        )
    return team


def _task_spec(task: TaskBody) -> types.TaskSpec:
    return types.TaskSpec(
        id=task.id,
        kind=task.kind,
        payload=bytes(task.payload),
        needs=types.Needs(
            task.needs.cpu, task.needs.memory_mb, task.needs.accelerators
        ),
        expected_seconds=task.expected_seconds,
    )


def _task_reply(task: types.TaskAnswer) -> TaskReply:
    return TaskReply(
        id=task.id,
        outcome=task.outcome.value,
        body=_raw(task.body),
        reason=task.reason,
        step=task.step,
        peer=task.peer,
    )


def _raw(body: bytes) -> msgspec.Raw | msgspec.UnsetType:
    """An upstream's body to put into the answer as it is.

    Bytes that are no JSON would break the whole answer, so that a caller
    could read none of its other tasks; they are passed on as text.
    """
    if not body:
        return msgspec.UNSET
    try:
        return msgspec.json.decode(body, type=msgspec.Raw)
    except (msgspec.DecodeError, UnicodeDecodeError):
        text = body.decode('utf-8', 'replace')
        return msgspec.Raw(msgspec.json.encode(text))
