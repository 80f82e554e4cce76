"""Takes the announcements of the worker on this machine."""

import typing

import msgspec
from tornado import web

from agatepick.platform import worker
from agatepick.repeatable import workerapi
from agatepick.telemetry import logs
from agatepick import types

LOG = logs.logger(__name__)

MILLICORES = 1000.0


class _Capacity(msgspec.Struct, frozen=True):
    """Room of a worker; ``cpu`` is in thousandths of a core."""

    cpu: float
    mem_mb: int = 0
    gpu: int = 0


class _Beat(msgspec.Struct, frozen=True):
    """What a worker tells of itself.

    :param slots: says nothing of its room; ``capacity`` does.
    :param sequence: rises with each announcement of one life.
    :param born: millisecond of its start.
    """

    service: str
    address: str
    state: typing.Literal['ready', 'draining']
    capacity: _Capacity
    sequence: int
    labels: tuple[str, ...] = ()
    clock_ms: int = 0
    born: int = 0


class _Handler(web.RequestHandler):
    def initialize(
        self,
        feed: typing.Callable[[object], None],
        clock: worker.WorkerClock,
    ) -> None:
        self._feed = feed
        self._clock = clock


class Announced(_Handler):
    """One announcement of the worker."""

    def post(self, name: str) -> None:
        """Take it, or say which field is at fault."""
        try:
            beat = msgspec.json.decode(self.request.body, type=_Beat)
        except msgspec.MsgspecError as exc:
            logs.warning(LOG, 'announcement_bad', worker=name, reason=exc)
            self.set_status(400)
            self.finish({'reason': str(exc)})
            return
        if beat.clock_ms:
            self._clock.sample(beat.clock_ms, beat.born)
        self._feed(_seen(name, beat))
        self.finish({})


class Left(_Handler):
    """The worker's word that it ends."""

    def post(self, name: str) -> None:
        """Take it; without its life it is the present one's."""
        try:
            born = int(msgspec.json.decode(self.request.body or b'{}')['born'])
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            born = 0
        self._feed(workerapi.WorkerLeft(worker.life_of(name, born)))
        self.finish({})


def application(
    feed: typing.Callable[[object], None], clock: worker.WorkerClock
) -> web.Application:
    """The HTTP side towards the worker."""
    parts = {'feed': feed, 'clock': clock}
    return web.Application(
        [
            (r'/v1/instances/([^/]+)/heartbeat', Announced, parts),
            (r'/v1/instances/([^/]+)/deregister', Left, parts),
        ],
        log_function=lambda handler: None,
    )


def _seen(name: str, beat: _Beat) -> workerapi.WorkerSeen:
    capacity = beat.capacity
    return workerapi.WorkerSeen(
        life=worker.life_of(name, beat.born),
        born=beat.born,
        sequence=beat.sequence,
        pool=beat.service,
        capacity=types.Needs(
            capacity.cpu / MILLICORES, capacity.mem_mb, capacity.gpu
        ),
        labels=beat.labels,
        draining=beat.state == 'draining',
        address=beat.address,
    )
