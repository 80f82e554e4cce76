import pytest

from agatepick.repeatable import shares

STEP_SECONDS = 0.1
CAPACITY = {'pool': 100.0}
USUAL = {'short': 20.0, 'long': 25.0, 'other': 35.0}
LEARNT_SECONDS = 30.0


class Demands:
    """Demands of queues over time, fed to the shares of one entry."""

    def __init__(self, enabled=True):
        self.shares = shares.Shares(enabled)
        self.now = 0.0
        self.notes = []

    def submit(self, seconds, held=None, capacity=CAPACITY, **rates):
        """Submit jobs of queues.

        :param rates: demand in cores by queue; by default the usual one.
        """
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for queue, cores in {**USUAL, **rates}.items():
                work = cores * STEP_SECONDS
                if work:
                    self.shares.add_demand(queue, 'pool', work, self.now)
            self.notes += self.shares.update(held or {}, capacity, self.now)


@pytest.fixture
def demands():
    """Return demands that were the usual ones for long enough."""
    learnt = Demands()
    learnt.submit(LEARNT_SECONDS)
    return learnt


def test_the_queue_that_presses_is_over_its_share(demands):
    """One queue submits 2.4 times its usual demand for six seconds."""
    assert not demands.shares.over
    demands.submit(3.0, long=60.0)
    assert demands.shares.over == {'long'}
    demands.submit(3.0, long=60.0)
    assert demands.shares.over == {'long'}
    assert abs(demands.shares.get('long').usual - 25.0) < 1.0
    demands.submit(4.0)
    assert not demands.shares.over
    names = [note.name for note in demands.notes]
    assert names == ['queue_over_share', 'queue_within_share']


def test_a_burst_of_all_queues_puts_none_over_its_share(demands):
    """All queues submit 1.8 times their usual demand.

    None takes cores from another, so the order by urgency is the best for all.
    """
    demands.submit(8.0, **{name: 1.8 * cores for name, cores in USUAL.items()})
    assert not demands.shares.over


def test_a_lasting_change_becomes_usual_within_a_minute(demands):
    """A queue's demand doubles for good.

    If it were never learnt, its callers would be refused first for ever.
    """
    demands.submit(60.0, long=50.0)
    assert not demands.shares.over
    assert abs(demands.shares.get('long').usual - 50.0) < 1.0


def test_nothing_is_decided_before_the_usual_demand_is_known():
    """An entry starts in the middle of a burst and knows no usual demand."""
    demands = Demands()
    demands.submit(shares.BUCKET_SECONDS * (shares.MIN_BUCKETS - 1))
    demands.submit(1.0, long=250.0)
    assert not demands.shares.over
    assert demands.shares.get('long') is None


def test_cores_that_no_other_queue_uses_are_lent(demands):
    """The other queues are idle: the one that presses may use their cores."""
    demands.submit(6.0, short=0.0, other=0.0, long=60.0)
    standing = demands.shares.get('long')
    assert standing.allowed > 2.0 * standing.share


def test_at_least_its_share_is_allowed_to_a_queue_that_presses(demands):
    """The other queues press too: a queue must not starve."""
    demands.submit(4.0, short=60.0, other=110.0, long=200.0)
    standing = demands.shares.get('long')
    assert standing.over
    assert standing.allowed == standing.share
    assert abs(standing.share - 25.0 / 80.0 * 100.0) < 1.0


def test_a_queue_alone_in_its_pool_is_never_over_its_share():
    demands = Demands()
    idle = {'short': 0.0, 'other': 0.0}
    demands.submit(LEARNT_SECONDS, **idle)
    demands.submit(5.0, long=250.0, **idle)
    assert not demands.shares.over


def test_a_few_rare_jobs_are_not_a_burst(demands):
    """Two large jobs of a rare queue come by chance within an instant."""
    demands.submit(LEARNT_SECONDS)
    for _ in range(2):
        demands.shares.add_demand('long', 'pool', 15.0, demands.now)
    demands.submit(STEP_SECONDS)
    assert not demands.shares.over


def test_queues_without_jobs_are_forgotten(demands):
    """The desired state no longer has a queue; its record needs no memory."""
    demands.submit(
        shares.BUCKET_SECONDS * (shares.BUCKET_COUNT + 2), short=0.0
    )
    assert demands.shares.get('short') is None
    assert 'short' not in demands.shares._demands


def test_a_long_pause_is_handled_at_once(demands):
    """A process was stopped for a day by its operator."""
    demands.now += 86400.0
    demands.submit(STEP_SECONDS)
    assert not demands.shares.over


def test_with_the_switch_off_no_queue_is_over_its_share():
    demands = Demands(enabled=False)
    demands.submit(LEARNT_SECONDS)
    demands.submit(6.0, long=250.0)
    assert not demands.shares.over
    assert demands.notes == []
