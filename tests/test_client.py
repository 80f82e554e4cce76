import asyncio
import random

import pytest

from agatepick.cmd import client
from agatepick import exceptions
from agatepick import types

JOB = client.Job(
    (client.Task('a', 'slot', {'club': 7}),), team='talca', timeout_seconds=30
)


def complete(event):
    tasks = (types.TaskAnswer('a', types.Outcome.FINISHED, b'{"ok": true}'),)
    return types.JobAnswer(event.job.key, types.JobStatus.COMPLETE, tasks)


def submit(serve, answer, entries=()):
    async def scenario(site):
        found = client.Client([*entries, site.url], rng=random.Random(1))
        found._next = 0
        try:
            return await found.submit(JOB)
        finally:
            found.close()

    return serve(answer, scenario)


def test_a_job_comes_back_with_the_upstreams_values(serve):
    found = submit(serve, complete)
    assert found.complete
    assert found.tasks[0].body == {'ok': True}


def test_a_refusal_that_says_when_is_tried_again_under_a_new_key(serve):
    """An entry in a burst refuses a job as not run, for some seconds.

    The refusal of that key stands, so the caller's job runs under another.
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
        return complete(event)

    found = submit(serve, answer)
    assert (found.complete, found.tries) == (True, 2)
    assert len(set(keys)) == 2


def test_a_pending_job_is_joined_under_its_own_key(serve):
    """The entry that owned a job is lost while the caller waits.

    A new key would run the job twice; the same one joins it.
    """
    keys = []

    def answer(event):
        keys.append(event.job.key)
        if len(keys) == 1:
            return types.JobAnswer(
                event.job.key, types.JobStatus.PENDING, retry_after=0.01
            )
        return complete(event)

    assert submit(serve, answer).complete
    assert len(set(keys)) == 1 and len(keys) == 2


def test_an_entry_that_is_gone_is_passed_over(serve):
    """One of the entries refuses connections.

    The caller's job goes to the next one.
    """
    found = submit(serve, complete, ['http://127.0.0.1:9'])
    assert (found.complete, found.tries) == (True, 2)


def test_what_a_retry_cannot_mend_is_the_answer(serve):
    def answer(event):
        return types.JobAnswer(
            event.job.key, types.JobStatus.NOT_RUN, code='never_fits'
        )

    found = submit(serve, answer)
    assert (found.code, found.tries) == ('never_fits', 1)


def test_a_wrong_token_is_not_tried_again(serve):
    """A team's token was renewed, and a caller still has the old one.

    It learns so at once, instead of at its job's deadline.
    """

    async def scenario(site):
        found = client.Client([site.url], token='x' * 16)
        try:
            return await found.submit(JOB)
        finally:
            found.close()

    found = serve(pytest.fail, scenario, teams={'talca': 'y' * 16})
    assert (found.code, found.tries) == ('bad_token', 1)
    assert found.run == types.JobStatus.PENDING


def test_no_entry_at_all_is_an_error_that_names_it():
    """No entry listens any more.

    The caller learns that nobody answered, not that the job didn't run.
    """

    async def scenario():
        found = client.Client(['http://127.0.0.1:9'], rng=random.Random(1))
        try:
            await found.ask('k')
        finally:
            found.close()

    with pytest.raises(exceptions.Unreachable) as caught:
        asyncio.run(scenario())
    assert caught.value.peer == 'http://127.0.0.1:9'
