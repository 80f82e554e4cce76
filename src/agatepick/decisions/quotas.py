"""Team quotas: how many tasks of a team run at once, over all entries.

Load pattern: one team fills every slot with long tasks.  Fair queueing
orders what waits, but can't take back a slot, so everyone else waits for
those tasks to end; a quota keeps slots for the others.

Each entry owns a static share of a quota.  The team's coordinator, the entry
that rendezvous hashing picks, lends out what others don't need:

* An ask may carry a promise: until that instant the entry stays within its
  grant, and after the grant's end within the smaller of grant and share.
* The coordinator grants an amount until an instant no later than the first
  end of the promises it relies on.  What an entry may run without a promise
  is its static share, and stays reserved for it.
* A grant counts as long as it may be held: until an ask names a later one.

So a lost coordinator doesn't free a quota: loans end with the promises, and
the static shares add up to the quota.  Nor does it freeze one: an entry
promises only while its last ask was answered, and falls back to its static
share when the promise ends.  When entries join or leave, shares and grants
stay as they were for one lease; a new entry has no share until then.

The lease is 4 s: about the time a change of the configuration takes to be
in force, and an idle entry's promises cost one message in 2 s for each team
with a quota.  A change in demand is told at once, at most every
:data:`ASK_EVERY`; who waits for others to give back sees it within
:data:`ACTIVE_RENEW_SECONDS`.
"""

import dataclasses
import typing

import xxhash

from agatepick import core
from agatepick.net import messages

LEASE_SECONDS = 4.0
RENEW_SECONDS = 2.0
ACTIVE_RENEW_SECONDS = 0.5
ASK_EVERY = 0.1
CLOCK_MARGIN = 0.25
MOST_HELD = 8
"""Unconfirmed grants of one entry kept apart before they are merged."""


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Who shares the quotas.

    :param quotas: tasks at once, by team.
    :param entries: names of the listed entries.
    """

    quotas: typing.Mapping[str, int]
    entries: tuple[str, ...]

    def coordinator(self, team: str) -> str:
        """The entry that lends a team's quota."""
        return max(self.entries, key=lambda name: _weight(team, name))

    def share(self, team: str, name: str) -> int:
        """An entry's static share of a team's quota."""
        if name not in self.entries:
            return 0
        share, rest = divmod(self.quotas.get(team, 0), len(self.entries))
        order = sorted(
            self.entries,
            key=lambda other: _weight(team, other),
            reverse=True,
        )
        return share + (1 if order.index(name) < rest else 0)


def _weight(team: str, name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f'{team}\0{name}'.encode()), name


@dataclasses.dataclass(frozen=True, slots=True)
class _Loan:
    """What a coordinator knows of one entry's use of one quota.

    :param held: grants that the entry may hold, oldest first.
    :param promise: end of its promise, by its own clock.
    """

    want: int
    running: int
    promise: float
    held: tuple[messages.QuotaGrant, ...]

    def relied_until(self) -> float:
        """End of the promise for lending, clock margins taken off."""
        return self.promise - 2 * CLOCK_MARGIN

    def reserved(self, share: int, now: float) -> int:
        """Most tasks that the entry may run now."""
        amount = max(
            (
                grant.amount
                if now < grant.until + CLOCK_MARGIN
                else min(grant.amount, share)
                for grant in self.held
            ),
            default=0,
        )
        if now >= self.relied_until():
            amount = max(amount, share)
        return max(amount, self.running)

    def confirmed(self, until: float) -> tuple[messages.QuotaGrant, ...]:
        """Grants that may be held, now that one is known to have come."""
        ends = [grant.until for grant in self.held]
        if until in ends:
            return self.held[ends.index(until) :]
        if len(self.held) < MOST_HELD:
            return self.held
        most = max(grant.amount for grant in self.held)
        last = self.held[-1]
        return (dataclasses.replace(last, amount=most, until=max(ends)),)


class Lender:
    """The coordinator's side: lends each quota to the entries."""

    def __init__(self) -> None:
        self._loans: dict[str, dict[str, _Loan]] = {}

    def clear(self) -> None:
        """Forget all loans; they must have run out before the next."""
        self._loans.clear()

    def lend(
        self, layout: Layout, peer: str, ask: messages.QuotaAsk, now: float
    ) -> messages.QuotaGrant:
        """The grant for an ask."""
        team = ask.team
        loans = self._loans.setdefault(team, {})
        others = [name for name in layout.entries if name != peer]
        old = loans.get(peer)
        held = old.confirmed(ask.held_until) if old else ()
        loans[peer] = _Loan(ask.want, ask.running, ask.promise, held)
        taken = sum(self._reserved(layout, team, one, now) for one in others)
        room = max(0, layout.quotas[team] - taken)
        amount = min(room, self._fair_amount(layout, team, peer, now))
        until = min(
            [
                now + LEASE_SECONDS,
                *[
                    loans[name].relied_until()
                    for name in others
                    if name in loans and now < loans[name].relied_until()
                ],
            ]
        )
        grant = messages.QuotaGrant(team, amount, until)
        loans[peer] = dataclasses.replace(loans[peer], held=(*held, grant))
        return grant

    def _reserved(
        self, layout: Layout, team: str, name: str, now: float
    ) -> int:
        share = layout.share(team, name)
        loan = self._loans[team].get(name)
        return loan.reserved(share, now) if loan else share

    def _fair_amount(
        self, layout: Layout, team: str, peer: str, now: float
    ) -> int:
        """Max-min fair amount of an entry, with half of what is spare."""
        pool = layout.quotas[team]
        wants: list[tuple[int, str]] = []
        for name in layout.entries:
            loan = self._loans[team].get(name)
            if name == peer or (loan and now < loan.relied_until()):
                wants.append((loan.want if loan else 0, name))
            else:
                pool -= layout.share(team, name)
        amount = 0
        for place, (want, name) in enumerate(sorted(wants)):
            equal = max(0, pool) // (len(wants) - place)
            got = min(want, equal)
            pool -= got
            if name == peer:
                amount = got
        return amount + max(0, pool) // (2 * len(wants))


