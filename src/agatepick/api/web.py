"""What all HTTP handlers share: limits, tokens and problem documents.

Every refusal is an ``application/problem+json`` document whose ``run`` field
says what became of the work: ``not_run``, ``failed`` or ``pending``.
"""

import asyncio
import dataclasses
import hmac
import http
import logging
import math
import typing

import msgspec
import tornado.httpserver
import tornado.routing
import tornado.web

from agatepick.api import calls
from agatepick.conf import settings
from agatepick import exceptions
from agatepick.telemetry import logs
from agatepick.telemetry import metrics
from agatepick import types

PROBLEM = 'application/problem+json'
JSON = 'application/json'
HARD_LIMIT_FACTOR = 4
"""Past its own limit a request gets a clear refusal; past this many times
the limit the connection is cut, so a hostile peer can't fill the memory."""
BUSY_RETRY = 1.0

_log = logging.getLogger(__name__)


class Timelike(typing.Protocol):
    """Where the time line of this process is kept."""

    def lines(
        self, job: str = '', task: str = '', zone: str = ''
    ) -> list[bytes]:
        """Kept events that match, each a line of JSON, oldest first."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Front:
    """What handlers work with.

    :param name: name of this process, as the peer in errors.
    :param ready: whether a balancer may send requests here.
    """

    name: types.PeerName
    calls: calls.Calls
    clock: types.Clock
    limits: settings.Http
    tokens: settings.Tokens
    timeline: Timelike
    ready: typing.Callable[[], bool] = lambda: True
    measured: metrics.Metrics = dataclasses.field(
        default_factory=metrics.Metrics
    )


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
    """Ends a request with a problem document.

    :param headers: further headers of the answer.
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
            title=title_of(status),
            status=status,
            detail=detail,
            run=run,
            code=code,
            field=field,
            step='accept',
            retry_after=retry_after,
        )
        self.headers = headers or {}


def title_of(status: int) -> str:
    """The standard phrase of an HTTP status."""
    return http.HTTPStatus(status).phrase


