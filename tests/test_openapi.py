import json
import re

from agatepick.api import callers
from agatepick.api import openapi
from agatepick.api import operators
from agatepick.api import web
from agatepick import types

METHODS = ('get', 'post', 'put', 'delete')
JOB = {'team': 'talca', 'tasks': [{'id': 'a', 'kind': 'slot'}]}


def served(front):
    """Each path template that a server answers, with its methods."""
    built = front(lambda event: None)
    found = {}
    for route in [*callers.routes(built), *operators.routes(built)]:
        names = iter(['id'] if '/jobs/' in route.regex.pattern else ['name'])
        pattern = route.regex.pattern.rstrip('$')
        path = re.sub(r'\(.*\)', lambda _: '{%s}' % next(names), pattern)
        found[path] = {
            method for method in METHODS if method in vars(route.handler_class)
        }
    return found


def test_the_file_names_the_routes_that_are_served(front):
    paths = json.loads(openapi.FILE.read_text())['paths']
    assert {path: set(item) for path, item in paths.items()} == served(front)


def test_the_file_is_what_the_code_says():
    assert openapi.FILE.read_text() == openapi.text()


def test_answers_have_the_fields_that_the_file_names(serve):
    """A caller's own types are generated from the file.

    A member that the file doesn't name would be lost on the way.
    """
    schemas = json.loads(openapi.FILE.read_text())['components']['schemas']
    task = types.TaskAnswer('a', types.Outcome.FAILED, b'1', 'r', 's', 'p')

    def answer(event):
        run = types.JobStatus.COMPLETE
        if event.job.urgent:
            run = types.JobStatus.FAILED
        return types.JobAnswer(
            event.job.key, run, (task,), 'c', 'r', 's', 'p', 1.5
        )

    async def scenario(site):
        good = await site.fetch('POST', '/v1/jobs', JOB)
        bad = await site.fetch('POST', '/v1/jobs', {**JOB, 'urgent': True})
        return good, bad

    good, bad = serve(answer, scenario)
    assert good.data.keys() == schemas['JobReply']['properties'].keys()
    assert bad.data.keys() <= schemas['Problem']['properties'].keys()
    fields = schemas['TaskReply']['properties'].keys()
    assert good.data['tasks'][0].keys() == fields
    assert bad.headers['Content-Type'] == web.PROBLEM
