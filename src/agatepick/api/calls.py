"""Calls from the HTTP side into a reducer, and the replies that come back.

A handler never touches a reducer's state.  It makes a call: an event that
carries a number, for which the reducer sooner or later returns a
:class:`Reply` effect with the same number.  :class:`Calls` pairs the two.
"""

import asyncio
import dataclasses
import itertools
import typing

from agatepick.config import cluster
from agatepick import exceptions
from agatepick import types

MAX_OPEN = 20_000
"""Calls awaiting a reply.  One costs about 1 KiB with its connection, so
this bounds what a burst of held-open requests may take of the memory."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A caller hands in a job; replied to once it has ended."""

    call: int
    job: types.JobSpec


@dataclasses.dataclass(frozen=True, slots=True)
class JobAsked:
    """A caller asks how a job stands; replied to at once."""

    call: int
    key: types.JobKey
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller no longer wants a job; replied to with how it stands."""

    call: int
    key: types.JobKey
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeProposed:
    """An operator proposes a change of the configuration.

    :param based_on: version that the operator has seen; ``None`` for any.
    """

    call: int
    change: cluster.Change
    based_on: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StatusAsked:
    """An operator asks for the configuration and state of this process."""

    call: int


Event = JobSubmitted | JobAsked | JobCancelled | ChangeProposed | StatusAsked


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Effect: the answer to a call.

    :param answer: a :class:`agatepick.types.JobAnswer` for callers; for
        operators the verdict on a change or a status object.
    """

    call: int
    answer: object


class Calls:
    """Open calls of one process.

    :param feed: takes an event into the reducer and carries out its effects;
        it may call :meth:`reply` before it returns.
    :param limit: calls that may be open at once.
    """

    def __init__(
        self, feed: typing.Callable[[Event], None], limit: int = MAX_OPEN
    ):
        self._feed = feed
        self._limit = limit
        self._numbers = itertools.count(1)
        self._open: dict[int, asyncio.Future[object]] = {}

    def __len__(self) -> int:
        return len(self._open)

    async def call(self, make: typing.Callable[[int], Event]) -> object:
        """Feed the event that ``make`` builds; return the reply's answer.

        A caller that goes away cancels the wait, not what it asked for.

        :param make: builds the event from the number of the call.
        :raises agatepick.exceptions.TooManyCalls: if too many calls are
            open; the event was not fed.
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
        """Hand an answer to its call; dropped if nobody waits any more."""
        fut = self._open.get(reply.call)
        if fut is not None and not fut.done():
            fut.set_result(reply.answer)
