"""Client for requests to the worker on this machine, over HTTP."""

import asyncio
import math
import typing

import msgspec

from agatepick.net import decoding
from agatepick.net import httpcalls
from agatepick.platform import quantities
from agatepick.platform import rows
from agatepick.repeatable import workerapi
from agatepick.telemetry import logs
from agatepick import types

LOG = logs.logger(__name__)

REQUEST_TIMEOUT_SECONDS = 0.12
"""Timeout of a request.  The worker is on this machine and answers within a
few milliseconds, but one request in twenty may get no answer at all.  A task
that waits longer than this can't be in time at another worker any more."""

LISTS_MARGIN_SECONDS = 0.08
"""Time beyond the wait after which a request for the lists counts as
unanswered."""

MAX_CONNECTIONS = 6
"""Largest number of connections to the worker, as each has a cost.  A burst of
ten starts, 2 ms each, takes only 4 ms longer over four connections than over
ten; two more are for requests for the lists, which wait."""

MAX_UNANSWERED = 2
"""Number of timeouts without an answer between them after which no idle
connection is used any more.  One lost answer in twenty is normal, and opening
all connections again for each has a cost; two in a row are one in hundreds.
The third try of a start then has a new connection."""

MILLISECONDS = 1000.0

_END_KINDS = {
    'done': workerapi.EndKind.DONE,
    'failed': workerapi.EndKind.FAILED,
}
_RESULTS_BY_REASON = {
    'fence': workerapi.StartResult.FENCED,
    'room': workerapi.StartResult.NO_ROOM,
    'old': workerapi.StartResult.STALE_RUN,
    'late': workerapi.StartResult.LATE,
}
_IDENTITY_BY_STATUS = {
    421: workerapi.Identity.OTHER,
    409: workerapi.Identity.FENCED,
}


class _Answer(msgspec.Struct, frozen=True):
    """The worker's answer to a request."""

    clock_ms: quantities.Whole = 0
    reason: str = ''


class _RunningRow(msgspec.Struct, frozen=True, array_like=True):
    """A run; the row has further fields, which aren't used."""

    task: str
    run: quantities.Whole


