import hypothesis
from hypothesis import strategies as st
import pytest

from agatepick.agentside import upstream
from agatepick import core
from agatepick.net import messages
from agatepick import types
from tests import agents

KEY = agents.key()


def test_a_task_runs_and_its_result_goes_to_its_owner():
    harness = agents.make_ready_agent()
    task = agents.task(KEY)
    assert agents.list_started_tasks(harness.start('e', task)) == [(KEY, 0)]
    (results,) = agents.sent(harness.end(task, body=b'[2]'), messages.Results)
    (report,) = results.reports
    assert (report.state, report.body) == ('finished', b'[2]')
    assert results.credits == 8


def test_a_copy_of_a_start_is_answered_from_the_ledger():
    """A start message arrives again while its task runs and after its end.

    If the copy started the task again, a user would see a meeting booked
    twice.
    """
    harness = agents.make_ready_agent()
    task = agents.task(KEY)
    harness.start('e', task)
    effects = harness.start('e', task)
    assert agents.list_started_tasks(effects) == []
    assert agents.reports(effects) == {0: ('running', '')}
    harness.end(task)
    effects = harness.start('e', task)
    assert agents.list_started_tasks(effects) == []
    assert agents.reports(effects) == {0: ('finished', '')}


def test_a_late_copy_stays_refused_and_a_later_attempt_runs():
    """A start is refused for lack of a slot, and its task placed elsewhere.

    A delayed copy of the start arrives when a slot is free again.  If it ran,
    the task would run twice and the answer "not run" would be false.
    """
    harness = agents.make_ready_agent(slots=1)
    busy, late = agents.task(KEY, 0), agents.task(KEY, 1)
    harness.start('e', busy)
    effects = harness.start('e', late)
    assert agents.reports(effects) == {1: ('refused', 'no_slot')}
    harness.end(busy)
    effects = harness.start('e', late)
    assert agents.list_started_tasks(effects) == []
    assert agents.reports(effects) == {1: ('refused', 'no_slot')}
    assert agents.list_started_tasks(
        harness.start('e', agents.task(KEY, 1, 2))
    ) == [(KEY, 1)]


def test_settle_refuses_starts_that_have_not_arrived():
    """A connection breaks with a start in flight.

    The owner reconnects and asks the agent to settle its tasks: to report
    those that have started and to refuse all others for good.  Then the
    delayed start arrives after all.  If it ran, the task would run twice,
    as the owner has placed it elsewhere meanwhile.
    """
    harness = agents.make_ready_agent()
    started, not_arrived = agents.task(KEY, 0), agents.task(KEY, 1)
    harness.start('e', started)
    harness.disconnect('e')
    harness.end(started)
    harness.connect('e')
    assert agents.reports(harness.settle('e', started, not_arrived)) == {
        0: ('finished', ''),
        1: ('refused', 'settled'),
    }
    assert agents.list_started_tasks(harness.start('e', not_arrived)) == []


@pytest.mark.parametrize(
    ('ahead', 'before', 'reason'),
    [
        (0.0, 0.0, 'start_too_late'),
        (0.2, 0.1, 'start_too_late'),
        (-0.2, 0.1, ''),
        (0.3, 3.0, 'clock'),
        (-0.3, 3.0, 'clock'),
    ],
)
def test_a_start_past_its_permit_or_from_a_wrong_clock_is_refused(
    ahead, before, reason
):
    """A start is past its permit, or its entry's clock is too far off.

    If it ran, a task would start in a zone that operators took out.
    """
    harness = agents.AgentHarness()
    harness.feed(agents.announced())
    harness.connect('e', ahead=ahead)
    effects = harness.start('e', agents.task(KEY), before=before)
    reports = agents.reports(effects)
    assert reports == ({0: ('refused', reason)} if reason else {})
    assert len(agents.list_started_tasks(effects)) == (not reason)


