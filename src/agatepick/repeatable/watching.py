"""When an agent asks its worker for its lists, and whether it answers.

Load pattern: one order in twenty gets no answer, for seconds.  An agent that
waited for the lost list before it asked again would hear of no end for a
quarter of a second, several times a second: short urgent jobs would all be
late though the worker is sound.  So a list that stays out is asked for once
more while the first may still come, and how long the worker has been silent
is told by time, not by counting failures.

A worker that goes down and up by turns fails each list at once.  Without
pauses it would be asked thousands of times a second, each time over a new
connection.
"""

from agatepick.decisions import backoff

WAIT_SECONDS = 0.08
"""How long a worker may wait with its lists; its lease is extended as often.
Busy workers end a run every 30 ms, so longer waits would save nothing."""

HEDGE_SECONDS = 0.02
"""How long a list may stay out beyond that until it is asked for again: the
worker is on this machine and answers within 2 ms."""

MAX_ASKED = 2
"""Lists that may be out at a time."""

CLOSING_SECONDS = 0.3
"""Silence after which nothing more is started at a worker: three lists in a
row, which one lost order in twenty hardly ever makes."""

SILENT_SECONDS = 0.6
"""Silence after which a worker's lease is left to run out.  The lease lasts
as long: given up sooner, lost answers alone would end all that runs there."""

PROBE_SECONDS = 0.5
"""Pause between questions to a silent worker."""

LEAST_SECONDS = 0.005
"""Least time from one question to the next, for a worker that answers
without waiting for an end."""

FAILED_PAUSES = backoff.Pauses(first=0.02, most=0.1)
"""Pauses after lists that failed, while the worker may still be sound."""


class Watching:
    """The lists of one worker's life."""

    def __init__(self) -> None:
        self._asked = 0
        self._ask_at = 0.0
        self._asked_at = 0.0
        self._since: float | None = None
        self._backoff = backoff.Backoff(FAILED_PAUSES)

    def reset(self, now: float) -> None:
        """Another life of the worker began."""
        self._asked = 0
        self._ask_at = now
        self._since = None
        self._backoff.succeeded()

    def due(self, now: float) -> bool:
        """Whether to ask now."""
        limit = 1 if self.silent(now) else MAX_ASKED
        return now >= self._ask_at and self._asked < limit

    def asked(self, wait: float, now: float) -> None:
        """The lists were asked for; the worker may wait with them."""
        self._asked += 1
        self._asked_at = now
        self._ask_at = now + wait + HEDGE_SECONDS
        if self._since is None:
            self._since = now

    def answered(self, now: float) -> None:
        """The lists came."""
        self._asked = max(0, self._asked - 1)
        self._since = None
        self._backoff.succeeded()
        self._ask_at = max(now, self._asked_at + LEAST_SECONDS)

    def failed(self, now: float) -> None:
        """The lists don't come any more."""
        self._asked = max(0, self._asked - 1)
        pause = self._backoff.failed()
        if self.silent(now):
            pause = PROBE_SECONDS
        if self._asked:
            # Those that are still out may come.
            self._ask_at = max(self._ask_at, now + pause)
        else:
            self._ask_at = now + pause

    def lapse(self, now: float) -> None:
        """Nothing at all is heard of the worker."""
        self._since = min(self._since or now, now - SILENT_SECONDS)

    def closing(self, now: float) -> bool:
        """Whether nothing more should be started."""
        return self._silence(now) >= CLOSING_SECONDS

    def silent(self, now: float) -> bool:
        """Whether the worker's lease should run out."""
        return self._silence(now) >= SILENT_SECONDS

    def next_at(self) -> float | None:
        """Instant at which to ask again."""
        return self._ask_at if self._asked < MAX_ASKED else None

    def _silence(self, now: float) -> float:
        """Seconds for which the oldest question has had no answer."""
        return 0.0 if self._since is None else now - self._since