class _EndedRow(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run; the row has further fields, which aren't used.

    :param number: sequence number of the end.
    :param how: how the run ended.
    """

    number: quantities.Whole
    task: str
    run: quantities.Whole
    how: str


class _Lists(msgspec.Struct, frozen=True):
    """The running and ended runs of a worker.

    Both lists are required: a body without them would count as the end of all
    runs.

    :param born: instant of the worker's start, in milliseconds, which
        identifies its incarnation.
    """

    clock_ms: quantities.Whole
    running: tuple[_RunningRow, ...]
    ended_runs: tuple[_EndedRow, ...]
    born: quantities.Whole = 0


class WorkerClient:
    """A client that executes the agent's effects and feeds it the answers."""

    def __init__(
        self,
        address: str,
        clock: types.Clock,
        feed: typing.Callable[[object], None],
    ):
        self.address = address
        self._clock = clock
        self._feed = feed
        self._client = httpcalls.Client(
            address, MAX_CONNECTIONS, MAX_UNANSWERED
        )
        self._tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def start(self, effect: workerapi.StartRun) -> None:
        """Start a run, unless its lease has expired before it is sent."""
        body = {
            'task': effect.name,
            'run': effect.ref.run,
            'spec': effect.payload.decode(),
            'until_ms': int(effect.until * MILLISECONDS),
            'fencing_token': effect.epoch,
        }
        self._spawn(self._start(effect, body))

    def stop(self, effect: workerapi.StopRun) -> None:
        """Stop a run."""
        self._spawn(self._stop(effect))

    def request_lists(self, effect: workerapi.RequestLists) -> None:
        """Extend the lease and request the running and ended runs."""
        self._spawn(self._request_lists(effect))

    def watch(self, effect: workerapi.WatchWorker) -> None:
        """Keep a call open at the worker until it answers."""
        self._spawn(self._watch(effect))

    async def _watch(self, effect: workerapi.WatchWorker) -> None:
        body = _make_list_request(
            effect.epoch, effect.last_end_number, effect.wait_seconds
        )
        answered = broken = False
        try:
            status, data = await self._post(
                '/v1/hold',
                effect.incarnation,
                body,
                effect.wait_seconds + LISTS_MARGIN_SECONDS,
            )
            answered = status == 200 and _is_born_as(effect.incarnation, data)
        except OSError as exc:
            broken = isinstance(exc, ConnectionError)
            logs.info(LOG, 'rest_watch_failed', reason=repr(exc))
        self._feed(workerapi.WatchEnded(effect.incarnation, answered, broken))

    def identify(self, effect: workerapi.IdentifyWorker) -> None:
        """Ask the worker whether it is an incarnation."""
        self._spawn(self._identify(effect))

    async def _identify(self, effect: workerapi.IdentifyWorker) -> None:
        identity = await self.fetch_identity(effect.incarnation, effect.epoch)
        self._feed(workerapi.WorkerIdentified(effect.incarnation, identity))

    async def fetch_identity(
        self, incarnation: str, epoch: int
    ) -> workerapi.Identity:
        """Return whether the worker is an incarnation, by its own answer.

        The request extends no lease, and the worker lists its ended runs
        again later.

        :param epoch: epoch of the request, which the worker remembers.
        """
        body = _make_list_request(epoch, 0, 0.0)
        try:
            status, data = await self._post(
                '/v1/hold', incarnation, body, REQUEST_TIMEOUT_SECONDS
            )
            if status != 200:
                logs.info(LOG, 'worker_not_identified', status=status)
                return _IDENTITY_BY_STATUS.get(
                    status, workerapi.Identity.UNANSWERED
                )
            born = decoding.decode(data, _Lists).born
        except (OSError, decoding.Unreadable) as exc:
            logs.info(LOG, 'worker_not_identified', reason=repr(exc))
            return workerapi.Identity.UNANSWERED
        if _is_born_at(incarnation, born):
            return workerapi.Identity.SAME
        logs.info(LOG, 'worker_not_identified', life=incarnation, born=born)
        return workerapi.Identity.OTHER

    async def _start(
        self, effect: workerapi.StartRun, body: dict[str, typing.Any]
    ) -> None:
        answer = _Answer()
        try:
            status, data = await self._post(
                '/v1/run-start',
                effect.incarnation,
                body,
                REQUEST_TIMEOUT_SECONDS,
                effect.lease_until,
            )
        except httpcalls.NotSent:
            result, reason = workerapi.StartResult.NOT_SENT, 'lease_expired'
        except OSError as exc:
            result, reason = workerapi.StartResult.UNKNOWN, repr(exc)
        else:
            if status in (200, 409):
                answer = _decode_answer(data)
            result, reason = self._decode_start(status, answer)
        self._feed(
            workerapi.StartAnswered(
                effect.incarnation,
                effect.ref,
                result,
                reason,
                answer.clock_ms / MILLISECONDS,
            )
        )

    def _decode_start(
        self, status: int, answer: _Answer
    ) -> tuple[workerapi.StartResult, str]:
        if status == 200:
            return workerapi.StartResult.STARTED, ''
        if status == 421:
            return workerapi.StartResult.OTHER_WORKER, ''
        if status == 409:
            result = _RESULTS_BY_REASON.get(
                answer.reason, workerapi.StartResult.UNKNOWN
            )
            return result, answer.reason
        if status in (429, 503):
            return workerapi.StartResult.UNWELL, str(status)
        logs.warning(LOG, 'start_rejected', status=status)
        if status == 400:
            return workerapi.StartResult.UNWELL, str(status)
        # Such an answer doesn't show whether the run was started.
        return workerapi.StartResult.UNKNOWN, str(status)

    async def _stop(self, effect: workerapi.StopRun) -> None:
        body = {
            'task': effect.name,
            'run': effect.run,
            'fencing_token': effect.epoch,
        }
        ok = False
        answer = _Answer()
        try:
            status, data = await self._post(
                '/v1/run-stop',
                effect.incarnation,
                body,
                REQUEST_TIMEOUT_SECONDS,
            )
            ok = status == 200
            if ok:
                answer = _decode_answer(data)
        except OSError as exc:
            logs.info(LOG, 'stop_unanswered', task=effect.name, reason=exc)
        self._feed(
            workerapi.StopAnswered(
                effect.incarnation,
                effect.name,
                effect.run,
                ok,
                answer.clock_ms / MILLISECONDS,
            )
        )

    async def _request_lists(self, effect: workerapi.RequestLists) -> None:
        sent_at = self._clock.now()
        try:
            status, data = await self._post_list_request(effect)
        except OSError as exc:
            logs.info(LOG, 'watch_failed', reason=repr(exc))
            self._feed(
                workerapi.ListsFailed(
                    effect.incarnation,
                    refused=isinstance(exc, ConnectionRefusedError),
                    broken=isinstance(exc, ConnectionError),
                )
            )
            return
        self._feed(self._decode_lists(effect, sent_at, status, data))

    async def _post_list_request(
        self, effect: workerapi.RequestLists
    ) -> tuple[int, bytes]:
        body = _make_list_request(
            effect.epoch, effect.last_end_number, effect.wait_seconds
        )
        timeout_seconds = effect.wait_seconds + LISTS_MARGIN_SECONDS
        if effect.lease_until:
            until_ms = int(effect.until * MILLISECONDS)
            try:
                return await self._post(
                    '/v1/hold',
                    effect.incarnation,
                    {**body, 'until_ms': until_ms},
                    timeout_seconds,
                    effect.lease_until,
                )
            except httpcalls.NotSent:
                # The lists are wanted even so: they show what is over.
                logs.info(LOG, 'lease_not_extended', reason='expired')
        return await self._post(
            '/v1/hold', effect.incarnation, body, timeout_seconds
        )

    def _decode_lists(
        self,
        effect: workerapi.RequestLists,
        sent_at: float,
        status: int,
        data: bytes,
    ) -> object:
        if status == 421:
            return workerapi.ListsFailed(effect.incarnation, other_worker=True)
        if status == 409:
            return workerapi.ListsFailed(effect.incarnation, fenced=True)
        if status != 200:
            logs.info(LOG, 'watch_failed', status=status)
            return workerapi.ListsFailed(effect.incarnation)
        try:
            lists = decoding.decode(data, _Lists)
        except decoding.Unreadable as exc:
            logs.warning(LOG, 'lists_unreadable', reason=exc)
            return workerapi.ListsFailed(effect.incarnation)
        incarnation = make_incarnation(get_id(effect.incarnation), lists.born)
        if lists.born and incarnation != effect.incarnation:
            return workerapi.OtherIncarnationAnswered(
                effect.incarnation, incarnation, lists.born
            )
        return workerapi.ListsReceived(
            effect.incarnation,
            sent_at,
            tuple(
                workerapi.RunningRun(row.task, row.run)
                for row in lists.running
            ),
            tuple(_make_end(row) for row in lists.ended_runs),
            lists.clock_ms / MILLISECONDS,
        )

    async def _post(
        self,
        path: str,
        incarnation: str,
        body: dict[str, typing.Any],
        timeout_seconds: float,
        send_before: float = math.inf,
    ) -> tuple[int, bytes]:
        """Send a request, and return the status and body of its answer.

        :param send_before: instant from which the request isn't sent.
        :raises agatepick.net.httpcalls.NotSent: if that instant has come.
        """
        headers = {
            **rows.JSON_HEADERS,
            'X-Target-Instance': get_id(incarnation),
        }
        answer = await self._client.call(
            'POST',
            path,
            timeout_seconds,
            msgspec.json.encode(body),
            headers,
            lambda: self._clock.now() < send_before,
        )
        return answer.status, answer.body

    def _spawn(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        # The event loop keeps only weak references to its tasks.
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.warning(
                LOG, 'worker_call_failed', reason=repr(task.exception())
            )


def _decode_answer(data: bytes) -> _Answer:
    """Decode an answer to a start or stop."""
    try:
        return decoding.decode(data, _Answer)
    except decoding.Unreadable as exc:
        logs.warning(LOG, 'answer_unreadable', reason=exc)
        return _Answer()


def _make_end(row: _EndedRow) -> workerapi.EndedRun:
    kind = _END_KINDS.get(row.how, workerapi.EndKind.OTHER)
    return workerapi.EndedRun(row.number, row.task, row.run, kind, row.how)


def _make_list_request(
    epoch: int, last_end_number: int, wait_seconds: float
) -> dict[str, int]:
    """Return the body of a request that extends no lease."""
    return {
        'fencing_token': epoch,
        'last_seen': last_end_number,
        'wait_ms': int(wait_seconds * MILLISECONDS),
    }


def _is_born_as(incarnation: str, data: bytes) -> bool:
    """Return whether lists are those of an incarnation of a worker."""
    try:
        born = decoding.decode(data, _Lists).born
    except decoding.Unreadable as exc:
        logs.warning(LOG, 'lists_unreadable', reason=exc)
        return False
    return _is_born_at(incarnation, born)


def _is_born_at(incarnation: str, born: int) -> bool:
    return make_incarnation(get_id(incarnation), born) == incarnation


def make_incarnation(worker_id: str, born: int) -> str:
    """Return the name of one incarnation of a worker.

    A worker may restart under the same id.
    """
    return f'{worker_id}@{born}'


def get_id(incarnation: str) -> str:
    """Return the id of a worker, which all its incarnations share."""
    return incarnation.rpartition('@')[0]
