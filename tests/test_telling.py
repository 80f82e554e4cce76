import pytest

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import health
from agatepick.repeatable import runs
from agatepick.repeatable import sharing
from agatepick.repeatable import telling
from agatepick import types

NOW = 50.0
TASK = types.Needs(6.0, 64, 0)
SECONDS = 20
STEPS_A_SECOND = 100


def news_heard(agents):
    """Broadcasts a second that an entry hears of each agent's busy worker."""
    room = sharing.Sharing()
    room.resize(types.Needs(64.0, 4096, 0))
    tells = telling.Telling(1, room, health.Health())
    owner = runs.Owner('entry', 1, agents=agents)
    heard = 0
    for step in range(SECONDS * STEPS_A_SECOND):
        now = NOW + step / STEPS_A_SECOND
        if step % 2:
            room.give_back(TASK)
        else:
            room.take(TASK)
        effects = tells.share(None, True, {'entry': owner}, now)
        heard += sum(
            isinstance(one, core.Send)
            and isinstance(one.message, messages.Room)
            for one in effects
        )
    return heard / SECONDS


@pytest.mark.parametrize('agents', [1, 11, 52, 300])
def test_an_entry_hears_no_more_news_the_more_agents_there_are(agents):
    """An entry listens to hundreds of agents whose workers are all busy.

    Were each to tell of its room as often as where there are few, the entry
    would spend all its time on news, its leases would lapse, and its
    callers' jobs would start over and over.
    """
    assert 1.0 <= news_heard(agents) * agents <= 380.0


def test_that_a_worker_may_be_used_is_told_at_once():
    """A worker came up, and its first list shows that nothing runs there.

    After a loss of power all callers wait for that, and the news of its
    room, a moment before, must not hold it up.
    """
    room = sharing.Sharing()
    tells = telling.Telling(1, room, health.Health())
    owners = {'entry': runs.Owner('entry', 1)}
    assert tells.share(None, False, owners, NOW)
    room.resize(TASK)
    assert tells.share(None, False, owners, NOW + 0.001) == []
    (told,) = tells.share(None, True, owners, NOW + 0.002)
    assert told.message.open
    assert told.message.free == TASK