def test_a_task_that_was_not_sent_in_time_is_refused_and_may_run_again():
    """The agent freezes after its decision, until the permit has ended.

    The order holds the end of the permit by the agent's own clock, which may
    differ from the entry's.  The task hasn't run, so its owner may place it
    again.
    """
    harness = agents.AgentHarness()
    harness.feed(agents.announced(term=1000.0))
    harness.connect('e', ahead=0.2)
    task = agents.task(KEY)
    (order,) = [
        effect
        for effect in harness.start('e', task, before=3.0)
        if isinstance(effect, upstream.RunTask)
    ]
    assert order.start_before == pytest.approx(agents.NOW + 2.8, abs=1e-3)
    harness.now += 4.0
    effects = harness.feed(
        upstream.TaskEnded(
            KEY, 0, 1, types.TaskState.REFUSED, reason='start_too_late'
        )
    )
    assert agents.reports(effects) == {0: ('refused', 'start_too_late')}
    effects = harness.start('e', task)
    assert agents.list_started_tasks(effects) == []
    again = agents.task(KEY, attempt=2)
    assert agents.list_started_tasks(harness.start('e', again)) == [(KEY, 0)]


def test_a_start_for_an_earlier_incarnation_is_lost_not_refused():
    """An agent restarts while starts to it are in flight.

    Its earlier incarnation may have run them, so the agent may neither run
    them nor answer "not run".
    """
    harness = agents.make_ready_agent()
    effects = harness.start(
        'e', agents.task(KEY), agent=harness.incarnation - 1
    )
    assert agents.list_started_tasks(effects) == []
    assert agents.reports(effects) == {0: ('lost', 'other_incarnation')}


def test_running_tasks_never_exceed_slots_or_resources():
    """Two owners send starts to the same agent at the same time.

    With more tasks than it has room for, a worker would slow down or kill
    its tasks.
    """
    harness = agents.make_ready_agent('a', 'b', slots=3)
    needs = types.Needs(3.0, 0, 0)
    tasks = [agents.task(KEY, index, needs=needs) for index in range(4)]
    effects = harness.start('a', *tasks[:2]) + harness.start('b', *tasks[2:])
    assert len(agents.list_started_tasks(effects)) == 2
    assert agents.reports(effects) == {
        2: ('refused', 'no_room'),
        3: ('refused', 'no_room'),
    }
    small = [agents.task(agents.key(1), index) for index in range(2)]
    effects = harness.start('b', *small)
    assert agents.list_started_tasks(effects) == [(small[0].job, 0)]
    assert agents.reports(effects) == {1: ('refused', 'no_slot')}


def test_results_of_tasks_that_end_together_are_sent_together():
    harness = agents.make_ready_agent()
    tasks = [agents.task(KEY, index) for index in range(5)]
    harness.start('e', *tasks)
    first = harness.end(tasks[0])
    assert agents.reports(first) == {0: ('finished', '')}
    delayed = harness.end(tasks[1]) + harness.end(tasks[2])
    assert agents.reports(delayed) == {}
    assert core.WakeAt(harness.now + 0.002) in delayed
    harness.now += 0.002
    (results,) = agents.sent(harness.feed(core.Tick()), messages.Results)
    assert [one.index for one in results.reports] == [1, 2]
    # No other task runs after these two, so their reports aren't held.
    harness.end(tasks[3])
    assert agents.reports(harness.end(tasks[4])).keys() == {3, 4}


def test_an_upstream_that_stops_renewing_loses_its_tasks_for_good():
    """A worker dies while it runs tasks, or is paused for long.

    The caller receives the outcome "unknown".  The tasks aren't run again,
    and the slots of tasks that may still run aren't used for others.
    """
    harness = agents.AgentHarness()
    harness.feed(agents.announced(slots=2, term=5.0))
    harness.connect('e')
    task = agents.task(KEY)
    harness.start('e', task)
    effects = harness.tick(5.0)
    assert agents.reports(effects) == {0: ('lost', 'upstream_lapsed')}
    assert agents.sent(effects, messages.Offer)[-1].credits == 1
    harness.feed(agents.announced(slots=2, term=5.0))
    more = [agents.task(agents.key(1), index) for index in range(2)]
    assert len(agents.list_started_tasks(harness.start('e', *more))) == 1
    assert agents.reports(harness.end(task)) == {}
    assert agents.reports(harness.settle('e', task))[0][0] == 'lost'


