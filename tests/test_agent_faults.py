"""An agent whose steps raise exceptions: what the other runs notice."""

import pytest

from agatepick import core
from agatepick.net import codec
from agatepick.net import messages
from agatepick.repeatable import faults
from agatepick.repeatable import jobs
from agatepick.repeatable import workerapi
from agatepick import types
from tests import repeatable_world


@pytest.fixture
def world():
    """Return a world with one entry and one agent that are connected."""
    world = repeatable_world.World(entries=1, agents=1)
    world.run(2.0)
    return world


def fail_for(monkeypatch, owner, name, matches):
    """Let a method raise an exception for some of its arguments."""
    method = getattr(owner, name)

    def guarded(*args):
        if matches(*args):
            raise ZeroDivisionError('bad run')
        return method(*args)

    monkeypatch.setattr(owner, name, guarded)


def test_a_start_that_fails_does_not_lose_the_others(monkeypatch, world):
    """An exception is raised at the first run of a start message.

    The others would never run, and their callers would wait in vain.
    """
    agent = world.nodes['agent-0'].reducer
    fail_for(
        monkeypatch,
        agent._controller,
        'start',
        lambda owner, spec, *args: spec.job == 'bad',
    )
    free = agent._capacity.free
    world.submit(repeatable_world.make_job('bad', 1, world.now + 2.0))
    world.submit(repeatable_world.make_job('good', 3))
    world.run(1.5)
    assert world.answers['good'].verdict is jobs.Verdict.COMPLETE
    assert agent._capacity.free == free
    world.run(3.0)
    assert not world.false_refusals


def test_a_step_that_fails_does_not_end_the_event(monkeypatch, world):
    """An exception is raised whenever an agent sends capacity updates.

    Its reports and renewals would be lost too, and all runs with them.
    """
    agent = world.nodes['agent-0'].reducer
    world.submit(repeatable_world.make_job('j', 3))
    world.run(0.01)
    fail_for(monkeypatch, agent._publisher, 'publish', lambda *args: True)
    world.run(2.0)
    assert world.answers['j'].verdict is jobs.Verdict.COMPLETE


def test_nothing_extends_a_lease_that_can_not_be_enforced(monkeypatch, world):
    """An exception is raised when an agent looks for expired leases.

    A run that should have been stopped may go on, while its entry starts the
    task elsewhere: the worker has to end it, so nothing may extend its lease.
    """
    agent = world.nodes['agent-0'].reducer
    world.workers['agent-0'].slowness = 1000.0
    world.submit(repeatable_world.make_job('j', 1, expected=100.0))
    world.run(0.1)
    controller = agent._controller
    fail_for(monkeypatch, controller, 'enforce_leases', lambda now: True)
    before = agent._owners['entry-0'].lease_until
    renewed = messages.Renewed(world.now + 1.0)
    effects = agent.reduce(core.Received('entry-0', renewed), world.now)
    assert agent._owners['entry-0'].lease_until == before
    run = messages.RunSpec('k', 0, 1, 'k.0', types.Needs(1.0, 1, 0))
    payloads = (messages.Payload('k', b''),)
    starts = messages.StartRuns(9, 0, (run,), payloads=payloads)
    effects += agent.reduce(core.Received('entry-0', starts), world.now)
    sent = (workerapi.StartRun, workerapi.RequestLists)
    assert not any(isinstance(effect, sent) for effect in effects)
    (refused,) = [
        one
        for effect in effects
        if isinstance(effect, core.Send)
        and isinstance(effect.message, messages.RunReports)
        for one in effect.message.reports
    ]
    assert refused.reason == faults.REASON


def test_a_report_that_can_not_be_sent_is_sent_without_its_reason(world):
    """A worker gives a reason that no message holds.

    The entry would count the run as going on until its caller gives up.
    """
    agent = world.nodes['agent-0'].reducer
    over = types.RunState.OVER.value
    odd = messages.RunReports((messages.RunReport('j', 0, 1, over, 7, 0.1),))
    event = core.SendFailed('entry-0', odd, 'KjException')
    (plain,) = [
        effect.message
        for effect in agent.reduce(event, world.now)
        if isinstance(effect, core.Send)
        and isinstance(effect.message, messages.RunReports)
    ]
    assert codec.decode(codec.encode(plain)) == plain
    assert plain.reports[0].state == over
    event = core.SendFailed('entry-0', plain, 'KjException')
    assert not any(
        isinstance(effect, core.Send)
        and isinstance(effect.message, messages.RunReports)
        for effect in agent.reduce(event, world.now)
    )
