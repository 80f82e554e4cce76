"""What went wrong with which requests, over whole logs.

``agatepick explain --summary FILE...`` counts the requests that were refused,
ended late or failed, by second of their arrival, queue and cause, so that one
sees at which moments and for what reason callers lose the most.
"""

import collections
import dataclasses
import typing

from agatepick.cmd import commands
from agatepick.cmd import explain

_OUTCOMES = {
    'complete': 'late',
    'failed': 'failed',
    'not_run': 'refused',
    'cancelled': 'cancelled',
    'given_up': 'given_up',
}
"""What became of a request, by its verdict in the log."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Kind:
    """Requests that are counted together.

    :param second: of their first line, counted from that of the whole log.
    :param outcome: one of :data:`_OUTCOMES`, or ``lost`` without an end.
    """

    second: int
    queue: str
    outcome: str
    cause: str


def kinds(
    lines: typing.Iterable[str],
) -> tuple[collections.Counter[Kind], int]:
    """Counts of requests that went wrong, and the number of all."""
    stories: dict[str, list[explain.Line]] = {}
    for text in lines:
        line = explain.parse(text) if ' job=' in text else None
        if line is not None:
            stories.setdefault(line.fields['job'], []).append(line)
    found: collections.Counter[Kind] = collections.Counter()
    if not stories:
        return found, 0
    start = min(line.at for story in stories.values() for line in story)
    for story in stories.values():
        story.sort(key=lambda line: line.at)
        kind = _kind(story, start)
        if kind is not None:
            found[kind] += 1
    return found, len(stories)


def _kind(story: list[explain.Line], start: float) -> Kind | None:
    """How a request went wrong; ``None`` if it was answered in time."""
    second = int(story[0].at - start)
    queues = [line.fields.get('queue', '') for line in story]
    queue = next((one for one in queues if one), '')
    ends = [line for line in story if line.event in explain.ENDS]
    if not ends:
        return Kind(second, queue, 'lost', 'no_end_logged')
    end = ends[-1]
    outcome = 'refused'
    if end.event == 'job_ended':
        outcome = _OUTCOMES.get(end.fields.get('verdict', ''), 'failed')
    if outcome == 'late':
        if explain.number(end, 'late') <= 0.0:
            return None
        return Kind(second, queue, outcome, explain.delay(story, end).word)
    return Kind(second, queue, outcome, end.fields.get('reason', ''))


def show(files: tuple[str, ...]) -> commands.Output:
    """The table, with a line for each cause in all before it."""
    found, number = kinds(explain.read(files))
    causes: collections.Counter[tuple[str, str]] = collections.Counter()
    for kind, count in found.items():
        causes[kind.outcome, kind.cause] += count
    text = [f'{number} requests, {sum(found.values())} of them went wrong']
    text += [
        f'{count:6} {outcome} {cause}'
        for (outcome, cause), count in causes.most_common()
    ]
    text.append('second  count queue outcome cause')
    text += [
        f'{kind.second:6} {count:6} {kind.queue} {kind.outcome} {kind.cause}'
        for kind, count in sorted(found.items())
    ]
    return commands.Output('\n'.join(text))
