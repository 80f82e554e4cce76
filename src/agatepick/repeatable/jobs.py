"""Repeatable jobs as their callers hand them in, and what they are told."""

import dataclasses
import enum

from agatepick.repeatable import routes
from agatepick import types


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """One task.

    :param name: its name at the worker.
    :param step: number of its step, from 0.
    :param expected_seconds: the caller's guess of its run time; 0 is none.
    :param label: a label that its worker must have; empty for none.
    """

    name: str
    step: int
    needs: types.Needs
    expected_seconds: float = 0.0
    label: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Tasks handed in together.

    :param payload: what each task is given.
    :param after: for each step, the steps that must have ended first.
    :param deadline: instant at which the caller stops waiting.
    """

    key: types.JobKey
    route: routes.Route
    payload: bytes
    tasks: tuple[Task, ...]
    after: tuple[frozenset[int], ...]
    deadline: float


class Verdict(enum.StrEnum):
    """How a request for a job ends.

    ``NOT_RUN`` promises that no task was started and none will be.
    ``GIVEN_UP`` promises nothing: the job may be handed in again.
    """

    COMPLETE = 'complete'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    NOT_RUN = 'not_run'
    GIVEN_UP = 'given_up'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What the caller is told.

    :param reason: a word for programs and logs, such as ``overloaded``.
    :param retry_after: seconds after which asking again may help; 0 if
        it won't.
    """

    verdict: Verdict
    reason: str = ''
    retry_after: float = 0.0
