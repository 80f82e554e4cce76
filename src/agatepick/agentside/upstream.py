"""What an agent and its upstream say to one another, as events and effects.

The agent's reducer sees only these data classes.  Whoever runs tasks
implements :class:`Upstream`: over HTTP, or in the same process.
"""

import dataclasses
import enum
import typing

from agatepick import types


class Action(enum.StrEnum):
    """What may be asked of a running task."""

    STOP = 'stop'
    THROTTLE = 'throttle'
    CHECKPOINT = 'checkpoint'


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """Event: an upstream announced itself, or renewed its announcement.

    :param session: names one life of the upstream's process; another session
        means that whatever the former one ran is gone.
    :param slots: tasks that it runs at once.
    :param term: seconds for which the announcement holds.
    """

    session: str
    kinds: tuple[str, ...]
    slots: int
    capacity: types.Needs
    url: str
    term: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLeft:
    """Event: the upstream takes no new task and ends what it runs."""

    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamGone:
    """Event: nothing answers any more at the upstream's address."""

    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnded:
    """Event: a task ended, or its fate can no longer be learned.

    Every :class:`RunTask` is followed by exactly one of these, unless the
    agent's process ends first.

    :param state: ``FINISHED``, ``FAILED``, or ``LOST`` when no answer came.
    :param seconds: how long it ran.
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
    """Effect: run a task at the upstream, now and once.

    :param session: the life of the upstream for which it was accepted.
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


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Effect: stop, throttle or checkpoint a running task."""

    job: types.JobKey
    index: int
    action: Action
    url: str


class Upstream(typing.Protocol):
    """Runs tasks; reports through the ``feed`` it was built with."""

    def run(self, effect: RunTask) -> None:
        """Start a task; its end is fed as :class:`TaskEnded`."""
        ...

    def stop(self, effect: StopTask) -> None:
        """Pass an action on; no answer is fed for it."""
        ...
