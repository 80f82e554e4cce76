"""Where a job is: asked before its first start, and told to who asks.

Load pattern: a request is held up by a cut, and arrives seconds after its
caller has submitted the job at another entry.  Each entry knows its own jobs
alone, so the tasks would run twice until the caller's end arrives too.  So
does a job whose caller's connection was lost at the caller's side only.

Each job's key has a home among the other entries, which remembers for some
seconds who has the job.  An entry asks it before the first start; a job that
another entry has is followed there (:mod:`~agatepick.repeatable.following`).
This is no agreement: where the home doesn't answer within milliseconds, the
job starts all the same.
"""

import dataclasses
import typing

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import homes
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import recent
from agatepick import types

RESEND_SECONDS = 0.015
"""Time after which a request without an answer is sent once more, as datagrams
are lost occasionally."""

FRESH_SECONDS = 1.2
"""Age below which a request can't have been held up until its caller came
again elsewhere, 1.3 s after it lost the answer: its job isn't waited for."""

MEMORY_SECONDS = 15.0
"""Time for which a home remembers who has a job, unless told again."""

RENEW_SECONDS = 5.0
"""Pause after which a home is told again of a job that isn't answered."""

MAX_REMEMBERED = 20_000
"""Largest number of jobs that a home remembers."""

Release = typing.Callable[[owned_jobs.OwnedJob, float], list[object]]
"""Function that lets a job's tasks start."""

Elsewhere = typing.Callable[[owned_jobs.OwnedJob, str, float], list[object]]
"""Function that handles a job which the entry at an address has."""

HasJob = typing.Callable[[types.JobKey, str, float], bool]
"""Function that returns whether this entry has a job that the entry at an
address hasn't, or knows its answer."""


@dataclasses.dataclass(slots=True)
class _Search:
    """A job whose home was asked.

    :ivar first: number of the first request.
    :ivar awaited: home whose answer is awaited.
    :ivar former: address of an entry that had the job.
    """

    job: owned_jobs.OwnedJob
    first: int
    awaited: str
    former: str
    asked_at: float
    resent: bool = False


