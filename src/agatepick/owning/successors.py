"""Entries to which an agent reports tasks whose owner has been removed.

An entry that was removed from the cluster's configuration may start no task
once the removal is in force.  Its jobs pass to the entries that own their
keys now, the successors.  A successor can only answer correctly after every
agent has reported the tasks that were started there, so each agent sends its
reports and then a message marked as the last.  Agents send all these messages
again after each change of the members, since a successor may itself be
removed; handling a report twice has no effect.
"""

import collections.abc
import dataclasses

from agatepick.agentside import ledger
from agatepick.agentside import outbox
from agatepick.net import messages
from agatepick.owning import ownership
from agatepick import types


class Successors:
    """The successors of removed entries, as one agent determines them.

    They follow from the newest list of members that the agent has received.

    :param skew: seconds that a job's key may be stamped ahead of a clock.
    """

    def __init__(self, skew: float):
        self._skew = skew
        self._version = -1
        self._members: tuple[messages.Member, ...] = ()
        self._removed_at: dict[ledger.EntryId, float] = {}
        self._in_force: frozenset[ledger.EntryId] = frozenset()
        self._changed = False

    def update_members(self, message: messages.Members) -> bool:
        """Store a list of members unless a newer one is stored.

        :returns: whether the list was stored.
        """
        if message.version <= self._version:
            return False
        self._version = message.version
        self._members = message.entries
        self._removed_at = {
            _get_entry_id(member): member.removed_at
            for member in sorted(
                message.entries, key=lambda member: member.removed_at
            )
            if member.removed_at
        }
        self._changed = True
        return True

    def update_removals(self, now: float) -> bool:
        """Update which entries' removals are in force.

        :returns: whether reports must be sent to the successors again.
        """
        removed = frozenset(
            owner for owner, at in self._removed_at.items() if at <= now
        )
        changed = self._changed or removed != self._in_force
        self._in_force = removed
        self._changed = False
        return changed

    def list_members(self) -> list[messages.Member]:
        """Return the members that haven't been removed."""
        return [member for member in self._members if not member.removed_at]

    def is_removed(self, owner: ledger.EntryId) -> bool:
        """Return whether an entry's removal is in force."""
        return owner in self._in_force

    def get_current_owner(
        self, job: types.JobKey, owner: ledger.EntryId
    ) -> ledger.EntryId | None:
        """Return the entry to report a job to; ``None`` if there is none.

        :param owner: entry for which the job's tasks were started.
        """
        if owner not in self._in_force:
            return owner
        successor = ownership.find_owner(job, self._members, self._skew)
        return _get_entry_id(successor) if successor is not None else None

    def iter_orphans(
        self, successor: ledger.EntryId, task_ledger: ledger.Ledger
    ) -> collections.abc.Iterator[messages.Orphans]:
        """Yield the messages for a successor on tasks of removed entries.

        The messages are in the order of the removals: the last one about an
        entry arrives after all messages about its own predecessors.
        """
        if successor not in {
            _get_entry_id(member) for member in self.list_members()
        }:
            return
        for removed in self._removed_at:
            if removed not in self._in_force:
                continue
            reports = [
                report
                for report in task_ledger.iter_started(removed)
                if self.get_current_owner(report.job, removed) == successor
            ]
            message = messages.Orphans(
                removed.name, removed.incarnation, (), False
            )
            for batch in outbox.split_batches(reports):
                yield dataclasses.replace(message, reports=batch)
            yield dataclasses.replace(message, last=True)


def _get_entry_id(member: messages.Member) -> ledger.EntryId:
    return ledger.EntryId(member.name, member.incarnation)
