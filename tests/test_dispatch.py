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


def _is_open(zone):
    return True


def _get_full_share(zone):
    return 1.0


def _make_arrivals(make_job, load, until, seed=1, team=None, **job):
    """Return jobs of 1 to 40 tasks of about 0.3 s that load all slots.

    :param load: work that arrives, as a share of all slots.
    """
    rng = random.Random(seed)
    now = 0.0
    arrivals = []
    while now < until:
        count = rng.randint(1, 40)
        seconds = [rng.lognormvariate(-1.4, 0.6) for _ in range(count)]
        now += rng.expovariate(load * SLOTS / sum(seconds))
        job_spec = make_job(
            team=team or f't{rng.randrange(12)}',
            tasks=count,
            deadline=now + job.get('within', 60.0),
        )
        arrivals.append(playing.Arrival(now, job_spec, tuple(seconds)))
    return arrivals


def _compute_mean_response(arrivals, result, team=None):
    return statistics.fmean(
        result.ended[arrival.job.key] - arrival.at
        for arrival in arrivals
        if arrival.job.key in result.ended and team in (None, arrival.job.team)
    )


def test_a_job_spreads_over_racks_and_no_slot_is_filled_twice(
    make_dispatch, make_job
):
    dispatcher = make_dispatch()
    dispatcher.enqueue(make_job(tasks=8), 0.0)
    first = dispatcher.place(_get_full_share, 0.0)
    by_rack = collections.Counter()
    for placed in first:
        by_rack[int(placed.agent[1:]) // 3] += len(placed.tasks)
    assert by_rack == {0: 2, 1: 2, 2: 2, 3: 2}
    dispatcher.enqueue(make_job(tasks=100), 0.0)
    rest = dispatcher.place(_get_full_share, 0.0)
    assert sum(len(placed.tasks) for placed in rest) == SLOTS - 8
    assert dispatcher.count_waiting() == 28


def test_a_burst_is_admitted_as_far_as_it_ends_in_time(
    make_dispatch, make_job
):
    """Sixty jobs arrive at once, more than can end by their deadlines.

    If all were admitted, nearly all would end late.
    """
    dispatcher = make_dispatch()
    burst = [
        playing.Arrival(
            0.0,
            make_job(f't{i}', tasks=20, seconds=0.5, deadline=4.0),
            (0.5,) * 20,
        )
        for i in range(60)
    ]
    result = playing.play(dispatcher, burst)
    assert all(end <= 4.0 for end in result.ended.values())
    assert not result.expired
    assert len(result.ended) >= 26
    assert all(
        refusal.retry_after > 0.0 for refusal in result.refused.values()
    )


def test_saturation_keeps_slots_busy_with_work_that_is_in_time(
    make_dispatch, make_job
):
    """Callers submit one and a half times the work that the slots can run.

    Without admission control each job would wait longer than the one before,
    and soon all would end after their deadlines.
    """
    arrivals = _make_arrivals(make_job, 1.5, 60.0, within=5.0)
    result = playing.play(make_dispatch(), arrivals)
    deadlines = {arrival.job.key: arrival.job.deadline for arrival in arrivals}
    in_time = [
        key for key, end in result.ended.items() if end <= deadlines[key]
    ]
    admitted = len(arrivals) - len(result.refused)
    assert len(in_time) >= 0.99 * admitted
    assert result.busy >= 0.95 * SLOTS * max(
        arrival.at for arrival in arrivals
    )


def test_heavy_teams_barely_delay_light_ones(make_dispatch, make_job):
    """Three teams submit most of the load and always have a backlog.

    In order of arrival all other teams would wait behind them.
    """
    light = _make_arrivals(make_job, 0.15, 40.0, seed=5)
    alone = _compute_mean_response(light, playing.play(make_dispatch(), light))
    heavy = [
        arrival
        for i in range(3)
        for arrival in _make_arrivals(
            make_job, 0.4, 40.0, seed=i, team=f'heavy{i}'
        )
    ]
    result = playing.play(make_dispatch(), light + heavy)
    assert len(result.ended) >= len(light)
    assert _compute_mean_response(light, result) <= 1.2 * alone


def test_urgent_work_passes_a_backlog_but_does_not_starve_it(
    make_dispatch, make_job
):
    """A team marks all its work as urgent.

    Without a bound the ordinary work of other teams would never start.
    """
    dispatcher = make_dispatch(agents=1, slots=1)
    dispatcher.enqueue(make_job('plain', tasks=9), 0.0)
    urgent = make_job('all-urgent', tasks=50, urgent=True)
    dispatcher.enqueue(urgent, 0.0)
    order = []
    for _ in range(18):
        (placed,) = dispatcher.place(_get_full_share, 0.0)
        (task,) = placed.tasks
        order.append(task.job.team)
        dispatcher.record_outcome('a0', task.job, task.index, True, 0.1, 0.0)
    assert order == (['all-urgent'] * 8 + ['plain']) * 2


def test_short_jobs_pass_a_long_one(make_dispatch, make_job):
    """A job of 2000 tasks arrives just before several jobs of one task.

    In order of arrival the short jobs would wait for seconds.
    """
    long_job = playing.Arrival(
        0.0, make_job('long', tasks=2000, seconds=0.3), (0.3,) * 2000
    )
    short = [
        playing.Arrival(0.01 * i, make_job(f's{i}', seconds=0.3), (0.3,))
        for i in range(1, 20)
    ]
    result = playing.play(make_dispatch(), [long_job, *short])
    assert (
        max(result.ended[arrival.job.key] - arrival.at for arrival in short)
        <= 0.7
    )
    assert result.ended[long_job.job.key] <= 2000 * 0.3 / SLOTS + 0.6


def test_a_slow_upstream_gets_less_of_the_work(make_dispatch, make_job):
    """One worker of ten takes five times as long.

    If tasks were bound to it early, each job with a task there would wait
    for the queue of that worker.
    """
    arrivals = _make_arrivals(make_job, 0.6, 40.0)
    result = playing.play(
        make_dispatch(), arrivals, pace=lambda agent: 1 + 4 * (agent == 'a0')
    )
    others = statistics.fmean(
        len(result.starts[f'a{i}']) for i in range(1, 10)
    )
    assert len(result.starts['a0']) <= others / 2
    assert len(result.ended) == len(arrivals)


def test_a_failing_worker_is_ejected_and_readmitted_when_repaired(
    make_dispatch, make_job
):
    """A worker fails all its tasks from 5 s on and is repaired at 20 s.

    Callers see failed jobs until it is ejected, and afterwards only those of
    its probes.
    """
    arrivals = _make_arrivals(make_job, 0.8, 60.0)
    result = playing.play(
        make_dispatch(),
        arrivals,
        works=lambda agent, now: agent != 'a3' or not 5.0 < now < 20.0,
    )
    failed = result.failed['a3']
    ejected = failed[0] + 0.5
    assert sum(at < ejected for at in failed) <= 16
    assert sum(at >= ejected for at in failed) <= 2
    assert sum(at > 50.0 for at in result.starts['a3']) > 50


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
    """A caller submits a job that no worker can run.

    Without the check the job would wait until its deadline and then fail.
    """
    refusal = make_dispatch().admit(make_job(**job), _is_open, 1.0)
    assert refusal.code == code
    assert refusal.retry_after == 0.0


def test_no_task_is_placed_in_a_closed_zone_or_at_a_lost_agent(
    make_dispatch, make_job
):
    dispatcher = make_dispatch()
    dispatcher.mark_disconnected('a1')
    dispatcher.enqueue(make_job(tasks=200), 0.0)
    placed = dispatcher.place(lambda zone: 0.0 if zone == 'z0' else 1.0, 0.0)
    agents = {placement.agent for placement in placed}
    assert agents == {'a2', 'a3', 'a5', 'a6', 'a7', 'a9'}
    refusal = dispatcher.admit(
        make_job(zones=('z0',)), lambda zone: False, 0.0
    )
    assert refusal.code == 'zone_closed'
    assert refusal.retry_after > 0.0
    ramped = dispatcher.place(lambda zone: 0.25 if zone == 'z0' else 1.0, 0.0)
    assert {placement.agent: len(placement.tasks) for placement in ramped} == {
        'a0': 2,
        'a4': 2,
        'a8': 2,
    }


def test_a_refused_start_is_retried_elsewhere_and_releases_resources(
    make_dispatch, make_job
):
    """An agent drains and refuses a start that was already sent.

    Without the retry the caller would see a failed job; with it the job takes
    a few milliseconds longer.
    """
    dispatcher = make_dispatch(agents=2, slots=4)
    job = make_job(needs=types.Needs(1.0, 100, 1))
    dispatcher.enqueue(job, 0.0)
    ((placed,),) = [dispatcher.place(_get_full_share, 0.0)]
    dispatcher.release_slot(placed.agent, job.team, 0.1)
    assert dispatcher.schedule_retry(placed.tasks[0], placed.agent, 0.1)
    (second,) = dispatcher.place(_get_full_share, 0.2)
    assert second.agent != placed.agent
    assert second.tasks[0].attempt == 1
    dispatcher.enqueue(make_job(tasks=2, needs=types.Needs(1.0, 100, 1)), 0.2)
    (third,) = dispatcher.place(_get_full_share, 0.2)
    assert third.agent == placed.agent
    assert len(third.tasks) == 1


def test_cancelled_and_expired_tasks_leave_the_queue(make_dispatch, make_job):
    """Many jobs are cancelled at once.

    Tasks of cancelled jobs would take slots from jobs with waiting callers.
    """
    dispatcher = make_dispatch(agents=1, slots=2)
    cancelled = make_job(tasks=5, deadline=9.0)
    late = make_job(tasks=3, deadline=4.0)
    dispatcher.enqueue(cancelled, 0.0)
    ((placed,),) = [dispatcher.place(_get_full_share, 0.0)]
    assert dispatcher.drop(cancelled.key) == (2, 3, 4)
    dispatcher.enqueue(late, 0.0)
    dispatcher.release_slot(placed.agent, 't', 0.1)
    assert dispatcher.schedule_retry(placed.tasks[0], placed.agent, 0.1)
    assert dispatcher.drop(cancelled.key) == (placed.tasks[0].index,)
    assert dispatcher.expire(3.9) == ()
    assert [task.index for task in dispatcher.expire(4.0)] == [0, 1, 2]
    assert dispatcher.count_waiting() == 0


def test_the_deadline_of_an_ended_job_does_not_wake_the_entry(
    make_dispatch, make_job
):
    """The deadline of an ended job passes while another job waits.

    If the next wake-up lies in the past, the entry ticks without a pause and
    stops serving its callers.
    """
    dispatcher = make_dispatch(agents=1, slots=1)
    dispatcher.enqueue(make_job(tasks=1, deadline=4.0), 0.0)
    dispatcher.place(_get_full_share, 0.0)
    dispatcher.enqueue(make_job(tasks=2, deadline=9.0), 1.0)
    dispatcher.place(_get_full_share, 1.0)
    assert dispatcher.count_waiting() == 2
    assert dispatcher.next_wake(5.0) > 5.0


def test_a_due_trial_does_not_wake_the_entry_without_work(
    make_dispatch, make_job
):
    """A worker is ejected, and no job arrives for a long time.

    A trial of the worker needs a waiting task.  If a due trial woke the idle
    entry at once each time, the process would use a whole core.
    """
    dispatcher = make_dispatch(agents=2, slots=8)
    now = 0.0
    while not dispatcher.status(now).ejected:
        now += 0.01
        assert now < 5.0
        job = make_job(tasks=16, deadline=99.0)
        dispatcher.enqueue(job, now)
        for placed in dispatcher.place(_get_full_share, now):
            for task in placed.tasks:
                ok = placed.agent != 'a0'
                dispatcher.record_outcome(
                    placed.agent, job, task.index, ok, 0.1, now
                )
    assert dispatcher.count_waiting() == 0
    later = now + 600.0
    assert (dispatcher.next_wake(later) or later + 1) > later


def test_an_entry_without_slots_asks_at_intervals(make_dispatch, make_job):
    """A job arrives at an entry whose slots all went to other entries.

    If the entry didn't ask the agents for slots, its callers would wait for
    ever; if it asked without a pause, it would overload the agents.
    """
    dispatcher = make_dispatch(agents=0)
    info = dispatch.AgentInfo('a', 1, 'z', 'r')
    capacity = types.Needs(1, 1, 0)
    offer = messages.Offer(1, 0, 8, ('k',), capacity, False)
    dispatcher.apply_offer(info, offer, 0.0)
    job = make_job(tasks=3)
    assert dispatcher.admit(job, _is_open, 1.0) is None
    dispatcher.enqueue(job, 1.0)
    assert dispatcher.place(_get_full_share, 1.0) == []
    assert dispatcher.create_slot_requests(1.0) == [('a', 3)]
    assert dispatcher.create_slot_requests(1.1) == []
    assert dispatcher.create_slot_requests(1.3) == [('a', 3)]
    dispatcher.set_credits('a', 2, 1.4)
    (placed,) = dispatcher.place(_get_full_share, 1.4)
    assert len(placed.tasks) == 2
    assert dispatcher.create_slot_requests(1.5) == []


def test_a_queue_that_own_slots_soon_drain_moves_no_slots(
    make_dispatch, make_job
):
    """The queues of two entries build up and drain within a second.

    If each moved slots from the other, one message in nine would only move
    slots.  If an entry's own slots start nothing, it must request others, or
    its callers wait.
    """
    dispatcher = make_dispatch(agents=1, slots=8)
    dispatcher.enqueue(make_job(tasks=8 + 10), 0.0)
    dispatcher.place(_get_full_share, 0.0)
    assert dispatcher.compute_demand(0.1) == dispatcher.count_waiting() == 10
    for at in range(20):
        dispatcher.place(_get_full_share, 1.0 * at)
    job = make_job('other', tasks=40)
    dispatcher.release_slot('a0', 't', 20.0)
    dispatcher.place(_get_full_share, 20.0)
    assert dispatcher.compute_demand(20.1) == 0
    dispatcher.enqueue(job, 20.2)
    dispatcher.place(_get_full_share, 20.2)
    assert 0 < dispatcher.compute_demand(20.2) < 49
    assert dispatcher.compute_demand(21.0) == 49


def test_an_ejection_is_recorded_once(make_dispatch, make_job):
    dispatcher = make_dispatch(agents=3)
    job = make_job(tasks=10)
    for index in range(10):
        dispatcher.record_outcome('a1', job, index, False, 0.01, 5.0)
    (note,) = dispatcher.pop_notes()
    assert note.name == 'worker_ejected'
    assert dict(note.fields)['agent'] == 'a1'
    assert dispatcher.pop_notes() == []


def test_a_quota_keeps_slots_for_other_teams(make_dispatch, make_job):
    """One team's long tasks fill every slot.

    Without a quota the jobs of other teams would wait for them to end.
    """
    dispatcher = make_dispatch(agents=1, slots=8, entry_name='e')
    dispatcher.quotas.configure({'heavy': 5}, ('e',), 0.0)
    dispatcher.enqueue(make_job('heavy', tasks=20), 0.0)
    dispatcher.enqueue(make_job('light', tasks=2), 0.0)
    (placed,) = dispatcher.place(_get_full_share, 0.0)
    teams = [task.job.team for task in placed.tasks]
    assert teams.count('heavy') == 5
    assert teams.count('light') == 2


def test_a_preset_changes_decisions_at_once(make_dispatch, make_job):
    dispatcher = make_dispatch()
    job = make_job(tasks=800, seconds=0.5, deadline=5.8)
    assert dispatcher.admit(job, _is_open, 0.0) is None
    dispatcher.use_preset(presets.MAINTENANCE, 0.0)
    assert dispatcher.admit(job, _is_open, 0.0).code == 'overloaded'
    assert dispatcher.status(0.0).preset == 'maintenance'


def test_status_shows_queued_teams_and_ejected_agents(make_dispatch, make_job):
    dispatcher = make_dispatch(agents=2, slots=8)
    job = make_job('team', tasks=20)
    dispatcher.enqueue(job, 0.0)
    dispatcher.place(_get_full_share, 0.0)
    for _ in range(8):
        dispatcher.record_outcome('a1', job, 0, False, 0.1, 0.0)
    status = dispatcher.status(0.0)
    assert status.queued == (('team', 4),)
    assert status.ejected == ('a1',)
    assert status.running == 8
    assert status.slots == 8
