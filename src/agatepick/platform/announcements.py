"""HTTP endpoints for the announcements of the worker on this machine."""

import typing

import msgspec
from tornado import web

from agatepick.net import decoding
from agatepick.platform import quantities
from agatepick.platform import worker
from agatepick.repeatable import workerapi
from agatepick.telemetry import logs
from agatepick import types

LOG = logs.logger(__name__)

MILLICORES = 1000.0


class _Capacity(msgspec.Struct, frozen=True):
    """The capacity of a worker; ``cpu`` is in thousandths of a core."""

    cpu: quantities.Amount
    mem_mb: quantities.Count = 0
    gpu: quantities.Count = 0


class _Heartbeat(msgspec.Struct, frozen=True):
    """The body of a worker's announcement.

    :param slots: not used; ``capacity`` states the worker's resources.
    :param sequence: increases with each announcement of one incarnation.
    :param clock_ms: the worker's clock, in milliseconds; 0 if not sent.
    :param born: instant at which the worker started, in milliseconds.
    """

    service: str
    address: str
    state: typing.Literal['ready', 'draining']
    capacity: _Capacity
    sequence: quantities.Whole
    labels: tuple[str, ...] = ()
    clock_ms: quantities.Whole = 0
    born: quantities.Whole = 0


class _Departure(msgspec.Struct, frozen=True):
    """The body of a worker's notice that it ends."""

    born: quantities.Whole = 0


class _Handler(web.RequestHandler):
    def initialize(self, feed: typing.Callable[[object], None]) -> None:
        self._feed = feed


class HeartbeatHandler(_Handler):
    """The endpoint for one announcement of the worker."""

    def post(self, name: str) -> None:
        """Pass the announcement on, or answer 400 with the faulty field."""
        try:
            heartbeat = decoding.decode(self.request.body, _Heartbeat)
        except decoding.Unreadable as exc:
            logs.warning(LOG, 'announcement_bad', worker=name, reason=exc)
            self.set_status(400)
            self.finish({'reason': str(exc)})
            return
        self._feed(_make_event(name, heartbeat))
        self.finish({})


class DeregisterHandler(_Handler):
    """The endpoint for the worker's notice that it ends."""

    def post(self, name: str) -> None:
        """Pass the notice on.

        Without ``born`` it applies to the present incarnation.
        """
        try:
            born = decoding.decode(self.request.body or b'{}', _Departure).born
        except decoding.Unreadable as exc:
            logs.warning(LOG, 'departure_bad', worker=name, reason=exc)
            born = 0
        self._feed(workerapi.WorkerLeft(worker.make_incarnation(name, born)))
        self.finish({})


def make_application(
    feed: typing.Callable[[object], None],
) -> web.Application:
    """Return the HTTP application for the worker."""
    handler_args = {'feed': feed}
    return web.Application(
        [
            (
                r'/v1/instances/([^/]+)/heartbeat',
                HeartbeatHandler,
                handler_args,
            ),
            (
                r'/v1/instances/([^/]+)/deregister',
                DeregisterHandler,
                handler_args,
            ),
        ],
        log_function=lambda handler: None,
    )


def _make_event(name: str, heartbeat: _Heartbeat) -> workerapi.WorkerAnnounced:
    capacity = heartbeat.capacity
    return workerapi.WorkerAnnounced(
        incarnation=worker.make_incarnation(name, heartbeat.born),
        born=heartbeat.born,
        sequence=heartbeat.sequence,
        pool=heartbeat.service,
        capacity=types.Needs(
            capacity.cpu / MILLICORES, capacity.mem_mb, capacity.gpu
        ),
        labels=heartbeat.labels,
        draining=heartbeat.state == 'draining',
        address=heartbeat.address,
        reading=heartbeat.clock_ms / worker.MILLISECONDS,
    )
