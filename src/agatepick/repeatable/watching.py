"""Timing of an agent's requests for its worker's lists.

Load pattern: one request in twenty gets no answer, for seconds. If the agent
waited for the lost list before it requested another, it would receive no ends
of runs for a quarter of a second, several times a second: short urgent jobs
would all be late although the worker is healthy. An overdue list is therefore
requested once more while the first one may still arrive, and the silence of a
worker is measured by time, not by a number of failures.

A worker that repeatedly goes down and comes up fails each request at once.
Without pauses it would receive thousands of requests a second, each over a new
connection.
"""

from agatepick.decisions import backoff

WAIT_SECONDS = 0.08
"""Time for which a worker may delay its lists; its lease is extended as often.
Busy workers end a run every 30 ms, so longer delays would save nothing."""

HEDGE_SECONDS = 0.02
"""Time beyond that after which an overdue list is requested again: the worker
is on this machine and answers within 2 ms."""

MAX_ASKED = 2
"""Largest number of concurrent requests for lists."""

CLOSING_SECONDS = 0.3
"""Silence after which no more runs are started at a worker: three lists in a
row, which are hardly ever lost if one request in twenty is."""

SILENT_SECONDS = 0.6
"""Silence after which a worker's lease is no longer extended. The lease lasts
as long: with a shorter time lost answers alone would end all its runs."""

PROBE_SECONDS = 0.5
"""Pause between requests to a silent worker."""

LEAST_SECONDS = 0.005
"""Shortest time between two requests, for a worker that answers without
waiting for an end."""

FAILED_PAUSES = backoff.Pauses(first=0.02, most=0.1)
"""Pauses after failed requests, while the worker may still be healthy."""


class Watching:
    """Requests for the lists of one incarnation of a worker."""

    def __init__(self) -> None:
        self._asked = 0
        self._ask_at = 0.0
        self._asked_at = 0.0
        self._since: float | None = None
        self._backoff = backoff.Backoff(FAILED_PAUSES)

    def reset(self, now: float) -> None:
        """Start anew for another incarnation of the worker."""
        self._asked = 0
        self._ask_at = now
        self._since = None
        self._backoff.succeeded()

    def due(self, now: float) -> bool:
        """Return whether the next request is due."""
        limit = 1 if self.silent(now) else MAX_ASKED
        return now >= self._ask_at and self._asked < limit

    def asked(self, wait: float, now: float) -> None:
        """Record a request for the lists.

        :param wait: seconds for which the worker may delay them.
        """
        self._asked += 1
        self._asked_at = now
        self._ask_at = now + wait + HEDGE_SECONDS
        if self._since is None:
            self._since = now

    def answered(self, now: float) -> None:
        """Record that the lists arrived."""
        self._asked = max(0, self._asked - 1)
        self._since = None
        self._backoff.succeeded()
        self._ask_at = max(now, self._asked_at + LEAST_SECONDS)

    def failed(self, now: float) -> None:
        """Record that a request failed."""
        self._asked = max(0, self._asked - 1)
        pause = self._backoff.failed()
        if self.silent(now):
            pause = PROBE_SECONDS
        if self._asked:
            # The answers to other requests may still arrive.
            self._ask_at = max(self._ask_at, now + pause)
        else:
            self._ask_at = now + pause

    def lapse(self, now: float) -> None:
        """Treat the worker as silent, since its announcements have stopped."""
        self._since = min(self._since or now, now - SILENT_SECONDS)

    def closing(self, now: float) -> bool:
        """Return whether no more runs should be started."""
        return self._silence(now) >= CLOSING_SECONDS

    def silent(self, now: float) -> bool:
        """Return whether the worker's lease should expire."""
        return self._silence(now) >= SILENT_SECONDS

    def next_at(self) -> float | None:
        """Return the instant of the next request, or ``None``."""
        return self._ask_at if self._asked < MAX_ASKED else None

    def _silence(self, now: float) -> float:
        """Return for how many seconds the oldest request is unanswered."""
        return 0.0 if self._since is None else now - self._since
