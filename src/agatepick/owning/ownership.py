"""Assignment of jobs to owning entries by the job's key alone.

A key is a UUIDv7, which contains the time stamp of its creation.  Rendezvous
hashing selects its owner among the entries listed long enough before that
time: an entry listed later never becomes the owner of a key whose job another
entry may already have started.  All functions are pure; every process that
has the same ``members`` gets the same result.  Times are seconds since the
epoch.
"""

import collections.abc
import enum
import re

import xxhash

from agatepick import exceptions
from agatepick.net import messages
from agatepick import types

KEY_SKEW_SECONDS = 2.0
"""Seconds that a key may be stamped ahead of a process's clock.

This covers callers whose NTP synchronisation is poor.  A newly listed entry
gets its first keys this long after its listing.
"""

KEY_WINDOW_SECONDS = 600.0
"""Seconds for which a key is valid after its stamp."""

_KEY_PATTERN = re.compile(
    '[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}'
)
_MILLISECONDS_PER_SECOND = 1000.0


class KeyFault(enum.StrEnum):
    """Reasons to refuse a key; a request with a refused key starts no task."""

    MALFORMED = 'malformed'
    EXPIRED = 'expired'
    AHEAD = 'ahead'


def is_key(key: types.JobKey) -> bool:
    """Return whether ``key`` is a UUIDv7 in canonical text form."""
    return _KEY_PATTERN.fullmatch(key) is not None


def get_timestamp(key: types.JobKey) -> float:
    """Return the time stamp of ``key``, in seconds since the epoch.

    :raises agatepick.exceptions.BadKey: if it isn't a UUIDv7 in canonical
        text form.  Two spellings of one UUID would hash to two owners.
    """
    if not is_key(key):
        raise exceptions.BadKey('not a canonical UUIDv7', step='key')
    return int(key[:8] + key[9:13], 16) / _MILLISECONDS_PER_SECOND


def check_key(
    key: types.JobKey,
    now: float,
    window: float = KEY_WINDOW_SECONDS,
    skew: float = KEY_SKEW_SECONDS,
) -> KeyFault | None:
    """Return the fault of a key at ``now``, or ``None`` if it is valid.

    Without the window, a late duplicate of a job whose records have been
    deleted would run a second time.  Without the limit on stamps ahead of the
    clock, a key could stay valid after the record of its first run has been
    deleted.

    :param window: seconds after its stamp for which a key is valid.
    :param skew: seconds that a key may be stamped ahead of ``now``.
    """
    try:
        created_at = get_timestamp(key)
    except exceptions.BadKey:
        return KeyFault.MALFORMED
    if created_at < now - window:
        return KeyFault.EXPIRED
    if created_at > now + skew:
        return KeyFault.AHEAD
    return None


def find_owner(
    key: types.JobKey,
    members: collections.abc.Iterable[messages.Member],
    skew: float = KEY_SKEW_SECONDS,
) -> messages.Member | None:
    """Return the listed entry that owns ``key``; ``None`` if there is none."""
    listed = [member for member in members if not member.removed_at]
    return _select_owner(key, listed, skew)


def may_have_been_started(
    key: types.JobKey,
    members: collections.abc.Iterable[messages.Member],
    skew: float = KEY_SKEW_SECONDS,
) -> bool:
    """Return whether a removed entry may have started the job of ``key``.

    If so, none of the job's tasks may be started again, as the former owner
    may have started any of them.  An entry accepts keys stamped up to ``skew``
    ahead of its clock, so a removed entry may also have accepted keys stamped
    up to ``skew`` after its end.
    """
    members = tuple(members)
    created_at = get_timestamp(key)
    listed = [member for member in members if not member.removed_at]
    return any(
        _select_owner(key, [*listed, member], skew) is member
        for member in members
        if created_at < get_acceptance_end(member, skew)
    )


def get_acceptance_end(
    member: messages.Member, skew: float = KEY_SKEW_SECONDS
) -> float:
    """Return the earliest stamp of a key that an entry can't have accepted.

    Jobs with earlier keys may have been started by the removed entry.

    :return: 0 while the entry is listed, as its jobs needn't be taken over.
    """
    if not member.removed_at:
        return 0.0
    # A stopping entry admits no jobs from ``stopped_at`` on, at least a fence
    # before its removal is in force.  Without ``stopped_at``, new jobs would
    # fail for the length of the skew after each planned stop.
    return (member.stopped_at or member.removed_at) + skew


def _select_owner(
    key: types.JobKey, listed: list[messages.Member], skew: float
) -> messages.Member | None:
    if not listed:
        return None
    created_at = get_timestamp(key)
    eligible = [
        member for member in listed if member.listed_at + skew <= created_at
    ]
    if not eligible:
        # The key was created in the first seconds of the cluster.  If all
        # listed entries were eligible, each newly listed one could become the
        # key's owner without a record of its job; the set of the entries that
        # were listed first stays the same.
        first = min(member.listed_at for member in listed)
        eligible = [member for member in listed if member.listed_at == first]
    return max(eligible, key=lambda member: _hash_weight(key, member))


def _hash_weight(
    key: types.JobKey, member: messages.Member
) -> tuple[int, str]:
    text = f'{key}/{member.name}/{member.incarnation}'.encode()
    return xxhash.xxh3_64_intdigest(text), member.name
