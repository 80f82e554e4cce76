"""Graceful stop of an entry.

Without it, callers continue to use their open connections to a process that
was asked to stop, and requests in progress are cut off with it.  A stopping
entry isn't ready any more, accepts only jobs that end in time, answers all of
them, and exits well before the platform kills it.
"""

EXPECTED_TIME_FACTOR = 1.6
"""Factor on a job's expected run time when a stopping entry decides whether to
accept it: callers continue to use open connections, and accepted jobs must be
answered before the process is killed after 6 s."""

SPARE_SECONDS = 0.3
"""Time added to a job's expected time, for queueing and the round trip to the
worker."""

MIN_SERVE_SECONDS = 2.5
"""Shortest time for which a stopping entry continues to serve: the load
balancer probes once a second and removes the entry after two failures."""

GIVE_UP_SECONDS = 5.2
"""Time after which a stopping entry answers the remaining jobs as given up or
not run; their callers may retry."""


class Stopping:
    """Stop of one entry, from the request until the process exits.

    :ivar exiting: whether all jobs are answered and the process exits.
    """

    def __init__(self) -> None:
        self.exiting = False
        self._requested_at: float | None = None

    @property
    def requested(self) -> bool:
        """Whether the process has been asked to stop."""
        return self._requested_at is not None

    def request(self, now: float) -> None:
        """Start to stop; a repeated request changes nothing."""
        if self._requested_at is None:
            self._requested_at = now

    def accepts(self, expected_seconds: float, now: float) -> bool:
        """Return whether a job may be accepted, since it will end in time.

        :param expected_seconds: expected run time of the job.
        """
        if self._requested_at is None:
            return True
        if self.exiting:
            # The caller would get an error that doesn't show whether the job
            # ran.
            return False
        remaining = self._requested_at + GIVE_UP_SECONDS - now
        return (
            expected_seconds * EXPECTED_TIME_FACTOR + SPARE_SECONDS
            <= remaining
        )

    def must_give_up(self, now: float) -> bool:
        """Return whether all open jobs must be answered now."""
        return (
            self._requested_at is not None
            and now >= self._requested_at + GIVE_UP_SECONDS
        )

    def try_exit(self, waiting: bool, now: float) -> bool:
        """Return whether the process must exit now; true only once.

        :param waiting: whether a caller waits for an answer.
        """
        if self._requested_at is None or self.exiting or waiting:
            return False
        self.exiting = now >= self._requested_at + MIN_SERVE_SECONDS
        return self.exiting
