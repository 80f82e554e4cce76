"""A stand-in for a worker's upstream, for tests, the demo and the bench.

It runs a task by waiting for the seconds that its payload names, such as
``{"seconds": 0.1}``, and has the faults of real ones.  It counts the starts
of each task by itself, so that what agatepick claims can be held against it.
"""

import asyncio
import collections
import dataclasses
import typing

import msgspec
import tornado.httpclient
import tornado.httpserver
import tornado.netutil
import tornado.web

from agatepick.agentside import announce
from agatepick.agentside import httpupstream
from agatepick.agentside import upstream
from agatepick import types

REASON_FAULT = 'standin_fault'
REASON_STOPPED = 'stopped'
REASON_DIED = 'upstream_died'
THROTTLE_FACTOR = 2.0
ANNOUNCE_SECONDS = 2.0
RETRY_SECONDS = 0.2


class Payload(msgspec.Struct):
    """What a task asks of the stand-in.

    :param seconds: how long it takes; ``None``: as long as the worker's
        tasks usually take.
    :param fail: whether it fails at its end.
    """

    seconds: float | None = None
    fail: bool = False


@dataclasses.dataclass(slots=True)
class Faults:
    """How a worker misbehaves; may be changed while it runs.

    :param fail_all: every task it starts fails, at once.
    :param slow_factor: every task takes that many times as long.
    :param ignores_stop: tasks that are to stop run on.
    :param dead: it is gone: tasks neither start nor end.
    """

    fail_all: bool = False
    slow_factor: float = 1.0
    ignores_stop: bool = False
    dead: bool = False


TaskKey = tuple[types.JobKey, int]
Done = typing.Callable[[types.TaskState, bytes, str], None]


@dataclasses.dataclass(slots=True)
class _Run:
    done: Done
    timer: asyncio.TimerHandle
    payload: Payload


class StandIn:
    """The worker itself: runs tasks on the event loop, counts starts."""

    def __init__(
        self, faults: Faults | None = None, default_seconds: float = 0.0
    ):
        self.faults = faults or Faults()
        self._default_seconds = default_seconds
        self.starts: collections.Counter[TaskKey] = collections.Counter()
        """How often each task of each job was started."""
        self.most_running = 0
        self._runs: dict[int, tuple[TaskKey, _Run]] = {}
        self._next = 0

    @property
    def running(self) -> int:
        """Tasks that run now."""
        return len(self._runs)

    def start(self, task: TaskKey, payload: bytes, done: Done) -> None:
        """Start a task; ``done`` is called once, unless the worker dies."""
        if self.faults.dead:
            return
        self.starts[task] += 1
        asked = msgspec.json.decode(payload or b'{}', type=Payload)
        seconds = asked.seconds
        if seconds is None:
            seconds = self._default_seconds
        seconds *= self.faults.slow_factor
        if self.faults.fail_all:
            seconds = 0.0
        number = self._next
        self._next += 1
        timer = asyncio.get_running_loop().call_later(
            seconds, self._end, number
        )
        self._runs[number] = (task, _Run(done, timer, asked))
        self.most_running = max(self.most_running, self.running)

    def act(self, task: TaskKey, action: upstream.Action) -> None:
        """Stop or throttle a task; a checkpoint changes nothing here."""
        for number, (key, run) in list(self._runs.items()):
            if key != task:
                continue
            if action is upstream.Action.STOP:
                self._stop(number, run)
            elif action is upstream.Action.THROTTLE:
                self._throttle(number, run)

    def die(self) -> None:
        """Lose all that runs, as a machine does that loses its power."""
        self.faults.dead = True
        for _, run in self._runs.values():
            run.timer.cancel()
        self._runs.clear()

    def _stop(self, number: int, run: _Run) -> None:
        if self.faults.ignores_stop:
            return
        run.timer.cancel()
        del self._runs[number]
        run.done(types.TaskState.FAILED, b'', REASON_STOPPED)

    def _throttle(self, number: int, run: _Run) -> None:
        loop = asyncio.get_running_loop()
        left = max(0.0, run.timer.when() - loop.time())
        run.timer.cancel()
        run.timer = loop.call_later(left * THROTTLE_FACTOR, self._end, number)

    def _end(self, number: int) -> None:
        task, run = self._runs.pop(number)
        if self.faults.fail_all or run.payload.fail:
            run.done(types.TaskState.FAILED, b'', REASON_FAULT)
        else:
            body = msgspec.json.encode({'job': task[0], 'index': task[1]})
            run.done(types.TaskState.FINISHED, body, '')


