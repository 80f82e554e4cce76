"""Common parts of HTTP handlers: limits, tokens and problem documents.

Every rejection is an ``application/problem+json`` document whose ``run`` field
is the status of the work: ``not_run``, ``failed`` or ``pending``.
"""

import asyncio
import dataclasses
import hmac
import http
import logging
import math
import typing

import msgspec
import tornado.httputil
import tornado.routing
import tornado.web

from agatepick.api import calls
from agatepick.conf import settings
from agatepick import exceptions
from agatepick import intake
from agatepick.telemetry import logs
from agatepick.telemetry import metrics
from agatepick import types

PROBLEM = 'application/problem+json'
JSON = 'application/json'
HARD_SIZE_LIMIT_FACTOR = 4
"""Headers or a body over the size limit get a problem document; over this
multiple of the limit the connection is closed, so that a hostile peer can't
exhaust the memory."""
BUSY_RETRY_SECONDS = 1.0

BODY_METHODS = frozenset({'POST', 'PUT', 'PATCH', 'DELETE'})
"""Methods whose bodies the handlers read."""

_log = logging.getLogger(__name__)


class TimelineReader(typing.Protocol):
    """Read access to the timeline of this process."""

    def lines(
        self, job: str = '', task: str = '', zone: str = ''
    ) -> list[bytes]:
        """Return the matching events as JSON lines, oldest first."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Front:
    """Dependencies of the HTTP handlers.

    :param name: name of this process, reported as the peer in errors.
    :param ready: returns whether a balancer may send requests here.
    :param measured: metrics of the process, updated after each request.
    :param clients: what the HTTP servers of the process share; ``None`` for
        a server that is alone.
    """

    name: types.PeerName
    calls: calls.Calls
    clock: types.Clock
    limits: settings.Http
    tokens: settings.Tokens
    timeline: TimelineReader
    ready: typing.Callable[[], bool] = lambda: True
    measured: metrics.Metrics = dataclasses.field(
        default_factory=metrics.Metrics
    )
    clients: intake.Intake | None = None


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """A problem document (RFC 9457) with agatepick's own members.

    :param run: ``not_run``, ``failed`` or ``pending``; empty where no work
        is concerned.
    """

    title: str
    status: int
    detail: str
    type: str = 'about:blank'
    run: str = ''
    code: str = ''
    field: str = ''
    job: str = ''
    step: str = ''
    peer: str = ''
    retry_after: float = 0.0
    version: int | None = None
    tasks: tuple[typing.Any, ...] = ()


class Refused(Exception):
    """Rejection of a request by a problem document.

    :param headers: additional response headers.
    """

    def __init__(
        self,
        status: int,
        code: str,
        detail: str,
        *,
        run: str = types.JobStatus.NOT_RUN.value,
        field: str = '',
        retry_after: float = 0.0,
        headers: dict[str, str] | None = None,
    ):
        super().__init__(detail)
        self.problem = Problem(
            title=get_status_phrase(status),
            status=status,
            detail=detail,
            run=run,
            code=code,
            field=field,
            step='accept',
            retry_after=retry_after,
        )
        self.headers = headers or {}


def get_status_phrase(status: int) -> str:
    """Return the standard reason phrase of an HTTP status."""
    return http.HTTPStatus(status).phrase


@tornado.web.stream_request_body
class Handler(tornado.web.RequestHandler):
    """Base class of all handlers: limits the body and reports problems.

    The body is streamed, so that a request over a limit is answered with a
    problem document instead of a closed connection.
    """

    run_if_rejected = types.JobStatus.NOT_RUN.value
    """Value of ``run`` when this handler rejects a request."""

    def initialize(self, front: Front) -> None:
        """Store the dependencies of the handler."""
        self.front = front
        self._body = bytearray()
        self._body_over_limit = False
        self._idle_timer: asyncio.TimerHandle | None = None

    @property
    def body(self) -> bytes:
        """Body of the request as received so far."""
        return bytes(self._body)

    def set_default_headers(self) -> None:
        self.set_header('Server', 'agatepick')

    def prepare(self) -> None:
        limits = self.front.limits
        header_bytes = sum(
            len(name) + len(value) + 4
            for name, value in self.request.headers.get_all()
        )
        if header_bytes > limits.max_header_bytes:
            self._close_after_response()
            raise self.make_rejection(
                431,
                'headers_too_large',
                f'headers take {header_bytes} bytes; allowed: '
                f'{limits.max_header_bytes}',
            )
        length = self.request.headers.get('Content-Length', '0')
        if length.isdigit() and int(length) > limits.max_body_bytes:
            self._close_after_response()
            raise self._make_body_rejection(int(length))
        self._idle_timer = asyncio.get_running_loop().call_later(
            limits.idle_seconds, self._refuse_late_body
        )

    def data_received(self, chunk: bytes) -> None:
        if len(self._body) + len(chunk) > self.front.limits.max_body_bytes:
            self._body_over_limit = True
            self._body.clear()
        if not self._body_over_limit:
            self._body += chunk

    def get_body(self) -> bytes:
        """Return the complete body.

        :raises Refused: if the body is over the limit.
        """
        if self._body_over_limit:
            raise self._make_body_rejection(None)
        return self.body

    def on_finish(self) -> None:
        self._cancel_idle_timer()

    def on_connection_close(self) -> None:
        self._cancel_idle_timer()
        super().on_connection_close()

    def mark_body_complete(self) -> None:
        """Cancel the idle timer, since the whole body has arrived."""
        self._cancel_idle_timer()

    def get_run_before_submission(self) -> str:
        """Return the value of ``run`` if a request fails before submission."""
        return self.run_if_rejected

    def make_rejection(self, status: int, code: str, detail: str) -> Refused:
        """Return a rejection with this handler's value of ``run``."""
        return Refused(status, code, detail, run=self.run_if_rejected)

    def send_json(
        self, status: int, data: bytes, content_type: str = JSON
    ) -> None:
        """Send a JSON response."""
        self.set_status(status)
        self.set_header('Content-Type', content_type)
        self.finish(data)

    def send_problem(self, problem: Problem) -> None:
        """Send a problem document, with ``Retry-After`` if it applies."""
        if problem.retry_after > 0:
            self.set_header('Retry-After', str(math.ceil(problem.retry_after)))
        problem_with_peer = msgspec.structs.replace(
            problem, peer=problem.peer or self.front.name
        )
        self.send_json(
            problem.status, msgspec.json.encode(problem_with_peer), PROBLEM
        )

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        exc = kwargs.get('exc_info', (None, None, None))[1]
        if isinstance(exc, Refused):
            for name, value in exc.headers.items():
                self.set_header(name, value)
            self.send_problem(exc.problem)
            return
        if isinstance(exc, exceptions.TooManyCalls):
            self.send_problem(
                Problem(
                    title=get_status_phrase(503),
                    status=503,
                    detail=exc.message,
                    run=self.get_run_before_submission(),
                    code='busy',
                    step=exc.step,
                    retry_after=BUSY_RETRY_SECONDS,
                )
            )
            return
        self.send_problem(self._make_unexpected_problem(status_code, exc))

    def log_exception(
        self,
        typ: typing.Any,
        value: typing.Any,
        tb: typing.Any,
    ) -> None:
        if isinstance(value, Refused | exceptions.TooManyCalls):
            return
        if isinstance(value, tornado.web.HTTPError):
            return
        logs.event(
            _log,
            logging.ERROR,
            'request.failed',
            path=self.request.path,
            error=f'{type(value).__name__}: {value}',
        )

    def _make_unexpected_problem(self, status: int, exc: object) -> Problem:
        """Return the problem document for an unexpected exception.

        After a server error it is unknown whether the job has run, so ``run``
        is ``pending`` and the caller retries with the same key.
        """
        run = self.run_if_rejected
        if status >= 500 and run:
            run = types.JobStatus.PENDING.value
        detail = get_status_phrase(status)
        step = peer = ''
        if isinstance(exc, exceptions.AgatepickError):
            detail, step, peer = exc.message, exc.step, exc.peer
        return Problem(
            title=get_status_phrase(status),
            status=status,
            detail=detail,
            run=run,
            code='error' if status >= 500 else 'bad_request',
            step=step,
            peer=peer,
        )

    def _make_body_rejection(self, length: int | None) -> Refused:
        subject = 'the body is' if length is None else f'{length} bytes is'
        return self.make_rejection(
            413,
            'body_too_large',
            f'{subject} over the limit of '
            f'{self.front.limits.max_body_bytes} bytes',
        )

    def _close_after_response(self) -> None:
        self.set_header('Connection', 'close')

    def _cancel_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _refuse_late_body(self) -> None:
        if self._finished:
            return
        self._close_after_response()
        self.write_error(
            408,
            exc_info=(
                Refused,
                Refused(
                    408,
                    'body_late',
                    f'the body was not whole after '
                    f'{self.front.limits.idle_seconds:g} s',
                    run=self.get_run_before_submission(),
                ),
                None,
            ),
        )


