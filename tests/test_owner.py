import random

import pytest

from agatepick.api import calls
from agatepick.config import cluster
from agatepick.config import permits
from agatepick import core
from agatepick.decisions import dispatch
from agatepick.net import messages
from agatepick.owning import jobs
from agatepick.owning import owner
from agatepick.owning import ownership
from agatepick import types
from tests import agents

NOW = 1_800_000_000.0
LEASE_SECONDS = 2.0


class Config:
    """The part of the configuration that an owner uses."""

    version = 1

    def __init__(self):
        self.lease = NOW + LEASE_SECONDS

    def permits(self, now):
        lease = self.lease if now < self.lease else 0.0
        document = cluster.ClusterConfig()
        return permits.Snapshot(now, lease, document, (), ())


@pytest.fixture
def config():
    return Config()


@pytest.fixture
def job_owner(config):
    """Return an owner with one agent of two slots."""
    rng = random.Random(1)
    settings = dispatch.DispatchSettings('e')
    dispatcher = dispatch.Dispatch.from_config(settings, rng)
    job_owner = owner.Owner('e', 1, owner.OwnerConfig(), config, dispatcher)
    hello = messages.Hello('a', 'agent', 7, 'z', 'r', '', 0)
    job_owner.on_agent_up(hello, NOW)
    offer = messages.Offer(7, 2, 2, ('k',), types.Needs(), False)
    job_owner.on_offer('a', offer, NOW)
    return job_owner


def job(name, count=1):
    tasks = tuple(types.TaskSpec(f't{i}', 'k') for i in range(count))
    return types.JobSpec(name, 'team', tasks, NOW + 60)


def submit(job_owner, name, now, count=1):
    job_owner.advance(now)
    effects = job_owner.submit(job(name, count), jobs.LocalWaiter(1), now)
    return effects + job_owner.advance(now)


def replies(effects):
    """Return the answers to callers among the effects."""
    return [one.answer for one in effects if isinstance(one, calls.Reply)]


def starts(effects):
    """Return the ``Starts`` messages to agents among the effects."""
    return [
        one.message
        for one in effects
        if isinstance(one, core.Send)
        and isinstance(one.message, messages.Starts)
    ]


def report(state, attempt=0):
    """Return an agent's message that reports the state of one task."""
    one = messages.TaskReport('j', 0, attempt, state, b'1', 'why', 0.1)
    return messages.Results(7, 2, (one,))


def test_a_job_sent_after_a_pause_waits_for_the_lease(job_owner, config):
    """The process was paused for longer than its read lease.

    The first jobs after it resumes must not be refused.  They start a moment
    later, when the configuration has been read again.
    """
    late = NOW + LEASE_SECONDS + 5
    effects = job_owner.submit(job('j'), jobs.LocalWaiter(1), late)
    effects += job_owner.advance(late)
    assert not replies(effects) and not starts(effects)
    config.lease = late + LEASE_SECONDS
    (sent,) = starts(job_owner.advance(late + 0.01))
    assert sent.start_before == config.lease


def test_jobs_are_refused_after_the_grace_of_an_expired_lease(job_owner):
    """The store and the peers are unreachable.

    New jobs must get the answer "not run" at once instead of waiting.
    """
    lapsed = NOW + LEASE_SECONDS
    job_owner.advance(lapsed)
    effects = submit(job_owner, 'j', lapsed + owner.LEASE_GRACE_SECONDS)
    (answer,) = replies(effects)
    assert answer.status is types.JobStatus.NOT_RUN
    assert answer.code == 'no_lease'
    assert not starts(effects)


def test_a_refused_start_is_tried_again_under_the_next_attempt(job_owner):
    (sent,) = starts(submit(job_owner, 'j', NOW))
    assert sent.tasks[0].attempt == 0
    effects = job_owner.on_results('a', report('refused'), NOW + 0.1)
    assert not replies(effects)
    (retry,) = starts(effects + job_owner.advance(NOW + 1.5))
    assert retry.tasks[0].attempt == 1


def test_a_report_of_an_older_attempt_changes_nothing(job_owner):
    """A delayed report about an earlier attempt arrives.

    If it were applied to the current attempt, a running task would count as
    ended.
    """
    submit(job_owner, 'j', NOW)
    assert not replies(job_owner.on_results('a', report('finished', 5), NOW))
    (answer,) = replies(job_owner.on_results('a', report('finished'), NOW))
    assert answer.status is types.JobStatus.COMPLETE
    assert not replies(job_owner.on_results('a', report('failed'), NOW))


def test_a_deadline_ends_a_job_and_shows_which_tasks_may_have_run(job_owner):
    """A task runs past the deadline while other tasks are queued.

    The answer must show which tasks may have run and which never will.
    """
    submit(job_owner, 'j', NOW, count=3)
    (answer,) = replies(job_owner.advance(NOW + 60))
    assert answer.status is types.JobStatus.FAILED
    outcomes = [one.outcome for one in answer.tasks]
    assert outcomes == ['unknown', 'unknown', 'not_run']


def test_the_refusal_of_a_key_ahead_of_the_clock_is_stored_until_it_expires():
    """A caller's clock is ahead, and a copy of its request arrives very late.

    The key is valid for the window and two seconds more.  If its refusal were
    deleted before that, the job would run after the answer "not run".
    """
    settings = dispatch.DispatchSettings()
    dispatcher = dispatch.Dispatch.from_config(settings, random.Random(1))
    job_owner = owner.Owner('e', 1, owner.OwnerConfig(), None, dispatcher)
    key = agents.key(at=agents.NOW + 2)
    spec = types.JobSpec(key, 'team', (types.TaskSpec('t', 'k'),), 0.0)
    waiter = jobs.LocalWaiter(1)
    job_owner.refuse(
        spec, dispatch.Refusal('busy', 'full', 0.0), waiter, agents.NOW
    )
    late = agents.NOW + 601
    job_owner.on_tick(late)
    assert ownership.check_key(key, late) is None
    assert job_owner.answer_resubmission(spec, waiter) is not None


def test_an_adopted_task_that_was_not_sent_in_time_is_not_started(job_owner):
    """An agent that froze reports a removed entry's task as not sent.

    The removed entry may have had other attempts of the task, so its
    successor never starts it.
    """
    adopted = job_owner.jobs.add(job('j'), NOW)
    adopted.waiters.append(jobs.LocalWaiter(1))
    adopted.tasks[0] = jobs.TaskRecord('a', 7, 0, adopted=True)
    effects = job_owner.on_results('a', report('refused'), NOW)
    effects += job_owner.advance(NOW + 1.5)
    (answer,) = replies(effects)
    assert [one.outcome for one in answer.tasks] == ['unknown']
    assert not starts(effects)
