"""Processor time and memory of running processes, read by pid.

No agatepick process starts another process, so the script
``scripts/measure_slopes.sh`` starts the measured ones; this module only reads
the kernel's figures of them.
"""

import collections.abc
import dataclasses
import os
import pathlib

PROC = pathlib.Path('/proc')
KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Figures of one process at one instant.

    :param cpu_seconds: user and system time since the process started.
    :param resident_bytes: resident memory.
    """

    pid: int
    cpu_seconds: float
    resident_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of one process between two samples.

    :param core_share: mean processor time, as a share of one core.
    :param resident_bytes: resident memory at the second sample.
    """

    core_share: float
    resident_bytes: int


def take_sample(pid: int, proc: pathlib.Path = PROC) -> Sample:
    """Read the present figures of one process from ``/proc``.

    :param proc: directory to read instead of ``/proc``.
    """
    stat = (proc / str(pid) / 'stat').read_text()
    # The process name in parentheses may contain blanks.
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    seconds = ticks / os.sysconf('SC_CLK_TCK')
    return Sample(pid, seconds, read_resident_bytes(pid, proc))


def read_resident_bytes(pid: int, proc: pathlib.Path = PROC) -> int:
    """Return the resident bytes of a process, from ``VmRSS``; 0 if missing."""
    for line in (proc / str(pid) / 'status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * KIB
    return 0


def compute_usage(before: Sample, after: Sample, seconds: float) -> Usage:
    """Compute the usage between two samples taken ``seconds`` apart."""
    share = (after.cpu_seconds - before.cpu_seconds) / seconds
    return Usage(share, after.resident_bytes)


def compute_mean_usage(usages: collections.abc.Sequence[Usage]) -> Usage:
    """Compute the mean usage of several processes."""
    count = len(usages)
    return Usage(
        sum(usage.core_share for usage in usages) / count,
        sum(usage.resident_bytes for usage in usages) // count,
    )
