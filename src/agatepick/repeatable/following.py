"""Jobs that another entry has: their callers here get the answer from there.

A job is one job wherever its requests arrive.  The entry that it came to
later asks the one that has it until the answer is there.  The job is started
here if the other has it no longer, or doesn't answer at all: then its runs
end with their leases, as those of an entry that is gone.
"""

import dataclasses
import enum
import typing

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import jobs
from agatepick.repeatable import leases
from agatepick.repeatable import outcomes
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import recent
from agatepick import types

FIRST_ASK_SECONDS = 0.05
"""Pause before an entry that hasn't answered yet is asked again."""

ASK_SECONDS = 0.25
"""Pause between two requests to an entry that answers."""

SILENT_SECONDS = leases.EXPIRY_SECONDS
"""Time without an answer after which the other entry counts as gone: by then
none of its runs is left."""

FOLLOWER_SECONDS = 1.0
"""Time after its last request for which a follower counts as there."""

MEMORY_SECONDS = 15.0
"""Time for which a job's answer is kept for its followers."""

MAX_REMEMBERED = 4096
"""Largest number of answers kept."""

_FINAL = (jobs.Verdict.COMPLETE, jobs.Verdict.FAILED)
"""Answers after which a job isn't run again; nor is it after a cancel."""


CANCELLED = 'cancelled'
"""Reason of the answer to a job that its caller cancelled."""


class Locate(typing.Protocol):
    """Function that asks for a job again."""

    def __call__(
        self, job: owned_jobs.OwnedJob, now: float, *, former: str
    ) -> list[object]:
        """Ask for a job which the entry at an address has no longer."""
        ...


class JobState(enum.StrEnum):
    """State of a job at the entry that is asked.

    ``ENDING``: it was given up, and its runs are being stopped.
    """

    OPEN = 'open'
    ENDING = 'ending'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class _Followed:
    """A job that another entry has.

    :param address: that entry.
    :ivar unanswered_since: instant of the oldest request without an answer.
        Time in which this process stood still, and asked nothing, is no
        silence of the other.
    """

    job: owned_jobs.OwnedJob
    address: str
    ask_at: float
    heard: bool = False
    unanswered_since: float | None = None

    def is_silent(self, now: float) -> bool:
        """Return whether the other entry counts as gone."""
        since = self.unanswered_since
        return since is not None and now >= since + SILENT_SECONDS


