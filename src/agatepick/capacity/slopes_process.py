"""Reads processor time, memory and traffic of running processes by pid.

A process of the product starts no other process, so a script of the
repository starts them; this module only reads what the kernel says.
"""

import collections.abc
import dataclasses
import os
import pathlib

PROC = pathlib.Path('/proc')
KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One process at one instant.

    :param cpu_seconds: user and system time since its start.
    :param resident_bytes: resident memory.
    """

    pid: int
    cpu_seconds: float
    resident_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """What one process used between two samples.

    :param core_share: share of one core.
    """

    core_share: float
    resident_bytes: int


def sample(pid: int, proc: pathlib.Path = PROC) -> Sample:
    """Read one process; memory from ``VmRSS``."""
    stat = (proc / str(pid) / 'stat').read_text()
    # The name in parentheses may hold blanks.
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    seconds = ticks / os.sysconf('SC_CLK_TCK')
    return Sample(pid, seconds, resident(pid, proc))


def resident(pid: int, proc: pathlib.Path = PROC) -> int:
    """Resident bytes of a process."""
    for line in (proc / str(pid) / 'status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * KIB
    return 0


def use(before: Sample, after: Sample, seconds: float) -> Use:
    """Use between two samples that lie ``seconds`` apart."""
    share = (after.cpu_seconds - before.cpu_seconds) / seconds
    return Use(share, after.resident_bytes)


def mean_use(uses: collections.abc.Sequence[Use]) -> Use:
    """Mean over processes of one role."""
    count = len(uses)
    return Use(
        sum(one.core_share for one in uses) / count,
        sum(one.resident_bytes for one in uses) // count,
    )
