"""Requests that an entry passes on to the owner of their job.

A request is passed on once.  If its owner is lost before it answers, the
caller is told that the outcome is pending and to ask again: the owner may
have started tasks, so "not run" would be a guess.
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
    """The answer "outcome pending, ask again"."""
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
    """An answer for one that waits for it."""

    waiter: jobs.Waiter
    answer: types.JobAnswer


class Forwarding:
    """Requests passed on and not yet answered."""

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
        """Pass a request on; :meth:`answered` gives its answer."""
        request = self._next
        self._next += 1
        self._passed[request] = _Passed(waiter, key, owner)
        forward = messages.Forward(request, action, key, team, specs)
        return [core.Send(owner, forward)]

    def answered(self, message: messages.Forwarded) -> list[Answered]:
        """The owner's answer, for whoever still waits for it."""
        passed = self._passed.pop(message.request, None)
        if passed is None:
            return []
        return [Answered(passed.waiter, answers.decode(message.answer))]

    def owner_lost(self, owner: types.PeerName) -> list[Answered]:
        """Answers to what was passed to an owner that can't be reached."""
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
