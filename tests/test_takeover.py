import asyncio
import dataclasses

import pytest
import uuid_utils

from agatepick.agentside import ledger
from agatepick.net import messages
from agatepick.owning import jobs
from agatepick.owning import ownership
from agatepick.owning import takeover
from agatepick import types
from tests import agents
from tests import local_cluster

NOW = agents.NOW
REMOVED = agents.member('lost', removed_at=NOW + 1)
SUCCESSOR = agents.member('heir')
MEMBERS = (REMOVED, SUCCESSOR)
KEY = next(
    agents.key(seed)
    for seed in range(100)
    if ownership.may_have_been_started(agents.key(seed), MEMBERS)
)
AGENTS = {'x': messages.Hello('x', 'agent', 7, 'z', 'r', '', 0)}


def spec(count=3, payload=b'{}', team='team'):
    tasks = tuple(
        types.TaskSpec(f't{index}', 'k', payload) for index in range(count)
    )
    return types.JobSpec(KEY, team, tasks, NOW + 60)


def report(index, state):
    """Return an agent's report on one task of the lost entry's job."""
    digest = ledger.compute_task_digest('team', 'k', b'{}')
    return messages.TaskReport(KEY, index, 1, state, b'1', digest=digest)


def make_takeover(*reports, last=True):
    """Return the takeover at the successor, with an agent's reports.

    :param last: whether the agent has sent all its reports.
    """
    job_takeover = takeover.Takeover('heir', 600.0, 2.0)
    orphans = messages.Orphans('lost', 1, reports, last)
    job_takeover.on_orphans('x', 7, orphans)
    return job_takeover


def adopt_job(job_takeover, connected=None, count=3):
    job = jobs.Job(spec(count), NOW)
    takeover.adopt(
        job, job_takeover.pop(KEY), AGENTS if connected is None else connected
    )
    return job


def outcomes(job):
    """Return the outcome of each task; ``None`` for one without an answer."""
    return [one.answer and one.answer.outcome.value for one in job.tasks]


def test_a_resubmitted_job_takes_over_what_agents_report():
    """An entry is killed while its job runs, and its caller submits again.

    Finished tasks keep their answers and running ones are awaited.  A task
    that no agent reports may have run, so it must not end as "not run".
    """
    job_takeover = make_takeover(report(0, 'finished'), report(1, 'running'))
    job = adopt_job(job_takeover)
    assert outcomes(job) == ['finished', None, 'unknown']
    assert job.tasks[1] == jobs.TaskRecord('x', 7, 1, adopted=True)
    assert job.open_count == 1


def test_a_task_that_ends_before_its_job_is_resubmitted_is_kept():
    """The caller of a lost entry waits before it submits again.

    Its task ends meanwhile.  If that report were dropped, the task would stay
    running for ever in the caller's view.
    """
    job_takeover = make_takeover(report(1, 'running'))
    job_takeover.on_result('x', report(1, 'finished'))
    assert outcomes(adopt_job(job_takeover))[1] == 'finished'


def test_a_taken_over_task_that_was_not_sent_in_time_is_unknown():
    """An agent that froze reports a task as running, and then as not sent.

    If the task were still awaited, its caller would wait to the deadline.
    """
    job_takeover = make_takeover(report(0, 'running'))
    other = dataclasses.replace(report(0, 'refused'), attempt=2)
    job_takeover.on_result('x', other)
    job_takeover.on_result('y', report(0, 'refused'))
    assert job_takeover.has_reports(KEY)
    job_takeover.on_result('x', report(0, 'refused'))
    assert outcomes(adopt_job(job_takeover, count=1)) == ['unknown']


@pytest.mark.parametrize(
    'connected',
    [{}, {'x': dataclasses.replace(AGENTS['x'], incarnation=8)}],
)
def test_a_running_task_of_a_lost_agent_is_unknown(connected):
    """An entry and an agent that runs its tasks die together.

    If the task were awaited, the job would never end, as the agent sends no
    report any more.
    """
    job_takeover = make_takeover(report(0, 'running'))
    assert outcomes(adopt_job(job_takeover, connected, 1)) == ['unknown']


def test_another_body_under_a_taken_over_key_is_refused():
    """A caller reuses a key for another job, or another team uses the key.

    The new owner doesn't have the first body.  It must not send the results
    of one request as the answer to another.
    """
    job_takeover = make_takeover(report(0, 'finished'), report(1, 'finished'))
    assert job_takeover.matches(spec())
    assert not job_takeover.matches(spec(count=1))
    assert not job_takeover.matches(spec(payload=b'{"other": 1}'))
    assert not job_takeover.matches(spec(team='other'))