class Locating:
    """One entry's questions about its jobs, and its answers as a home.

    :param peers: the other entries.
    :param has_job: tells whether this entry has a job.
    :param release: called for a job that no other entry has.
    :param elsewhere: called for a job that another entry has.
    """

    def __init__(
        self,
        peers: homes.Homes,
        has_job: HasJob,
        release: Release,
        elsewhere: Elsewhere,
    ) -> None:
        self._homes = peers
        self._has_job = has_job
        self._release = release
        self._elsewhere = elsewhere
        self._number = 0
        self._searches: dict[types.JobKey, _Search] = {}
        self._told_at: dict[types.JobKey, float] = {}
        self._renew_at = 0.0
        self._holders: recent.Recent[types.JobKey, str] = recent.Recent(
            MEMORY_SECONDS, MAX_REMEMBERED
        )

    # As the entry that a caller's request reached

    def locate(
        self, job: owned_jobs.OwnedJob, now: float, *, former: str = ''
    ) -> list[object]:
        """Ask a job's home before the job's first start.

        :param former: address of an entry that had the job.
        """
        key = job.spec.key
        if former:
            job.former_entries.add(former)
        holder = self._get_holder(job, now)
        if holder:
            return self._elsewhere(job, holder, now)
        choice = self._homes.choose(key, now)
        if not choice.awaited:
            return self._release(job, now)
        first = self._number + 1
        search = _Search(job, first, choice.awaited, former, now)
        self._searches[key] = search
        self._record_told(key, now)
        asked = [self._ask(search, one, now) for one in choice.addresses]
        return [*asked, core.WakeAt(now + RESEND_SECONDS)]

    def tell(self, job: owned_jobs.OwnedJob, now: float) -> list[object]:
        """Let a job start at once, and tell its home who has it."""
        holder = self._get_holder(job, now)
        if holder:
            return self._elsewhere(job, holder, now)
        key = job.spec.key
        # The job may be answered at once, which forgets it.
        self._record_told(key, now)
        return [*self._release(job, now), *self._tell(key, now)]

    def _get_holder(self, job: owned_jobs.OwnedJob, now: float) -> str:
        """Return who has a job whose home is this entry itself, if known."""
        known = self._holders.get(job.spec.key, now)
        if known is None or known[1] in job.former_entries:
            return ''
        return known[1]

    def _tell(self, key: types.JobKey, now: float) -> list[object]:
        """Tell a job's home that this entry has it."""
        message = messages.FindJob(0, key)
        choice = self._homes.choose(key, now)
        return [
            self._homes.ask(address, message, now)
            for address in choice.addresses
        ]

    def _record_told(self, key: types.JobKey, now: float) -> None:
        """Record a job as the one that was told last."""
        self._told_at.pop(key, None)
        self._told_at[key] = now

    def forget(self, key: types.JobKey) -> None:
        """Forget a job that is answered."""
        self._searches.pop(key, None)
        self._told_at.pop(key, None)

    def handle_answer(
        self, address: str, message: messages.FindAnswer, now: float
    ) -> list[object]:
        """Handle what another entry said of a job."""
        search = self._searches.get(message.job)
        if search is None or message.number < search.first:
            return []
        holder = address if message.here else message.holder
        if holder and holder not in search.job.former_entries:
            del self._searches[message.job]
            return self._elsewhere(search.job, holder, now)
        if holder and holder != search.former:
            # The home is told that this one has it no longer either.
            search.former = holder
            return [self._ask(search, address, now)]
        if address != search.awaited:
            return []
        del self._searches[message.job]
        return self._release(search.job, now)

    def check(self, now: float) -> list[object]:
        """Ask again, go on without an answer, and tell of jobs that last."""
        effects: list[object] = []
        for address in self._homes.find_lost(now):
            effects.append(core.note('entry_unanswered', peer=address))
        for search in list(self._searches.values()):
            effects += self._review(search, now)
        effects += self._renew(now)
        for address in self._homes.find_to_probe(now):
            effects.append(core.SendDatagram(address, messages.FindJob(0, '')))
        return effects

    def _review(self, search: _Search, now: float) -> list[object]:
        if now >= search.asked_at + homes.ANSWER_SECONDS:
            return self._go_on(search, now)
        if search.resent:
            return []
        if now < search.asked_at + RESEND_SECONDS:
            return [core.WakeAt(search.asked_at + RESEND_SECONDS)]
        search.resent = True
        # The next one may know the job, if this one is lost to others too.
        next_one = self._homes.choose(
            search.job.spec.key, now, instead_of=search.awaited
        )
        asked = [
            self._ask(search, address, now)
            for address in (search.awaited, *next_one.addresses)
        ]
        answer_at = search.asked_at + homes.ANSWER_SECONDS
        return [*asked, core.WakeAt(answer_at)]

    def _go_on(self, search: _Search, now: float) -> list[object]:
        """Let a job start whose home doesn't answer."""
        key = search.job.spec.key
        del self._searches[key]
        note = core.note('job_unlocated', job=key, peer=search.awaited)
        return [note, *self._release(search.job, now)]

    def _renew(self, now: float) -> list[object]:
        """Tell the homes of jobs again that are older than the pause."""
        if now < self._renew_at:
            return []
        # Jobs that are told from now on are due no earlier.
        self._renew_at = now + RENEW_SECONDS
        due: list[types.JobKey] = []
        for key, told_at in self._told_at.items():
            if now < told_at + RENEW_SECONDS:
                # The others were told later.
                self._renew_at = told_at + RENEW_SECONDS
                break
            due.append(key)
        effects: list[object] = []
        for key in due:
            self._record_told(key, now)
            effects += self._tell(key, now)
        return effects

    def _ask(
        self, search: _Search, address: str, now: float
    ) -> core.SendDatagram:
        self._number += 1
        message = messages.FindJob(
            self._number, search.job.spec.key, search.former
        )
        return self._homes.ask(address, message, now)

    # As the home of a job

    def answer(
        self, address: str, message: messages.FindJob, now: float
    ) -> list[object]:
        """Answer who has a job; if nobody has, the asker has it from now."""
        key = message.job
        here = self._has_job(key, address, now)
        if key in self._searches:
            # Both ask at the same moment: one of them has it.
            here = here and self._homes.precedes(address)
        holder = ''
        if key and not here:
            holder = self._find_holder(address, message, now)
        answer = messages.FindAnswer(message.number, key, holder, here)
        return [core.SendDatagram(address, answer)]

    def _find_holder(
        self, address: str, message: messages.FindJob, now: float
    ) -> str:
        found = self._holders.get(message.job, now)
        if found is not None and found[1] not in (address, message.former):
            return found[1]
        self._holders.add(message.job, address, now)
        return ''
