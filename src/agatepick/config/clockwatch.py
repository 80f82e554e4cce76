"""Comparison of the local clock with the clocks of connected peers."""

from agatepick.net import clocks
from agatepick.net import connections
from agatepick.net import messages

SAMPLE_EXPIRY_SECONDS = 3 * connections.SAMPLE_RENEWAL_SECONDS
"""Age at which a clock sample expires and its peer is ignored.

The peer's lease grants are ignored from then on, so the expiry must exceed the
time in which the links renew a sample, even if messages are lost.
"""


class ClockWatch:
    """Monitor of the clock offsets of peers, derived from their pongs.

    :param margin_seconds: largest accepted clock difference, in seconds.
    """

    def __init__(self, margin_seconds: float):
        self._margin_seconds = margin_seconds
        self._peers: dict[str, clocks.OffsetEstimate] = {}
        self._sampled_at: dict[str, float] = {}
        self._trusted = True

    def add(self, peer: str, pong: messages.Pong, now: float) -> None:
        """Add a clock sample of a peer.

        :param now: when the pong arrived, by the local clock.
        """
        sample = clocks.compute_offset(
            pong.sent, pong.received, pong.replied, now
        )
        estimate = self._peers.setdefault(peer, clocks.OffsetEstimate())
        estimate.add(sample)
        self._sampled_at[peer] = now
        for name, sampled_at in list(self._sampled_at.items()):
            if sampled_at < now - SAMPLE_EXPIRY_SECONDS:
                self.discard(name)
        self._update_trust()

    def discard(self, peer: str) -> None:
        """Discard the samples of a peer.

        The next process with the same name may have another clock.
        """
        self._peers.pop(peer, None)
        self._sampled_at.pop(peer, None)
        self._update_trust()

    def agrees(self, peer: str) -> bool:
        """Return whether a peer's offset is known and within the margin."""
        estimate = self._peers.get(peer)
        return estimate is not None and estimate.best.within(
            self._margin_seconds
        )

    @property
    def trusted(self) -> bool:
        """Return whether the local clock agrees with enough of its peers.

        An entry whose clock is ahead writes a stamp that is ahead to the
        store's head row, and every later change comes into force late by the
        same amount: a clock that is an hour ahead lets a removed zone receive
        tasks for an hour.  The local clock is distrusted once more than half
        of the peers differ from it by more than the margin, measurement error
        deducted.  With a single peer it can't be decided which clock is wrong,
        so both processes distrust their own.
        """
        return self._trusted

    def _update_trust(self) -> None:
        differing = sum(
            self._exceeds_margin(estimate) for estimate in self._peers.values()
        )
        self._trusted = 2 * differing <= len(self._peers)

    def _exceeds_margin(self, estimate: clocks.OffsetEstimate) -> bool:
        best = estimate.best
        return abs(best.seconds) - best.error_seconds > self._margin_seconds
