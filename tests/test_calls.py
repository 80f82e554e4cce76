import asyncio

import pytest

from agatepick.api import calls
from agatepick import exceptions


def test_replies_out_of_order_reach_their_calls():
    """Replies arrive in a different order than the requests.

    Without call numbers, users would receive the answers to other requests.
    """
    events = []
    pending_calls = calls.Calls(events.append)

    async def scenario():
        tasks = [
            asyncio.create_task(
                pending_calls.call(
                    lambda n, k=key: calls.JobAsked(n, k, 'team')
                )
            )
            for key in 'abc'
        ]
        await asyncio.sleep(0)
        for event in reversed(events):
            pending_calls.reply(calls.Reply(event.call, event.key.upper()))
        return await asyncio.gather(*tasks)

    assert asyncio.run(scenario()) == ['A', 'B', 'C']
    assert len(pending_calls) == 0


def test_a_reply_made_while_the_event_is_handled_is_not_lost():
    def feed(event):
        pending_calls.reply(calls.Reply(event.call, 'at once'))

    pending_calls = calls.Calls(feed)
    assert asyncio.run(pending_calls.call(calls.StatusAsked)) == 'at once'


def test_a_call_over_the_limit_is_refused_before_it_reaches_the_reducer():
    """A burst of held requests reaches the limit of pending calls.

    A user immediately receives an error that nothing was done, and a
    cancelled call makes room for another one.
    """
    events = []
    pending_calls = calls.Calls(events.append, limit=1)

    async def scenario():
        first = asyncio.create_task(pending_calls.call(calls.StatusAsked))
        await asyncio.sleep(0)
        with pytest.raises(exceptions.TooManyCalls):
            await pending_calls.call(calls.StatusAsked)
        assert len(events) == 1
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        assert len(pending_calls) == 0
        pending_calls.reply(calls.Reply(events[0].call, 'too late'))

    asyncio.run(scenario())
