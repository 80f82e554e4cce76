"""Bounds of the quantities that callers and workers declare.

Load pattern: declared values are far off, such as bytes in a field for MiB.  A
value that our own messages can't hold would fail wherever it is used; it is
refused where it comes in, with the field's name.
"""

import typing

import msgspec

from agatepick import types

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=types.MAX_COUNT)]
"""A number that messages hold in 32 bits, such as MiB of memory."""

Amount = typing.Annotated[float, msgspec.Meta(ge=0.0, le=types.MAX_AMOUNT)]
"""A finite number, such as thousandths of a core or milliseconds."""

Whole = typing.Annotated[int, msgspec.Meta(ge=0, le=types.MAX_WHOLE)]
"""A whole number that a float holds, such as an instant in milliseconds."""

__all__ = ['Amount', 'Count', 'Whole']
