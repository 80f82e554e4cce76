"""Timing of an agent's requests for its worker's lists of runs.

An answer contains two lists, of the running and of the ended runs.

Load pattern: for seconds, one request in twenty gets no answer.  If the agent
waited for a lost answer before it sent another request, it would learn of no
ended run for a quarter of a second, several times a second: short urgent jobs
would all be late although the worker is healthy.  An overdue answer is
therefore requested once more while the first one may still arrive, and the
silence of a worker is measured by time, not by a number of failures.

A worker that repeatedly goes down and comes up fails each request at once.
Without pauses it would receive thousands of requests a second, each over a new
connection.
"""

from agatepick.decisions import backoff

WAIT_SECONDS = 0.08
"""Time for which a worker may delay its lists until a run ends.

Each request also extends the worker's lease, so the delay is also the interval
of these extensions.  Busy workers end a run every 30 ms, so longer delays
would save nothing.
"""

HEDGE_SECONDS = 0.02
"""Time beyond the allowed delay after which overdue lists are requested again:
the worker is on this machine and answers within 2 ms."""

MAX_PENDING = 2
"""Largest number of concurrent requests for lists."""

BLOCK_STARTS_SECONDS = 0.3
"""Silence after which no more runs are started at a worker: the time of three
requests in a row, which hardly ever all get lost if one in twenty does."""

MAX_SILENCE_SECONDS = 0.6
"""Silence after which a worker's lease is no longer extended.  The lease lasts
as long; after a shorter silence, lost answers alone would end all runs at the
worker."""

PROBE_INTERVAL_SECONDS = 0.5
"""Pause between requests to a silent worker."""

MIN_INTERVAL_SECONDS = 0.005
"""Shortest time between two requests, for a worker that answers without
waiting until a run ends."""

FAILED_DELAYS = backoff.BackoffDelays(first_seconds=0.02, max_seconds=0.1)
"""Delays after failed requests, while the worker may still be healthy."""


class ListRequests:
    """Requests for the lists of one incarnation of a worker."""

    def __init__(self) -> None:
        self._pending = 0
        self._next_request_at = 0.0
        self._last_request_at = 0.0
        self._unanswered_since: float | None = None
        self._refused = False
        self._backoff = backoff.Backoff(FAILED_DELAYS)

    def reset(self, now: float) -> None:
        """Reset the state for another incarnation of the worker."""
        self._pending = 0
        self._next_request_at = now
        self._unanswered_since = None
        self._refused = False
        self._backoff.reset()

    def record_pause(self, now: float) -> None:
        """Record that this process stood still: request the lists at once.

        The worker wasn't silent meanwhile, as nobody listened.
        """
        self._pending = 0
        self._next_request_at = now
        self._backoff.reset()
        if self._unanswered_since is not None:
            self._unanswered_since = now

    def hurry(self, now: float) -> None:
        """Request the lists at once."""
        self._next_request_at = now

    @property
    def refused(self) -> bool:
        """Whether nothing listened at the worker's address of late."""
        return self._refused

    def is_due(self, now: float) -> bool:
        """Return whether the next request is due."""
        limit = 1 if self.is_silent(now) else MAX_PENDING
        return now >= self._next_request_at and self._pending < limit

    def record_request(self, wait: float, now: float) -> None:
        """Record a request for the lists.

        :param wait: seconds for which the worker may delay them.
        """
        self._pending += 1
        self._last_request_at = now
        self._next_request_at = now + wait + HEDGE_SECONDS
        if self._unanswered_since is None:
            self._unanswered_since = now

    def record_answer(self, now: float) -> None:
        """Record that the lists arrived."""
        self._pending = max(0, self._pending - 1)
        self._unanswered_since = None
        self._refused = False
        self._backoff.reset()
        self._next_request_at = max(
            now, self._last_request_at + MIN_INTERVAL_SECONDS
        )

    def record_failure(self, now: float, *, refused: bool = False) -> None:
        """Record that a request failed.

        :param refused: whether nothing listens at the worker's address.
        """
        self._refused = self._refused or refused
        self._pending = max(0, self._pending - 1)
        pause = self._backoff.record_failure()
        if self.is_silent(now):
            pause = PROBE_INTERVAL_SECONDS
        if self._pending:
            # The answers to other requests may still arrive.
            self._next_request_at = max(self._next_request_at, now + pause)
        else:
            self._next_request_at = now + pause

    def mark_silent(self, now: float) -> None:
        """Treat the worker as silent, since its announcements have stopped."""
        self._unanswered_since = min(
            self._unanswered_since or now, now - MAX_SILENCE_SECONDS
        )

    def blocks_starts(self, now: float) -> bool:
        """Return whether the worker is too silent for more runs to start."""
        return self._refused or self._silence(now) >= BLOCK_STARTS_SECONDS

    def is_silent(self, now: float) -> bool:
        """Return whether the worker is too silent to extend its lease."""
        return self._silence(now) >= MAX_SILENCE_SECONDS

    def next_due(self) -> float | None:
        """Return the instant of the next request.

        :returns: ``None`` while as many requests as allowed are unanswered.
        """
        return self._next_request_at if self._pending < MAX_PENDING else None

    def _silence(self, now: float) -> float:
        """Return for how many seconds the oldest request is unanswered."""
        return (
            0.0
            if self._unanswered_since is None
            else now - self._unanswered_since
        )
