"""Behaviour of entries when the store, peers or clocks fail."""

import pytest

from agatepick.config import cluster
from agatepick import core
from agatepick.net import messages
from tests import virtual_cluster

DURATIONS = virtual_cluster.DURATIONS
ZONE_A_OUT = cluster.ZoneOut('a')


@pytest.fixture
def world():
    """Return a cluster of three listed entries that hold their leases."""
    simulation = virtual_cluster.Cluster()
    run(simulation, 10.0)
    assert simulation.leases() == ['x', 'y', 'z']
    return simulation


def run(world, seconds):
    """Advance the time and check the invariants after every step."""
    for _ in range(round(seconds / virtual_cluster.STEP_SECONDS)):
        world.run(virtual_cluster.STEP_SECONDS)
        world.check_invariants()
    world.check_permits()


def conf(world, name):
    """Return an entry's configuration component."""
    return world.nodes[name].conf


def document(world, name):
    """Return the configuration that is in force at an entry by its clock."""
    return conf(world, name).in_force(world.clock(name))


def status(world, name):
    return conf(world, name).status(world.clock(name))


def zone_open(world, name, zone='a'):
    """Return whether an entry may start tasks in a zone."""
    return conf(world, name).start_before(zone, world.clock(name)) > 0.0


def test_a_zone_goes_out_everywhere_at_one_instant(world):
    number = world.propose('x', ZONE_A_OUT)
    run(world, 1.0)
    outcome = world.proposed[number]
    assert outcome.verdict == 'accepted'
    assert outcome.in_force_at <= world.now + DURATIONS.fence_seconds
    for name in 'xyz':
        assert conf(world, name).version == outcome.version
        now = world.clock(name)
        assert conf(world, name).start_before('a', now) <= outcome.in_force_at
    run(world, outcome.in_force_at - world.now + 0.1)
    assert [zone_open(world, name) for name in 'xyz'] == [False] * 3
    assert zone_open(world, 'x', 'b')


def test_a_departure_and_a_return_in_quick_succession(world):
    """An operator takes a zone out, returns it, and repeats both requests.

    The repetitions change nothing and report the version in which the zone is
    in that state already.
    """
    versions = []
    for change in (
        ZONE_A_OUT,
        ZONE_A_OUT,
        cluster.ZoneIn('a'),
        cluster.ZoneIn('a'),
    ):
        number = world.propose('x', change)
        run(world, 0.5)
        versions.append(world.proposed[number].version)
    assert versions == [4, 4, 5, 5]
    run(world, 5.0)
    assert [zone_open(world, name) for name in 'xyz'] == [True] * 3


def test_of_two_concurrent_changes_only_one_is_accepted(world):
    """Two operators request different presets, both based on version 3.

    One receives a conflict with the version that was written instead, and
    the other's change is the only one that takes effect.
    """
    run(world, 0.0)
    one = world.propose('x', cluster.PresetUse('peak'), 3)
    other = world.propose('y', cluster.PresetUse('maintenance'), 3)
    run(world, 5.0)
    verdicts = sorted([world.verdict(one), world.verdict(other)])
    assert verdicts == ['accepted', 'conflict']
    refused = one if world.verdict(one) == 'conflict' else other
    assert world.proposed[refused].version == 4
    assert len(world.rows()) == 4
    assert len({document(world, name).preset for name in 'xyz'}) == 1


def test_changes_of_different_subjects_do_not_conflict(world):
    """A change that isn't based on a version conflicts only by its subject.

    Otherwise an upstream that announces its leaving would fail an operator's
    request to take a zone out.
    """
    numbers = [
        world.propose('x', ZONE_A_OUT),
        world.propose('y', cluster.UpstreamLeaving('w1')),
        world.propose('z', ZONE_A_OUT),
    ]
    run(world, 5.0)
    verdicts = [world.verdict(one) for one in numbers]
    assert verdicts[1] == 'accepted'
    assert sorted(verdicts) == ['accepted', 'accepted', 'conflict']
    assert len(world.rows()) == 5


def test_a_refused_invalid_change_names_its_field(world):
    number = world.propose('x', cluster.PresetUse('fast'))
    run(world, 0.1)
    assert world.verdict(number) == 'invalid'
    assert world.proposed[number].reason.startswith('preset: ')