class NotFound(Handler):
    """Handler of paths that have no other handler."""

    run_if_rejected = ''

    def prepare(self) -> None:
        raise self.make_rejection(
            404, 'no_such_path', f'no {self.request.path}'
        )


def get_bearer_token(req: tornado.httputil.HTTPServerRequest) -> str:
    """Return the bearer token of a request, or an empty string."""
    scheme, _, token = req.headers.get('Authorization', '').partition(' ')
    return token.strip() if scheme.lower() == 'bearer' else ''


def tokens_equal(token: str, other_token: str) -> bool:
    """Return whether two tokens are equal, in constant time."""
    return hmac.compare_digest(token.encode(), other_token.encode())


def make_intake(
    limits: settings.Http, cfg: intake.IntakeSettings
) -> intake.Intake:
    """Return what the HTTP servers of a process share.

    :param limits: limits of each request.
    """
    return intake.Intake(
        intake.ProcessLimits.from_config(cfg),
        intake.RequestLimits(
            limits.max_header_bytes * HARD_SIZE_LIMIT_FACTOR,
            limits.max_body_bytes * HARD_SIZE_LIMIT_FACTOR,
            limits.idle_seconds,
            limits.idle_seconds,
        ),
    )


def server(
    front: Front,
    routes: list[tornado.routing.URLSpec],
    tls: typing.Any = None,
) -> intake.Server:
    """Return an HTTP server for the routes, with the configured limits.

    :param tls: an ``ssl.SSLContext``, or ``None`` for plain HTTP.
    """
    app = tornado.web.Application(
        typing.cast(typing.Any, routes),
        default_handler_class=NotFound,
        default_handler_args={'front': front},
        log_function=_log_request,
    )
    clients = front.clients
    if clients is None:
        clients = make_intake(front.limits, intake.IntakeSettings())
    address = intake.Address(
        'http',
        clients.limits.max_connections,
        BODY_METHODS,
        drop_fields=False,
    )
    return intake.Server(app, clients, address, tls)


def _log_request(handler: tornado.web.RequestHandler) -> None:
    if isinstance(handler, Handler):
        recorder = handler.front.measured
        recorder.count('http_requests', f'{handler.get_status() // 100}xx')
        recorder.observe_seconds(
            'http_seconds', handler.request.request_time()
        )
        recorder.set_gauge('http_open', len(handler.front.calls))
    logs.event(
        _log,
        logging.DEBUG,
        'request.done',
        method=handler.request.method,
        path=handler.request.path,
        status=handler.get_status(),
        ms=round(handler.request.request_time() * 1000, 1),
    )
