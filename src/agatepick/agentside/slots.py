"""Leases of an agent's upstream slots to entries, given as credits.

Load pattern: several entries own jobs at the same time, their demand shifts
within milliseconds, and any of them may need most of the slots.  If entries
had to request a slot before each start, every task would cost a round trip.
If all entries saw every free slot, they would race for the last ones, and
each lost race would cost a start message and a retry.  So every slot is leased
to exactly one entry.  Leases follow demand in max-min shares: no entry gets
more than it can use while another waits, and a burst of one entry doesn't
reduce the equal shares of the others.  Slots without demand are spread
evenly, so that the first tasks of a burst start without a request.

Leases change only while some demand isn't met, or when entries or slots come
or go: a change at every message would cost an ``Offer`` to a second entry per
result.  A slot with a running task moves only when the task ends.  A start
that was sent before a smaller lease arrived is accepted while a slot is free,
and refused otherwise.
"""

import dataclasses

from agatepick.agentside import ledger


@dataclasses.dataclass(slots=True)
class _Lease:
    """The slots leased to one entry, and its running and waiting tasks."""

    credits: int = 0
    running: int = 0
    waiting: int = 0

    @property
    def need(self) -> int:
        """Number of slots that the entry could fill."""
        return self.running + self.waiting


class Slots:
    """The slots of an agent's upstream, and their leases to entries."""

    def __init__(self) -> None:
        self._slots = 0
        self._leases: dict[ledger.EntryId, _Lease] = {}
        self._unleased_running: dict[ledger.EntryId, int] = {}
        self._stale = False

    @property
    def total(self) -> int:
        """Slots of the upstream; 0 while there is no upstream."""
        return self._slots

    @property
    def running(self) -> int:
        """Number of tasks that hold a slot."""
        leased = sum(lease.running for lease in self._leases.values())
        return leased + sum(self._unleased_running.values())

    @property
    def free(self) -> int:
        """Number of free slots; negative while tasks run on removed slots."""
        return self._slots - self.running

    def get_credits(self, entry: ledger.EntryId) -> int:
        """Return the slots leased to an entry, running tasks included."""
        lease = self._leases.get(entry)
        return lease.credits if lease is not None else 0

    def has_running(self, entry: ledger.EntryId) -> bool:
        """Return whether any task of an entry holds a slot."""
        lease = self._leases.get(entry)
        if lease is not None:
            return lease.running > 0
        return entry in self._unleased_running

    def resize(self, slots: int) -> None:
        """Set the upstream's number of slots."""
        self._stale |= slots != self._slots
        self._slots = slots

    def join(self, entry: ledger.EntryId) -> None:
        """Add an entry that may get credits."""
        if entry not in self._leases:
            running = self._unleased_running.pop(entry, 0)
            self._leases[entry] = _Lease(running=running)
            self._stale = True

    def leave(self, entry: ledger.EntryId) -> None:
        """Withdraw an entry's credits; its tasks keep their slots."""
        lease = self._leases.pop(entry, None)
        if lease is not None:
            self._stale = True
            if lease.running:
                self._unleased_running[entry] = lease.running

    def set_demand(self, entry: ledger.EntryId, waiting: int) -> None:
        """Set the number of tasks for which an entry requests more slots."""
        lease = self._leases.get(entry)
        if lease is not None:
            lease.waiting = waiting

    def acquire(self, entry: ledger.EntryId) -> None:
        """Acquire a slot for a task of an entry."""
        lease = self._leases.get(entry)
        if lease is not None:
            lease.running += 1
        else:
            self._unleased_running[entry] = (
                self._unleased_running.get(entry, 0) + 1
            )

    def release(self, entry: ledger.EntryId) -> None:
        """Release the slot of a task of an entry."""
        lease = self._leases.get(entry)
        if lease is not None:
            lease.running -= 1
            return
        self._unleased_running[entry] -= 1
        if not self._unleased_running[entry]:
            del self._unleased_running[entry]

    def rebalance(self) -> list[ledger.EntryId]:
        """Recompute the leases if they are out of date or demand isn't met.

        :returns: the entries whose credits changed.
        """
        unmet = any(
            lease.credits < lease.need for lease in self._leases.values()
        )
        if not unmet and not self._stale:
            return []
        self._stale = False
        shares = self._compute_shares()
        changed = []
        for name, lease in self._leases.items():
            if lease.credits != shares[name]:
                lease.credits = shares[name]
                changed.append(name)
        return changed

    def _compute_shares(self) -> dict[ledger.EntryId, int]:
        # Running tasks keep their slots even above their entry's fair share.
        shares = {name: lease.running for name, lease in self._leases.items()}
        remaining = (
            self._slots
            - sum(shares.values())
            - sum(self._unleased_running.values())
        )
        needs = {name: lease.need for name, lease in self._leases.items()}
        remaining = _fill_lowest(shares, needs, remaining)
        limits = {name: self._slots for name in self._leases}
        _fill_lowest(shares, limits, remaining)
        return shares


def _fill_lowest(
    shares: dict[ledger.EntryId, int],
    limits: dict[ledger.EntryId, int],
    remaining: int,
) -> int:
    """Add free slots one by one to the lowest share that is below its limit.

    :param remaining: number of free slots.
    :returns: number of slots that remain free.
    """
    while remaining > 0:
        below = [name for name in shares if shares[name] < limits[name]]
        if not below:
            return remaining
        shares[min(below, key=shares.__getitem__)] += 1
        remaining -= 1
    return remaining
