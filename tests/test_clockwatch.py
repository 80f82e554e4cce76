import asyncio

from agatepick.config import clockwatch
from agatepick.net import links
from agatepick.net import messages

NOW = 1_800_000_000.0
MARGIN = 0.25


def pong(at, trip=0.001, offset=0.0):
    """An answer that came at ``at``, by a peer's clock off by ``offset``."""
    sent = at - trip
    there = sent + trip / 2 + offset
    return messages.Pong(sent, there, there)


def test_a_sample_counts_until_the_links_renew_it():
    """Messages flow between two entries, so their links send few pings.

    Were the sample dropped before the next one, each would stop counting
    the other's lease grants: in an outage of the store all starts end, and
    callers are refused for want of a lease.
    """
    watch = clockwatch.ClockWatch(MARGIN)
    watch.add('e1', pong(NOW), NOW)
    later = NOW + links.SAMPLE_SECONDS + links.HEARTBEAT_SECONDS
    watch.add('a1', pong(later), later)
    assert watch.agrees('e1')


def test_a_peer_that_is_gone_loses_its_vote():
    watch = clockwatch.ClockWatch(MARGIN)
    watch.add('e1', pong(NOW, offset=9.0), NOW)
    watch.add('a1', pong(NOW), NOW)
    watch.add('a2', pong(NOW), NOW)
    assert watch.trusted and not watch.agrees('e1')
    watch.forget('a1')
    watch.forget('a2')
    assert not watch.trusted
    late = NOW + clockwatch.FRESH_SECONDS + 1
    watch.add('a1', pong(late), late)
    assert watch.trusted


def test_a_late_answer_is_asked_again_soon():
    """A process was busy while it started and answered its first ping late.

    Its clock is known too roughly to rely on; without a second ping soon,
    its grants and starts would be refused for as long as a sample is kept.
    """

    async def main():
        conn = links.Connection(links.Traffic(), bytearray(), print)
        conn.heard_at = NOW
        conn.sampled(pong(NOW, trip=0.5), NOW)
        assert conn.needs_ping(NOW)
        conn.sampled(pong(NOW, trip=0.01), NOW)
        assert not conn.needs_ping(NOW + 0.5)
        conn.heard_at = NOW + links.SAMPLE_SECONDS
        assert conn.needs_ping(NOW + links.SAMPLE_SECONDS)

    asyncio.run(main())
