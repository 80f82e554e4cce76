"""The cluster configuration: a versioned document and its changes.

The document holds the availability zones that are out of service, the preset
in use, the quotas of teams, the upstreams that are leaving and the listed
entries.  Each version differs from the previous one by one
:class:`ChangeRow`.  The store's head row, :class:`Head`, holds the number of
the last version.

All values are immutable; :func:`apply` returns the next document.
"""

import dataclasses
import typing

import msgspec

from agatepick import exceptions
from agatepick.net import decoding
from agatepick.net import messages

PRESETS = ('ordinary', 'peak', 'maintenance')
REMOVED_ENTRY_RETENTION_SECONDS = 600.0
"""How long a removed entry stays in the document.

For job keys up to that age the owner can be computed with the removed entry
included, as this entry may have started the job.
"""


class _Change(msgspec.Struct, frozen=True, tag_field='kind'):
    """Base class of the changes; ``kind`` selects the class in JSON."""


class ZoneOut(_Change, frozen=True, tag='zone_out'):
    """Take an availability zone out of service."""

    zone: str


class ZoneIn(_Change, frozen=True, tag='zone_in'):
    """Return an availability zone to service."""

    zone: str


class PresetUse(_Change, frozen=True, tag='preset_use'):
    """Switch to another preset."""

    preset: str


class QuotaSet(_Change, frozen=True, tag='quota_set'):
    """Set how many slots a team may fill at once; ``None`` lifts it."""

    team: str
    slots: int | None


class UpstreamLeaving(_Change, frozen=True, tag='upstream_leaving'):
    """Start nothing more at an agent, because its upstream leaves."""

    agent: str


class UpstreamCleared(_Change, frozen=True, tag='upstream_cleared'):
    """Forget that an agent's upstream was leaving."""

    agent: str


class EntryListed(_Change, frozen=True, tag='entry_listed'):
    """List an entry and remove an older incarnation of it."""

    name: str
    incarnation: int
    address: str
    zone: str


class EntryRemoved(_Change, frozen=True, tag='entry_removed'):
    """Remove one incarnation of an entry.

    :param stopped_at: since when it has let in no job; 0 if it was lost.
    """

    name: str
    incarnation: int
    stopped_at: float = 0.0


class SettingSet(_Change, frozen=True, tag='setting_set'):
    """Set a free setting; ``None`` removes it."""

    key: str
    value: str | None


Change = (
    ZoneOut
    | ZoneIn
    | PresetUse
    | QuotaSet
    | UpstreamLeaving
    | UpstreamCleared
    | EntryListed
    | EntryRemoved
    | SettingSet
)


@dataclasses.dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone that has been out at least once.

    :param since: when it went out, or came back.
    """

    name: str
    out: bool
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """How many slots a team may fill at once."""

    team: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """A free setting."""

    key: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterConfig:
    """One version of the document.

    :param in_force_at: instant at which processes switch to this version.
    :param entries: listed entries, and those removed not long ago.
    """

    version: int = 0
    in_force_at: float = 0.0
    preset: str = PRESETS[0]
    zones: tuple[Zone, ...] = ()
    quotas: tuple[Quota, ...] = ()
    leaving: tuple[str, ...] = ()
    entries: tuple[messages.Member, ...] = ()
    settings: tuple[Setting, ...] = ()

    def listed(self) -> tuple[messages.Member, ...]:
        """Return the entries that are listed in this version."""
        return tuple(entry for entry in self.entries if not entry.removed_at)

    def member(self, name: str) -> messages.Member | None:
        """Return the listed entry of that name, or ``None``."""
        for entry in self.entries:
            if entry.name == name and not entry.removed_at:
                return entry
        return None

    def lists(self, me: messages.Member) -> bool:
        """Return whether this incarnation of an entry is listed."""
        member = self.member(me.name)
        return member is not None and member.incarnation == me.incarnation

    def zone(self, name: str) -> Zone | None:
        """Return the state of a zone, or ``None`` if it was never out."""
        for zone in self.zones:
            if zone.name == name:
                return zone
        return None

    def zone_out(self, name: str) -> bool:
        """Return whether a zone is out of service."""
        zone = self.zone(name)
        return zone is not None and zone.out

    def quota(self, team: str) -> int | None:
        """Return the quota of a team in slots, or ``None`` without one."""
        for quota in self.quotas:
            if quota.team == team:
                return quota.slots
        return None

    def setting(self, key: str) -> str | None:
        """Return the value of a free setting, or ``None`` if it is not set."""
        for setting in self.settings:
            if setting.key == key:
                return setting.value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRow:
    """An accepted change, as the store holds it.

    :param version: number of the version that the change creates.
    :param in_force_at: instant at which processes switch to that version.
    :param attempt: number that, with the writer's name and incarnation,
        identifies the transaction that wrote the row.  After a lost answer
        it shows whether the transaction took effect.
    """

    version: int
    in_force_at: float
    change: Change
    writer: str
    incarnation: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The store's head row.

    :param stamp: instant at which an entry last wrote the row, read from
        that entry's clock before it sent the request.
    """

    version: int
    stamp: float


