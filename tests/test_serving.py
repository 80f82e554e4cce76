import collections

import pytest

from agatepick import core
from agatepick.repeatable import events
from agatepick.repeatable import serving

NOW = 50.0
AGENTS = [f'side-{number}' for number in range(52)]


def entries(count, zones=4):
    return tuple(
        events.Listed(f'e-{number}', f'host:{number}', f'z{number % zones}')
        for number in range(count)
    )


def an_agent(count, name='side-0', zones=4):
    """An agent that was told of some entries and has dialled."""
    found = serving.Serving(name)
    found.listed(entries(count, zones))
    return found, dialled(found.review(NOW, (), ()))


def dialled(effects):
    return {one.peer for one in effects if isinstance(one, core.Dial)}


def hung_up(effects):
    return {one.peer for one in effects if isinstance(one, core.Hangup)}


@pytest.mark.parametrize('count', [1, 3, 4])
def test_where_entries_are_few_all_are_served(count):
    assert len(an_agent(count)[1]) == count


def test_each_entry_gets_its_part_of_the_workers_in_all_zones():
    """Entries of a zone would else share few workers while others idle."""
    served = collections.Counter()
    for name in AGENTS:
        found = an_agent(8, name)[1]
        assert len({int(one[2:]) % 4 for one in found}) == 4
        served.update(found)
    assert len(served) == 8
    assert 15 <= min(served.values())
    assert max(served.values()) <= 37


def test_an_entry_that_comes_moves_only_its_own_part():
    """Were all agents to choose anew, every run would be disturbed."""
    moved = 0
    for name in AGENTS:
        moved += len(an_agent(12, name)[1] - an_agent(13, name)[1])
    assert moved <= 30


def test_an_entry_that_stays_away_is_replaced_but_dialled_on():
    """An entry's machine is lost; its part of the workers goes to others."""
    agent, first = an_agent(8)
    lost = min(first)
    there = first - {lost}
    soon = NOW + serving.AWAY_SECONDS - 0.1
    assert agent.review(soon, there, ()) == []
    effects = agent.review(NOW + serving.AWAY_SECONDS, there, ())
    assert len(dialled(effects)) == 1
    assert hung_up(effects) == set()


def test_a_substitute_is_left_once_its_runs_are_over():
    """The entry is back: the substitute's callers must not lose their runs."""
    agent, first = an_agent(8)
    there = first - {min(first)}
    now = NOW + serving.AWAY_SECONDS
    (substitute,) = dialled(agent.review(now, there, ()))
    connected = first | {substitute}
    assert agent.review(now + 1.0, connected, {substitute}) == []
    assert agent.leaves(substitute)
    late = now + 1.0 + serving.LEAVE_SECONDS
    assert agent.review(late, connected, {substitute}) == []
    late += serving.LEAVE_SECONDS
    assert hung_up(agent.review(late, connected, ())) == {substitute}
    assert not agent.leaves(substitute)


def test_an_entry_at_another_address_is_dialled_there():
    """Its machine was replaced and the name given to the new one."""
    agent, first = an_agent(3)
    moved = tuple(
        events.Listed(one.name, f'new:{one.name}', one.zone)
        for one in entries(3)
    )
    assert hung_up(agent.listed(moved)) == first
    assert dialled(agent.review(NOW, (), ())) == first


def test_an_entry_that_is_listed_no_more_is_left():
    agent, first = an_agent(3)
    assert hung_up(agent.listed(entries(2))) == {'e-2'}
    assert agent.review(NOW, first, ()) == []
