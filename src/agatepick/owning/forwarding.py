"""Requests that an entry forwards to the owner of their job.

A request is forwarded once.  If the connection to the owner ends before it
answers, the caller gets the answer "pending" with a time to retry: the owner
may have started tasks, so "not run" could be false.
"""

import dataclasses

from agatepick import core
from agatepick.net import messages
from agatepick.owning import answers
from agatepick.owning import jobs
from agatepick import types

RETRY_AFTER_SECONDS = 1.0
CODE_PENDING = 'outcome_pending'


def pending(key: types.JobKey, reason: str, peer: str = '') -> types.JobAnswer:
    """Return the answer that the outcome is pending, with a retry time."""
    return types.JobAnswer(
        key,
        types.JobStatus.PENDING,
        code=CODE_PENDING,
        reason=reason,
        step='forward',
        peer=peer,
        retry_after=RETRY_AFTER_SECONDS,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Passed:
    waiter: jobs.Waiter
    key: types.JobKey
    owner: types.PeerName


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """An answer and the waiter that it is for."""

    waiter: jobs.Waiter
    answer: types.JobAnswer


class Forwarding:
    """Forwarded requests that have no answer yet."""

    def __init__(self) -> None:
        self._passed: dict[int, _Passed] = {}
        self._next = 1

    def __len__(self) -> int:
        return len(self._passed)

    def pass_on(
        self,
        owner: types.PeerName,
        waiter: jobs.Waiter,
        action: str,
        key: types.JobKey,
        team: str,
        specs: tuple[types.JobSpec, ...] = (),
    ) -> list[object]:
        """Forward a request; :meth:`answered` returns its answer."""
        request = self._next
        self._next += 1
        self._passed[request] = _Passed(waiter, key, owner)
        forward = messages.Forward(request, action, key, team, specs)
        return [core.Send(owner, forward)]

    def answered(self, message: messages.Forwarded) -> list[Answered]:
        """Return the owner's answer with its waiter, if one still waits."""
        passed = self._passed.pop(message.request, None)
        if passed is None:
            return []
        return [Answered(passed.waiter, answers.decode(message.answer))]

    def owner_lost(self, owner: types.PeerName) -> list[Answered]:
        """Return pending answers for all requests of a lost owner."""
        lost = [
            (request, passed)
            for request, passed in self._passed.items()
            if passed.owner == owner
        ]
        reason = "the job's owner can't be reached"
        for request, _ in lost:
            del self._passed[request]
        return [
            Answered(passed.waiter, pending(passed.key, reason, owner))
            for _, passed in lost
        ]
