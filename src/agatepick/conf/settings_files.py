"""Reads settings from TOML files and checks them whole at start.

Every fault in a file is found in one go: an unknown key, a missing key, a
wrong type or unit, a value out of range and pairs of values that can't stand
together.  Each names the file, the key, what was found and what is allowed.
"""

import dataclasses
import ipaddress
import pathlib
import typing

from agatepick.conf import settings
from agatepick.conf import typed_toml
from agatepick import exceptions

_T = typing.TypeVar('_T')
_MARKS = {'http': 'entry', 'entries': 'agent', 'table': 'table'}


def load(path: str | pathlib.Path, kind: type[_T]) -> _T:
    """The settings in a file.

    :param kind: one of the settings classes of this module.
    :raises agatepick.exceptions.BadSettings: listing every fault, one a
        line.
    """
    return parse(_read(path), kind, str(path), pathlib.Path(path).parent)


def load_any(path: str | pathlib.Path) -> settings.Settings:
    """The settings in a file of whichever program; told by its sections.

    :raises agatepick.exceptions.BadSettings: listing every fault.
    """
    text = _read(path)
    data = typed_toml.data(text, str(path))
    name = next((_MARKS[key] for key in data if key in _MARKS), 'upstream')
    if name == 'upstream' and 'worker' not in data:
        marks = ', '.join(f'[{one}]' for one in (*_MARKS, 'worker'))
        raise exceptions.BadSettings(
            f'{path}: no section tells the program; '
            f'found {_shown_keys(data)}; allowed: one of {marks}',
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
    """The settings in TOML text.

    :param file: names the text in faults.
    :param base: directory to which the paths in it are relative.
    """
    data = typed_toml.data(text, file)
    faults: list[str] = []
    value = typed_toml.build(data, kind, faults)
    faults += pair_faults(value)
    value = _with_paths(value, base, faults)
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


def pair_faults(cfg: object) -> list[str]:
    """Faults of values that are sound alone but not together."""
    faults = []
    tls = getattr(cfg, 'tls', None)
    for name in ('http', 'peers', 'upstream', 'operators'):
        section = getattr(cfg, name, None)
        if section is not None and section.listen:
            faults += _bind_faults(name, section, tls)
    if tls is not None:
        faults += _tls_faults(cfg, tls)
    timing = getattr(cfg, 'timing', None)
    if timing is not None:
        faults += _timing_faults(timing)
    if isinstance(cfg, settings.EntrySettings) and cfg.tokens is not None:
        faults += _token_faults(cfg.tokens)
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


def _bind_faults(
    name: str, section: typing.Any, tls: settings.Tls | None
) -> list[str]:
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


def _tls_faults(cfg: object, tls: settings.Tls) -> list[str]:
    if not tls.enabled:
        return []
    wanted = ['peer_certificate', 'peer_key', 'peer_authority']
    if isinstance(cfg, settings.EntrySettings) or _shows_timeline(cfg):
        wanted += ['http_certificate', 'http_key']
    return [
        f'tls.{name}: found nothing with tls.enabled = true; '
        f'allowed: path of a PEM file, or tls.enabled = false'
        for name in wanted
        if getattr(tls, name) == ''
    ]


def _shows_timeline(cfg: object) -> bool:
    section = getattr(cfg, 'operators', None)
    return section is not None and bool(section.listen)


def _with_paths(
    cfg: typing.Any, base: pathlib.Path, faults: list[str]
) -> typing.Any:
    """``cfg`` with the paths of its TLS files made whole."""
    tls = getattr(cfg, 'tls', None)
    if tls is None or not tls.enabled:
        return cfg
    whole = {}
    for name in settings.TLS_FILES:
        found = getattr(tls, name)
        if found:
            whole[name] = str(base / found)
            if not (base / found).is_file():
                faults.append(
                    f'tls.{name}: found {found!r}, which is no file; '
                    f'allowed: path of a PEM file'
                )
    return dataclasses.replace(cfg, tls=dataclasses.replace(tls, **whole))


def _timing_faults(timing: settings.Timing) -> list[str]:
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


def _token_faults(tokens: settings.Tokens) -> list[str]:
    owners: dict[str, str] = {}
    faults = []
    pairs = [('operator', tokens.operator)]
    pairs += [
        (f'teams.{one}', val) for one, val in (tokens.teams or {}).items()
    ]
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


def _shown_keys(data: dict[str, typing.Any]) -> str:
    return ', '.join(f'[{key}]' for key in data) or 'nothing'
