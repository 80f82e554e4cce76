"""How an agent leases its upstream's slots to entries, as credits.

Load pattern: several entries own jobs at the same time, their demand shifts
within milliseconds, and any of them may take most of it.  An entry that had
to ask before each start would pay a round trip a task; entries that all saw
every free slot would race for the last ones, and each lost race is a wasted
start message and a retry.  So every slot is leased to exactly one entry.
Leases follow demand in max-min shares: nobody gets more than it can fill
while another waits, and the equal share of each is safe from a neighbour's
burst.  Slots that nobody waits for are spread evenly, so that the first
tasks of a burst start without asking.

A lease moves only for demand that isn't met: shifting on every message would
cost an ``Offer`` to a second entry per result.  A slot that runs a task is
never taken away; it moves when the task ends.  A start that crosses with a
smaller lease is taken all the same while a slot is free, else refused.
"""

import dataclasses

from agatepick.agentside import ledger


@dataclasses.dataclass(slots=True)
class _Lease:
    credits: int = 0
    running: int = 0
    waiting: int = 0

    @property
    def need(self) -> int:
        return self.running + self.waiting


class Slots:
    """Credits of each entry, and what runs."""

    def __init__(self) -> None:
        self._slots = 0
        self._leases: dict[ledger.Owner, _Lease] = {}
        self._gone: dict[ledger.Owner, int] = {}
        self._stale = False

    @property
    def total(self) -> int:
        """Slots of the upstream; 0 while there is none."""
        return self._slots

    @property
    def running(self) -> int:
        """Tasks that hold a slot."""
        leased = sum(one.running for one in self._leases.values())
        return leased + sum(self._gone.values())

    @property
    def free(self) -> int:
        """Slots on which a task could start now; may be below zero."""
        return self._slots - self.running

    def credits(self, entry: ledger.Owner) -> int:
        """Slots that an entry may hold, running tasks included."""
        lease = self._leases.get(entry)
        return lease.credits if lease is not None else 0

    def runs(self, entry: ledger.Owner) -> bool:
        """Whether any task of an entry holds a slot."""
        lease = self._leases.get(entry)
        if lease is not None:
            return lease.running > 0
        return entry in self._gone

    def resize(self, slots: int) -> None:
        """The upstream has another number of slots now."""
        self._stale |= slots != self._slots
        self._slots = slots

    def join(self, entry: ledger.Owner) -> None:
        """An entry may be given credits."""
        if entry not in self._leases:
            running = self._gone.pop(entry, 0)
            self._leases[entry] = _Lease(running=running)
            self._stale = True

    def leave(self, entry: ledger.Owner) -> None:
        """An entry gets no credits; its tasks run on."""
        lease = self._leases.pop(entry, None)
        if lease is not None:
            self._stale = True
            if lease.running:
                self._gone[entry] = lease.running

    def want(self, entry: ledger.Owner, waiting: int) -> None:
        """An entry told how many tasks it can't place."""
        lease = self._leases.get(entry)
        if lease is not None:
            lease.waiting = waiting

    def take(self, entry: ledger.Owner) -> None:
        """A task of an entry starts."""
        lease = self._leases.get(entry)
        if lease is not None:
            lease.running += 1
        else:
            self._gone[entry] = self._gone.get(entry, 0) + 1

    def release(self, entry: ledger.Owner) -> None:
        """A task of an entry ended."""
        lease = self._leases.get(entry)
        if lease is not None:
            lease.running -= 1
            return
        self._gone[entry] -= 1
        if not self._gone[entry]:
            del self._gone[entry]

    def revise(self) -> list[ledger.Owner]:
        """Move leases to where they are needed; entries whose lease changed.

        Nothing moves while every entry's credits cover its need.
        """
        unmet = any(one.credits < one.need for one in self._leases.values())
        if not unmet and not self._stale:
            return []
        self._stale = False
        shares = self._shares()
        changed = []
        for name, lease in self._leases.items():
            if lease.credits != shares[name]:
                lease.credits = shares[name]
                changed.append(name)
        return changed

    def _shares(self) -> dict[ledger.Owner, int]:
        # What runs can't be taken back, also when it is over a fair share.
        shares = {name: one.running for name, one in self._leases.items()}
        left = self._slots - sum(shares.values()) - sum(self._gone.values())
        needs = {name: one.need for name, one in self._leases.items()}
        left = _raise_lowest(shares, needs, left)
        everything = {name: self._slots for name in self._leases}
        _raise_lowest(shares, everything, left)
        return shares


def _raise_lowest(
    shares: dict[ledger.Owner, int],
    limits: dict[ledger.Owner, int],
    left: int,
) -> int:
    """Hand out ``left`` one by one to the lowest share under its limit."""
    while left > 0:
        below = [name for name in shares if shares[name] < limits[name]]
        if not below:
            return left
        shares[min(below, key=shares.__getitem__)] += 1
        left -= 1
    return left
