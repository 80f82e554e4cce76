"""When a refused start may be tried again.

Load pattern: a zone leaves or an agent drains, and the starts on their way
there come back refused, all at once.  Without a budget each refusal becomes
another start, and under saturation the system spends its time on starts that
are refused; without jitter they all come back in the same instant.

Only a start that an agent refused is tried again, so no task starts twice.
Each start earns a share of a retry (a tenth on ordinary days: refusals above
that rate are no accident but a state, which retrying can't mend) up to a
burst of 200, which covers the 80 slots of a whole system refused twice over.
The first retry goes out within 10 ms, to another agent; each later one waits
up to twice as long, at most half a second, since a slot frees every few
milliseconds.
"""

import heapq
import random
import typing

from agatepick.decisions import backoff
from agatepick.decisions import presets
from agatepick.decisions import queues

BASE_SECONDS = 0.01
MAX_SECONDS = 0.5
PAUSES = backoff.Pauses(first=BASE_SECONDS, most=MAX_SECONDS)
"""Longest pauses before each retry of one task."""


class RetryBudget:
    """Tokens that started tasks earn and retries spend."""

    def __init__(self, preset: presets.Preset, rng: random.Random) -> None:
        self._preset = preset
        self._rng = rng
        self._tokens = preset.retry_burst

    def use_preset(self, preset: presets.Preset) -> None:
        """Earn and hold by another preset from now on."""
        self._preset = preset
        self._tokens = min(self._tokens, preset.retry_burst)

    def started(self, number: int) -> None:
        """Earn for tasks that were placed."""
        earned = self._tokens + number * self._preset.retry_share
        self._tokens = min(earned, self._preset.retry_burst)

    def delay(self, attempt: int, left: float) -> float | None:
        """Seconds before the retry, or ``None`` to give up.

        :param attempt: the attempt that was refused, from 0.
        :param left: seconds in which a start would still be in time.
        """
        if self._tokens < 1.0:
            return None
        pause = self._rng.uniform(0.0, PAUSES.after(attempt + 1))
        if pause >= left:
            return None
        self._tokens -= 1.0
        return pause


_Entry = tuple[float, int, queues.Pending]
"""Instant at which it is due, order of arrival, the task."""


class RetryQueue:
    """Refused tasks on their way to another start, by when they are due."""

    def __init__(self) -> None:
        self._heap: list[_Entry] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._heap)

    def __iter__(self) -> typing.Iterator[queues.Pending]:
        return (task for _, _, task in self._heap)

    def push(self, task: queues.Pending, due: float) -> None:
        """Keep a task until an instant."""
        self._sequence += 1
        heapq.heappush(self._heap, (due, self._sequence, task))

    def due(self, now: float) -> list[tuple[float, queues.Pending]]:
        """Remove and return the tasks that are due, with their instants."""
        found = []
        while self._heap and self._heap[0][0] <= now:
            at, _, task = heapq.heappop(self._heap)
            found.append((at, task))
        return found

    def next_due(self) -> float | None:
        """Instant at which the next task is due."""
        return self._heap[0][0] if self._heap else None

    def remove(
        self, unwanted: typing.Callable[[queues.Pending], bool]
    ) -> list[queues.Pending]:
        """Remove and return some tasks."""
        removed = [task for task in self if unwanted(task)]
        if removed:
            self._heap = [one for one in self._heap if not unwanted(one[2])]
            heapq.heapify(self._heap)
        return removed
