"""An entry whose steps raise exceptions: what the other jobs notice."""

import dataclasses
import random

import pytest

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import admission
from agatepick.repeatable import entry
from agatepick.repeatable import events
from agatepick.repeatable import faults
from agatepick.repeatable import jobs
from agatepick.repeatable import routes
from agatepick.repeatable import shrinking
from agatepick.repeatable import suspects
from agatepick import types
from tests import repeatable_world

COMPLETE = jobs.Verdict.COMPLETE
NOW = 50.0


class Desk:
    """An entry with one agent, played by hand."""

    def __init__(self):
        cfg = entry.EntryConfig('e', 'z')
        self.entry = entry.Entry.from_config(cfg, random.Random(1))
        self.now = NOW
        self.calls = 0
        self.feed(core.PeerUp(messages.Hello('a', 'agent', 1, 'z', '', '', 0)))
        self.receive(messages.Renewal(NOW))
        capacity = repeatable_world.CAPACITY
        room = messages.Room(1, True, 'pool', (), capacity, capacity)
        self.receive(room)

    def feed(self, event):
        return self.entry.reduce(event, self.now)

    def receive(self, message):
        return self.feed(core.Received('a', message))

    def submit(self, spec):
        """Submit a job; return the number of the call and its answer."""
        self.calls += 1
        effects = self.feed(events.JobArrived(self.calls, spec))
        return self.calls, find_answer(effects, self.calls)

    def tick(self):
        self.now += 0.05
        self.receive(messages.Renewal(self.now))
        return self.feed(core.Tick())


def find_answer(effects, call):
    for effect in effects:
        if isinstance(effect, events.Reply) and effect.call == call:
            return effect.answer
    return None


def find_starts(effects):
    """Return the runs in the start messages."""
    return [
        run
        for effect in effects
        if isinstance(effect, core.Send)
        and isinstance(effect.message, messages.StartRuns)
        for run in effect.message.runs
    ]


def report(run, state, seconds=0.1):
    return messages.RunReport(
        run.job, run.index, run.run, state.value, '', seconds
    )


def fail_for(monkeypatch, owner, name, matches):
    """Let a method raise an exception for some of its arguments."""
    method = getattr(owner, name)

    def guarded(*args):
        if matches(*args):
            raise ZeroDivisionError('bad job')
        return method(*args)

    monkeypatch.setattr(owner, name, guarded)


@pytest.fixture
def desk():
    return Desk()


def make_job(key, tasks=2, **change):
    spec = repeatable_world.make_job(key, tasks, NOW + 30.0)
    return dataclasses.replace(spec, **change)


def test_a_job_that_can_not_be_placed_ends_alone(monkeypatch, desk):
    """An exception is raised whenever one job's tasks are placed.

    No job would start any more, and all their callers would wait in vain.
    """
    fail_for(
        monkeypatch,
        desk.entry._estimator,
        'estimate_run',
        lambda job, *args: job.key == 'bad',
    )
    bad, _ = desk.submit(make_job('bad'))
    desk.submit(make_job('good'))
    effects = desk.tick()
    assert {run.job for run in find_starts(effects)} == {'good'}
    answer = find_answer(effects, bad)
    assert (answer.verdict, answer.reason) == (
        jobs.Verdict.NOT_RUN,
        faults.REASON,
    )
    (note,) = [
        effect
        for effect in effects
        if isinstance(effect, core.Note) and effect.name == 'fault'
    ]
    assert dict(note.fields)['job'] == 'bad'
    assert not find_starts(desk.tick())


def test_a_job_that_fails_after_its_first_start_is_given_up(monkeypatch, desk):
    """An exception is raised at the second task of a job.

    Its first task may run already, so "not run" would be false; and its run
    must be stopped after it was started, not before.
    """
    fail_for(
        monkeypatch,
        desk.entry._estimator,
        'estimate_run',
        lambda job, task, siblings: task.name == 'bad.1',
    )
    call, _ = desk.submit(make_job('bad'))
    effects = desk.tick()
    assert find_answer(effects, call).verdict is jobs.Verdict.GIVEN_UP
    sent = [type(e.message) for e in effects if isinstance(e, core.Send)]
    assert sent == [messages.StartRuns, messages.StopRuns]
    (run,) = find_starts(effects)
    desk.receive(messages.RunReports((report(run, types.RunState.OVER),)))
    assert desk.submit(make_job('bad'))[1] is None


def test_a_report_that_fails_does_not_lose_the_others(monkeypatch, desk):
    """An exception is raised at the first of two reports in one message.

    The task of the second would count as running until its caller gives up.
    """
    fail_for(
        monkeypatch,
        desk.entry._estimator,
        'observe',
        lambda job, *args: job.key == 'bad',
    )
    bad, _ = desk.submit(make_job('bad', 1))
    good, _ = desk.submit(make_job('good', 1))
    runs = find_starts(desk.tick())
    reports = [report(run, types.RunState.FINISHED) for run in runs]
    reports.sort(key=lambda one: one.job)
    effects = desk.receive(messages.RunReports(tuple(reports)))
    assert find_answer(effects, bad).verdict is jobs.Verdict.GIVEN_UP
    assert find_answer(effects, good).verdict is COMPLETE
    assert desk.submit(make_job('bad', 1))[1] is None


