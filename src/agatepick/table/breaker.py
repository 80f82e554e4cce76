"""Circuit breaker for calls to a failing service."""

import random


class CircuitBreaker:
    """Circuit breaker that opens after ``FAILURES_TO_OPEN`` failures in a row.

    Without it each call to an unavailable store would wait for its whole
    deadline, and an operator would be notified of a known outage only after
    seconds.  An entry's reads take two seconds to fail five times, so a single
    lost packet doesn't open the breaker.  An open breaker allows a probe every
    ``PROBE_INTERVAL_SECONDS``, jittered so that the entries don't all call a
    recovering store at once.  A second is a third of the fence, so an entry
    resumes within one fence of the recovery.
    """

    FAILURES_TO_OPEN = 5
    PROBE_INTERVAL_SECONDS = 1.0

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._failures = 0
        self._probe_at = 0.0

    @property
    def open(self) -> bool:
        """Return whether the breaker is open, so that it refuses calls."""
        return self._failures >= self.FAILURES_TO_OPEN

    def allow(self, now: float) -> bool:
        """Return whether a call may be sent; if open, only a due probe may."""
        if not self.open:
            return True
        if now < self._probe_at:
            return False
        self._schedule_probe(now)
        return True

    def record_success(self) -> None:
        """Record a call that the service answered, with any result."""
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """Record a call that got no answer, or the answer "unavailable"."""
        self._failures += 1
        if self._failures == self.FAILURES_TO_OPEN:
            self._schedule_probe(now)

    def _schedule_probe(self, now: float) -> None:
        self._probe_at = now + self.PROBE_INTERVAL_SECONDS * self._rng.uniform(
            0.5, 1.5
        )
