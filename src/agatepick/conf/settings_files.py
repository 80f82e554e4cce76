"""Reader and validator of settings files in TOML.

All faults in a file are reported together: unknown keys, missing keys, wrong
types or units, values out of range and combinations of values that aren't
allowed.  Each fault names the file, the key, the value found and the allowed
values.
"""

import dataclasses
import ipaddress
import pathlib
import typing

from agatepick.conf import settings
from agatepick.conf import typed_toml
from agatepick import exceptions

_T = typing.TypeVar('_T')
_PROGRAM_BY_SECTION = {'http': 'entry', 'entries': 'agent', 'table': 'table'}


def load(path: str | pathlib.Path, kind: type[_T]) -> _T:
    """Return the settings in a file.

    :param kind: settings class, such as
        :class:`agatepick.conf.settings.EntrySettings`.
    :raises agatepick.exceptions.BadSettings: with all faults, one per line.
    """
    return parse(_read_file(path), kind, str(path), pathlib.Path(path).parent)


def load_any(path: str | pathlib.Path) -> settings.Settings:
    """Return the settings in a file of any program.

    The sections of the file determine the program.

    :raises agatepick.exceptions.BadSettings: with all faults, one per line.
    """
    text = _read_file(path)
    data = typed_toml.parse_toml(text, str(path))
    name = next(
        (
            _PROGRAM_BY_SECTION[key]
            for key in data
            if key in _PROGRAM_BY_SECTION
        ),
        'upstream',
    )
    if name == 'upstream' and 'worker' not in data:
        sections = ', '.join(
            f'[{section}]' for section in (*_PROGRAM_BY_SECTION, 'worker')
        )
        raise exceptions.BadSettings(
            f'{path}: no section identifies the program; '
            f'found {_format_sections(data)}; allowed: one of {sections}',
            step='settings',
        )
    return parse(
        text, settings.KINDS[name], str(path), pathlib.Path(path).parent
    )


def parse(
    text: str,
    kind: type[_T],
    file: str = '<text>',
    base: pathlib.Path = pathlib.Path(),
) -> _T:
    """Return the settings in TOML text.

    :param file: name by which fault messages refer to the text.
    :param base: directory that paths in the settings are relative to.
    """
    data = typed_toml.parse_toml(text, file)
    faults: list[str] = []
    value = typed_toml.build(data, kind, faults)
    faults += find_combination_faults(value)
    value = _resolve_tls_paths(value, base, faults)
    if faults:
        lines = '\n'.join(f'{file}: {fault}' for fault in faults)
        raise exceptions.BadSettings(lines, step='settings')
    return typing.cast(_T, value)


def is_loopback(address: str) -> bool:
    """Return whether an ``ip:port`` is a loopback address."""
    host = address.rpartition(':')[0].strip('[]')
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def _read_file(path: str | pathlib.Path) -> str:
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise exceptions.BadSettings(
            f'{path}: cannot be read: {exc}', step='settings'
        ) from exc


def find_combination_faults(cfg: object) -> list[str]:
    """Return the faults of values that aren't allowed together.

    Each of these values is valid on its own.
    """
    faults = []
    tls = getattr(cfg, 'tls', None)
    for name in ('http', 'peers', 'upstream', 'operators'):
        section = getattr(cfg, name, None)
        if section is not None and section.listen:
            faults += _find_bind_faults(name, section, tls)
    if tls is not None:
        faults += _find_tls_faults(cfg, tls)
    timing = getattr(cfg, 'timing', None)
    if timing is not None:
        faults += _find_timing_faults(timing)
    if isinstance(cfg, settings.EntrySettings) and cfg.tokens is not None:
        faults += _find_token_faults(cfg.tokens)
    if isinstance(cfg, settings.AgentSettings) and cfg.entries is not None:
        if cfg.entries.seeds == ():
            faults.append('entries.seeds: found []; allowed: one or more')
    if isinstance(cfg, settings.AgentSettings) and cfg.operators is not None:
        if cfg.operators.listen and cfg.operators.token == '':
            faults.append(
                'operators.token: found nothing with operators.listen; '
                'allowed: text of 16 to 512 characters'
            )
    return faults


