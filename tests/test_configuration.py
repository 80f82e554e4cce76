"""What an entry does as store, peers and clocks fail one by one."""

import pytest

from agatepick.config import cluster
from agatepick import core
from agatepick.net import messages
from tests import virtual_cluster

RULES = virtual_cluster.RULES
OUT = cluster.ZoneOut('a')


@pytest.fixture
def world():
    """Three entries, listed and settled."""
    made = virtual_cluster.Cluster()
    run(made, 10.0)
    assert made.leases() == ['x', 'y', 'z']
    return made


def run(world, seconds):
    """Let time pass, with the promises checked all along."""
    for _ in range(round(seconds / virtual_cluster.STEP)):
        world.run(virtual_cluster.STEP)
        world.watch()
    world.check_permits()


def conf(world, name):
    return world.nodes[name].conf


def document(world, name):
    return conf(world, name).in_force(world.clock(name))


def status(world, name):
    return conf(world, name).status(world.clock(name))


def zone_open(world, name, zone='a'):
    return conf(world, name).start_before(zone, world.clock(name)) > 0.0


def test_a_zone_departs_everywhere_at_one_instant(world):
    number = world.propose('x', OUT)
    run(world, 1.0)
    done = world.proposed[number]
    assert done.verdict == 'accepted'
    assert done.in_force_at <= world.now + RULES.fence
    for name in 'xyz':
        assert conf(world, name).version == done.version
        now = world.clock(name)
        assert conf(world, name).start_before('a', now) <= done.in_force_at
    run(world, done.in_force_at - world.now + 0.1)
    assert [zone_open(world, name) for name in 'xyz'] == [False] * 3
    assert zone_open(world, 'x', 'b')


def test_a_departure_and_a_return_in_quick_succession(world):
    """An operator takes a zone out, back in, and asks for both again.

    The repetitions change nothing and say where the zone already stands.
    """
    versions = []
    for change in (OUT, OUT, cluster.ZoneIn('a'), cluster.ZoneIn('a')):
        number = world.propose('x', change)
        run(world, 0.5)
        versions.append(world.proposed[number].version)
    assert versions == [4, 4, 5, 5]
    run(world, 5.0)
    assert [zone_open(world, name) for name in 'xyz'] == [True] * 3


def test_of_two_operators_at_two_entries_one_wins(world):
    """Both saw version 3; one takes the zone out, the other wants it in.

    The loser learns which version won, and nothing of his change is done.
    """
    run(world, 0.0)
    one = world.propose('x', cluster.PresetUse('peak'), 3)
    other = world.propose('y', cluster.PresetUse('maintenance'), 3)
    run(world, 5.0)
    verdicts = sorted([world.verdict(one), world.verdict(other)])
    assert verdicts == ['accepted', 'conflict']
    lost = one if world.verdict(one) == 'conflict' else other
    assert world.proposed[lost].version == 4
    assert len(world.rows()) == 4
    assert len({document(world, name).preset for name in 'xyz'}) == 1


def test_changes_of_different_subjects_do_not_conflict(world):
    """Operators who name no version lose only to a change of the same thing.

    Otherwise an upstream that announces its leaving would fail a departure.
    """
    numbers = [
        world.propose('x', OUT),
        world.propose('y', cluster.UpstreamLeaving('w1')),
        world.propose('z', OUT),
    ]
    run(world, 5.0)
    verdicts = [world.verdict(one) for one in numbers]
    assert verdicts[1] == 'accepted'
    assert sorted(verdicts) == ['accepted', 'accepted', 'conflict']
    assert len(world.rows()) == 5


def test_an_invalid_change_is_refused_by_its_field(world):
    number = world.propose('x', cluster.PresetUse('fast'))
    run(world, 0.1)
    assert world.verdict(number) == 'invalid'
    assert world.proposed[number].reason.startswith('preset: ')


