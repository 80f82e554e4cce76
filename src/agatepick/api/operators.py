"""HTTP API for operators: configuration, presets, zones, status, timeline.

Every request except the health check needs the operators' bearer token.  A
change may name the version that it is based on (``If-Match`` with the value of
an ``ETag``).  If a different version has been accepted since, the change is
rejected as a conflict that names this version, and nothing is written.
"""

import re
import typing

import msgspec
import tornado.routing

from agatepick.api import calls
from agatepick.api import web
from agatepick.config import cluster
from agatepick import exceptions
from agatepick.net import decoding

JSON_LINES = 'application/jsonl'
HTTP_STATUS_BY_VERDICT = {
    'accepted': 200,
    'conflict': 409,
    'invalid': 422,
    'unavailable': 503,
    'unknown': 504,
}
UNAVAILABLE_RETRY_SECONDS = 1.0
_ETAG = re.compile(r'^(?:W/)?"(\d{1,18})"$')
_NAME = r'([A-Za-z0-9][A-Za-z0-9._-]{0,62})'


class ZoneBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``PUT /v1/zones/{name}``."""

    state: typing.Literal['in', 'out']


class ConfigReply(msgspec.Struct, frozen=True):
    """The configuration: what is in force, and what was accepted last.

    They differ between the acceptance of a change and the instant at which
    it comes into force everywhere.
    """

    version: int
    in_force: cluster.ClusterConfig
    accepted: cluster.ClusterConfig


class PresetsReply(msgspec.Struct, frozen=True):
    """The presets, and which one is in force."""

    version: int
    in_force: str
    accepted: str
    known: tuple[str, ...]


class ZoneReply(msgspec.Struct, frozen=True):
    """An availability zone, by the configuration in force and accepted."""

    name: str
    in_force: str
    accepted: str
    since: float = 0.0


class ZonesReply(msgspec.Struct, frozen=True):
    """The availability zones that are known."""

    version: int
    zones: tuple[ZoneReply, ...]


class VerdictReply(msgspec.Struct, frozen=True):
    """How a change ended that is not a problem.

    :param accepted_at: when this entry knew of its acceptance.
    """

    verdict: str
    version: int
    in_force_at: float
    accepted_at: float


class Health(msgspec.Struct, frozen=True):
    """Whether a balancer may send requests here."""

    ready: bool


class ConfigurationView(typing.Protocol):
    """Configuration part of an entry's status."""

    @property
    def in_force(self) -> cluster.ClusterConfig:
        """Configuration in force now."""
        ...

    @property
    def accepted(self) -> cluster.ClusterConfig:
        """Configuration accepted last."""
        ...


class StatusView(typing.Protocol):
    """Part of an entry's status that the handlers use."""

    @property
    def configuration(self) -> ConfigurationView:
        """State of the configuration."""
        ...

    @property
    def zones(self) -> tuple[str, ...]:
        """Zones in which agents are connected."""
        ...


def routes(front: web.Front) -> list[tornado.routing.URLSpec]:
    """Return the routes of the operators' API."""
    args = {'front': front}
    return [
        tornado.routing.URLSpec(pattern, handler, args)
        for pattern, handler in (
            (r'/v1/config', Config),
            (r'/v1/presets', Presets),
            (rf'/v1/presets/{_NAME}', Preset),
            (r'/v1/zones', Zones),
            (rf'/v1/zones/{_NAME}', Zone),
            (r'/v1/status', Status),
        )
    ] + process_routes(front)


def process_routes(front: web.Front) -> list[tornado.routing.URLSpec]:
    """Return the routes of every process: timeline and health check."""
    args = {'front': front}
    return [
        tornado.routing.URLSpec(r'/v1/timeline', Timeline, args),
        tornado.routing.URLSpec(r'/healthz', Healthz, args),
    ]


class OperatorHandler(web.Handler):
    """Base class of the operators' handlers; verifies the token."""

    run_if_rejected = ''

    def prepare(self) -> None:
        super().prepare()
        if not web.tokens_equal(
            web.get_bearer_token(self.request), self.front.tokens.operator
        ):
            raise web.Refused(
                401,
                'bad_token',
                "the operators' bearer token is missing or wrong",
                run='',
                headers={'WWW-Authenticate': 'Bearer'},
            )

    async def fetch_entry_status(self) -> StatusView:
        """Return the status of the entry."""
        return typing.cast(
            StatusView, await self.front.calls.call(calls.StatusAsked)
        )

    async def propose_change(self, change: cluster.Change) -> None:
        """Propose a change and send its verdict."""
        based_on = self._parse_if_match()
        proposed = typing.cast(
            cluster.ProposalOutcome,
            await self.front.calls.call(
                lambda number: calls.ChangeProposed(number, change, based_on)
            ),
        )
        self._set_etag(proposed.version)
        status = HTTP_STATUS_BY_VERDICT[proposed.verdict]
        if status == 200:
            reply = VerdictReply(
                proposed.verdict,
                proposed.version,
                proposed.in_force_at,
                self.front.clock.now(),
            )
            self.send_json(200, msgspec.json.encode(reply))
            return
        if proposed.verdict == 'conflict' and based_on is not None:
            status = 412
        self.send_problem(_make_problem(proposed, status))

    def send_with_etag(self, reply: msgspec.Struct, version: int) -> None:
        """Send JSON with the configuration version as ``ETag``."""
        self._set_etag(version)
        self.send_json(200, msgspec.json.encode(reply))

    def _set_etag(self, version: int) -> None:
        self.set_header('ETag', f'"{version}"')

    def _parse_if_match(self) -> int | None:
        header = self.request.headers.get('If-Match', '*').strip()
        if header == '*':
            return None
        match = _ETAG.match(header)
        if match is None:
            raise self.make_rejection(
                400, 'bad_if_match', f'If-Match: found {header[:60]!r}'
            )
        return int(match[1])


