"""HTTP endpoints for callers: requests become jobs, results become answers."""

import asyncio
import itertools
import math
import re
import typing

from tornado import http1connection
from tornado import httputil
from tornado import web

from agatepick import intake
from agatepick.intake import budget
from agatepick.net import decoding
from agatepick.platform import job_bodies
from agatepick.repeatable import entry
from agatepick.repeatable import events
from agatepick.repeatable import jobs
from agatepick.repeatable import routes
from agatepick.telemetry import logs
from agatepick import types

LOG = logs.logger(__name__)

DEADLINE_HEADER = 'X-Deadline-Ms'
DEFAULT_DEADLINE_SECONDS = 30.0
"""Deadline for callers that don't send one."""

TOO_MANY_TASKS_RETRY_SECONDS = 2.0
"""When to come back with a job for whose tasks there is no memory; most jobs
end within that time."""

MAX_CANCELS = 256
"""Largest number of cancels that wait for other entries: each is passed on to
all of them."""

KEY_LENGTH = 16

_KEY = re.compile(f'[0-9a-f]{{{KEY_LENGTH}}}', re.IGNORECASE)

_STATES = {
    jobs.Verdict.COMPLETE: 'completed',
    jobs.Verdict.FAILED: 'failed',
    jobs.Verdict.CANCELLED: 'cancelled',
}

OVERLOAD_REASONS = frozenset({'overloaded', 'waited_too_long'})


