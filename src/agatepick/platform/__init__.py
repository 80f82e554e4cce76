"""The users' platform: its settings, store, callers and workers.

All code that refers to the platform's fields, paths and headers is in this
package.  It translates them into the product's own events and effects, and
makes no scheduling decisions.
"""

from agatepick.platform import announcements
from agatepick.platform import desired
from agatepick.platform import following
from agatepick.platform import ingress
from agatepick.platform import programs
from agatepick.platform import rows
from agatepick.platform import settings
from agatepick.platform import worker

__all__ = [
    'announcements',
    'desired',
    'following',
    'ingress',
    'programs',
    'rows',
    'settings',
    'worker',
]
