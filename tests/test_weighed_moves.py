"""Results for callers when moves of slow runs are weighed, in virtual time.

Three in a hundred tasks may take seven times as long as their siblings by
themselves, and workers may turn slow or hang for some seconds.  Each load is
played with the switch off as well, where every straggler is moved.
"""

import collections
import dataclasses
import statistics

import pytest

from agatepick import core
from agatepick.repeatable import policies
from tests import busy_world
from tests import repeatable_world

SETUP_SECONDS = 2.0
LOAD_SECONDS = 10.0
AFTER_SECONDS = 18.0
"""Time for the load, and until all callers have their answers."""

TAIL = (0.03, 7.0)
FAULT_AT_SECONDS = 3.0
FAULT_SECONDS = 5.0
SLOW = 5.0
HUNG = 1000.0
"""Factors on run times at a worker that turned slow, and one that hangs."""

FAULTY_WORKERS = ('agent-1', 'agent-6')
"""One worker in six."""

ON = policies.Policies(weigh_moves=True)
OFF = policies.Policies()


@dataclasses.dataclass(frozen=True)
class Move:
    """A run that was moved.

    :ivar started_at: seconds of the world at which the run was sent.
    :ivar work: core-seconds that the run had taken.
    """

    at: float
    started_at: float
    agent: str
    work: float


class World(busy_world.BusyWorld):
    """A busy world that records moves, and whose workers may be at fault."""

    def __init__(self, **knobs):
        self.moves = []
        self.declined = []
        self.faulty = ()
        super().__init__(**knobs)

    def _apply(self, node, effect):
        if isinstance(effect, core.Note) and effect.name == 'run_stuck':
            fields = dict(effect.fields)
            task = self.tasks[f'{fields["job"]}.{fields["index"]}']
            seconds = float(fields['elapsed'])
            at = self.now - repeatable_world.START
            work = seconds * task.needs.cpu
            self.moves.append(Move(at, at - seconds, fields['peer'], work))
        if isinstance(effect, core.Note) and effect.name == 'move_declined':
            self.declined.append(dict(effect.fields))
        super()._apply(node, effect)

    def slow_down(self, name, factor):
        """Make a worker's runs slower from now on, those going on too."""
        worker = self.workers[name]
        worker.expire()
        worker.slowness *= factor
        for task, (run, end_at, until) in worker.runs.items():
            end_at = self.now + (end_at - self.now) * factor
            worker.runs[task] = (run, end_at, until)

    def plan_fault(self, factor, names=FAULTY_WORKERS):
        """Make workers slow for some seconds of the load."""
        self.faulty = names
        for name in names:
            self.schedule(FAULT_AT_SECONDS, self.slow_down, name, factor)
            self.schedule(
                FAULT_AT_SECONDS + FAULT_SECONDS,
                self.slow_down,
                name,
                1.0 / factor,
            )

    def find_sound_moves(self):
        """Return the moves of runs that no fault of their worker met."""
        return [move for move in self.moves if not self._met_fault(move)]

    def _met_fault(self, move):
        begin = SETUP_SECONDS + FAULT_AT_SECONDS
        return (
            move.agent in self.faulty
            and move.at > begin
            and move.started_at < begin + FAULT_SECONDS
        )

    def compute_wasted_share(self):
        """Return the share of all work that moves of sound runs cost."""
        done = sum(
            self.true_seconds[name] * task.needs.cpu
            for name, task in self.tasks.items()
        )
        return sum(move.work for move in self.find_sound_moves()) / done

    def compute_earned_by_queue(self):
        """Return the share of the callers' value that each queue earned."""
        worth = collections.Counter()
        earned = collections.Counter()
        for caller in self.callers.values():
            worth[caller.queue.name] += caller.worth
            earned[caller.queue.name] += caller.earned
        return {queue: earned[queue] / worth[queue] for queue in worth}


def play(switches, share, seed, fault=1.0, **knobs):
    """Return a world after a load.

    :param fault: factor on run times at the faulty workers.
    """
    world = World(seed=seed, switches=switches, **knobs)
    world.run(SETUP_SECONDS)
    if fault != 1.0:
        world.plan_fault(fault)
    world.load(share, LOAD_SECONDS)
    world.run(LOAD_SECONDS + AFTER_SECONDS)
    return world


