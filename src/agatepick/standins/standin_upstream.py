"""A stand-in for a worker's upstream, for tests, the demo and the bench.

The stand-in runs a task by waiting for the seconds in the task's payload, such
as ``{"seconds": 0.1}``, and can have the faults of real upstreams.  It counts
the starts of each task itself, so that agatepick's answers can be checked
against the counts.
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
ANNOUNCE_TIMEOUT_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.2


class Payload(msgspec.Struct):
    """Payload of a task for the stand-in.

    :param seconds: run time; ``None`` for the worker's default.
    :param fail: whether the task fails at its end.
    """

    seconds: float | None = None
    fail: bool = False


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of a worker; may be changed while it runs.

    :param fail_all: whether every task fails as soon as it starts.
    :param slow_factor: factor on the run time of every task.
    :param ignores_stop: whether tasks continue when the agent stops them.
    :param dead: whether the worker is down: tasks neither start nor end.
    """

    fail_all: bool = False
    slow_factor: float = 1.0
    ignores_stop: bool = False
    dead: bool = False


TaskKey = tuple[types.JobKey, int]
DoneCallback = typing.Callable[[types.TaskState, bytes, str], None]


@dataclasses.dataclass(slots=True)
class _Run:
    done: DoneCallback
    timer: asyncio.TimerHandle
    payload: Payload


class StandIn:
    """Worker that runs tasks on the event loop and counts their starts.

    :param default_task_seconds: run time of tasks whose payload has none.
    :ivar max_running: largest number of tasks that ran at once.
    """

    def __init__(
        self, faults: Faults | None = None, default_task_seconds: float = 0.0
    ):
        self.faults = faults or Faults()
        self._default_task_seconds = default_task_seconds
        self.starts: collections.Counter[TaskKey] = collections.Counter()
        """Number of starts of each task."""
        self.max_running = 0
        self._runs: dict[int, tuple[TaskKey, _Run]] = {}
        self._next_run_id = 0

    @property
    def running(self) -> int:
        """Number of running tasks."""
        return len(self._runs)

    def start(self, task: TaskKey, payload: bytes, done: DoneCallback) -> None:
        """Start a task; call ``done`` once, unless the worker crashes.

        :param done: function that gets the state, body and reason.
        """
        if self.faults.dead:
            return
        self.starts[task] += 1
        task_payload = msgspec.json.decode(payload or b'{}', type=Payload)
        seconds = task_payload.seconds
        if seconds is None:
            seconds = self._default_task_seconds
        seconds *= self.faults.slow_factor
        if self.faults.fail_all:
            seconds = 0.0
        run_id = self._next_run_id
        self._next_run_id += 1
        timer = asyncio.get_running_loop().call_later(
            seconds, self._end, run_id
        )
        self._runs[run_id] = (task, _Run(done, timer, task_payload))
        self.max_running = max(self.max_running, self.running)

    def apply_action(self, task: TaskKey, action: upstream.Action) -> None:
        """Stop or throttle a running task; ignore a checkpoint."""
        for run_id, (key, run) in list(self._runs.items()):
            if key != task:
                continue
            if action is upstream.Action.STOP:
                self._stop(run_id, run)
            elif action is upstream.Action.THROTTLE:
                self._throttle(run_id, run)

    def crash(self) -> None:
        """Drop all running tasks, as in a power failure."""
        self.faults.dead = True
        for _, run in self._runs.values():
            run.timer.cancel()
        self._runs.clear()

    def _stop(self, run_id: int, run: _Run) -> None:
        if self.faults.ignores_stop:
            return
        run.timer.cancel()
        del self._runs[run_id]
        run.done(types.TaskState.FAILED, b'', REASON_STOPPED)

    def _throttle(self, run_id: int, run: _Run) -> None:
        loop = asyncio.get_running_loop()
        remaining = max(0.0, run.timer.when() - loop.time())
        run.timer.cancel()
        run.timer = loop.call_later(
            remaining * THROTTLE_FACTOR, self._end, run_id
        )

    def _end(self, run_id: int) -> None:
        task, run = self._runs.pop(run_id)
        if self.faults.fail_all or run.payload.fail:
            run.done(types.TaskState.FAILED, b'', REASON_FAULT)
        else:
            body = msgspec.json.encode({'job': task[0], 'index': task[1]})
            run.done(types.TaskState.FINISHED, body, '')


class LocalUpstream:
    """Implementation of :class:`.upstream.Upstream` in the agent's process.

    :param feed: function that passes an event to the agent.
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
        """Announce the worker; renew this until :meth:`end` or a crash."""
        if self._worker.faults.dead:
            return
        self._feed(self._announced)
        self._timer = asyncio.get_running_loop().call_later(
            self._announced.term / 3, self.begin
        )

    def leave(self) -> None:
        """Announce the departure of the worker."""
        self._feed(upstream.UpstreamLeft(self._announced.session))

    def end(self) -> None:
        """Stop renewing the announcement."""
        if self._timer is not None:
            self._timer.cancel()

    def run(self, effect: upstream.RunTask) -> None:
        """Start a task."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()

        def done(state: types.TaskState, body: bytes, reason: str) -> None:
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

        task = (effect.job, effect.index)
        self._worker.start(task, effect.payload, done)

    def stop(self, effect: upstream.StopTask) -> None:
        """Pass an action on a running task, such as a stop, to the worker."""
        self._worker.apply_action((effect.job, effect.index), effect.action)


class HttpWorker:
    """HTTP server and client of a stand-in worker in a separate process.

    :param agent: URL of the agent for announcements.
    :param announced: announcement to send; :meth:`start` sets its ``url``.
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
        self._renewal: asyncio.Task[None] | None = None

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
        self._renewal = loop.create_task(self._renew_announcement())

    async def leave(self) -> None:
        """Announce the worker's departure; its running tasks continue."""
        self._cancel_renewal()
        body = msgspec.json.encode(announce.Departure(self.announced.session))
        await self._call('DELETE', body)

    async def stop(self) -> None:
        """Drop all tasks and close all connections, as at a process exit."""
        self._cancel_renewal()
        self.worker.crash()
        self._server.stop()
        await self._server.close_all_connections()
        self._client.close()

    def _cancel_renewal(self) -> None:
        if self._renewal is not None:
            self._renewal.cancel()
            self._renewal = None

    async def _renew_announcement(self) -> None:
        body = msgspec.json.encode(_make_announcement(self.announced))
        while not self.worker.faults.dead:
            try:
                answer = await self._call('PUT', body)
                delay = msgspec.json.decode(
                    answer, type=announce.Accepted
                ).renew_seconds
            except (OSError, tornado.httpclient.HTTPError):
                delay = RETRY_DELAY_SECONDS
            await asyncio.sleep(delay)

    async def _call(self, method: str, body: bytes) -> bytes:
        response = await self._client.fetch(
            f'{self._agent}/v1/upstream',
            method=method,
            body=body,
            allow_nonstandard_methods=True,
            request_timeout=ANNOUNCE_TIMEOUT_SECONDS,
        )
        return response.body


def _make_announcement(announced: upstream.Announced) -> announce.Announcement:
    needs = announced.capacity
    return announce.Announcement(
        announced.session,
        announced.kinds,
        announced.slots,
        announced.url,
        announced.term,
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
        self.worker.apply_action((job, int(index)), upstream.Action(action))
        self.set_status(204)