def _find_bind_faults(
    name: str, section: typing.Any, tls: settings.Tls | None
) -> list[str]:
    # Upstreams announce themselves over plain HTTP from the same machine.
    plaintext = name == 'upstream' or (tls is not None and not tls.enabled)
    if (
        plaintext
        and not section.plain_beyond_loopback
        and not is_loopback(section.listen)
    ):
        return [
            f'{name}.listen: found {section.listen!r} without TLS; allowed: '
            f'a loopback address, or TLS, or '
            f'{name}.plain_beyond_loopback = true'
        ]
    return []


def _find_tls_faults(cfg: object, tls: settings.Tls) -> list[str]:
    if not tls.enabled:
        return []
    required = ['peer_certificate', 'peer_key', 'peer_authority']
    if isinstance(cfg, settings.EntrySettings) or _serves_timeline(cfg):
        required += ['http_certificate', 'http_key']
    return [
        f'tls.{name}: found nothing with tls.enabled = true; '
        f'allowed: path of a PEM file, or tls.enabled = false'
        for name in required
        if getattr(tls, name) == ''
    ]


def _serves_timeline(cfg: object) -> bool:
    section = getattr(cfg, 'operators', None)
    return section is not None and bool(section.listen)


def _resolve_tls_paths(
    cfg: typing.Any, base: pathlib.Path, faults: list[str]
) -> typing.Any:
    """Return ``cfg`` with the paths of its TLS files joined to ``base``."""
    tls = getattr(cfg, 'tls', None)
    if tls is None or not tls.enabled:
        return cfg
    resolved = {}
    for name in settings.TLS_FILES:
        path = getattr(tls, name)
        if path:
            resolved[name] = str(base / path)
            if not (base / path).is_file():
                faults.append(
                    f'tls.{name}: found {path!r}, which is no file; '
                    f'allowed: path of a PEM file'
                )
    return dataclasses.replace(cfg, tls=dataclasses.replace(tls, **resolved))


def _find_timing_faults(timing: settings.Timing) -> list[str]:
    faults = []
    fence, margin = timing.fence_seconds, timing.margin_seconds
    if fence is not None and margin is not None and margin * 4 > fence:
        faults.append(
            f'timing.margin_seconds: found {margin} with fence_seconds = '
            f'{fence}; allowed: at most a quarter of the fence'
        )
    heartbeat = timing.heartbeat_seconds
    if fence is not None and heartbeat is not None and heartbeat * 2 > fence:
        faults.append(
            f'timing.heartbeat_seconds: found {heartbeat} with '
            f'fence_seconds = {fence}; allowed: at most half of the fence'
        )
    retention, skew = timing.retention_seconds, timing.skew_seconds
    if retention is not None and skew is not None and skew * 2 > retention:
        faults.append(
            f'timing.skew_seconds: found {skew} with retention_seconds = '
            f'{retention}; allowed: at most half of the retention'
        )
    return faults


def _find_token_faults(tokens: settings.Tokens) -> list[str]:
    name_by_token: dict[str, str] = {}
    faults = []
    pairs = [('operator', tokens.operator)]
    pairs += [
        (f'teams.{team}', team_token)
        for team, team_token in (tokens.teams or {}).items()
    ]
    for name, token in pairs:
        if token is None:
            continue
        if token in name_by_token:
            faults.append(
                f'tokens.{name}: found the token of '
                f'tokens.{name_by_token[token]}; allowed: a token of its own'
            )
        name_by_token.setdefault(token, name)
    return faults


def _format_sections(data: dict[str, typing.Any]) -> str:
    return ', '.join(f'[{key}]' for key in data) or 'nothing'
