"""Generator of the OpenAPI document for the HTTP API.

The document is stored as ``openapi.json`` in the package; tests compare it
with the output of this module and with the server's routes.  Regenerate it
with ``python -m agatepick.api.openapi > src/agatepick/api/openapi.json``.
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

DOCUMENT_FILE = pathlib.Path(__file__).with_name('openapi.json')
_REF = '#/components/schemas/{name}'
_Json = dict[str, typing.Any]

CHANGES: tuple[type, ...] = tuple(
    change
    for change in typing.get_args(cluster.Change)
    if change is not cluster.EntryListed
)
"""Changes that operators may propose; only entries propose EntryListed."""
SCHEMA_TYPES: tuple[type, ...] = (
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


def build_document() -> _Json:
    """Return the OpenAPI document."""
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
        'paths': {**_build_caller_paths(), **_build_operator_paths()},
        'components': {
            'schemas': _build_schemas(),
            'securitySchemes': {
                'team': {'type': 'http', 'scheme': 'bearer'},
                'operator': {'type': 'http', 'scheme': 'bearer'},
            },
        },
    }


def render() -> str:
    """Return the text of ``openapi.json``."""
    return json.dumps(build_document(), indent=2, sort_keys=True) + '\n'


def _build_schemas() -> _Json:
    _, schemas = msgspec.json.schema_components(
        SCHEMA_TYPES, ref_template=_REF
    )
    return schemas


def _make_ref(kind: type) -> _Json:
    return {'$ref': _REF.format(name=kind.__name__)}


def _make_content(kind: type | None, media: str = web.JSON) -> _Json:
    schema = {} if kind is None else _make_ref(kind)
    return {media: {'schema': schema}}


def _build_operation(
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
            'in': location,
            'required': location == 'path',
            'schema': {'type': 'string'},
        }
        for location, names in (
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
            str(status): {
                'description': description,
                'content': _make_content(kind),
            }
            for status, (description, kind) in answers.items()
        },
    }
    operation['responses']['default'] = {
        'description': 'refused, failed, or not known: see "run" and "code"',
        'content': _make_content(web.Problem, web.PROBLEM),
    }
    if body is not None:
        operation['requestBody'] = {
            'required': True,
            'content': _make_content(body),
        }
    if security:
        operation['security'] = [{security: []}]
    return operation


def _build_change_body() -> _Json:
    refs = [_make_ref(change) for change in CHANGES]
    return {
        'required': True,
        'content': {web.JSON: {'schema': {'oneOf': refs}}},
    }


def _build_caller_paths() -> _Json:
    job = job_bodies.JobReply
    answers: dict[int, tuple[str, type | None]] = {
        200: ('complete: every task finished', job),
        202: ('pending: ask again at Location', job),
    }
    return {
        '/v1/jobs': {
            'post': _build_operation(
                'Hand in a job',
                answers,
                body=job_bodies.JobBody,
                headers=('Idempotency-Key', 'Prefer'),
                security='team',
            )
        },
        '/v1/jobs/{id}': {
            'get': _build_operation(
                'How a job stands', answers, path=('id',), security='team'
            ),
            'delete': _build_operation(
                'Cancel a job',
                {**answers, 200: ('cancelled, or ended before', job)},
                path=('id',),
                security='team',
            ),
        },
    }


def _build_operator_paths() -> _Json:
    verdict: dict[int, tuple[str, type | None]] = {
        200: ('accepted', operators.VerdictReply)
    }
    if_match = ('If-Match',)
    return {
        '/v1/config': {
            'get': _build_operation(
                'The configuration, with its version as ETag',
                {200: ('the configuration', operators.ConfigReply)},
            ),
            'post': {
                **_build_operation('Any change', verdict, headers=if_match),
                'requestBody': _build_change_body(),
            },
        },
        '/v1/presets': {
            'get': _build_operation(
                'The presets', {200: ('presets', operators.PresetsReply)}
            )
        },
        '/v1/presets/{name}': {
            'put': _build_operation(
                'Switch to a preset', verdict, headers=if_match, path=('name',)
            )
        },
        '/v1/zones': {
            'get': _build_operation(
                'The availability zones',
                {200: ('zones', operators.ZonesReply)},
            )
        },
        '/v1/zones/{name}': {
            'put': _build_operation(
                'Take a zone out of service, or return it',
                verdict,
                body=operators.ZoneBody,
                headers=if_match,
                path=('name',),
            )
        },
        '/v1/status': {
            'get': _build_operation(
                'State of the entry', {200: ('state', None)}
            )
        },
        '/v1/timeline': {
            'get': _build_operation(
                'Events of the entry, a line of JSON each',
                {200: ('events', None)},
                query=('job', 'task', 'zone'),
            )
        },
        '/healthz': {
            'get': _build_operation(
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
    sys.stdout.write(render())
