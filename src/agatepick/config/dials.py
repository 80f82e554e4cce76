"""Outgoing connections to the listed entries."""

import collections.abc

from agatepick import core


class Dials:
    """Set of the entries that this entry dials, with their addresses."""

    def __init__(self) -> None:
        self._addresses: dict[str, str] = {}

    def update(
        self,
        wanted: collections.abc.Mapping[str, str],
        connected: collections.abc.Container[str],
    ) -> list[object]:
        """Dial the listed entries; hang up on others that have disconnected.

        :param wanted: addresses of the listed entries, by name.
        :param connected: names of the entries that are connected.
        """
        effects: list[object] = []
        for name, address in wanted.items():
            effects += self._dial(name, address)
        for name in self._addresses.keys() - wanted.keys():
            effects += self.hang_up(name, wanted, connected)
        return effects

    def hang_up(
        self,
        name: str,
        wanted: collections.abc.Container[str],
        connected: collections.abc.Container[str],
    ) -> list[object]:
        """Stop dialling entry ``name`` if it is removed and has disconnected.

        A stopping entry is removed first and then finishes its jobs, whose
        answers still arrive over the connection.
        """
        if name in wanted or name in connected or name not in self._addresses:
            return []
        del self._addresses[name]
        return [core.Hangup(name)]

    def _dial(self, name: str, address: str) -> list[object]:
        old = self._addresses.get(name)
        if old == address:
            return []
        self._addresses[name] = address
        dial = core.Dial(name, address)
        return [dial] if old is None else [core.Hangup(name), dial]
