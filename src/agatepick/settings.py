"""Settings of each program, read from TOML and checked whole at start.

A file becomes one frozen data class.  Every fault in it is found in one go:
an unknown key, a missing key, a wrong type or unit, a value out of range and
pairs of values that can't stand together.  Each fault names the file, the
key, what was found and what is allowed.

Durations are seconds and their keys end in ``_seconds``; sizes are bytes or
MiB and end in ``_bytes`` or ``_mb``.
"""

import dataclasses
import difflib
import ipaddress
import pathlib
import tomllib
import typing

import msgspec

from agatepick import exceptions

_T = typing.TypeVar('_T')

Name = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$',
        description='1 to 63 letters, digits, ".", "_" or "-"',
    ),
]
Address = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$',
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
Fraction = typing.Annotated[
    float, msgspec.Meta(ge=0, le=1, description='a number from 0 to 1')
]


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """Who this process is; names are unique in the cluster."""

    name: Name
    zone: Name
    rack: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Http:
    """The HTTP side: where it listens and what a request may take.

    :param plain_beyond_loopback: allows a bind that others can reach
        although TLS is off.
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
    """Connections between our own processes.

    :param advertise: address that others dial; ``listen`` if empty.
    """

    listen: Address
    advertise: Address | typing.Literal[''] = ''
    plain_beyond_loopback: bool = False

    @property
    def address(self) -> str:
        """Address that others dial."""
        return self.advertise or self.listen


@dataclasses.dataclass(frozen=True, slots=True)
class Store:
    """The platform's table service."""

    url: Url
    timeout_seconds: Seconds = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Instants that all processes of a cluster must share.

    :param fence_seconds: least time from a change's write to its being in
        force; also the life of a read lease, less the margin.
    :param margin_seconds: clock offset between peers that is put up with.
    :param retention_seconds: how long a job and its answer are kept.
    :param skew_seconds: how far ahead of our clock a key may be stamped.
    """

    fence_seconds: Seconds = 3.0
    margin_seconds: Seconds = 0.25
    heartbeat_seconds: Seconds = 1.0
    retention_seconds: Seconds = 600.0
    skew_seconds: Seconds = 2.0
    stop_seconds: Seconds = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """Certificates and keys; paths are relative to the settings file.

    :param enabled: ``false`` runs in the clear, then bound to loopback.
    :param reload_seconds: how often changed files are looked for.
    """

    enabled: bool = True
    http_certificate: str = ''
    http_key: str = ''
    peer_certificate: str = ''
    peer_key: str = ''
    peer_authority: str = ''
    reload_seconds: Seconds = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tokens:
    """Bearer tokens: the operators' and each team's own."""

    operator: Token
    teams: dict[Name, Token] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Metrics:
    """Where statsd metrics go, over UDP; empty sends none."""

    statsd: Address | typing.Literal[''] = ''
    prefix: str = 'agatepick'


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """Logs and the time line kept in memory."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Entries that an agent dials first; it learns the others from them."""

    seeds: tuple[Address, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Upstreams:
    """HTTP side on which the upstream announces itself to its agent."""

    listen: Address
    lease_seconds: Seconds = 5.0
    plain_beyond_loopback: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of ``agatepick agent``."""

    process: Process
    entries: Entries
    upstream: Upstreams
    tls: Tls = Tls()
    timing: Timing = Timing()
    metrics: Metrics = Metrics()
    log: Log = Log()


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Limits and behaviour of the stand-in table service."""

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
    """A stand-in worker with its upstream.

    :param agent: where the upstream announces itself.
    :param fail_share: share of tasks that fail.
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
    fail_share: Fraction = 0.0


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
_MARKS = {'http': 'entry', 'entries': 'agent', 'table': 'table'}


def load(path: str | pathlib.Path, kind: type[_T]) -> _T:
    """The settings in a file.

    :param kind: one of the settings classes of this module.
    :raises agatepick.exceptions.BadSettings: listing every fault, one a
        line.
    """
    return parse(_read(path), kind, str(path))


def load_any(path: str | pathlib.Path) -> Settings:
    """The settings in a file of whichever program; told by its sections.

    :raises agatepick.exceptions.BadSettings: listing every fault.
    """
    text = _read(path)
    data = _toml(text, str(path))
    name = next((_MARKS[key] for key in data if key in _MARKS), 'upstream')
    if name == 'upstream' and 'worker' not in data:
        marks = ', '.join(f'[{one}]' for one in (*_MARKS, 'worker'))
        raise exceptions.BadSettings(
            f'{path}: no section tells the program; '
            f'found {_shown_keys(data)}; allowed: one of {marks}',
            step='settings',
        )
    return parse(text, KINDS[name], str(path))


def parse(text: str, kind: type[_T], file: str = '<text>') -> _T:
    """The settings in TOML text; ``file`` names it in faults."""
    data = _toml(text, file)
    faults: list[str] = []
    value = _section(data, kind, '', faults)
    faults += pair_faults(value)
    if faults:
        lines = '\n'.join(f'{file}: {fault}' for fault in faults)
        raise exceptions.BadSettings(lines, step='settings')
    return typing.cast(_T, value)


def is_loopback(address: str) -> bool:
    """Whether an ``ip:port`` can be reached from this machine only."""
    host = address.rpartition(':')[0].strip('[]')
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def _read(path: str | pathlib.Path) -> str:
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise exceptions.BadSettings(
            f'{path}: cannot be read: {exc}', step='settings'
        ) from exc


def _toml(text: str, file: str) -> dict[str, typing.Any]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise exceptions.BadSettings(
            f'{file}: not TOML: {exc}', step='settings'
        ) from exc


def _section(
    data: dict[str, typing.Any], kind: type, path: str, faults: list[str]
) -> typing.Any:
    """Build ``kind`` from what is sound; faulty parts are noted, left out.

    A faulty or missing part becomes ``None``, so that the pairs that don't
    need it can still be checked.
    """
    fields = {field.name: field for field in dataclasses.fields(kind)}
    hints = typing.get_type_hints(kind, include_extras=True)
    for key in data.keys() - fields.keys():
        faults.append(_unknown(_join(path, key), key, list(fields)))
    values = {}
    for name, field in fields.items():
        where = _join(path, name)
        if name in data:
            values[name] = _value(data[name], hints[name], where, faults)
        elif _is_required(field):
            faults.append(f'{where}: found nothing; {_allowed(hints[name])}')
            values[name] = None
    return kind(**values)


def _value(
    found: typing.Any, hint: typing.Any, path: str, faults: list[str]
) -> typing.Any:
    if dataclasses.is_dataclass(hint):
        if isinstance(found, dict):
            return _section(found, typing.cast(type, hint), path, faults)
        faults.append(f'{path}: found {_shown(found, hint)}; allowed: a table')
        return None
    if typing.get_origin(hint) is tuple and isinstance(found, list):
        item = typing.get_args(hint)[0]
        return tuple(
            _value(one, item, f'{path}[{index}]', faults)
            for index, one in enumerate(found)
        )
    if typing.get_origin(hint) is dict and isinstance(found, dict):
        key_hint, item = typing.get_args(hint)
        return {
            _value(key, key_hint, path, faults): _value(
                one, item, _join(path, key), faults
            )
            for key, one in found.items()
        }
    try:
        return msgspec.convert(found, hint)
    except msgspec.ValidationError:
        faults.append(f'{path}: found {_shown(found, hint)}; {_allowed(hint)}')
        return None


def pair_faults(cfg: object) -> list[str]:
    """Faults of values that are sound alone but not together."""
    faults = []
    tls = getattr(cfg, 'tls', None)
    for name in ('http', 'peers', 'upstream'):
        section = getattr(cfg, name, None)
        if section is not None and section.listen is not None:
            faults += _bind_faults(name, section, tls)
    if tls is not None:
        faults += _tls_faults(cfg, tls)
    timing = getattr(cfg, 'timing', None)
    if timing is not None:
        faults += _timing_faults(timing)
    if isinstance(cfg, EntrySettings) and cfg.tokens is not None:
        faults += _token_faults(cfg.tokens)
    if isinstance(cfg, AgentSettings) and cfg.entries is not None:
        if cfg.entries.seeds == ():
            faults.append('entries.seeds: found []; allowed: one or more')
    return faults


def _bind_faults(name: str, section: typing.Any, tls: Tls | None) -> list[str]:
    # An upstream's announcements come from its own machine, in the clear.
    clear = name == 'upstream' or (tls is not None and not tls.enabled)
    if (
        clear
        and not section.plain_beyond_loopback
        and not is_loopback(section.listen)
    ):
        return [
            f'{name}.listen: found {section.listen!r} without TLS; allowed: '
            f'a loopback address, or TLS, or '
            f'{name}.plain_beyond_loopback = true'
        ]
    return []


def _tls_faults(cfg: object, tls: Tls) -> list[str]:
    if not tls.enabled:
        return []
    wanted = ['peer_certificate', 'peer_key', 'peer_authority']
    if isinstance(cfg, EntrySettings):
        wanted += ['http_certificate', 'http_key']
    return [
        f'tls.{name}: found nothing with tls.enabled = true; '
        f'allowed: path of a PEM file, or tls.enabled = false'
        for name in wanted
        if getattr(tls, name) == ''
    ]


def _timing_faults(timing: Timing) -> list[str]:
    faults = []
    fence, margin = timing.fence_seconds, timing.margin_seconds
    if fence is not None and margin is not None and margin * 4 > fence:
        faults.append(
            f'timing.margin_seconds: found {margin} with fence_seconds = '
            f'{fence}; allowed: at most a quarter of the fence'
        )
    beat = timing.heartbeat_seconds
    if fence is not None and beat is not None and beat * 2 > fence:
        faults.append(
            f'timing.heartbeat_seconds: found {beat} with fence_seconds = '
            f'{fence}; allowed: at most half of the fence'
        )
    keep, skew = timing.retention_seconds, timing.skew_seconds
    if keep is not None and skew is not None and skew * 2 > keep:
        faults.append(
            f'timing.skew_seconds: found {skew} with retention_seconds = '
            f'{keep}; allowed: at most half of the retention'
        )
    return faults


def _token_faults(tokens: Tokens) -> list[str]:
    owners: dict[str, str] = {}
    faults = []
    pairs = [('operator', tokens.operator)]
    pairs += [(f'teams.{one}', val) for one, val in tokens.teams.items()]
    for name, token in pairs:
        if token is None:
            continue
        if token in owners:
            faults.append(
                f'tokens.{name}: found the token of tokens.{owners[token]}; '
                f'allowed: a token of its own'
            )
        owners.setdefault(token, name)
    return faults


def _is_required(field: 'dataclasses.Field[typing.Any]') -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _join(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key


def _unknown(where: str, key: str, names: list[str]) -> str:
    close = difflib.get_close_matches(key, names, n=1)
    hint = f' (did you mean {close[0]!r}?)' if close else ''
    return f'{where}: found an unknown key{hint}; allowed: {", ".join(names)}'


def _metas(hint: typing.Any) -> list[msgspec.Meta]:
    parts = [hint, *typing.get_args(hint)]
    return [
        meta
        for part in parts
        for meta in getattr(part, '__metadata__', ())
        if isinstance(meta, msgspec.Meta)
    ]


_PLAIN = {
    str: 'text',
    bool: 'true or false',
    int: 'a whole number',
    float: 'a number',
}


def _allowed(hint: typing.Any) -> str:
    for meta in _metas(hint):
        if meta.description:
            return f'allowed: {meta.description}'
    if dataclasses.is_dataclass(hint):
        names = [field.name for field in dataclasses.fields(hint)]
        return f'allowed: a table with {", ".join(names)}'
    if typing.get_origin(hint) is tuple:
        return 'allowed: a list'
    if typing.get_origin(hint) is dict:
        return 'allowed: a table'
    return f'allowed: {_PLAIN.get(hint, hint)}'


def _shown(found: object, hint: typing.Any) -> str:
    if any((meta.extra or {}).get('secret') for meta in _metas(hint)):
        return f'a secret that is a {type(found).__name__}'
    text = repr(found)
    return text if len(text) <= 60 else f'{text[:57]}...'


def _shown_keys(data: dict[str, typing.Any]) -> str:
    return ', '.join(f'[{key}]' for key in data) or 'nothing'
