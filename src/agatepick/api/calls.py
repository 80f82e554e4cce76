"""Calls from HTTP handlers into a reducer, and their replies.

A handler never accesses the state of a reducer.  It makes a call: an event
with a call number, to which the reducer responds with a :class:`Reply` effect
of the same number.  :class:`Calls` matches replies to calls.
"""

import asyncio
import dataclasses
import itertools
import typing

from agatepick.config import cluster
from agatepick import exceptions
from agatepick import types

MAX_OPEN_CALLS = 20_000
"""Limit of calls that await a reply.  A call and its connection take about
1 KiB, so the limit bounds the memory used by a burst of held requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobSubmitted:
    """Submission of a job by a caller; the reply follows when the job ends."""

    call: int
    job: types.JobSpec


@dataclasses.dataclass(frozen=True, slots=True)
class JobAsked:
    """Request for the status of a job; the reply follows immediately."""

    call: int
    key: types.JobKey
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """Cancellation of a job by a caller; the reply is the job's status."""

    call: int
    key: types.JobKey
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeProposed:
    """Configuration change proposed by an operator.

    :param based_on: expected current version; ``None`` for any.
    """

    call: int
    change: cluster.Change
    based_on: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StatusAsked:
    """Operator's request for the configuration and state of this process."""

    call: int


Event = JobSubmitted | JobAsked | JobCancelled | ChangeProposed | StatusAsked


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Effect that answers a call.

    :param answer: a :class:`agatepick.types.JobAnswer` for callers, or a
        status object or the verdict on a change for operators.
    """

    call: int
    answer: object


class Calls:
    """Pending calls of one process.

    :param feed: passes an event to the reducer and executes its effects; it
        may call :meth:`reply` before it returns.
    :param limit: maximum number of pending calls.
    """

    def __init__(
        self, feed: typing.Callable[[Event], None], limit: int = MAX_OPEN_CALLS
    ):
        self._feed = feed
        self._limit = limit
        self._numbers = itertools.count(1)
        self._open: dict[int, asyncio.Future[object]] = {}

    def __len__(self) -> int:
        return len(self._open)

    async def call(self, make: typing.Callable[[int], Event]) -> object:
        """Pass an event to the reducer and return the answer to it.

        Cancelling this coroutine ends only the wait: the reducer still
        processes the event.

        :param make: builds the event from the call number.
        :raises agatepick.exceptions.TooManyCalls: if the limit of pending
            calls is reached; the event does not reach the reducer.
        """
        if len(self._open) >= self._limit:
            raise exceptions.TooManyCalls(
                f'{self._limit} requests are open already', step='accept'
            )
        number = next(self._numbers)
        fut = asyncio.get_running_loop().create_future()
        self._open[number] = fut
        try:
            self._feed(make(number))
            return await fut
        finally:
            self._open.pop(number, None)

    def reply(self, reply: Reply) -> None:
        """Resolve a pending call; the reply to a cancelled call is dropped."""
        fut = self._open.get(reply.call)
        if fut is not None and not fut.done():
            fut.set_result(reply.answer)
