"""Results for the callers of each queue while one queue presses.

Jobs of three queues arrive at three entries and eleven workers in virtual
time; each load is simulated with the shares of queues on and off.
"""

import collections
import dataclasses
import math

import pytest

from agatepick.repeatable import jobs
from agatepick.repeatable import policies
from tests import busy_world
from tests import repeatable_world

SETUP_SECONDS = 2.0
LEARNT_SECONDS = 14.0
"""Time of the usual load before a burst."""

BURST_SECONDS = 6.0
AFTER_SECONDS = 4.0
"""Time of the usual load after a burst."""

DRAIN_SECONDS = 14.0
BURST_FACTOR = 2.4
WIDE, LONG, QUICK = busy_world.QUEUES
SEEDS = (0, 1, 2, 3)


@dataclasses.dataclass
class Result:
    """Results of one queue's callers in a burst."""

    count: int = 0
    refused: int = 0
    in_time: int = 0

    @property
    def refused_share(self):
        return self.refused / self.count

    @property
    def in_time_share(self):
        return self.in_time / self.count


class UnevenWorld(busy_world.BusyWorld):
    """A world in which one entry gets two thirds of the callers."""

    def submit(self, spec, to=None):
        if self.rng.random() < 0.5 and self.nodes['entry-0'].alive:
            to = to or 'entry-0'
        super().submit(spec, to)


def make_world(shares, seed, kind=busy_world.BusyWorld):
    """Return a world whose processes are connected."""
    world = kind(seed=seed, switches=policies.Policies(queue_shares=shares))
    world.run(SETUP_SECONDS)
    world.started_at = world.now
    return world


def add_burst(world, base, queues, factor):
    """Schedule the additional jobs of queues that press."""
    work = [
        queue.share * queue.width * queue.seconds for queue in world.queues
    ]
    part = sum(
        queue.share * queue.width * queue.seconds for queue in queues
    ) / sum(work)
    world.schedule(
        LEARNT_SECONDS,
        world.load,
        base * part * (factor - 1.0),
        BURST_SECONDS,
        queues,
    )


def play_burst(
    shares,
    seed,
    base=0.8,
    queues=(LONG,),
    factor=BURST_FACTOR,
    kind=busy_world.BusyWorld,
    prepare=None,
):
    """Return a world after a burst, when all callers have their answers."""
    world = make_world(shares, seed, kind)
    if queues:
        add_burst(world, base, queues, factor)
    if prepare is not None:
        prepare(world)
    world.load(base, LEARNT_SECONDS + BURST_SECONDS + AFTER_SECONDS)
    world.run(LEARNT_SECONDS + BURST_SECONDS + AFTER_SECONDS + DRAIN_SECONDS)
    return world


def count_results(worlds):
    """Return the results of the callers in the burst by queue."""
    results = collections.defaultdict(Result)
    for world in worlds:
        for caller in world.callers.values():
            since = caller.sent_at - world.started_at - LEARNT_SECONDS
            if not 0.0 <= since < BURST_SECONDS or caller.answer is None:
                continue
            result = results[caller.queue.name]
            result.count += 1
            result.refused += caller.answer.verdict is jobs.Verdict.NOT_RUN
            result.in_time += bool(caller.in_time)
    return results


def compute_earned(worlds, since=0.0, until=math.inf):
    """Return the mean earned share of the callers' value."""
    shares = []
    for world in worlds:
        offset = world.started_at - repeatable_world.START
        shares.append(
            world.compute_earned_share(offset + since, offset + until)
        )
    return sum(shares) / len(shares)


def check_runs(worlds):
    for world in worlds:
        assert world.double_runs == []
        assert world.false_refusals == []


@pytest.fixture(scope='module')
def play():
    """Return a function that plays each burst once for all tests here."""
    played = {}

    def play_once(shares, seeds=SEEDS, **options):
        worlds = []
        for seed in seeds:
            key = (shares, seed, *sorted(options.items()))
            if key not in played:
                played[key] = play_burst(shares, seed, **options)
            worlds.append(played[key])
        return worlds

    return play_once


def test_a_burst_of_long_jobs_leaves_the_others_their_share(play):
    """The long queue submits 2.4 times its usual jobs for six seconds.

    Without shares its callers are served, and those of the other two queues,
    whose demand hasn't changed, are refused.
    """
    before = count_results(play(False))
    worlds = play(True)
    results = count_results(worlds)
    check_runs(worlds)
    for name in ('wide', 'quick'):
        assert results[name].refused <= 0.5 * before[name].refused
        assert results[name].refused_share <= 2 * results['long'].refused_share


