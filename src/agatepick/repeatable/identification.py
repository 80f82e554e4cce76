"""Whose announcements are acted on.

Load pattern: anybody may call the address at which a worker announces itself,
and an announcement may be delayed until its sender is gone.  If each were
believed, one that names another worker would end all runs here, or leave the
agent with a worker that doesn't exist.

The worker at its own address is the only witness: it answers requests under
its own id alone, and its lists say when it was born.  An announcement of the
incarnation that requests are sent to is acted on at once.  Any other is held
until the worker has answered under that name; meanwhile all goes on as before.
"""

import dataclasses
import typing

from agatepick import core
from agatepick.repeatable import workerapi

RETRY_SECONDS = 0.15
"""Pause before a worker that gave no answer is asked again: one request in
twenty may get none."""

ANSWER_SECONDS = 1.0
"""Time after which an answer is no longer expected."""

HOLD_SECONDS = 2.0
"""Time for which an announcement is held: by then there is a newer one."""

MAX_HELD = 8
"""Largest number of announcements held, so that one of the worker's own isn't
displaced by those of others at once."""


class Controller(typing.Protocol):
    """What is known of the worker that requests are sent to."""

    @property
    def description(self) -> workerapi.WorkerAnnounced | None:
        """Its last announcement, if it may get runs."""
        ...

    def addresses(self, incarnation: str) -> bool:
        """Return whether requests are sent to an incarnation."""
        ...

    def choose_epoch(self, born: int, now: float) -> int:
        """Return the epoch of a request to an incarnation."""
        ...

    def raise_epoch(self) -> list[object]:
        """Raise the epoch, as the worker has seen a higher one."""
        ...

    def handle_announcement(
        self, event: workerapi.WorkerAnnounced, now: float
    ) -> list[object]:
        """Handle an announcement of the worker."""
        ...

    def expect_successor(self) -> None:
        """Expect that another worker may have taken its place."""
        ...

    def end_expectation(self) -> None:
        """Expect no other worker any more."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    """An announcement whose sender isn't known to be the worker.

    :param at: instant at which it arrived.
    """

    event: workerapi.WorkerAnnounced
    at: float


class Identification:
    """Decides which announcements reach the controller of the runs.

    :ivar pools: pools that the desired state names; ``None`` before it is
        read.  Nothing may start at a worker of another one.
    """

    def __init__(self, controller: Controller) -> None:
        self._controller = controller
        self.pools: frozenset[str] | None = None
        self._held: dict[str, _Held] = {}
        self._asked = ''
        self._ask_at = 0.0

    def handle_announcement(
        self, event: workerapi.WorkerAnnounced, now: float
    ) -> list[object]:
        """Act on an announcement, hold it, or ignore it."""
        if event.sequence == workerapi.NOT_ANNOUNCED:
            # The worker has answered to what an earlier process stored.
            return self._controller.handle_announcement(event, now)
        if self._controller.addresses(event.incarnation):
            return self._handle_addressed(event, now)
        if self.pools is not None and event.pool not in self.pools:
            return [_note_ignored(event, 'pool')]
        return self._hold(event, now)

    def _handle_addressed(
        self, event: workerapi.WorkerAnnounced, now: float
    ) -> list[object]:
        """Handle an announcement under the name that requests are sent to."""
        known = self._controller.description
        if known is not None:
            # A worker stays in its pool for as long as it lives.
            named = known.pool == event.pool
        elif self.pools is None:
            return self._hold(event, now)
        else:
            named = event.pool in self.pools
        if not named:
            return [_note_ignored(event, 'pool')]
        return self._controller.handle_announcement(event, now)

    def _hold(
        self, event: workerapi.WorkerAnnounced, now: float
    ) -> list[object]:
        former = self._held.pop(event.incarnation, None)
        if former is None:
            self._controller.expect_successor()
        elif former.event.sequence > event.sequence:
            event = former.event
        self._held[event.incarnation] = _Held(event, now)
        if len(self._held) > MAX_HELD:
            del self._held[next(iter(self._held))]
        return self.ask(now)

    def ask(self, now: float) -> list[object]:
        """Ask the worker about the newest announcement that is held."""
        if not self._held or self.pools is None or now < self._ask_at:
            return []
        effects = self._drop_useless(self.pools, now)
        if not self._held:
            self._controller.end_expectation()
            return effects
        event = next(reversed(self._held.values())).event
        self._asked = event.incarnation
        self._ask_at = now + ANSWER_SECONDS
        epoch = self._controller.choose_epoch(event.born, now)
        return [
            *effects,
            workerapi.IdentifyWorker(event.incarnation, epoch),
        ]

    def _drop_useless(self, pools: frozenset[str], now: float) -> list[object]:
        """Drop announcements that are old, or of a pool without a name."""
        effects: list[object] = []
        for name, held in list(self._held.items()):
            if held.event.pool not in pools:
                effects.append(_note_ignored(held.event, 'pool'))
            elif now <= held.at + HOLD_SECONDS:
                continue
            del self._held[name]
        return effects

    def handle_answer(
        self, event: workerapi.WorkerIdentified, now: float
    ) -> list[object]:
        """Handle what the worker answered under an announced name."""
        if event.incarnation != self._asked:
            return []
        self._asked = ''
        self._ask_at = now
        identity = workerapi.Identity
        if event.identity is identity.UNANSWERED:
            self._ask_at = now + RETRY_SECONDS
            return []
        if event.identity is identity.FENCED:
            self._ask_at = now + RETRY_SECONDS
            return self._controller.raise_epoch()
        effects: list[object] = []
        held = self._held.pop(event.incarnation, None)
        if held is not None and event.identity is identity.OTHER:
            effects.append(_note_ignored(held.event, 'other_worker'))
        elif held is not None:
            effects += self._controller.handle_announcement(held.event, now)
        if not self._held:
            self._controller.end_expectation()
        return [*effects, *self.ask(now)]

    def next_due(self) -> float | None:
        """Return the instant at which the worker is asked next."""
        if not self._held or self.pools is None:
            return None
        return self._ask_at


def _note_ignored(event: workerapi.WorkerAnnounced, reason: str) -> core.Note:
    return core.note(
        'announcement_ignored',
        life=event.incarnation,
        pool=event.pool,
        reason=reason,
    )
