"""One job, wherever its requests arrive: the parts of one entry together."""

import typing

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import cancelling
from agatepick.repeatable import events
from agatepick.repeatable import following
from agatepick.repeatable import homes
from agatepick.repeatable import jobs
from agatepick.repeatable import locating
from agatepick.repeatable import outcomes
from agatepick.repeatable import owned_jobs
from agatepick import types

_Handler = typing.Callable[[str, typing.Any, float], list[object]]


class Whereabouts:
    """Whether another entry has a job, and what it answers.

    :param name: name of this entry.
    :param all_jobs: the jobs that this entry has.
    :param release: called for a job that may be started here.
    :param end_job: answers a job's callers.
    :param cancel_here: cancels a job of this entry.
    :ivar cancels: the cancels that this entry knows of.
    """

    def __init__(
        self,
        name: types.PeerName,
        all_jobs: owned_jobs.Jobs,
        release: locating.Release,
        end_job: outcomes.EndJob,
        cancel_here: cancelling.CancelHere,
    ) -> None:
        self._jobs = all_jobs
        self._homes = homes.Homes(name)
        self._locating = locating.Locating(
            self._homes, self._has_job, release, self._follow
        )
        self._following = following.Following(
            all_jobs,
            self._locating.locate,
            end_job,
            self._homes.get_silent_since,
        )
        self.cancels = cancelling.Cancelling(self._homes, cancel_here)
        self._handlers: dict[type, _Handler] = {
            messages.FindJob: self._locating.answer,
            messages.FindAnswer: self._locating.handle_answer,
            messages.FollowJob: self._following.answer,
            messages.FollowAnswer: self._following.handle_answer,
            messages.CancelJob: self.cancels.handle_request,
            messages.CancelAnswer: self.cancels.handle_answer,
        }

    @property
    def live_entries(self) -> int:
        """Number of the other entries that answer."""
        return self._homes.live_count

    def update_entries(
        self, event: events.EntriesListed, now: float
    ) -> list[object]:
        """Replace the list of entries."""
        self._homes.update(event.entries, now)
        return self._locating.check(now)

    def handle_datagram(
        self, event: core.DatagramReceived, now: float
    ) -> list[object]:
        """Handle a message of another entry."""
        handle = self._handlers.get(type(event.message))
        if handle is None:
            return []
        self._homes.record_heard(event.address)
        return handle(event.address, event.message, now)

    def locate(
        self, job: owned_jobs.OwnedJob, max_age: float, now: float
    ) -> list[object]:
        """Let a job start once it is known that no other entry has it.

        :param max_age: seconds since which its request was sent at most.
        """
        if max_age < locating.FRESH_SECONDS:
            return self._locating.tell(job, now)
        return self._locating.locate(job, now)

    def is_elsewhere(self, key: types.JobKey) -> bool:
        """Return whether another entry has a job."""
        return self._following.is_followed(key)

    def has_follower(self, key: types.JobKey, now: float) -> bool:
        """Return whether another entry's caller waits for a job."""
        return self._following.has_follower(key, now)

    def record_end(
        self, job: owned_jobs.OwnedJob, answer: jobs.Answer, now: float
    ) -> list[object]:
        """Record the answer to a job, and tell its followers."""
        self._locating.forget(job.spec.key)
        return self._following.record_end(job, answer, now)

    def check(self, now: float) -> list[object]:
        """Do what is due."""
        return [
            *self._locating.check(now),
            *self._following.check(now),
            *self.cancels.check(now),
        ]

    def _follow(
        self, job: owned_jobs.OwnedJob, address: str, now: float
    ) -> list[object]:
        # Its tasks may have run, so it is never answered as not run.
        job.elsewhere = True
        return self._following.follow(job, address, now)

    def _has_job(self, key: types.JobKey, asker: str, now: float) -> bool:
        """Return whether this entry has a job that an asker hasn't."""
        if self._jobs.get(key) is None:
            return self._following.knows_answer(key, now)
        return not self._following.is_followed_at(key, asker)
