"""HTTP server of an agent, at which its upstream announces itself.

``PUT /v1/upstream`` announces the upstream or renews its announcement,
``DELETE /v1/upstream`` starts its departure.  The answer to an invalid
announcement names the field at fault.
"""

import ipaddress
import typing
import urllib.parse

import msgspec
import tornado.web

from agatepick.agentside import upstream
from agatepick.api import web
from agatepick.conf import settings
from agatepick import intake
from agatepick.net import decoding
from agatepick import types

MAX_REQUEST_BYTES = 64 * 1024
RENEWALS_PER_TERM = 3
"""Number of renewals in the term of an announcement.  With three, it stays in
force if two renewals in a row are lost."""

Feed = typing.Callable[[object], None]

_Name = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')
]
_Session = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class Capacity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources of the worker, shared by all its running tasks."""

    cpu: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    memory_mb: typing.Annotated[int, msgspec.Meta(ge=0, le=(1 << 32) - 1)] = 0
    accelerators: typing.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An upstream's announcement.

    :param session: identifier of the upstream's process, new at each start.
    :param url: address for tasks; loopback unless the settings allow others.
    :param term_seconds: time after which the announcement expires unless it
        is renewed.
    """

    session: _Session
    kinds: typing.Annotated[
        tuple[_Name, ...], msgspec.Meta(min_length=1, max_length=1000)
    ]
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    url: typing.Annotated[str, msgspec.Meta(max_length=1024)]
    term_seconds: typing.Annotated[float, msgspec.Meta(gt=0, le=3600)] = 5.0
    capacity: Capacity = Capacity()


class Departure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Notice that an upstream takes no new task and ends its running ones."""

    session: _Session


class Accepted(msgspec.Struct, frozen=True):
    """Answer to an announcement.

    :param term_seconds: granted term, at most the requested one.
    :param renew_seconds: interval at which to renew the announcement.
    """

    term_seconds: float
    renew_seconds: float


def build_server(
    feed: Feed,
    cfg: settings.Upstreams,
    clients: intake.Intake | None = None,
) -> intake.Server:
    """Return the HTTP server for the upstream of an agent.

    :param feed: callback that passes an event to the agent's reducer.
    :param clients: what the HTTP servers of the process share.
    """
    if clients is None:
        clients = intake.Intake.from_config()
    handler_args = {'feed': feed, 'cfg': cfg}
    app = tornado.web.Application(
        [('/v1/upstream', _UpstreamHandler, handler_args)],
        default_handler_class=_NotFound,
        default_handler_args=handler_args,
        log_function=_skip_request_log,
    )
    address = intake.Address(
        'upstream',
        clients.limits.max_small_connections,
        web.BODY_METHODS,
        drop_fields=False,
        max_body_bytes=MAX_REQUEST_BYTES,
        max_header_bytes=MAX_REQUEST_BYTES,
    )
    return intake.Server(app, clients, address)


class _Faulty(Exception):
    """A request that is refused.

    :param field: name of the invalid field; empty for the body as a whole.
    """

    def __init__(self, status: int, detail: str, field: str = ''):
        super().__init__(detail)
        self.status = status
        self.field = field


class _Handler(tornado.web.RequestHandler):
    def initialize(self, feed: Feed, cfg: settings.Upstreams) -> None:
        self.feed = feed
        self.cfg = cfg

    def set_default_headers(self) -> None:
        self.set_header('Server', 'agatepick')

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        exc = kwargs.get('exc_info', (None, None, None))[1]
        detail, field = web.get_status_phrase(status_code), ''
        if isinstance(exc, _Faulty):
            status_code, detail, field = exc.status, str(exc), exc.field
        problem = web.Problem(
            title=web.get_status_phrase(status_code),
            status=status_code,
            detail=detail,
            code='bad_request' if status_code < 500 else 'error',
            field=field,
            step='announce',
        )
        self.set_status(status_code)
        self.set_header('Content-Type', web.PROBLEM)
        self.finish(msgspec.json.encode(problem))

    def log_exception(
        self, typ: typing.Any, value: typing.Any, tb: typing.Any
    ) -> None:
        if not isinstance(value, _Faulty):
            super().log_exception(typ, value, tb)


class _UpstreamHandler(_Handler):
    def put(self) -> None:
        announcement = _decode(self.request.body, Announcement)
        _check_url(announcement.url, self.cfg.plain_beyond_loopback)
        term = min(announcement.term_seconds, self.cfg.lease_seconds)
        self.feed(
            upstream.Announced(
                announcement.session,
                announcement.kinds,
                announcement.slots,
                types.Needs(
                    announcement.capacity.cpu,
                    announcement.capacity.memory_mb,
                    announcement.capacity.accelerators,
                ),
                announcement.url.rstrip('/'),
                term,
            )
        )
        answer = Accepted(term, term / RENEWALS_PER_TERM)
        self.set_header('Content-Type', web.JSON)
        self.finish(msgspec.json.encode(answer))

    def delete(self) -> None:
        departure = _decode(self.request.body, Departure)
        self.feed(upstream.UpstreamLeft(departure.session))
        self.set_status(204)
        self.finish()


class _NotFound(_Handler):
    def prepare(self) -> None:
        raise _Faulty(404, f'no {self.request.path}')


_T = typing.TypeVar('_T', bound=msgspec.Struct)


def _decode(body: bytes, schema: type[_T]) -> _T:
    try:
        return msgspec.json.decode(body, type=schema)
    except msgspec.ValidationError as exc:
        raise _Faulty(400, str(exc), _parse_field(str(exc))) from exc
    except decoding.ERRORS as exc:
        raise _Faulty(400, f'the body is not JSON: {exc}') from exc


def _parse_field(fault: str) -> str:
    """Return the name of the invalid field from the text of msgspec's error.

    It has the form `slots` or `kinds[0]`; empty for the body as a whole.
    """
    _, has_path, path = fault.rpartition('`$')
    if has_path:
        return path.rstrip('`').lstrip('.')
    # The text names the missing or unknown key of the top-level object.
    parts = fault.split('`')
    return parts[1] if len(parts) > 2 else ''


def _check_url(url: str, allow_other_hosts: bool) -> None:
    """Check that an upstream's URL is on loopback or allowed by the settings.

    Otherwise any process that reaches this port could make the agent send
    tasks, which are callers' data, to any address.
    """
    try:
        parts = urllib.parse.urlsplit(url)
        address = ipaddress.ip_address(parts.hostname or '')
        is_plain_http = parts.scheme == 'http' and bool(parts.port)
    except ValueError as exc:
        raise _Faulty(400, _URL_ALLOWED, 'url') from exc
    if not is_plain_http or parts.query or parts.fragment or parts.username:
        raise _Faulty(400, _URL_ALLOWED, 'url')
    if not address.is_loopback and not allow_other_hosts:
        raise _Faulty(
            400,
            f'{address} is not a loopback address; allowed: one, or '
            f'upstream.plain_beyond_loopback = true in the settings',
            'url',
        )


_URL_ALLOWED = (
    'allowed: http with an IP number and a port, such as '
    '"http://127.0.0.1:9090"'
)


def _skip_request_log(handler: tornado.web.RequestHandler) -> None:
    """Log nothing: renewals arrive every second or two."""
