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
    rig = agents.ready()
    one = agents.task(KEY)
    assert agents.ran(rig.start('e', one)) == [(KEY, 0)]
    (results,) = agents.sent(rig.end(one, body=b'[2]'), messages.Results)
    (report,) = results.reports
    assert (report.state, report.body) == ('finished', b'[2]')
    assert results.credits == 8


def test_a_copy_of_a_start_is_answered_from_the_ledger():
    """A message arrives twice, while its task runs and after it has ended.

    A user would see a meeting booked twice.
    """
    rig = agents.ready()
    one = agents.task(KEY)
    rig.start('e', one)
    effects = rig.start('e', one)
    assert agents.ran(effects) == []
    assert agents.reports(effects) == {0: ('running', '')}
    rig.end(one)
    effects = rig.start('e', one)
    assert agents.ran(effects) == []
    assert agents.reports(effects) == {0: ('finished', '')}


def test_a_refusal_stands_against_a_late_copy_and_a_later_attempt_runs():
    """A start finds no free slot, is refused and is placed elsewhere.

    A copy of it, held up on the way, arrives when slots are free again.  If
    it ran, the task would run twice and "not run" would have been a lie.
    """
    rig = agents.ready(slots=1)
    busy, late = agents.task(KEY, 0), agents.task(KEY, 1)
    rig.start('e', busy)
    effects = rig.start('e', late)
    assert agents.reports(effects) == {1: ('refused', 'no_slot')}
    rig.end(busy)
    effects = rig.start('e', late)
    assert agents.ran(effects) == []
    assert agents.reports(effects) == {1: ('refused', 'no_slot')}
    assert agents.ran(rig.start('e', agents.task(KEY, 1, 2))) == [(KEY, 1)]


def test_settling_refuses_for_good_what_never_arrived():
    """A connection breaks with a start on its way, and the owner asks.

    The start arrives after all, held up in a socket.  If it ran, the owner
    would meanwhile have placed the task elsewhere.
    """
    rig = agents.ready()
    there, lost = agents.task(KEY, 0), agents.task(KEY, 1)
    rig.start('e', there)
    rig.disconnect('e')
    rig.end(there)
    rig.connect('e')
    assert agents.reports(rig.settle('e', there, lost)) == {
        0: ('finished', ''),
        1: ('refused', 'settled'),
    }
    assert agents.ran(rig.start('e', lost)) == []


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
    """A start is held up until its permit is over, or clocks disagree.

    If it ran, a zone that operators took out would still start work.
    """
    rig = agents.Rig()
    rig.feed(agents.announced())
    rig.connect('e', ahead=ahead)
    effects = rig.start('e', agents.task(KEY), before=before)
    found = agents.reports(effects)
    assert found == ({0: ('refused', reason)} if reason else {})
    assert len(agents.ran(effects)) == (not reason)


def test_a_start_for_an_earlier_life_of_the_agent_is_lost_not_refused():
    """An agent restarts while starts to it are on their way.

    Its earlier life may have run them, so neither a start nor "not run"
    would be right.
    """
    rig = agents.ready()
    effects = rig.start('e', agents.task(KEY), agent=rig.incarnation - 1)
    assert agents.ran(effects) == []
    assert agents.reports(effects) == {0: ('lost', 'other_incarnation')}


def test_what_runs_never_exceeds_slots_or_resources():
    """Two owners fill the same agent at the same moment.

    Overfilled, every task on the worker would slow down or be killed.
    """
    rig = agents.ready('a', 'b', slots=3)
    needs = types.Needs(3.0, 0, 0)
    tasks = [agents.task(KEY, index, needs=needs) for index in range(4)]
    effects = rig.start('a', *tasks[:2]) + rig.start('b', *tasks[2:])
    assert len(agents.ran(effects)) == 2
    assert agents.reports(effects) == {
        2: ('refused', 'no_room'),
        3: ('refused', 'no_room'),
    }
    small = [agents.task(agents.key(1), index) for index in range(2)]
    effects = rig.start('b', *small)
    assert agents.ran(effects) == [(small[0].job, 0)]
    assert agents.reports(effects) == {1: ('refused', 'no_slot')}