class Config(OperatorHandler):
    """Resource ``/v1/config``."""

    async def get(self) -> None:
        """Return the whole configuration."""
        view = (await self.fetch_entry_status()).configuration
        version = view.accepted.version
        self.send_with_etag(
            ConfigReply(version, view.in_force, view.accepted), version
        )

    async def post(self) -> None:
        """Propose any change, given as ``{"kind": ..., ...}``."""
        self.mark_body_complete()
        try:
            change = cluster.change_from_json(self.get_body())
        except exceptions.BadChange as exc:
            raise self.make_rejection(422, 'bad_change', exc.message) from exc
        if isinstance(change, cluster.EntryListed):
            raise self.make_rejection(
                422, 'bad_change', 'entries list themselves when they start'
            )
        await self.propose_change(change)


class Presets(OperatorHandler):
    """Resource ``/v1/presets``."""

    async def get(self) -> None:
        """Return the presets and the name of the one in force."""
        view = (await self.fetch_entry_status()).configuration
        reply = PresetsReply(
            view.accepted.version,
            view.in_force.preset,
            view.accepted.preset,
            cluster.PRESETS,
        )
        self.send_with_etag(reply, reply.version)


class Preset(OperatorHandler):
    """Resource ``/v1/presets/{name}``."""

    async def put(self, name: str) -> None:
        """Switch to this preset."""
        self.mark_body_complete()
        if name not in cluster.PRESETS:
            raise self.make_rejection(
                404,
                'unknown_preset',
                f'found {name!r}; allowed: {", ".join(cluster.PRESETS)}',
            )
        await self.propose_change(cluster.PresetUse(name))


class Zones(OperatorHandler):
    """Resource ``/v1/zones``."""

    async def get(self) -> None:
        """Return the zones of agents and of the configuration."""
        status = await self.fetch_entry_status()
        view = status.configuration
        configured_names = {zone.name for zone in view.accepted.zones}
        zones = tuple(
            _make_zone_reply(name, view)
            for name in sorted(configured_names.union(status.zones))
        )
        reply = ZonesReply(view.accepted.version, zones)
        self.send_with_etag(reply, reply.version)


class Zone(OperatorHandler):
    """Resource ``/v1/zones/{name}``."""

    async def put(self, name: str) -> None:
        """Take the zone out of service or return it to service."""
        self.mark_body_complete()
        try:
            body = decoding.decode(self.get_body(), ZoneBody)
        except decoding.Unreadable as exc:
            raise self.make_rejection(422, 'bad_field', str(exc)) from exc
        if body.state == 'out':
            await self.propose_change(cluster.ZoneOut(name))
        else:
            await self.propose_change(cluster.ZoneIn(name))


class Status(OperatorHandler):
    """Resource ``/v1/status``."""

    async def get(self) -> None:
        """Return the state of this entry."""
        self.send_json(
            200, msgspec.json.encode(await self.fetch_entry_status())
        )


class Timeline(OperatorHandler):
    """Resource ``/v1/timeline``."""

    async def get(self) -> None:
        """Return the events of this process as JSON lines."""
        names = ('job', 'task', 'zone')
        filters = {name: self.get_query_argument(name, '') for name in names}
        lines = self.front.timeline.lines(**filters)
        data = b''.join(line + b'\n' for line in lines)
        self.send_json(200, data, JSON_LINES)


class Healthz(web.Handler):
    """Resource ``/healthz``."""

    run_if_rejected = ''

    async def get(self) -> None:
        """Return 200 if a balancer may send requests here, else 503."""
        ready = self.front.ready()
        self.send_json(
            200 if ready else 503, msgspec.json.encode(Health(ready))
        )


def _make_zone_reply(name: str, view: ConfigurationView) -> ZoneReply:
    zone = view.accepted.zone(name)
    return ZoneReply(
        name,
        _format_state(view.in_force.zone_out(name)),
        _format_state(view.accepted.zone_out(name)),
        0.0 if zone is None else zone.since,
    )


def _format_state(out: bool) -> str:
    return 'out' if out else 'in'


_VERDICT_DETAILS = {
    'conflict': 'another change won; nothing of this one was written',
    'invalid': 'the change is not valid; nothing was written',
    'unavailable': 'the table service did not take the change',
    'unknown': (
        "the table service's answer was lost: the change may or may not "
        'come into force; read the configuration again'
    ),
}


def _make_problem(
    proposed: cluster.ProposalOutcome, status: int
) -> web.Problem:
    detail = _VERDICT_DETAILS[proposed.verdict]
    if proposed.reason:
        detail = f'{detail}: {proposed.reason}'
    retry = UNAVAILABLE_RETRY_SECONDS if status == 503 else 0.0
    return web.Problem(
        title=web.get_status_phrase(status),
        status=status,
        detail=detail,
        code=proposed.verdict,
        step='propose',
        retry_after=retry,
        version=proposed.version,
    )
