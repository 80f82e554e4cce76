"""Lag of the bench's own event loop.

All processes of a run share this loop and so one core: a busy loop delays
starts that separate processes would not delay.  If the lag is high, the
response times show the bench's own delays more than agatepick's, so the report
shows the lag beside them.
"""

import asyncio

from agatepick.bench import bench_measures

SAMPLE_PERIOD_SECONDS = 0.02


class LoopLag:
    """Measurement of the event loop's lag.

    The lag is the time by which short sleeps end too late.
    """

    def __init__(self) -> None:
        self._histogram = bench_measures.new_histogram()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start measuring."""
        self._task = asyncio.get_running_loop().create_task(self._measure())

    def stop(self) -> None:
        """Stop measuring."""
        if self._task is not None:
            self._task.cancel()

    def compute_figures(self) -> dict[str, float | int | str | None]:
        """Return the mean and 99th percentile of the lag in milliseconds."""
        return {
            'loop_lag_mean_ms': self._histogram.get_mean_value() / 1e3,
            'loop_lag_p99_ms': bench_measures.get_percentile(
                self._histogram, 99.0
            )
            / 1e3,
        }

    async def _measure(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + SAMPLE_PERIOD_SECONDS
            await asyncio.sleep(SAMPLE_PERIOD_SECONDS)
            overrun = (loop.time() - due) * 1e6
            lowest = bench_measures.MIN_RECORDED_MICROSECONDS
            self._histogram.record_value(max(lowest, round(overrun)))
