"""Retries of refused starts, limited by a budget.

Load pattern: a zone is taken out of service or an agent drains, and all starts
that are on their way to the agents are refused at the same time.  Without a
budget each refusal becomes another start, and under saturation the system
spends its time on starts that are refused; without jitter all retries arrive
at the same instant.

Only a start that an agent refused is retried, so no task starts twice.  Each
start adds a part of a retry to the budget, a tenth in the ordinary preset:
refusals above that rate are a lasting condition, which retries can't repair.
Unused retries
accumulate up to a burst of 200, which covers two refusals of each of the 80
slots of a whole system.  The first retry is sent within 10 ms, to another
agent; each later one waits up to twice as long, at most half a second, since
a slot becomes free every few milliseconds.
"""

import heapq
import random
import typing

from agatepick.decisions import backoff
from agatepick.decisions import presets
from agatepick.decisions import queues

FIRST_RETRY_DELAY_SECONDS = 0.01
MAX_RETRY_DELAY_SECONDS = 0.5
RETRY_DELAYS = backoff.BackoffDelays(
    first_seconds=FIRST_RETRY_DELAY_SECONDS,
    max_seconds=MAX_RETRY_DELAY_SECONDS,
)
"""Upper bounds of the random delays before the retries of one task, in
seconds."""


class RetryBudget:
    """A token bucket that started tasks fill and retries drain."""

    def __init__(self, preset: presets.Preset, rng: random.Random) -> None:
        self._preset = preset
        self._rng = rng
        self._tokens = preset.retry_burst

    def use_preset(self, preset: presets.Preset) -> None:
        """Apply the share and the bound of another preset."""
        self._preset = preset
        self._tokens = min(self._tokens, preset.retry_burst)

    def add_tokens(self, placed_tasks: int) -> None:
        """Add the tokens for a number of placed tasks."""
        tokens = self._tokens + placed_tasks * self._preset.retry_share
        self._tokens = min(tokens, self._preset.retry_burst)

    def spend_token(self, attempt: int, remaining: float) -> float | None:
        """Spend a token on a retry and return the delay before it.

        :param attempt: number of the refused attempt, from 0.
        :param remaining: seconds until the deadline.
        :returns: seconds, or ``None`` if no retry is allowed.
        """
        if self._tokens < 1.0:
            return None
        delay = self._rng.uniform(0.0, RETRY_DELAYS.get_delay(attempt + 1))
        if delay >= remaining:
            return None
        self._tokens -= 1.0
        return delay


_ScheduledRetry = tuple[float, int, queues.QueuedTask]
"""Instant at which the retry is due, order of arrival, the task."""


class RetryQueue:
    """A queue of refused tasks, by the instant at which their retry is due."""

    def __init__(self) -> None:
        self._heap: list[_ScheduledRetry] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._heap)

    def __iter__(self) -> typing.Iterator[queues.QueuedTask]:
        return (task for _, _, task in self._heap)

    def push(self, task: queues.QueuedTask, due: float) -> None:
        """Add a task whose retry is due at an instant."""
        self._sequence += 1
        heapq.heappush(self._heap, (due, self._sequence, task))

    def pop_due(self, now: float) -> list[tuple[float, queues.QueuedTask]]:
        """Remove and return the due tasks, each with its due instant."""
        tasks = []
        while self._heap and self._heap[0][0] <= now:
            due, _, task = heapq.heappop(self._heap)
            tasks.append((due, task))
        return tasks

    def next_due(self) -> float | None:
        """Return the instant at which the next task is due."""
        return self._heap[0][0] if self._heap else None

    def remove(
        self, predicate: typing.Callable[[queues.QueuedTask], bool]
    ) -> list[queues.QueuedTask]:
        """Remove and return the tasks that match a predicate."""
        removed = [task for task in self if predicate(task)]
        if removed:
            self._heap = [
                item for item in self._heap if not predicate(item[2])
            ]
            heapq.heapify(self._heap)
        return removed
