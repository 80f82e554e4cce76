import random

import hypothesis
from hypothesis import strategies

from agatepick.decisions import presets
from agatepick.decisions import queues
from agatepick.decisions import retries


def _budget():
    return retries.RetryBudget(presets.ORDINARY, random.Random(1))


def test_a_system_that_refuses_everything_is_not_flooded():
    """Agents refuse every start, say as their clocks are off.

    Each refusal would cause another start, and nothing else would get through.
    """
    budget = _budget()
    allowed = 0
    for _ in range(10000):
        budget.started(1)
        allowed += budget.delay(0, 60.0) is not None
    assert allowed <= presets.ORDINARY.retry_burst + 10000 * 0.1 + 1


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    strategies.integers(0, 2**32 - 1), strategies.floats(0.0, 2.0)
)
def test_no_retry_is_put_off_past_the_deadline(attempt, left):
    pause = _budget().delay(attempt, left)
    assert pause is None or 0.0 <= pause < left
    assert pause is None or pause <= retries.MAX_SECONDS


def test_refused_together_they_do_not_come_back_together():
    """An agent that drains refuses eight starts in one message.

    Without jitter all would return in the same instant.
    """
    budget = _budget()
    assert len({budget.delay(3, 60.0) for _ in range(8)}) == 8


def test_the_queue_gives_back_what_is_due_and_loses_none(make_job):
    queue = retries.RetryQueue()
    tasks = [queues.Pending(make_job(), 0, 1) for _ in range(4)]
    for due, task in zip((3.0, 1.0, 2.0, 9.0), tasks, strict=True):
        queue.push(task, due)
    assert queue.due(2.5) == [(1.0, tasks[1]), (2.0, tasks[2])]
    assert queue.remove(lambda task: task is tasks[3]) == [tasks[3]]
    assert queue.next_due() == 3.0
    assert len(queue) == 1
