import asyncio
import uuid

import pytest

from agatepick.api import callers
from agatepick.owning import ownership
from agatepick import types
from tests import conftest

KEY = '0190a5e4-7b00-7000-8000-000000000001'
JOB = {
    'team': 'talca',
    'tasks': [
        {'id': 'a', 'kind': 'slot', 'payload': {'club': 7}},
        {'id': 'b', 'kind': 'slot', 'needs': {'cpu': 1.5}},
    ],
    'timeout_seconds': 5,
}


def answer_complete(event):
    """Answer a job as complete, with each task's payload as its body."""
    tasks = tuple(
        types.TaskAnswer(task.id, types.Outcome.FINISHED, task.payload)
        for task in event.job.tasks
    )
    return types.JobAnswer(event.job.key, types.JobStatus.COMPLETE, tasks)


def no_reply(event):
    return None


def test_a_job_is_submitted_and_answered_with_the_callers_ids(serve):
    events = []

    def answer(event):
        events.append(event)
        return answer_complete(event)

    async def scenario(site):
        return await site.fetch('POST', '/v1/jobs', JOB, Idempotency_Key=KEY)

    response = serve(answer, scenario)
    assert response.code == 200
    assert response.data == {
        'job': KEY,
        'run': 'complete',
        'tasks': [
            {'id': 'a', 'outcome': 'finished', 'body': {'club': 7}},
            {'id': 'b', 'outcome': 'finished', 'body': None},
        ],
    }
    (event,) = events
    assert event.job.deadline == conftest.NOW + 5
    assert event.job.tasks[1].needs == types.Needs(cpu=1.5)


def test_an_entry_generates_a_key_for_a_request_without_one(serve):
    async def scenario(site):
        return await site.fetch('POST', '/v1/jobs', JOB)

    response = serve(answer_complete, scenario)
    assert uuid.UUID(response.data['job']).version == 7


def test_a_generated_key_has_the_time_of_the_process_clock(serve):
    """The machine's clock is set forward while an entry runs.

    The entry's process clock doesn't step.  Generated keys with the machine's
    time would be ahead of it, and the entry would reject every job without a
    key until a restart.
    """

    async def scenario(site):
        return await site.fetch('POST', '/v1/jobs', JOB)

    response = serve(answer_complete, scenario)
    assert ownership.get_timestamp(response.data['job']) == conftest.NOW


def test_a_long_job_is_pending_with_a_location(serve):
    """A job runs longer than the entry holds the request open.

    The caller receives the URL to poll instead of an error.
    """

    async def scenario(site):
        response = await site.fetch(
            'POST', '/v1/jobs', JOB, Idempotency_Key=KEY, Prefer='wait=0'
        )
        assert len(site.front.calls) == 0
        return response

    response = serve(no_reply, scenario)
    assert response.code == 202
    assert response.data['run'] == 'pending'
    assert response.headers['Location'] == f'/v1/jobs/{KEY}'
    assert response.headers['Retry-After'] == '1'