def test_starts_go_on_while_the_store_is_down_even_if_an_entry_is_killed(
    world,
):
    """The store is down for a minute, and an entry's process dies meanwhile.

    The other entries must keep their leases, which they extend by each
    other's grants, as a dead process writes no change.  Otherwise callers'
    jobs would be refused during the outage.
    """
    world.set_store('refuse', 'refuse')
    for _ in range(20):
        run(world, 1.0)
        assert world.leases() == ['x', 'y', 'z']
    assert status(world, 'x').lease_source == 'peers'
    world.kill('z')
    for _ in range(40):
        run(world, 1.0)
        assert world.leases() == ['x', 'y']
    number = world.propose('x', ZONE_A_OUT)
    run(world, 0.1)
    assert world.verdict(number) == 'unavailable'
    world.heal()
    run(world, 8.0)
    assert [one.name for one in document(world, 'x').listed()] == ['x', 'y']
    assert status(world, 'x').lease_source == 'store'


def test_a_restart_during_an_outage_waits_for_the_store(world):
    """A new process hasn't read the last changes during an outage.

    Without a lease it must not start tasks, or it would use an old version.
    """
    world.set_store('refuse', 'refuse')
    world.kill('z')
    run(world, 1.0)
    world.start('z')
    run(world, 30.0)
    assert world.leases() == ['x', 'y']
    assert not status(world, 'z').serving
    world.heal()
    run(world, 10.0)
    assert world.leases() == ['x', 'y', 'z']


def test_an_entry_cut_off_from_the_store_then_from_its_peers_stops(world):
    """An entry without store and peers doesn't receive operators' changes.

    It must start no more tasks, and its callers receive "not run".
    """
    world.cut_from_store.add('z')
    run(world, 20.0)
    assert status(world, 'z').lease_source == 'peers'
    number = world.propose('x', ZONE_A_OUT)
    run(world, 5.0)
    assert world.verdict(number) == 'accepted'
    assert not zone_open(world, 'z')
    assert world.leases() == ['x', 'y', 'z']
    world.cut('x', 'z')
    world.cut('y', 'z')
    run(world, DURATIONS.fence_seconds)
    assert world.leases() == ['x', 'y']
    world.heal()
    run(world, 10.0)
    assert world.leases() == ['x', 'y', 'z']


def test_a_lost_answer_is_unknown_until_a_read_settles_it(world):
    """A write takes effect, but its answer is lost, and reads fail too.

    The operator receives "unknown".  From then on no entry starts tasks in
    the zone, since it may be out; starts in other zones continue.
    """
    world.set_store('ok', 'lose')
    number = world.propose('x', ZONE_A_OUT)
    while len(world.rows()) < 4:
        world.run(0.001)
    world.set_store('refuse', 'refuse')
    run(world, 6.0)
    assert world.verdict(number) == 'unknown'
    assert status(world, 'x').uncertain[0].change == ZONE_A_OUT
    assert [zone_open(world, name) for name in 'xyz'] == [False] * 3
    assert zone_open(world, 'y', 'b')
    assert document(world, 'x').version == 3
    world.heal()
    run(world, 2.0)
    assert not status(world, 'x').uncertain
    assert document(world, 'x').zone_out('a')


def test_a_lost_answer_is_resolved_by_the_next_read(world):
    """An answer is lost while reads work.

    The operator must receive within a second whether the change was
    accepted, instead of "unknown".
    """
    world.set_store('ok', 'lose')
    number = world.propose('x', ZONE_A_OUT)
    run(world, 2.0)
    assert world.verdict(number) == 'accepted'


def test_an_uncertain_preset_stops_starts_until_a_read_settles_it(world):
    """The outcome of a preset change is unknown, so two presets are possible.

    No entry may start tasks under either preset until a read resolves it.
    """
    world.set_store('ok', 'hold')
    number = world.propose('x', cluster.PresetUse('peak'))
    run(world, 0.1)
    world.set_store('refuse', 'hold')
    run(world, 6.0)
    assert world.verdict(number) == 'unknown'
    assert world.leases() == []
    world.heal()
    run(world, 5.0)
    assert world.leases() == ['x', 'y', 'z']


