import math

from agatepick.config import cluster
from agatepick.config import readlease

DURATIONS = readlease.LeaseDurations(fence_seconds=3.0, margin_seconds=0.25)


def uncertain_change(change, stamp=90.0, at=103.0):
    """Return a change that may be in the store, in force from ``at`` on."""
    row = cluster.ChangeRow(6, at, change, 'w', 1, 1)
    return cluster.UncertainChange(row, stamp)


def extend_lease(*peers, lease=101.0, changes=()):
    """Return the end of a lease after its extension at instant 100."""
    return readlease.extend_lease(lease, 100.0, 5, peers, changes, DURATIONS)


def test_a_lease_is_extended_up_to_the_end_of_the_oldest_grant():
    newer = readlease.PeerGrant(5, 99.5)
    older = readlease.PeerGrant(4, 99.0)
    assert extend_lease(newer, older) == 101.75
    assert extend_lease(newer, readlease.PeerGrant()) == 101.0


def test_a_lease_ends_within_a_fence_from_now():
    """The only listed entry needs no grants of others to extend its lease.

    As the entry may write a change itself, its lease must still end.
    """
    assert extend_lease() == 102.75


def test_an_expired_lease_is_not_restored_by_peers():
    """A resumed process reads recent grants from its buffers.

    They must not restore its expired lease, as a change may have come into
    force during the pause.
    """
    assert extend_lease(readlease.PeerGrant(5, 100.0), lease=100.0) == 100.0


def test_a_grant_of_a_newer_version_does_not_extend_the_lease():
    assert extend_lease(readlease.PeerGrant(6, 100.0)) == 101.0


def test_a_grant_stays_valid_only_if_its_peer_died_before_its_end():
    """A dead process writes no change, but a silent one may have written one.

    The death of a process must not end the leases of its peers, unless its
    grant to them had expired before.
    """
    grant = readlease.PeerGrant(5, 90.0)
    assert (
        grant.mark_dead(92.75, DURATIONS).compute_lease_end(DURATIONS)
        == math.inf
    )
    assert (
        grant.mark_dead(92.76, DURATIONS).compute_lease_end(DURATIONS) == 92.75
    )


def test_the_intent_of_a_dead_peer_is_uncertain():
    """A writer dies after its peers acknowledged its intent.

    The change may have reached the store, so they must count it as possible.
    """
    change = uncertain_change(cluster.PresetUse('peak'))
    grant = readlease.PeerGrant(5, 99.0, intent=change)
    assert grant.uncertain_changes() == ()
    assert grant.mark_dead(99.5, DURATIONS).uncertain_changes() == (change,)


def test_an_uncertain_preset_limits_the_lease_and_a_departure_its_zone():
    preset = uncertain_change(cluster.PresetUse('peak'), at=102.0)
    assert extend_lease(changes=[preset]) == 101.75
    departure = uncertain_change(cluster.ZoneOut('a'), at=102.0)
    assert extend_lease(changes=[departure]) == 102.75
    assert readlease.find_departure_time('a', [departure]) == 102.0
    assert readlease.find_departure_time('b', [departure]) == math.inf


def test_a_newer_stamp_or_version_resolves_an_uncertain_change():
    change = uncertain_change(cluster.ZoneOut('a'))
    assert readlease.select_uncertain([change], cluster.Head(5, 90.0)) == (
        change,
    )
    assert readlease.select_uncertain([change], cluster.Head(5, 90.1)) == ()
    assert readlease.select_uncertain([change], cluster.Head(6, 90.0)) == ()
