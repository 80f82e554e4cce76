import dataclasses

import pytest

from agatepick.api import calls
from agatepick.api import operators
from agatepick.config import cluster
from tests import conftest

TOKEN = {'Authorization': f'Bearer {conftest.OPERATOR}'}
IN_FORCE = cluster.ClusterConfig(version=6)
ACCEPTED = cluster.ClusterConfig(
    version=7, zones=(cluster.Zone('talca', True, 5.0),), preset='peak'
)


@dataclasses.dataclass(frozen=True)
class View:
    """Configuration part of an entry's status."""

    in_force: cluster.ClusterConfig = IN_FORCE
    accepted: cluster.ClusterConfig = ACCEPTED


@dataclasses.dataclass(frozen=True)
class Status:
    """Status that the fake reducer answers."""

    configuration: View = View()
    zones: tuple[str, ...] = ('curico', 'talca')


def make_reducer(kind, version=8):
    """Return a fake reducer that gives every change the same verdict."""

    def answer(event):
        if isinstance(event, calls.StatusAsked):
            return Status()
        return cluster.ProposalOutcome(event.call, kind, version, 12.5)

    return answer


def send_request(serve, answer, method, path, body=None, **headers):
    async def scenario(site):
        return await site.fetch(method, path, body, **{**TOKEN, **headers})

    return serve(answer, scenario, routes=operators.routes)


def test_responses_show_the_versions_in_force_and_accepted(serve):
    """A zone was taken out of service, but the fence hasn't elapsed.

    The response must show the operator that tasks may still start there.
    """
    response = send_request(
        serve, make_reducer('accepted'), 'GET', '/v1/zones'
    )
    assert response.headers['ETag'] == '"7"'
    assert response.data['zones'] == [
        {'name': 'curico', 'in_force': 'in', 'accepted': 'in', 'since': 0.0},
        {'name': 'talca', 'in_force': 'in', 'accepted': 'out', 'since': 5.0},
    ]
    response = send_request(
        serve, make_reducer('accepted'), 'GET', '/v1/presets'
    )
    assert response.data['in_force'] == 'ordinary'
    assert response.data['accepted'] == 'peak'


@pytest.mark.parametrize(
    'path, body, change',
    [
        ('/v1/zones/talca', {'state': 'out'}, cluster.ZoneOut('talca')),
        ('/v1/zones/talca', {'state': 'in'}, cluster.ZoneIn('talca')),
        ('/v1/presets/peak', {}, cluster.PresetUse('peak')),
    ],
)
def test_a_change_is_based_on_the_version_in_if_match(
    serve, path, body, change
):
    events = []

    def answer(event):
        events.append(event)
        return make_reducer('accepted')(event)

    response = send_request(serve, answer, 'PUT', path, body, If_Match='"7"')
    assert (response.code, response.headers['ETag']) == (200, '"8"')
    assert response.data['in_force_at'] == 12.5
    assert (events[0].change, events[0].based_on) == (change, 7)


@pytest.mark.parametrize(
    'kind, headers, http',
    [
        ('conflict', {'If_Match': '"7"'}, 412),
        ('conflict', {}, 409),
        ('unavailable', {}, 503),
        ('unknown', {}, 504),
        ('invalid', {}, 422),
    ],
)
def test_a_change_that_is_not_accepted_has_its_own_status(
    serve, kind, headers, http
):
    """Two operators make changes at once, or the table service fails.

    A conflict names the accepted version; after a lost response the outcome
    is reported as unknown.
    """
    body = {'kind': 'quota_set', 'team': 'talca', 'slots': 5}
    answer = make_reducer(kind, version=9)
    response = send_request(
        serve, answer, 'POST', '/v1/config', body, **headers
    )
    assert response.code == http
    assert response.headers['Content-Type'] == 'application/problem+json'
    assert (response.data['code'], response.data['version']) == (kind, 9)


@pytest.mark.parametrize(
    'method, path, body, headers, http',
    [
        ('GET', '/v1/status', None, {'Authorization': 'Bearer x'}, 401),
        ('PUT', '/v1/zones/talca', {'state': 'off'}, {}, 422),
        ('PUT', '/v1/zones/a%20b', {'state': 'out'}, {}, 404),
        ('PUT', '/v1/presets/loud', {}, {}, 404),
        ('POST', '/v1/config', {'kind': 'x'}, {}, 422),
        ('POST', '/v1/config', {'kind': 'zone_out'}, {'If_Match': '7'}, 422),
        ('PUT', '/v1/presets/peak', {}, {'If_Match': 'seven'}, 400),
    ],
)
def test_a_faulty_request_changes_nothing(
    serve, method, path, body, headers, http
):
    def answer(event):
        pytest.fail('the request reached the reducer')

    response = send_request(serve, answer, method, path, body, **headers)
    assert response.code == http


def test_a_balancer_needs_no_token(serve):
    response = send_request(serve, None, 'GET', '/healthz', Authorization='')
    assert (response.code, response.data) == (200, {'ready': True})
