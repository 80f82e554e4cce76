"""No peer is asked too often, whatever it answers.

Each test plays a peer that refuses, resets, hangs or answers at once, and
counts how often it is asked in any one second.
"""

import asyncio
import collections
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from agatepick import exceptions
from agatepick.net import clocks
from agatepick.net import links
from agatepick.net import messages
from agatepick.platform import following
from agatepick.platform import rows
from agatepick.repeatable import watching
from tests import busy_world

LISTS_A_SECOND = 220
"""Of a worker that answers each list at once."""

FAILED_LISTS_A_SECOND = 20
"""Of one that answers none."""

STORE_CALLS_A_SECOND = 12
"""Of one process that follows a table of a store that fails at once."""

DIALS_A_SECOND = 10
"""Of a peer that takes connections and ends them at once."""

STARTS_A_TASK = 12
"""Of one task that every worker refuses, in its first second."""

MANY = 20_000
"""Lists after which a worker counts as asked all the time."""

ANSWERS = ('at_once', 'lists', 'fails', 'resets', 'hangs')


def most_in_a_second(instants):
    """The most events in any one second."""
    window = collections.deque()
    most = 0
    for at in sorted(instants):
        window.append(at)
        while window[0] <= at - 1.0:
            window.popleft()
        most = max(most, len(window))
    return most


def ask(answers, seconds, step=0.001):
    """Play a worker; the instants at which its lists were asked for.

    :param answers: how it answers the first list, the second and so on.
    """
    found = watching.Watching()
    now = 0.0
    found.reset(now)
    asked = []
    out = []
    while now < seconds:
        for item in [one for one in out if one[0] <= now]:
            out.remove(item)
            item[1](now)
        while found.due(now) and len(asked) < MANY:
            how = answers[len(asked) % len(answers)]
            asked.append(now)
            found.asked(watching.WAIT_SECONDS, now)
            if how == 'at_once':
                found.answered(now)
            elif how == 'lists':
                out.append((now + 0.03, found.answered))
            elif how == 'fails':
                found.failed(now)
            elif how == 'resets':
                out.append((now + step, found.failed))
            else:
                late = now + watching.WAIT_SECONDS + 0.08
                out.append((late, found.failed))
        now += step
    return asked


def test_a_worker_that_resets_connections_is_not_asked_all_the_time():
    """A worker goes down and up by turns and resets what asks it.

    It was asked 2,000 times a second for as long: each time a connection was
    opened and a line written, and its agent did nothing else.
    """
    asked = ask(['resets'], 8.0)
    assert most_in_a_second(asked) <= FAILED_LISTS_A_SECOND


@settings(max_examples=40, deadline=None)
@given(st.lists(st.sampled_from(ANSWERS), min_size=1, max_size=40))
def test_lists_are_asked_for_at_a_bounded_rate(answers):
    """Whatever a worker answers, its agent keeps time for its entries."""
    asked = ask(answers, 4.0)
    assert most_in_a_second(asked) <= LISTS_A_SECOND


def test_a_worker_that_answers_again_is_asked_as_before():
    """A pause that stayed long would let short jobs end late unnoticed."""
    asked = ask(['resets'] * 12 + ['lists'] * 1000, 6.0)
    assert most_in_a_second(asked[12:]) >= 25


class Store:
    """A store that answers each call at once, and always the same."""

    def __init__(self, answer):
        self.answer = answer
        self.calls = 0

    async def read(self, table, seconds):
        return await self._answer('read')

    async def changes(self, table, version, wait):
        return await self._answer('changes')

    async def _answer(self, call):
        self.calls += 1
        await asyncio.sleep(0)
        if self.answer == 'fails':
            raise exceptions.StoreUnavailable('no', step=call, peer='store')
        if self.answer == 'forgets' and call == 'changes':
            raise rows.HistoryGone('gone', step=call, peer='store')
        return rows.Rows((), 7)


@pytest.mark.parametrize('answer', ['fails', 'forgets', 'answers'])
def test_a_store_is_asked_at_a_bounded_rate(answer):
    """A store drops its history each time, or answers before its wait.

    Its followers would ask in a circle, and the calls that other processes
    need would be answered 429.
    """
    store = Store(answer)

    async def play():
        work = following.follow(
            store, 'table', 1.0, lambda found: None, random.Random(1)
        )
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(work, 1.0)

    asyncio.run(play())
    assert store.calls <= STORE_CALLS_A_SECOND


def test_a_peer_that_hangs_up_at_once_is_dialled_at_a_bounded_rate():
    """A peer takes connections, greets and hangs up, for seconds.

    Each dial costs both processes what a hundred messages cost.
    """
    hello = messages.Hello('b', 'agent', 1, 'z', 'r', '', 0)
    data = messages.encode(hello, 0)
    dials = []

    async def hang_up(reader, writer):
        dials.append(1)
        writer.write(links.HEADER.pack(len(data)) + data)
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.close()

    async def play():
        server = await asyncio.start_server(hang_up, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        own = links.Links(
            lambda: messages.Hello('a', 'entry', 1, 'z', 'r', '', 0),
            lambda event: None,
            clocks.ProcessClock.start(),
            random.Random(1),
        )
        own.dial('b', f'127.0.0.1:{port}')
        await asyncio.sleep(1.0)
        own.end()
        server.close()

    asyncio.run(play())
    assert 2 <= len(dials) <= DIALS_A_SECOND


def test_a_task_that_every_worker_refuses_is_not_sent_in_a_circle():
    """All workers answer that they are unwell.

    Each refusal would be followed by another start at once, and entries and
    agents would spend their time on these while callers wait.
    """
    world = busy_world.Busy(seed=1, entries=1, agents=3)
    for one in world.workers.values():
        one.unwell = True
    world.run(2.0)
    world.hand_in(busy_world.QUEUES[1])
    (caller,) = world.callers.values()
    world.run(1.0)
    assert world.starts <= STARTS_A_TASK * len(caller.spec.tasks)
