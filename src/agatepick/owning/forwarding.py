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


def build_pending(
    key: types.JobKey, reason: str, peer: str = ''
) -> types.JobAnswer:
    """Return the answer "pending", with a retry time.

    :param reason: why the job's outcome isn't known yet.
    :param peer: name of the entry that the reason is about.
    """
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
class _ForwardedRequest:
    """A forwarded request, with the caller that waits for its answer."""

    waiter: jobs.Waiter
    key: types.JobKey
    owner: types.PeerName


@dataclasses.dataclass(frozen=True, slots=True)
class WaiterAnswer:
    """An answer and the waiter that it is for."""

    waiter: jobs.Waiter
    answer: types.JobAnswer


class Forwarding:
    """Forwarded requests that have no answer yet."""

    def __init__(self) -> None:
        self._requests: dict[int, _ForwardedRequest] = {}
        self._next_id = 1

    def __len__(self) -> int:
        return len(self._requests)

    def forward(
        self,
        owner: types.PeerName,
        waiter: jobs.Waiter,
        action: str,
        key: types.JobKey,
        team: str,
        specs: tuple[types.JobSpec, ...] = (),
    ) -> list[object]:
        """Forward a request; :meth:`complete` returns its answer.

        :param action: what the owner shall do, such as ``submit``.
        :param specs: the job to submit; empty for other actions.
        """
        request = self._next_id
        self._next_id += 1
        self._requests[request] = _ForwardedRequest(waiter, key, owner)
        forward = messages.Forward(request, action, key, team, specs)
        return [core.Send(owner, forward)]

    def complete(self, message: messages.Forwarded) -> list[WaiterAnswer]:
        """Remove the request that a message answers.

        :returns: the answer with its waiter; empty if the request was closed.
        """
        forwarded = self._requests.pop(message.request, None)
        if forwarded is None:
            return []
        return [WaiterAnswer(forwarded.waiter, answers.decode(message.answer))]

    def close_requests(self, owner: types.PeerName) -> list[WaiterAnswer]:
        """Remove all requests that were forwarded to a lost owner.

        :returns: the answer "pending" to each of them.
        """
        unanswered = [
            (request, forwarded)
            for request, forwarded in self._requests.items()
            if forwarded.owner == owner
        ]
        reason = "the job's owner can't be reached"
        for request, _ in unanswered:
            del self._requests[request]
        return [
            WaiterAnswer(
                forwarded.waiter, build_pending(forwarded.key, reason, owner)
            )
            for _, forwarded in unanswered
        ]
