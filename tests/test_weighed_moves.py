"""Results for callers when moves of slow runs are weighed, in virtual time.

Three in a hundred tasks may take seven times as long as their siblings by
themselves, and workers may turn slow or hang for some seconds.  Each load is
played with the switch off as well, where every straggler is moved.
"""

import dataclasses

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

    :ivar work: core-seconds that the run had taken.
    """

    at: float
    agent: str
    work: float


class World(busy_world.BusyWorld):
    """A busy world that records moves, and whose workers may be at fault."""

    def __init__(self, **knobs):
        self.moves = []
        self.declined = []
        super().__init__(**knobs)

    def _apply(self, node, effect):
        if isinstance(effect, core.Note) and effect.name == 'run_stuck':
            fields = dict(effect.fields)
            task = self.tasks[f'{fields["job"]}.{fields["index"]}']
            work = float(fields['elapsed']) * task.needs.cpu
            since = self.now - repeatable_world.START
            self.moves.append(Move(since, fields['peer'], work))
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
        for name in names:
            self.schedule(FAULT_AT_SECONDS, self.slow_down, name, factor)
            self.schedule(
                FAULT_AT_SECONDS + FAULT_SECONDS,
                self.slow_down,
                name,
                1.0 / factor,
            )

    def sound_moves(self):
        """Return the moves away from workers that never were at fault."""
        return [move for move in self.moves if move.agent not in self.faulty]

    @property
    def faulty(self):
        return FAULTY_WORKERS

    def compute_wasted_share(self):
        """Return the work that moves away from sound workers threw away."""
        done = sum(
            self.true_seconds[name] * task.needs.cpu
            for name, task in self.tasks.items()
        )
        return sum(move.work for move in self.sound_moves()) / done

    def earned_by_queue(self):
        earned = {}
        for queue in self.queues:
            callers = [
                caller
                for caller in self.callers.values()
                if caller.queue.name == queue.name
            ]
            total = sum(caller.worth for caller in callers)
            earned[queue.name] = (
                sum(caller.earned for caller in callers) / total
            )
        return earned


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
