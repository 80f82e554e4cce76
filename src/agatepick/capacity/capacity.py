"""Makes the tables of ``docs/CAPACITY.md`` from a measurement's JSON.

Every figure of the plan's size in the page comes from here: a line of
:mod:`agatepick.capacity.slopes`, extended to the size.  The page keeps its
tables between markers; ``update`` writes them anew, and a test finds a page
whose tables are not those of the measurement beside it.
"""

import collections.abc
import dataclasses
import math
import pathlib
import re

from agatepick.capacity import slopes

WORKERS = 9100
STARTS_PER_SECOND = 510_000
TASKS_A_JOB = 130
TEAMS = 150
ZONES = 8
CHANGES_A_DAY = 31_000
DAY_SECONDS = 86_400
CORE_LIMIT = 0.041
MEMORY_LIMIT = 64_000_000
BYTES_LIMIT = 2048
READS_LIMIT = 2000
WRITES_LIMIT = 400
"""Several hundred a second; the stand-in table's own limit."""
ENTRY_CORE_USE = 0.7
"""Share of its core that an entry fills at the plan's size: the rest is for
bursts and for the work of a lost neighbour."""
RETENTION_SECONDS = 600
VMS_LOST_A_DAY = 99
VMS_REPLACED_A_DAY = 690
RACK_SIZE = 3

MARKED = re.compile(
    r'(<!-- table: (?P<name>\w+) -->\n).*?(<!-- end -->)', re.DOTALL
)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Sizes that follow from the measurement.

    :param entries: processes of one core each.
    :param subset: agents that one entry may know within the byte limit.
    :param owners: entries that one agent then serves.
    """

    cpu_per_task: float
    entries: int
    subset: int
    owners: float

    @classmethod
    def from_slopes(cls, found: slopes.Slopes) -> 'Plan':
        """The plan's sizes by the measured costs."""
        line = found.line('entry_cpu_by_tasks')
        cpu = line.at(TASKS_A_JOB) / TASKS_A_JOB
        entries = math.ceil(STARTS_PER_SECOND * cpu / ENTRY_CORE_USE)
        control = found.line('entry_control_bytes')
        subset = max(1, math.floor(control.size_at(BYTES_LIMIT)))
        return cls(cpu, entries, subset, entries * subset / WORKERS)


Row = tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """One row of the control table."""

    role: str
    what: str
    line: str
    size: float
    limit: float
    module: str


def number(value: float) -> str:
    """A figure with three digits that count."""
    if math.isinf(value):
        return 'never'
    if value == 0:
        return '0'
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f'{round(value, digits):,.{min(digits, 6)}f}'


def table(
    heads: Row, rows: collections.abc.Iterable[Row]
) -> collections.abc.Iterator[str]:
    """Lines of a Markdown table."""
    yield '| ' + ' | '.join(heads) + ' |'
    yield '|' + ' --- |' * len(heads)
    for row in rows:
        yield '| ' + ' | '.join(row) + ' |'


def lines_table(found: slopes.Slopes) -> list[str]:
    """All lines with their points: what was measured."""
    rows = [
        (
            f'`{line.name}`',
            line.source,
            line.over,
            line.fixed,
            ', '.join(
                f'{number(size)}: {number(cost)}' for size, cost in line.points
            ),
            f'{number(line.slope)} {line.unit}',
            number(line.intercept),
            f'{line.residual:.1%}',
        )
        for line in found.lines
    ]
    heads = (
        'line',
        'source',
        'over',
        'held',
        'points (size: cost)',
        'slope',
        'at 0',
        'residual',
    )
    return list(table(heads, rows))