def test_an_agent_that_was_paused_gives_its_upstream_time_to_renew():
    """The agent is paused while the upstream renews its announcement.

    The renewals wait in a socket.  If the announcement expired at once, all
    running tasks would end as unknown although they run and finish.
    """
    harness = agents.AgentHarness()
    harness.feed(agents.announced(term=5.0))
    harness.connect('e')
    harness.tick()
    harness.start('e', agents.task(KEY))
    harness.now += 30
    assert agents.reports(harness.feed(core.Tick())) == {}
    assert agents.reports(harness.tick(5.0)) == {
        0: ('lost', 'upstream_lapsed')
    }


def test_a_new_session_of_the_upstream_loses_the_tasks_of_the_old_one():
    """A worker's process is restarted and announces itself at once.

    The tasks of the earlier process will have no answer, so they are reported
    as lost.
    """
    harness = agents.make_ready_agent(slots=1)
    first = agents.task(KEY)
    harness.start('e', first)
    effects = harness.feed(agents.announced('other', slots=1))
    assert agents.reports(effects) == {0: ('lost', 'upstream_restarted')}
    second = agents.task(KEY, 1)
    assert agents.list_started_tasks(harness.start('e', second)) == [(KEY, 1)]
    assert agents.reports(harness.end(first)) == {}


def test_a_leaving_upstream_gets_no_new_task_and_ends_its_running_ones():
    """A worker is taken down for maintenance while tasks run on it.

    If they were cut off, they would be lost; if it got new tasks, the worker
    would never be idle.
    """
    harness = agents.make_ready_agent()
    task = agents.task(KEY)
    harness.start('e', task)
    effects = harness.feed(upstream.UpstreamLeft('s'))
    assert agents.sent(effects, messages.Offer)[-1].leaving
    effects = harness.start('e', agents.task(KEY, 1))
    assert agents.reports(effects) == {1: ('refused', 'leaving')}
    assert agents.reports(harness.end(task)) == {0: ('finished', '')}


def test_a_stopping_agent_delivers_its_results_before_it_exits():
    """An agent is stopped for an upgrade while a task runs on its worker.

    If the agent exited while the owner is disconnected, the result would be
    lost and the task would end as unknown.
    """
    harness = agents.make_ready_agent()
    task = agents.task(KEY)
    harness.start('e', task)
    assert agents.sent(harness.feed(core.StopRequested()), messages.Offer)
    harness.disconnect('e')
    assert core.Exit() not in harness.end(task) + harness.tick(1.0)
    harness.connect('e')
    effects = harness.settle('e', task)
    assert agents.reports(effects) == {0: ('finished', '')}
    assert effects[-1] == core.Exit()
    assert isinstance(effects[-2].message, messages.Goodbye)


def test_stopping_a_job_stops_its_running_tasks_and_refuses_late_starts():
    """A caller cancels a job whose starts are still in flight.

    A start that ran after the cancellation would waste a slot.
    """
    harness = agents.make_ready_agent()
    tasks = [agents.task(KEY, index) for index in range(3)]
    harness.start('e', *tasks[:2])
    effects = harness.receive('e', messages.StopJob(KEY, 'throttle'))
    assert [one.action for one in effects] == ['throttle', 'throttle']
    effects = harness.receive('e', messages.StopJob(KEY, 'stop'))
    assert [(one.index, one.action) for one in effects] == [
        (0, 'stop'),
        (1, 'stop'),
    ]
    effects = harness.start('e', tasks[2])
    assert agents.reports(effects) == {2: ('refused', 'job_stopped')}


