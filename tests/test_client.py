import asyncio
import random

import pytest

from agatepick.cmd import client
from agatepick import exceptions
from agatepick import types

JOB = client.Job(
    (client.Task('a', 'slot', {'club': 7}),), team='talca', timeout_seconds=30
)


def answer_complete(event):
    tasks = (types.TaskAnswer('a', types.Outcome.FINISHED, b'{"ok": true}'),)
    return types.JobAnswer(event.job.key, types.JobStatus.COMPLETE, tasks)


def submit(serve, answer, entries=()):
    async def scenario(site):
        caller_client = client.Client(
            [*entries, site.url], rng=random.Random(1)
        )
        caller_client._next_entry = 0
        try:
            return await caller_client.submit(JOB)
        finally:
            caller_client.close()

    return serve(answer, scenario)


def test_a_job_comes_back_with_the_upstreams_values(serve):
    job_result = submit(serve, answer_complete)
    assert job_result.complete
    assert job_result.tasks[0].body == {'ok': True}


def test_a_refusal_with_a_retry_delay_is_retried_with_a_new_key(serve):
    """An overloaded entry rejects a job as not run, with a retry delay.

    The rejection of the key is final, so the client retries with a new key.
    """
    keys = []

    def answer(event):
        keys.append(event.job.key)
        if len(keys) == 1:
            return types.JobAnswer(
                event.job.key,
                types.JobStatus.NOT_RUN,
                code='overload',
                retry_after=0.01,
            )
        return answer_complete(event)

    job_result = submit(serve, answer)
    assert (job_result.complete, job_result.tries) == (True, 2)
    assert len(set(keys)) == 2


def test_a_pending_job_is_joined_under_its_own_key(serve):
    """The entry that owns a job is lost while the caller waits.

    A new key would run the job twice; the same key joins the job.
    """
    keys = []

    def answer(event):
        keys.append(event.job.key)
        if len(keys) == 1:
            return types.JobAnswer(
                event.job.key, types.JobStatus.PENDING, retry_after=0.01
            )
        return answer_complete(event)

    assert submit(serve, answer).complete
    assert len(set(keys)) == 1 and len(keys) == 2


def test_an_unreachable_entry_is_skipped(serve):
    """One of the entries refuses connections.

    The client submits the job to the next entry.
    """
    job_result = submit(serve, answer_complete, ['http://127.0.0.1:9'])
    assert (job_result.complete, job_result.tries) == (True, 2)


def test_a_permanent_rejection_is_not_retried(serve):
    def answer(event):
        return types.JobAnswer(
            event.job.key, types.JobStatus.NOT_RUN, code='never_fits'
        )

    job_result = submit(serve, answer)
    assert (job_result.code, job_result.tries) == ('never_fits', 1)


def test_a_wrong_token_is_not_tried_again(serve):
    """A team's token was replaced, and a caller still has the old one.

    The client returns the error immediately instead of at the job's deadline.
    """

    async def scenario(site):
        caller_client = client.Client([site.url], token='x' * 16)
        try:
            return await caller_client.submit(JOB)
        finally:
            caller_client.close()

    job_result = serve(pytest.fail, scenario, teams={'talca': 'y' * 16})
    assert (job_result.code, job_result.tries) == ('bad_token', 1)
    assert job_result.run == types.JobStatus.PENDING


def test_a_submission_without_any_running_entry_fails_and_says_so():
    """No entry is running.

    The error reports that no entry answered, not that the job didn't run.
    """

    async def scenario():
        caller_client = client.Client(
            ['http://127.0.0.1:9'], rng=random.Random(1)
        )
        try:
            await caller_client.ask('k')
        finally:
            caller_client.close()

    with pytest.raises(exceptions.Unreachable) as caught:
        asyncio.run(scenario())
    assert caught.value.peer == 'http://127.0.0.1:9'
