"""Jobs whose tasks may run again once an earlier run is known to be over.

An entry owns the jobs that its callers hand in and keeps a lease on each of
their runs; an agent beside a worker starts runs there and ends those whose
lease isn't renewed.  At no time does a task have two runs.
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
