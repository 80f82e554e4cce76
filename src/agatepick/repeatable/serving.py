"""Choice of the entries that an agent serves.

Load pattern: many agents and many entries.  Each pair costs both sides
renewals, capacity updates and requests, whether jobs arrive or not, and with
thousands of agents an entry could do nothing else.  An agent therefore serves
only a few entries, and each entry has its share of the workers.

The entries are chosen by rendezvous hashing: agents need no coordination, and
an entry that is added or removed moves only its own share.  Zones alternate,
so that every zone's entries reach workers in all zones.  An entry that stays
disconnected is replaced by the next one; once it is back, the substitute gets
no more capacity, and is disconnected when its runs have ended.
"""

import itertools
import typing

from agatepick import core
from agatepick.repeatable import events
from agatepick.repeatable import rendezvous
from agatepick import types

SERVED_ENTRY_COUNT = 4
"""Number of entries that an agent serves: each entry reaches that many times
the workers that its part of the load needs, and if one entry is lost, the
agent still serves the others."""

MAX_DISCONNECTED_SECONDS = 2.0
"""Time without a connection after which an entry is replaced.  The connection
of a silent entry is closed after 1.2 s, and a killed process is back in about
1 s."""

LEAVE_SECONDS = 1.0
"""Time for which an entry is still served after the update which tells it that
it gets no more capacity: this is many round trips, so starts that the entry
sent before are accepted."""

Names = typing.Collection[types.PeerName]


class Serving:
    """Entries that one agent serves."""

    def __init__(self, name: types.PeerName) -> None:
        self._name = name
        self._entries: dict[types.PeerName, events.ListedEntry] = {}
        self._ranking: list[types.PeerName] = []
        self._dialled: set[types.PeerName] = set()
        self._disconnected_since: dict[types.PeerName, float] = {}
        self._leaving_since: dict[types.PeerName, float] = {}

    def update_entries(
        self, entries: tuple[events.ListedEntry, ...]
    ) -> list[object]:
        """Replace the list of entries, and disconnect those that are gone."""
        listed = {entry.name: entry for entry in entries}
        effects: list[object] = []
        for name in sorted(self._dialled):
            if listed.get(name) != self._entries[name]:
                effects += self._hang_up(name)
                effects.append(core.note('entry_unlisted', peer=name))
        self._entries = listed
        self._ranking = self._rank_entries()
        return effects

    def is_leaving(self, name: types.PeerName) -> bool:
        """Return whether an entry gets no more capacity."""
        return name in self._leaving_since

    def review(
        self, now: float, connected: Names, busy: Names
    ) -> list[object]:
        """Dial the entries that are to be served, and leave the others.

        :param connected: entries with a connection.
        :param busy: entries with runs here.
        """
        for name in self._dialled:
            if name in connected:
                self._disconnected_since.pop(name, None)
            else:
                self._disconnected_since.setdefault(name, now)
        served = self._choose_entries(now)
        effects: list[object] = []
        for name in served:
            self._leaving_since.pop(name, None)
            if name not in self._dialled:
                effects += self._dial(name, now)
        for name in sorted(self._dialled.difference(served)):
            since = self._leaving_since.setdefault(name, now)
            if name in busy:
                self._leaving_since[name] = now
            elif name not in connected or now >= since + LEAVE_SECONDS:
                effects += self._hang_up(name)
                effects.append(core.note('entry_left', peer=name))
        return effects

    def _choose_entries(self, now: float) -> list[types.PeerName]:
        """Return the first few reachable entries in order of rank.

        Unreachable entries of a higher rank are included.
        """
        served: list[types.PeerName] = []
        reachable = 0
        for name in self._ranking:
            if reachable == SERVED_ENTRY_COUNT:
                break
            served.append(name)
            reachable += (
                now
                < self._disconnected_since.get(name, now)
                + MAX_DISCONNECTED_SECONDS
            )
        return served

    def _rank_entries(self) -> list[types.PeerName]:
        by_zone: dict[str, list[types.PeerName]] = {}
        for name in sorted(
            self._entries,
            key=lambda entry: rendezvous.weigh(self._name, entry),
        ):
            by_zone.setdefault(self._entries[name].zone, []).append(name)
        rounds = itertools.zip_longest(*by_zone.values())
        return [
            name
            for one_round in rounds
            for name in one_round
            if name is not None
        ]

    def _dial(self, name: types.PeerName, now: float) -> list[object]:
        address = self._entries[name].address
        self._dialled.add(name)
        self._disconnected_since[name] = now
        return [
            core.Dial(name, address),
            core.note('entry_served', peer=name, address=address),
        ]

    def _hang_up(self, name: types.PeerName) -> list[object]:
        self._dialled.discard(name)
        self._disconnected_since.pop(name, None)
        self._leaving_since.pop(name, None)
        return [core.Hangup(name)]
