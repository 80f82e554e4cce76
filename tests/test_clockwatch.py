import asyncio

from agatepick.config import clockwatch
from agatepick.net import connections
from agatepick.net import messages

NOW = 1_800_000_000.0
MARGIN_SECONDS = 0.25


def pong(at, trip=0.001, offset=0.0):
    """Return a pong that arrived at ``at`` from a peer with a clock offset."""
    sent = at - trip
    there = sent + trip / 2 + offset
    return messages.Pong(sent, there, there)


def test_a_sample_is_valid_until_the_links_renew_it():
    """Two entries exchange messages, so their links rarely send pings.

    If a sample expired before the next one, each entry would ignore the
    other's lease grants: in an outage of the store all leases would expire,
    and callers' jobs would be refused.
    """
    watch = clockwatch.ClockWatch(MARGIN_SECONDS)
    watch.add('e1', pong(NOW), NOW)
    later = (
        NOW
        + connections.SAMPLE_RENEWAL_SECONDS
        + connections.HEARTBEAT_INTERVAL_SECONDS
    )
    watch.add('a1', pong(later), later)
    assert watch.agrees('e1')


def test_a_lost_peer_does_not_count_in_the_trust_of_the_clock():
    watch = clockwatch.ClockWatch(MARGIN_SECONDS)
    watch.add('e1', pong(NOW, offset=9.0), NOW)
    watch.add('a1', pong(NOW), NOW)
    watch.add('a2', pong(NOW), NOW)
    assert watch.trusted and not watch.agrees('e1')
    watch.discard('a1')
    watch.discard('a2')
    assert not watch.trusted
    late = NOW + clockwatch.SAMPLE_EXPIRY_SECONDS + 1
    watch.add('a1', pong(late), late)
    assert watch.trusted


def test_a_late_pong_is_followed_by_another_ping():
    """A process that is busy starting answers its first ping late.

    The sample's error bound is too wide.  Without another ping, the grants
    and starts of that process would be refused until the sample is renewed.
    """

    async def main():
        conn = connections.Connection(
            connections.Traffic(), bytearray(), print
        )
        conn.last_message_at = NOW
        conn.record_pong(pong(NOW, trip=0.5), NOW)
        assert conn.needs_ping(NOW)
        conn.record_pong(pong(NOW, trip=0.01), NOW)
        assert not conn.needs_ping(NOW + 0.5)
        conn.last_message_at = NOW + connections.SAMPLE_RENEWAL_SECONDS
        assert conn.needs_ping(NOW + connections.SAMPLE_RENEWAL_SECONDS)

    asyncio.run(main())
