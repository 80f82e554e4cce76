"""Messages of an agent to entries: task reports and offers of slots.

A report is sent to the owner of its job while the owner is connected.  A
report that can't be sent stays in the ledger: the owner requests it in a
``Settle`` message after reconnecting, or its successor receives it in an
``Orphans`` message after the owner's removal.
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
    """Reports and offers that wait to be sent.

    :param delay: longest time that a report is held for batching, in seconds.
    """

    def __init__(
        self,
        incarnation: int,
        delay: float,
        task_ledger: ledger.Ledger,
        leases: slots.Slots,
        peers: entries.Entries,
        members: successors.Successors,
    ):
        self._incarnation = incarnation
        self._ledger = task_ledger
        self._slots = leases
        self._entries = peers
        self._successors = members
        self._outbox = outbox.Outbox(delay)
        self._undelivered: set[ledger.EntryId] = set()
        self._offer_to: set[ledger.EntryId] = set()

    def join(self, entry: entries.ConnectedEntry) -> None:
        """Start giving credits to an entry."""
        entry.joined = True
        self._slots.join(entry.owner)
        self._offer_to.add(entry.owner)

    def leave(self, entry: entries.ConnectedEntry) -> None:
        """Stop giving credits to an entry that disconnected or was removed."""
        entry.joined = False
        self._slots.leave(entry.owner)
        self._offer_to.discard(entry.owner)
        if self._outbox.discard(entry.owner):
            self._undelivered.add(entry.owner)

    def offer_all(self) -> None:
        """Schedule an offer to every entry because the upstream changed."""
        self._offer_to.update(
            entry.owner for entry in self._entries if entry.joined
        )

    def has_undelivered(self) -> bool:
        """Return whether any owner that isn't removed has yet to get reports.

        These are reports that couldn't be sent while it was disconnected.
        """
        return any(
            not self._successors.is_removed(owner)
            for owner in self._undelivered
        )

    def clear_undelivered(self, owner: ledger.EntryId) -> None:
        """Clear an owner's undelivered reports, requested by ``Settle``."""
        self._undelivered.discard(owner)

    def next_due_at(self) -> float | None:
        """Return the instant at which the next reports are due.

        :returns: ``None`` if no report is queued.
        """
        return self._outbox.next_due_at()

    def report_now(
        self, owner: ledger.EntryId, report: messages.TaskReport
    ) -> None:
        """Queue a report, due at once, for an owner that sent a request."""
        self._queue_report(owner, report)
        self._outbox.make_due(owner)

    def report_end(self, report: messages.TaskReport | None) -> None:
        """Report a task's end to the current owner of its job.

        :param report: ``None`` if there is nothing to report.
        """
        if report is None:
            return
        first = self._ledger.get_owner(report.job)
        assert first is not None
        owner = self._successors.get_current_owner(report.job, first)
        if owner is None:
            return
        self._queue_report(owner, report)
        if not self._slots.has_running(owner):
            self._outbox.make_due(owner)

    def report_lost(
        self, tasks: list[running.RunningTask], reason: str, now: float
    ) -> None:
        """Report tasks as lost whose outcome can no longer be determined."""
        lost = types.TaskState.LOST
        for task in tasks:
            self.report_end(
                self._ledger.end(task.job, task.index, lost, now, b'', reason)
            )

    def build_orphans(self, entry: entries.ConnectedEntry) -> list[object]:
        """Return the messages to an entry on tasks of removed entries."""
        return [
            core.Send(entry.owner.name, message)
            for message in self._successors.iter_orphans(
                entry.owner, self._ledger
            )
        ]

    def flush(
        self, upstream_state: running.UpstreamState, draining: bool, now: float
    ) -> list[object]:
        """Return the messages with due reports and changed leases.

        A changed lease is sent together with queued reports if there are any,
        otherwise in an ``Offer``.
        """
        changed = set(self._slots.rebalance())
        for owner in changed:
            self._outbox.make_due(owner)
        effects: list[object] = []
        for owner in self._outbox.list_due(now):
            changed.discard(owner)
            credits = self._slots.get_credits(owner)
            for reports in self._outbox.pop(owner, now):
                results = messages.Results(self._incarnation, credits, reports)
                effects.append(core.Send(owner.name, results))
        for owner in sorted(changed | self._offer_to, key=lambda o: o.name):
            offer = self._build_offer(owner, upstream_state, draining)
            effects.append(core.Send(owner.name, offer))
        self._offer_to.clear()
        return effects

    def _queue_report(
        self, owner: ledger.EntryId, report: messages.TaskReport
    ) -> None:
        if self._entries.is_connected(owner):
            self._outbox.add(owner, report)
        else:
            self._undelivered.add(owner)

    def _build_offer(
        self,
        owner: ledger.EntryId,
        upstream_state: running.UpstreamState,
        draining: bool,
    ) -> messages.Offer:
        announced = upstream_state.announced
        return messages.Offer(
            self._incarnation,
            self._slots.get_credits(owner),
            self._slots.total,
            announced.kinds if announced is not None else (),
            announced.capacity if announced is not None else types.Needs(),
            draining,
        )
