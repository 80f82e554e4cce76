"""Client of the platform's table service: JSON over HTTP.

A read may be retried.  A transaction is never retried once a byte of it may
have reached the service: if its answer was lost, the first attempt may have
changed the rows that the conditions test, and the retry would report a
conflict for a change that took effect.  The caller receives ``StoreUnknown``
and determines the outcome by reading.
"""

import asyncio
import dataclasses
import errno
import random
import typing

import msgspec
import tornado.httpclient
import tornado.simple_httpclient

from agatepick.decisions import backoff
from agatepick import exceptions
from agatepick.net import decoding
from agatepick.table import breaker
from agatepick.table import ratelimit
from agatepick.table import store

RETRY_DELAYS = backoff.BackoffDelays(first_seconds=0.04, max_seconds=0.5)
"""Upper bounds of the random delays before retries, in seconds."""

_PATHS: dict[type[store.Request], str] = {
    store.ReadRow: '/v1/rows/read',
    store.ReadAfter: '/v1/rows/after',
    store.Transact: '/v1/transact',
}


@dataclasses.dataclass(frozen=True, slots=True)
class TableClientSettings:
    """Address of the table service, and rate limits of its client.

    :param address: ``ip:port``.
    :param max_reads_per_second: most reads that this process may send.
    :param max_writes_per_second: most transactions that it may send.
    """

    address: str
    max_reads_per_second: float = 20.0
    max_writes_per_second: float = 10.0


@dataclasses.dataclass
class RequestCounts:
    """Counters of requests that were sent to the service or withheld."""

    reads: int = 0
    writes: int = 0
    retries: int = 0
    withheld: int = 0


class TableStore:
    """Client of the table service; implements ``store.Store``."""

    def __init__(
        self,
        cfg: TableClientSettings,
        rng: random.Random,
        client: tornado.httpclient.AsyncHTTPClient,
        now: typing.Callable[[], float],
    ):
        self._cfg = cfg
        self._rng = rng
        self._client = client
        self._now = now
        self._breaker = breaker.CircuitBreaker(rng)
        self._retry_budget = ratelimit.RetryBudget()
        self._reads = ratelimit.TokenBucket(
            cfg.max_reads_per_second, cfg.max_reads_per_second, now()
        )
        self._writes = ratelimit.TokenBucket(
            cfg.max_writes_per_second, cfg.max_writes_per_second, now()
        )
        self.counts = RequestCounts()

    @classmethod
    def from_config(
        cls, cfg: TableClientSettings, rng: random.Random
    ) -> 'TableStore':
        """Return a client on the running event loop."""
        client = tornado.simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True
        )
        loop = asyncio.get_running_loop()
        return cls(cfg, rng, client, loop.time)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def call(self, call: store.CallStore) -> store.StoreAnswered:
        """Execute one call; errors are returned in the answer, not raised."""
        self._retry_budget.add_request()
        deadline = self._now() + call.timeout_seconds
        attempts = 0
        while True:
            answer = await self._call_once(
                call.request, deadline - self._now()
            )
            attempts += 1
            delay = self._choose_retry_delay(attempts)
            if not _is_retryable(call.request, answer):
                break
            if (
                self._now() + delay >= deadline
                or not self._retry_budget.acquire()
            ):
                break
            self.counts.retries += 1
            await asyncio.sleep(delay)
        return store.StoreAnswered(call.id, answer)

    def _choose_retry_delay(self, attempts: int) -> float:
        return self._rng.uniform(0.0, RETRY_DELAYS.get_delay(attempts))

    async def _call_once(
        self, request: store.Request, timeout: float
    ) -> store.Answer:
        refusal = self._check_limits(request)
        if refusal is not None:
            self.counts.withheld += 1
            return refusal
        answer = await self._fetch(request, timeout)
        if isinstance(
            answer, exceptions.StoreUnavailable | exceptions.StoreUnknown
        ):
            self._breaker.record_failure(self._now())
        else:
            self._breaker.record_success()
        return answer

    def _check_limits(
        self, request: store.Request
    ) -> exceptions.StoreUnavailable | None:
        now = self._now()
        if not self._breaker.allow(now):
            return self._make_error(
                exceptions.StoreUnavailable, 'circuit open'
            )
        write = isinstance(request, store.Transact)
        if not (self._writes if write else self._reads).acquire(now):
            return self._make_error(
                exceptions.StoreUnavailable, 'over our rate'
            )
        if write:
            self.counts.writes += 1
        else:
            self.counts.reads += 1
        return None

    async def _fetch(
        self, request: store.Request, timeout: float
    ) -> store.Answer:
        http = tornado.httpclient.HTTPRequest(
            f'http://{self._cfg.address}{_PATHS[type(request)]}',
            method='POST',
            body=msgspec.json.encode(request),
            connect_timeout=timeout,
            request_timeout=timeout,
        )
        try:
            resp = await self._client.fetch(http, raise_error=False)
        except (OSError, tornado.httpclient.HTTPError) as exc:
            return self._classify_error(request, exc)
        if resp.code == 599:
            return self._classify_error(request, resp.error)
        return self._parse_response(request, resp)

    def _parse_response(
        self, request: store.Request, resp: tornado.httpclient.HTTPResponse
    ) -> store.Answer:
        if resp.code == 409:
            return self._make_error(
                exceptions.StoreConflict, 'condition failed'
            )
        if resp.code in (429, 503):
            return self._make_error(
                exceptions.StoreUnavailable, f'status {resp.code}'
            )
        if resp.code != 200:
            return self._make_error(
                exceptions.StoreUnknown, f'status {resp.code}'
            )
        if isinstance(request, store.Transact):
            return store.Committed()
        try:
            return decoding.decode(resp.body, store.Rows)
        except decoding.Unreadable as exc:
            return self._make_error(exceptions.StoreUnknown, str(exc))

    def _classify_error(
        self, request: store.Request, exc: BaseException | None
    ) -> exceptions.StoreError:
        refused = isinstance(exc, OSError) and exc.errno in (
            errno.ECONNREFUSED,
            errno.EHOSTUNREACH,
            errno.ENETUNREACH,
        )
        if refused or not isinstance(request, store.Transact):
            return self._make_error(exceptions.StoreUnavailable, repr(exc))
        return self._make_error(exceptions.StoreUnknown, repr(exc))

    _Error = typing.TypeVar('_Error', bound=exceptions.StoreError)

    def _make_error(self, kind: type[_Error], reason: str) -> _Error:
        return kind(reason, step='store', peer=self._cfg.address)


def _is_retryable(request: store.Request, answer: store.Answer) -> bool:
    return isinstance(answer, exceptions.StoreUnavailable) and not isinstance(
        request, store.Transact
    )
