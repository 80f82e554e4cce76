"""Generator of the tables in ``docs/CAPACITY.md`` from a measurement's JSON.

All figures for the planned size are computed here: the cost lines that
:mod:`agatepick.capacity.slopes` fits are extrapolated to that size.  The
tables are between markers in the page; :func:`update` regenerates them, and a
test fails if they don't match the measurement in the same folder.
"""

import collections.abc
import dataclasses
import math
import pathlib
import re

from agatepick.capacity import slopes

WORKER_COUNT = 9100
STARTS_PER_SECOND = 510_000
TASKS_PER_JOB = 130
TEAM_COUNT = 150
ZONE_COUNT = 8
CHANGES_PER_DAY = 31_000
DAY_SECONDS = 86_400
MAX_CORE_SHARE = 0.041
"""Largest share of one core that a process without tasks may take."""
MAX_RESIDENT_BYTES = 64_000_000
MAX_BYTES_PER_SECOND = 2048
MAX_READS_PER_SECOND = 2000
"""Limit of the stand-in table service."""
MAX_WRITES_PER_SECOND = 400
"""Several hundred per second: the limit of the stand-in table service."""
PLANNED_ENTRY_CORE_SHARE = 0.7
"""Share of its core that an entry uses at the planned size.

The rest is for bursts and for the work of a failed entry."""
RETENTION_SECONDS = 600
VMS_LOST_PER_DAY = 99
VMS_REPLACED_PER_DAY = 690
RACK_SIZE = 3

