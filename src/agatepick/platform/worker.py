"""Orders to the worker on this machine, over HTTP.

The worker's word for the lease is a time of its own clock until which all
runs on it may go on; here it is worked out from the newest samples.
"""

import asyncio
import typing

import msgspec

from agatepick.net import httpcalls
from agatepick.platform import rows
from agatepick.repeatable import workerapi
from agatepick.telemetry import logs
from agatepick import types

LOG = logs.logger(__name__)

ORDER_SECONDS = 0.12
"""The worker is on this machine and answers within a few milliseconds, but
one order in twenty may get no answer at all.  A task that waits for longer
than this can't be in time any more at another worker."""

WATCH_SPARE_SECONDS = 0.08
"""Beyond the time that the worker may wait with its list."""

MAX_CONNECTIONS = 6
"""Each one is paid for, and a burst of ten starts, 2 ms each, is only 4 ms
later over four than over ten; two are for the lists that wait."""

SAMPLE_SECONDS = 1.0
"""Age up to which a clock sample counts: a clock that is 2% slow falls 20 ms
behind in that time."""

FENCE = 1
"""Orders come from the one agent beside the worker, whose former life is
gone before it starts; its late orders bear leases that have run out."""

_END_KINDS = {
    'done': workerapi.EndKind.DONE,
    'failed': workerapi.EndKind.FAILED,
}
_REFUSALS = {
    'room': workerapi.StartResult.NO_ROOM,
    'old': workerapi.StartResult.STALE_RUN,
    'late': workerapi.StartResult.LATE,
}


class _Answer(msgspec.Struct, frozen=True):
    clock_ms: int = 0
    reason: str = ''


class _Lists(msgspec.Struct, frozen=True):
    """What runs, and what ended: rows of plain values.

    :param running: task, run, checkpoint, share of its pace.
    :param ended_runs: number, task, run, how it ended, checkpoint.
    :param born: millisecond of the worker's start; names its life.
    """

    clock_ms: int
    running: tuple[tuple[typing.Any, ...], ...] = ()
    ended_runs: tuple[tuple[typing.Any, ...], ...] = ()
    born: int = 0


class WorkerClock:
    """The worker's clock, never ahead of it but by its drift."""

    def __init__(self, clock: types.Clock):
        self._clock = clock
        self._samples: list[tuple[float, float]] = []
        self._born = 0

    def sample(self, clock_ms: float, born: int = 0) -> None:
        """The worker told its clock in something that came just now.

        Each life has a clock of its own, which starts anew.  By the former
        life's, leases would be too long by all that it was ahead, and runs
        go on after they were taken for over.

        :param born: tells the worker's life; 0 if that isn't known.
        """
        if born and born < self._born:
            return
        if born > self._born:
            self._born = born
            self._samples.clear()
        now = self._clock.now()
        self._samples.append((now, clock_ms - now * 1000.0))
        oldest = now - SAMPLE_SECONDS
        while len(self._samples) > 1 and self._samples[0][0] < oldest:
            self._samples.pop(0)

    def until(self, seconds: float) -> int:
        """The instant of the worker's clock some seconds from now."""
        # Each sample is too low by its way here; the highest errs least.
        offset = max((one[1] for one in self._samples), default=0.0)
        return int((self._clock.now() + seconds) * 1000.0 + offset)


