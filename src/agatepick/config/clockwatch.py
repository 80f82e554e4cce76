"""Which peers' clocks agree with ours, and whether ours can be trusted."""

from agatepick.net import clocks
from agatepick.net import links
from agatepick.net import messages

FRESH_SECONDS = 3 * links.SAMPLE_SECONDS
"""A peer without a sample for so long has gone; its clock has no vote.

Its lease grants don't count from then on, so this must be longer than the
links take to renew a sample, whatever is lost.
"""


class ClockWatch:
    """Offsets of all connected peers, from their answers to our pings."""

    def __init__(self, margin: float):
        self._margin = margin
        self._peers: dict[str, clocks.OffsetEstimate] = {}
        self._heard: dict[str, float] = {}
        self._trusted = True

    def add(self, peer: str, pong: messages.Pong, now: float) -> None:
        """Take one sample; ``now`` is when the answer arrived."""
        sample = clocks.offset(pong.sent, pong.received, pong.replied, now)
        estimate = self._peers.setdefault(peer, clocks.OffsetEstimate())
        estimate.add(sample)
        self._heard[peer] = now
        for name, heard in list(self._heard.items()):
            if heard < now - FRESH_SECONDS:
                self.forget(name)
        self._judge()

    def forget(self, peer: str) -> None:
        """A peer disconnected; the next process of its name is measured."""
        self._peers.pop(peer, None)
        self._heard.pop(peer, None)
        self._judge()

    def agrees(self, peer: str) -> bool:
        """Whether a peer's offset is known and within the margin."""
        estimate = self._peers.get(peer)
        return estimate is not None and estimate.best.within(self._margin)

    @property
    def trusted(self) -> bool:
        """Whether our clock is right as far as its peers can tell.

        A clock that is ahead would stamp the head ahead, and every change
        after it would be in force late by as much: a zone taken out would
        get tasks for an hour.  More than half of the peers surely off by
        more than the margin say that it's ours that is wrong.  Between two
        processes alone nobody can tell, and neither is trusted.
        """
        return self._trusted

    def _judge(self) -> None:
        off = sum(self._surely_off(one) for one in self._peers.values())
        self._trusted = 2 * off <= len(self._peers)

    def _surely_off(self, estimate: clocks.OffsetEstimate) -> bool:
        best = estimate.best
        return abs(best.seconds) - best.error > self._margin
