import math

from agatepick.config import cluster
from agatepick.config import readlease

RULES = readlease.Rules(fence=3.0, margin=0.25)


def uncertain(change, stamp=90.0, at=103.0):
    row = cluster.ChangeRow(6, at, change, 'w', 1, 1)
    return cluster.Uncertain(row, stamp)


def extended(*peers, lease=101.0, doubts=()):
    return readlease.extend(lease, 100.0, 5, peers, doubts, RULES)


def test_a_lease_reaches_as_far_as_the_oldest_grant():
    newer = readlease.PeerGrant(5, 99.5)
    older = readlease.PeerGrant(4, 99.0)
    assert extended(newer, older) == 101.75
    assert extended(newer, readlease.PeerGrant()) == 101.0


def test_a_lease_never_reaches_past_a_fence_from_now():
    """The only listed entry has no peer to ask, and may write itself."""
    assert extended() == 102.75


def test_a_lease_that_ran_out_is_not_restored_by_peers():
    """A paused process wakes up and finds fresh grants in its buffers."""
    assert extended(readlease.PeerGrant(5, 100.0), lease=100.0) == 100.0


def test_a_peer_that_knows_more_extends_nothing():
    assert extended(readlease.PeerGrant(6, 100.0)) == 101.0


def test_a_peer_counts_for_ever_only_if_it_died_while_its_grant_was_good():
    """A killed process stops nobody; one that was silent before might."""
    grant = readlease.PeerGrant(5, 90.0)
    assert grant.died(92.75, RULES).until(RULES) == math.inf
    assert grant.died(92.76, RULES).until(RULES) == 92.75


def test_the_intent_of_a_dead_peer_is_unsettled():
    """A writer dies just after its peers acknowledged what it would write."""
    doubt = uncertain(cluster.PresetUse('peak'))
    grant = readlease.PeerGrant(5, 99.0, intent=doubt)
    assert grant.unsettled() == ()
    assert grant.died(99.5, RULES).unsettled() == (doubt,)


def test_an_uncertain_preset_ends_starts_an_uncertain_departure_its_zone():
    preset = uncertain(cluster.PresetUse('peak'), at=102.0)
    assert extended(doubts=[preset]) == 101.75
    departure = uncertain(cluster.ZoneOut('a'), at=102.0)
    assert extended(doubts=[departure]) == 102.75
    assert readlease.zone_bound('a', [departure]) == 102.0
    assert readlease.zone_bound('b', [departure]) == math.inf


def test_a_newer_stamp_or_version_settles_an_uncertain_change():
    doubt = uncertain(cluster.ZoneOut('a'))
    assert readlease.live([doubt], cluster.Head(5, 90.0)) == (doubt,)
    assert readlease.live([doubt], cluster.Head(5, 90.1)) == ()
    assert readlease.live([doubt], cluster.Head(6, 90.0)) == ()