class WorkerClient:
    """Carries the agent's effects to its worker and feeds the answers."""

    def __init__(
        self,
        address: str,
        clock: types.Clock,
        feed: typing.Callable[[object], None],
    ):
        self.address = address
        self._clock = clock
        self._feed = feed
        self.worker_clock = WorkerClock(clock)
        self._client = httpcalls.Client(address, MAX_CONNECTIONS)
        self._tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def start(self, effect: workerapi.StartRun) -> None:
        """Start a run; the lease counts from now, not from when it is sent."""
        body = {
            'task': effect.name,
            'run': effect.ref.run,
            'spec': effect.payload.decode(),
            'until_ms': self.worker_clock.until(effect.lease_seconds),
            'fencing_token': FENCE,
        }
        self._spawn(self._start(effect, body))

    def stop(self, effect: workerapi.StopRun) -> None:
        """End a run."""
        self._spawn(self._stop(effect))

    def watch(self, effect: workerapi.Watch) -> None:
        """Extend the lease and ask for the lists."""
        body: dict[str, typing.Any] = {
            'fencing_token': FENCE,
            'last_seen': effect.seen,
            'wait_ms': int(effect.wait_seconds * 1000),
        }
        if effect.lease_seconds:
            body['until_ms'] = self.worker_clock.until(effect.lease_seconds)
        self._spawn(self._watch(effect, body))

    async def born(self, name: str) -> int:
        """When the worker was born, in milliseconds.

        0 if no worker answers to that id.  Nothing is done there: no lease
        is extended, and ends are told again later.
        """
        body = {'fencing_token': FENCE, 'last_seen': 0, 'wait_ms': 0}
        try:
            status, data = await self._post(
                '/v1/hold', life_of(name, 0), body, ORDER_SECONDS
            )
            if status != 200:
                return 0
            lists = msgspec.json.decode(data, type=_Lists)
        except (OSError, msgspec.MsgspecError) as exc:
            logs.info(LOG, 'worker_unanswered', reason=repr(exc))
            return 0
        self.worker_clock.sample(lists.clock_ms, lists.born)
        return lists.born

    async def _start(
        self, effect: workerapi.StartRun, body: dict[str, typing.Any]
    ) -> None:
        try:
            status, data = await self._post(
                '/v1/run-start', effect.life, body, ORDER_SECONDS
            )
        except OSError as exc:
            result, reason = workerapi.StartResult.UNKNOWN, repr(exc)
        else:
            result, reason = self._start_result(status, data)
        self._feed(
            workerapi.StartAnswered(effect.life, effect.ref, result, reason)
        )

    def _start_result(
        self, status: int, data: bytes
    ) -> tuple[workerapi.StartResult, str]:
        if status == 200:
            self._answer(data)
            return workerapi.StartResult.STARTED, ''
        if status == 421:
            return workerapi.StartResult.OTHER_LIFE, ''
        if status == 409:
            reason = self._answer(data).reason
            found = _REFUSALS.get(reason, workerapi.StartResult.UNKNOWN)
            return found, reason
        if status in (429, 503):
            return workerapi.StartResult.UNWELL, str(status)
        logs.warning(LOG, 'start_rejected', status=status)
        return workerapi.StartResult.UNWELL, str(status)

    async def _stop(self, effect: workerapi.StopRun) -> None:
        body = {
            'task': effect.name,
            'run': effect.run,
            'fencing_token': FENCE,
        }
        ok = False
        try:
            status, data = await self._post(
                '/v1/run-stop', effect.life, body, ORDER_SECONDS
            )
            ok = status == 200
            if ok:
                self._answer(data)
        except OSError as exc:
            logs.info(LOG, 'stop_unanswered', task=effect.name, reason=exc)
        self._feed(
            workerapi.StopAnswered(effect.life, effect.name, effect.run, ok)
        )

    async def _watch(
        self, effect: workerapi.Watch, body: dict[str, typing.Any]
    ) -> None:
        asked_at = self._clock.now()
        seconds = effect.wait_seconds + WATCH_SPARE_SECONDS
        try:
            status, data = await self._post(
                '/v1/hold', effect.life, body, seconds
            )
        except OSError as exc:
            refused = isinstance(exc, ConnectionRefusedError)
            logs.info(LOG, 'watch_failed', reason=repr(exc))
            self._feed(workerapi.WatchFailed(effect.life, refused=refused))
            return
        self._feed(self._watched(effect, asked_at, status, data))

    def _watched(
        self,
        effect: workerapi.Watch,
        asked_at: float,
        status: int,
        data: bytes,
    ) -> object:
        if status == 421:
            return workerapi.WatchFailed(effect.life, other_life=True)
        if status != 200:
            logs.info(LOG, 'watch_failed', status=status)
            return workerapi.WatchFailed(effect.life)
        try:
            lists = msgspec.json.decode(data, type=_Lists)
            running = tuple(
                workerapi.RunningAt(one[0], one[1]) for one in lists.running
            )
            ended = tuple(
                workerapi.EndedAt(
                    one[0],
                    one[1],
                    one[2],
                    _END_KINDS.get(one[3], workerapi.EndKind.OTHER),
                    one[3],
                )
                for one in lists.ended_runs
            )
        except (msgspec.MsgspecError, IndexError) as exc:
            logs.warning(LOG, 'lists_unreadable', reason=exc)
            return workerapi.WatchFailed(effect.life)
        self.worker_clock.sample(lists.clock_ms, lists.born)
        life = life_of(id_of(effect.life), lists.born)
        if lists.born and life != effect.life:
            return workerapi.WorkerReborn(effect.life, life, lists.born)
        return workerapi.Watched(effect.life, asked_at, running, ended)

    async def _post(
        self,
        path: str,
        life: str,
        body: dict[str, typing.Any],
        seconds: float,
    ) -> tuple[int, bytes]:
        headers = {**rows.JSON, 'X-Target-Instance': id_of(life)}
        answer = await self._client.call(
            'POST', path, seconds, msgspec.json.encode(body), headers
        )
        return answer.status, answer.body

    def _answer(self, data: bytes) -> _Answer:
        try:
            found = msgspec.json.decode(data, type=_Answer)
        except msgspec.MsgspecError as exc:
            logs.warning(LOG, 'answer_unreadable', reason=exc)
            return _Answer()
        if found.clock_ms:
            self.worker_clock.sample(found.clock_ms)
        return found

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        # The loop itself keeps only weak references to its tasks.
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def life_of(name: str, born: int) -> str:
    """Names one life of a worker, which may come back under its id."""
    return f'{name}@{born}'


def id_of(life: str) -> str:
    """The worker's id, which it may have in several lives."""
    return life.rpartition('@')[0]