def plan_table(found: slopes.Slopes) -> list[str]:
    """Sizes that follow from the measured costs."""
    plan = Plan.from_slopes(found)
    jobs = STARTS_PER_SECOND / TASKS_A_JOB / plan.entries
    rows = [
        (
            'entry CPU a task, jobs of 130',
            f'{number(plan.cpu_per_task * 1e6)} µs',
            'measured',
        ),
        (
            'starts/s of one entry on a whole core',
            number(1 / plan.cpu_per_task),
            'extrapolated',
        ),
        (
            'entry processes for 510,000 starts/s, each 70% of a core',
            number(plan.entries),
            'extrapolated; 70% assumed',
        ),
        ('jobs/s an entry', number(jobs), 'extrapolated'),
        (
            'agents that one entry can hear within 2 KB/s',
            number(plan.subset),
            'extrapolated',
        ),
        (
            'entries that then know one agent',
            number(plan.owners),
            'extrapolated',
        ),
        (
            'agents that one entry can hear within 4.1% of a core',
            number(found.line('entry_idle_core').size_at(CORE_LIMIT)),
            'extrapolated',
        ),
    ]
    return list(table(('what', 'figure', 'kind'), rows))


def costs(found: slopes.Slopes) -> list[Cost]:
    """Control costs by role, each with its line, size and limit."""
    entries = Plan.from_slopes(found).entries
    changes = CHANGES_A_DAY / DAY_SECONDS
    return [
        Cost(
            'entry as owner',
            'agents it hears, B/s',
            'entry_control_bytes',
            WORKERS,
            BYTES_LIMIT,
            'links, dispatch',
        ),
        Cost(
            'entry as owner',
            'idle core share over agents',
            'entry_idle_core',
            WORKERS,
            CORE_LIMIT,
            'links, shell',
        ),
        Cost(
            'entry as owner',
            'resident bytes over agents',
            'entry_resident',
            WORKERS,
            MEMORY_LIMIT,
            'dispatch, links',
        ),
        Cost(
            'entry as owner',
            'resident bytes over remembered tasks',
            'entry_resident_by_tasks',
            RETENTION_SECONDS * STARTS_PER_SECOND / entries,
            MEMORY_LIMIT,
            'jobs',
        ),
        Cost(
            'entry as quota coordinator',
            'quota messages/s over teams',
            'team_messages',
            TEAMS,
            math.inf,
            'quotas',
        ),
        Cost(
            'entry as reader and lease granter',
            'other entries, B/s',
            'entry_control_bytes_by_entries',
            entries,
            BYTES_LIMIT,
            'configuration, readlease',
        ),
        Cost(
            'entry as reader and lease granter',
            'changes, B/s',
            'entry_bytes_by_changes',
            changes,
            BYTES_LIMIT,
            'configuration, headreader',
        ),
        Cost(
            'agent',
            'entries it hears, B/s',
            'agent_control_bytes',
            entries,
            BYTES_LIMIT,
            'links, agent',
        ),
        Cost(
            'agent',
            'idle core share over entries',
            'agent_idle_core',
            entries,
            CORE_LIMIT,
            'links, shell',
        ),
        Cost(
            'agent',
            'resident bytes over entries',
            'agent_resident',
            entries,
            MEMORY_LIMIT,
            'slots, ledger',
        ),
        Cost(
            'table service',
            'reads/s over entries',
            'table_reads',
            entries,
            READS_LIMIT,
            'headreader, tablestore',
        ),
        Cost(
            'table service',
            'writes/s over entries',
            'table_writes',
            entries,
            WRITES_LIMIT,
            'configuration, tablestore',
        ),
        Cost(
            'table service',
            'reads/s over changes/s',
            'table_reads_by_changes',
            changes,
            READS_LIMIT,
            'configuration, tablestore',
        ),
        Cost(
            'table service',
            'writes/s over changes/s',
            'table_writes_by_changes',
            changes,
            WRITES_LIMIT,
            'configuration, tablestore',
        ),
    ]


