import asyncio
import json

import hypothesis
from hypothesis import strategies as st
import pytest
import tornado.httpclient
import tornado.netutil

from agatepick.agentside import announce
from agatepick.agentside import upstream
from agatepick.conf import settings
from agatepick import types

GOOD = {
    'session': 's1',
    'kinds': ['k'],
    'slots': 8,
    'url': 'http://127.0.0.1:9090',
    'term_seconds': 60,
    'capacity': {'cpu': 8, 'memory_mb': 1024, 'accelerators': 0},
}


def call(*calls, **cfg):
    """Return each answer's status and JSON, and the events of the calls."""
    events = []

    async def main():
        cfg_ = settings.Upstreams('127.0.0.1:0', **cfg)
        server = announce.build_server(events.append, cfg_)
        socks = tornado.netutil.bind_sockets(0, '127.0.0.1')
        server.add_sockets(socks)
        client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        port = socks[0].getsockname()[1]
        answers = []
        for method, body in calls:
            if not isinstance(body, bytes):
                body = json.dumps(body).encode()
            response = await client.fetch(
                f'http://127.0.0.1:{port}/v1/upstream',
                method=method,
                body=body,
                raise_error=False,
                allow_nonstandard_methods=True,
            )
            data = json.loads(response.body) if response.body else None
            answers.append((response.code, data))
        client.close()
        server.stop()
        await server.close_all_connections()
        return answers

    return asyncio.run(main()), events


def test_an_upstream_announces_itself_and_leaves():
    answers, events = call(('PUT', GOOD), ('DELETE', {'session': 's1'}))
    assert answers[0] == (200, {'term_seconds': 5, 'renew_seconds': 5 / 3})
    assert answers[1] == (204, None)
    capacity = types.Needs(8.0, 1024, 0)
    assert events == [
        upstream.Announced(
            's1', ('k',), 8, capacity, 'http://127.0.0.1:9090', 5.0
        ),
        upstream.UpstreamLeft('s1'),
    ]


@pytest.mark.parametrize(
    ('change', 'field'),
    [
        ({'slots': 0}, 'slots'),
        ({'slots': 'many'}, 'slots'),
        ({'kinds': ['a b']}, 'kinds[0]'),
        ({'kinds': []}, 'kinds'),
        ({'capacity': {'cpu': -1}}, 'capacity.cpu'),
        ({'capacity': {'gpu': 1}}, 'capacity'),
        ({'term_seconds': 0}, 'term_seconds'),
        ({'other': 1}, 'other'),
        ({'url': 'http://10.0.0.1:80'}, 'url'),
        ({'url': 'http://localhost:80'}, 'url'),
        ({'url': 'file:///etc/passwd'}, 'url'),
        ({'url': 'http://127.0.0.1:9090?x=1'}, 'url'),
        ({'url': 'http://[::1'}, 'url'),
    ],
)
def test_a_fault_in_an_announcement_names_its_field(change, field):
    """A new upstream announces itself with an invalid value.

    Without the field's name its operator could not find the fault.  If it
    were accepted, a task could be sent to a machine that must not get it.
    """
    answers, events = call(('PUT', GOOD | change))
    ((code, data),) = answers
    assert (code, data['field'], events) == (400, field, [])


def test_an_address_beyond_loopback_is_accepted_if_the_settings_allow_it():
    far = GOOD | {'url': 'http://10.0.0.1:80'}
    answers, events = call(('PUT', far), plain_beyond_loopback=True)
    assert (answers[0][0], len(events)) == (200, 1)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=15)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(['PUT', 'DELETE', 'POST', 'GET']),
            st.binary(max_size=200)
            | st.recursive(
                st.none() | st.integers() | st.text(max_size=5),
                lambda inner: (
                    st.lists(inner, max_size=3)
                    | st.dictionaries(st.sampled_from([*GOOD, 'x']), inner)
                ),
                max_leaves=8,
            ),
        ),
        min_size=10,
        max_size=20,
    )
)
def test_any_body_gets_an_answer_and_the_next_valid_one_is_accepted(bodies):
    """Another program sends arbitrary bytes to the agent's port.

    If one request stopped the server, the upstream could not renew and all
    its tasks would be lost.
    """
    answers, events = call(*bodies, ('PUT', GOOD))
    assert all(400 <= code < 500 for code, _ in answers[:-1])
    assert answers[-1][0] == 200
    assert len(events) == 1