@tornado.web.stream_request_body
class Handler(tornado.web.RequestHandler):
    """Base of all handlers: takes the body within limits, shows problems.

    The body is taken as a stream so that a request over a limit is answered
    with a problem document rather than by a cut connection.
    """

    run_if_refused = types.JobStatus.NOT_RUN.value
    """What a refusal of this handler says about the work."""

    def initialize(self, front: Front) -> None:
        """Take what handlers work with."""
        self.front = front
        self._body = bytearray()
        self._over = False
        self._idle: asyncio.TimerHandle | None = None

    @property
    def body(self) -> bytes:
        """The whole body of the request."""
        return bytes(self._body)

    def set_default_headers(self) -> None:
        self.set_header('Server', 'agatepick')

    def prepare(self) -> None:
        limits = self.front.limits
        taken = sum(
            len(name) + len(value) + 4
            for name, value in self.request.headers.get_all()
        )
        if taken > limits.max_header_bytes:
            self._close_after()
            raise self.refused(
                431,
                'headers_too_large',
                f'headers take {taken} bytes; allowed: '
                f'{limits.max_header_bytes}',
            )
        length = self.request.headers.get('Content-Length', '0')
        if length.isdigit() and int(length) > limits.max_body_bytes:
            self._close_after()
            raise self._too_large(int(length))
        self._idle = asyncio.get_running_loop().call_later(
            limits.idle_seconds, self._body_is_late
        )

    def data_received(self, chunk: bytes) -> None:
        if len(self._body) + len(chunk) > self.front.limits.max_body_bytes:
            self._over = True
            self._body.clear()
        if not self._over:
            self._body += chunk

    def take_body(self) -> bytes:
        """The body, once it is whole and within the limit."""
        if self._over:
            raise self._too_large(None)
        return self.body

    def on_finish(self) -> None:
        self._stop_idle()

    def on_connection_close(self) -> None:
        self._stop_idle()
        super().on_connection_close()

    def body_is_whole(self) -> None:
        """Stop the idle limit: the caller has sent all it will send."""
        self._stop_idle()

    def run_if_not_taken(self) -> str:
        """What to say of the work when a request isn't even looked at."""
        return self.run_if_refused

    def refused(self, status: int, code: str, detail: str) -> Refused:
        """A refusal that says what this handler's refusals say of work."""
        return Refused(status, code, detail, run=self.run_if_refused)

    def send_json(self, status: int, data: bytes, kind: str = JSON) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header('Content-Type', kind)
        self.finish(data)

    def send_problem(self, problem: Problem) -> None:
        """Answer with a problem document and its ``Retry-After``."""
        if problem.retry_after > 0:
            self.set_header('Retry-After', str(math.ceil(problem.retry_after)))
        shown = msgspec.structs.replace(
            problem, peer=problem.peer or self.front.name
        )
        self.send_json(problem.status, msgspec.json.encode(shown), PROBLEM)

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
                    title=title_of(503),
                    status=503,
                    detail=exc.message,
                    run=self.run_if_not_taken(),
                    code='busy',
                    step=exc.step,
                    retry_after=BUSY_RETRY,
                )
            )
            return
        self.send_problem(self._unforeseen(status_code, exc))

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

    def _unforeseen(self, status: int, exc: object) -> Problem:
        """A problem for what no handler foresaw.

        Whether a job of a request that broke half way ran isn't known, so
        it is pending: the caller asks again under the same key.
        """
        run = self.run_if_refused
        if status >= 500 and run:
            run = types.JobStatus.PENDING.value
        detail = title_of(status)
        step = peer = ''
        if isinstance(exc, exceptions.AgatepickError):
            detail, step, peer = exc.message, exc.step, exc.peer
        return Problem(
            title=title_of(status),
            status=status,
            detail=detail,
            run=run,
            code='error' if status >= 500 else 'bad_request',
            step=step,
            peer=peer,
        )

    def _too_large(self, length: int | None) -> Refused:
        found = 'the body is' if length is None else f'{length} bytes is'
        return self.refused(
            413,
            'body_too_large',
            f'{found} over the limit of '
            f'{self.front.limits.max_body_bytes} bytes',
        )

    def _close_after(self) -> None:
        self.set_header('Connection', 'close')

    def _stop_idle(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
            self._idle = None

    def _body_is_late(self) -> None:
        if self._finished:
            return
        self._close_after()
        self.write_error(
            408,
            exc_info=(
                Refused,
                Refused(
                    408,
                    'body_late',
                    f'the body was not whole after '
                    f'{self.front.limits.idle_seconds:g} s',
                    run=self.run_if_not_taken(),
                ),
                None,
            ),
        )


class NotFound(Handler):
    """Answers whatever no other handler takes."""

    run_if_refused = ''

    def prepare(self) -> None:
        raise self.refused(404, 'no_such_path', f'no {self.request.path}')


def bearer(req: tornado.httputil.HTTPServerRequest) -> str:
    """The bearer token of a request; empty if it has none."""
    scheme, _, token = req.headers.get('Authorization', '').partition(' ')
    return token.strip() if scheme.lower() == 'bearer' else ''


def same_token(one: str, other: str) -> bool:
    """Whether two tokens are equal, in time that tells nothing of them."""
    return hmac.compare_digest(one.encode(), other.encode())


def server(
    front: Front,
    routes: list[tornado.routing.URLSpec],
    tls: typing.Any = None,
) -> tornado.httpserver.HTTPServer:
    """An HTTP server over routes, with the limits of its settings.

    :param tls: an ``ssl.SSLContext``, or ``None`` for plain HTTP.
    """
    app = tornado.web.Application(
        typing.cast(typing.Any, routes),
        default_handler_class=NotFound,
        default_handler_args={'front': front},
        log_function=_log_request,
    )
    limits = front.limits
    return tornado.httpserver.HTTPServer(
        app,
        ssl_options=tls,
        max_body_size=limits.max_body_bytes * HARD_LIMIT_FACTOR,
        max_header_size=limits.max_header_bytes * HARD_LIMIT_FACTOR,
        idle_connection_timeout=limits.idle_seconds,
        chunk_size=64 << 10,
    )


def _log_request(handler: tornado.web.RequestHandler) -> None:
    if isinstance(handler, Handler):
        found = handler.front.measured
        found.count('http_requests', f'{handler.get_status() // 100}xx')
        found.seconds('http_seconds', handler.request.request_time())
        found.gauge('http_open', len(handler.front.calls))
    logs.event(
        _log,
        logging.DEBUG,
        'request.done',
        method=handler.request.method,
        path=handler.request.path,
        status=handler.get_status(),
        ms=round(handler.request.request_time() * 1000, 1),
    )
