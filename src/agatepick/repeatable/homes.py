"""The entries that know where a job is: a home for each job's key.

The home is chosen by rendezvous hashing among the other entries, so entries
need no coordination, and one that is added or lost moves only its own share.
Keys are grouped, and the choice for a group is kept while no entry comes or
goes, as weighing all entries for each job would take longer than asking one.
Only entries that have answered of late are chosen: the list of entries may
hold hundreds that are gone.
"""

import dataclasses
import math
import typing
import zlib

from agatepick import core
from agatepick.decisions import backoff
from agatepick.net import messages
from agatepick.repeatable import events
from agatepick.repeatable import rendezvous
from agatepick import types

ANSWER_SECONDS = 0.1
"""Time for an answer, many round trips and some turns of a busy loop; an entry
that needs longer isn't awaited until it answers again."""

LOST_SECONDS = 5.0
"""Time for which an entry that doesn't answer is still told of jobs, as it may
only be slow."""

NEW_SECONDS = 1.0
"""Time for which an entry that was just listed may not have answered yet."""

PROBE_DELAYS = backoff.BackoffDelays(first_seconds=0.1, max_seconds=4.0)
"""Pauses between the probes of an entry that doesn't answer."""

MAX_PROBES = 8
"""Largest number of probes sent at once."""

SLOTS = 4096
"""Number of groups of keys; the keys of one have the same home."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The entries to ask about one job.

    :param awaited: address of the one whose answer is awaited; empty if there
        is none.
    :param told: addresses of those that are only told.
    """

    awaited: str = ''
    told: tuple[str, ...] = ()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of all of them."""
        return (self.awaited, *self.told) if self.awaited else ()


class _Peer:
    """Another entry.

    :ivar live: whether it has answered all that it was asked of late.
    :ivar asked_at: instant of the oldest request without an answer.
    :ivar silent_since: the same for an entry that isn't live any more.
    """

    def __init__(self, name: types.PeerName, address: str, now: float) -> None:
        self.name = name
        self.address = address
        self.live = False
        self.asked_at: float | None = None
        self.silent_since: float | None = None
        self.listed_at = now
        self.lost_at = now - LOST_SECONDS
        self.probe_at = now
        self.probes = backoff.Backoff(PROBE_DELAYS)

    @property
    def known_until(self) -> float:
        """Instant from which it counts as gone."""
        return math.inf if self.live else self.lost_at + LOST_SECONDS

    def is_known(self, now: float) -> bool:
        """Return whether it has answered of late."""
        return now < self.known_until


class Homes:
    """The other entries, and which of them answer.

    :param own_name: name of this entry.
    :ivar listed: whether the list of entries has been read.
    """

    def __init__(self, own_name: types.PeerName) -> None:
        self._own_name = own_name
        self._peers: dict[str, _Peer] = {}
        self._choices: dict[int, Choice] = {}
        self._choices_until = math.inf
        self.listed = False

    def update(
        self, entries: typing.Iterable[events.ListedEntry], now: float
    ) -> None:
        """Replace the list of entries."""
        self.listed = True
        listed = {
            entry.address: entry.name
            for entry in entries
            if entry.name != self._own_name
        }
        self._peers = {
            address: self._peers.get(address) or _Peer(name, address, now)
            for address, name in listed.items()
        }
        self._choices.clear()

    @property
    def live_count(self) -> int:
        """Number of the other entries that answer."""
        return sum(peer.live for peer in self._peers.values())

    def get_addresses(self, now: float) -> list[str]:
        """Return the addresses of the entries that may have a job.

        These answered of late, or were listed too late to have answered.
        """
        return [
            peer.address
            for peer in self._peers.values()
            if peer.is_known(now) or now < peer.listed_at + NEW_SECONDS
        ]

    def choose(
        self, key: types.JobKey, now: float, *, instead_of: str = ''
    ) -> Choice:
        """Return whom to ask about a job.

        Where none of those that answered of late is live, this entry may be
        the one that was cut off: the first of them is awaited all the same.

        :param instead_of: address of an entry that doesn't answer.
        """
        slot = zlib.crc32(key.encode()) % SLOTS
        if instead_of:
            return self._rank(slot, now, instead_of)
        if now >= self._choices_until:
            self._choices.clear()
        if not self._choices:
            self._choices_until = self._find_next_forgotten(now)
        choice = self._choices.get(slot)
        if choice is None:
            choice = self._choices[slot] = self._rank(slot, now)
        return choice

    def _find_next_forgotten(self, now: float) -> float:
        """Return when the next silent entry counts as gone."""
        return min(
            (
                peer.known_until
                for peer in self._peers.values()
                if peer.is_known(now)
            ),
            default=math.inf,
        )

    def _rank(self, slot: int, now: float, instead_of: str = '') -> Choice:
        """Return the choice for a group of keys, by rendezvous hashing."""
        known = sorted(
            (
                peer
                for peer in self._peers.values()
                if peer.is_known(now) and peer.address != instead_of
            ),
            key=lambda peer: rendezvous.weigh(str(slot), peer.name),
        )
        told: list[str] = []
        for peer in known:
            if peer.live:
                return Choice(peer.address, tuple(told))
            told.append(peer.address)
        return Choice(told[0], tuple(told[1:])) if told else Choice()

    def precedes(self, address: str) -> bool:
        """Return whether this entry precedes another one, by their names."""
        peer = self._peers.get(address)
        return peer is None or self._own_name < peer.name

    def ask(
        self, address: str, message: messages.Message, now: float
    ) -> core.SendDatagram:
        """Send an entry a message that it answers."""
        self.record_asked(address, now)
        return core.SendDatagram(address, message)

    def record_asked(self, address: str, now: float) -> None:
        """Record that an entry was asked."""
        peer = self._peers.get(address)
        if peer is not None and peer.asked_at is None:
            peer.asked_at = now

    def record_heard(self, address: str) -> None:
        """Record that a message came from an entry."""
        peer = self._peers.get(address)
        if peer is not None:
            if not peer.live:
                self._choices.clear()
            peer.live = True
            peer.asked_at = None
            peer.silent_since = None
            peer.probes.reset()

    def get_silent_since(self, address: str) -> float | None:
        """Return since when an entry hasn't answered, if it is lost."""
        peer = self._peers.get(address)
        return None if peer is None else peer.silent_since

    def find_lost(self, now: float) -> list[str]:
        """Return the entries that have just been found not to answer."""
        lost: list[str] = []
        for peer in self._peers.values():
            if not peer.live or peer.asked_at is None:
                continue
            if now > peer.asked_at + ANSWER_SECONDS:
                peer.live = False
                peer.silent_since = peer.asked_at
                peer.lost_at = now
                peer.probe_at = now
                lost.append(peer.address)
        if lost:
            self._choices.clear()
        return lost

    def find_to_probe(self, now: float) -> list[str]:
        """Return the entries that are to be probed now."""
        due = [
            peer
            for peer in self._peers.values()
            if not peer.live and now >= peer.probe_at
        ][:MAX_PROBES]
        for peer in due:
            peer.asked_at = None
            peer.probe_at = now + peer.probes.record_failure()
        return [peer.address for peer in due]
