import random

import pytest

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import health
from agatepick.repeatable import publishing
from agatepick.repeatable import runs
from agatepick.repeatable import sharing
from agatepick.repeatable import speeds
from agatepick import types

NOW = 50.0
TASK = types.Needs(6.0, 64, 0)
SECONDS = 20
STEPS_A_SECOND = 100


def count_updates(agents):
    """Return the updates per second that an entry gets from one busy agent."""
    capacity = sharing.SharedCapacity()
    capacity.resize(types.Needs(64.0, 4096, 0))
    publisher = publishing.Publisher(1, capacity, health.Health())
    owner = runs.Owner('entry', 1, agent_count=agents)
    count = 0
    for step in range(SECONDS * STEPS_A_SECOND):
        now = NOW + step / STEPS_A_SECOND
        if step % 2:
            capacity.release(TASK)
        else:
            capacity.acquire(TASK)
        effects = publisher.publish(None, True, {'entry': owner}, now)
        count += sum(
            isinstance(effect, core.Send)
            and isinstance(effect.message, messages.Room)
            for effect in effects
        )
    return count / SECONDS


@pytest.mark.parametrize('agents', [1, 11, 52, 300])
def test_updates_per_entry_do_not_grow_with_the_number_of_agents(agents):
    """An entry is connected to hundreds of agents with busy workers.

    If each sent updates as often as where there are few agents, the entry
    would spend all its time on updates, its leases would expire, and its
    callers' jobs would start over and over.
    """
    assert 1.0 <= count_updates(agents) * agents <= 380.0


def test_an_opened_worker_is_published_at_once():
    """A worker started, and its first list shows that no run is left there.

    After a power loss all callers wait for the update that the worker is open.
    The change of its capacity, a moment before, must not delay that update.
    """
    capacity = sharing.SharedCapacity()
    publisher = publishing.Publisher(1, capacity, health.Health())
    owners = {'entry': runs.Owner('entry', 1)}
    assert publisher.publish(None, False, owners, NOW)
    capacity.resize(TASK)
    assert publisher.publish(None, False, owners, NOW + 0.001) == []
    (update,) = publisher.publish(None, True, owners, NOW + 0.002)
    assert update.message.open
    assert update.message.free == TASK


def simulate(rng, places, seconds):
    """Simulate an entry and others that start and end runs at one worker.

    :param places: number of runs that fit at the worker at a time.
    :returns: the longest time for which the entry assumed a wrong number of
        slots, and a wrong number of cores; and the updates per start or end.
    """
    capacity = sharing.SharedCapacity()
    capacity.resize(types.Needs(places * 6.0, places * 64, 0))
    publisher = publishing.Publisher(1, capacity, health.Health())
    owners = {'entry': runs.Owner('entry', 1)}
    assumed = types.Needs()
    running, changes, updates = 0, 0, 0
    wrong_seconds = {'places': 0.0, 'cores': 0.0}
    longest = dict(wrong_seconds)
    for step in range(int(seconds * 1000)):
        now = NOW + step / 1000
        draw = rng.random()
        before = running
        if draw < 0.02 and running < places:
            running += capacity.acquire(TASK)
            if rng.random() < 0.25:
                assumed = assumed - TASK
                publisher.subtract_start('entry', TASK)
        elif draw < 0.04 and running:
            running -= 1
            capacity.release(TASK)
        changes += running != before
        for effect in publisher.publish(None, True, owners, now):
            assumed = effect.message.free
            updates += 1
        wrong = {
            'places': max(0.0, assumed.cpu) != capacity.free.cpu,
            'cores': assumed != capacity.free,
        }
        for name, is_wrong in wrong.items():
            wrong_seconds[name] = (
                wrong_seconds[name] + 0.001 if is_wrong else 0.0
            )
            longest[name] = max(longest[name], wrong_seconds[name])
    return longest, updates / changes


@pytest.mark.parametrize('seed', range(3))
def test_significant_changes_are_published_soon(seed):
    """An entry that counts used slots as free sends starts in vain.

    If it gets no update on released slots, its callers wait.
    """
    longest, _ = simulate(random.Random(seed), 3, 20.0)
    assert longest['places'] <= publishing.MIN_UPDATE_SECONDS + 0.002
    longest, _ = simulate(random.Random(seed), 40, 20.0)
    assert longest['cores'] <= publishing.MAX_STALE_SECONDS + 0.002


def test_single_slots_are_not_published_where_there_are_many():
    """Tasks start and end 40 times a second at a half empty worker.

    An entry that got an update for each would have no time for its callers.
    """
    _, updates = simulate(random.Random(1), 40, 20.0)
    assert updates <= 0.5


def test_free_capacity_is_published_after_a_grant_or_refusal():
    """An entry has answered a grant, or a start of it was refused.

    It sends no starts until the next update, so without one it would send none
    although capacity is free.
    """
    capacity = sharing.SharedCapacity()
    capacity.resize(types.Needs(60.0, 640, 0))
    publisher = publishing.Publisher(1, capacity, health.Health())
    owners = {'entry': runs.Owner('entry', 1)}
    assert publisher.publish(None, True, owners, NOW)
    publisher.subtract_start('entry', TASK)
    publisher.clear_capacity('entry')
    assert publisher.publish(None, True, owners, NOW + 0.001) == []
    later = NOW + publishing.MIN_UPDATE_SECONDS + 0.001
    assert publisher.next_due() <= later
    (update,) = publisher.publish(None, True, owners, later)
    assert update.message.free.cpu == 60.0


def test_a_learnt_speed_is_published():
    """Entries place by it; it is sent with the other news, not by itself."""
    capacity = sharing.SharedCapacity()
    capacity.resize(TASK)
    speed = speeds.UsualSpeed(learns=True)
    publisher = publishing.Publisher(1, capacity, health.Health(), speed)
    owners = {'entry': runs.Owner('entry', 1)}
    (update,) = publisher.publish(None, True, owners, NOW)
    assert update.message.slowness == speeds.UNKNOWN
    for _ in range(speeds.MIN_RUNS):
        speed.record(1.8, NOW)
    later = NOW + publishing.MIN_UPDATE_SECONDS + 0.001
    (update,) = publisher.publish(None, True, owners, later)
    assert update.message.slowness == speed.published > 1.5
    assert publisher.publish(None, True, owners, later + 1.0) == []


def test_a_leaving_entry_gets_an_update_at_once():
    """An agent serves another entry instead of one of its entries.

    Starts that the leaving entry still sends would be refused.
    """
    capacity = sharing.SharedCapacity()
    capacity.resize(TASK)
    publisher = publishing.Publisher(1, capacity, health.Health())
    owner = runs.Owner('entry', 1)
    assert publisher.publish(None, True, {'entry': owner}, NOW)
    for leaving, change in (
        (True, capacity.remove_entry),
        (False, capacity.add_entry),
    ):
        owner.leaving = leaving
        change('entry')
        (update,) = publisher.publish(
            None, True, {'entry': owner}, NOW + 0.001
        )
        assert update.message.open is not leaving