def test_a_delayed_write_fails_after_a_renewal(world):
    """A change reaches the store long after its ``in_force_at``.

    If it took effect then, entries that had just read the store's head row
    would start tasks in a zone that was already out.
    """
    world.set_store('ok', 'hold_changes')
    number = world.propose('x', ZONE_A_OUT)
    run(world, 12.0)
    assert world.verdict(number) == 'unavailable'
    assert len(world.held) > 1
    world.heal()
    run(world, 5.0)
    assert len(world.rows()) == 3
    assert zone_open(world, 'x')


def test_a_write_delayed_with_all_renewals_leaves_no_lease(world):
    """Reads succeed while all writes are delayed; then a change arrives.

    A lease that started at the read would still be valid, and an entry would
    use the old preset seconds after the new one came into force.  A lease
    that starts at the stamp has expired.
    """
    world.set_store('ok', 'hold')
    world.propose('x', cluster.PresetUse('peak'))
    run(world, 1.0)
    world.kill('x')
    run(world, 8.0)
    assert deliver_change(world)
    for _ in range(5):
        world.run(0.05)
        world.check_invariants()
    assert len(world.rows()) == 4


def test_a_writer_waits_for_peers_that_rely_on_its_grants(world):
    """A partition keeps a writer's intent from its peers; then it dies.

    Its peers observe its death while its last grants are valid and keep their
    leases for the rest of an outage.  If the writer hadn't waited for them,
    its delayed change would come into force without their knowledge.
    """
    world.set_store('ok', 'hold')
    world.cut('x', 'y')
    world.cut('x', 'z')
    world.propose('x', cluster.PresetUse('peak'))
    run(world, 0.5)
    world.kill('x')
    world.partitions.clear()
    world.set_store('refuse', 'hold')
    run(world, 8.0)
    assert world.leases() == ['y', 'z']
    assert not deliver_change(world)


def deliver_change(world):
    """Deliver the first delayed change; return whether there is one."""
    for _, step in world.held:
        if len(step.request.puts) > 1:
            step()
            world.check_invariants()
            return True
    return False


def test_a_change_accepted_as_its_writer_dies_is_kept(world):
    """A writer dies after the store's answer, before it sends the change.

    The other entries must read the accepted change from the store.
    """
    number = world.propose('x', ZONE_A_OUT)
    while world.verdict(number) is None:
        world.run(0.001)
    world.kill('x')
    run(world, 5.0)
    assert document(world, 'y').zone_out('a')
    assert document(world, 'z').zone_out('a')


def test_a_writer_that_dies_in_an_outage_leaves_its_change_uncertain(world):
    """A writer's transaction is delayed, and no entry can read the store.

    The other entries hold its intent, so they must not start tasks in that
    zone.
    """
    world.set_store('ok', 'hold')
    world.propose('x', ZONE_A_OUT)
    run(world, 0.3)
    world.set_store('refuse', 'hold')
    world.kill('x')
    run(world, 10.0)
    assert world.leases() == ['y', 'z']
    assert not zone_open(world, 'y') and zone_open(world, 'y', 'b')
    world.heal()
    run(world, 10.0)
    assert status(world, 'y').settled


def test_the_grant_of_a_silent_writer_that_dies_late_expires(world):
    """A writer is killed after a partition that outlasted its grants.

    By then it may write without acknowledgements.  Its death proves that it
    writes no more changes, but not that it wrote none before.
    """
    world.cut('x', 'y')
    world.cut('x', 'z')
    run(world, 6.0)
    world.set_store('ok', 'hold')
    world.propose('x', cluster.PresetUse('peak'))
    run(world, 0.3)
    world.kill('x')
    held = world.held
    world.held = []
    world.heal()
    world.set_store('refuse', 'refuse')
    run(world, 10.0)
    assert world.leases() == []
    for _, step in held:
        step()
    run(world, 1.0)