@dataclasses.dataclass(frozen=True, slots=True)
class UncertainChange:
    """A change whose transaction may still take effect.

    :param stamp: stamp of the head that the transaction is conditional on;
        it takes effect only while the head has this stamp and the version
        before ``row.version``.
    """

    row: ChangeRow
    stamp: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalOutcome:
    """Effect that reports the outcome of a proposed change to its requester.

    :param verdict: ``accepted``, ``conflict`` (another change was written
        and this one was not), ``unknown`` (the store's answer was lost: the
        change has taken effect, may still do so, or never will),
        ``unavailable`` (nothing was written) or ``invalid`` (``reason`` names
        the field).
    :param version: the version that contains the change, or would contain it
        if the verdict is ``unknown``; otherwise the last known version.
    """

    request_id: int
    verdict: str
    version: int
    in_force_at: float = 0.0
    reason: str = ''


_Document = ClusterConfig | ChangeRow | Head | UncertainChange
_Kind = typing.TypeVar(
    '_Kind', ClusterConfig, ChangeRow, Head, UncertainChange
)
_encoder = msgspec.json.Encoder()


def encode(value: _Document) -> bytes:
    """Return the JSON of a value; equal values give equal bytes."""
    return _encoder.encode(value)


def decode(data: bytes, kind: type[_Kind]) -> _Kind:
    """Return the value that ``data`` holds as JSON.

    :raises agatepick.exceptions.BadMessage: if ``data`` is invalid; the
        message names the field.
    """
    try:
        return decoding.decode(data, kind)
    except decoding.Unreadable as exc:
        raise exceptions.BadMessage(
            f'{kind.__name__}: {exc}', step='decode'
        ) from exc


def change_from_json(data: bytes) -> Change:
    """Return the change that an operator sent as JSON.

    :raises agatepick.exceptions.BadChange: if ``data`` is invalid; the
        message names the field.
    """
    try:
        return msgspec.json.decode(data, type=Change)
    except decoding.ERRORS as exc:
        raise exceptions.BadChange(str(exc), step='decode') from exc


def change_to_json(change: Change) -> bytes:
    """Return the JSON that :func:`change_from_json` accepts."""
    return _encoder.encode(change)


def subject(change: Change) -> str:
    """Return what a change modifies, such as ``zone a`` or ``preset``.

    Concurrent changes with the same subject conflict.
    """
    match change:
        case ZoneOut(zone) | ZoneIn(zone):
            return f'zone {zone}'
        case PresetUse():
            return 'preset'
        case QuotaSet(team):
            return f'quota {team}'
        case UpstreamLeaving(agent) | UpstreamCleared(agent):
            return f'upstream {agent}'
        case EntryListed(name) | EntryRemoved(name):
            return f'entry {name}'
        case SettingSet(key):
            return f'setting {key}'


def alters(config: ClusterConfig, change: Change) -> bool:
    """Return whether a valid change would modify a document."""
    row = ChangeRow(config.version + 1, config.in_force_at, change, '', 0, 0)
    after = apply(config, row)
    return dataclasses.replace(after, version=config.version) != config


def apply(config: ClusterConfig, row: ChangeRow) -> ClusterConfig:
    """Return the document that results from applying ``row`` to ``config``.

    :raises agatepick.exceptions.BadChange: if the row isn't for the next
        version, would come into force before the current one, or has an
        invalid field.
    """
    if row.version != config.version + 1:
        raise _make_field_error(
            'version', f'{row.version} after {config.version}'
        )
    if row.in_force_at < config.in_force_at:
        raise _make_field_error(
            'in_force_at', 'before that of the version before'
        )
    base = dataclasses.replace(
        config,
        version=row.version,
        in_force_at=row.in_force_at,
        entries=_drop_expired(config.entries, row.in_force_at),
    )
    return _apply_change(base, row.change, row.in_force_at)


