"""An agent's connections to entries, and the offsets of their clocks.

The agent always dials the seeds, the addresses of entries in its settings.  A
seed's address serves as the entry's name until the entry has sent its name.
Other entries are dialled while they are listed.
"""

import collections.abc
import dataclasses

from agatepick.agentside import ledger
from agatepick import core
from agatepick.net import clocks
from agatepick.net import messages
from agatepick import types

ROLE_ENTRY = 'entry'


@dataclasses.dataclass(slots=True)
class ConnectedEntry:
    """An entry that is connected to the agent.

    :param owner: name and incarnation of the entry.
    :param clock: estimated offset of the entry's clock from the agent's.
    :param joined: whether the entry may get credits.
    """

    owner: ledger.EntryId
    clock: clocks.OffsetEstimate = dataclasses.field(
        default_factory=clocks.OffsetEstimate
    )
    joined: bool = False


class Entries:
    """The entries that are connected or dialled.

    :param seeds: addresses of entries, ``ip:port``.
    """

    def __init__(self, seeds: tuple[str, ...]):
        self._seeds = seeds
        self._dialled: dict[str, types.PeerName] = {}
        self._connected: dict[types.PeerName, ConnectedEntry] = {}

    def __iter__(self) -> collections.abc.Iterator[ConnectedEntry]:
        return iter(tuple(self._connected.values()))

    def get(self, name: types.PeerName) -> ConnectedEntry | None:
        """Return the entry that is connected under a name, or ``None``."""
        return self._connected.get(name)

    def is_connected(self, owner: ledger.EntryId) -> bool:
        """Return whether this incarnation of an entry is connected."""
        entry = self._connected.get(owner.name)
        return entry is not None and entry.owner == owner

    def add(self, hello: messages.Hello) -> ConnectedEntry:
        """Add an entry that has connected, and return it."""
        owner = ledger.EntryId(hello.name, hello.incarnation)
        self._connected[hello.name] = ConnectedEntry(owner)
        return self._connected[hello.name]

    def remove(
        self, name: types.PeerName, incarnation: int
    ) -> ConnectedEntry | None:
        """Remove and return a disconnected entry.

        :returns: ``None`` if this incarnation wasn't connected.
        """
        entry = self._connected.get(name)
        if entry is None or entry.owner.incarnation != incarnation:
            return None
        return self._connected.pop(name)

    def dial_seeds(self) -> list[object]:
        """Return the effects that dial each seed not dialled yet."""
        return self._dial({seed: seed for seed in self._seeds})

    def dial_listed(self, listed: list[messages.Member]) -> list[object]:
        """Return the effects that dial listed entries and hang up on others.

        A seed's address isn't dialled a second time under the entry's name:
        two connections to one process would end each other.
        """
        wanted = {member.address: member.name for member in listed}
        effects: list[object] = []
        for address, name in list(self._dialled.items()):
            if address not in self._seeds and wanted.get(address) != name:
                del self._dialled[address]
                effects.append(core.Hangup(name))
        return effects + self._dial(wanted)

    def _dial(self, wanted: dict[str, types.PeerName]) -> list[object]:
        effects: list[object] = []
        for address, name in wanted.items():
            if address not in self._dialled:
                self._dialled[address] = name
                effects.append(core.Dial(name, address))
        return effects
