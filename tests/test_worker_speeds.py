"""Results for callers whose workers differ in speed, by usual speed or not.

Three entries and twelve workers run in virtual time.  Each load is played with
the same seeds with the switch ``worker_speeds`` off and on.
"""

import collections
import dataclasses
import statistics

import pytest

from agatepick import core
from agatepick.repeatable import policies
from agatepick.repeatable import workerapi
from tests import busy_world
from tests import repeatable_world

TWO_KINDS = (1.82, 0.83, 0.83, 0.83)
"""One worker in four at 0.55 of a speed, the others at 1.2."""

THREE_KINDS = (1.25, 1.0, 0.8)
ALIKE = (1.0,)

SETUP_SECONDS = 2.0
WARM_SECONDS = 5.0
"""Time for which agents and entries learn before callers count."""

WARM_SHARE = 0.6
LOAD_SECONDS = 7.0
AFTER_SECONDS = 16.0
SAMPLE_SECONDS = 0.1

TAIL = (0.03, 7.0)
"""Three tasks in a hundred take seven times as long wherever they run."""

NOISE = 0.02
"""By how much the earned share of two seeds differs without any cause."""


TAIL_NOISE = 0.03
"""The same for three seeds with such a tail."""


class World(busy_world.BusyWorld):
    """A world that records what stands idle, and where runs start.

    :ivar idle: idle shares of the slow workers, sampled.
    :ivar notes: number of notes by name.
    :ivar starts_at: instants of the starts at each worker.
    """

    def __init__(self, **cfg):
        self.idle = []
        self.notes = collections.Counter()
        self.starts_at = collections.defaultdict(list)
        super().__init__(entries=3, agents=12, **cfg)
        self.slow = [
            worker
            for worker in self.workers.values()
            if worker.slowness == max(self.speeds)
        ]

    def sample(self):
        for worker in self.slow:
            worker.expire()
            used = sum(self.tasks[name].needs.cpu for name in worker.runs)
            self.idle.append(1.0 - used / worker.capacity.cpu)

    def _apply(self, node, effect):
        if isinstance(effect, core.Note):
            self.notes[effect.name] += 1
        if isinstance(effect, workerapi.StartRun):
            self.starts_at[node.name].append(self.now)
        super()._apply(node, effect)


@dataclasses.dataclass(frozen=True)
class Result:
    """What callers got, without those of the time for learning.

    :ivar in_time: share of the callers in time, by queue.
    :ivar idle: mean idle share of the slow workers' cores under load.
    """

    world: World
    earned: float
    refused: float
    in_time: dict
    idle: float


def collect_result(world):
    since = SETUP_SECONDS + WARM_SECONDS
    callers = [
        caller
        for caller in world.callers.values()
        if caller.sent_at - repeatable_world.START >= since
    ]
    by_queue = collections.defaultdict(list)
    for caller in callers:
        by_queue[caller.queue.name].append(bool(caller.in_time))
    return Result(
        world,
        world.compute_earned_share(since),
        statistics.mean(not caller.done for caller in callers),
        {name: statistics.mean(values) for name, values in by_queue.items()},
        statistics.mean(world.idle),
    )


def play(switched_on, share, seed=0, disturb=None, **cfg):
    """Play a load after a time for learning.

    :param disturb: called with the world before the load.
    :param cfg: as for :class:`busy_world.BusyWorld`.
    """
    switches = policies.Policies(worker_speeds=switched_on)
    world = World(seed=seed, switches=switches, **cfg)
    world.run(SETUP_SECONDS)
    world.load(WARM_SHARE, WARM_SECONDS)
    world.run(WARM_SECONDS)
    world.load(share, LOAD_SECONDS)
    for step in range(int(LOAD_SECONDS / SAMPLE_SECONDS)):
        world.schedule(step * SAMPLE_SECONDS, world.sample)
    if disturb:
        disturb(world)
    world.run(LOAD_SECONDS + AFTER_SECONDS)
    return collect_result(world)


@pytest.fixture(scope='module')
def simulate():
    """Return a function that plays each load once for all tests here."""
    played = {}

    def play_once(switched_on, speeds, share, seed=0, tail=(0.0, 1.0)):
        key = (switched_on, speeds, share, seed, tail)
        if key not in played:
            played[key] = play(
                switched_on, share, seed, speeds=speeds, tail=tail
            )
        return played[key]

    return play_once


@pytest.fixture(scope='module')
def compare(simulate):
    """Return a function that gives the results off and on of some seeds."""

    def compare_seeds(speeds, share, seeds=2, **cfg):
        return tuple(
            [
                simulate(switched_on, speeds, share, seed, **cfg)
                for seed in range(seeds)
            ]
            for switched_on in (False, True)
        )

    return compare_seeds


def mean(results, name):
    return statistics.mean(getattr(result, name) for result in results)


@pytest.mark.parametrize('speeds', [TWO_KINDS, THREE_KINDS, ALIKE])
@pytest.mark.parametrize('share', [0.5, 1.15])
def test_every_caller_is_answered_correctly(simulate, speeds, share):
    world = simulate(True, speeds, share).world
    assert all(caller.answer for caller in world.callers.values())
    assert world.double_runs == []
    assert world.false_refusals == []