def _make_field_error(field: str, reason: str) -> exceptions.BadChange:
    return exceptions.BadChange(f'{field}: {reason}', step='apply')


def _drop_expired(
    entries: tuple[messages.Member, ...], now: float
) -> tuple[messages.Member, ...]:
    oldest = now - REMOVED_ENTRY_RETENTION_SECONDS
    return tuple(
        entry
        for entry in entries
        if not entry.removed_at or entry.removed_at >= oldest
    )


def _apply_change(
    base: ClusterConfig, change: Change, in_force_at: float
) -> ClusterConfig:
    match change:
        case ZoneOut(zone):
            return _set_zone(base, zone, True, in_force_at)
        case ZoneIn(zone):
            return _set_zone(base, zone, False, in_force_at)
        case PresetUse(preset):
            if preset not in PRESETS:
                raise _make_field_error(
                    'preset', f'{preset!r} is none of {PRESETS}'
                )
            return dataclasses.replace(base, preset=preset)
        case QuotaSet(team, slots):
            return _set_quota(base, team, slots)
        case UpstreamLeaving(agent):
            leaving = tuple(
                sorted({*base.leaving, _require_nonempty('agent', agent)})
            )
            return dataclasses.replace(base, leaving=leaving)
        case UpstreamCleared(agent):
            others = tuple(name for name in base.leaving if name != agent)
            return dataclasses.replace(base, leaving=others)
        case EntryListed():
            return _list_entry(base, change, in_force_at)
        case EntryRemoved(name, incarnation, stopped_at):
            return _remove_entry(
                base, name, incarnation, in_force_at, stopped_at
            )
        case SettingSet(key, value):
            return _set_setting(base, key, value)


def _require_nonempty(field: str, value: str) -> str:
    if not value:
        raise _make_field_error(field, 'is empty')
    return value


def _set_zone(
    base: ClusterConfig, name: str, out: bool, in_force_at: float
) -> ClusterConfig:
    if base.zone_out(_require_nonempty('zone', name)) == out:
        return base
    others = tuple(zone for zone in base.zones if zone.name != name)
    return dataclasses.replace(
        base, zones=(*others, Zone(name, out, in_force_at))
    )


def _set_quota(
    base: ClusterConfig, team: str, slots: int | None
) -> ClusterConfig:
    _require_nonempty('team', team)
    others = tuple(quota for quota in base.quotas if quota.team != team)
    if slots is None:
        return dataclasses.replace(base, quotas=others)
    if slots < 0:
        raise _make_field_error('slots', f'{slots} is negative')
    return dataclasses.replace(base, quotas=(*others, Quota(team, slots)))


def _list_entry(
    base: ClusterConfig, change: EntryListed, in_force_at: float
) -> ClusterConfig:
    old = base.member(_require_nonempty('name', change.name))
    if old is not None and old.incarnation == change.incarnation:
        return base
    if old is not None:
        base = _remove_entry(base, old.name, old.incarnation, in_force_at)
    member = messages.Member(
        change.name,
        change.incarnation,
        change.address,
        change.zone,
        in_force_at,
    )
    return dataclasses.replace(base, entries=(*base.entries, member))


def _remove_entry(
    base: ClusterConfig,
    name: str,
    incarnation: int,
    in_force_at: float,
    stopped_at: float = 0.0,
) -> ClusterConfig:
    entries = tuple(
        dataclasses.replace(
            entry, removed_at=in_force_at, stopped_at=stopped_at
        )
        if entry.name == name
        and entry.incarnation == incarnation
        and not entry.removed_at
        else entry
        for entry in base.entries
    )
    return dataclasses.replace(base, entries=entries)


def _set_setting(
    base: ClusterConfig, key: str, value: str | None
) -> ClusterConfig:
    _require_nonempty('key', key)
    others = tuple(setting for setting in base.settings if setting.key != key)
    if value is None:
        return dataclasses.replace(base, settings=others)
    return dataclasses.replace(base, settings=(*others, Setting(key, value)))