TABLE_BLOCK = re.compile(
    r'(<!-- table: (?P<name>\w+) -->\n).*?(<!-- end -->)', re.DOTALL
)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Sizes of the planned installation, computed from a measurement.

    :param cpu_seconds_per_task: processor time that an entry takes per
        task.
    :param entries: number of entry processes, with one core each.
    :param agents_per_entry: agents that an entry can be connected to within
        :data:`MAX_BYTES_PER_SECOND`.
    :param entries_per_agent: entries that are then connected to one agent.
    """

    cpu_seconds_per_task: float
    entries: int
    agents_per_entry: int
    entries_per_agent: float

    @classmethod
    def from_slopes(cls, measurement: slopes.Slopes) -> 'Plan':
        """Compute the sizes from the measured costs."""
        line = measurement.line('entry_cpu_by_tasks')
        cpu_seconds_per_task = line.at(TASKS_PER_JOB) / TASKS_PER_JOB
        entries = math.ceil(
            STARTS_PER_SECOND * cpu_seconds_per_task / PLANNED_ENTRY_CORE_SHARE
        )
        control_line = measurement.line('entry_control_bytes')
        agents_per_entry = max(
            1, math.floor(control_line.size_at(MAX_BYTES_PER_SECOND))
        )
        return cls(
            cpu_seconds_per_task,
            entries,
            agents_per_entry,
            entries * agents_per_entry / WORKER_COUNT,
        )


Row = tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """One row of the control table: a cost that is compared with its limit.

    :param role: process that has the cost.
    :param line_name: name of the measured line.
    :param size: planned size, to which the line is extrapolated.
    :param limit: largest cost allowed, in the unit of the line; infinite for
        none.
    :param module: modules of agatepick that cause the cost.
    """

    role: str
    description: str
    line_name: str
    size: float
    limit: float
    module: str


def format_number(value: float) -> str:
    """Format a figure with three significant digits."""
    if math.isinf(value):
        return 'never'
    if value == 0:
        return '0'
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f'{round(value, digits):,.{min(digits, 6)}f}'


def format_table(
    headers: Row, rows: collections.abc.Iterable[Row]
) -> collections.abc.Iterator[str]:
    """Yield the lines of a Markdown table."""
    yield '| ' + ' | '.join(headers) + ' |'
    yield '|' + ' --- |' * len(headers)
    for row in rows:
        yield '| ' + ' | '.join(row) + ' |'


def make_lines_table(measurement: slopes.Slopes) -> list[str]:
    """Return the table of all lines with their measured points."""
    rows = [
        (
            f'`{line.name}`',
            line.source,
            line.over,
            line.fixed,
            ', '.join(
                f'{format_number(size)}: {format_number(cost)}'
                for size, cost in line.points
            ),
            f'{format_number(line.slope)} {line.unit}',
            format_number(line.intercept),
            f'{line.residual:.1%}',
        )
        for line in measurement.lines
    ]
    headers = (
        'line',
        'source',
        'over',
        'held',
        'points (size: cost)',
        'slope',
        'at 0',
        'residual',
    )
    return list(format_table(headers, rows))


def make_plan_table(measurement: slopes.Slopes) -> list[str]:
    """Return the table of the sizes in :class:`Plan`."""
    plan = Plan.from_slopes(measurement)
    jobs = STARTS_PER_SECOND / TASKS_PER_JOB / plan.entries
    rows = [
        (
            'entry CPU a task, jobs of 130',
            f'{format_number(plan.cpu_seconds_per_task * 1e6)} µs',
            'measured',
        ),
        (
            'starts/s of one entry on a whole core',
            format_number(1 / plan.cpu_seconds_per_task),
            'extrapolated',
        ),
        (
            'entry processes for 510,000 starts/s, each 70% of a core',
            format_number(plan.entries),
            'extrapolated; 70% assumed',
        ),
        ('jobs/s an entry', format_number(jobs), 'extrapolated'),
        (
            'agents that one entry can hear within 2 KB/s',
            format_number(plan.agents_per_entry),
            'extrapolated',
        ),
        (
            'entries that then know one agent',
            format_number(plan.entries_per_agent),
            'extrapolated',
        ),
        (
            'agents that one entry can hear within 4.1% of a core',
            format_number(
                measurement.line('entry_idle_core').size_at(MAX_CORE_SHARE)
            ),
            'extrapolated',
        ),
    ]
    return list(format_table(('what', 'figure', 'kind'), rows))


def list_costs(measurement: slopes.Slopes) -> list[Cost]:
    """Return the rows of the control table, in their order."""
    entries = Plan.from_slopes(measurement).entries
    changes = CHANGES_PER_DAY / DAY_SECONDS
    return [
        Cost(
            'entry as owner',
            'agents it hears, B/s',
            'entry_control_bytes',
            WORKER_COUNT,
            MAX_BYTES_PER_SECOND,
            'links, dispatch',
        ),
        Cost(
            'entry as owner',
            'idle core share over agents',
            'entry_idle_core',
            WORKER_COUNT,
            MAX_CORE_SHARE,
            'links, shell',
        ),
        Cost(
            'entry as owner',
            'resident bytes over agents',
            'entry_resident',
            WORKER_COUNT,
            MAX_RESIDENT_BYTES,
            'dispatch, links',
        ),
        Cost(
            'entry as owner',
            'resident bytes over remembered tasks',
            'entry_resident_by_tasks',
            RETENTION_SECONDS * STARTS_PER_SECOND / entries,
            MAX_RESIDENT_BYTES,
            'jobs',
        ),
        Cost(
            'entry as quota coordinator',
            'quota messages/s over teams',
            'team_messages',
            TEAM_COUNT,
            math.inf,
            'quotas',
        ),
        Cost(
            'entry as reader and lease granter',
            'other entries, B/s',
            'entry_control_bytes_by_entries',
            entries,
            MAX_BYTES_PER_SECOND,
            'configuration, readlease',
        ),
        Cost(
            'entry as reader and lease granter',
            'changes, B/s',
            'entry_bytes_by_changes',
            changes,
            MAX_BYTES_PER_SECOND,
            'configuration, headreader',
        ),
        Cost(
            'agent',
            'entries it hears, B/s',
            'agent_control_bytes',
            entries,
            MAX_BYTES_PER_SECOND,
            'links, agent',
        ),
        Cost(
            'agent',
            'idle core share over entries',
            'agent_idle_core',
            entries,
            MAX_CORE_SHARE,
            'links, shell',
        ),
        Cost(
            'agent',
            'resident bytes over entries',
            'agent_resident',
            entries,
            MAX_RESIDENT_BYTES,
            'slots, ledger',
        ),
        Cost(
            'table service',
            'reads/s over entries',
            'table_reads',
            entries,
            MAX_READS_PER_SECOND,
            'headreader, tablestore',
        ),
        Cost(
            'table service',
            'writes/s over entries',
            'table_writes',
            entries,
            MAX_WRITES_PER_SECOND,
            'configuration, tablestore',
        ),
        Cost(
            'table service',
            'reads/s over changes/s',
            'table_reads_by_changes',
            changes,
            MAX_READS_PER_SECOND,
            'configuration, tablestore',
        ),
        Cost(
            'table service',
            'writes/s over changes/s',
            'table_writes_by_changes',
            changes,
            MAX_WRITES_PER_SECOND,
            'configuration, tablestore',
        ),
    ]


def make_control_table(measurement: slopes.Slopes) -> list[str]:
    """Return the table of control costs at the planned size, with limits."""
    measured_names = {line.name for line in measurement.lines}
    rows = []
    for cost in list_costs(measurement):
        if cost.line_name not in measured_names:
            rows.append(
                (
                    cost.role,
                    cost.description,
                    '',
                    'not measured',
                    '',
                    '',
                    cost.module,
                )
            )
            continue
        line = measurement.line(cost.line_name)
        cost_at_plan = line.at(cost.size)
        within_limit = 'yes' if cost_at_plan <= cost.limit else 'no'
        breaks_at = (
            ''
            if math.isinf(cost.limit)
            else format_number(line.size_at(cost.limit))
        )
        limit = '' if math.isinf(cost.limit) else format_number(cost.limit)
        rows.append(
            (
                cost.role,
                cost.description,
                format_number(cost.size),
                format_number(cost_at_plan),
                f'{limit} {within_limit}' if limit else '',
                breaks_at,
                cost.module,
            )
        )
    headers = (
        'role',
        'cost',
        'plan size',
        'today there',
        'limit, held',
        'breaks at',
        'module',
    )
    return list(format_table(headers, rows))


def make_work_table(measurement: slopes.Slopes) -> list[str]:
    """Return the table of the messages and bytes that carry tasks."""
    plan = Plan.from_slopes(measurement)
    messages_per_task = (
        measurement.line('job_messages').at(TASKS_PER_JOB) / TASKS_PER_JOB
    )
    bytes_per_task = (
        measurement.line('job_bytes').at(TASKS_PER_JOB) / TASKS_PER_JOB
    )
    starts_per_entry = STARTS_PER_SECOND / plan.entries
    starts_per_agent = STARTS_PER_SECOND / WORKER_COUNT
    rows = [
        (
            'messages a task, both ways',
            format_number(messages_per_task),
            '',
            '',
        ),
        ('bytes a task, both ways', format_number(bytes_per_task), '', ''),
        (
            'entry: messages/s, MB/s',
            '',
            format_number(starts_per_entry * messages_per_task),
            format_number(starts_per_entry * bytes_per_task / 1e6),
        ),
        (
            'agent: messages/s, MB/s',
            '',
            format_number(starts_per_agent * messages_per_task),
            format_number(starts_per_agent * bytes_per_task / 1e6),
        ),
        (
            'all: messages/s, MB/s',
            '',
            format_number(STARTS_PER_SECOND * messages_per_task),
            format_number(STARTS_PER_SECOND * bytes_per_task / 1e6),
        ),
    ]
    headers = ('carrying work', 'a task', 'messages/s', 'MB/s')
    return list(format_table(headers, rows))


def make_failure_table(measurement: slopes.Slopes) -> list[str]:
    """Return the table of failures and of a start of all processes."""
    plan = Plan.from_slopes(measurement)
    starts_per_agent = STARTS_PER_SECOND / WORKER_COUNT
    running_tasks = starts_per_agent * MEAN_TASK_SECONDS
    listings = plan.entries
    rows = [
        (
            f'{VMS_LOST_PER_DAY} VMs lost a day',
            f'one each '
            f'{format_number(DAY_SECONDS / VMS_LOST_PER_DAY / 60)} min',
            f'{format_number(running_tasks)} tasks unknown each',
        ),
        (
            f'{VMS_REPLACED_PER_DAY} VMs replaced a day',
            f'one each {format_number(DAY_SECONDS / VMS_REPLACED_PER_DAY)} s',
            'graceful: none',
        ),
        (
            'a rack lost',
            f'{RACK_SIZE} workers at once',
            f'{format_number(RACK_SIZE * running_tasks)} tasks unknown',
        ),
        (
            'a zone lost without a departure',
            f'{format_number(WORKER_COUNT / ZONE_COUNT)} workers at once',
            f'{format_number(WORKER_COUNT / ZONE_COUNT * running_tasks)} '
            'tasks unknown',
        ),
        (
            'start of everything at once',
            f'{format_number(listings)} listings at '
            f'{format_number(MAX_WRITES_PER_SECOND)} writes/s',
            f'{format_number(listings / MAX_WRITES_PER_SECOND)} s at least, '
            'one head row: each listing is a compare-and-swap after another',
        ),
    ]
    return list(format_table(('event', 'rate or size', 'effect'), rows))


MEAN_TASK_SECONDS = 0.4
"""Assumed mean run time: most tasks run between 50 ms and one second, a few
longer."""

TABLES: dict[str, collections.abc.Callable[[slopes.Slopes], list[str]]] = {
    'lines': make_lines_table,
    'plan': make_plan_table,
    'control': make_control_table,
    'carry': make_work_table,
    'failures': make_failure_table,
}


def update(page: str, measurement: slopes.Slopes) -> str:
    """Return the page with every marked table regenerated."""

    def replace_table(match: re.Match[str]) -> str:
        rows = TABLES[match['name']](measurement)
        return match[1] + '\n'.join(rows) + '\n' + match[3]

    return TABLE_BLOCK.sub(replace_table, page)


def update_file(page: pathlib.Path, measurement_path: pathlib.Path) -> None:
    """Regenerate the tables of a page from a measurement file."""
    text = page.read_text(encoding='utf-8')
    page.write_text(
        update(text, slopes.load(measurement_path)), encoding='utf-8'
    )