@pytest.mark.parametrize(
    ('share', 'least'), [(0.5, 0.0), (0.8, 0.02), (0.95, 0.03), (1.15, 0.03)]
)
def test_callers_get_more_where_kinds_differ(compare, share, least):
    """A quarter of the workers takes 2.2 times as long as the others.

    Their sound slow workers counted as sick, and long tasks ended late there.
    """
    off, on = compare(TWO_KINDS, share)
    assert mean(on, 'earned') >= mean(off, 'earned') + least


@pytest.mark.parametrize('share', [0.95, 1.15])
def test_no_cores_stand_idle_while_callers_are_refused(compare, share):
    """Half of the slow workers' cores stood idle beside the refusals.

    They still do in part: only short tasks are in time there.
    """
    off, on = compare(TWO_KINDS, share)
    assert mean(on, 'idle') <= 0.8 * mean(off, 'idle')
    assert mean(on, 'refused') <= 0.9 * mean(off, 'refused')


def test_each_queue_is_served_while_workers_keep_up(compare):
    """Long tasks are late on slow workers, medium ones often, short ones not.

    With the switch off a tenth of the callers of long jobs gets late answers.
    """
    _, on = compare(TWO_KINDS, 0.5)
    for queue in ('wide', 'quick', 'long'):
        assert statistics.mean(res.in_time[queue] for res in on) >= 0.95
    _, on = compare(TWO_KINDS, 0.8)
    in_time = {
        queue: statistics.mean(res.in_time[queue] for res in on)
        for queue in ('wide', 'quick', 'long')
    }
    assert in_time['long'] >= 0.97
    assert in_time['wide'] >= 0.87
    assert in_time['quick'] >= 0.87


@pytest.mark.parametrize('share', [0.5, 0.8, 0.95, 1.15])
@pytest.mark.parametrize('speeds', [THREE_KINDS, ALIKE])
def test_callers_lose_nothing_where_kinds_hardly_differ(
    compare, speeds, share
):
    off, on = compare(speeds, share)
    assert mean(on, 'earned') >= mean(off, 'earned') - NOISE


@pytest.mark.parametrize('speeds', [TWO_KINDS, ALIKE])
def test_a_tail_of_run_times_does_no_harm(compare, speeds):
    """Tasks that take seven times as long say nothing of their worker."""
    off, on = compare(speeds, 0.8, seeds=3, tail=TAIL)
    assert mean(on, 'earned') >= mean(off, 'earned') - TAIL_NOISE


def make_sick(world):
    """Let one slow worker run five times slower for a while."""
    worker = world.slow[0]
    world.schedule(1.0, setattr, worker, 'slowness', 5.0 * worker.slowness)
    world.schedule(7.0, setattr, worker, 'slowness', worker.slowness)


def count_starts_while_sick(result):
    """Return the starts at the sick worker, once it could be noticed."""
    begin = repeatable_world.START + SETUP_SECONDS + WARM_SECONDS
    return sum(
        begin + 2.5 <= at < begin + 7.0
        for at in result.world.starts_at['agent-0']
    )


def test_a_sick_worker_is_left_whatever_its_kind():
    """A slow worker becomes five times slower for six seconds.

    Callers whose tasks start there get late answers.
    """
    for seed in range(2):
        off, on = (
            play(switched_on, 0.8, seed, disturb=make_sick, speeds=THREE_KINDS)
            for switched_on in (False, True)
        )
        starts = count_starts_while_sick(on)
        assert starts <= count_starts_while_sick(off) + 10
        assert starts <= 30


def get_slowness(world, name):
    """Return the slowness that an agent has learnt."""
    return world.nodes[name].reducer.gauges(world.now)['worker_slowness']


def restart_agents(world):
    """Kill all agents, one after another."""
    for number, name in enumerate(world.workers):
        world.schedule(0.3 + 0.2 * number, world.kill, name)


def test_speeds_outlast_a_restart_of_the_agents():
    """All agents are restarted in turn, and the workers run on.

    Until enough runs had ended again, sound slow workers would look sick.
    """
    world = play(True, 1.15, speeds=TWO_KINDS).world
    slow = [f'agent-{worker.name.removeprefix("w-")}' for worker in world.slow]
    learnt = {name: get_slowness(world, name) for name in slow}
    restart_agents(world)
    world.run(5.0)
    for name in slow:
        assert world.nodes[name].incarnation == 2
        assert get_slowness(world, name) == pytest.approx(
            learnt[name], rel=0.25
        )
    slow_cores = sum(worker.capacity.cpu for worker in world.slow)
    for node in world.entries():
        gauges = node.reducer.gauges(world.now)
        assert gauges['free_cores_slow'] == pytest.approx(slow_cores)


def test_callers_are_answered_while_agents_restart():
    world = play(True, 0.8, disturb=restart_agents, speeds=TWO_KINDS).world
    assert all(caller.answer for caller in world.callers.values())
    assert world.double_runs == []
    assert world.false_refusals == []


def test_decisions_rest_on_no_speeds_with_the_switch_off(simulate):
    """All workers count as typical, and nothing is learnt or held back."""
    world = simulate(False, TWO_KINDS, 0.8).world
    assert world.persisted == {}
    assert not world.notes['worker_speed']
    assert not world.notes['job_held_back']
    for node in world.agents():
        assert node.reducer.gauges(world.now)['worker_slowness'] == 1.0
    for node in world.entries():
        assert node.reducer.gauges(world.now)['free_cores_slow'] == 0.0


def test_decisions_are_noted_with_the_switch_on(simulate):
    world = simulate(True, TWO_KINDS, 0.95).world
    assert world.notes['worker_speed'] >= 12
    assert world.notes['job_held_back']
