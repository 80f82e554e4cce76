"""Limits on requests: a rate limit and a retry budget."""


class TokenBucket:
    """Rate limiter that adds ``rate`` tokens a second, up to ``burst``."""

    def __init__(self, rate: float, burst: float, now: float):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def acquire(self, now: float) -> bool:
        """Acquire a token if one is available.

        :returns: whether a token was acquired.
        """
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._refilled_at = max(now, self._refilled_at)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryBudget:
    """Budget that limits retries to a share of the requests.

    If every caller retried, a failing store's load would multiply when its
    capacity is lowest, which would keep it down.  One retry for every ten
    requests compensates for a lost packet and adds at most a tenth of load.
    """

    RETRIES_PER_REQUEST = 0.1
    MAX_SAVED_RETRIES = 5.0

    def __init__(self) -> None:
        self._tokens = self.MAX_SAVED_RETRIES

    def add_request(self) -> None:
        """Add the share of a retry that one request allows."""
        self._tokens = min(
            self.MAX_SAVED_RETRIES, self._tokens + self.RETRIES_PER_REQUEST
        )

    def acquire(self) -> bool:
        """Acquire one retry from the budget.

        :returns: whether the retry is allowed.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
