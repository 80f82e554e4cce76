"""Builds the OpenAPI document of the HTTP side from the code's own types.

The document is kept as ``openapi.json`` in the package; a test holds it
against this module, and this module against the server's routes.  Write it
anew with ``python -m agatepick.api.openapi > src/agatepick/api/openapi.json``.
"""

import importlib.metadata
import json
import pathlib
import sys
import typing

import msgspec

from agatepick.api import job_bodies
from agatepick.api import operators
from agatepick.api import web
from agatepick.config import cluster

FILE = pathlib.Path(__file__).with_name('openapi.json')
_REF = '#/components/schemas/{name}'
_Json = dict[str, typing.Any]

CHANGES: tuple[type, ...] = tuple(
    one
    for one in typing.get_args(cluster.Change)
    if one is not cluster.EntryListed
)
"""Changes that an operator may propose; entries list themselves."""
BODIES: tuple[type, ...] = (
    *CHANGES,
    job_bodies.JobBody,
    job_bodies.JobReply,
    operators.ConfigReply,
    operators.Health,
    operators.PresetsReply,
    operators.VerdictReply,
    operators.ZoneBody,
    operators.ZonesReply,
    web.Problem,
)


def document() -> _Json:
    """The whole document."""
    return {
        'openapi': '3.1.0',
        'info': {
            'title': 'agatepick',
            'version': importlib.metadata.version('agatepick'),
            'description': (
                "Callers' and operators' side of an entry. Every refusal is "
                'a problem document whose "run" says what became of the '
                'work.'
            ),
        },
        'paths': {**_caller_paths(), **_operator_paths()},
        'components': {
            'schemas': _schemas(),
            'securitySchemes': {
                'team': {'type': 'http', 'scheme': 'bearer'},
                'operator': {'type': 'http', 'scheme': 'bearer'},
            },
        },
    }


def text() -> str:
    """The document as the file holds it."""
    return json.dumps(document(), indent=2, sort_keys=True) + '\n'


def _schemas() -> _Json:
    _, found = msgspec.json.schema_components(BODIES, ref_template=_REF)
    return found


def _ref(kind: type) -> _Json:
    return {'$ref': _REF.format(name=kind.__name__)}


def _content(kind: type | None, media: str = web.JSON) -> _Json:
    schema = {} if kind is None else _ref(kind)
    return {media: {'schema': schema}}


def _operation(
    summary: str,
    answers: dict[int, tuple[str, type | None]],
    *,
    body: type | None = None,
    headers: tuple[str, ...] = (),
    path: tuple[str, ...] = (),
    query: tuple[str, ...] = (),
    security: str = 'operator',
) -> _Json:
    parameters = [
        {
            'name': name,
            'in': where,
            'required': where == 'path',
            'schema': {'type': 'string'},
        }
        for where, names in (
            ('header', headers),
            ('path', path),
            ('query', query),
        )
        for name in names
    ]
    operation: _Json = {
        'summary': summary,
        'parameters': parameters,
        'responses': {
            str(status): {'description': words, 'content': _content(kind)}
            for status, (words, kind) in answers.items()
        },
    }
    operation['responses']['default'] = {
        'description': 'refused, failed, or not known: see "run" and "code"',
        'content': _content(web.Problem, web.PROBLEM),
    }
    if body is not None:
        operation['requestBody'] = {
            'required': True,
            'content': _content(body),
        }
    if security:
        operation['security'] = [{security: []}]
    return operation


def _any_change() -> _Json:
    refs = [_ref(one) for one in CHANGES]
    return {
        'required': True,
        'content': {web.JSON: {'schema': {'oneOf': refs}}},
    }


def _caller_paths() -> _Json:
    job = job_bodies.JobReply
    answers: dict[int, tuple[str, type | None]] = {
        200: ('complete: every task finished', job),
        202: ('pending: ask again at Location', job),
    }
    return {
        '/v1/jobs': {
            'post': _operation(
                'Hand in a job',
                answers,
                body=job_bodies.JobBody,
                headers=('Idempotency-Key', 'Prefer'),
                security='team',
            )
        },
        '/v1/jobs/{id}': {
            'get': _operation(
                'How a job stands', answers, path=('id',), security='team'
            ),
            'delete': _operation(
                'Cancel a job',
                {**answers, 200: ('cancelled, or ended before', job)},
                path=('id',),
                security='team',
            ),
        },
    }


def _operator_paths() -> _Json:
    verdict: dict[int, tuple[str, type | None]] = {
        200: ('accepted', operators.VerdictReply)
    }
    match = ('If-Match',)
    return {
        '/v1/config': {
            'get': _operation(
                'The configuration, with its version as ETag',
                {200: ('the configuration', operators.ConfigReply)},
            ),
            'post': {
                **_operation('Any change', verdict, headers=match),
                'requestBody': _any_change(),
            },
        },
        '/v1/presets': {
            'get': _operation(
                'The presets', {200: ('presets', operators.PresetsReply)}
            )
        },
        '/v1/presets/{name}': {
            'put': _operation(
                'Switch to a preset', verdict, headers=match, path=('name',)
            )
        },
        '/v1/zones': {
            'get': _operation(
                'The availability zones',
                {200: ('zones', operators.ZonesReply)},
            )
        },
        '/v1/zones/{name}': {
            'put': _operation(
                'Take a zone out of service, or return it',
                verdict,
                body=operators.ZoneBody,
                headers=match,
                path=('name',),
            )
        },
        '/v1/status': {
            'get': _operation('State of the entry', {200: ('state', None)})
        },
        '/v1/timeline': {
            'get': _operation(
                'Events of the entry, a line of JSON each',
                {200: ('events', None)},
                query=('job', 'task', 'zone'),
            )
        },
        '/healthz': {
            'get': _operation(
                'Whether a balancer may send requests here',
                {
                    200: ('ready', operators.Health),
                    503: ('not ready', operators.Health),
                },
                security='',
            )
        },
    }


if __name__ == '__main__':
    sys.stdout.write(text())
