"""Dispatcher for sub-second tasks, as a library and thin daemons.

The public names are exported here.  A reducer (:class:`Reducer`) makes the
decisions, :class:`Shell` runs it, :class:`Calls` passes requests to it, and
:class:`Client` submits jobs over HTTP.
"""

import importlib
import typing

if typing.TYPE_CHECKING:
    from agatepick.api.callers import routes as caller_routes
    from agatepick.api.calls import Calls as Calls
    from agatepick.api.calls import ChangeProposed as ChangeProposed
    from agatepick.api.calls import JobAsked as JobAsked
    from agatepick.api.calls import JobCancelled as JobCancelled
    from agatepick.api.calls import JobSubmitted as JobSubmitted
    from agatepick.api.calls import Reply as Reply
    from agatepick.api.calls import StatusAsked as StatusAsked
    from agatepick.api.operators import routes as operator_routes
    from agatepick.api.web import Front as Front
    from agatepick.api.web import server as server
    from agatepick.cmd.client import Client as Client
    from agatepick.cmd.client import Job as Job
    from agatepick.cmd.client import JobResult as JobResult
    from agatepick.cmd.client import Task as Task
    from agatepick.cmd.client import TaskResult as TaskResult
    from agatepick.conf.settings import Http as Http
    from agatepick.conf.settings import Tokens as Tokens
    from agatepick.conf.settings_files import load as load_settings
    from agatepick.core import Note as Note
    from agatepick.core import note as note
    from agatepick.core import Reducer as Reducer
    from agatepick.exceptions import AgatepickError as AgatepickError
    from agatepick.net.clocks import ProcessClock as ProcessClock
    from agatepick.runtime.shell import Shell as Shell
    from agatepick.telemetry.timeline import Timeline as Timeline
    from agatepick.types import Clock as Clock
    from agatepick.types import JobAnswer as JobAnswer
    from agatepick.types import JobSpec as JobSpec
    from agatepick.types import JobStatus as JobStatus
    from agatepick.types import Needs as Needs
    from agatepick.types import Outcome as Outcome
    from agatepick.types import TaskAnswer as TaskAnswer
    from agatepick.types import TaskSpec as TaskSpec

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

# Modules are imported on first use: an agent has 64 MB, and the clients and
# HTTP routes that only callers and operators need would take a third of it.
_PUBLIC_NAMES = {
    'caller_routes': ('agatepick.api.callers', 'routes'),
    'Calls': ('agatepick.api.calls', 'Calls'),
    'ChangeProposed': ('agatepick.api.calls', 'ChangeProposed'),
    'JobAsked': ('agatepick.api.calls', 'JobAsked'),
    'JobCancelled': ('agatepick.api.calls', 'JobCancelled'),
    'JobSubmitted': ('agatepick.api.calls', 'JobSubmitted'),
    'Reply': ('agatepick.api.calls', 'Reply'),
    'StatusAsked': ('agatepick.api.calls', 'StatusAsked'),
    'Client': ('agatepick.cmd.client', 'Client'),
    'Job': ('agatepick.cmd.client', 'Job'),
    'JobResult': ('agatepick.cmd.client', 'JobResult'),
    'Task': ('agatepick.cmd.client', 'Task'),
    'TaskResult': ('agatepick.cmd.client', 'TaskResult'),
    'ProcessClock': ('agatepick.net.clocks', 'ProcessClock'),
    'Note': ('agatepick.core', 'Note'),
    'note': ('agatepick.core', 'note'),
    'Reducer': ('agatepick.core', 'Reducer'),
    'AgatepickError': ('agatepick.exceptions', 'AgatepickError'),
    'operator_routes': ('agatepick.api.operators', 'routes'),
    'Http': ('agatepick.conf.settings', 'Http'),
    'Tokens': ('agatepick.conf.settings', 'Tokens'),
    'load_settings': ('agatepick.conf.settings_files', 'load'),
    'Shell': ('agatepick.runtime.shell', 'Shell'),
    'Timeline': ('agatepick.telemetry.timeline', 'Timeline'),
    'Clock': ('agatepick.types', 'Clock'),
    'JobAnswer': ('agatepick.types', 'JobAnswer'),
    'JobSpec': ('agatepick.types', 'JobSpec'),
    'JobStatus': ('agatepick.types', 'JobStatus'),
    'Needs': ('agatepick.types', 'Needs'),
    'Outcome': ('agatepick.types', 'Outcome'),
    'TaskAnswer': ('agatepick.types', 'TaskAnswer'),
    'TaskSpec': ('agatepick.types', 'TaskSpec'),
    'Front': ('agatepick.api.web', 'Front'),
    'server': ('agatepick.api.web', 'server'),
}


def __getattr__(name: str) -> typing.Any:
    if name not in _PUBLIC_NAMES:
        raise AttributeError(f'module {__name__!r} has no {name!r}')
    module, own_name = _PUBLIC_NAMES[name]
    return getattr(importlib.import_module(module), own_name)