class Front:
    """The state that all requests share: the entry and the waiting callers."""

    def __init__(
        self,
        reducer: entry.Entry,
        feed: typing.Callable[[object], None],
        clock: types.Clock,
        clients: intake.Intake | None = None,
    ):
        clients = clients or intake.Intake.from_config()
        self.entry = reducer
        self.feed = feed
        self.clock = clock
        self.departures = clients.departures
        self._budget = clients.jobs
        self._calls = itertools.count(1)
        self._waiting: dict[int, 'Queue'] = {}
        self._costs: dict[int, int] = {}
        self._cancels: dict[int, asyncio.Future[events.CancelOutcome]] = {}

    def reserve(self, body: job_bodies.Body) -> int:
        """Reserve memory for a job, before its tasks are made.

        :returns: number of its call; 0 if there is no memory for it.
        """
        cost = budget.estimate_job_bytes(
            len(body.spec),
            sum(step.count for step in body.steps),
            sum(len(step.after) for step in body.steps),
        )
        if not self._budget.reserve(cost):
            return 0
        call = next(self._calls)
        self._costs[call] = cost
        return call

    def submit(
        self, handler: 'Queue', call: int, job: jobs.Job, max_age: float
    ) -> None:
        """Submit a job to the entry; :meth:`reply` delivers its answer.

        :param max_age: seconds since which its request was sent at most.
        """
        self._waiting[call] = handler
        self.feed(events.JobArrived(call, job, max_age))

    def disconnect(self, call: int) -> None:
        """Notify the entry that a caller left before its answer was sent."""
        if self._remove(call) is not None:
            self.feed(events.CallerLeft(call))

    def reply(self, effect: events.Reply) -> None:
        """Deliver the entry's answer to the waiting caller."""
        handler = self._remove(effect.call)
        if handler is not None:
            handler.answer(effect.answer)

    def may_cancel(self) -> bool:
        """Return whether a cancel may be passed on to other entries."""
        return len(self._cancels) < MAX_CANCELS

    async def cancel(
        self, key: str, host: str, path: str
    ) -> events.CancelOutcome:
        """Cancel a job of another entry."""
        call = next(self._calls)
        outcome: asyncio.Future[events.CancelOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._cancels[call] = outcome
        self.feed(events.CancelAsked(call, key, host, path))
        return await outcome

    def reply_to_cancel(self, effect: events.CancelReply) -> None:
        """Deliver the entry's answer to a cancel."""
        outcome = self._cancels.pop(effect.call, None)
        if outcome is not None and not outcome.done():
            outcome.set_result(effect.outcome)

    def screen(
        self, line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> intake.Refusal | None:
        """Return why the body of a request isn't read, if it isn't."""
        table = self.entry.routes
        if table is None:
            return intake.Refusal(503, 'no_desired_state', 1.0)
        if line.method == 'DELETE':
            # The queue may have been removed since the job came.
            return None
        host, _ = httputil.split_host_and_port(headers.get('Host', '').lower())
        path, _, _ = line.path.partition('?')
        if table.match(host, path) is None:
            return intake.Refusal(404, 'no_such_queue')
        return None

    def release(self, call: int) -> None:
        """Release the memory that was reserved for a job."""
        self._budget.release(self._costs.pop(call, 0))

    def _remove(self, call: int) -> 'Queue | None':
        self.release(call)
        return self._waiting.pop(call, None)


class Ready(web.RequestHandler):
    """The readiness endpoint for the load balancer."""

    def initialize(self, front: Front) -> None:
        self._front = front

    def get(self) -> None:
        """Answer 200 while this entry accepts callers, else 503."""
        now = self._front.clock.now()
        self.set_status(200 if self._front.entry.is_ready(now) else 503)
        self.finish({})


class Queue(web.RequestHandler):
    """The endpoint for all paths of all queues."""

    def initialize(self, front: Front) -> None:
        self._front = front
        self._call = 0

    async def post(self) -> None:
        """Submit a job and answer when it has ended."""
        route_and_key = self._find_route()
        if route_and_key is None:
            return
        route, key = route_and_key
        if not _KEY.fullmatch(key):
            self._refuse(404, 'no_such_path', 0.0)
            return
        job = self._take_in_job(route, key)
        if job is None:
            return
        # The body isn't held beside the job.
        self.request.body = b''
        self._done = asyncio.get_running_loop().create_future()
        self._front.submit(self, self._call, job, self._get_max_age())
        await self._wait_for_answer()

    async def _wait_for_answer(self) -> None:
        conn = self.request.connection
        assert isinstance(conn, http1connection.HTTP1Connection)
        self._front.departures.add(conn.stream)
        try:
            await self._done
        finally:
            self._front.departures.discard(conn.stream)

    def get(self) -> None:
        """Answer the number of waiting jobs of a queue.

        The state of single jobs isn't stored, so a request for one gets 410.
        """
        route_and_key = self._find_route()
        if route_and_key is None:
            return
        route, key = route_and_key
        if key:
            self._refuse(410, 'not_kept', 0.0)
            return
        self.finish({'pending': self._front.entry.count_pending(route.name)})

    async def delete(self) -> None:
        """Cancel a job, whether its queue is still there or not."""
        host, path = self.request.host_name, self.request.path
        key = path[-KEY_LENGTH:]
        owner = self._front.entry
        if owner.owns_open_job(key, host, path):
            self._front.feed(events.JobCancelled(key))
            self.finish({})
        elif owner.routes is None:
            self._refuse(503, 'no_desired_state', 1.0)
        elif not _KEY.fullmatch(key):
            self._refuse(404, 'no_such_path', 0.0)
        elif not self._front.may_cancel():
            self._refuse(503, 'too_many_cancels', 1.0)
        else:
            self._answer_cancel(await self._front.cancel(key, host, path))

    def _answer_cancel(self, outcome: events.CancelOutcome) -> None:
        if outcome is events.CancelOutcome.CANCELLED:
            self.finish({})
        elif outcome is events.CancelOutcome.NO_JOB:
            self._refuse(410, 'no_such_job', 0.0)
        else:
            # The entry that has the job may be the one that is silent.
            self._refuse(503, 'job_not_found_yet', 1.0)

    def on_connection_close(self) -> None:
        """Release the request after its caller closed the connection."""
        self._front.disconnect(self._call)
        self._finish_wait()

    def answer(self, answer: jobs.Answer) -> None:
        """Send the entry's answer."""
        if answer.verdict is jobs.Verdict.NOT_RUN:
            status = 429 if answer.reason in OVERLOAD_REASONS else 503
            self._refuse(status, answer.reason, answer.retry_after)
        elif answer.verdict is jobs.Verdict.GIVEN_UP:
            # The caller submits the job again; its runs are over by then.
            self._refuse(504, answer.reason, 0.0)
        else:
            self._close_if_stopping()
            self.finish({'state': _STATES[answer.verdict]})
        self._finish_wait()

    def _finish_wait(self) -> None:
        done = getattr(self, '_done', None)
        if done is not None and not done.done():
            done.set_result(None)

    def _find_route(self) -> tuple[routes.Route, str] | None:
        table = self._front.entry.routes
        if table is None:
            self._refuse(503, 'no_desired_state', 1.0)
            return None
        host = self.request.host_name
        route = table.match(host, self.request.path)
        if route is None:
            self._refuse(404, 'no_such_queue', 0.0)
            return None
        return route, self.request.path.removeprefix(route.prefix)

    def _take_in_job(self, route: routes.Route, key: str) -> jobs.Job | None:
        """Return the job of the request, or refuse it."""
        try:
            deadline = self._get_deadline()
            body = job_bodies.parse_body(self.request.body)
            self._call = self._front.reserve(body)
            if self._call:
                return job_bodies.make_job(route, key, body, deadline)
        except decoding.ERRORS as exc:
            self._front.release(self._call)
            logs.info(LOG, 'job_bad', job=key, reason=exc)
            self._refuse(400, str(exc), 0.0)
            return None
        logs.info(LOG, 'job_refused', job=key, reason='too_many_tasks')
        self._refuse(503, 'too_many_tasks', TOO_MANY_TASKS_RETRY_SECONDS)
        return None

    def _get_max_age(self) -> float:
        """Return the seconds since which the request was sent at most."""
        conn = self.request.connection
        assert isinstance(conn, http1connection.HTTP1Connection)
        return intake.get_max_age(conn.stream)

    def _get_deadline(self) -> float:
        """Return the instant at which the caller stops waiting."""
        text = self.request.headers.get(DEADLINE_HEADER, '')
        seconds = DEFAULT_DEADLINE_SECONDS
        if text:
            seconds = float(text) / 1000.0
        if not 0.0 <= seconds < math.inf:
            raise ValueError(f'{DEADLINE_HEADER}: not a duration')
        return self._front.clock.now() + seconds

    def _refuse(self, status: int, reason: str, retry_after: float) -> None:
        self._close_if_stopping()
        self.set_status(status)
        if retry_after > 0.0:
            self.set_header('Retry-After', str(math.ceil(retry_after)))
        self.finish({'reason': reason})

    def _close_if_stopping(self) -> None:
        if self._front.entry.stopping:
            # The header makes the caller send its next request to an entry
            # that isn't stopping.
            self.set_header('Connection', 'close')


def make_application(front: Front) -> web.Application:
    """Return the HTTP application for callers."""
    return web.Application(
        [(r'.*', Queue, {'front': front})],
        log_function=lambda handler: None,
    )


def make_ready_application(front: Front) -> web.Application:
    """Return the HTTP application for the load balancer."""
    return web.Application(
        [(r'/v1/ready', Ready, {'front': front})],
        log_function=lambda handler: None,
    )
