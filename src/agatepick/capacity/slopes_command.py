"""``agatepick bench slopes``: measurement of costs over installation sizes.

Without options the command measures, in its own process, the messages and
bytes that the links between processes count.  The other options
are for ``scripts/measure_slopes.sh``, which starts processes: ``--write=DIR``
writes the settings of these processes, ``--read=DIR`` measures the processes
and prints points, and ``--points=FILE`` fits lines to these points too.
"""

import pathlib

import msgspec

from agatepick.capacity import slopes
from agatepick.capacity import slopes_programs
from agatepick.capacity import slopes_wire
from agatepick.cmd import commands


def run(
    json: bool = False,
    write: str = '',
    entries: int = 2,
    agents: int = 8,
    read: str = '',
    mode: str = slopes_programs.MODE_IDLE_BY_AGENTS,
    points: str = '',
) -> commands.Output:
    """Run one step of a measurement; see the module's docstring."""
    if write:
        slopes_programs.write_settings(pathlib.Path(write), entries, agents)
        return commands.Output('')
    if read:
        measured_points = slopes_programs.measure_points(
            pathlib.Path(read), mode
        )
        lines = [
            msgspec.json.encode(point).decode() for point in measured_points
        ]
        return commands.Output('\n'.join(lines))
    fitted_lines = slopes_wire.measure()
    if points:
        fitted_lines += slopes.fit_all(
            slopes_programs.LINE_SPECS,
            slopes_programs.load_points(pathlib.Path(points)),
        )
    result = slopes.Slopes(fitted_lines)
    return commands.Output(result.as_json() if json else as_table(result))


def as_table(measurement: slopes.Slopes) -> str:
    """Return one line of text for each fitted line."""
    return '\n'.join(
        f'{line.name:<32} {line.slope:12.4g} {line.unit} per {line.over}, '
        f'{line.intercept:.4g} at 0, residual {line.residual:.1%}'
        for line in measurement.lines
    )