def test_a_paused_entry_resumes_without_a_lease(world):
    """A process is stopped for seconds, while a zone goes out.

    The grants in its buffers must not restore its lease, or it would start
    tasks in that zone.
    """
    world.pause('z')
    number = world.propose('x', ZONE_A_OUT)
    run(world, 8.0)
    assert world.verdict(number) == 'accepted'
    world.set_store('refuse', 'refuse')
    world.resume('z')
    assert world.leases() == ['x', 'y']
    run(world, 1.0)
    assert world.leases() == ['x', 'y']
    world.heal()
    run(world, 2.0)
    assert world.leases() == ['x', 'y', 'z']
    assert not zone_open(world, 'z')


def test_a_silent_entry_is_removed_and_listed_again_later(world):
    """A paused entry's jobs get a new owner.

    The resumed entry must not own them again, so it needs a new listing.
    """
    world.pause('z')
    run(world, 20.0)
    assert not document(world, 'x').lists(_member(world, 'z'))
    world.resume('z')
    run(world, 12.0)
    member = document(world, 'x').member('z')
    assert member.incarnation == 1 and member.listed_at > world.now - 12.0
    assert world.leases() == ['x', 'y', 'z']


def test_all_entries_are_replaced_one_by_one(world):
    """A rolling update stops each entry gracefully and starts a new one.

    The other entries must keep their leases, and the new one must get one.
    """
    for name in 'xyz':
        world.feed(name, lambda conf, now: conf.leave(now, now))
        run(world, 5.0)
        assert conf(world, name).may_exit
        assert len(world.leases()) == 2
        world.kill(name)
        world.start(name)
        run(world, 8.0)
        assert world.leases() == ['x', 'y', 'z']


def test_all_entries_die_at_once_and_new_ones_take_over(world):
    """No listed entry is alive that could list the new processes.

    They must list themselves, or the cluster would never serve again.
    """
    for name in 'xyz':
        world.kill(name)
    run(world, 1.0)
    for name in 'xyz':
        world.start(name)
    run(world, 15.0)
    assert world.leases() == ['x', 'y', 'z']
    listed = document(world, 'x').listed()
    assert sorted((one.name, one.incarnation) for one in listed) == [
        ('x', 2),
        ('y', 2),
        ('z', 2),
    ]


def test_messages_of_an_old_version_do_not_revert_the_version(world):
    """An old row, an old grant and a malformed row arrive from a peer.

    None of them may change the version in force.
    """
    world.propose('x', ZONE_A_OUT)
    run(world, 5.0)
    old = cluster.ChangeRow(3, 1.0, cluster.PresetUse('peak'), 'x', 1, 9)
    for message in (
        messages.Changes(2, (cluster.encode(old),)),
        messages.Grant(2, world.now),
        messages.Changes(0, (b'{"version": "x"}',)),
    ):
        world.feed('y', lambda conf, now: conf.on_message('x', message, now))
    run(world, 1.0)
    assert document(world, 'y').version == 4
    assert document(world, 'y').preset == 'ordinary'
    notes = [one[2].name for one in world.notes]
    assert 'bad_peer_message' in notes


def test_an_entry_with_a_wrong_clock_loses_its_lease(world):
    """An entry's clock is ahead by a second.

    Its stamps and grants would extend the others' leases beyond a fence, and
    theirs would extend its own.  It must distrust its clock, as most peers
    differ from it.  The invariants assume correct clocks, so they aren't
    checked here.
    """
    world.nodes['z'].offset = 1.0
    world.run(12.0)
    assert world.leases() == ['x', 'y']
    number = world.propose('z', ZONE_A_OUT)
    world.run(1.0)
    assert world.verdict(number) == 'unavailable'
    assert 'clock' in world.proposed[number].reason


def test_a_removed_dead_entry_is_not_dialled(world):
    dials = world.nodes['x'].dials
    world.kill('z')
    run(world, 10.0)
    assert 'z' not in dials and 'y' in dials


def test_a_lagging_peer_is_sent_the_changes_that_it_lacks(world):
    wanted = messages.ChangesWanted(1)
    effects = conf(world, 'x').on_message('y', wanted, world.now)
    (sent,) = [one for one in effects if isinstance(one, core.Send)]
    assert len(sent.message.rows) == 2 and sent.message.since == 1


def _member(world, name):
    return messages.Member(name, world.nodes[name].incarnation, '', '', 0.0)
