import random

import hypothesis
from hypothesis import strategies

from agatepick import core
from agatepick.decisions import quotas
from agatepick.net import messages

QUOTA = 10
NAMES = ('e0', 'e1', 'e2')


class _Cluster:
    """A cluster of entries that share a team's quota over a lossy network."""

    def __init__(self, names=NAMES, quota=QUOTA):
        self.quota = quota
        self.now = 0.0
        self.entries = {name: quotas.Quotas(name) for name in names}
        self.lost = set()
        self.configure(names)
        self.advance(6.0)

    def configure(self, names):
        for entry in self.entries.values():
            entry.configure({'t': self.quota}, tuple(names), self.now)

    def get_coordinator(self):
        layout = quotas.Layout({'t': self.quota}, tuple(self.entries))
        return layout.get_coordinator('t')

    def get_others(self):
        return sorted(set(self.entries) - {self.get_coordinator()})

    def set_waiting(self, name, waiting):
        self.entries[name].set_waiting({'t': waiting})

    def get_limits(self):
        return {
            name: entry.get_limit('t', self.now)
            for name, entry in self.entries.items()
        }

    def step(self):
        self.now += 0.05
        for name, entry in self.entries.items():
            if name not in self.lost:
                self._deliver(name, entry.on_tick(self.now))

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.step()

    def _deliver(self, sender, effects):
        for effect in effects:
            assert isinstance(effect, core.Send)
            if self.lost & {sender, effect.peer}:
                continue
            replies = self.entries[effect.peer].on_message(
                sender, effect.message, self.now
            )
            self._deliver(effect.peer, replies)


def test_an_entry_borrows_quota_that_others_do_not_use():
    """All jobs of a team arrive at one entry.

    With fixed shares the team could use only a third of its quota.
    """
    cluster = _Cluster()
    busy = cluster.get_others()[0]
    cluster.set_waiting(busy, 50)
    cluster.advance(3.0)
    allowed = cluster.get_limits()
    assert allowed[busy] >= 8
    assert sum(allowed.values()) <= QUOTA


def test_two_busy_entries_converge_to_equal_limits():
    cluster = _Cluster()
    first, second = cluster.get_others()
    cluster.set_waiting(first, 50)
    cluster.advance(3.0)
    cluster.set_waiting(second, 50)
    cluster.advance(6.0)
    allowed = cluster.get_limits()
    assert abs(allowed[first] - allowed[second]) <= 1
    assert allowed[first] >= 4


def test_a_lost_coordinator_neither_lifts_nor_blocks_a_quota():
    """The entry that lends a team's quota is cut off from the network.

    If the others waited for it, their callers would wait too; if they
    ignored the quota, the team would fill every slot.
    """
    cluster = _Cluster()
    busy, idle = cluster.get_others()
    cluster.set_waiting(busy, 50)
    cluster.advance(3.0)
    cluster.lost.add(cluster.get_coordinator())
    for _ in range(200):
        cluster.step()
        assert sum(cluster.get_limits().values()) <= QUOTA
    assert cluster.get_limits()[busy] >= QUOTA // 3
    assert cluster.get_limits()[idle] >= QUOTA // 3


def test_a_new_entry_has_no_share_before_old_loans_end():
    """Entries join while a team's whole quota is lent to one of them.

    With shares of their own before the loan ends, the team would exceed its
    quota.
    """
    cluster = _Cluster(('e0', 'e1'))
    cluster.set_waiting('e0', 50)
    cluster.advance(3.0)
    cluster.entries['e2'] = quotas.Quotas('e2')
    cluster.configure(NAMES)
    for _ in range(240):
        cluster.step()
        assert sum(cluster.get_limits().values()) <= QUOTA
    assert cluster.get_limits()['e0'] >= QUOTA // 2


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(strategies.integers(0, 10**6), strategies.integers(1, 12))
def test_the_quota_holds_whatever_is_lost_and_wanted(seed, quota):
    """Demand shifts and entries are cut off and return, at random."""
    rng = random.Random(seed)
    cluster = _Cluster(quota=quota)
    for _ in range(40):
        cluster.set_waiting(rng.choice(NAMES), rng.choice((0, 0, 2, 5, 50)))
        if rng.random() < 0.3:
            cluster.lost = set(rng.sample(NAMES, rng.randrange(3)))
        for _ in range(rng.randrange(1, 40)):
            cluster.step()
            allowed = cluster.get_limits()
            assert sum(allowed.values()) <= quota, allowed


def test_an_unlisted_entry_gets_no_grant():
    cluster = _Cluster()
    lender = cluster.entries[cluster.get_coordinator()]
    ask = messages.QuotaAsk('t', 5, 0, 0.0, 0.0)
    assert lender.on_message('stranger', ask, cluster.now) == []
    other = messages.QuotaAsk('unknown', 5, 0, 0.0, 0.0)
    assert lender.on_message('e0', other, cluster.now) == []
