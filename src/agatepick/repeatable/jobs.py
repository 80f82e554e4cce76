"""Repeatable jobs as submitted by callers, and the answers to them."""

import dataclasses
import enum

from agatepick.repeatable import routes
from agatepick import types


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """One task.

    :param name: name of the task at the worker.
    :param step: number of its step, from 0.
    :param expected_seconds: the caller's estimate of its run time; 0 if there
        is none.
    :param label: label that the worker must have; empty for any worker.
    """

    name: str
    step: int
    needs: types.Needs
    expected_seconds: float = 0.0
    label: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Tasks that are submitted together.

    :param payload: input that each task receives.
    :param after: for each step, the steps that must end first.
    :param deadline: instant at which the caller stops waiting.
    """

    key: types.JobKey
    route: routes.Route
    payload: bytes
    tasks: tuple[Task, ...]
    after: tuple[frozenset[int], ...]
    deadline: float


class Verdict(enum.StrEnum):
    """Outcome of a request for a job.

    ``NOT_RUN`` guarantees that no task has started and none will start.
    ``GIVEN_UP`` guarantees nothing: tasks may have run, or may still.  As the
    job is repeatable, its caller may submit it again all the same.
    """

    COMPLETE = 'complete'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    NOT_RUN = 'not_run'
    GIVEN_UP = 'given_up'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a caller.

    :param reason: reason code for programs and logs, such as ``overloaded``.
    :param retry_after: seconds after which a retry may succeed; 0 if it won't.
    """

    verdict: Verdict
    reason: str = ''
    retry_after: float = 0.0
