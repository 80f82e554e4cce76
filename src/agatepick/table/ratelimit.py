"""Budgets that refill with time: rates of requests, and retries."""


class TokenBucket:
    """At most ``rate`` tokens a second, with ``burst`` saved up at most."""

    def __init__(self, rate: float, burst: float, now: float):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = now

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        passed = max(0.0, now - self._at)
        self._tokens = min(self._burst, self._tokens + passed * self._rate)
        self._at = max(now, self._at)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryBudget:
    """Retries allowed in proportion to requests.

    Every caller retrying a store that fails multiplies its load just when
    it can bear the least, and keeps it down.  One retry for every ten
    requests carries callers over a lost packet and adds a tenth at worst.
    """

    RATIO = 0.1
    SAVED = 5.0

    def __init__(self) -> None:
        self._saved = self.SAVED

    def earn(self) -> None:
        """Count a first try."""
        self._saved = min(self.SAVED, self._saved + self.RATIO)

    def spend(self) -> bool:
        """Whether one more retry is allowed."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
