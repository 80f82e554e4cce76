"""Stand-in workers of the bench: each start is written down with its time.

The count owes nothing to the product: a worker here writes a start down when
it is asked to run a task, whoever asked and however often.
"""

import dataclasses

from agatepick.bench import bench_evidence
from agatepick.bench import bench_truth
from agatepick.standins import standin_upstream
from agatepick import types


class StartBook:
    """Every start at any upstream of one run, in seconds from its begin."""

    def __init__(self, clock: types.Clock):
        self.runs: list[bench_evidence.Run] = []
        self._clock = clock
        self._begin = clock.now()

    def begin(self) -> None:
        """The run begins now."""
        self._begin = self._clock.now()

    def now(self) -> float:
        """Seconds since the run began."""
        return self.seconds_at(self._clock.now())

    def seconds_at(self, instant: float) -> float:
        """An instant as seconds since the run began."""
        return instant - self._begin

    def started(self, run: bench_evidence.Run) -> int:
        """Write a start down; returns its place for :meth:`ended`."""
        self.runs.append(run)
        return len(self.runs) - 1

    def ended(self, place: int, failed: bool) -> None:
        """Write the end of a run down."""
        self.runs[place] = dataclasses.replace(
            self.runs[place], end=self.now(), failed=failed
        )


class Worker(standin_upstream.StandIn):
    """One worker, by its number, in its zone."""

    def __init__(
        self,
        number: int,
        zone: str,
        book: StartBook,
        faults: standin_upstream.Faults,
    ):
        super().__init__(faults)
        self._number = number
        self._zone = zone
        self._book = book

    def start(
        self,
        task: standin_upstream.TaskKey,
        payload: bytes,
        done: standin_upstream.Done,
    ) -> None:
        """Start a task and write it down."""
        if self.faults.dead:
            return
        key, index = task
        now = self._book.now()
        # Still running until told otherwise.
        place = self._book.started(
            bench_evidence.Run(
                key,
                bench_truth.task_id(index),
                self._number,
                self._zone,
                now,
                float('inf'),
            )
        )

        def ended(state: types.TaskState, body: bytes, reason: str) -> None:
            self._book.ended(place, state is types.TaskState.FAILED)
            done(state, body, reason)

        super().start(task, payload, ended)
