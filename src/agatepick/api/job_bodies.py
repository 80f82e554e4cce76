"""JSON bodies of jobs and answers: validation and conversion.

The bodies are ``msgspec`` structures rather than data classes, because only
structures can reject unknown members.
"""

import typing

import msgspec
import xxhash

from agatepick.api import web
from agatepick.net import decoding
from agatepick import types

DEFAULT_TIMEOUT_SECONDS = 10.0
MAX_TIMEOUT_SECONDS = 300.0

_Text = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class NeedsBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources of a task, as JSON."""

    cpu: typing.Annotated[float, msgspec.Meta(ge=0, le=4096)] = 0.0
    memory_mb: typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 24)] = 0
    accelerators: typing.Annotated[int, msgspec.Meta(ge=0, le=1024)] = 0


class TaskBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One task of a job, as JSON; the payload is passed on as it is."""

    id: _Text
    kind: _Text
    payload: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET
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
        typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_TIMEOUT_SECONDS)]
        | None
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


class JobReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer that isn't a problem: a job complete or pending.

    :param code: why it is pending; ``detail`` says it to a person.
    """

    job: str
    run: str
    tasks: tuple[TaskReply, ...]
    code: str = ''
    detail: str = ''


def parse_job(
    body: bytes, key: str, team: str | None, now: float, max_tasks: int
) -> types.JobSpec:
    """Return the job described by a request body.

    :param team: team of the caller's token; ``None`` if callers need no
        token and the body names the team.
    :raises agatepick.api.web.Refused: with the name of the invalid field.
    """
    parsed = _decode_job(body)
    if len(parsed.tasks) > max_tasks:
        raise web.Refused(
            413,
            'too_many_tasks',
            f'{len(parsed.tasks)} tasks; allowed: {max_tasks}',
            field='$.tasks',
        )
    _check_task_ids(parsed.tasks)
    if parsed.deadline is not None and parsed.timeout_seconds is not None:
        raise _make_field_rejection(
            '$.deadline', 'give deadline or timeout_seconds'
        )
    deadline = parsed.deadline or now + (
        parsed.timeout_seconds or DEFAULT_TIMEOUT_SECONDS
    )
    # Only the owner rejects an expired deadline.  The job may have run, and
    # after "not run" from here the caller would submit it again.
    if deadline > now + MAX_TIMEOUT_SECONDS:
        raise _make_field_rejection(
            '$.deadline', f'is over {MAX_TIMEOUT_SECONDS:g} s ahead'
        )
    return types.JobSpec(
        key=key,
        team=_resolve_team(parsed, team),
        tasks=tuple(_make_task_spec(task) for task in parsed.tasks),
        deadline=deadline,
        urgent=parsed.urgent,
        zones=parsed.zones,
        digest=xxhash.xxh3_128_digest(body),
    )


def _decode_job(body: bytes) -> JobBody:
    try:
        return msgspec.json.decode(body, type=JobBody)
    except msgspec.ValidationError as exc:
        detail, _, field = str(exc).partition(' - at `')
        raise _make_field_rejection(field.rstrip('`') or '$', detail) from exc
    except decoding.ERRORS as exc:
        raise web.Refused(400, 'bad_json', f'not JSON: {exc}') from exc


def _make_field_rejection(field: str, detail: str) -> web.Refused:
    return web.Refused(422, 'bad_field', f'{field}: {detail}', field=field)


def _check_task_ids(tasks: tuple[TaskBody, ...]) -> None:
    index_by_id: dict[str, int] = {}
    for index, task in enumerate(tasks):
        first = index_by_id.setdefault(task.id, index)
        if first != index:
            raise _make_field_rejection(
                f'$.tasks[{index}].id',
                f'{task.id!r} is the id of $.tasks[{first}] too',
            )


def _resolve_team(parsed: JobBody, team: str | None) -> str:
    if team is None:
        if not parsed.team:
            raise _make_field_rejection('$.team', 'is missing')
        return parsed.team
    if parsed.team not in ('', team):
        raise web.Refused(
            403,
            'wrong_team',
            f'the token is not of team {parsed.team!r}',
            field='$.team',
        )
    return team


def _make_task_spec(task: TaskBody) -> types.TaskSpec:
    return types.TaskSpec(
        id=task.id,
        kind=task.kind,
        payload=_encode_payload(task.payload),
        needs=types.Needs(
            task.needs.cpu, task.needs.memory_mb, task.needs.accelerators
        ),
        expected_seconds=task.expected_seconds,
    )


def make_task_reply(task: types.TaskAnswer) -> TaskReply:
    """Return the JSON structure for the outcome of one task."""
    return TaskReply(
        id=task.id,
        outcome=task.outcome.value,
        body=_encode_upstream_body(task.body),
        reason=task.reason,
        step=task.step,
        peer=task.peer,
    )


def _encode_upstream_body(body: bytes) -> msgspec.Raw | msgspec.UnsetType:
    """Return an upstream's response body for inclusion in the answer.

    JSON is included unchanged.  Other bytes would make the whole answer
    unreadable, with the results of all other tasks, so they are encoded as a
    JSON string.
    """
    if not body:
        return msgspec.UNSET
    try:
        return msgspec.json.decode(body, type=msgspec.Raw)
    except decoding.ERRORS:
        text = body.decode('utf-8', 'replace')
        return msgspec.Raw(msgspec.json.encode(text))


def _encode_payload(payload: msgspec.Raw | msgspec.UnsetType) -> bytes:
    return (
        b'null' if isinstance(payload, msgspec.UnsetType) else bytes(payload)
    )
