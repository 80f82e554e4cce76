"""What an agent knows of its worker: its incarnation and its description.

Load pattern: workers crash and start again under their id, at times as another
kind, and others are emptied and taken away.  Requests name the id alone, so an
incarnation is addressed before it has announced itself; if the description of
the former one were used for it, tasks would start on a kind of worker that
their jobs exclude.  A worker that leaves is still addressed, as its runs go on
until its process ends, some seconds later if its message got no answer.
"""

import dataclasses

from agatepick import core
from agatepick.repeatable import speeds
from agatepick.repeatable import stored_capacity
from agatepick.repeatable import workerapi
from agatepick import types

ANNOUNCEMENT_TIMEOUT_SECONDS = 6.0
"""Time without announcements after which a worker counts as gone: three
announcements at 1.5 s each, and some spare time."""


EPOCH_STEP = 60_000
"""Step by which the epoch is raised after the worker has seen a higher one.
Epochs follow the time of day in milliseconds, which may jump back by seconds.
"""


class WorkerState:
    """The worker beside one agent.

    :param usual_speed: estimate of its usual speed, which is persisted with
        its description.
    :param guarded: whether its capacity may change while it runs.
    :ivar incarnation: the incarnation that requests are sent to; empty if
        there is none.
    :ivar description: its last announcement; ``None`` if it has sent none, and
        for a worker that is leaving.  Only a described worker gets runs.
    :ivar leaving: whether it has said that it exits.
    :ivar epoch: number of all orders to the incarnation.  It rises with each
        one, and a worker carries out no order with a lower number than it has
        seen: an order that is late by seconds could start a run at the next
        incarnation beside its successor elsewhere.
    """

    def __init__(
        self, usual_speed: speeds.UsualSpeed, guarded: bool = False
    ) -> None:
        self._usual_speed = usual_speed
        self._stored_capacity = (
            stored_capacity.StoredCapacity() if guarded else None
        )
        self.incarnation = ''
        self._last_incarnation = ''
        self.epoch = 0
        self._asked_epoch = 0
        self._epoch_incarnation = ''
        self.description: workerapi.WorkerAnnounced | None = None
        self.leaving = False
        self._born = 0
        self._announced_at = 0.0
        self._persisted = workerapi.PersistWorker(None)

    @property
    def draining(self) -> bool:
        """Whether it has announced that it will exit."""
        return self.description is not None and self.description.draining

    def addresses(self, incarnation: str) -> bool:
        """Return whether requests are sent to an incarnation."""
        return bool(incarnation) and incarnation == self.incarnation

    def is_outdated(self, event: workerapi.WorkerAnnounced) -> bool:
        """Return whether an announcement was sent before what is known."""
        if event.incarnation == self.incarnation:
            return self.leaving or (
                self.description is not None
                and event.sequence <= self.description.sequence
            )
        if not self.incarnation or self.leaving:
            return False
        # It was sent before the present incarnation started.
        return event.born < self._born

    def record_announcement(
        self, event: workerapi.WorkerAnnounced, now: float
    ) -> list[object]:
        """Record an announcement that isn't outdated."""
        former = self.description
        self.incarnation = event.incarnation
        self._advance_epoch(event.born)
        self.description = event
        self.leaving = False
        self._born = event.born
        self._announced_at = now
        effects: list[object] = []
        if former is None or former.incarnation != event.incarnation:
            self._usual_speed.meet(event)
            effects.append(
                core.note(
                    'worker_up',
                    life=event.incarnation,
                    pool=event.pool,
                    cpu=event.capacity.cpu,
                )
            )
        elif former.draining != event.draining:
            effects.append(
                core.note(
                    'worker_draining',
                    life=event.incarnation,
                    now=event.draining,
                )
            )
        if former is None or former.incarnation != event.incarnation:
            self._reset_stored_capacity()
        return effects + self._persist(event, now)

    def _reset_stored_capacity(self) -> None:
        if self._stored_capacity is not None:
            self._stored_capacity.reset()

    def record_other_incarnation(
        self, event: workerapi.OtherIncarnationAnswered
    ) -> list[object]:
        """Record that another incarnation answers, which isn't described."""
        self.incarnation = event.new_incarnation
        self._advance_epoch(event.born)
        self.description = None
        self.leaving = False
        self._born = event.born
        return [core.note('worker_reborn', life=event.new_incarnation)]

    def _advance_epoch(self, born: int) -> None:
        if self.incarnation != self._epoch_incarnation:
            self._epoch_incarnation = self.incarnation
            self.epoch = max(self.epoch + 1, born)

    def choose_epoch(self, born: int, now: float) -> int:
        """Return the epoch of a request to an incarnation.

        :param born: start of the incarnation, in milliseconds, by its own
            account.  The epoch follows it only while no orders are sent, and
            not far beyond the time of day: it never falls again.
        """
        self._asked_epoch = self.epoch
        if not self.incarnation:
            latest = int(now * 1000.0) + EPOCH_STEP
            self._asked_epoch = max(self.epoch, min(born, latest))
        return self._asked_epoch

    def raise_epoch(self) -> list[object]:
        """Raise the epoch, as the worker has seen a higher one.

        Nobody else sends it orders: a late one to another incarnation, or an
        earlier incarnation of this process, had the higher number.
        """
        self.epoch = max(self.epoch, self._asked_epoch) + EPOCH_STEP
        return [
            core.note('epoch_raised', life=self.incarnation, to=self.epoch)
        ]

    def record_departure(self) -> list[object]:
        """Record that the worker exits; it isn't persisted any more."""
        self.description = None
        self.leaving = True
        self._persisted = workerapi.PersistWorker(None)
        return [
            self._persisted,
            core.note('worker_left', life=self.incarnation),
        ]

    def record_loss(self) -> list[object]:
        """Record that the worker can't be reached any more."""
        self._last_incarnation, self.incarnation = self.incarnation, ''
        self.description = None
        return [core.note('worker_lost', life=self._last_incarnation)]

    def has_lost(self, incarnation: str) -> bool:
        """Return whether an incarnation is the one that was last lost."""
        return not self.incarnation and incarnation == self._last_incarnation

    def is_overdue(self, now: float) -> bool:
        """Return whether the worker's announcements have stopped.

        The time starts anew with each call that returns true.
        """
        if (
            self.description is None
            or now <= self._announced_at + ANNOUNCEMENT_TIMEOUT_SECONDS
        ):
            return False
        self._announced_at = now
        return True

    def record_pause(self, seconds: float) -> None:
        """Leave out the time for which this process stood still."""
        self._announced_at += seconds

    def _persist(
        self, announced: workerapi.WorkerAnnounced, now: float
    ) -> list[object]:
        """Persist the worker for the next incarnation of this process.

        Without this, after a kill or a power loss, the agent would have no
        description of its worker until the next announcement, up to 1.5 s
        later, and callers would reach entries that can't start anything.  A
        draining worker is deleted from the store: the next incarnation must
        not use it.
        """
        persisted = workerapi.PersistWorker(None)
        if not announced.draining:
            persisted = workerapi.PersistWorker(
                dataclasses.replace(
                    announced,
                    sequence=workerapi.NOT_ANNOUNCED,
                    capacity=self._choose_stored(announced.capacity, now),
                ),
                self._usual_speed.persistent,
            )
        if persisted == self._persisted:
            return []
        self._persisted = persisted
        return [persisted]

    def _choose_stored(
        self, announced: types.Needs, now: float
    ) -> types.Needs:
        if self._stored_capacity is None:
            return announced
        return self._stored_capacity.choose(announced, now)
