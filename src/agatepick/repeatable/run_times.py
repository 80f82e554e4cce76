"""What the times of runs show of their worker: its health and usual speed."""

import typing

from agatepick import core
from agatepick.repeatable import health
from agatepick.repeatable import runs
from agatepick.repeatable import speeds

MIN_EXPECTED_SECONDS = 0.05
"""Lower bound of expected run times in health records.  Shorter runs take as
long as a round trip to the worker on a busy machine, which doesn't show how
the worker performs."""


class RunTimes:
    """The times of the runs at one worker."""

    def __init__(
        self, health_record: health.Health, usual_speed: speeds.UsualSpeed
    ) -> None:
        self._health = health_record
        self._usual_speed = usual_speed

    def record_result(
        self, run: runs.Run, finished: bool, incarnation: str, now: float
    ) -> list[object]:
        """Record the end of a run with a result.

        :param finished: whether it finished; otherwise it failed.
        :param incarnation: the worker's, for notes.
        """
        ratio = self._compute_ratio(run, now)
        self._health.record_end(
            finished, ratio / self._usual_speed.slowness, now
        )
        if not finished or not run.expected_seconds:
            return []
        return self._record_speed(ratio, incarnation, now)

    def _record_speed(
        self, ratio: float, incarnation: str, now: float
    ) -> list[object]:
        """Record a finished run in the estimate of the usual speed."""
        speed = self._usual_speed
        was_known = speed.is_known
        if not speed.record(ratio, now):
            return []
        if not was_known:
            self._health.rescale(1.0 / speed.slowness)
        return [
            core.note(
                'worker_speed',
                life=incarnation,
                slowness=f'{speed.slowness:.2f}',
                runs=speed.run_count,
            )
        ]

    def record_overdue(
        self, present: typing.Iterable[runs.Run], now: float
    ) -> None:
        """Record runs that exceed their expected time."""
        for run in present:
            if run.stopping or not run.expected_seconds:
                continue
            ratio = self._compute_ratio(run, now) / self._usual_speed.slowness
            if ratio >= run.next_overdue_ratio:
                run.next_overdue_ratio *= 2.0
                self._health.record_overdue(ratio, now)

    def _compute_ratio(self, run: runs.Run, now: float) -> float:
        """Return a run's time so far as a multiple of the expected one."""
        expected_seconds = max(run.expected_seconds, MIN_EXPECTED_SECONDS)
        return (now - run.requested_at) / expected_seconds