def test_a_job_that_can_not_be_checked_ends_alone(monkeypatch, desk):
    """An exception is raised when one job's runs are checked.

    The checks of all others, and all placements, would end with it.
    """
    fail_for(
        monkeypatch,
        desk.entry._stragglers,
        'mark_stragglers',
        lambda job, now: job.spec.key == 'bad',
    )
    bad, _ = desk.submit(make_job('bad'))
    desk.submit(make_job('good'))
    effects = desk.tick()
    assert find_answer(effects, bad).verdict is jobs.Verdict.NOT_RUN
    assert {run.job for run in find_starts(effects)} == {'good'}


@pytest.mark.parametrize(
    ('owner', 'name'),
    [
        (admission.Admission, 'update_shares'),
        (shrinking.Shrinking, 'find_endings'),
        (suspects.Suspects, 'judge'),
    ],
)
def test_an_optional_decision_that_fails_stops_no_check(
    monkeypatch, desk, owner, name
):
    """An optional decision raises at each check.

    Jobs past their deadline must still be answered: their callers wait.
    """
    late = repeatable_world.make_job('late', 1, NOW + 0.5)
    call, _ = desk.submit(late)
    monkeypatch.setattr(owner, name, None)
    effects = []
    for _ in range(20):
        effects += desk.tick()
    assert find_answer(effects, call).verdict is jobs.Verdict.GIVEN_UP
    assert any(
        isinstance(effect, core.Note) and effect.name == 'fault'
        for effect in effects
    )


def test_a_job_that_fails_on_arrival_is_answered(monkeypatch, desk):
    fail_for(
        monkeypatch,
        desk.entry._admission,
        'find_refusal',
        lambda spec, now: spec.key == 'bad',
    )
    answer = desk.submit(make_job('bad'))[1]
    assert answer.verdict is jobs.Verdict.NOT_RUN
    assert desk.submit(make_job('good'))[1] is None


def test_a_start_message_that_can_not_be_sent_harms_one_job(desk):
    """One job's run has a value that no message holds.

    The runs of other jobs in the same message would count as started for good.
    """
    bad, _ = desk.submit(make_job('bad', 1))
    desk.submit(make_job('good', 1))
    effects = desk.tick()
    (send,) = [e for e in effects if isinstance(e, core.Send)]
    broken = tuple(
        dataclasses.replace(run, needs=types.Needs(1.0, -5, 0))
        if run.job == 'bad'
        else run
        for run in send.message.runs
    )
    unsent = dataclasses.replace(send.message, runs=broken)
    effects = desk.feed(core.SendFailed('a', unsent, 'KjException'))
    answer = find_answer(effects, bad)
    assert (answer.verdict, answer.reason) == (
        jobs.Verdict.NOT_RUN,
        faults.REASON,
    )
    (run,) = find_starts(desk.tick())
    assert (run.job, run.run) == ('good', 1)
    assert desk.submit(make_job('bad', 1))[1] is None


def test_starts_are_sent_without_a_request_that_can_not_be(desk):
    """The capacity request in a start message can't be encoded."""
    desk.submit(make_job('good', 1))
    (send,) = [e for e in desk.tick() if isinstance(e, core.Send)]
    want = messages.Want(1, types.Needs(1.0, -1, 0), 0.0, types.Needs())
    unsent = dataclasses.replace(send.message, want=want)
    effects = desk.feed(core.SendFailed('a', unsent, 'KjException'))
    assert [run.job for run in find_starts(effects)] == ['good']


def test_a_job_whose_last_run_fails_after_its_answer_is_forgotten():
    """A caller leaves, and then its task fails for the last time.

    The job's ID would be refused as ``ending`` for ever, and its record would
    stay in memory.
    """
    desk = Desk()
    route = routes.Route('q', 'host', '/q/', 'pool', max_attempts=1)
    call, _ = desk.submit(make_job('j', 1, route=route))
    (run,) = find_starts(desk.tick())
    desk.feed(events.CallerLeft(call))
    desk.receive(messages.RunReports((report(run, types.RunState.FAILED),)))
    assert desk.submit(make_job('j', 1, route=route))[1] is None


def test_a_job_that_was_let_in_and_fits_nowhere_is_refused():
    """All machines lose power, and a job comes before any worker is known.

    It declares more memory than any worker has: its caller would wait until it
    gives up, and jobs behind it would be refused as if the queue were long.
    """
    world = repeatable_world.World(entries=1)
    spec = repeatable_world.make_job('j', 2, expected=100.0)
    huge = types.Needs(6.0, 2**31, 0)
    tasks = tuple(dataclasses.replace(task, needs=huge) for task in spec.tasks)
    world.submit(dataclasses.replace(spec, tasks=tasks))
    assert 'j' not in world.answers
    world.run(3.0)
    answer = world.answers['j']
    assert (answer.verdict, answer.reason) == (
        jobs.Verdict.NOT_RUN,
        'no_worker',
    )
