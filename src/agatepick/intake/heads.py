"""Heads of requests with very many fields."""

import re

MAX_FIELDS = 64
"""Number of fields up to which a head is left as it is."""

USED_FIELDS = (
    b'authorization',
    b'connection',
    b'content-length',
    b'content-type',
    b'expect',
    b'host',
    b'idempotency-key',
    b'if-match',
    b'prefer',
    b'transfer-encoding',
    b'x-deadline-ms',
)
"""Fields that any of the endpoints reads."""

_KEPT_LINE = re.compile(
    rb'^(?:(?:%b)[ \t]*:.*|[^:\r\n]*\r?)$' % b'|'.join(USED_FIELDS),
    re.IGNORECASE | re.MULTILINE,
)
"""A used field, an empty line, or a fault that the library reports."""


def count_lines(head: bytes) -> int:
    """Return the number of lines of a head."""
    return head.count(b'\n')


def drop_query(head: bytes) -> bytes:
    """Return a head without the query of its path, which no endpoint reads.

    The library keeps three copies of the request line while a request is read,
    and while a refused connection waits for its client.
    """
    end = head.find(b'\n', len(head) - len(head.lstrip(b'\r\n')))
    mark = head.find(b'?', 0, end)
    if mark < 0:
        return head
    # The version follows the last space of the line.
    space = head.rfind(b' ', mark, end)
    return head if space < 0 else head[:mark] + head[space:]


def drop_unused_fields(head: bytes) -> bytes:
    """Return a head without the fields that no endpoint reads.

    As objects, thousands of short fields take up many times their bytes, and
    parsing them takes ten milliseconds.  A head with few fields, or one that
    continues a field on a further line, is returned as it is.
    """
    if count_lines(head) <= MAX_FIELDS or b'\n ' in head or b'\n\t' in head:
        return head
    # Empty lines may precede a request.
    start, _, fields = head.lstrip(b'\r\n').partition(b'\n')
    return b'\n'.join([start, *_KEPT_LINE.findall(fields)])
