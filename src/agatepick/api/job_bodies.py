"""The JSON of jobs and answers, checked and turned into our own types.

These are ``msgspec`` structures and not data classes, because only those
refuse a member that they don't know.
"""

import typing

import msgspec
import xxhash

from agatepick.api import web
from agatepick import types

DEFAULT_TIMEOUT = 10.0
MAX_TIMEOUT = 300.0

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


class JobReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer that isn't a problem: a job complete or pending.

    :param code: why it is pending; ``detail`` says it to a person.
    """

    job: str
    run: str
    tasks: tuple[TaskReply, ...]
    code: str = ''
    detail: str = ''


def job_spec(
    body: bytes, key: str, team: str | None, now: float, max_tasks: int
) -> types.JobSpec:
    """The job that a request's body describes.

    :param team: the team of the caller's token; ``None`` if callers need no
        token, and the body names it.
    :raises agatepick.api.web.Refused: naming the field at fault.
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
    # A deadline that has passed is left to the owner: the job may have run,
    # and refused here as "not run" its caller would hand it in anew.
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
        payload=_payload(task.payload),
        needs=types.Needs(
            task.needs.cpu, task.needs.memory_mb, task.needs.accelerators
        ),
        expected_seconds=task.expected_seconds,
    )


def task_reply(task: types.TaskAnswer) -> TaskReply:
    """The JSON of one task's outcome."""
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


def _payload(payload: msgspec.Raw | msgspec.UnsetType) -> bytes:
    return (
        b'null' if isinstance(payload, msgspec.UnsetType) else bytes(payload)
    )