class LocalUpstream:
    """An :class:`.upstream.Upstream` in the agent's own process.

    :param feed: takes the agent's events.
    """

    def __init__(
        self,
        worker: StandIn,
        feed: typing.Callable[[object], None],
        announced: upstream.Announced,
    ):
        self._worker = worker
        self._feed = feed
        self._announced = announced
        self._timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Announce the worker, and renew as long as it lives."""
        if self._worker.faults.dead:
            return
        self._feed(self._announced)
        self._timer = asyncio.get_running_loop().call_later(
            self._announced.term / 3, self.begin
        )

    def leave(self) -> None:
        """Announce that the worker leaves."""
        self._feed(upstream.UpstreamLeft(self._announced.session))

    def end(self) -> None:
        """Stop renewing."""
        if self._timer is not None:
            self._timer.cancel()

    def run(self, effect: upstream.RunTask) -> None:
        """Start a task."""
        loop = asyncio.get_running_loop()
        began = loop.time()

        def done(state: types.TaskState, body: bytes, reason: str) -> None:
            self._feed(
                upstream.TaskEnded(
                    effect.job,
                    effect.index,
                    effect.attempt,
                    state,
                    body,
                    reason,
                    loop.time() - began,
                )
            )

        task = (effect.job, effect.index)
        self._worker.start(task, effect.payload, done)

    def stop(self, effect: upstream.StopTask) -> None:
        """Pass an action on to the worker."""
        self._worker.act((effect.job, effect.index), effect.action)


class HttpWorker:
    """The stand-in as a process of its own sees it: HTTP in and out.

    :param agent: URL where the agent takes announcements.
    :param announced: what is announced; its ``url`` is filled in.
    """

    def __init__(
        self,
        worker: StandIn,
        agent: str,
        announced: upstream.Announced,
        listen: str = '127.0.0.1:0',
    ):
        self.worker = worker
        self.announced = announced
        self._agent = agent
        self._listen = listen
        self._client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        self._server = tornado.httpserver.HTTPServer(
            tornado.web.Application(
                [
                    ('/tasks', _TaskHandler, {'worker': worker}),
                    (
                        '/tasks/([^/]+)/([0-9]+)/([a-z]+)',
                        _ActionHandler,
                        {'worker': worker},
                    ),
                ],
                log_function=lambda handler: None,
            )
        )
        self._renewing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and announce until :meth:`leave` or :meth:`stop`."""
        host, _, port = self._listen.rpartition(':')
        sockets = tornado.netutil.bind_sockets(int(port), host)
        self._server.add_sockets(sockets)
        bound = sockets[0].getsockname()
        self.announced = dataclasses.replace(
            self.announced, url=f'http://{bound[0]}:{bound[1]}'
        )
        loop = asyncio.get_running_loop()
        self._renewing = loop.create_task(self._renew())

    async def leave(self) -> None:
        """Say that it leaves; what runs runs on."""
        self._end_renewing()
        body = msgspec.json.encode(announce.Departure(self.announced.session))
        await self._call('DELETE', body)

    async def stop(self) -> None:
        """Close everything, as a process that ends does."""
        self._end_renewing()
        self.worker.die()
        self._server.stop()
        await self._server.close_all_connections()
        self._client.close()

    def _end_renewing(self) -> None:
        if self._renewing is not None:
            self._renewing.cancel()
            self._renewing = None

    async def _renew(self) -> None:
        body = msgspec.json.encode(_announcement(self.announced))
        while not self.worker.faults.dead:
            try:
                answer = await self._call('PUT', body)
                pause = msgspec.json.decode(
                    answer, type=announce.Accepted
                ).renew_seconds
            except (OSError, tornado.httpclient.HTTPError):
                pause = RETRY_SECONDS
            await asyncio.sleep(pause)

    async def _call(self, method: str, body: bytes) -> bytes:
        response = await self._client.fetch(
            f'{self._agent}/v1/upstream',
            method=method,
            body=body,
            allow_nonstandard_methods=True,
            request_timeout=ANNOUNCE_SECONDS,
        )
        return response.body


def _announcement(said: upstream.Announced) -> announce.Announcement:
    needs = said.capacity
    return announce.Announcement(
        said.session,
        said.kinds,
        said.slots,
        said.url,
        said.term,
        announce.Capacity(needs.cpu, needs.memory_mb, needs.accelerators),
    )


class _TaskHandler(tornado.web.RequestHandler):
    def initialize(self, worker: StandIn) -> None:
        self.worker = worker

    async def post(self) -> None:
        headers = self.request.headers
        task = (
            headers[httpupstream.JOB_HEADER],
            int(headers[httpupstream.INDEX_HEADER]),
        )
        fut: asyncio.Future[tuple[types.TaskState, bytes, str]]
        fut = asyncio.get_running_loop().create_future()

        def done(state: types.TaskState, body: bytes, reason: str) -> None:
            fut.set_result((state, body, reason))

        self.worker.start(task, self.request.body, done)
        state, body, reason = await fut
        if state is types.TaskState.FAILED:
            self.set_status(500)
            body = msgspec.json.encode(httpupstream.Failure(reason))
        self.finish(body)


class _ActionHandler(tornado.web.RequestHandler):
    def initialize(self, worker: StandIn) -> None:
        self.worker = worker

    def post(self, job: str, index: str, action: str) -> None:
        self.worker.act((job, int(index)), upstream.Action(action))
        self.set_status(204)
