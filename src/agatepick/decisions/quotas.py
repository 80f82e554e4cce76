"""Team quotas: limits on the tasks of a team that run at once on all entries.

Load pattern: one team fills every slot with long tasks.  Fair queueing
orders waiting tasks but can't revoke a slot, so everyone else waits for
those tasks to end; a quota keeps slots free for the others.

Each entry has a static share of a quota.  The team's coordinator, the entry
that rendezvous hashing selects, lends out what other entries don't use.
Entries send it asks, and it answers each with a grant:

* An ask may carry a promise, which is an instant: until then the entry stays
  within its grant, and after the grant's end within the smaller of grant and
  share.
* The coordinator grants an amount until an instant no later than the first
  end of the promises on which the grant is based.  What an entry may run
  without a promise is its static share, which stays reserved for it.
* The coordinator reserves the amount of a grant for as long as the entry may
  hold the grant: until an ask of the entry names a later one.

The loss of a coordinator therefore doesn't lift a quota: loans end with the
promises, and the static shares add up to the quota.  Nor does it block a
quota: an entry promises only while its last ask was answered, and returns to
its static share when the promise ends.  When entries join or leave, shares
and grants stay as they were for the length of one lease; a new entry has no
share until that has passed.

The lease is 4 s: about the time until a change of the configuration is in
force, and an idle entry's promises cost one message in 2 s for each team
with a quota.  A change in demand is sent at once, at most every
:data:`ASK_INTERVAL_SECONDS`; an entry that waits for others to return quota
renews its ask every :data:`ACTIVE_RENEW_SECONDS`.
"""

import dataclasses
import typing

import xxhash

from agatepick import core
from agatepick.net import messages

LEASE_SECONDS = 4.0
"""Length of a promise, and longest time until the end of a grant."""
RENEW_SECONDS = 2.0
"""Time between the asks of an entry that needs no more quota."""
ACTIVE_RENEW_SECONDS = 0.5
"""Time between the asks of an entry that waits for more quota."""
ASK_INTERVAL_SECONDS = 0.1
"""Least time between two asks of an entry for one team."""
CLOCK_MARGIN_SECONDS = 0.25
"""Margin for the offset of an entry's clock."""
MAX_HELD_GRANTS = 8
"""Number of unconfirmed grants of one entry at which they are merged."""


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """The quotas and the entries that share them.

    :param quotas: number of tasks that may run at once, by team.
    :param entries: names of the listed entries.
    """

    quotas: typing.Mapping[str, int]
    entries: tuple[str, ...]

    def get_coordinator(self, team: str) -> str:
        """Return the name of the entry that lends a team's quota."""
        return max(self.entries, key=lambda name: _compute_weight(team, name))

    def get_share(self, team: str, name: str) -> int:
        """Return an entry's static share of a team's quota."""
        if name not in self.entries:
            return 0
        share, rest = divmod(self.quotas.get(team, 0), len(self.entries))
        order = sorted(
            self.entries,
            key=lambda other: _compute_weight(team, other),
            reverse=True,
        )
        return share + (1 if order.index(name) < rest else 0)


def _compute_weight(team: str, name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f'{team}\0{name}'.encode()), name


@dataclasses.dataclass(frozen=True, slots=True)
class _BorrowerState:
    """A coordinator's record of one entry's use of one quota.

    :param want: tasks that the entry could run, waiting or running.
    :param running: tasks that the entry runs.
    :param promise_end: end of the entry's promise, by the entry's clock.
    :param held: grants that the entry may hold, oldest first.
    """

    want: int
    running: int
    promise_end: float
    held: tuple[messages.QuotaGrant, ...]

    def get_lent_until(self) -> float:
        """Return the instant until which others may use the entry's share.

        It is earlier than the end of the promise by the clock margins of the
        two entries.
        """
        return self.promise_end - 2 * CLOCK_MARGIN_SECONDS

    def get_reserved(self, share: int, now: float) -> int:
        """Return the largest number of tasks that the entry may run now."""
        amount = max(
            (
                grant.amount
                if now < grant.until + CLOCK_MARGIN_SECONDS
                else min(grant.amount, share)
                for grant in self.held
            ),
            default=0,
        )
        if now >= self.get_lent_until():
            amount = max(amount, share)
        return max(amount, self.running)

    def drop_superseded(self, until: float) -> tuple[messages.QuotaGrant, ...]:
        """Return the grants that the entry may hold after it confirmed one.

        Once there are :data:`MAX_HELD_GRANTS` unconfirmed grants, they are
        merged into one.

        :param until: end of the confirmed grant; earlier grants are dropped.
        """
        ends = [grant.until for grant in self.held]
        if until in ends:
            return self.held[ends.index(until) :]
        if len(self.held) < MAX_HELD_GRANTS:
            return self.held
        largest = max(grant.amount for grant in self.held)
        last = self.held[-1]
        return (dataclasses.replace(last, amount=largest, until=max(ends)),)


