"""Conversion of TOML to frozen data classes with all faults collected.

``msgspec`` validates the types of fields, but stops at the first fault; here
each field is converted separately to find all faults.  The ``description`` of
a type's :class:`msgspec.Meta` describes the allowed values in fault messages;
``extra={'secret': True}`` keeps the value itself out of them.
"""

import dataclasses
import difflib
import tomllib
import typing

import msgspec

from agatepick import exceptions

_T = typing.TypeVar('_T')


def parse_toml(text: str, file: str) -> dict[str, typing.Any]:
    """Return the tables in TOML text.

    :param file: name by which the error refers to the text.

    :raises agatepick.exceptions.BadSettings: if the text isn't valid TOML.
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
    """Return an instance of ``kind`` with the valid values in ``data``.

    For an invalid or missing value, a message is added to ``faults`` and the
    field becomes ``None``, so that the other values can still be validated.
    """
    return typing.cast(_T, _build_section(data, kind, '', faults))


def _build_section(
    data: dict[str, typing.Any], kind: type, path: str, faults: list[str]
) -> typing.Any:
    fields = {field.name: field for field in dataclasses.fields(kind)}
    hints = typing.get_type_hints(kind, include_extras=True)
    for key in data.keys() - fields.keys():
        faults.append(
            _describe_unknown_key(_join_path(path, key), key, list(fields))
        )
    values = {}
    for name, field in fields.items():
        field_path = _join_path(path, name)
        if name in data:
            values[name] = _build_value(
                data[name], hints[name], field_path, faults
            )
        elif _is_required(field):
            faults.append(
                f'{field_path}: found nothing; '
                f'{_describe_allowed(hints[name])}'
            )
            values[name] = None
    return kind(**values)


def _build_value(
    value: typing.Any, hint: typing.Any, path: str, faults: list[str]
) -> typing.Any:
    if dataclasses.is_dataclass(hint):
        if isinstance(value, dict):
            return _build_section(value, typing.cast(type, hint), path, faults)
        faults.append(
            f'{path}: found {_format_value(value, hint)}; allowed: a table'
        )
        return None
    if typing.get_origin(hint) is tuple and isinstance(value, list):
        element_hint = typing.get_args(hint)[0]
        return tuple(
            _build_value(element, element_hint, f'{path}[{index}]', faults)
            for index, element in enumerate(value)
        )
    if typing.get_origin(hint) is dict and isinstance(value, dict):
        key_hint, element_hint = typing.get_args(hint)
        return {
            _build_value(key, key_hint, path, faults): _build_value(
                element, element_hint, _join_path(path, key), faults
            )
            for key, element in value.items()
        }
    try:
        return msgspec.convert(value, hint)
    except msgspec.ValidationError:
        faults.append(
            f'{path}: found {_format_value(value, hint)}; '
            f'{_describe_allowed(hint)}'
        )
        return None


def _is_required(field: 'dataclasses.Field[typing.Any]') -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _join_path(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key


def _describe_unknown_key(path: str, key: str, names: list[str]) -> str:
    similar = difflib.get_close_matches(key, names, n=1)
    hint = f' (did you mean {similar[0]!r}?)' if similar else ''
    return f'{path}: found an unknown key{hint}; allowed: {", ".join(names)}'


def _find_metas(hint: typing.Any) -> list[msgspec.Meta]:
    parts = [hint, *typing.get_args(hint)]
    return [
        meta
        for part in parts
        for meta in getattr(part, '__metadata__', ())
        if isinstance(meta, msgspec.Meta)
    ]


_TYPE_DESCRIPTIONS = {
    str: 'text',
    bool: 'true or false',
    int: 'a whole number',
    float: 'a number',
}


def _describe_allowed(hint: typing.Any) -> str:
    for meta in _find_metas(hint):
        if meta.description:
            return f'allowed: {meta.description}'
    if dataclasses.is_dataclass(hint):
        names = [field.name for field in dataclasses.fields(hint)]
        return f'allowed: a table with {", ".join(names)}'
    if typing.get_origin(hint) is tuple:
        return 'allowed: a list'
    if typing.get_origin(hint) is dict:
        return 'allowed: a table'
    return f'allowed: {_TYPE_DESCRIPTIONS.get(hint, hint)}'


def _format_value(value: object, hint: typing.Any) -> str:
    if any((meta.extra or {}).get('secret') for meta in _find_metas(hint)):
        return f'a secret that is a {type(value).__name__}'
    text = repr(value)
    return text if len(text) <= 60 else f'{text[:57]}...'
