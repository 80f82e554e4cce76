import json
import re

from agatepick.api import callers
from agatepick.api import openapi
from agatepick.api import operators
from agatepick.api import web
from agatepick import types

METHODS = ('get', 'post', 'put', 'delete')
JOB = {'team': 'talca', 'tasks': [{'id': 'a', 'kind': 'slot'}]}


def list_routes(front):
    """Return the path templates that a server handles, with their methods."""
    openapi_front = front(lambda event: None)
    methods_by_path = {}
    for route in [
        *callers.routes(openapi_front),
        *operators.routes(openapi_front),
    ]:
        names = iter(['id'] if '/jobs/' in route.regex.pattern else ['name'])
        pattern = route.regex.pattern.rstrip('$')
        path = re.sub(r'\(.*\)', lambda _: '{%s}' % next(names), pattern)
        methods_by_path[path] = {
            method for method in METHODS if method in vars(route.handler_class)
        }
    return methods_by_path


def test_the_file_names_the_routes_that_are_served(front):
    paths = json.loads(openapi.DOCUMENT_FILE.read_text())['paths']
    assert {path: set(item) for path, item in paths.items()} == list_routes(
        front
    )


def test_the_file_matches_the_generated_document():
    assert openapi.DOCUMENT_FILE.read_text() == openapi.render()


def test_answers_have_the_fields_that_the_file_names(serve):
    """Callers generate their types from the OpenAPI file.

    Their clients would drop members that the OpenAPI file doesn't define.
    """
    schemas = json.loads(openapi.DOCUMENT_FILE.read_text())['components'][
        'schemas'
    ]
    task = types.TaskAnswer('a', types.Outcome.FAILED, b'1', 'r', 's', 'p')

    def answer(event):
        run = types.JobStatus.COMPLETE
        if event.job.urgent:
            run = types.JobStatus.FAILED
        return types.JobAnswer(
            event.job.key, run, (task,), 'c', 'r', 's', 'p', 1.5
        )

    async def scenario(site):
        complete = await site.fetch('POST', '/v1/jobs', JOB)
        failed = await site.fetch('POST', '/v1/jobs', {**JOB, 'urgent': True})
        return complete, failed

    complete, failed = serve(answer, scenario)
    assert complete.data.keys() == schemas['JobReply']['properties'].keys()
    assert failed.data.keys() <= schemas['Problem']['properties'].keys()
    fields = schemas['TaskReply']['properties'].keys()
    assert complete.data['tasks'][0].keys() == fields
    assert failed.headers['Content-Type'] == web.PROBLEM
