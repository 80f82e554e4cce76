import collections

import pytest

from agatepick import core
from agatepick.repeatable import events
from agatepick.repeatable import serving

NOW = 50.0
AGENTS = [f'side-{number}' for number in range(52)]


def entries(count, zones=4):
    return tuple(
        events.ListedEntry(
            f'e-{number}', f'host:{number}', f'z{number % zones}'
        )
        for number in range(count)
    )


def make_agent(count, name='side-0', zones=4):
    """Return an agent that has dialled its entries, and their names."""
    agent = serving.Serving(name)
    agent.update_entries(entries(count, zones))
    return agent, dialled(agent.review(NOW, (), ()))


def dialled(effects):
    """Return the names of the entries that the agent dials."""
    return {effect.peer for effect in effects if isinstance(effect, core.Dial)}


def disconnected(effects):
    """Return the names of the entries that the agent disconnects."""
    return {
        effect.peer for effect in effects if isinstance(effect, core.Hangup)
    }


@pytest.mark.parametrize('count', [1, 3, 4])
def test_where_entries_are_few_all_are_served(count):
    assert len(make_agent(count)[1]) == count


def test_each_entry_gets_its_share_of_the_workers_in_all_zones():
    """Otherwise a zone's entries would share few workers while others idle."""
    served = collections.Counter()
    for name in AGENTS:
        chosen = make_agent(8, name)[1]
        assert len({int(entry[2:]) % 4 for entry in chosen}) == 4
        served.update(chosen)
    assert len(served) == 8
    assert 15 <= min(served.values())
    assert max(served.values()) <= 37


def test_a_new_entry_moves_only_its_own_share():
    """If all agents chose anew, every run would be disturbed."""
    moved = 0
    for name in AGENTS:
        moved += len(make_agent(12, name)[1] - make_agent(13, name)[1])
    assert moved <= 30


def test_an_entry_that_stays_away_is_replaced_but_still_dialled():
    """An entry's machine is lost; its share of the workers goes to others."""
    agent, first = make_agent(8)
    lost = min(first)
    reachable = first - {lost}
    soon = NOW + serving.MAX_DISCONNECTED_SECONDS - 0.1
    assert agent.review(soon, reachable, ()) == []
    effects = agent.review(
        NOW + serving.MAX_DISCONNECTED_SECONDS, reachable, ()
    )
    assert len(dialled(effects)) == 1
    assert disconnected(effects) == set()


def test_a_substitute_is_disconnected_once_its_runs_are_over():
    """An entry is back after another one has replaced it for a while.

    Callers of the substitute must not lose their runs.
    """
    agent, first = make_agent(8)
    reachable = first - {min(first)}
    now = NOW + serving.MAX_DISCONNECTED_SECONDS
    (substitute,) = dialled(agent.review(now, reachable, ()))
    connected = first | {substitute}
    assert agent.review(now + 1.0, connected, {substitute}) == []
    assert agent.is_leaving(substitute)
    late = now + 1.0 + serving.LEAVE_SECONDS
    assert agent.review(late, connected, {substitute}) == []
    late += serving.LEAVE_SECONDS
    assert disconnected(agent.review(late, connected, ())) == {substitute}
    assert not agent.is_leaving(substitute)


def test_an_entry_at_another_address_is_dialled_there():
    """An entry's machine was replaced by one with the same name."""
    agent, first = make_agent(3)
    moved = tuple(
        events.ListedEntry(entry.name, f'new:{entry.name}', entry.zone)
        for entry in entries(3)
    )
    assert disconnected(agent.update_entries(moved)) == first
    assert dialled(agent.review(NOW, (), ())) == first


def test_an_entry_that_is_no_longer_listed_is_disconnected():
    agent, first = make_agent(3)
    assert disconnected(agent.update_entries(entries(2))) == {'e-2'}
    assert agent.review(NOW, first, ()) == []
