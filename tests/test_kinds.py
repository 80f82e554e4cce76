import math
import random

import pytest

from agatepick.net import messages
from agatepick.repeatable import choosing
from agatepick.repeatable import estimating
from agatepick.repeatable import jobs
from agatepick.repeatable import kinds
from agatepick.repeatable import pool
from agatepick.repeatable import routes
from agatepick.repeatable import speeds
from agatepick.repeatable import workerapi
from agatepick import types

CAPACITY = types.Needs(16.0, 1024, 0)


def make_worker(name, slowness, labels=(), cost=1.0, cores=16.0):
    worker = pool.Worker(name, 1, 'z', '')
    worker.update_room(
        messages.Room(
            1,
            True,
            'p',
            labels,
            types.Needs(cores, 1024, 0),
            types.Needs(cores, 1024, 0),
            cost=cost,
            slowness=slowness,
        )
    )
    return worker


def make_pool(*workers):
    members = pool.Pool(random.Random(1), choosing.Candidates)
    for worker in workers:
        members.add(worker)
    kinds.RelativeSpeeds(members).update()
    return members


def test_speeds_are_relative_to_the_typical_worker():
    """A factor that all agents are wrong by must not matter."""
    members = make_pool(
        make_worker('slow', 3.6), *[make_worker(str(n), 1.8) for n in range(3)]
    )
    slow, *others = members
    assert slow.slowness / others[0].slowness == pytest.approx(2.0)
    logs = [math.log(worker.slowness) for worker in members]
    assert sum(logs) == pytest.approx(0.0)


def test_a_worker_counts_by_its_cores():
    assert kinds.compute_typical(
        [make_worker('a', 1.0, cores=48.0), make_worker('b', 16.0)]
    ) == pytest.approx(2.0)


def test_a_new_worker_gets_the_speed_of_its_kind():
    """A new worker of the slow kind would get tasks that are late there.

    Its labels don't say which of them is the kind; racks mix both kinds.
    """
    workers = []
    for number in range(12):
        slow = number % 4 == 0
        labels = ('slow' if slow else 'fast', f'rack-{number % 3}', 'all')
        slowness = (1.8 if slow else 0.83) * (1.0 + 0.01 * number)
        workers.append(make_worker(str(number), slowness, labels))
    new = make_worker('new', speeds.UNKNOWN, ('rack-1', 'slow', 'all'))
    make_pool(*workers, new)
    assert new.slowness == pytest.approx(workers[4].slowness, rel=0.05)


def test_a_new_worker_among_strangers_counts_as_typical():
    new = make_worker('new', speeds.UNKNOWN, ('other',))
    make_pool(make_worker('a', 2.0, ('kind',)), new)
    assert new.slowness == 1.0


def test_a_new_worker_of_a_slow_kind_is_not_sick():
    """Its agent compares it with the typical worker until it knows more."""
    peers = [make_worker(str(n), 1.8, ('slow',)) for n in range(3)]
    others = [make_worker(f'o{n}', 0.83, ('fast',)) for n in range(9)]
    new = make_worker('new', speeds.UNKNOWN, ('slow',), cost=1.9)
    make_pool(*peers, *others, new)
    assert new.cost < 1.2


def test_only_news_on_the_speed_leads_to_a_computation():
    room = make_worker('a', 1.2).room
    assert kinds.affects_speeds(None, room)
    assert not kinds.affects_speeds(room, make_worker('a', 1.2, cost=3.0).room)
    assert kinds.affects_speeds(room, make_worker('a', 1.3).room)


ROUTE = routes.Route('q', 'host', '/q/', 'p')
TASK = jobs.Task('t', 0, types.Needs(1.0, 64, 0))
JOB = jobs.Job('j', ROUTE, b'', (TASK,), (frozenset(),), 0.0)


class Loop:
    """Entries and agents that learn from one another, without a network.

    Each run is expected by one entry's estimator, measured by one agent, and
    learnt by that entry as it would be at the typical worker.
    """

    def __init__(self, slownesses, entries=4, seed=1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.true = slownesses
        self.agents = [speeds.UsualSpeed(learns=True) for _ in slownesses]
        for number, agent in enumerate(self.agents):
            agent.meet(
                workerapi.WorkerAnnounced(
                    f'w{number}@1', 1, 1, 'p', CAPACITY, (), False, ''
                )
            )
        self.estimators = [estimating.Estimator() for _ in range(entries)]

    def view(self):
        """Return the workers as an entry sees them now."""
        return list(
            make_pool(
                *[
                    make_worker(str(number), agent.published)
                    for number, agent in enumerate(self.agents)
                ]
            )
        )

    def run(self, runs):
        workers = self.view()
        for count in range(runs):
            self.now += 0.005
            number = self.rng.randrange(len(self.agents))
            estimator = self.rng.choice(self.estimators)
            expected = estimator.estimate_task(JOB, TASK)
            seconds = 0.4 * self.true[number] * self.rng.lognormvariate(0, 0.4)
            if self.agents[number].record(seconds / expected, self.now):
                workers = self.view()
            seconds /= workers[number].slowness
            estimator.observe(JOB, TASK, seconds)
        return workers

    def expected_seconds(self):
        return [est.estimate_task(JOB, TASK) for est in self.estimators]


@pytest.mark.parametrize(
    'slownesses', [(1.82, 0.83, 0.83, 0.83) * 3, (1.25, 1.0, 0.8) * 4]
)
def test_estimates_of_entries_and_agents_neither_drift_nor_oscillate(
    slownesses,
):
    """Agents learn from what entries expect, and entries from agents.

    For an hour and a half of 200 runs a second neither the expected run times
    nor the slownesses may move away, all together or one against another.
    """
    loop = Loop(slownesses)
    loop.run(20_000)
    history, expected = [], []
    for _ in range(50):
        workers = loop.run(20_000)
        history.append([worker.slowness for worker in workers])
        expected += loop.expected_seconds()
    typical = math.exp(sum(map(math.log, slownesses)) / len(slownesses))
    mean = 0.4 * math.exp(0.4**2 / 2) * typical
    assert min(expected) > 0.85 * mean
    assert max(expected) < 1.15 * mean
    for number, slowness in enumerate(slownesses):
        values = [row[number] for row in history]
        assert min(values) > 0.88 * slowness / typical
        assert max(values) < 1.12 * slowness / typical
    sent = [agent.published for agent in loop.agents]
    common = math.exp(sum(map(math.log, sent)) / len(sent))
    assert 0.75 < common < 1.25
