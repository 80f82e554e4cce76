"""Stand-in upstreams of the bench: they run nothing and count every start.

An upstream here implements :class:`agatepick.upstream.Upstream`.  It holds a
task for the run time in its payload, answers with the task's own key and id,
and writes each start down by itself, so that the count owes nothing to the
product.
"""

import asyncio
import dataclasses
import typing

import msgspec

from agatepick import bench_evidence
from agatepick import bench_truth
from agatepick import types
from agatepick import upstream

FAILING_SECONDS = 0.01
"""A worker that fails all it starts is quick at it, so it looks idle."""


class Payload(msgspec.Struct, frozen=True):
    """What the bench's callers send with a task."""

    task: str
    seconds: float


class Feed(typing.Protocol):
    """Takes the events of an upstream."""

    def __call__(self, event: object, /) -> None:
        """Take one event."""
        ...


class StartBook:
    """Every start at any upstream of one run, in seconds from its begin."""

    def __init__(self, clock: types.Clock):
        self.runs: list[bench_evidence.Run] = []
        self._clock = clock
        self._begin = clock.now()

    def begin(self) -> None:
        """The run begins now."""
        self._begin = self._clock.now()

    def now(self) -> float:
        """Seconds since the run began."""
        return self.seconds_at(self._clock.now())

    def seconds_at(self, instant: float) -> float:
        """An instant as seconds since the run began."""
        return instant - self._begin

    def started(self, run: bench_evidence.Run) -> int:
        """Write a start down; returns its place for :meth:`ended`."""
        self.runs.append(run)
        return len(self.runs) - 1

    def ended(self, place: int) -> None:
        """Correct the end of a run that stopped before its time."""
        run = self.runs[place]
        self.runs[place] = dataclasses.replace(run, end=self.now())


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """The worker beside which an upstream stands.

    :param factor: run times are this many times as long as planned.
    """

    number: int
    zone: str
    factor: float = 1.0
    failing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    effect: upstream.RunTask
    place: int
    timer: asyncio.TimerHandle


class CountingUpstream:
    """One upstream in the bench's process."""

    def __init__(self, worker: Worker, book: StartBook):
        self._worker = worker
        self._book = book
        self._feed: Feed
        self._running: dict[tuple[str, int], _Running] = {}

    def use_feed(self, feed: Feed) -> None:
        """Report to an agent's reducer from now on."""
        self._feed = feed

    def run(self, effect: upstream.RunTask) -> None:
        """Start a task and count it."""
        payload = msgspec.json.decode(effect.payload, type=Payload)
        seconds = payload.seconds * self._worker.factor
        if self._worker.failing:
            seconds = FAILING_SECONDS
        start = self._book.now()
        place = self._book.started(
            bench_evidence.Run(
                effect.job,
                payload.task,
                self._worker.number,
                self._worker.zone,
                start,
                start + seconds,
                self._worker.failing,
            )
        )
        loop = asyncio.get_running_loop()
        key = (effect.job, effect.index)
        timer = loop.call_later(seconds, self._end, key, payload.task, seconds)
        self._running[key] = _Running(effect, place, timer)

    def stop(self, effect: upstream.StopTask) -> None:
        """Break a running task off; other actions change nothing here."""
        key = (effect.job, effect.index)
        if effect.action is not upstream.Action.STOP:
            return
        running = self._running.pop(key, None)
        if running is None:
            return
        running.timer.cancel()
        self._book.ended(running.place)
        self._feed(
            upstream.TaskEnded(
                effect.job,
                effect.index,
                running.effect.attempt,
                types.TaskState.FAILED,
                reason='stopped',
            )
        )

    def die(self) -> None:
        """End all tasks at once without a word, as a lost machine does."""
        for running in self._running.values():
            running.timer.cancel()
            self._book.ended(running.place)
        self._running.clear()

    def _end(self, key: tuple[str, int], task: str, seconds: float) -> None:
        running = self._running.pop(key)
        failed = self._worker.failing
        state = types.TaskState.FAILED if failed else types.TaskState.FINISHED
        self._book.ended(running.place)
        self._feed(
            upstream.TaskEnded(
                key[0],
                key[1],
                running.effect.attempt,
                state,
                msgspec.json.encode(bench_truth.echo(key[0], task).decode()),
                'worker fails all it starts' if failed else '',
                seconds,
            )
        )
