"""Jobs whose tasks may run again once an earlier run has ended.

An entry owns the jobs that its callers submit and holds a lease on each of
their runs.  An agent beside each worker starts runs there and stops those
whose lease isn't renewed.  A task never has two runs at the same time.
"""

from agatepick.repeatable import agent
from agatepick.repeatable import entry
from agatepick.repeatable import events
from agatepick.repeatable import jobs
from agatepick.repeatable import leases
from agatepick.repeatable import measures
from agatepick.repeatable import process
from agatepick.repeatable import routes
from agatepick.repeatable import workerapi

__all__ = [
    'agent',
    'entry',
    'events',
    'jobs',
    'leases',
    'measures',
    'process',
    'routes',
    'workerapi',
]
