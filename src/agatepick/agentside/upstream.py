"""Events and effects between an agent and its upstream.

The agent's reducer uses only these data classes.  Classes that run tasks, over
HTTP or in the same process, implement :class:`Upstream`.
"""

import dataclasses
import enum
import math
import typing

from agatepick import types


class Action(enum.StrEnum):
    """Actions that can be requested of a running task."""

    STOP = 'stop'
    THROTTLE = 'throttle'
    CHECKPOINT = 'checkpoint'


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """Event: an upstream announced itself or renewed its announcement.

    :param session: identifier of the upstream's process; a new session means
        that the tasks of the previous session have ended.
    :param slots: number of tasks that the upstream can run at once.
    :param term: seconds after which the announcement expires.
    """

    session: str
    kinds: tuple[str, ...]
    slots: int
    capacity: types.Needs
    url: str
    term: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLeft:
    """Event: the upstream accepts no new task and ends its running ones."""

    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamGone:
    """Event: the upstream's address refuses connections."""

    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnded:
    """Event: a task ended, or its outcome can no longer be determined.

    Every :class:`RunTask` is followed by exactly one such event, unless the
    agent's process ends first.

    :param state: ``FINISHED``, ``FAILED``, ``LOST`` when no answer came, or
        ``REFUSED`` when the task wasn't sent in time and hasn't run.
    :param reason: why the task failed, was lost or wasn't sent; empty if it
        finished.
    :param seconds: run time of the task.
    """

    job: types.JobKey
    index: int
    attempt: int
    state: types.TaskState
    body: bytes = b''
    reason: str = ''
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunTask:
    """Effect: run a task once at the upstream, without delay.

    :param session: session of the upstream for which the task was accepted.
    :param start_before: instant of the agent's clock from which the task must
        not be sent: the process may be suspended between the decision and the
        sending, and the task's zone be out of service since.
    """

    job: types.JobKey
    index: int
    attempt: int
    kind: str
    payload: bytes
    needs: types.Needs
    deadline: float
    url: str
    session: str
    start_before: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Effect: request a running task to stop, throttle or checkpoint."""

    job: types.JobKey
    index: int
    action: Action
    url: str


class Upstream(typing.Protocol):
    """A runner of an agent's tasks, which passes events to the reducer."""

    def run(self, effect: RunTask) -> None:
        """Start a task and pass on its end as one :class:`TaskEnded`."""
        ...

    def stop(self, effect: StopTask) -> None:
        """Request an action of a running task; no event follows."""
        ...