class Lender:
    """The grants of an entry that coordinates teams' quotas."""

    def __init__(self) -> None:
        self._borrowers: dict[str, dict[str, _BorrowerState]] = {}

    def clear(self) -> None:
        """Delete the state of all borrowers.

        Their grants and promises must have expired before the next call of
        :meth:`lend`.
        """
        self._borrowers.clear()

    def lend(
        self, layout: Layout, peer: str, ask: messages.QuotaAsk, now: float
    ) -> messages.QuotaGrant:
        """Return the grant for an ask.

        :param peer: name of the entry that sent the ask.
        """
        team = ask.team
        borrowers = self._borrowers.setdefault(team, {})
        others = [name for name in layout.entries if name != peer]
        old = borrowers.get(peer)
        held = old.drop_superseded(ask.held_until) if old else ()
        borrowers[peer] = _BorrowerState(
            ask.want, ask.running, ask.promise, held
        )
        reserved = sum(
            self._get_reserved(layout, team, name, now) for name in others
        )
        available = max(0, layout.quotas[team] - reserved)
        amount = min(
            available, self._compute_fair_amount(layout, team, peer, now)
        )
        until = min(
            [
                now + LEASE_SECONDS,
                *[
                    borrowers[name].get_lent_until()
                    for name in others
                    if name in borrowers
                    and now < borrowers[name].get_lent_until()
                ],
            ]
        )
        grant = messages.QuotaGrant(team, amount, until)
        borrowers[peer] = dataclasses.replace(
            borrowers[peer], held=(*held, grant)
        )
        return grant

    def _get_reserved(
        self, layout: Layout, team: str, name: str, now: float
    ) -> int:
        share = layout.get_share(team, name)
        borrower = self._borrowers[team].get(name)
        return borrower.get_reserved(share, now) if borrower else share

    def _compute_fair_amount(
        self, layout: Layout, team: str, peer: str, now: float
    ) -> int:
        """Return an entry's max-min fair amount and its part of the surplus.

        Half of the surplus is shared out equally, the rest stays unlent.
        """
        pool = layout.quotas[team]
        wants: list[tuple[int, str]] = []
        for name in layout.entries:
            borrower = self._borrowers[team].get(name)
            if name == peer or (borrower and now < borrower.get_lent_until()):
                wants.append((borrower.want if borrower else 0, name))
            else:
                pool -= layout.get_share(team, name)
        amount = 0
        for position, (want, name) in enumerate(sorted(wants)):
            equal_part = max(0, pool) // (len(wants) - position)
            allotted = min(want, equal_part)
            pool -= allotted
            if name == peer:
                amount = allotted
        return amount + max(0, pool) // (2 * len(wants))


class _TeamState:
    """An entry's own state of one team's quota.

    :ivar running: tasks that this entry runs.
    :ivar want: tasks that wait or run here.
    :ivar promise_end: end of this entry's newest promise; 0 if there is none.
    :ivar last_ask_at: instant of the last ask.
    :ivar last_want: ``want`` of the last ask.
    :ivar answered: whether the last ask was answered.
    """

    __slots__ = (
        'running',
        'want',
        'grant',
        'promise_end',
        'last_ask_at',
        'last_want',
        'answered',
    )

    def __init__(self, team: str) -> None:
        self.running = 0
        self.want = 0
        self.grant = messages.QuotaGrant(team, 0, 0.0)
        self.promise_end = 0.0
        self.last_ask_at = float('-inf')
        self.last_want = 0
        self.answered = False