def test_a_job_waits_until_each_agent_has_sent_all_reports():
    """Reports arrive one message after another while a caller submits again.

    If the job were answered after half of them, finished tasks would end as
    unknown.
    """
    now = NOW + 1.5
    job_takeover = make_takeover(last=False)
    assert job_takeover.may_have_started(KEY, MEMBERS)
    assert not job_takeover.is_complete(KEY, MEMBERS, AGENTS, now)
    job_takeover = make_takeover()
    assert job_takeover.is_complete(KEY, MEMBERS, AGENTS, now)
    other = dataclasses.replace(AGENTS['x'], name='y')
    more = AGENTS | {'y': other}
    assert not job_takeover.is_complete(KEY, MEMBERS, more, now)
    assert job_takeover.is_complete(KEY, MEMBERS, more, now + 5)
    late = (REMOVED, dataclasses.replace(SUCCESSOR, listed_at=NOW + 60))
    assert not job_takeover.is_complete(KEY, late, more, now + 60)


def test_invalid_reports_are_ignored():
    """A peer of another version sends a report with an invalid state or key.

    If it were stored, this entry would crash when it uses or deletes it.
    """
    odd = dataclasses.replace(report(1, 'finished'), job='x')
    job_takeover = make_takeover(report(0, 'odd'), odd)
    job_takeover.on_result('x', odd)
    assert len(job_takeover) == 0


def test_reports_are_deleted_when_their_keys_expire():
    job_takeover = make_takeover(report(0, 'finished'))
    job_takeover.delete_expired(NOW + 599)
    assert job_takeover.has_reports(KEY)
    job_takeover.delete_expired(NOW + 601)
    assert not job_takeover.has_reports(KEY)
    assert len(job_takeover) == 0


def test_a_killed_entry_s_job_is_answered_by_its_successor():
    """An entry's machine fails while the caller waits for its job.

    The caller submits the job again to another entry.  It gets the complete
    answer, and no task is started a second time.
    """

    async def main():
        async with local_cluster.cluster() as cluster:
            first, second = cluster.entries
            key = {'Idempotency-Key': await _create_key_owned_by(first)}
            body = local_cluster.make_job_body(4, 0.3)
            lost = asyncio.create_task(
                cluster.call(first, 'POST', '/v1/jobs', body, **key)
            )
            async with asyncio.timeout(local_cluster.TIMEOUT_SECONDS):
                while cluster.count_starts() < 4:
                    await asyncio.sleep(0.01)
            first.kill()
            lost.cancel()
            async with asyncio.timeout(local_cluster.TIMEOUT_SECONDS):
                while True:
                    code, answer = await cluster.call(
                        second, 'POST', '/v1/jobs', body, **key
                    )
                    if answer.get('run') != 'pending':
                        break
                    await asyncio.sleep(0.1)
            assert code == 200, answer
            states = {one['outcome'] for one in answer['tasks']}
            assert states == {'finished'}
            assert cluster.count_starts() == 4

    asyncio.run(main())


def test_new_jobs_run_at_once_after_a_planned_stop():
    """An operator replaces an entry while callers keep submitting jobs.

    The first jobs of the next owner must run instead of failing.
    """

    async def main():
        async with local_cluster.cluster() as cluster:
            first, second = cluster.entries
            keys = []
            stopping = asyncio.create_task(first.stop())
            while len(cluster.list_entries(second)) > 1:
                keys.append(str(uuid_utils.uuid7()))
                await asyncio.sleep(0.1)
            keys += [str(uuid_utils.uuid7()) for _ in range(10)]
            answers = await asyncio.gather(
                *[
                    cluster.call(
                        second,
                        'POST',
                        '/v1/jobs',
                        local_cluster.make_job_body(1),
                        **{'Idempotency-Key': key},
                    )
                    for key in keys[-15:]
                ]
            )
            assert [code for code, _ in answers] == [200] * 15, answers
            await stopping

    asyncio.run(main())


async def _create_key_owned_by(entry):
    """Return a new key that an entry owns."""
    now = entry.dependencies.clock.now()
    members = entry.entry.configuration.in_force(now).entries
    while True:
        key = str(uuid_utils.uuid7())
        if ownership.find_owner(key, members).name == entry.name:
            return key
        # Soon after a start, another entry may own all keys.  The event loop
        # must run meanwhile, otherwise every entry's lease expires.
        await asyncio.sleep(0.01)
