"""Arbitrary bytes at the ports: no crash, no event, and service goes on."""

import asyncio
import json
import random
import struct

import hypothesis
from hypothesis import strategies

from agatepick.api import job_bodies
from agatepick.api import web
from agatepick import core
from agatepick import exceptions
from agatepick.net import codec
from agatepick.net import links
from agatepick.net import messages
from agatepick import types
from tests import conftest

TASK = {'id': 'a', 'kind': 'slot'}
KEY = '0190a5e4-7b00-7000-8000-000000000001'
LEAVES = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats()
    | strategies.text(max_size=20)
)
VALUES = strategies.recursive(
    LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=8,
)
MEMBERS = strategies.sampled_from(
    ['team', 'tasks', 'deadline', 'timeout_seconds', 'urgent', 'zones', 'x']
)
TASK_MEMBERS = strategies.sampled_from(
    ['id', 'kind', 'payload', 'needs', 'expected_seconds', 'x']
)
HEADERS = (
    b'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: ' + b'%d\r\n\r\n'
)
FEW_EXAMPLES = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=30
)
MANY_EXAMPLES = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200
)


@MANY_EXAMPLES
@hypothesis.given(
    strategies.dictionaries(MEMBERS, VALUES, max_size=2),
    strategies.dictionaries(TASK_MEMBERS, VALUES, max_size=2),
)
def test_a_body_is_either_a_whole_job_or_refused(members, task):
    body = {'team': 't', 'tasks': [{**TASK, **task}], **members}
    data = json.dumps(body).encode()
    try:
        job = job_bodies.parse_job(data, KEY, None, conftest.NOW, 10)
    except web.Refused as exc:
        assert exc.problem.run == 'not_run'
        assert 400 <= exc.problem.status < 500
        return
    assert job.team and job.tasks
    assert job.deadline <= conftest.NOW + 300.0
    for one in job.tasks:
        json.loads(one.payload)
    start = messages.Forward(1, 'submit', KEY, job.team, (job,))
    assert codec.decode(codec.encode(start)) == start


@FEW_EXAMPLES
@hypothesis.given(
    strategies.binary(max_size=300)
    | strategies.binary(max_size=200).map(
        lambda data: b'POST /v1/jobs HTTP/1.1\r\nHost: x\r\n' + data
    )
    | strategies.binary(max_size=200).map(
        lambda data: HEADERS % len(data) + data
    )
)
def test_bytes_at_the_http_port_start_no_job(data):
    """A client that isn't a caller sends arbitrary bytes to the port.

    No job is started, and the next caller gets an answer.
    """
    asyncio.run(_check_http_port(data))


async def _check_http_port(data):
    site = conftest.start_site(conftest.fail_on_event)
    try:
        _, writer = await asyncio.open_connection('127.0.0.1', site.port)
        writer.write(data)
        await writer.drain()
        writer.close()
        response = await site.fetch('GET', '/v1/nothing')
        assert response.code == 404
    finally:
        await site.close()


FRAMES = strategies.binary(max_size=64) | strategies.binary(max_size=64).map(
    lambda data: struct.pack('>I', len(data)) + data
)


@FEW_EXAMPLES
@hypothesis.given(FRAMES, strategies.booleans())
def test_bytes_at_the_peers_port_are_no_messages(data, sends_hello):
    """A process other than agatepick's connects to the peers' port.

    The reducer receives no message from it, at most the events of a peer that
    connects and disconnects, and the messages of a real peer arrive.
    """
    asyncio.run(_check_peers_port(data, sends_hello))


async def _check_peers_port(data, sends_hello):
    events = []
    hello = messages.Hello('entry-1', 'entry', 1, 'z', 'r', '', 0)
    server_links = links.Links(
        lambda: hello, events.append, conftest.FixedClock(), random.Random(1)
    )
    sockets = conftest.bind_free_port()
    server_links.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    try:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        if sends_hello:
            writer.write(
                _frame(messages.Hello('x', 'agent', 1, '', '', '', 0))
            )
        writer.write(data)
        writer.write_eof()
        await reader.read()
        writer.close()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(_frame(messages.Hello('good', 'agent', 2, '', '', '', 0)))
        writer.write(_frame(messages.Ask(3)))
        expected = core.Received('good', messages.Ask(3))
        while expected not in events:
            await asyncio.sleep(0.001)
        writer.close()
    finally:
        server_links.end()
    from_x = [
        event
        for event in events
        if isinstance(event, core.Received) and event.peer == 'x'
    ]
    if not _is_message(data):
        assert from_x == []


def _frame(message):
    data = codec.encode(message)
    return struct.pack('>I', len(data)) + data


def _is_message(data):
    try:
        codec.decode(data[4:])
    except exceptions.BadMessage:
        return False
    return True


def test_the_unmodified_body_of_the_fuzz_tests_is_a_valid_job():
    job = job_bodies.parse_job(
        json.dumps({'team': 't', 'tasks': [TASK]}).encode(),
        KEY,
        None,
        conftest.NOW,
        10,
    )
    assert job.tasks == (types.TaskSpec('a', 'slot', b'null'),)
