"""The agents that an entry is connected to, and the slots they offer."""

from agatepick.decisions import dispatch
from agatepick.net import messages
from agatepick import types


class AgentList:
    """Connected, leaving and disconnected agents of one entry.

    :param reconnect_timeout: seconds that a disconnected agent has to
        reconnect.
    """

    def __init__(
        self, dispatcher: dispatch.Dispatch, reconnect_timeout: float
    ):
        self.connected: dict[types.PeerName, messages.Hello] = {}
        self._dispatch = dispatcher
        self._reconnect_timeout = reconnect_timeout
        self._offers: dict[types.PeerName, messages.Offer] = {}
        self._leaving: frozenset[types.PeerName] = frozenset()
        self._reconnect_deadlines: dict[types.PeerName, float] = {}

    def add(self, hello: messages.Hello) -> None:
        """Add an agent that has connected."""
        self.connected[hello.name] = hello
        self._reconnect_deadlines.pop(hello.name, None)

    def remove(self, name: types.PeerName, now: float) -> None:
        """Remove a disconnected agent and start its reconnect timeout."""
        del self.connected[name]
        self._offers.pop(name, None)
        self._dispatch.mark_disconnected(name)
        self._reconnect_deadlines[name] = now + self._reconnect_timeout

    def pop_expired(self, now: float) -> list[types.PeerName]:
        """Remove and return the agents whose reconnect timeout passed."""
        expired = [
            name for name, at in self._reconnect_deadlines.items() if at <= now
        ]
        for name in expired:
            del self._reconnect_deadlines[name]
        return expired

    def is_current(self, name: types.PeerName, incarnation: int) -> bool:
        """Return whether an incarnation of an agent is the connected one.

        Messages that an earlier incarnation sent about its slots and tasks
        are invalid.
        """
        hello = self.connected.get(name)
        return hello is not None and hello.incarnation == incarnation

    def update_offer(
        self, name: types.PeerName, offer: messages.Offer, now: float
    ) -> None:
        """Store an agent's offer of slots and pass it to the dispatcher."""
        self._offers[name] = offer
        self._forward_offer(name, now)

    def set_leaving(
        self, leaving: frozenset[types.PeerName], now: float
    ) -> None:
        """Place no tasks at agents that operators have marked as leaving."""
        for name in sorted(leaving - self._leaving):
            self._dispatch.mark_disconnected(name)
        returning = self._leaving - leaving
        self._leaving = leaving
        for name in sorted(returning):
            self._forward_offer(name, now)

    def _forward_offer(self, name: types.PeerName, now: float) -> None:
        hello = self.connected.get(name)
        offer = self._offers.get(name)
        if hello is None or offer is None or name in self._leaving:
            return
        info = dispatch.AgentInfo(
            name, hello.incarnation, hello.zone, hello.rack
        )
        self._dispatch.apply_offer(info, offer, now)
