"""Summary of rejected, late and failed requests in logs.

``agatepick explain --summary FILE...`` counts these requests by second of
arrival, queue and cause, to show when and why most requests fail.
"""

import collections
import dataclasses
import typing

from agatepick.cmd import commands
from agatepick.cmd import explain
from agatepick.cmd import log_lines
from agatepick.cmd import overlaps

_OUTCOME_BY_VERDICT = {
    'complete': 'late',
    'failed': 'failed',
    'not_run': 'refused',
    'cancelled': 'cancelled',
    'given_up': 'given_up',
}
"""Outcome of a request by its ``verdict`` in the log.  A complete request is
counted only if it was late."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class FailureGroup:
    """Group of requests that are counted together.

    :param second: time of the first event of a request, relative to the first
        event of the log, in whole seconds.
    :param outcome: one of :data:`_OUTCOME_BY_VERDICT`, ``lost`` if no end
        is logged, or ``two_runs`` if a task had two runs at once.
    """

    second: int
    queue: str
    outcome: str
    cause: str


def count_failures(
    lines: typing.Iterable[str],
) -> tuple[collections.Counter[FailureGroup], int]:
    """Count the requests that weren't completed in time, by group.

    :returns: the counts, and the number of all requests in the log.
    """
    lines_by_job: dict[str, list[log_lines.Line]] = {}
    for text in lines:
        line = log_lines.parse_line(text) if ' job=' in text else None
        if line is not None:
            lines_by_job.setdefault(line.fields['job'], []).append(line)
    counts: collections.Counter[FailureGroup] = collections.Counter()
    if not lines_by_job:
        return counts, 0
    start = min(
        line.at for job_lines in lines_by_job.values() for line in job_lines
    )
    for job_lines in lines_by_job.values():
        job_lines.sort(key=lambda line: line.at)
        group = _classify_failure(job_lines, start)
        if group is not None:
            counts[group] += 1
    return counts, len(lines_by_job)


def _classify_failure(
    job_lines: list[log_lines.Line], start: float
) -> FailureGroup | None:
    """Return the group that counts a request, with outcome and cause.

    :returns: ``None`` if the request was completed in time.
    """
    second = int(job_lines[0].at - start)
    queues = [line.fields.get('queue', '') for line in job_lines]
    queue = next((queue_name for queue_name in queues if queue_name), '')
    for overlap in overlaps.find_overlaps(job_lines):
        # Without an end the line of it may be lost, or the agent was.
        if overlap.seconds is not None:
            return FailureGroup(second, queue, 'two_runs', overlap.reason)
    end_lines = [
        line for line in job_lines if line.event in explain.JOB_END_EVENTS
    ]
    if not end_lines:
        return FailureGroup(second, queue, 'lost', 'no_end_logged')
    end = end_lines[-1]
    outcome = 'refused'
    if end.event == 'job_ended':
        outcome = _OUTCOME_BY_VERDICT.get(
            end.fields.get('verdict', ''), 'failed'
        )
    if outcome == 'late':
        if explain.parse_number(end, 'late') <= 0.0:
            return None
        return FailureGroup(
            second, queue, outcome, explain.find_delay(job_lines, end).code
        )
    return FailureGroup(second, queue, outcome, end.fields.get('reason', ''))


def show(files: tuple[str, ...]) -> commands.Output:
    """Return the counts by outcome and cause, then a table of all groups."""
    counts, request_count = count_failures(explain.read_lines(files))
    causes: collections.Counter[tuple[str, str]] = collections.Counter()
    for group, count in counts.items():
        causes[group.outcome, group.cause] += count
    text = [
        f'{request_count} requests, {sum(counts.values())} of them went wrong'
    ]
    text += [
        f'{count:6} {outcome} {cause}'
        for (outcome, cause), count in causes.most_common()
    ]
    text.append('second  count queue outcome cause')
    text += [
        f'{group.second:6} {count:6} {group.queue} {group.outcome} '
        f'{group.cause}'
        for group, count in sorted(counts.items())
    ]
    return commands.Output('\n'.join(text))