def test_starts_go_on_while_the_store_is_down_even_if_an_entry_is_killed(
    world,
):
    """The store is down for a minute, and an entry's process dies in it.

    Callers notice nothing: the others extend their leases by the grants of
    one another, and the dead process can write nothing.
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
    number = world.propose('x', OUT)
    run(world, 0.1)
    assert world.verdict(number) == 'unavailable'
    world.heal()
    run(world, 8.0)
    assert [one.name for one in document(world, 'x').listed()] == ['x', 'y']
    assert status(world, 'x').lease_source == 'store'


def test_a_restart_during_an_outage_waits_for_the_store(world):
    """A new process can't know what changed before it was there."""
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
    """It can't know what operators change, so callers get a "not run"."""
    world.cut_from_store.add('z')
    run(world, 20.0)
    assert status(world, 'z').lease_source == 'peers'
    number = world.propose('x', OUT)
    run(world, 5.0)
    assert world.verdict(number) == 'accepted'
    assert not zone_open(world, 'z')
    assert world.leases() == ['x', 'y', 'z']
    world.cut('x', 'z')
    world.cut('y', 'z')
    run(world, RULES.fence)
    assert world.leases() == ['x', 'y']
    world.heal()
    run(world, 10.0)
    assert world.leases() == ['x', 'y', 'z']


def test_a_lost_answer_is_unknown_until_a_read_settles_it(world):
    """The write took effect, but its answer was lost, and reads fail too.

    The operator is told "unknown".  The zone takes no starts anywhere from
    then on, since it may be out; other zones go on.
    """
    world.set_store('ok', 'lose')
    number = world.propose('x', OUT)
    while len(world.rows()) < 4:
        world.run(0.001)
    world.set_store('refuse', 'refuse')
    run(world, 6.0)
    assert world.verdict(number) == 'unknown'
    assert status(world, 'x').uncertain[0].change == OUT
    assert [zone_open(world, name) for name in 'xyz'] == [False] * 3
    assert zone_open(world, 'y', 'b')
    assert document(world, 'x').version == 3
    world.heal()
    run(world, 2.0)
    assert not status(world, 'x').uncertain
    assert document(world, 'x').zone_out('a')


def test_a_lost_answer_is_made_good_by_the_next_read(world):
    """Reads work, so the operator learns the truth within a second."""
    world.set_store('ok', 'lose')
    number = world.propose('x', OUT)
    run(world, 2.0)
    assert world.verdict(number) == 'accepted'


def test_an_uncertain_preset_stops_starts_until_a_read_settles_it(world):
    """Under two possible presets no entry may follow either."""
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


def test_a_write_held_up_on_its_way_fails_after_a_renewal(world):
    """A change reaches the store long after its in_force_at has passed.

    If it took effect then, entries that had just read the head would start
    tasks in a zone that was out already.
    """
    world.set_store('ok', 'hold_changes')
    number = world.propose('x', OUT)
    run(world, 12.0)
    assert world.verdict(number) == 'unavailable'
    assert len(world.held) > 1
    world.heal()
    run(world, 5.0)
    assert len(world.rows()) == 3
    assert zone_open(world, 'x')


def test_a_write_held_up_with_all_renewals_leaves_no_lease_behind(world):
    """Reads go on, but no write arrives; then the held change does.

    A lease counted from the read would be good here, and one entry would
    follow the old preset seconds after the new one came into force.  Counted
    from the stamp it has ended.
    """
    world.set_store('ok', 'hold')
    world.propose('x', cluster.PresetUse('peak'))
    run(world, 1.0)
    world.kill('x')
    run(world, 8.0)
    assert release_change(world)
    for _ in range(5):
        world.run(0.05)
        world.watch()
    assert len(world.rows()) == 4


