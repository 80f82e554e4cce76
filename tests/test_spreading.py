"""The limit on the tasks of a step that run on one worker at a time."""

import dataclasses

import pytest

from agatepick.repeatable import jobs
from agatepick.repeatable import policies
from tests import repeatable_world

COMPLETE = jobs.Verdict.COMPLETE
ALL_ON = policies.Policies(
    **{field.name: True for field in dataclasses.fields(policies.Policies)}
)


class CountingWorld(repeatable_world.World):
    """A world that records how many runs of a job a worker has at a time.

    :ivar most: largest number so far, by job.
    """

    most = None

    def record_start(self, worker, name):
        super().record_start(worker, name)
        key = name.rpartition('.')[0]
        others = [task for task in worker.runs if task.startswith(f'{key}.')]
        self.most = self.most or {}
        count = len({*others, name})
        self.most[key] = max(self.most.get(key, 0), count)


def make_world(**parts):
    world = CountingWorld(**parts)
    world.run(2.0)
    return world


def make_limited(key, tasks, limit, deadline=repeatable_world.START + 60.0):
    spec = repeatable_world.make_job(key, tasks, deadline, expected=0.3)
    return dataclasses.replace(spec, worker_limits=(limit,))


@pytest.mark.parametrize('limit', [1, 2])
def test_a_worker_gets_no_more_tasks_of_a_step_than_the_limit(limit):
    """A job of eight tasks comes, and each of three idle workers fits ten.

    More of its tasks on one worker than its caller allows would be lost with
    that worker; the others wait until a run of the step ends.
    """
    world = make_world(entries=1)
    world.submit(make_limited('j', 8, limit))
    world.submit(repeatable_world.make_job('free', 8))
    world.run(0.3)
    assert world.most['j'] == limit
    world.run(4.0)
    assert world.answers['j'].verdict is COMPLETE
    assert world.answers['free'].verdict is COMPLETE
    assert world.most['j'] == limit
    assert world.most['free'] > limit


def test_tasks_that_wait_for_their_own_step_hold_back_no_other_job():
    """Many jobs have one task on each worker and wait to start the rest."""
    world = make_world(entries=1)
    for number in range(4):
        world.submit(make_limited(f'j{number}', 12, 1))
    world.run(0.05)
    world.submit(repeatable_world.make_job('later', 2))
    world.run(0.6)
    assert world.answers['later'].verdict is COMPLETE


def test_a_limit_of_one_step_leaves_another_free():
    world = make_world(entries=1, agents=1)
    spec = repeatable_world.make_job('j', 6)
    tasks = tuple(
        dataclasses.replace(task, step=index % 2)
        for index, task in enumerate(spec.tasks)
    )
    spec = dataclasses.replace(
        spec,
        tasks=tasks,
        after=(frozenset(), frozenset()),
        worker_limits=(1, 0),
    )
    world.submit(spec)
    world.run(0.02)
    steps = [
        int(name.rpartition('.')[2]) % 2
        for name in world.workers['agent-0'].runs
    ]
    assert sorted(steps) == [0, 1, 1, 1]


@pytest.mark.parametrize('switches', [None, ALL_ON])
@pytest.mark.parametrize('seed', range(4))
def test_no_fault_and_no_other_entry_breaks_the_limit(seed, switches):
    """Agents freeze, workers are slow, and three entries place such jobs.

    A run that may still be going on counts until it is certainly over, or its
    worker would have too many tasks of the step for a while.
    """
    world = make_world(seed=seed, switches=switches)
    for number in range(24):
        key = f'j{number}'
        spec = make_limited(key, 5, 1 + number % 2, world.now + 6.0)
        world.submit(spec)
        if number % 6 == 2:
            world.freeze(f'agent-{number % 3}', 1.5)
        if number % 6 == 4:
            world.workers[f'agent-{number % 3}'].slowness = 6.0
        if number % 6 == 5:
            world.cut(f'entry-{number % 2}', f'agent-{number % 3}', 1.0)
        world.run(0.25)
    world.run(12.0)
    assert not world.double_runs
    served = 0
    for number in range(24):
        key = f'j{number}'
        assert world.most.get(key, 0) <= 1 + number % 2
        answer = world.answers.get(key)
        served += answer is not None and answer.verdict is COMPLETE
    assert served >= 6


def test_a_limited_step_that_no_worker_can_run_is_refused_at_once():
    """No known worker has the label that a limited step requires.

    Its caller would wait as if for room until it gives up.
    """
    world = make_world(entries=1)
    spec = make_limited('j', 2, 1)
    tasks = tuple(
        dataclasses.replace(task, label='none') for task in spec.tasks
    )
    world.submit(dataclasses.replace(spec, tasks=tasks))
    answer = world.answers['j']
    assert answer.verdict is jobs.Verdict.NOT_RUN
    assert answer.reason == 'no_worker'