def test_successors_get_reports_on_the_tasks_of_a_removed_entry():
    """An entry dies while its tasks run, and its jobs pass to successors.

    Without the agent's reports, every task would end as unknown.  Reports sent
    before the removal is in force could miss tasks that start later.
    """
    harness = agents.make_ready_agent('a', 'b')
    ended, running = agents.task(KEY, 0), agents.task(KEY, 1)
    harness.start('a', ended, running)
    harness.end(ended)
    harness.disconnect('a')
    removed = agents.member('a', removed_at=agents.NOW + 3)
    members = messages.Members(2, (removed, agents.member('b')))
    effects = harness.receive('b', members) + harness.tick(2.0)
    assert agents.sent(effects, messages.Orphans) == []
    first, last = agents.sent(harness.tick(1.0), messages.Orphans, 'b')
    states = {one.index: one.state for one in first.reports}
    assert states == {0: 'finished', 1: 'running'}
    assert (first.owner, last.owner, last.last) == ('a', 'a', True)
    assert agents.reports(harness.end(running), 'b') == {1: ('finished', '')}
    effects = harness.connect('a')
    assert agents.sent(effects, messages.Offer) == []
    effects = harness.start('a', agents.task(KEY, 2))
    assert agents.reports(effects) == {2: ('refused', 'owner_removed')}


def test_entries_are_dialled_while_they_are_listed():
    harness = agents.AgentHarness()
    assert harness.tick() == [core.Dial('seed:1', 'seed:1')]
    harness.connect('a')
    members = (agents.member('a'), agents.member('b'), agents.member('seed'))
    effects = harness.receive('a', messages.Members(1, members))
    assert [one for one in effects if isinstance(one, core.Dial)] == [
        core.Dial('a', 'a:1'),
        core.Dial('b', 'b:1'),
    ]
    removed = agents.member('b', removed_at=agents.NOW)
    members = (agents.member('a'), removed)
    effects = harness.receive('a', messages.Members(2, members))
    assert core.Hangup('b') in effects
    assert harness.receive('a', messages.Members(1, members)) == []


def test_an_unreachable_upstream_gets_no_further_task():
    """A worker's process has ended before its announcement expires.

    Each task sent to it until then would be lost, while the
    worker seems idle.
    """
    harness = agents.make_ready_agent()
    task = agents.task(KEY)
    harness.start('e', task)
    harness.feed(upstream.UpstreamGone('s'))
    effects = harness.end(task, types.TaskState.LOST)
    assert agents.reports(effects)[0][0] == 'lost'
    effects = harness.start('e', agents.task(KEY, 1))
    assert agents.reports(effects) == {1: ('refused', 'no_upstream')}
    effects = harness.feed(agents.announced('other'))
    assert agents.sent(effects, messages.Offer)[0].credits == 8


any_message = st.one_of(
    *[
        st.from_type(kind)
        for kind in (
            messages.Starts,
            messages.Settle,
            messages.StopJob,
            messages.Ask,
            messages.Members,
            messages.Pong,
            messages.Goodbye,
            messages.Forward,
        )
    ]
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(st.lists(any_message, max_size=12))
def test_no_message_stops_an_agent_or_overfills_its_slots(drawn):
    """A peer of another version, or a broken one, sends odd values.

    If one stopped the agent, all tasks of its worker would be lost.
    """
    harness = agents.make_ready_agent()
    for message in drawn:
        harness.receive('e', message)
        harness.tick()
    assert len(agents.list_started_tasks(harness.effects)) == 0
    good = [
        agents.task(agents.key(at=harness.now), index) for index in range(9)
    ]
    harness.connect('f')
    before = len(harness.effects)
    harness.start('f', *good)
    assert len(agents.list_started_tasks(harness.effects[before:])) <= 8


@pytest.mark.parametrize('before', [float('nan'), float('-inf')])
def test_a_permit_whose_end_is_not_a_time_has_expired(before):
    """An owner computes an end of its lease that is NaN or infinite.

    Every comparison with NaN is false.  If the agent checked whether the
    permit has ended, and not whether it is still valid, a permit until NaN
    would never expire, and tasks would start in a zone that was taken out.
    """
    harness = agents.make_ready_agent()
    effects = harness.start('e', agents.task(KEY), before=before)
    assert agents.reports(effects) == {0: ('refused', 'start_too_late')}