@pytest.mark.parametrize(
    'status, code, retry_after, http',
    [
        (types.JobStatus.NOT_RUN, 'overloaded', 2.2, 503),
        (types.JobStatus.NOT_RUN, 'too_large', 0.0, 422),
        (types.JobStatus.NOT_RUN, 'quota', 1.0, 429),
        (types.JobStatus.FAILED, '', 0.0, 502),
        (types.JobStatus.FAILED, 'deadline', 0.0, 504),
    ],
)
def test_a_job_that_did_not_complete_is_a_problem(
    serve, status, code, retry_after, http
):
    """A job is rejected by admission control, or some of its tasks fail.

    The response has one field that reports whether anything ran and another
    with the retry delay.
    """
    task = types.TaskAnswer('a', types.Outcome.UNKNOWN, reason='agent lost')

    def answer(event):
        return types.JobAnswer(
            event.job.key,
            status,
            (task,),
            code=code,
            reason='why',
            step='admit',
            peer='entry-2',
            retry_after=retry_after,
        )

    async def scenario(site):
        return await site.fetch('POST', '/v1/jobs', JOB)

    response = serve(answer, scenario)
    assert response.code == http
    assert response.headers['Content-Type'] == 'application/problem+json'
    assert response.data['run'] == status.value
    assert response.data['peer'] == 'entry-2'
    assert response.data['tasks'][0]['outcome'] == 'unknown'
    expected = str(int(-(-retry_after // 1))) if retry_after else None
    assert response.headers.get('Retry-After') == expected


@pytest.mark.parametrize(
    'change, field',
    [
        ({'tasks': []}, '$.tasks'),
        ({'tasks': [{'id': 'a'}]}, '$.tasks[0]'),
        ({'tasks': JOB['tasks'][:1] * 2}, '$.tasks[1].id'),
        ({'tasks': [{'id': 1, 'kind': 'k'}]}, '$.tasks[0].id'),
        ({'deadline': 9e9, 'timeout_seconds': None}, '$.deadline'),
        ({'team': ''}, '$.team'),
        ({'tusks': 1}, '$'),
    ],
)
def test_a_faulty_body_is_refused_with_the_field_at_fault(
    serve, change, field
):
    async def scenario(site):
        return await site.fetch('POST', '/v1/jobs', {**JOB, **change})

    response = serve(pytest.fail, scenario)
    assert response.code == 422
    assert response.data['run'] == 'not_run'
    assert response.data['field'] == field


@pytest.mark.parametrize(
    'body, options, http, code',
    [
        (b'{"tasks": [', {}, 400, 'bad_json'),
        (b'x' * 3000, {'max_body_bytes': 2048}, 413, 'body_too_large'),
        (JOB, {'max_tasks': 1}, 413, 'too_many_tasks'),
        (JOB, {'max_header_bytes': 100}, 431, 'headers_too_large'),
    ],
)
def test_a_request_over_a_limit_is_refused_as_not_run(
    serve, body, options, http, code
):
    """A caller sends a request that is too large or isn't JSON.

    The response names the limit and reports that nothing ran.
    """

    async def scenario(site):
        return await site.fetch('POST', '/v1/jobs', body)

    response = serve(pytest.fail, scenario, **options)
    assert (response.code, response.data['code']) == (http, code)
    assert response.data['run'] == 'not_run'


@pytest.mark.parametrize('key, run', [(KEY, 'pending'), (None, 'not_run')])
def test_a_busy_entry_does_not_call_a_running_job_not_run(serve, key, run):
    """A caller resubmits a job at an entry that is at its call limit.

    The job may already run.  After "not run" the caller would use a new key,
    the job would run twice, and two clubs would be booked onto one copy.
    """
    headers = {'Idempotency-Key': key} if key else {}

    async def scenario(site):
        site.front.calls._limit = 0
        return await site.fetch('POST', '/v1/jobs', JOB, **headers)

    response = serve(pytest.fail, scenario)
    assert (response.code, response.data['code']) == (503, 'busy')
    assert response.data['run'] == run
    assert response.headers['Retry-After'] == '1'


def test_an_expired_deadline_is_checked_by_the_owner(serve):
    """A caller resubmits a job after the deadline in its body.

    The job may have run, so the entry passes it to the owner instead of
    rejecting it.
    """
    body = {**JOB, 'deadline': conftest.NOW - 5, 'timeout_seconds': None}

    async def scenario(site):
        return await site.fetch('POST', '/v1/jobs', body)

    assert serve(answer_complete, scenario).code == 200


def test_an_incomplete_body_is_refused_after_the_idle_timeout(serve):
    """A caller's connection stalls in the middle of its request.

    After the idle timeout the caller receives an error and the connection is
    released.
    """

    async def scenario(site):
        reader, writer = await asyncio.open_connection('127.0.0.1', site.port)
        writer.write(
            b'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{'
        )
        answer = await reader.read()
        writer.close()
        return answer

    answer = serve(pytest.fail, scenario, idle_seconds=0.05)
    assert answer.startswith(b'HTTP/1.1 408')
    assert b'"run":"not_run"' in answer


def test_a_key_that_is_not_a_uuid7_is_refused(serve):
    async def scenario(site):
        return await site.fetch(
            'POST', '/v1/jobs', JOB, Idempotency_Key=str(uuid.UUID(int=4))
        )

    response = serve(pytest.fail, scenario)
    assert (response.code, response.data['code']) == (422, 'bad_key')


def test_a_token_names_the_team_of_its_caller(serve):
    """A caller sends another team's name, or no token.

    The request is rejected, so that no team can use another team's quota.
    """
    token_header = {'Authorization': f'Bearer {conftest.TEAM_TOKEN}'}
    teams = []

    def answer(event):
        teams.append(event.job.team)
        return answer_complete(event)

    async def scenario(site):
        nameless = {**JOB, 'team': ''}
        other = {**JOB, 'team': 'curico'}
        return [
            (
                await site.fetch('POST', '/v1/jobs', nameless, **token_header)
            ).code,
            (await site.fetch('POST', '/v1/jobs', other, **token_header)).code,
            (await site.fetch('POST', '/v1/jobs', JOB)).code,
        ]

    codes = serve(answer, scenario, teams={'talca': conftest.TEAM_TOKEN})
    assert codes == [200, 403, 401]
    assert teams == ['talca']


def test_a_closed_connection_does_not_cancel_its_job(serve):
    """A caller's connection breaks while its request is held open.

    The job continues: only a DELETE cancels it, and the caller can still
    query its answer.
    """
    events = []

    async def scenario(site):
        _, writer = await asyncio.open_connection('127.0.0.1', site.port)
        body = b'{"team":"t","tasks":[{"id":"a","kind":"k"}]}'
        writer.write(
            b'POST /v1/jobs HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
        )
        while not events:
            await asyncio.sleep(0.001)
        writer.close()
        while len(site.front.calls):
            await asyncio.sleep(0.001)

    serve(events.append, scenario)
    assert [type(event).__name__ for event in events] == ['JobSubmitted']


def test_a_cancelled_job_and_an_unknown_one(serve):
    def answer(event):
        if event.key == KEY:
            return types.JobAnswer(
                KEY, types.JobStatus.FAILED, code='cancelled'
            )
        return types.JobAnswer(
            event.key, types.JobStatus.NOT_RUN, code='unknown_job'
        )

    async def scenario(site):
        other = KEY[:-1] + '2'
        return [
            (await site.fetch('DELETE', f'/v1/jobs/{KEY}')).code,
            (await site.fetch('GET', f'/v1/jobs/{KEY}')).code,
            (await site.fetch('DELETE', f'/v1/jobs/{other}')).code,
            (await site.fetch('GET', '/v1/jobs/x')).code,
            (await site.fetch('GET', '/v1/nothing')).code,
            (await site.fetch('PUT', '/v1/jobs', {})).code,
        ]

    assert serve(answer, scenario) == [200, 409, 404, 404, 404, 405]


def test_an_upstream_body_that_is_not_json_keeps_the_answer_valid(serve):
    """An upstream responds with bytes that aren't JSON.

    The caller can still read the outcome of every task.
    """

    def answer(event):
        task = types.TaskAnswer('a', types.Outcome.FINISHED, b'{"oh\xff')
        return types.JobAnswer(KEY, types.JobStatus.COMPLETE, (task,))

    async def scenario(site):
        return await site.fetch('POST', '/v1/jobs', JOB)

    body = serve(answer, scenario).data['tasks'][0]['body']
    assert body.startswith('{"oh')
    assert callers.parse_job_key(f'"{KEY}"', conftest.NOW) == KEY
