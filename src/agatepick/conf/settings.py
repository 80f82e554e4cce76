"""Settings of each program, as frozen data classes with their defaults.

:mod:`agatepick.conf.settings_files` reads them from TOML and validates them.
Durations are in seconds, with keys that end in ``_seconds``; sizes are in
bytes or MiB, with keys that end in ``_bytes`` or ``_mb``.
"""

import dataclasses
import typing

import msgspec

from agatepick import intake

Name = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$',
        description='1 to 63 letters, digits, ".", "_" or "-"',
    ),
]
_OCTET = r'(25[0-5]|2[0-4]\d|1?\d?\d)'
_PORT = r'(6553[0-5]|655[0-2]\d|65[0-4]\d{2}|6[0-4]\d{3}|[1-5]?\d{1,4})'
Address = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=rf'^({_OCTET}(\.{_OCTET}){{3}}|\[[0-9a-fA-F:]+\]):{_PORT}$',
        description='an IP number and a port, such as "127.0.0.1:7070"',
    ),
]
Url = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^https?://[^/\s]+$',
        description='a URL without a path, such as "http://127.0.0.1:9090"',
    ),
]
Seconds = typing.Annotated[
    float,
    msgspec.Meta(
        gt=0, le=86400, description='seconds as a number, over 0 to 86400'
    ),
]
Count = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1, le=1_000_000, description='a whole number, 1 to 1000000'
    ),
]
Size = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1024,
        le=1 << 30,
        description='bytes as a whole number, 1024 to 1073741824',
    ),
]
Token = typing.Annotated[
    str,
    msgspec.Meta(
        min_length=16,
        max_length=512,
        description='text of 16 to 512 characters',
        extra={'secret': True},
    ),
]
Level = typing.Annotated[
    typing.Literal['debug', 'info', 'warning', 'error'],
    msgspec.Meta(description='"debug", "info", "warning" or "error"'),
]


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """Section with the identity of an entry's or agent's process.

    :param name: name that no other process of the cluster has.
    :param zone: availability zone that the process runs in.
    :param rack: rack that an agent's machine is in; empty if unknown.
    """

    name: Name
    zone: Name
    rack: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Http:
    """Section for an entry's HTTP server: address and limits of requests.

    :param max_tasks: largest number of tasks in one job.
    :param max_open: limit of requests that await their reply at once.
    :param idle_seconds: time after which a connection without a request is
        closed, and a request whose body hasn't arrived is refused.
    :param max_hold_seconds: longest time that a request waits for the answer
        to its job.
    :param plain_beyond_loopback: allows to listen on addresses other than
        loopback without TLS.
    """

    listen: Address
    max_body_bytes: Size = 4 << 20
    max_header_bytes: Size = 16 << 10
    max_tasks: Count = 1000
    max_open: Count = 20_000
    idle_seconds: Seconds = 60.0
    max_hold_seconds: Seconds = 30.0
    plain_beyond_loopback: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """Section for the connections between agatepick processes.

    :param advertise: address that peers connect to; ``listen`` if empty.
    """

    listen: Address
    advertise: Address = ''
    plain_beyond_loopback: bool = False

    @property
    def address(self) -> str:
        """Address that peers connect to."""
        return self.advertise or self.listen


@dataclasses.dataclass(frozen=True, slots=True)
class Store:
    """Section for the platform's table service.

    :param timeout_seconds: time that an entry waits for the service's answer
        to a request.
    """

    url: Url
    timeout_seconds: Seconds = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Section of durations that all processes of a cluster must share.

    :param fence_seconds: minimum time from the write of a change until it is
        in force; also the duration of a read lease, less the margin.
    :param margin_seconds: tolerated clock offset between peers.
    :param heartbeat_seconds: interval between heartbeats to a peer.
    :param retention_seconds: how long a job and its answer are kept.
    :param skew_seconds: how far the timestamp of a key may lie in the future
        of the process clock.
    :param stop_seconds: longest time that a stopping process waits for its
        work to end.
    """

    fence_seconds: Seconds = 3.0
    margin_seconds: Seconds = 0.25
    heartbeat_seconds: Seconds = 1.0
    retention_seconds: Seconds = 600.0
    skew_seconds: Seconds = 2.0
    stop_seconds: Seconds = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """Section of certificates and keys, as paths relative to the file.

    :param enabled: ``false`` runs without encryption, on loopback addresses
        unless ``plain_beyond_loopback`` is set.
    :param reload_seconds: interval between checks whether a certificate or
        key has changed.
    """

    enabled: bool = True
    http_certificate: str = ''
    http_key: str = ''
    peer_certificate: str = ''
    peer_key: str = ''
    peer_authority: str = ''
    reload_seconds: Seconds = 30.0


TLS_FILES = (
    'http_certificate',
    'http_key',
    'peer_certificate',
    'peer_key',
    'peer_authority',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Tokens:
    """Section of the bearer tokens of the operators and of each team."""

    operator: Token
    teams: dict[Name, Token] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Metrics:
    """Section for the ``/metrics`` server; an empty address disables it."""

    listen: Address = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """Section for the log, and for the timeline kept in memory.

    :param timeline_events: number of latest events that the timeline keeps.
    """

    level: Level = 'info'
    timeline_events: Count = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of ``agatepick entry``."""

    process: Process
    http: Http
    peers: Peers
    store: Store
    tokens: Tokens
    tls: Tls = Tls()
    timing: Timing = Timing()
    metrics: Metrics = Metrics()
    log: Log = Log()
    limits: intake.IntakeSettings = intake.IntakeSettings()


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Section of the entries that an agent connects to first.

    :param seeds: peer addresses of these entries, from which the agent learns
        the other entries.
    """

    seeds: tuple[Address, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Upstreams:
    """Section for the server on which an upstream announces itself.

    :param lease_seconds: longest term of an announcement, which the upstream
        has to renew before the term ends.
    """

    listen: Address
    lease_seconds: Seconds = 5.0
    plain_beyond_loopback: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Operators:
    """Section for the HTTP server of an agent's timeline.

    An empty address disables the server.
    """

    listen: Address = ''
    token: Token = ''
    plain_beyond_loopback: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of ``agatepick agent``."""

    process: Process
    entries: Entries
    upstream: Upstreams
    operators: Operators = Operators()
    tls: Tls = Tls()
    timing: Timing = Timing()
    metrics: Metrics = Metrics()
    log: Log = Log()
    limits: intake.IntakeSettings = intake.IntakeSettings()


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Section for the stand-in table service.

    :param write_seconds: delay until a request, read or write, takes effect.
    """

    listen: Address
    reads_per_second: Count = 2000
    writes_per_second: Count = 400
    write_seconds: Seconds = 0.004


@dataclasses.dataclass(frozen=True, slots=True)
class TableSettings:
    """Settings of ``agatepick standin table``."""

    table: Table
    log: Log = Log()


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """Section for a stand-in worker with its upstream.

    :param agent: URL of the agent that the upstream announces itself to.
    :param task_seconds: run time of a task whose payload doesn't set one.
    """

    name: Name
    listen: Address
    agent: Url
    kinds: tuple[Name, ...]
    slots: Count = 8
    cpu: float = 8.0
    memory_mb: int = 16384
    accelerators: int = 0
    task_seconds: Seconds = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Settings of ``agatepick standin upstream``."""

    worker: Worker
    log: Log = Log()


Settings = EntrySettings | AgentSettings | TableSettings | UpstreamSettings
KINDS: dict[str, type[Settings]] = {
    'entry': EntrySettings,
    'agent': AgentSettings,
    'table': TableSettings,
    'upstream': UpstreamSettings,
}
