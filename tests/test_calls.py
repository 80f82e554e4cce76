import asyncio

import pytest

from agatepick.api import calls
from agatepick import exceptions


def test_crossed_replies_reach_the_calls_they_answer():
    """Replies come in another order than the requests did.

    A user would get the answer to someone else's request.
    """
    fed = []
    book = calls.Calls(fed.append)

    async def scenario():
        asked = [
            asyncio.create_task(
                book.call(lambda n, k=key: calls.JobAsked(n, k, 'team'))
            )
            for key in 'abc'
        ]
        await asyncio.sleep(0)
        for event in reversed(fed):
            book.reply(calls.Reply(event.call, event.key.upper()))
        return await asyncio.gather(*asked)

    assert asyncio.run(scenario()) == ['A', 'B', 'C']
    assert len(book) == 0


def test_a_reply_made_while_the_event_is_fed_is_not_lost():
    def feed(event):
        book.reply(calls.Reply(event.call, 'at once'))

    book = calls.Calls(feed)
    assert asyncio.run(book.call(calls.StatusAsked)) == 'at once'


def test_a_call_past_the_bound_is_refused_before_anything_is_done():
    """A burst of held-open requests fills the table of open calls.

    A user is told at once that nothing was done, and places are free again
    when earlier callers have gone away.
    """
    fed = []
    book = calls.Calls(fed.append, limit=1)

    async def scenario():
        first = asyncio.create_task(book.call(calls.StatusAsked))
        await asyncio.sleep(0)
        with pytest.raises(exceptions.TooManyCalls):
            await book.call(calls.StatusAsked)
        assert len(fed) == 1
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        assert len(book) == 0
        book.reply(calls.Reply(fed[0].call, 'too late'))

    asyncio.run(scenario())
