"""Tasks that had two runs at once, by the agents' own lines.

A run lasts from its start at an agent until the agent counted it as over, or
until its worker last listed it, if that is later.  Clocks of machines differ,
and lines may be dropped: what follows is as far as the logs show it.
"""

import dataclasses
import typing

from agatepick.cmd import log_lines

NO_END = 'no_end_logged'
"""Evidence of a run without a line of its end."""

_END_EVENTS = ('run_finished', 'run_failed', 'run_over', 'run_refused')


@dataclasses.dataclass(slots=True)
class _Run:
    """One run as its agent logged it.

    :ivar until: when it was counted as over, or last listed if later;
        ``None`` without such a line.
    :ivar reason: evidence on which it was counted as over.
    :ivar outlived: whether the worker listed it after that.
    """

    agent: str
    index: str
    number: str
    start: float
    until: float | None = None
    reason: str = NO_END
    outlived: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Overlap:
    """Two runs of one task at once.

    :param reason: evidence on which the earlier one was counted as over.
    :param seconds: time from the later start to the end of the earlier run;
        ``None`` if that end isn't logged.
    :param outlived: whether the worker listed the earlier one after it was
        counted as over.
    """

    index: str
    earlier: str
    later: str
    reason: str
    seconds: float | None
    outlived: bool

    def show(self) -> str:
        """Return the overlap as a line."""
        text = f'task {self.index}: {self.earlier} and {self.later} at once'
        if self.seconds is None:
            return f'{text}; no end of the first is logged'
        text += f' for {self.seconds:.3f} s; the first was counted as over'
        text += f' on {self.reason}'
        if self.outlived:
            text += ', and its worker listed it later'
        return text


def find_overlaps(lines: list[log_lines.Line]) -> list[Overlap]:
    """Return the overlaps of runs of one job's tasks.

    :param lines: the job's lines, sorted by time.
    """
    by_index: dict[str, list[_Run]] = {}
    for run in _collect_runs(lines):
        by_index.setdefault(run.index, []).append(run)
    return [
        overlap
        for task_runs in by_index.values()
        for overlap in _compare(task_runs)
    ]


def _collect_runs(lines: list[log_lines.Line]) -> list[_Run]:
    runs: list[_Run] = []
    last: dict[tuple[str, str, str], _Run] = {}
    for line in lines:
        index, number = (line.fields.get(k, '') for k in ('index', 'run'))
        key = (line.process, index, number)
        if line.event == 'run_started':
            last[key] = _Run(line.process, index, number, line.at)
            runs.append(last[key])
        elif key in last:
            _update(last[key], line)
    return runs


def _update(run: _Run, line: log_lines.Line) -> None:
    if line.event == 'run_outlived':
        run.until = line.at
        run.reason = line.fields.get('reason', '')
        run.outlived = True
    elif line.event in _END_EVENTS and run.until is None:
        run.until = line.at
        run.reason = line.fields.get('reason', '')


def _compare(task_runs: list[_Run]) -> typing.Iterator[Overlap]:
    """Yield the overlaps of each run with those that began before it."""
    for position, later in enumerate(task_runs):
        for earlier in task_runs[:position]:
            if earlier.until is None:
                seconds = None
            elif earlier.until <= later.start:
                continue
            else:
                seconds = earlier.until - later.start
            yield Overlap(
                later.index,
                _name(earlier),
                _name(later),
                earlier.reason,
                seconds,
                earlier.outlived,
            )


def _name(run: _Run) -> str:
    return f'run {run.number} ({run.agent})'
