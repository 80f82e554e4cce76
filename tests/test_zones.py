from agatepick.config import cluster
from agatepick.decisions import zones


def test_a_zone_that_was_never_out_has_all_its_slots():
    assert zones.get_share(None, 10.0) == 1.0
    assert zones.get_share(cluster.Zone('a', True, 5.0), 10.0) == 0.0


def test_a_returned_zone_does_not_get_the_whole_queue_at_once():
    """Operators return a zone while a queue waits for slots.

    Without the ramp its cold upstreams get the whole queue, and callers wait
    for the slowest of them.
    """
    back = cluster.Zone('a', False, 100.0)
    instants = [100.0 + tenth / 10 for tenth in range(30)]
    shares = [zones.get_share(back, now) for now in instants]
    assert shares[0] == zones.FIRST_SHARE
    assert shares == sorted(shares)
    assert shares[-10:] == [1.0] * 10
    assert len(set(shares)) <= zones.RAMP_STEPS
