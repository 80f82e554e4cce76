"""Repeatable jobs as submitted by callers, and the answers to them."""

import dataclasses
import enum
import math

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
    :param worker_limits: for each step, how many of its tasks may run on one
        worker at a time, 0 for any number; empty if no step has a limit.
    """

    key: types.JobKey
    route: routes.Route
    payload: bytes
    tasks: tuple[Task, ...]
    after: tuple[frozenset[int], ...]
    deadline: float
    worker_limits: tuple[int, ...] = ()

    @property
    def location(self) -> tuple[str, str]:
        """Host and path under which it was submitted."""
        return self.route.host, self.route.prefix + self.key

    def find_bad_field(self) -> str:
        """Return the name of a field whose value can't be served.

        A reducer that computes with it, or sends it in a message, would fail.

        :returns: an empty string if there is none.
        """
        if not math.isfinite(self.deadline):
            return 'deadline'
        if any(limit < 0 for limit in self.worker_limits):
            return 'worker_limits'
        checked: Task | None = None
        for task in self.tasks:
            # Tasks of a step share their needs.
            if checked is None or task.needs is not checked.needs:
                field = task.needs.find_bad_field()
                if field:
                    return field
            if not 0.0 <= task.expected_seconds < math.inf:
                return 'expected_seconds'
            checked = task
        return ''


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
