"""Restart of a part of a process that ended by an exception.

Load pattern: a watcher of a table, or the writer of a row, fails on a value
that nobody expected.  Nothing awaits these parts, so the process would go on
without them for good, and nobody would notice.
"""

import asyncio
import dataclasses
import random
import typing

from agatepick.decisions import backoff

RESTART_DELAYS = backoff.BackoffDelays(first_seconds=0.1, max_seconds=5.0)
"""Pauses before a part that ended is started again."""

CALM_SECONDS = 30.0
"""Time without an exception after which the pauses start anew."""

RecordFault = typing.Callable[[str, Exception], None]
"""Function that records an exception and the part which it ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A part of a process, which runs beside the others.

    :param name: name in log lines and counters.
    :param run: returns the coroutine that it consists of.
    """

    name: str
    run: typing.Callable[[], typing.Coroutine[typing.Any, typing.Any, None]]


async def supervise(
    part: Part, record_fault: RecordFault, rng: random.Random
) -> None:
    """Run a part until it returns; start it again after an exception."""
    pauses = backoff.Backoff(RESTART_DELAYS, rng)
    loop = asyncio.get_running_loop()
    while True:
        started_at = loop.time()
        try:
            await part.run()
        except Exception as exc:
            record_fault(part.name, exc)
        else:
            return
        if loop.time() >= started_at + CALM_SECONDS:
            pauses.reset()
        await asyncio.sleep(pauses.record_failure())
