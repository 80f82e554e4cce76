"""Jobs in the bodies of callers' requests."""

import json

import msgspec

from agatepick.platform import quantities
from agatepick.repeatable import jobs
from agatepick.repeatable import routes
from agatepick import types

MILLICORES = 1000.0

MAX_TASKS = 10_000
"""Largest number of tasks of a job, many times more than a pool runs at once.
A number in the wrong unit must not fill the memory of the process."""

MAX_SPEC_BYTES = 4000
"""Largest input of a job, by the platform's pages."""


class _Step(msgspec.Struct, frozen=True):
    """The tasks of one step; callers omit fields that are zero or empty.

    :param count: number of tasks.
    :param cpu: in thousandths of a core.
    :param estimated_ms: estimated run time, which is too long or too short by
        some factor.
    :param after: indices of the steps that must end before this one.
    :param anti_affinity: how many of the tasks may run on one worker at a
        time; 0 for any number.
    """

    count: quantities.Count
    cpu: quantities.Amount = 0.0
    mem_mb: quantities.Count = 0
    gpu: quantities.Count = 0
    estimated_ms: quantities.Amount = 0.0
    after: tuple[int, ...] = ()
    anti_affinity: quantities.Count = 0
    required_labels: str | tuple[str, ...] = ''
    gang: bool = False


class Body(msgspec.Struct, frozen=True):
    """A job as callers submit it."""

    spec: str
    steps: tuple[_Step, ...]
    best_effort: bool = False
    long_running: bool = False
    repeat_count: int = 0


def parse_job(
    route: routes.Route, key: str, data: bytes, deadline: float
) -> jobs.Job:
    """Return the job in the body of a caller's request.

    :param deadline: instant at which the caller stops waiting.
    :raises ValueError: if it can't be served; the message names the field, as
        for all errors of this function.
    :raises msgspec.MsgspecError: if a field has another type or is out of its
        range.
    """
    return make_job(route, key, parse_body(data), deadline)


def parse_body(data: bytes) -> Body:
    """Return the body of a caller's request, without its tasks.

    It raises the same errors as :func:`parse_job`.
    """
    body = _decode_body(data)
    if not body.best_effort or body.long_running or body.repeat_count:
        raise ValueError("best_effort: only jobs that needn't be kept")
    if sum(step.count for step in body.steps) > MAX_TASKS:
        raise ValueError(f'steps: count of more than {MAX_TASKS} tasks')
    if len(body.spec.encode()) > MAX_SPEC_BYTES:
        raise ValueError(f'spec: more than {MAX_SPEC_BYTES} bytes')
    for index, step in enumerate(body.steps):
        if step.gang:
            raise ValueError('gang: tasks that only work together')
        if any(not 0 <= earlier < index for earlier in step.after):
            raise ValueError("after: names a step that isn't an earlier one")
    if not any(step.count for step in body.steps):
        raise ValueError('steps: no task')
    return body


def make_job(
    route: routes.Route, key: str, body: Body, deadline: float
) -> jobs.Job:
    """Return a job with its tasks.

    :param deadline: instant at which the caller stops waiting.
    """
    tasks: list[jobs.Task] = []
    for index, step in enumerate(body.steps):
        tasks += _make_tasks(key, index, step)
    return jobs.Job(
        key=key,
        route=route,
        payload=body.spec.encode(),
        tasks=tuple(tasks),
        after=tuple(frozenset(step.after) for step in body.steps),
        deadline=deadline,
        worker_limits=_make_worker_limits(body),
    )


def _decode_body(data: bytes) -> Body:
    try:
        return msgspec.json.decode(data, type=Body)
    except msgspec.ValidationError:
        raise
    except msgspec.DecodeError:
        # Some encoders write NaN and Infinity, which JSON doesn't have; as
        # text they are refused with the field's name.
        msgspec.convert(json.loads(data, parse_constant=str), type=Body)
        raise


def _make_worker_limits(body: Body) -> tuple[int, ...]:
    limits = tuple(step.anti_affinity for step in body.steps)
    return limits if any(limits) else ()


def _make_tasks(key: str, step_index: int, step: _Step) -> list[jobs.Task]:
    needs = types.Needs(step.cpu / MILLICORES, step.mem_mb, step.gpu)
    label = step.required_labels
    if not isinstance(label, str):
        label = label[0] if label else ''
    # A task's name at the worker: job, occurrence (always the first), step,
    # task.
    return [
        jobs.Task(
            name=f'{key}.0.{step_index}.{index}',
            step=step_index,
            needs=needs,
            expected_seconds=step.estimated_ms / 1000.0,
            label=label,
        )
        for index in range(step.count)
    ]