def test_a_writer_waits_for_peers_that_rely_on_its_grants(world):
    """A cut keeps its intent from its peers, then it dies.

    They see it dead while its last grants are good and count on it for the
    rest of an outage.  Had it written without waiting for them, its held-up
    change would come into force behind their backs.
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
    assert not release_change(world)


def release_change(world):
    """Let the first held-up change through; whether there is one."""
    for _, step in world.held:
        if len(step.request.puts) > 1:
            step()
            world.watch()
            return True
    return False


def test_a_change_accepted_as_its_writer_dies_is_kept(world):
    """The answer reaches the writer, which dies before telling a peer."""
    number = world.propose('x', OUT)
    while world.verdict(number) is None:
        world.run(0.001)
    world.kill('x')
    run(world, 5.0)
    assert document(world, 'y').zone_out('a')
    assert document(world, 'z').zone_out('a')


def test_a_writer_that_dies_in_an_outage_leaves_its_change_uncertain(world):
    """Its write is still on its way, and nobody can read the store.

    The others know of its intent, so they start nothing in that zone.
    """
    world.set_store('ok', 'hold')
    world.propose('x', OUT)
    run(world, 0.3)
    world.set_store('refuse', 'hold')
    world.kill('x')
    run(world, 10.0)
    assert world.leases() == ['y', 'z']
    assert not zone_open(world, 'y') and zone_open(world, 'y', 'b')
    world.heal()
    run(world, 10.0)
    assert status(world, 'y').settled


def test_a_silent_writer_that_dies_late_counts_as_granting_no_longer(world):
    """It was cut off long enough to write without asking, then killed.

    Its death proves that it writes nothing more, but not that it wrote
    nothing before.
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
    """SIGSTOP for seconds across a departure, with grants in its buffers."""
    world.pause('z')
    number = world.propose('x', OUT)
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


def test_a_silent_entry_is_removed_and_lists_itself_anew(world):
    """A paused entry's jobs need a new owner; it must not own them again."""
    world.pause('z')
    run(world, 20.0)
    assert not document(world, 'x').lists(_member(world, 'z'))
    world.resume('z')
    run(world, 12.0)
    again = document(world, 'x').member('z')
    assert again.incarnation == 1 and again.listed_at > world.now - 12.0
    assert world.leases() == ['x', 'y', 'z']


def test_all_entries_are_replaced_one_by_one(world):
    """A rolling update: each leaves, goes, and a new process comes."""
    for name in 'xyz':
        world.feed(name, lambda conf, now: conf.leave(now, now))
        run(world, 5.0)
        assert conf(world, name).left
        assert len(world.leases()) == 2
        world.kill(name)
        world.start(name)
        run(world, 8.0)
        assert world.leases() == ['x', 'y', 'z']


def test_all_entries_die_at_once_and_new_ones_take_over(world):
    """No listed entry is left that could list a new one."""
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


def test_messages_of_an_old_version_do_not_turn_the_version_back(world):
    """A row and a grant arrive again, from a peer that lags behind."""
    world.propose('x', OUT)
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


def test_a_clock_that_is_off_costs_its_own_entry_the_lease(world):
    """One entry's clock runs ahead by a second.

    Its stamps and grants would let others start tasks past a fence, and
    theirs would let it.  Its peers outvote it.  This is beyond what the
    promises assume, so they aren't watched here.
    """
    world.nodes['z'].offset = 1.0
    world.run(12.0)
    assert world.leases() == ['x', 'y']
    number = world.propose('z', OUT)
    world.run(1.0)
    assert world.verdict(number) == 'unavailable'
    assert 'clock' in world.proposed[number].reason


def test_a_removed_entry_is_dialled_no_more_once_it_is_gone(world):
    dials = world.nodes['x'].dials
    world.kill('z')
    run(world, 10.0)
    assert 'z' not in dials and 'y' in dials


def test_a_peer_that_is_behind_is_sent_what_it_lacks(world):
    wanted = messages.ChangesWanted(1)
    effects = conf(world, 'x').on_message('y', wanted, world.now)
    (sent,) = [one for one in effects if isinstance(one, core.Send)]
    assert len(sent.message.rows) == 2 and sent.message.since == 1


def _member(world, name):
    return messages.Member(name, world.nodes[name].incarnation, '', '', 0.0)
