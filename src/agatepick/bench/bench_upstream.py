"""Stand-in workers of the bench, which record each start with its time.

The records are independent of agatepick: a worker records every request to run
a task, from any sender and including repeated ones.
"""

import dataclasses

from agatepick.bench import bench_evidence
from agatepick.bench import bench_violations
from agatepick.standins import standin_upstream
from agatepick import types


class StartRecorder:
    """Recorder of the task starts at all stand-in workers of one bench run.

    Instants are seconds from the start of the bench run.
    """

    def __init__(self, clock: types.Clock):
        self.runs: list[bench_evidence.Run] = []
        self._clock = clock
        self._run_started_at = clock.now()

    def start_run(self) -> None:
        """Set the start of the bench run to the present instant."""
        self._run_started_at = self._clock.now()

    def now(self) -> float:
        """Return the seconds since the start of the bench run."""
        return self.to_run_seconds(self._clock.now())

    def to_run_seconds(self, instant: float) -> float:
        """Convert an instant of the clock to seconds since the run's start."""
        return instant - self._run_started_at

    def record_start(self, run: bench_evidence.Run) -> int:
        """Record a start; return its position for :meth:`record_end`."""
        self.runs.append(run)
        return len(self.runs) - 1

    def record_end(self, position: int, failed: bool) -> None:
        """Record the end of the task run at a position."""
        self.runs[position] = dataclasses.replace(
            self.runs[position], end=self.now(), failed=failed
        )


class Worker(standin_upstream.StandIn):
    """Stand-in worker that records its starts."""

    def __init__(
        self,
        number: int,
        zone: str,
        recorder: StartRecorder,
        faults: standin_upstream.Faults,
    ):
        super().__init__(faults)
        self._number = number
        self._zone = zone
        self._recorder = recorder

    def start(
        self,
        task: standin_upstream.TaskKey,
        payload: bytes,
        done: standin_upstream.DoneCallback,
    ) -> None:
        """Start a task and record the start."""
        if self.faults.dead:
            return
        key, index = task
        now = self._recorder.now()
        # The run counts as unfinished until its end is recorded.
        position = self._recorder.record_start(
            bench_evidence.Run(
                key,
                bench_violations.make_task_id(index),
                self._number,
                self._zone,
                now,
                float('inf'),
            )
        )

        def record_end(
            state: types.TaskState, body: bytes, reason: str
        ) -> None:
            self._recorder.record_end(
                position, state is types.TaskState.FAILED
            )
            done(state, body, reason)

        super().start(task, payload, record_end)