def test_most_refusals_fall_on_the_queue_that_presses(play):
    """Callers whose queue hasn't changed are refused for those of another."""
    results = count_results(play(True))
    others = results['wide'].refused + results['quick'].refused
    assert results['long'].refused >= others


@pytest.mark.parametrize('name', ['wide', 'quick'])
def test_others_are_in_time_in_a_burst_of_long_jobs(play, name):
    """Callers of the other queues get late answers or refusals."""
    results = count_results(play(True))
    calm = count_results(play(True, queues=()))
    assert results[name].in_time_share >= calm[name].in_time_share - 0.15


def test_shares_serve_more_callers_in_a_burst_of_long_jobs(play):
    before = count_results(play(False))
    after = count_results(play(True))
    assert sum(result.in_time for result in after.values()) >= 1.1 * sum(
        result.in_time for result in before.values()
    )


def test_a_burst_of_short_jobs_is_refused_first(play):
    """The queue of short wide jobs submits 2.4 times its usual jobs."""
    worlds = play(True, seeds=SEEDS[:2], queues=(WIDE,))
    results = count_results(worlds)
    check_runs(worlds)
    assert results['wide'].refused >= results['quick'].refused
    assert results['wide'].refused >= results['long'].refused
    for name in ('long', 'quick'):
        assert results[name].in_time_share >= 0.85


@pytest.mark.parametrize(
    ('base', 'queues', 'factor'),
    [
        (0.5, (), 1.0),
        (0.8, (), 1.0),
        (0.95, (), 1.0),
        (1.15, (), 1.0),
        (0.8, busy_world.QUEUES, 1.5),
    ],
)
def test_no_value_is_lost_where_no_queue_presses(play, base, queues, factor):
    """All queues have their usual demand, or press alike.

    If chance put queues over their share, callers would be refused in vain.
    """
    options = {'base': base, 'queues': queues, 'factor': factor}
    seeds = SEEDS[:2]
    before = compute_earned(play(False, seeds, **options))
    assert compute_earned(play(True, seeds, **options)) >= before - 0.02


def test_a_lasting_change_of_the_mix_ends_in_no_refusals_by_share():
    """The long queue's demand doubles for good, below the workers' capacity.

    If its share were fixed, its callers would be refused first for ever.
    """
    world = make_world(True, 0)
    world.load(0.55, 60.0)
    added = [dataclasses.replace(LONG, share=LONG.share)]
    world.schedule(LEARNT_SECONDS, world.load, 0.16, 46.0, added)
    world.run(60.0 + DRAIN_SECONDS)
    late = [
        caller
        for caller in world.callers.values()
        if caller.sent_at - world.started_at > 45.0
    ]
    assert all(caller.answer.reason != 'over_share' for caller in late)
    assert sum(bool(caller.in_time) for caller in late) >= 0.95 * len(late)


def test_entries_of_unequal_demand_keep_the_other_queues_shares(play):
    """One entry gets two thirds of all callers, and the long queue presses."""
    options = {'kind': UnevenWorld, 'seeds': SEEDS[:2]}
    before = count_results(play(False, **options))
    worlds = play(True, **options)
    results = count_results(worlds)
    check_runs(worlds)
    for name in ('wide', 'quick'):
        assert results[name].refused < before[name].refused


def _kill_entry(world):
    world.schedule(LEARNT_SECONDS + 2.0, world.kill, 'entry-0')


def _cut_agents(world):
    for agent in ('agent-0', 'agent-1', 'agent-3'):
        world.schedule(
            LEARNT_SECONDS + 1.0, world.cut, 'entry-0', agent, BURST_SECONDS
        )


@pytest.mark.parametrize('prepare', [_kill_entry, _cut_agents])
def test_a_fault_in_a_burst_leaves_the_others_their_share(play, prepare):
    """In the burst an entry dies and starts anew, or loses three agents.

    The entry that starts anew knows no usual demand and decides without
    shares; one without some agents divides what it still reaches.
    """
    options = {'prepare': prepare, 'seeds': SEEDS[:2]}
    before = count_results(play(False, **options))
    worlds = play(True, **options)
    results = count_results(worlds)
    check_runs(worlds)
    for name in ('wide', 'quick'):
        assert results[name].refused < before[name].refused


def test_with_the_switch_off_no_refusal_is_by_share(play):
    for world in play(False):
        assert all(
            caller.answer.reason != 'over_share'
            for caller in world.callers.values()
        )
        for node in world.entries():
            assert node.reducer.gauges(world.now)['queues_over_share'] == 0
