"""How late the bench's own event loop is.

All processes of a run share one core, so a busy loop delays starts that real
processes would not.  A run with much lag says more of the bench than of the
product; the report shows it beside the responses.
"""

import asyncio

from agatepick.bench import bench_measures

PERIOD_SECONDS = 0.02


class Lag:
    """Measures by how much short sleeps overrun."""

    def __init__(self) -> None:
        self._hist = bench_measures.recorder()
        self._task: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Measure from now on."""
        self._task = asyncio.get_running_loop().create_task(self._watch())

    def end(self) -> None:
        """Measure no more."""
        if self._task is not None:
            self._task.cancel()

    def figures(self) -> dict[str, float | int | str | None]:
        """Mean and 99th percentile, in milliseconds."""
        return {
            'loop_lag_mean_ms': self._hist.get_mean_value() / 1e3,
            'loop_lag_p99_ms': bench_measures.quantile(self._hist, 99.0) / 1e3,
        }

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + PERIOD_SECONDS
            await asyncio.sleep(PERIOD_SECONDS)
            late = (loop.time() - due) * 1e6
            lowest = bench_measures.LOWEST_MICROSECONDS
            self._hist.record_value(max(lowest, round(late)))
