"""Heads of requests with very many fields."""

MAX_FIELDS = 64
"""Number of fields up to which a head is left as it is."""

USED_FIELDS = frozenset(
    (
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
)
"""Fields that any of the endpoints reads, in lower case."""


def drop_unused_fields(head: bytes) -> bytes:
    """Return a head without the fields that no endpoint reads.

    As objects, thousands of short fields take up many times their bytes, and
    parsing them takes ten milliseconds.  A head with few fields, or one that
    continues a field on a further line, is returned as it is.
    """
    if head.count(b'\n') <= MAX_FIELDS:
        return head
    # Empty lines may precede a request.
    lines = head.lstrip(b'\r\n').split(b'\n')
    if any(line.startswith((b' ', b'\t')) for line in lines):
        return head
    kept = [line for line in lines[1:] if _is_used(line)]
    return b'\n'.join([lines[0], *kept])


def _is_used(line: bytes) -> bool:
    """Return whether a line matters: a used field, an end, or a fault."""
    name, colon, _ = line.partition(b':')
    return not colon or name.strip().lower() in USED_FIELDS
