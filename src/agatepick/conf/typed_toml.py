"""Turns TOML into frozen data classes, noting every fault in one go.

The fields' types are checked by ``msgspec``, whose own errors stop at the
first fault; here each field is converted apart so that all are found.  What
is allowed is told in words by the ``description`` of a type's
:class:`msgspec.Meta`; ``extra={'secret': True}`` keeps a value out of faults.
"""

import dataclasses
import difflib
import tomllib
import typing

import msgspec

from agatepick import exceptions

_T = typing.TypeVar('_T')


def data(text: str, file: str) -> dict[str, typing.Any]:
    """The tables in TOML text; ``file`` names it in the fault.

    :raises agatepick.exceptions.BadSettings: if it isn't TOML.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise exceptions.BadSettings(
            f'{file}: not TOML: {exc}', step='settings'
        ) from exc


def build(
    data: dict[str, typing.Any], kind: type[_T], faults: list[str]
) -> _T:
    """An instance of ``kind`` made of what is sound in ``data``.

    A faulty or missing part is added to ``faults`` and becomes ``None``, so
    that what doesn't depend on it can still be checked.
    """
    return typing.cast(_T, _section(data, kind, '', faults))


def _section(
    data: dict[str, typing.Any], kind: type, path: str, faults: list[str]
) -> typing.Any:
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
