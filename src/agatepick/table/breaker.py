"""Circuit breaker: stop calling what keeps failing, and probe it."""

import random


class CircuitBreaker:
    """Opens after ``FAILURES`` failures in a row; then lets a probe through.

    Without it each call to a dead store waits for its whole deadline, and an
    operator learns only after seconds what was known all along.  Five
    failures are two seconds of an entry's reads: a single lost packet
    doesn't open it.  Probes come every ``PROBE_SECONDS``, jittered so that
    all entries don't meet a recovering store at once; a second is a third
    of the fence, so an entry is back within one fence of the recovery.
    """

    FAILURES = 5
    PROBE_SECONDS = 1.0

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._failed = 0
        self._probe_at = 0.0

    @property
    def open(self) -> bool:
        """Whether calls are being refused."""
        return self._failed >= self.FAILURES

    def allow(self, now: float) -> bool:
        """Whether a call may go out; in the open state it is the probe."""
        if not self.open:
            return True
        if now < self._probe_at:
            return False
        self._schedule(now)
        return True

    def succeeded(self) -> None:
        """An answer came, whatever it said."""
        self._failed = 0

    def failed(self, now: float) -> None:
        """No answer came, or one that says that the service is down."""
        self._failed += 1
        if self._failed == self.FAILURES:
            self._schedule(now)

    def _schedule(self, now: float) -> None:
        self._probe_at = now + self.PROBE_SECONDS * self._rng.uniform(0.5, 1.5)
