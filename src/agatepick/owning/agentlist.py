"""The agents that an entry is connected to, and the slots they offer."""

from agatepick.decisions import dispatch
from agatepick.net import messages
from agatepick import types


class AgentList:
    """Connected, leaving and disconnected agents of one entry.

    :param patience: seconds that a disconnected agent has to reconnect.
    """

    def __init__(self, dispatcher: dispatch.Dispatch, patience: float):
        self.connected: dict[types.PeerName, messages.Hello] = {}
        self._dispatch = dispatcher
        self._patience = patience
        self._offers: dict[types.PeerName, messages.Offer] = {}
        self._leaving: frozenset[types.PeerName] = frozenset()
        self._awaited: dict[types.PeerName, float] = {}

    def up(self, hello: messages.Hello) -> None:
        """Add an agent that has connected."""
        self.connected[hello.name] = hello
        self._awaited.pop(hello.name, None)

    def down(self, name: types.PeerName, now: float) -> None:
        """Remove a disconnected agent and start its reconnect timeout."""
        del self.connected[name]
        self._offers.pop(name, None)
        self._dispatch.agent_gone(name)
        self._awaited[name] = now + self._patience

    def given_up(self, now: float) -> list[types.PeerName]:
        """Return the agents whose reconnect timeout passed, each once."""
        late = [name for name, at in self._awaited.items() if at <= now]
        for name in late:
            del self._awaited[name]
        return late

    def speaks(self, name: types.PeerName, incarnation: int) -> bool:
        """Return whether a message is from the connected incarnation.

        Messages of an earlier incarnation about slots and tasks are invalid.
        """
        hello = self.connected.get(name)
        return hello is not None and hello.incarnation == incarnation

    def offered(
        self, name: types.PeerName, offer: messages.Offer, now: float
    ) -> None:
        """Store an agent's offer of slots and pass it to the dispatcher."""
        self._offers[name] = offer
        self._pass_offer(name, now)

    def set_leaving(
        self, leaving: frozenset[types.PeerName], now: float
    ) -> None:
        """Place no tasks at agents that operators have marked as leaving."""
        for name in sorted(leaving - self._leaving):
            self._dispatch.agent_gone(name)
        cleared = self._leaving - leaving
        self._leaving = leaving
        for name in sorted(cleared):
            self._pass_offer(name, now)

    def _pass_offer(self, name: types.PeerName, now: float) -> None:
        hello = self.connected.get(name)
        offer = self._offers.get(name)
        if hello is None or offer is None or name in self._leaving:
            return
        info = dispatch.AgentInfo(
            name, hello.incarnation, hello.zone, hello.rack
        )
        self._dispatch.agent_offers(info, offer, now)
