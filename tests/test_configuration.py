import pytest

from tests import virtual_cluster

RULES = virtual_cluster.RULES


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


def source(world, name):
    return conf(world, name).status(world.clock(name)).lease_source


def test_entries_list_themselves_and_hold_leases(world):
    for name in 'xyz':
        assert document(world, name).version == 3
        assert len(document(world, name).listed()) == 3
        assert source(world, name) == 'store'