def control_table(found: slopes.Slopes) -> list[str]:
    """Each control cost at the plan's size beside its limit."""
    known = {line.name for line in found.lines}
    rows = []
    for cost in costs(found):
        if cost.line not in known:
            rows.append(
                (cost.role, cost.what, '', 'not measured', '', '', cost.module)
            )
            continue
        line = found.line(cost.line)
        at_plan = line.at(cost.size)
        held = 'yes' if at_plan <= cost.limit else 'no'
        breaks = (
            '' if math.isinf(cost.limit) else number(line.size_at(cost.limit))
        )
        limit = '' if math.isinf(cost.limit) else number(cost.limit)
        rows.append(
            (
                cost.role,
                cost.what,
                number(cost.size),
                number(at_plan),
                f'{limit} {held}' if limit else '',
                breaks,
                cost.module,
            )
        )
    heads = (
        'role',
        'cost',
        'plan size',
        'today there',
        'limit, held',
        'breaks at',
        'module',
    )
    return list(table(heads, rows))


def carry_table(found: slopes.Slopes) -> list[str]:
    """Messages, bytes and processor time of carrying work."""
    plan = Plan.from_slopes(found)
    messages = found.line('job_messages').at(TASKS_A_JOB) / TASKS_A_JOB
    size = found.line('job_bytes').at(TASKS_A_JOB) / TASKS_A_JOB
    each = STARTS_PER_SECOND / plan.entries
    per_agent = STARTS_PER_SECOND / WORKERS
    rows = [
        ('messages a task, both ways', number(messages), '', ''),
        ('bytes a task, both ways', number(size), '', ''),
        (
            'entry: messages/s, MB/s',
            '',
            number(each * messages),
            number(each * size / 1e6),
        ),
        (
            'agent: messages/s, MB/s',
            '',
            number(per_agent * messages),
            number(per_agent * size / 1e6),
        ),
        (
            'all: messages/s, MB/s',
            '',
            number(STARTS_PER_SECOND * messages),
            number(STARTS_PER_SECOND * size / 1e6),
        ),
    ]
    heads = ('carrying work', 'a task', 'messages/s', 'MB/s')
    return list(table(heads, rows))


def failure_table(found: slopes.Slopes) -> list[str]:
    """Load of failures and of a start of everything at once."""
    plan = Plan.from_slopes(found)
    per_agent = STARTS_PER_SECOND / WORKERS
    running = per_agent * MEAN_TASK_SECONDS
    listings = plan.entries
    rows = [
        (
            f'{VMS_LOST_A_DAY} VMs lost a day',
            f'one each {number(DAY_SECONDS / VMS_LOST_A_DAY / 60)} min',
            f'{number(running)} tasks unknown each',
        ),
        (
            f'{VMS_REPLACED_A_DAY} VMs replaced a day',
            f'one each {number(DAY_SECONDS / VMS_REPLACED_A_DAY)} s',
            'graceful: none',
        ),
        (
            'a rack lost',
            f'{RACK_SIZE} workers at once',
            f'{number(RACK_SIZE * running)} tasks unknown',
        ),
        (
            'a zone lost without a departure',
            f'{number(WORKERS / ZONES)} workers at once',
            f'{number(WORKERS / ZONES * running)} tasks unknown',
        ),
        (
            'start of everything at once',
            f'{number(listings)} listings at {number(WRITES_LIMIT)} writes/s',
            f'{number(listings / WRITES_LIMIT)} s at least, one head row: '
            'each listing is a compare-and-swap after another',
        ),
    ]
    return list(table(('event', 'rate or size', 'effect'), rows))


MEAN_TASK_SECONDS = 0.4
"""Assumed: between the brief's 50 ms and a second, with a few longer."""

TABLES: dict[str, collections.abc.Callable[[slopes.Slopes], list[str]]] = {
    'lines': lines_table,
    'plan': plan_table,
    'control': control_table,
    'carry': carry_table,
    'failures': failure_table,
}


def update(page: str, found: slopes.Slopes) -> str:
    """The page with every marked table made anew."""

    def fill(match: re.Match[str]) -> str:
        rows = TABLES[match['name']](found)
        return match[1] + '\n'.join(rows) + '\n' + match[3]

    return MARKED.sub(fill, page)


def update_file(page: pathlib.Path, measurement: pathlib.Path) -> None:
    """Write the tables of a page anew from a measurement."""
    text = page.read_text(encoding='utf-8')
    page.write_text(update(text, slopes.load(measurement)), encoding='utf-8')
