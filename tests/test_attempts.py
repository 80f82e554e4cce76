"""Bounds on the rate of requests to a peer, whatever its answers are.

Each test simulates a peer that refuses, resets, hangs or answers at once, and
counts the requests that it gets in any one second.
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
from agatepick.net import codec
from agatepick.net import connections
from agatepick.net import links
from agatepick.net import messages
from agatepick.platform import following
from agatepick.platform import rows
from agatepick.repeatable import list_requests
from tests import busy_world

LISTS_A_SECOND = 220
"""Most requests for its lists in one second to a worker, whatever it answers.

A worker that answers each request at once gets the most.
"""

FAILED_LISTS_A_SECOND = 20
"""Most requests for its lists in one second to a worker that answers none."""

STORE_CALLS_A_SECOND = 12
"""Most calls in one second to a store that fails at once.

They are those of one process that watches a table.
"""

DIALS_A_SECOND = 10
"""Most dials in one second to a peer that closes connections at once."""

STARTS_A_TASK = 12
"""Most starts, in its first second, of a task that every worker refuses."""

MAX_REQUESTS = 20_000
"""Number of requests after which the simulation stops sending them."""

ANSWER_KINDS = ('at_once', 'lists', 'fails', 'resets', 'hangs')
"""Kinds of a worker's answer to a request for its lists.

They are the lists at once or after 30 ms, or a failure: at once, after a step
of the simulation, or after a timeout.
"""


def most_in_a_second(instants):
    """Return the largest number of events in any one second."""
    window = collections.deque()
    most = 0
    for at in sorted(instants):
        window.append(at)
        while window[0] <= at - 1.0:
            window.popleft()
        most = max(most, len(window))
    return most


def simulate_worker(answers, seconds, step=0.001):
    """Simulate a worker and return the instants of requests for its lists.

    :param answers: kinds of its answers to the first request, the second and
        so on.
    """
    timing = list_requests.ListRequests()
    now = 0.0
    timing.reset(now)
    requests = []
    scheduled = []
    while now < seconds:
        for item in [item for item in scheduled if item[0] <= now]:
            scheduled.remove(item)
            item[1](now)
        while timing.is_due(now) and len(requests) < MAX_REQUESTS:
            kind = answers[len(requests) % len(answers)]
            requests.append(now)
            timing.record_request(list_requests.WAIT_SECONDS, now)
            if kind == 'at_once':
                timing.record_answer(now)
            elif kind == 'lists':
                scheduled.append((now + 0.03, timing.record_answer))
            elif kind == 'fails':
                timing.record_failure(now)
            elif kind == 'resets':
                scheduled.append((now + step, timing.record_failure))
            else:
                failed_at = now + list_requests.WAIT_SECONDS + 0.08
                scheduled.append((failed_at, timing.record_failure))
        now += step
    return requests


def test_a_worker_that_resets_gets_requests_at_a_bounded_rate():
    """A worker repeatedly goes down and comes up, and resets connections.

    Without a pause after a failure such a worker got 2,000 requests a second:
    each opened a connection and wrote a log line, and the worker's agent did
    nothing else.
    """
    requests = simulate_worker(['resets'], 8.0)
    assert most_in_a_second(requests) <= FAILED_LISTS_A_SECOND


@settings(max_examples=40, deadline=None)
@given(st.lists(st.sampled_from(ANSWER_KINDS), min_size=1, max_size=40))
def test_lists_are_requested_at_a_bounded_rate(answers):
    """An agent has time for its entries, whatever its worker answers."""
    requests = simulate_worker(answers, 4.0)
    assert most_in_a_second(requests) <= LISTS_A_SECOND


def test_a_worker_that_answers_again_gets_requests_as_before():
    """A worker resets its connections, then answers requests again.

    If the pause between requests stayed as long as after the failures, its
    agent would learn late of the ends of short jobs.
    """
    requests = simulate_worker(['resets'] * 12 + ['lists'] * 1000, 6.0)
    assert most_in_a_second(requests[12:]) >= 25


class Store:
    """A store that answers each call at once, and always the same way."""

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
def test_a_store_is_called_at_a_bounded_rate(answer):
    """A store loses its history each time, or answers without waiting.

    The processes that watch it would call it in a loop, and the store would
    answer the calls of other processes with 429.
    """
    store = Store(answer)

    async def simulate():
        work = following.watch_table(
            store, 'table', 1.0, lambda snapshot: None, random.Random(1)
        )
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(work, 1.0)

    asyncio.run(simulate())
    assert store.calls <= STORE_CALLS_A_SECOND


def test_a_peer_that_hangs_up_at_once_is_dialled_at_a_bounded_rate():
    """A peer accepts connections, sends its hello and closes them.

    Each dial costs both processes as much as a hundred messages.
    """
    hello = messages.Hello('b', 'agent', 1, 'z', 'r', '', 0)
    data = codec.encode(hello, 0)
    dials = []

    async def hang_up(reader, writer):
        dials.append(1)
        writer.write(connections.FRAME_HEADER.pack(len(data)) + data)
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.close()

    async def simulate():
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

    asyncio.run(simulate())
    assert 2 <= len(dials) <= DIALS_A_SECOND


def test_a_task_that_every_worker_refuses_is_sent_at_a_bounded_rate():
    """All workers answer that they are unwell.

    If each refusal led to another start at once, entries and agents would
    spend their time on these while callers wait.
    """
    world = busy_world.BusyWorld(seed=1, entries=1, agents=3)
    for worker in world.workers.values():
        worker.unwell = True
    world.run(2.0)
    world.submit_random(busy_world.QUEUES[1])
    (caller,) = world.callers.values()
    world.run(1.0)
    assert world.starts <= STARTS_A_TASK * len(caller.spec.tasks)