class Quotas:
    """One entry's part in all team quotas, as borrower and coordinator.

    :param name: name of the entry.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._layout = Layout({}, (name,))
        self._previous_layout = self._layout
        self._changed_at = float('-inf')
        self._teams: dict[str, _TeamState] = {}
        self._lender = Lender()

    def configure(
        self,
        quotas: typing.Mapping[str, int],
        entries: tuple[str, ...],
        now: float,
    ) -> None:
        """Apply the quotas and entries of the configuration in force."""
        layout = Layout(dict(quotas), entries)
        if set(entries) != set(self._layout.entries):
            self._previous_layout = self._layout
            self._changed_at = now
            self._lender.clear()
        self._layout = layout

    def has_quota(self, team: str) -> bool:
        """Return whether a team has a quota."""
        return team in self._layout.quotas

    def get_limit(self, team: str, now: float) -> int:
        """Return how many tasks of a team with a quota this entry may run."""
        layout = (
            self._previous_layout
            if self._uses_previous_layout(now)
            else self._layout
        )
        quota = self._layout.quotas[team]
        share = min(layout.get_share(team, self._name), quota)
        state = self._teams.get(team)
        if state is None or not state.grant.until:
            return share
        if now < state.grant.until:
            return min(state.grant.amount, quota)
        if now < state.promise_end:
            return min(state.grant.amount, share)
        return share

    def get_free(self, team: str, now: float) -> int:
        """Return how many more tasks of a team with a quota may start now.

        :returns: negative if the limit has fallen below the running tasks.
        """
        state = self._teams.get(team)
        running = state.running if state else 0
        return self.get_limit(team, now) - running

    def add_running(self, team: str, count: int) -> None:
        """Add placed tasks to the running tasks of a team."""
        self._get_or_add_team(team).running += count

    def remove_running(self, team: str) -> None:
        """Remove an ended task from the running tasks of a team."""
        state = self._get_or_add_team(team)
        state.running = max(0, state.running - 1)

    def set_waiting(self, counts: typing.Mapping[str, int]) -> None:
        """Set the number of waiting tasks, by team.

        A team's want is the sum of its waiting and running tasks.
        """
        for team in self._layout.quotas:
            state = self._get_or_add_team(team)
            state.want = state.running + counts.get(team, 0)

    def on_tick(self, now: float) -> list[object]:
        """Return the asks that are due, which renew promises."""
        if (
            self._uses_previous_layout(now)
            or self._name not in self._layout.entries
        ):
            return []
        effects: list[object] = []
        for team in self._layout.quotas:
            state = self._get_or_add_team(team)
            if self._is_ask_due(team, state, now):
                effects += self._ask(team, state, now)
        return effects

    def on_message(
        self,
        peer: str,
        message: messages.QuotaAsk | messages.QuotaGrant,
        now: float,
    ) -> list[object]:
        """Answer a peer's ask, or apply its grant."""
        if isinstance(message, messages.QuotaGrant):
            self._apply_grant(peer, message)
            return []
        if not self._lends_to(peer, message.team, now):
            return []
        grant = self._lender.lend(self._layout, peer, message, now)
        return [core.Send(peer, grant)]

    def _get_or_add_team(self, team: str) -> _TeamState:
        state = self._teams.get(team)
        if state is None:
            state = self._teams[team] = _TeamState(team)
        return state

    def _uses_previous_layout(self, now: float) -> bool:
        return now < self._changed_at + LEASE_SECONDS + CLOCK_MARGIN_SECONDS

    def _is_ask_due(self, team: str, state: _TeamState, now: float) -> bool:
        age = now - state.last_ask_at
        if age < ASK_INTERVAL_SECONDS:
            return False
        if state.want > self.get_limit(team, now):
            return state.want > state.last_want or age >= ACTIVE_RENEW_SECONDS
        return age >= RENEW_SECONDS

    def _ask(self, team: str, state: _TeamState, now: float) -> list[object]:
        if now < state.promise_end and not state.answered:
            return []
        # A promise to a coordinator that doesn't answer would keep this
        # entry below its static share for as long as the entry renews it.
        promise_end = now + LEASE_SECONDS if state.answered else 0.0
        state.promise_end = max(state.promise_end, promise_end)
        state.last_ask_at = now
        state.last_want = state.want
        ask = messages.QuotaAsk(
            team, state.want, state.running, promise_end, state.grant.until
        )
        coordinator = self._layout.get_coordinator(team)
        state.answered = coordinator == self._name
        if not state.answered:
            return [core.Send(coordinator, ask)]
        state.grant = self._lender.lend(self._layout, self._name, ask, now)
        return []

    def _apply_grant(self, peer: str, grant: messages.QuotaGrant) -> None:
        state = self._teams.get(grant.team)
        if state is None or grant.team not in self._layout.quotas:
            return
        if peer == self._layout.get_coordinator(grant.team):
            state.grant = grant
            state.answered = True

    def _lends_to(self, peer: str, team: str, now: float) -> bool:
        layout = self._layout
        if team not in layout.quotas or peer not in layout.entries:
            return False
        if self._uses_previous_layout(now):
            return False
        return layout.get_coordinator(team) == self._name
