"""Cancels of jobs, at whichever entries they and the jobs' requests arrive.

Callers whose connection breaks send a request again, to any entry, so a cancel
may reach an entry that doesn't have the job, and a copy of the job's request
may arrive seconds after the cancel.  The entry asks all others, and goes on
with those that are silent: one that stands still would go on with the job when
it wakes.  Each entry remembers what was cancelled.
"""

import dataclasses
import typing

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import events
from agatepick.repeatable import homes
from agatepick.repeatable import recent
from agatepick import types

FIRST_PAUSE_SECONDS = 0.05
"""Pause before an entry without an answer is asked again, while the caller
waits."""

PAUSE_SECONDS = 0.25
"""The same once the caller has its answer."""

ANSWER_SECONDS = 0.75
"""Time after which a caller is told to ask again: the entry that has the job
may be silent."""

KEEP_SECONDS = 20.0
"""Time for which a silent entry is told of a cancel."""

MEMORY_SECONDS = 20.0
"""Time for which an entry remembers what was cancelled."""

MAX_REMEMBERED = 4096
"""Largest number of cancels remembered."""

MAX_PENDING = 512
"""Largest number of cancels that silent entries are told of."""

_Path = tuple[str, str]
"""Host and path of a job."""

CancelHere = typing.Callable[[types.JobKey, str, str, float], list[object]]
"""Function that cancels an open job of this entry by key, host and path; no
effects if it has none."""


@dataclasses.dataclass(slots=True)
class _Pending:
    """A cancel that other entries were asked about.

    :ivar silent: addresses of those that haven't answered.
    :ivar replied: whether the caller has its answer.
    """

    event: events.CancelAsked
    asked_at: float
    ask_at: float
    silent: set[str]
    replied: bool = False


class Cancelling:
    """The cancels that this entry has passed on, and those it knows of.

    :param peers: the other entries.
    :param cancel_here: cancels a job of this entry.
    """

    def __init__(self, peers: homes.Homes, cancel_here: CancelHere) -> None:
        self._homes = peers
        self._cancel_here = cancel_here
        self._pending: dict[int, _Pending] = {}
        # Whether this entry had the job.
        self._cancelled: recent.Recent[_Path, bool] = recent.Recent(
            MEMORY_SECONDS, MAX_REMEMBERED
        )

    def record(
        self, host: str, path: str, now: float, *, here: bool = True
    ) -> bool:
        """Remember that a job was cancelled; return whether it was here.

        :param here: whether this entry has it, if it hasn't had it before.
        """
        known = self._cancelled.get((host, path), now)
        here = here or known is not None and known[1]
        self._cancelled.add((host, path), here, now)
        return here

    def announce(
        self, key: types.JobKey, host: str, path: str, now: float
    ) -> list[object]:
        """Tell the other entries of a job that was cancelled here."""
        message = messages.CancelJob(0, key, host, path)
        return [
            core.SendDatagram(address, message)
            for address in self._homes.get_addresses(now)
        ]

    def was_cancelled(self, host: str, path: str, now: float) -> bool:
        """Return whether a job was cancelled of late."""
        return self._cancelled.get((host, path), now) is not None

    # As the entry that the caller's request reached

    def ask(self, event: events.CancelAsked, now: float) -> list[object]:
        """Ask the other entries for a job."""
        self.record(event.host, event.path, now, here=False)
        pending = _Pending(
            event, now, now, set(self._homes.get_addresses(now))
        )
        if not self._homes.listed:
            return [_reply(pending, events.CancelOutcome.UNKNOWN)]
        if not pending.silent:
            return [_reply(pending, events.CancelOutcome.NO_JOB)]
        self._pending[event.call] = pending
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        return self._ask_silent(pending, now)

    def handle_answer(
        self, address: str, message: messages.CancelAnswer, now: float
    ) -> list[object]:
        """Handle the answer of an entry."""
        pending = self._pending.get(message.number)
        if pending is None:
            return []
        pending.silent.discard(address)
        if not message.found and pending.silent:
            return []
        del self._pending[message.number]
        if pending.replied:
            return []
        outcome = events.CancelOutcome.NO_JOB
        if message.found:
            outcome = events.CancelOutcome.CANCELLED
        return _conclude(pending, outcome)

    def check(self, now: float) -> list[object]:
        """Ask those again that are silent, and answer callers that wait."""
        effects: list[object] = []
        for call, pending in list(self._pending.items()):
            if now >= pending.asked_at + KEEP_SECONDS:
                del self._pending[call]
                continue
            if (
                not pending.replied
                and now >= pending.asked_at + ANSWER_SECONDS
            ):
                effects += _conclude(pending, events.CancelOutcome.UNKNOWN)
            if now >= pending.ask_at:
                effects += self._ask_silent(pending, now)
        return effects

    def _ask_silent(self, pending: _Pending, now: float) -> list[object]:
        pause = PAUSE_SECONDS if pending.replied else FIRST_PAUSE_SECONDS
        pending.ask_at = now + pause
        event = pending.event
        message = messages.CancelJob(
            event.call, event.key, event.host, event.path
        )
        asked = [
            self._homes.ask(address, message, now)
            for address in sorted(pending.silent)
        ]
        return [*asked, core.WakeAt(pending.ask_at)]

    # As another entry

    def handle_request(
        self, address: str, message: messages.CancelJob, now: float
    ) -> list[object]:
        """Cancel a job at the request of another entry."""
        host, path = message.host, message.path
        effects = self._cancel_here(message.job, host, path, now)
        # An answer may be lost, and the request comes again.
        found = self.record(host, path, now, here=bool(effects))
        answer = messages.CancelAnswer(message.number, found)
        return [core.SendDatagram(address, answer), *effects]


def _conclude(
    pending: _Pending, outcome: events.CancelOutcome
) -> list[object]:
    """Answer the caller of a cancel that other entries were asked about."""
    pending.replied = True
    note = core.note(
        'cancel_passed_on',
        job=pending.event.key,
        reason=outcome.value,
        silent=len(pending.silent),
    )
    return [_reply(pending, outcome), note]


def _reply(
    pending: _Pending, outcome: events.CancelOutcome
) -> events.CancelReply:
    return events.CancelReply(pending.event.call, outcome)
