"""Random interleavings of faults, with the invariants checked throughout."""

import hypothesis
import hypothesis.strategies as st

from agatepick.config import cluster
from tests import virtual_cluster

NAMES = st.sampled_from('xyz')
ZONE = st.sampled_from(virtual_cluster.ZONES)
MODES = st.sampled_from(
    [
        ('ok', 'hold'),
        ('ok', 'hold_changes'),
        ('ok', 'lose'),
        ('refuse', 'hold'),
        ('refuse', 'refuse'),
        ('hold', 'hold'),
        ('lose', 'lose'),
    ]
)
CHANGE = st.one_of(
    st.builds(cluster.ZoneOut, ZONE),
    st.builds(cluster.ZoneIn, ZONE),
    st.builds(cluster.PresetUse, st.sampled_from(cluster.PRESETS)),
    st.builds(
        cluster.QuotaSet, st.sampled_from(['t', 'u']), st.integers(1, 99)
    ),
)
ACTION = st.one_of(
    st.tuples(st.just('propose'), NAMES, CHANGE),
    st.tuples(st.just('propose'), NAMES, CHANGE),
    st.tuples(st.just('set_store'), MODES),
    st.tuples(st.just('cut'), NAMES, NAMES),
    st.tuples(st.just('cut_from_store'), NAMES),
    st.tuples(st.just('kill'), NAMES),
    st.tuples(st.just('start'), NAMES),
    st.tuples(st.just('pause'), NAMES),
    st.tuples(st.just('resume'), NAMES),
    st.tuples(st.just('heal')),
)
STEPS = st.lists(
    st.tuples(ACTION, st.sampled_from([0.0, 0.05, 0.5, 2.0, 4.0])),
    min_size=2,
    max_size=14,
)
HALF = virtual_cluster.DURATIONS.margin_seconds / 2
OFFSETS = st.lists(st.floats(-0.9 * HALF, 0.9 * HALF), max_size=3)


def act(world, action):
    """Execute an action, unless it doesn't apply to the present state."""
    match action:
        case ('propose', name, change):
            if isinstance(change, cluster.QuotaSet):
                # A unique number of slots identifies the change in the store.
                slots = 100 + world.count_proposals()
                change = cluster.QuotaSet(change.team, slots)
            return world.propose(name, change), name, change
        case ('cut', one, other) if one != other:
            world.cut(one, other)
        case ('cut_from_store', name):
            world.cut_from_store.add(name)
        case ('kill' | 'pause' as what, name):
            if world.nodes[name].alive and not world.nodes[name].paused:
                getattr(world, what)(name)
        case ('start', name) if not world.nodes[name].alive:
            world.start(name)
        case ('resume', name) if world.nodes[name].paused:
            world.resume(name)
        case ('set_store', modes):
            world.set_store(*modes)
        case ('heal',):
            world.heal()
    return None


def run(world, seconds, step=virtual_cluster.STEP_SECONDS):
    """Advance the time and check the invariants after every step."""
    for _ in range(max(1, round(seconds / step))):
        world.run(min(seconds, step))
        world.check_invariants()


def recover(world):
    """End every fault; run until all entries can hold their leases again."""
    world.heal()
    for name, node in world.nodes.items():
        if node.paused:
            world.resume(name)
        if not node.alive:
            world.start(name)
    run(world, 1.0)
    run(world, 40.0, 1.0)


def check_verdicts(world, requests):
    """Check that accepted changes are in the store and refused ones aren't."""
    rows = world.rows()
    for number, name, change in requests:
        outcome = world.proposed.get(number)
        if outcome is None or outcome.verdict == 'unknown':
            continue
        if outcome.verdict == 'accepted':
            changed = [row.change for row in rows[: outcome.version]]
            assert change in changed or _is_in_effect(
                change, rows, outcome.version
            )
        elif isinstance(change, cluster.QuotaSet):
            assert change not in [row.change for row in rows]


def _is_in_effect(change, rows, version):
    doc = cluster.ClusterConfig()
    for row in rows[:version]:
        doc = cluster.apply(doc, row)
    return not cluster.alters(doc, change)


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(STEPS, OFFSETS, st.integers(0, 2**16))
def test_one_configuration_is_in_force_whatever_happens(steps, offsets, seed):
    """Entries, network and store fail in any order and at once.

    If an invariant failed, a zone that operators took out would get tasks, or
    one half of the entries would use another preset than the other half.
    """
    world = virtual_cluster.Cluster(seed=seed, offsets=offsets)
    run(world, 8.0)
    requests = []
    for action, seconds in steps:
        request = act(world, action)
        if request is not None:
            requests.append(request)
        run(world, seconds)
    recover(world)
    world.check_permits()
    check_verdicts(world, requests)
    versions = {node.conf.version for node in world.nodes.values()}
    assert versions == {len(world.rows())}
    assert world.leases() == list('xyz')
    for name, node in world.nodes.items():
        assert node.conf.settled(world.clock(name)), name