def test_results_that_end_together_ride_together():
    rig = agents.ready()
    tasks = [agents.task(KEY, index) for index in range(5)]
    rig.start('e', *tasks)
    first = rig.end(tasks[0])
    assert agents.reports(first) == {0: ('finished', '')}
    held = rig.end(tasks[1]) + rig.end(tasks[2])
    assert agents.reports(held) == {}
    assert core.WakeAt(rig.now + 0.002) in held
    rig.now += 0.002
    (results,) = agents.sent(rig.feed(core.Tick()), messages.Results)
    assert [one.index for one in results.reports] == [1, 2]
    # Nothing else runs after these two: no reason to wait.
    rig.end(tasks[3])
    assert agents.reports(rig.end(tasks[4])).keys() == {3, 4}


def test_an_upstream_that_stops_renewing_loses_its_tasks_for_good():
    """A worker dies in the middle of its tasks, or is paused for long.

    The caller learns that their fate is unknown.  They aren't run again, and
    the slots of what may still run aren't filled a second time.
    """
    rig = agents.Rig()
    rig.feed(agents.announced(slots=2, term=5.0))
    rig.connect('e')
    one = agents.task(KEY)
    rig.start('e', one)
    effects = rig.tick(5.0)
    assert agents.reports(effects) == {0: ('lost', 'upstream_lapsed')}
    assert agents.sent(effects, messages.Offer)[-1].credits == 1
    rig.feed(agents.announced(slots=2, term=5.0))
    more = [agents.task(agents.key(1), index) for index in range(2)]
    assert len(agents.ran(rig.start('e', *more))) == 1
    assert agents.reports(rig.end(one)) == {}
    assert agents.reports(rig.settle('e', one))[0][0] == 'lost'


def test_an_agent_that_was_paused_gives_its_upstream_time_to_renew():
    """The agent's machine stands still while the upstream renews its lease.

    The renewals wait in a socket.  Given up at once, all running tasks would
    be unknown although they run and end well.
    """
    rig = agents.Rig()
    rig.feed(agents.announced(term=5.0))
    rig.connect('e')
    rig.tick()
    rig.start('e', agents.task(KEY))
    rig.now += 30
    assert agents.reports(rig.feed(core.Tick())) == {}
    assert agents.reports(rig.tick(5.0)) == {0: ('lost', 'upstream_lapsed')}


def test_another_life_of_the_upstream_loses_what_the_former_ran():
    """A worker's process is restarted and announces itself at once.

    What its former life ran has no answer; the caller is told so.
    """
    rig = agents.ready(slots=1)
    one = agents.task(KEY)
    rig.start('e', one)
    effects = rig.feed(agents.announced('other', slots=1))
    assert agents.reports(effects) == {0: ('lost', 'upstream_restarted')}
    second = agents.task(KEY, 1)
    assert agents.ran(rig.start('e', second)) == [(KEY, 1)]
    assert agents.reports(rig.end(one)) == {}


def test_a_leaving_upstream_gets_nothing_new_and_ends_what_it_runs():
    """A worker is taken down for maintenance while tasks run on it.

    Cut off, they would be lost; given more, it would never come to an end.
    """
    rig = agents.ready()
    one = agents.task(KEY)
    rig.start('e', one)
    effects = rig.feed(upstream.UpstreamLeft('s'))
    assert agents.sent(effects, messages.Offer)[-1].leaving
    effects = rig.start('e', agents.task(KEY, 1))
    assert agents.reports(effects) == {1: ('refused', 'leaving')}
    assert agents.reports(rig.end(one)) == {0: ('finished', '')}


def test_a_stopping_agent_delivers_its_results_before_it_goes():
    """An agent is stopped for an upgrade while a task runs on its worker.

    The result must reach its owner, also one whose connection is broken
    just then: lost with the process, the task would be unknown.
    """
    rig = agents.ready()
    one = agents.task(KEY)
    rig.start('e', one)
    assert agents.sent(rig.feed(core.StopRequested()), messages.Offer)
    rig.disconnect('e')
    assert core.Exit() not in rig.end(one) + rig.tick(1.0)
    rig.connect('e')
    effects = rig.settle('e', one)
    assert agents.reports(effects) == {0: ('finished', '')}
    assert effects[-1] == core.Exit()
    assert isinstance(effects[-2].message, messages.Goodbye)