class _Team:
    """An entry's own side of one team's quota."""

    __slots__ = (
        'running',
        'want',
        'grant',
        'promise',
        'asked_at',
        'asked',
        'answered',
    )

    def __init__(self, team: str) -> None:
        self.running = 0
        self.want = 0
        self.grant = messages.QuotaGrant(team, 0, 0.0)
        self.promise = 0.0
        self.asked_at = float('-inf')
        self.asked = 0
        self.answered = False


class Quotas:
    """One entry's part in all team quotas: holder and coordinator."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._layout = Layout({}, (name,))
        self._old = self._layout
        self._changed_at = float('-inf')
        self._teams: dict[str, _Team] = {}
        self._lender = Lender()

    def configure(
        self,
        quotas: typing.Mapping[str, int],
        entries: tuple[str, ...],
        now: float,
    ) -> None:
        """Take over quotas and entries of the configuration in force."""
        layout = Layout(dict(quotas), entries)
        if set(entries) != set(self._layout.entries):
            self._old = self._layout
            self._changed_at = now
            self._lender.clear()
        self._layout = layout

    def limited(self, team: str) -> bool:
        """Whether a team has a quota."""
        return team in self._layout.quotas

    def allowed(self, team: str, now: float) -> int:
        """Tasks of a team with a quota that this entry may run at once."""
        layout = self._old if self._is_settling(now) else self._layout
        quota = self._layout.quotas[team]
        share = min(layout.share(team, self._name), quota)
        known = self._teams.get(team)
        if known is None or not known.grant.until:
            return share
        if now < known.grant.until:
            return min(known.grant.amount, quota)
        if now < known.promise:
            return min(known.grant.amount, share)
        return share

    def room(self, team: str, now: float) -> int:
        """Tasks of a team with a quota that may start now."""
        known = self._teams.get(team)
        running = known.running if known else 0
        return self.allowed(team, now) - running

    def started(self, team: str, number: int) -> None:
        """Count tasks that were placed."""
        self._team(team).running += number

    def ended(self, team: str) -> None:
        """Count a task that no longer runs."""
        known = self._team(team)
        known.running = max(0, known.running - 1)

    def waiting(self, counts: typing.Mapping[str, int]) -> None:
        """Tell the tasks that wait, by team: with those running, its want."""
        for team in self._layout.quotas:
            known = self._team(team)
            known.want = known.running + counts.get(team, 0)

    def on_tick(self, now: float) -> list[object]:
        """Renew promises and ask for what is wanted."""
        if self._is_settling(now) or self._name not in self._layout.entries:
            return []
        effects: list[object] = []
        for team in self._layout.quotas:
            known = self._team(team)
            if self._is_ask_due(team, known, now):
                effects += self._ask(team, known, now)
        return effects

    def on_message(
        self,
        peer: str,
        message: messages.QuotaAsk | messages.QuotaGrant,
        now: float,
    ) -> list[object]:
        """Take a peer's ask or grant."""
        if isinstance(message, messages.QuotaGrant):
            self._take_grant(peer, message)
            return []
        if not self._lends_to(peer, message.team, now):
            return []
        grant = self._lender.lend(self._layout, peer, message, now)
        return [core.Send(peer, grant)]

    def _team(self, team: str) -> _Team:
        known = self._teams.get(team)
        if known is None:
            known = self._teams[team] = _Team(team)
        return known

    def _is_settling(self, now: float) -> bool:
        return now < self._changed_at + LEASE_SECONDS + CLOCK_MARGIN

    def _is_ask_due(self, team: str, known: _Team, now: float) -> bool:
        age = now - known.asked_at
        if age < ASK_EVERY:
            return False
        if known.want > self.allowed(team, now):
            return known.want > known.asked or age >= ACTIVE_RENEW_SECONDS
        return age >= RENEW_SECONDS

    def _ask(self, team: str, known: _Team, now: float) -> list[object]:
        if now < known.promise and not known.answered:
            return []
        # A promise to a coordinator that doesn't answer would hold this
        # entry below its static share for as long as it kept asking.
        promise = now + LEASE_SECONDS if known.answered else 0.0
        known.promise = max(known.promise, promise)
        known.asked_at = now
        known.asked = known.want
        ask = messages.QuotaAsk(
            team, known.want, known.running, promise, known.grant.until
        )
        coordinator = self._layout.coordinator(team)
        known.answered = coordinator == self._name
        if not known.answered:
            return [core.Send(coordinator, ask)]
        known.grant = self._lender.lend(self._layout, self._name, ask, now)
        return []

    def _take_grant(self, peer: str, grant: messages.QuotaGrant) -> None:
        known = self._teams.get(grant.team)
        if known is None or grant.team not in self._layout.quotas:
            return
        if peer == self._layout.coordinator(grant.team):
            known.grant = grant
            known.answered = True

    def _lends_to(self, peer: str, team: str, now: float) -> bool:
        layout = self._layout
        if team not in layout.quotas or peer not in layout.entries:
            return False
        if self._is_settling(now):
            return False
        return layout.coordinator(team) == self._name
