"""A dispatcher for sub-second tasks, as a library and thin daemons.

The public parts are re-exported here.  A reducer (:class:`Reducer`) decides;
:class:`Shell` runs it; :class:`Calls` brings callers' requests in;
:class:`Client` hands jobs in from outside.
"""

from agatepick.callers import routes as caller_routes
from agatepick.calls import Calls
from agatepick.calls import ChangeProposed
from agatepick.calls import JobAsked
from agatepick.calls import JobCancelled
from agatepick.calls import JobSubmitted
from agatepick.calls import Reply
from agatepick.calls import StatusAsked
from agatepick.client import Client
from agatepick.client import Job
from agatepick.client import JobResult
from agatepick.client import Task
from agatepick.client import TaskResult
from agatepick.clocks import ProcessClock
from agatepick.core import Note
from agatepick.core import note
from agatepick.core import Reducer
from agatepick.exceptions import AgatepickError
from agatepick.operators import routes as operator_routes
from agatepick.settings import Http
from agatepick.settings import Tokens
from agatepick.settings_files import load as load_settings
from agatepick.shell import Shell
from agatepick.timeline import Timeline
from agatepick.types import Clock
from agatepick.types import JobAnswer
from agatepick.types import JobSpec
from agatepick.types import JobStatus
from agatepick.types import Needs
from agatepick.types import Outcome
from agatepick.types import TaskAnswer
from agatepick.types import TaskSpec
from agatepick.web import Front
from agatepick.web import server

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
