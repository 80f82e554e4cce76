"""What an agent tells entries: reports on tasks, and the slots they lease.

A report goes to the owner of its job while that is connected.  One that
can't be sent stays in the ledger: its owner asks by ``Settle`` once it is
connected again, and an heir is told by ``Orphans``.
"""

from agatepick.agentside import entries
from agatepick.agentside import ledger
from agatepick.agentside import outbox
from agatepick.agentside import running
from agatepick.agentside import slots
from agatepick import core
from agatepick.net import messages
from agatepick.owning import successors
from agatepick import types


class Reporting:
    """Reports and offers that are to be sent.

    :param delay: seconds that a report waits for others at most.
    """

    def __init__(
        self,
        incarnation: int,
        delay: float,
        record: ledger.Ledger,
        leases: slots.Slots,
        peers: entries.Entries,
        heirs: successors.Successors,
    ):
        self._incarnation = incarnation
        self._ledger = record
        self._slots = leases
        self._entries = peers
        self._successors = heirs
        self._outbox = outbox.Outbox(delay)
        self._owed: set[ledger.Owner] = set()
        self._offer_to: set[ledger.Owner] = set()

    def join(self, entry: entries.Entry) -> None:
        """Give an entry credits from now on."""
        entry.joined = True
        self._slots.join(entry.owner)
        self._offer_to.add(entry.owner)

    def part(self, entry: entries.Entry) -> None:
        """An entry is connected no more, or may start nothing more."""
        entry.joined = False
        self._slots.leave(entry.owner)
        self._offer_to.discard(entry.owner)
        if self._outbox.discard(entry.owner):
            self._owed.add(entry.owner)

    def offer_all(self) -> None:
        """The upstream changed: every entry is to hear of it."""
        self._offer_to.update(one.owner for one in self._entries if one.joined)

    def owes(self) -> bool:
        """Whether an owner that isn't connected has results to ask for."""
        return any(not self._successors.lost(owner) for owner in self._owed)

    def settled(self, owner: ledger.Owner) -> None:
        """An owner has asked for all that it was owed."""
        self._owed.discard(owner)

    def next_at(self) -> float | None:
        """When reports are due next; ``None`` if none wait."""
        return self._outbox.next_at()

    def answer(self, owner: ledger.Owner, report: messages.TaskReport) -> None:
        """Report to an owner that asked, without delay."""
        self._report(owner, report)
        self._outbox.hurry(owner)

    def ended(self, report: messages.TaskReport | None) -> None:
        """Report a task's end to whoever owns its job now."""
        if report is None:
            return
        first = self._ledger.owner(report.job)
        assert first is not None
        owner = self._successors.current(report.job, first)
        if owner is None:
            return
        self._report(owner, report)
        if not self._slots.runs(owner):
            self._outbox.hurry(owner)

    def lost(
        self, tasks: list[running.RunningTask], reason: str, now: float
    ) -> None:
        """Give up tasks whose end nobody will learn."""
        lost = types.TaskState.LOST
        for task in tasks:
            self.ended(
                self._ledger.end(task.job, task.index, lost, now, b'', reason)
            )

    def orphans_for(self, entry: entries.Entry) -> list[object]:
        """What an entry must know of the tasks of removed ones."""
        return [
            core.Send(entry.owner.name, message)
            for message in self._successors.orphans(entry.owner, self._ledger)
        ]

    def due(
        self, at: running.Running, draining: bool, now: float
    ) -> list[object]:
        """Results that are due, and leases that have changed.

        A changed lease rides on results that wait; else it costs an Offer.
        """
        untold = set(self._slots.revise())
        for owner in untold:
            self._outbox.hurry(owner)
        effects: list[object] = []
        for owner in self._outbox.due(now):
            untold.discard(owner)
            credits = self._slots.credits(owner)
            for reports in self._outbox.take(owner, now):
                results = messages.Results(self._incarnation, credits, reports)
                effects.append(core.Send(owner.name, results))
        for owner in sorted(untold | self._offer_to, key=lambda o: o.name):
            offer = self._offer(owner, at, draining)
            effects.append(core.Send(owner.name, offer))
        self._offer_to.clear()
        return effects

    def _report(
        self, owner: ledger.Owner, report: messages.TaskReport
    ) -> None:
        if self._entries.reaches(owner):
            self._outbox.add(owner, report)
        else:
            self._owed.add(owner)

    def _offer(
        self, owner: ledger.Owner, at: running.Running, draining: bool
    ) -> messages.Offer:
        announced = at.announced
        return messages.Offer(
            self._incarnation,
            self._slots.credits(owner),
            self._slots.total,
            announced.kinds if announced is not None else (),
            announced.capacity if announced is not None else types.Needs(),
            draining,
        )
