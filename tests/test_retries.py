import random

import hypothesis
from hypothesis import strategies

from agatepick.decisions import presets
from agatepick.decisions import queues
from agatepick.decisions import retries


def _budget():
    return retries.RetryBudget(presets.ORDINARY, random.Random(1))


def test_a_system_that_refuses_everything_is_not_flooded():
    """Agents refuse every start, for example because their clocks are off.

    Without a budget each refusal would cause another start, and no other
    work would be done.
    """
    budget = _budget()
    allowed = 0
    for _ in range(10000):
        budget.add_tokens(1)
        allowed += budget.spend_token(0, 60.0) is not None
    assert allowed <= presets.ORDINARY.retry_burst + 10000 * 0.1 + 1


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    strategies.integers(0, 2**32 - 1), strategies.floats(0.0, 2.0)
)
def test_no_retry_is_put_off_past_the_deadline(attempt, left):
    pause = _budget().spend_token(attempt, left)
    assert pause is None or 0.0 <= pause < left
    assert pause is None or pause <= retries.MAX_RETRY_DELAY_SECONDS


def test_retries_of_simultaneous_refusals_are_spread():
    """An agent that drains refuses eight starts in one message.

    Without jitter all retries would be sent at the same instant.
    """
    budget = _budget()
    assert len({budget.spend_token(3, 60.0) for _ in range(8)}) == 8


def test_the_queue_returns_due_tasks_and_loses_none(make_job):
    queue = retries.RetryQueue()
    tasks = [queues.QueuedTask(make_job(), 0, 1) for _ in range(4)]
    for due, task in zip((3.0, 1.0, 2.0, 9.0), tasks, strict=True):
        queue.push(task, due)
    assert queue.pop_due(2.5) == [(1.0, tasks[1]), (2.0, tasks[2])]
    assert queue.remove(lambda task: task is tasks[3]) == [tasks[3]]
    assert queue.next_due() == 3.0
    assert len(queue) == 1
