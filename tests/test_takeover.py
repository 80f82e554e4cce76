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
from tests import whole

NOW = agents.NOW
LOST = agents.member('lost', removed_at=NOW + 1)
HEIR = agents.member('heir')
MEMBERS = (LOST, HEIR)
KEY = next(
    agents.key(seed)
    for seed in range(100)
    if ownership.taken_over(agents.key(seed), MEMBERS)
)
AGENTS = {'x': messages.Hello('x', 'agent', 7, 'z', 'r', '', 0)}


def spec(count=3, payload=b'{}', team='team'):
    tasks = tuple(
        types.TaskSpec(f't{index}', 'k', payload) for index in range(count)
    )
    return types.JobSpec(KEY, team, tasks, NOW + 60)


def report(index, state):
    digest = ledger.task_digest('team', 'k', b'{}')
    return messages.TaskReport(KEY, index, 1, state, b'1', digest=digest)


def told(*reports, last=True):
    found = takeover.Takeover('heir', 600.0, 2.0)
    orphans = messages.Orphans('lost', 1, reports, last)
    found.on_orphans('x', 7, orphans)
    return found


def adopted(found, connected=None, count=3):
    job = jobs.Job(spec(count), NOW)
    takeover.adopt(
        job, found.take(KEY), AGENTS if connected is None else connected
    )
    return job


def outcomes(job):
    return [one.answer and one.answer.outcome.value for one in job.tasks]


def test_a_resubmitted_job_takes_over_what_agents_report():
    """An entry is killed while its job runs, and its caller submits again.

    Finished tasks keep their answers, running ones are awaited, and one that
    no agent reports may have run: the caller must not be told "not run".
    """
    found = told(report(0, 'finished'), report(1, 'running'))
    job = adopted(found)
    assert outcomes(job) == ['finished', None, 'unknown']
    assert job.tasks[1] == jobs.TaskRecord('x', 7, 1, adopted=True)
    assert job.open == 1


def test_a_task_that_ends_before_its_job_is_asked_for_is_kept():
    """The caller of a lost entry waits a while before it submits again.

    Its task ends meanwhile.  If that were forgotten, the caller would be
    told that the task still runs, for ever.
    """
    found = told(report(1, 'running'))
    found.on_result('x', report(1, 'finished'))
    assert outcomes(adopted(found))[1] == 'finished'


@pytest.mark.parametrize(
    'connected',
    [{}, {'x': dataclasses.replace(AGENTS['x'], incarnation=8)}],
)
def test_a_running_task_of_a_lost_agent_is_unknown(connected):
    """An entry and an agent of its tasks die together.

    A running task is awaited at an agent that can't tell its end any more.
    """
    found = told(report(0, 'running'))
    assert outcomes(adopted(found, connected, 1)) == ['unknown']


def test_another_body_under_a_taken_over_key_is_refused():
    """A caller reuses a key for another job, or another team has the key.

    The new owner never saw the first body.  It must not hand out the results
    of one request as the answer to another.
    """
    found = told(report(0, 'finished'), report(1, 'finished'))
    assert found.fits(spec())
    assert not found.fits(spec(count=1))
    assert not found.fits(spec(payload=b'{"other": 1}'))
    assert not found.fits(spec(team='other'))


def test_a_job_waits_until_each_agent_has_told_all():
    """Reports arrive one message after another while a caller asks.

    Judged by half of them, finished tasks would be called unknown.
    """
    now = NOW + 1.5
    found = told(last=False)
    assert found.concerns(KEY, MEMBERS)
    assert not found.gathered(KEY, MEMBERS, AGENTS, now)
    found = told()
    assert found.gathered(KEY, MEMBERS, AGENTS, now)
    other = dataclasses.replace(AGENTS['x'], name='y')
    more = AGENTS | {'y': other}
    assert not found.gathered(KEY, MEMBERS, more, now)
    assert found.gathered(KEY, MEMBERS, more, now + 5)
    late = (LOST, dataclasses.replace(HEIR, listed_at=NOW + 60))
    assert not found.gathered(KEY, late, more, now + 60)


def test_reports_that_make_no_sense_are_left_out():
    """A peer of another version reports a state or key of its own.

    Kept, it would stop this entry when the report is used or forgotten.
    """
    odd = dataclasses.replace(report(1, 'finished'), job='x')
    found = told(report(0, 'odd'), odd)
    found.on_result('x', odd)
    assert len(found) == 0


def test_reports_are_forgotten_with_their_keys():
    found = told(report(0, 'finished'))
    found.forget(NOW + 599)
    assert found.reported(KEY)
    found.forget(NOW + 601)
    assert not found.reported(KEY)
    assert len(found) == 0


def test_a_killed_entry_s_job_is_answered_by_its_successor():
    """An entry's machine dies while the caller waits for its job.

    The caller submits the job again to another entry.  It gets the whole
    answer, and no task is started a second time.
    """

    async def main():
        async with whole.cluster() as cluster:
            first, second = cluster.entries
            key = {'Idempotency-Key': await _key_of(first)}
            body = whole.job(4, 0.3)
            lost = asyncio.create_task(
                cluster.call(first, 'POST', '/v1/jobs', body, **key)
            )
            async with asyncio.timeout(whole.PATIENCE):
                while cluster.starts() < 4:
                    await asyncio.sleep(0.01)
            first.kill()
            lost.cancel()
            async with asyncio.timeout(whole.PATIENCE):
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
            assert cluster.starts() == 4

    asyncio.run(main())


def test_new_jobs_run_at_once_after_a_planned_stop():
    """An operator replaces an entry while callers go on submitting jobs.

    The jobs that the next owner gets first must run, not be marked failed.
    """

    async def main():
        async with whole.cluster() as cluster:
            first, second = cluster.entries
            keys = []
            stopping = asyncio.create_task(first.stop())
            while len(cluster.listed(second)) > 1:
                keys.append(str(uuid_utils.uuid7()))
                await asyncio.sleep(0.1)
            keys += [str(uuid_utils.uuid7()) for _ in range(10)]
            answers = await asyncio.gather(
                *[
                    cluster.call(
                        second,
                        'POST',
                        '/v1/jobs',
                        whole.job(1),
                        **{'Idempotency-Key': key},
                    )
                    for key in keys[-15:]
                ]
            )
            assert [code for code, _ in answers] == [200] * 15, answers
            await stopping

    asyncio.run(main())


async def _key_of(entry):
    """A new key that an entry owns."""
    now = entry.outside.clock.now()
    members = entry.entry.configuration.in_force(now).entries
    while True:
        key = str(uuid_utils.uuid7())
        if ownership.owner(key, members).name == entry.name:
            return key
        # Soon after a start all keys are another's; the loop must go on
        # meanwhile, or every entry's lease runs out.
        await asyncio.sleep(0.01)
