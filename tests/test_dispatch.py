import collections
import random
import statistics

import pytest

from agatepick.decisions import dispatch
from agatepick.decisions import presets
from agatepick.net import messages
from agatepick import types
from tests import playing

SLOTS = 80


def _open(zone):
    return True


def _share(zone):
    return 1.0


def _arrivals(make_job, load, until, seed=1, team=None, **job):
    """Jobs of 1 to 40 tasks of about 0.3 s, at a share of all slots."""
    rng = random.Random(seed)
    now = 0.0
    made = []
    while now < until:
        count = rng.randint(1, 40)
        seconds = [rng.lognormvariate(-1.4, 0.6) for _ in range(count)]
        now += rng.expovariate(load * SLOTS / sum(seconds))
        one = make_job(
            team=team or f't{rng.randrange(12)}',
            tasks=count,
            deadline=now + job.get('within', 60.0),
        )
        made.append(playing.Arrival(now, one, tuple(seconds)))
    return made


def _mean_response(arrivals, got, team=None):
    return statistics.fmean(
        got.ended[one.job.key] - one.at
        for one in arrivals
        if one.job.key in got.ended and team in (None, one.job.team)
    )


def test_a_job_spreads_over_racks_and_no_slot_is_taken_twice(
    make_dispatch, make_job
):
    made = make_dispatch()
    made.enqueue(make_job(tasks=8), 0.0)
    first = made.place(_share, 0.0)
    by_rack = collections.Counter()
    for placed in first:
        by_rack[int(placed.agent[1:]) // 3] += len(placed.tasks)
    assert by_rack == {0: 2, 1: 2, 2: 2, 3: 2}
    made.enqueue(make_job(tasks=100), 0.0)
    rest = made.place(_share, 0.0)
    assert sum(len(placed.tasks) for placed in rest) == SLOTS - 8
    assert made.waiting() == 28


def test_a_burst_is_let_in_as_far_as_it_ends_in_time(make_dispatch, make_job):
    """Sixty callers come at once, with more than can end by their deadlines.

    If all were let in, nearly all would end late.
    """
    made = make_dispatch()
    burst = [
        playing.Arrival(
            0.0,
            make_job(f't{i}', tasks=20, seconds=0.5, deadline=4.0),
            (0.5,) * 20,
        )
        for i in range(60)
    ]
    got = playing.play(made, burst)
    assert all(end <= 4.0 for end in got.ended.values())
    assert not got.expired
    assert len(got.ended) >= 26
    assert all(one.retry_after > 0.0 for one in got.refused.values())


def test_saturation_keeps_slots_busy_with_work_that_is_in_time(
    make_dispatch, make_job
):
    """Callers hand in half as much again as the slots can do.

    Without admission each job would wait longer than the one before, and soon
    all would end after their deadlines.
    """
    arrivals = _arrivals(make_job, 1.5, 60.0, within=5.0)
    got = playing.play(make_dispatch(), arrivals)
    deadlines = {one.job.key: one.job.deadline for one in arrivals}
    in_time = [key for key, end in got.ended.items() if end <= deadlines[key]]
    let_in = len(arrivals) - len(got.refused)
    assert len(in_time) >= 0.99 * let_in
    assert got.busy >= 0.95 * SLOTS * max(one.at for one in arrivals)


def test_light_teams_hardly_notice_heavy_ones(make_dispatch, make_job):
    """Three callers make up most of the load, with backlogs that never end.

    In order of arrival everybody would wait behind them.
    """
    light = _arrivals(make_job, 0.15, 40.0, seed=5)
    alone = _mean_response(light, playing.play(make_dispatch(), light))
    heavy = [
        one
        for i in range(3)
        for one in _arrivals(make_job, 0.4, 40.0, seed=i, team=f'heavy{i}')
    ]
    got = playing.play(make_dispatch(), light + heavy)
    assert len(got.ended) >= len(light)
    assert _mean_response(light, got) <= 1.2 * alone


def test_urgent_work_passes_a_backlog_but_does_not_stop_it(
    make_dispatch, make_job
):
    """A team marks all its work as urgent.

    Without a bound the ordinary work of the others would never start.
    """
    made = make_dispatch(agents=1, slots=1)
    made.enqueue(make_job('plain', tasks=9), 0.0)
    urgent = make_job('all-urgent', tasks=50, urgent=True)
    made.enqueue(urgent, 0.0)
    order = []
    for _ in range(18):
        (placed,) = made.place(_share, 0.0)
        (task,) = placed.tasks
        order.append(task.job.team)
        made.ended('a0', task.job, task.index, True, 0.1, 0.0)
    assert order == (['all-urgent'] * 8 + ['plain']) * 2


def test_short_jobs_pass_a_long_one(make_dispatch, make_job):
    """A job of 2000 tasks comes just before some of one task.

    In order of arrival those would wait for seconds.
    """
    long_job = playing.Arrival(
        0.0, make_job('long', tasks=2000, seconds=0.3), (0.3,) * 2000
    )
    short = [
        playing.Arrival(0.01 * i, make_job(f's{i}', seconds=0.3), (0.3,))
        for i in range(1, 20)
    ]
    got = playing.play(make_dispatch(), [long_job, *short])
    assert max(got.ended[one.job.key] - one.at for one in short) <= 0.7
    assert got.ended[long_job.job.key] <= 2000 * 0.3 / SLOTS + 0.6


def test_a_slow_upstream_gets_less_of_the_work(make_dispatch, make_job):
    """One worker of ten takes five times as long.

    If tasks were bound to it early, each job with a task there would wait for
    its queue.
    """
    arrivals = _arrivals(make_job, 0.6, 40.0)
    got = playing.play(
        make_dispatch(), arrivals, pace=lambda agent: 1 + 4 * (agent == 'a0')
    )
    others = statistics.fmean(len(got.starts[f'a{i}']) for i in range(1, 10))
    assert len(got.starts['a0']) <= others / 2
    assert len(got.ended) == len(arrivals)


def test_a_failing_worker_is_ejected_and_comes_back_when_repaired(
    make_dispatch, make_job
):
    """A worker fails whatever it starts from 5 s on and is repaired at 20 s.

    Callers see failed jobs until it is ejected, and from then on only what its
    probes cost.
    """
    arrivals = _arrivals(make_job, 0.8, 60.0)
    got = playing.play(
        make_dispatch(),
        arrivals,
        works=lambda agent, now: agent != 'a3' or not 5.0 < now < 20.0,
    )
    failed = got.failed['a3']
    ejected = failed[0] + 0.5
    assert sum(at < ejected for at in failed) <= 16
    assert sum(at >= ejected for at in failed) <= 2
    assert sum(at > 50.0 for at in got.starts['a3']) > 50


@pytest.mark.parametrize(
    ('job', 'code'),
    [
        ({'kind': 'other'}, 'no_such_kind'),
        ({'needs': types.Needs(65.0)}, 'too_large'),
        ({'needs': types.Needs(1.0, 1, 2)}, 'too_large'),
        ({'zones': ('nowhere',)}, 'no_such_zone'),
        ({'deadline': 0.5}, 'deadline_passed'),
        ({'deadline': 2.0, 'seconds': 3.0}, 'deadline_too_short'),
    ],
)
def test_a_job_that_can_never_run_is_refused_at_once(
    make_dispatch, make_job, job, code
):
    """A caller asks for what no worker has.

    Without the check its job would wait until its deadline for nothing.
    """
    refusal = make_dispatch().admit(make_job(**job), _open, 1.0)
    assert refusal.code == code
    assert refusal.retry_after == 0.0


def test_no_task_goes_to_a_closed_zone_or_a_lost_agent(
    make_dispatch, make_job
):
    made = make_dispatch()
    made.agent_gone('a1')
    made.enqueue(make_job(tasks=200), 0.0)
    placed = made.place(lambda zone: 0.0 if zone == 'z0' else 1.0, 0.0)
    agents = {one.agent for one in placed}
    assert agents == {'a2', 'a3', 'a5', 'a6', 'a7', 'a9'}
    refusal = made.admit(make_job(zones=('z0',)), lambda zone: False, 0.0)
    assert refusal.code == 'zone_closed'
    assert refusal.retry_after > 0.0
    ramped = made.place(lambda zone: 0.25 if zone == 'z0' else 1.0, 0.0)
    assert {one.agent: len(one.tasks) for one in ramped} == {
        'a0': 2,
        'a4': 2,
        'a8': 2,
    }


def test_a_refused_start_goes_elsewhere_and_its_resources_return(
    make_dispatch, make_job
):
    """An agent drains and refuses a start on its way there.

    The caller should notice nothing but some milliseconds.
    """
    made = make_dispatch(agents=2, slots=4)
    job = make_job(needs=types.Needs(1.0, 100, 1))
    made.enqueue(job, 0.0)
    ((placed,),) = [made.place(_share, 0.0)]
    made.refused(placed.agent, job.team, 0.1)
    assert made.requeue(placed.tasks[0], placed.agent, 0.1)
    (again,) = made.place(_share, 0.2)
    assert again.agent != placed.agent
    assert again.tasks[0].attempt == 1
    made.enqueue(make_job(tasks=2, needs=types.Needs(1.0, 100, 1)), 0.2)
    (third,) = made.place(_share, 0.2)
    assert third.agent == placed.agent
    assert len(third.tasks) == 1


def test_cancelled_and_expired_work_leaves_the_queue(make_dispatch, make_job):
    """Cancellations come in waves.

    Tasks that nobody waits for would take slots from those that somebody does.
    """
    made = make_dispatch(agents=1, slots=2)
    cancelled = make_job(tasks=5, deadline=9.0)
    late = make_job(tasks=3, deadline=4.0)
    made.enqueue(cancelled, 0.0)
    ((placed,),) = [made.place(_share, 0.0)]
    assert made.drop(cancelled.key) == (2, 3, 4)
    made.enqueue(late, 0.0)
    made.refused(placed.agent, 't', 0.1)
    assert made.requeue(placed.tasks[0], placed.agent, 0.1)
    assert made.drop(cancelled.key) == (placed.tasks[0].index,)
    assert made.expire(3.9) == ()
    assert [task.index for task in made.expire(4.0)] == [0, 1, 2]
    assert made.waiting() == 0


def test_a_deadline_of_a_job_that_ended_wakes_nobody(make_dispatch, make_job):
    """A job has long ended when its deadline passes, and another one waits.

    Woken for an instant that has passed, an entry ticks without a pause and
    has no time left for its callers.
    """
    made = make_dispatch(agents=1, slots=1)
    made.enqueue(make_job(tasks=1, deadline=4.0), 0.0)
    made.place(_share, 0.0)
    made.enqueue(make_job(tasks=2, deadline=9.0), 1.0)
    made.place(_share, 1.0)
    assert made.waiting() == 2
    assert made.next_wake(5.0) > 5.0


def test_a_trial_that_is_due_wakes_nobody_without_work(
    make_dispatch, make_job
):
    """A worker was ejected, and no job comes for a long time.

    Its trial waits for work; an entry woken for it at once, again and again,
    would burn a core while it has nothing to do.
    """
    made = make_dispatch(agents=2, slots=8)
    now = 0.0
    while not made.status(now).ejected:
        now += 0.01
        assert now < 5.0
        job = make_job(tasks=16, deadline=99.0)
        made.enqueue(job, now)
        for placed in made.place(_share, now):
            for task in placed.tasks:
                ok = placed.agent != 'a0'
                made.ended(placed.agent, job, task.index, ok, 0.1, now)
    assert made.waiting() == 0
    later = now + 600.0
    assert (made.next_wake(later) or later + 1) > later


def test_an_entry_without_slots_asks_once_in_a_while(make_dispatch, make_job):
    """Work comes to an entry that has lent out all its slots.

    If it never asked, its callers would wait for ever; if it always did,
    agents would be busy with asks.
    """
    made = make_dispatch(agents=0)
    info = dispatch.AgentInfo('a', 1, 'z', 'r')
    capacity = types.Needs(1, 1, 0)
    offer = messages.Offer(1, 0, 8, ('k',), capacity, False)
    made.agent_offers(info, offer, 0.0)
    job = make_job(tasks=3)
    assert made.admit(job, _open, 1.0) is None
    made.enqueue(job, 1.0)
    assert made.place(_share, 1.0) == []
    assert made.asks(1.0) == [('a', 3)]
    assert made.asks(1.1) == []
    assert made.asks(1.3) == [('a', 3)]
    made.agent_credits('a', 2, 1.4)
    (placed,) = made.place(_share, 1.4)
    assert len(placed.tasks) == 2
    assert made.asks(1.5) == []


def test_a_queue_that_own_slots_soon_take_moves_no_slots(
    make_dispatch, make_job
):
    """Two entries' queues come and go within a second.

    If each moved slots from the other, a message in nine would do nothing
    else.  But where the own slots take nothing, callers must not wait.
    """
    made = make_dispatch(agents=1, slots=8)
    made.enqueue(make_job(tasks=8 + 10), 0.0)
    made.place(_share, 0.0)
    assert made.demand(0.1) == made.waiting() == 10
    for at in range(20):
        made.place(_share, 1.0 * at)
    job = make_job('other', tasks=40)
    made.refused('a0', 't', 20.0)
    made.place(_share, 20.0)
    assert made.demand(20.1) == 0
    made.enqueue(job, 20.2)
    made.place(_share, 20.2)
    assert 0 < made.demand(20.2) < 49
    assert made.demand(21.0) == 49


def test_an_ejection_is_noted_once(make_dispatch, make_job):
    made = make_dispatch(agents=3)
    job = make_job(tasks=10)
    for index in range(10):
        made.ended('a1', job, index, False, 0.01, 5.0)
    (note,) = made.take_notes()
    assert note.name == 'worker_ejected'
    assert dict(note.fields)['agent'] == 'a1'
    assert made.take_notes() == []


def test_a_quota_keeps_slots_for_others(make_dispatch, make_job):
    """One team's long tasks fill every slot.

    What comes after would have to wait for them to end.
    """
    made = make_dispatch(agents=1, slots=8, name='e')
    made.quotas.configure({'heavy': 5}, ('e',), 0.0)
    made.enqueue(make_job('heavy', tasks=20), 0.0)
    made.enqueue(make_job('light', tasks=2), 0.0)
    (placed,) = made.place(_share, 0.0)
    teams = [task.job.team for task in placed.tasks]
    assert teams.count('heavy') == 5
    assert teams.count('light') == 2


def test_a_preset_changes_decisions_at_once(make_dispatch, make_job):
    made = make_dispatch()
    job = make_job(tasks=800, seconds=0.5, deadline=5.8)
    assert made.admit(job, _open, 0.0) is None
    made.use_preset(presets.MAINTENANCE, 0.0)
    assert made.admit(job, _open, 0.0).code == 'overloaded'
    assert made.status(0.0).preset == 'maintenance'


def test_status_shows_who_waits_and_who_is_ejected(make_dispatch, make_job):
    made = make_dispatch(agents=2, slots=8)
    job = make_job('team', tasks=20)
    made.enqueue(job, 0.0)
    made.place(_share, 0.0)
    for _ in range(8):
        made.ended('a1', job, 0, False, 0.1, 0.0)
    status = made.status(0.0)
    assert status.queued == (('team', 4),)
    assert status.ejected == ('a1',)
    assert status.running == 8
    assert status.slots == 8
