"""Which entry an agent reports a task to when its owner has been removed.

An entry that was removed from the cluster's configuration has no right to
start anything from that instant on.  Its jobs pass to the entries that own
their keys now; those can only give true answers once every agent has told
them what it started, so each heir gets reports and then a message marked as
the last.  All of it is told again after each change of the members, since
an heir may itself be removed: taking a report twice changes nothing.
"""

import collections.abc
import dataclasses

from agatepick.agentside import ledger
from agatepick.agentside import outbox
from agatepick.net import messages
from agatepick.owning import ownership
from agatepick import types


class Successors:
    """The cluster's members as an agent knows them.

    :param skew: how far ahead of a clock a job's key may be stamped.
    """

    def __init__(self, skew: float):
        self._skew = skew
        self._version = -1
        self._members: tuple[messages.Member, ...] = ()
        self._removed: dict[ledger.Owner, float] = {}
        self._lost: frozenset[ledger.Owner] = frozenset()
        self._changed = False

    def take(self, message: messages.Members) -> bool:
        """Take the members; whether they are newer than those known."""
        if message.version <= self._version:
            return False
        self._version = message.version
        self._members = message.entries
        self._removed = {
            _owner(one): one.removed_at
            for one in sorted(message.entries, key=lambda one: one.removed_at)
            if one.removed_at
        }
        self._changed = True
        return True

    def advance(self, now: float) -> bool:
        """Note which removals are in force; whether heirs are to be told."""
        lost = frozenset(
            owner for owner, at in self._removed.items() if at <= now
        )
        changed = self._changed or lost != self._lost
        self._lost = lost
        self._changed = False
        return changed

    def listed(self) -> list[messages.Member]:
        """The members that are listed."""
        return [one for one in self._members if not one.removed_at]

    def lost(self, owner: ledger.Owner) -> bool:
        """Whether an entry's removal is in force."""
        return owner in self._lost

    def current(
        self, job: types.JobKey, owner: ledger.Owner
    ) -> ledger.Owner | None:
        """The entry to report a job to; ``None`` if there is none."""
        if owner not in self._lost:
            return owner
        heir = ownership.owner(job, self._members, self._skew)
        return _owner(heir) if heir is not None else None

    def orphans(
        self, heir: ledger.Owner, record: ledger.Ledger
    ) -> collections.abc.Iterator[messages.Orphans]:
        """What an heir must know of the tasks of removed entries.

        In the order of their removal: when the last message on one of them
        has come, so have all those on its own former owners.
        """
        if heir not in {_owner(one) for one in self.listed()}:
            return
        for lost in self._removed:
            if lost not in self._lost:
                continue
            reports = [
                report
                for report in record.started_for(lost)
                if self.current(report.job, lost) == heir
            ]
            message = messages.Orphans(lost.name, lost.incarnation, (), False)
            for batch in outbox.batches(reports):
                yield dataclasses.replace(message, reports=batch)
            yield dataclasses.replace(message, last=True)


def _owner(member: messages.Member) -> ledger.Owner:
    return ledger.Owner(member.name, member.incarnation)
