import random

import pytest

from agatepick.decisions import placement
from agatepick import types

KIND = placement.Requirement('k', types.Needs(), ())


def _worker(name, running=0, rack='r', accelerators=0):
    worker = placement.Worker(name, 1, 'z', rack)
    worker.kinds = frozenset(['k'])
    worker.capacity = types.Needs(8.0, 1024, accelerators)
    worker.release_all()
    worker.slots = worker.limit = worker.credits = 8
    worker.running = running
    return worker


def _index(*workers):
    index = placement.ClassIndex(KIND)
    for worker in workers:
        index.add(worker)
    return index


def _pick(index, policy='leased-slots', needs=KIND.needs, **more):
    return index.pick(
        placement.POLICIES[policy](),
        needs,
        more.get('excluded', frozenset()),
        more.get('urgent', False),
        more.get('racks', {}),
        random.Random(more.get('seed', 1)),
    )


def test_a_task_without_accelerators_avoids_workers_with_them():
    """Tasks without accelerators fill the only worker that has some.

    Callers that need them would wait although other workers are free.
    """
    index = _index(_worker('gpu', accelerators=1), _worker('cpu', running=7))
    assert _pick(index).name == 'cpu'
    needs = types.Needs(accelerators=1)
    assert _pick(index, needs=needs).name == 'gpu'


def test_tasks_of_a_job_avoid_racks_that_already_have_some():
    index = _index(_worker('a', rack='r0'), _worker('b', 6, rack='r1'))
    assert _pick(index).name == 'a'
    assert _pick(index, racks={'r0': 1}).name == 'b'


def test_a_worker_on_trial_gets_the_next_task_but_no_urgent_one():
    """An ejected worker is on trial after some time.

    Without a task to test it, a repaired worker would stay ejected
    permanently.
    """
    trial = _worker('trial', running=7)
    trial.on_trial = True
    index = _index(_worker('good'), trial)
    assert _pick(index).name == 'trial'
    assert _pick(index, urgent=True).name == 'good'


def test_workers_without_free_slots_or_resources_are_skipped():
    full, used = _worker('full', running=8), _worker('used')
    used.acquire(types.Needs(7.5))
    index = _index(full, used)
    assert _pick(index, needs=types.Needs(1.0)) is None
    assert _pick(index, needs=types.Needs(0.5)).name == 'used'
    assert _pick(index, excluded=frozenset(['used'])) is None
    full.running = 7
    index.update(full)
    assert _pick(index, needs=types.Needs(1.0)).name == 'full'


@pytest.mark.parametrize('policy', placement.POLICIES)
def test_every_policy_spreads_over_many_workers(policy):
    """A policy that prefers workers by name would overload the first ones."""
    index = _index(*[_worker(f'w{i}') for i in range(40)])
    names = {_pick(index, policy, seed=seed).name for seed in range(200)}
    assert len(names) >= 30
