"""A dispatcher for sub-second tasks, as a library and thin daemons.

The public parts are re-exported here.  A reducer (:class:`Reducer`) decides;
:class:`Shell` runs it; :class:`Calls` brings callers' requests in;
:class:`Client` hands jobs in from outside.
"""

import importlib
import typing

if typing.TYPE_CHECKING:
    from agatepick.callers import routes as caller_routes
    from agatepick.calls import Calls as Calls
    from agatepick.calls import ChangeProposed as ChangeProposed
    from agatepick.calls import JobAsked as JobAsked
    from agatepick.calls import JobCancelled as JobCancelled
    from agatepick.calls import JobSubmitted as JobSubmitted
    from agatepick.calls import Reply as Reply
    from agatepick.calls import StatusAsked as StatusAsked
    from agatepick.client import Client as Client
    from agatepick.client import Job as Job
    from agatepick.client import JobResult as JobResult
    from agatepick.client import Task as Task
    from agatepick.client import TaskResult as TaskResult
    from agatepick.clocks import ProcessClock as ProcessClock
    from agatepick.core import Note as Note
    from agatepick.core import note as note
    from agatepick.core import Reducer as Reducer
    from agatepick.exceptions import AgatepickError as AgatepickError
    from agatepick.operators import routes as operator_routes
    from agatepick.settings import Http as Http
    from agatepick.settings import Tokens as Tokens
    from agatepick.settings_files import load as load_settings
    from agatepick.shell import Shell as Shell
    from agatepick.timeline import Timeline as Timeline
    from agatepick.types import Clock as Clock
    from agatepick.types import JobAnswer as JobAnswer
    from agatepick.types import JobSpec as JobSpec
    from agatepick.types import JobStatus as JobStatus
    from agatepick.types import Needs as Needs
    from agatepick.types import Outcome as Outcome
    from agatepick.types import TaskAnswer as TaskAnswer
    from agatepick.types import TaskSpec as TaskSpec
    from agatepick.web import Front as Front
    from agatepick.web import server as server

__all__ = [
    'AgatepickError',
    'Calls',
    'ChangeProposed',
    'Client',
    'Clock',
    'Front',
    'Http',
    'Job',
    'JobAnswer',
    'JobAsked',
    'JobCancelled',
    'JobResult',
    'JobSpec',
    'JobStatus',
    'JobSubmitted',
    'Needs',
    'Note',
    'Outcome',
    'ProcessClock',
    'Reducer',
    'Reply',
    'Shell',
    'StatusAsked',
    'Task',
    'TaskAnswer',
    'TaskResult',
    'TaskSpec',
    'Timeline',
    'Tokens',
    'caller_routes',
    'load_settings',
    'note',
    'operator_routes',
    'server',
]

# Loaded when first used: an agent has 64 MB, and what only callers and
# operators need (clients, HTTP routes) would take a third of it.
_HOMES = {
    'caller_routes': ('agatepick.callers', 'routes'),
    'Calls': ('agatepick.calls', 'Calls'),
    'ChangeProposed': ('agatepick.calls', 'ChangeProposed'),
    'JobAsked': ('agatepick.calls', 'JobAsked'),
    'JobCancelled': ('agatepick.calls', 'JobCancelled'),
    'JobSubmitted': ('agatepick.calls', 'JobSubmitted'),
    'Reply': ('agatepick.calls', 'Reply'),
    'StatusAsked': ('agatepick.calls', 'StatusAsked'),
    'Client': ('agatepick.client', 'Client'),
    'Job': ('agatepick.client', 'Job'),
    'JobResult': ('agatepick.client', 'JobResult'),
    'Task': ('agatepick.client', 'Task'),
    'TaskResult': ('agatepick.client', 'TaskResult'),
    'ProcessClock': ('agatepick.clocks', 'ProcessClock'),
    'Note': ('agatepick.core', 'Note'),
    'note': ('agatepick.core', 'note'),
    'Reducer': ('agatepick.core', 'Reducer'),
    'AgatepickError': ('agatepick.exceptions', 'AgatepickError'),
    'operator_routes': ('agatepick.operators', 'routes'),
    'Http': ('agatepick.settings', 'Http'),
    'Tokens': ('agatepick.settings', 'Tokens'),
    'load_settings': ('agatepick.settings_files', 'load'),
    'Shell': ('agatepick.shell', 'Shell'),
    'Timeline': ('agatepick.timeline', 'Timeline'),
    'Clock': ('agatepick.types', 'Clock'),
    'JobAnswer': ('agatepick.types', 'JobAnswer'),
    'JobSpec': ('agatepick.types', 'JobSpec'),
    'JobStatus': ('agatepick.types', 'JobStatus'),
    'Needs': ('agatepick.types', 'Needs'),
    'Outcome': ('agatepick.types', 'Outcome'),
    'TaskAnswer': ('agatepick.types', 'TaskAnswer'),
    'TaskSpec': ('agatepick.types', 'TaskSpec'),
    'Front': ('agatepick.web', 'Front'),
    'server': ('agatepick.web', 'server'),
}


def __getattr__(name: str) -> typing.Any:
    if name not in _HOMES:
        raise AttributeError(f'module {__name__!r} has no {name!r}')
    home, own_name = _HOMES[name]
    return getattr(importlib.import_module(home), own_name)
