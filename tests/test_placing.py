import collections
import dataclasses
import random

import pytest

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import estimating
from agatepick.repeatable import jobs
from agatepick.repeatable import owned
from agatepick.repeatable import placing
from agatepick.repeatable import pool
from agatepick.repeatable import routes
from agatepick import types

NOW = 50.0
TASK = types.Needs(6.0, 64, 0)


def a_worker(name, free=0.0, of='p', grant=0):
    worker = pool.Worker(name, 1, 'z', '', renewed_at=NOW)
    worker.take_room(
        messages.Room(
            1, True, of, (), TASK + TASK, types.Needs(free, 64, 0), grant
        )
    )
    return worker


def a_job(key, latest, of='p', tasks=1):
    spec = jobs.Job(
        key=key,
        route=routes.Route('q', 'host', '/q/', of),
        payload=b'',
        tasks=tuple(
            jobs.Task(f'{key}.{index}', 0, TASK, 0.1) for index in range(tasks)
        ),
        after=(frozenset(),),
        deadline=NOW + 10.0,
    )
    job = owned.OwnedJob(1, spec, NOW, latest, 0.1)
    job.release()
    return job


@pytest.fixture
def workers():
    return pool.Pool(random.Random(1))


@pytest.fixture
def placer(workers):
    return placing.Placing(workers, estimating.Estimator())


def sent(effects, kind):
    """Messages of a kind, by receiver."""
    found = collections.defaultdict(list)
    for effect in effects:
        if isinstance(effect, core.Send) and isinstance(effect.message, kind):
            found[effect.peer].append(effect.message)
    return dict(found)


def test_what_finds_no_room_is_told_to_its_own_pool(workers, placer):
    """Two services are full at once.

    Were only the first job's agents told, callers of the other service
    would wait until its agents happened to have room that nobody wants.
    """
    workers.add(a_worker('a', of='p'))
    workers.add(a_worker('b', of='r'))
    waiting = [a_job('j', NOW + 0.1), a_job('k', NOW + 0.2, of='r')]
    effects = placer.place(waiting, NOW)
    (to_a,) = sent(effects, messages.Want)['a']
    (to_b,) = sent(effects, messages.Want)['b']
    assert to_a.slack == pytest.approx(0.1)
    assert to_b.slack == pytest.approx(0.2)


def test_a_want_is_repeated_now_and_then_and_at_once_if_more_urgent(
    workers, placer
):
    """An entry waits for room at all of fifty agents for seconds.

    Told at each turn of the loop, the agents would hear of nothing else;
    told too seldom, an urgent job waits behind others' less urgent ones.
    """
    workers.add(a_worker('a'))
    late = a_job('late', NOW + 1.0)
    told = []
    for step in range(20):
        effects = placer.place([late], NOW + step * 0.02)
        told.append('a' in sent(effects, messages.Want))
    assert told.count(True) == 2
    now = NOW + 0.4
    urgent = a_job('urgent', now + 0.1)
    effects = placer.place([urgent, late], now)
    assert sent(effects, messages.Want)['a'][0].count == 2


def test_a_grant_s_answer_says_what_still_waits(workers, placer):
    """An agent keeps freed room for an entry that waits with two tasks.

    Told of the rest only later, it would give the next room to others.
    """
    worker = a_worker('a')
    workers.add(worker)
    job = a_job('j', NOW + 0.1, tasks=2)
    placer.place([job], NOW)
    room = messages.Room(1, True, 'p', (), TASK + TASK, TASK, grant=7, taken=0)
    placer.take_room(worker, room)
    effects = placer.place([job], NOW + 0.01)
    (starts,) = sent(effects, messages.StartRuns)['a']
    assert (starts.grant, len(starts.runs)) == (7, 1)
    assert starts.want.count == 1
    room = dataclasses.replace(room, taken=1)
    placer.take_room(worker, room)
    (starts,) = sent(placer.place([job], NOW + 0.02), messages.StartRuns)['a']
    assert starts.want == messages.NO_WANT