class Following:
    """The jobs that are followed elsewhere, and the followers of those here.

    :param all_jobs: the jobs that this entry has.
    :param locate: asks again for a job that the other entry hasn't.
    :param end_job: answers a job's callers.
    :param get_silent_since: returns since when the entry at an address hasn't
        answered any request, if it is lost.
    """

    def __init__(
        self,
        all_jobs: owned_jobs.Jobs,
        locate: Locate,
        end_job: outcomes.EndJob,
        get_silent_since: typing.Callable[[str], float | None],
    ) -> None:
        self._jobs = all_jobs
        self._locate = locate
        self._end_job = end_job
        self._get_silent_since = get_silent_since
        self._followed: dict[types.JobKey, _Followed] = {}
        self._followers: dict[types.JobKey, dict[str, float]] = {}
        self._answers: recent.Recent[types.JobKey, jobs.Answer] = (
            recent.Recent(MEMORY_SECONDS, MAX_REMEMBERED)
        )

    # Jobs that another entry has

    def is_followed(self, key: types.JobKey) -> bool:
        """Return whether another entry has a job."""
        return key in self._followed

    def is_followed_at(self, key: types.JobKey, address: str) -> bool:
        """Return whether the entry at an address has a job."""
        followed = self._followed.get(key)
        return followed is not None and followed.address == address

    def follow(
        self, job: owned_jobs.OwnedJob, address: str, now: float
    ) -> list[object]:
        """Follow a job at the entry that has it."""
        key = job.spec.key
        followed = _Followed(job, address, now)
        followed.unanswered_since = self._get_silent_since(address)
        self._followed[key] = followed
        note = core.note('job_elsewhere', job=key, peer=address)
        return [note, *self._ask(followed, now)]

    def handle_answer(
        self, address: str, message: messages.FollowAnswer, now: float
    ) -> list[object]:
        """Handle what the other entry said of a job."""
        followed = self._followed.get(message.job)
        if followed is None or followed.address != address:
            return []
        followed.heard, followed.unanswered_since = True, None
        if message.state in (JobState.OPEN, JobState.ENDING):
            return []
        if message.state != JobState.ENDED:
            del self._followed[message.job]
            return self._locate(followed.job, now, former=address)
        verdict = jobs.Verdict(message.verdict)
        answer = jobs.Answer(verdict, message.reason, message.retry_after)
        return self._end_job(followed.job, answer, now)

    def _ask(self, followed: _Followed, now: float) -> list[object]:
        pause = ASK_SECONDS if followed.heard else FIRST_ASK_SECONDS
        followed.ask_at = now + pause
        if followed.unanswered_since is None:
            followed.unanswered_since = now
        message = messages.FollowJob(followed.job.spec.key)
        return [
            core.SendDatagram(followed.address, message),
            core.WakeAt(followed.ask_at),
        ]

    def check(self, now: float) -> list[object]:
        """Ask again, and end jobs that neither a caller nor an entry wants."""
        effects: list[object] = []
        for key, followed in list(self._followed.items()):
            if followed.is_silent(now):
                del self._followed[key]
                effects.append(
                    core.note('holder_silent', job=key, peer=followed.address)
                )
                # Its home is told that the job is here now.
                effects += self._locate(
                    followed.job, now, former=followed.address
                )
            elif now >= followed.ask_at:
                effects += self._ask(followed, now)
        for key in list(self._followers):
            effects += self._review_followers(key, now)
        return effects

    # Jobs of this entry

    def answer(
        self, address: str, message: messages.FollowJob, now: float
    ) -> list[object]:
        """Answer what is known of a job."""
        key = message.job
        job = self._jobs.get(key)
        known = self._answers.get(key, now)
        state = JobState.UNKNOWN
        if job is not None and not job.answered:
            state = JobState.OPEN
            self._followers.setdefault(key, {})[address] = now
        elif known is not None:
            return [core.SendDatagram(address, _make_end(key, known[1]))]
        elif job is not None:
            state = JobState.ENDING
        answer = messages.FollowAnswer(key, state.value)
        return [core.SendDatagram(address, answer)]

    def knows_answer(self, key: types.JobKey, now: float) -> bool:
        """Return whether a job ended here of late, and isn't run again."""
        return self._answers.get(key, now) is not None

    def has_follower(self, key: types.JobKey, now: float) -> bool:
        """Return whether another entry's caller waits for a job."""
        return any(
            now < asked_at + FOLLOWER_SECONDS
            for asked_at in self._followers.get(key, {}).values()
        )

    def record_end(
        self, job: owned_jobs.OwnedJob, answer: jobs.Answer, now: float
    ) -> list[object]:
        """Record the answer to a job, and tell its followers.

        Where this entry gave the job up, they ask until its runs are over, and
        have it then.
        """
        key = job.spec.key
        self._followed.pop(key, None)
        followers = self._followers.pop(key, {})
        if answer.verdict not in _FINAL and answer.reason != CANCELLED:
            return []
        self._answers.add(key, answer, now)
        return [
            core.SendDatagram(address, _make_end(key, answer))
            for address in followers
        ]

    def _review_followers(self, key: types.JobKey, now: float) -> list[object]:
        if self.has_follower(key, now):
            return []
        self._followers.pop(key)
        job = self._jobs.get(key)
        if job is None or job.answered or job.calls:
            return []
        answer = jobs.Answer(jobs.Verdict.CANCELLED, 'caller_left')
        return self._end_job(job, answer, now)


def _make_end(key: types.JobKey, answer: jobs.Answer) -> messages.FollowAnswer:
    return messages.FollowAnswer(
        key,
        JobState.ENDED.value,
        answer.verdict.value,
        answer.reason,
        answer.retry_after,
    )
