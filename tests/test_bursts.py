"""Recovery of the service after a burst, also over narrow links.

Jobs of three queues arrive at six entries, each with a narrow link, and
eighteen workers with six to nine slots; agents choose their entries.
"""

import random

import pytest

from tests import busy_world

LINK_BYTES_PER_SECOND = 250_000.0
"""Rate at which an entry can send over its link."""

NARROW_LINK_BYTES_PER_SECOND = 150_000.0
"""Rate of a narrower link, of which the calm load takes a third."""

CALM_LOAD = 0.5
"""Load outside bursts, as a share of the workers' capacity."""

RECOVERY_SECONDS = 2.0
"""Time from the end of a burst until the service has recovered."""

RECOVERED_SHARE = 0.9
"""Share of the callers' value from which the service counts as recovered."""

DRAIN_SECONDS = 10.0
"""Time after the last arrival until all callers have their answers."""


def simulate(seed, bursts, seconds, link=LINK_BYTES_PER_SECOND):
    """Simulate a calm load with bursts.

    :param bursts: tuples of (begin, end, share of the workers).
    :returns: the world after all callers have their answers.
    """
    world = busy_world.BusyWorld(
        seed=seed,
        entries=6,
        agents=18,
        cores=10.0,
        sizes=(64.0, 96.0),
        link=link,
        listed=True,
    )
    world.run(2.0)
    started_at = world.now
    for begin, end, share in bursts:
        world.schedule(begin, world.load, share - CALM_LOAD, end - begin)
    world.load(CALM_LOAD, seconds)
    world.run(seconds + DRAIN_SECONDS)
    world.started_at = started_at
    return world


def compute_earned_share(world, since, until):
    """Return the share of the callers' value that was earned.

    Only callers that submitted between the two instants count, in seconds
    from the start of the load.
    """
    offset = world.started_at - busy_world.repeatable_world.START
    return world.compute_earned_share(offset + since, offset + until)


@pytest.mark.parametrize('seed', [1, 3])
def test_service_recovers_after_a_burst(seed):
    """A burst ends, and callers are refused permanently at half the load.

    Entries compete for the last slots, and each refused start is sent again
    with its job's payload until an entry's link is saturated.  Answers to
    grants then arrive after the grants have expired, capacity is reserved in
    vain while starts are refused, and that keeps the link saturated.  From
    the third second after the burst callers got 0.32 to 0.57 of their value, a
    third of all starts were refused, and the congestion didn't end.
    """
    world = simulate(seed, [(3.0, 7.0, 1.0)], 14.0)
    assert (
        compute_earned_share(world, 7.0 + RECOVERY_SECONDS, 14.0)
        >= RECOVERED_SHARE
    )
    assert world.double_runs == []
    assert world.false_refusals == []


@pytest.mark.parametrize('seed', [1, 3])
def test_a_saturated_link_recovers(seed):
    """A burst saturates an entry's link, and it stays saturated.

    While grants lasted 50 ms however long answers took, and jobs were admitted
    however long round trips took, callers got 0.38 to 0.73 of their value from
    the third second after the burst.
    """
    world = simulate(
        seed, [(3.0, 7.0, 1.0)], 14.0, NARROW_LINK_BYTES_PER_SECOND
    )
    assert (
        compute_earned_share(world, 7.0 + RECOVERY_SECONDS, 14.0)
        >= RECOVERED_SHARE
    )


@pytest.mark.parametrize('seed', range(3))
def test_service_recovers_after_random_bursts(seed):
    """Bursts of any size and length occur, some twice, and each one ends.

    Two seconds later callers must not notice a difference any more.
    """
    rng = random.Random(seed)
    first = rng.uniform(1.0, 3.0)
    first_end = first + rng.uniform(0.5, 3.0)
    second = first_end + rng.uniform(0.0, 2.0)
    second_end = second + rng.uniform(0.5, 3.0)
    share = rng.uniform(0.8, 1.6)
    bursts = [(first, first_end, share), (second, second_end, share)]
    until = second_end + RECOVERY_SECONDS + 5.0
    world = simulate(seed, bursts, until)
    assert (
        compute_earned_share(world, second_end + RECOVERY_SECONDS, until)
        >= RECOVERED_SHARE
    )
    assert all(caller.answer for caller in world.callers.values())
    assert world.double_runs == []
    assert world.false_refusals == []
