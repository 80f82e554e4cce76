"""Which entry owns a job, judged from the job's key alone.

A key is a UUIDv7, so it tells when it was minted.  Rendezvous hashing picks
its owner among the entries listed long enough before that instant: an entry
listed later never becomes the owner of a key that another entry may already
have started.  All functions are pure; every process that has the same
``members`` gives the same answer.  Instants are seconds since the epoch.
"""

import collections.abc
import enum
import re

import xxhash

from agatepick import exceptions
from agatepick.net import messages
from agatepick import types

SKEW = 2.0
"""How far ahead of a process's clock a key may be stamped.

Wide enough for callers that keep time by NTP on a bad day; it delays by as
much the moment at which a newly listed entry gets its first keys.
"""

WINDOW = 600.0
"""How long after its stamp a key is served."""

_KEY = re.compile(
    '[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}'
)
_MILLISECONDS = 1000.0


class KeyFault(enum.StrEnum):
    """Why a key is refused; a refused key's job never runs."""

    MALFORMED = 'malformed'
    EXPIRED = 'expired'
    AHEAD = 'ahead'


def is_key(key: types.JobKey) -> bool:
    """Whether ``key`` is a UUIDv7 in canonical text form."""
    return _KEY.fullmatch(key) is not None


def stamp(key: types.JobKey) -> float:
    """The instant at which ``key`` was minted.

    :raises agatepick.exceptions.BadKey: if it isn't a UUIDv7 in canonical
        text form.  Two spellings of one UUID would hash to two owners.
    """
    if not is_key(key):
        raise exceptions.BadKey('not a canonical UUIDv7', step='key')
    return int(key[:8] + key[9:13], 16) / _MILLISECONDS


def check(
    key: types.JobKey,
    now: float,
    window: float = WINDOW,
    skew: float = SKEW,
) -> KeyFault | None:
    """What is wrong with a key at ``now``; ``None`` if nothing is.

    Without the window a late duplicate of a job that everyone has forgotten
    would run a second time; without the limit ahead, a key could be minted
    that outlives the memory of its first run.
    """
    try:
        minted = stamp(key)
    except exceptions.BadKey:
        return KeyFault.MALFORMED
    if minted < now - window:
        return KeyFault.EXPIRED
    if minted > now + skew:
        return KeyFault.AHEAD
    return None


def owner(
    key: types.JobKey,
    members: collections.abc.Iterable[messages.Member],
    skew: float = SKEW,
) -> messages.Member | None:
    """The listed entry that owns ``key``; ``None`` if none is listed."""
    listed = [member for member in members if not member.removed_at]
    return _pick(key, listed, skew)


def taken_over(
    key: types.JobKey,
    members: collections.abc.Iterable[messages.Member],
    skew: float = SKEW,
) -> bool:
    """Whether an entry that has been removed may have started ``key``.

    Such a job may run no task that isn't known to be unstarted: its former
    owner may have started any of them.  An entry accepts keys stamped up to
    ``skew`` ahead of its clock, so keys stamped that long after its end are
    still suspect.
    """
    members = tuple(members)
    minted = stamp(key)
    listed = [member for member in members if not member.removed_at]
    return any(
        _pick(key, [*listed, member], skew) is member
        for member in members
        if minted < suspect_until(member, skew)
    )


def suspect_until(member: messages.Member, skew: float = SKEW) -> float:
    """Stamp from which on no key can have been let in by an entry.

    :return: 0 while the entry is listed, so that no key is suspect.
    """
    if not member.removed_at:
        return 0.0
    # An entry that stops lets in nothing for at least a fence before its
    # removal is in force.  Without its word for that, each planned stop
    # would fail new jobs for as long as the skew.
    return (member.stopped_at or member.removed_at) + skew


def _pick(
    key: types.JobKey, listed: list[messages.Member], skew: float
) -> messages.Member | None:
    if not listed:
        return None
    minted = stamp(key)
    eligible = [one for one in listed if one.listed_at + skew <= minted]
    if not eligible:
        # Keys of the first seconds of a cluster.  Choosing among all listed
        # would move a key, unknown to its new owner, whenever another entry
        # is listed; the earliest listed stay the same.
        first = min(one.listed_at for one in listed)
        eligible = [one for one in listed if one.listed_at == first]
    return max(eligible, key=lambda one: _weight(key, one))


def _weight(key: types.JobKey, member: messages.Member) -> tuple[int, str]:
    text = f'{key}/{member.name}/{member.incarnation}'.encode()
    return xxhash.xxh3_64_intdigest(text), member.name