def test_stopping_a_job_reaches_its_running_tasks_and_bars_late_starts():
    """A caller cancels a job whose starts are still on their way.

    A start that arrives after the cancellation would run for nobody.
    """
    rig = agents.ready()
    tasks = [agents.task(KEY, index) for index in range(3)]
    rig.start('e', *tasks[:2])
    effects = rig.receive('e', messages.StopJob(KEY, 'throttle'))
    assert [one.action for one in effects] == ['throttle', 'throttle']
    effects = rig.receive('e', messages.StopJob(KEY, 'stop'))
    assert [(one.index, one.action) for one in effects] == [
        (0, 'stop'),
        (1, 'stop'),
    ]
    effects = rig.start('e', tasks[2])
    assert agents.reports(effects) == {2: ('refused', 'job_stopped')}


def test_heirs_learn_what_a_removed_entry_started():
    """An entry dies while its tasks run, and its jobs pass to others.

    Without the reports the heirs could only call every task unknown.  Reports
    before the removal is in force could miss what is still being started.
    """
    rig = agents.ready('a', 'b')
    done, runs = agents.task(KEY, 0), agents.task(KEY, 1)
    rig.start('a', done, runs)
    rig.end(done)
    rig.disconnect('a')
    gone = agents.member('a', removed_at=agents.NOW + 3)
    members = messages.Members(2, (gone, agents.member('b')))
    effects = rig.receive('b', members) + rig.tick(2.0)
    assert agents.sent(effects, messages.Orphans) == []
    first, last = agents.sent(rig.tick(1.0), messages.Orphans, 'b')
    states = {one.index: one.state for one in first.reports}
    assert states == {0: 'finished', 1: 'running'}
    assert (first.owner, last.owner, last.last) == ('a', 'a', True)
    assert agents.reports(rig.end(runs), 'b') == {1: ('finished', '')}
    effects = rig.connect('a')
    assert agents.sent(effects, messages.Offer) == []
    effects = rig.start('a', agents.task(KEY, 2))
    assert agents.reports(effects) == {2: ('refused', 'owner_removed')}


def test_entries_are_dialled_while_they_are_listed():
    rig = agents.Rig()
    assert rig.tick() == [core.Dial('seed:1', 'seed:1')]
    rig.connect('a')
    members = (agents.member('a'), agents.member('b'), agents.member('seed'))
    effects = rig.receive('a', messages.Members(1, members))
    assert [one for one in effects if isinstance(one, core.Dial)] == [
        core.Dial('a', 'a:1'),
        core.Dial('b', 'b:1'),
    ]
    gone = agents.member('b', removed_at=agents.NOW)
    members = (agents.member('a'), gone)
    effects = rig.receive('a', messages.Members(2, members))
    assert core.Hangup('b') in effects
    assert rig.receive('a', messages.Members(1, members)) == []


def test_an_upstream_that_nobody_answers_for_gets_no_further_task():
    """A worker's process is gone, and its announcement hasn't lapsed yet.

    Each task given to it until then would be lost, and it would look idle.
    """
    rig = agents.ready()
    one = agents.task(KEY)
    rig.start('e', one)
    rig.feed(upstream.UpstreamGone('s'))
    effects = rig.end(one, types.TaskState.LOST)
    assert agents.reports(effects)[0][0] == 'lost'
    effects = rig.start('e', agents.task(KEY, 1))
    assert agents.reports(effects) == {1: ('refused', 'no_upstream')}
    effects = rig.feed(agents.announced('other'))
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
    rig = agents.ready()
    for message in drawn:
        rig.receive('e', message)
        rig.tick()
    assert len(agents.ran(rig.effects)) == 0
    good = [agents.task(agents.key(at=rig.now), index) for index in range(9)]
    rig.connect('f')
    before = len(rig.effects)
    rig.start('f', *good)
    assert len(agents.ran(rig.effects[before:])) <= 8


@pytest.mark.parametrize('before', [float('nan'), float('-inf')])
def test_a_permit_that_is_no_instant_has_passed(before):
    """An owner computes an end of its lease that is no number.

    Compared the wrong way round it would never pass, and tasks would start
    in a zone that was taken out.
    """
    rig = agents.ready()
    effects = rig.start('e', agents.task(KEY), before=before)
    assert agents.reports(effects) == {0: ('refused', 'start_too_late')}