SEEDS = (0, 1)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Results of some worlds with the same switches, as means."""

    earned: float
    by_queue: dict[str, float]
    move_count: float
    sound_move_count: float
    wasted_share: float

    @classmethod
    def from_worlds(cls, worlds):
        by_queue = [world.compute_earned_by_queue() for world in worlds]
        return cls(
            statistics.fmean(w.compute_earned_share() for w in worlds),
            {
                queue: statistics.fmean(shares[queue] for shares in by_queue)
                for queue in by_queue[0]
            },
            statistics.fmean(len(world.moves) for world in worlds),
            statistics.fmean(len(w.find_sound_moves()) for w in worlds),
            statistics.fmean(w.compute_wasted_share() for w in worlds),
        )


def compare(share, **knobs):
    """Return the outcomes of a load, with weighed moves and without."""
    outcomes = []
    for switches in (ON, OFF):
        worlds = [play(switches, share, seed, **knobs) for seed in SEEDS]
        assert all(world.double_runs == [] for world in worlds)
        assert all(world.false_refusals == [] for world in worlds)
        outcomes.append(Outcome.from_worlds(worlds))
    return outcomes


def assert_each_queue_keeps(weighed, former, loss):
    for queue, earned in former.by_queue.items():
        assert weighed.by_queue[queue] >= earned - loss, queue


@pytest.mark.parametrize('share', [0.5, 0.8, 0.95])
def test_long_tasks_are_left_at_sound_workers(share):
    """Three tasks in a hundred are long by themselves, all workers are sound.

    Each of them would be moved, twice perhaps, and its caller and the others
    wait for the work that was thrown away.
    """
    weighed, former = compare(share, tail=TAIL)
    assert weighed.sound_move_count <= 0.1 * former.sound_move_count
    assert weighed.wasted_share < 0.01
    assert weighed.earned >= former.earned + 0.05
    assert_each_queue_keeps(weighed, former, 0.0)


@pytest.mark.parametrize('fault', [SLOW, HUNG])
@pytest.mark.parametrize('share', [0.5, 0.8, 0.95])
def test_faulty_workers_are_left_beside_long_tasks(share, fault):
    """The same, and one worker in six turns slow or hangs for five seconds.

    Runs there must be moved, although long tasks look the same.
    """
    weighed, former = compare(share, tail=TAIL, fault=fault)
    assert weighed.move_count > 2 * weighed.sound_move_count
    assert weighed.wasted_share < 0.01
    assert weighed.earned >= former.earned + 0.05
    assert_each_queue_keeps(weighed, former, 0.0)


@pytest.mark.parametrize('fault', [SLOW, HUNG])
@pytest.mark.parametrize('share', [0.5, 0.8, 0.95])
def test_without_a_tail_faulty_workers_are_left_as_before(share, fault):
    """No task is long by itself; a customer without a tail loses nothing."""
    weighed, former = compare(share, fault=fault)
    assert weighed.sound_move_count == 0
    assert weighed.earned >= former.earned - 0.015


def test_long_tasks_beside_workers_of_unlike_speeds():
    """A quarter of the workers always take 2.2 times as long as the others.

    Their runs are overdue without any fault, and with long tasks as well.
    """
    weighed, former = compare(0.8, tail=TAIL, speeds=(1.82, 0.83, 0.83, 0.83))
    assert weighed.wasted_share < 0.02
    assert weighed.earned >= former.earned + 0.05
    assert_each_queue_keeps(weighed, former, 0.0)


def test_without_the_switch_each_straggler_is_moved():
    world = play(OFF, 0.8, 0, tail=TAIL)
    assert world.declined == []
    assert len(world.moves) > 100
    assert world.nodes['entry-0'].reducer._stragglers._weigher is None


def test_a_declined_move_is_noted_once_a_run():
    """A long run is weighed many times; the log would fill with its notes."""
    world = play(ON, 0.8, 0, tail=TAIL)
    assert world.declined
    noted = [(note['job'], note['index']) for note in world.declined]
    assert len(noted) <= 1.5 * len(set(noted))
    assert {note['reason'] for note in world.declined} <= {
        'own_tail',
        'no_gain',
        'budget',
        'second',
    }
