"""Decoding of JSON that others wrote.

Load pattern: a field that nothing reads is nested thousands of levels deep,
or a number has hundreds of digits.  The library raises other errors for these
than for a field of a wrong type; if one of them passed a handler, a single row
of another writer would end the watch of its whole table.
"""

import typing

import msgspec

MAX_REASON_CHARS = 200
"""Length of an error's text, which may contain that of the sender."""

ERRORS = (msgspec.MsgspecError, RecursionError, OverflowError, ValueError)
"""What the library raises for bytes that it can't decode."""

_Value = typing.TypeVar('_Value')


class Unreadable(ValueError):
    """Error for bytes that aren't JSON of the type; the message says why."""


def decode(data: bytes | str, kind: type[_Value]) -> _Value:
    """Return the value that ``data`` holds as JSON.

    :raises Unreadable: for any bytes that hold no such value.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except ERRORS as exc:
        text = str(exc) or type(exc).__name__
        raise Unreadable(text[:MAX_REASON_CHARS]) from exc
