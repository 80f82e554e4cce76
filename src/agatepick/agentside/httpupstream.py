"""HTTP client that runs an agent's tasks at its upstream.

``POST /tasks`` runs one task and answers when it has ended.  A status of 200
to 299 means that the task finished, with a JSON body or none; any other
status means that it failed.  Without an answer the outcome is unknown, and
the task is never sent again.
"""

import asyncio
import logging
import typing

import msgspec
from tornado import httpclient
from tornado import httputil

from agatepick.agentside import startcheck
from agatepick.agentside import upstream
from agatepick.net import decoding
from agatepick.telemetry import logs
from agatepick import types

LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 2.0
"""Longest time for a connection; it also ends with the task's permit."""

ACTION_TIMEOUT_SECONDS = 5.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024
MAX_CLIENTS = 100_000
"""Largest number of open requests.  It is far above the number of slots: a
started task that waited in the client's queue could run after the time before
which it may start."""

STATUS_NO_ANSWER = 599
"""Status code that tornado's client returns without a complete answer."""

REASON_NO_ANSWER = 'no_answer'
REASON_NOT_JSON = 'answer_not_json'

JOB_HEADER = 'Agatepick-Job'
INDEX_HEADER = 'Agatepick-Index'
KIND_HEADER = 'Agatepick-Kind'
DEADLINE_HEADER = 'Agatepick-Deadline'


class Failure(msgspec.Struct):
    """Body of a failed task's answer; other fields are ignored."""

    reason: str = ''


class HttpUpstream:
    """An :class:`.upstream.Upstream` that runs tasks over HTTP.

    :param feed: callback that passes an event to the agent's reducer.
    :param clock: the clock by which the reducer decides.
    """

    def __init__(
        self, feed: typing.Callable[[object], None], clock: types.Clock
    ):
        self._feed = feed
        self._clock = clock
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=MAX_ANSWER_BYTES,
        )
        # The event loop keeps only weak references to its tasks.
        self._requests: set[asyncio.Task[None]] = set()

    def run(self, effect: upstream.RunTask) -> None:
        """Start a task; its end is passed to ``feed`` as ``TaskEnded``."""
        self._spawn(self._run(effect))

    def stop(self, effect: upstream.StopTask) -> None:
        """Request an action of a task; a failure is logged, not retried."""
        self._spawn(self._request_action(effect))

    def close(self) -> None:
        """Cancel all open requests, as the end of the process would."""
        for task in self._requests:
            task.cancel()
        self._client.close()

    def _spawn(self, coro: typing.Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)

    async def _run(self, effect: upstream.RunTask) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        state, body, reason = await self._request_run(effect)
        self._feed(
            upstream.TaskEnded(
                effect.job,
                effect.index,
                effect.attempt,
                state,
                body,
                reason,
                loop.time() - started_at,
            )
        )

    async def _request_run(
        self, effect: upstream.RunTask
    ) -> tuple[types.TaskState, bytes, str]:
        remaining_seconds = effect.start_before - self._clock.now()
        if not remaining_seconds > 0.0:
            return types.TaskState.REFUSED, b'', startcheck.REASON_TOO_LATE
        try:
            response = await self._client.fetch(
                f'{effect.url}/tasks',
                method='POST',
                body=effect.payload,
                headers=_build_headers(effect),
                connect_timeout=min(
                    CONNECT_TIMEOUT_SECONDS, remaining_seconds
                ),
                # No timeout is needed: the agent reports the task as lost
                # once the upstream's announcement has expired.
                request_timeout=0,
                follow_redirects=False,
                decompress_response=False,
                raise_error=False,
            )
        except (OSError, httpclient.HTTPError) as exc:
            return self._handle_no_answer(effect, exc)
        if response.code == STATUS_NO_ANSWER:
            return self._handle_no_answer(effect, response.error)
        return _parse_answer(response)

    def _handle_no_answer(
        self, effect: upstream.RunTask, exc: BaseException | None
    ) -> tuple[types.TaskState, bytes, str]:
        logs.event(
            LOG,
            logging.WARNING,
            'upstream_no_answer',
            job=effect.job,
            index=effect.index,
            error=repr(exc),
        )
        if isinstance(exc, ConnectionRefusedError):
            # No process listens there.  Without this event, further tasks
            # would be sent there and lost until the announcement expires.
            self._feed(upstream.UpstreamGone(effect.session))
        return types.TaskState.LOST, b'', REASON_NO_ANSWER

    async def _request_action(self, effect: upstream.StopTask) -> None:
        path = f'{effect.job}/{effect.index}/{effect.action.value}'
        try:
            await self._client.fetch(
                f'{effect.url}/tasks/{path}',
                method='POST',
                body=b'',
                connect_timeout=CONNECT_TIMEOUT_SECONDS,
                request_timeout=ACTION_TIMEOUT_SECONDS,
                follow_redirects=False,
            )
        except (OSError, httpclient.HTTPError) as exc:
            logs.event(
                LOG,
                logging.WARNING,
                'upstream_action_failed',
                job=effect.job,
                action=effect.action,
                error=repr(exc),
            )


def _build_headers(effect: upstream.RunTask) -> httputil.HTTPHeaders:
    return httputil.HTTPHeaders(
        {
            'Content-Type': 'application/json',
            JOB_HEADER: effect.job,
            INDEX_HEADER: str(effect.index),
            KIND_HEADER: effect.kind,
            DEADLINE_HEADER: f'{effect.deadline:.3f}',
        }
    )


def _parse_answer(
    response: httpclient.HTTPResponse,
) -> tuple[types.TaskState, bytes, str]:
    body = response.body or b''
    if not 200 <= response.code < 300:
        return types.TaskState.FAILED, b'', _parse_reason(response.code, body)
    if body and not _is_json(body):
        return types.TaskState.FAILED, b'', REASON_NOT_JSON
    return types.TaskState.FINISHED, body, ''


def _parse_reason(status: int, body: bytes) -> str:
    try:
        reason = msgspec.json.decode(body, type=Failure).reason
    except decoding.ERRORS:
        reason = ''
    return reason[:200] or f'status_{status}'


def _is_json(body: bytes) -> bool:
    try:
        msgspec.json.decode(body)
    except decoding.ERRORS:
        return False
    return True
