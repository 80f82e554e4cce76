"""Pattern, deployment and planned operations of a bench run.

Instants are seconds from the start of the run.
"""

import dataclasses
import enum


class Pattern(enum.StrEnum):
    """Patterns of load and faults that the bench can play."""

    STEADY = 'steady'
    BURST = 'burst'
    HOT = 'hot'
    SLOW_UPSTREAM = 'slow-upstream'
    LONG_AMONG_SHORT = 'long-among-short'
    SATURATION = 'saturation'
    FAILING_WORKER = 'failing-worker'
    CANCEL_WAVE = 'cancel-wave'
    WRONG_SIZES = 'wrong-sizes'
    ZONE = 'zone'
    OUTAGE = 'outage'
    ROLLING = 'rolling'
    RESUBMIT = 'resubmit'
    THROUGHPUT = 'throughput'


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Size and latencies of one installation.

    :param zone_latency_seconds: one-way latency between zones.
    :param client_latency_seconds: one-way latency between a caller and an
        entry.
    :param cores: cores of each worker; ``memory_mb`` and ``slots`` likewise.
    :param workers: number of workers, each with an agent.
    :param rack_size: workers in one rack.
    """

    name: str
    zones: tuple[str, ...]
    zone_latency_seconds: float
    client_latency_seconds: float
    cores: float
    memory_mb: int
    entries: int = 2
    workers: int = 10
    slots: int = 8
    rack_size: int = 3

    @property
    def total_slots(self) -> int:
        """Number of slots of all workers."""
        return self.workers * self.slots

    def zone_of(self, worker: int) -> str:
        """Return the zone of a worker by its number."""
        return self.zones[worker % len(self.zones)]


DEPLOYMENTS = {
    'lectores': Deployment(
        'lectores',
        ('talca', 'curico', 'linares', 'chillan'),
        zone_latency_seconds=0.001,
        client_latency_seconds=0.003,
        cores=64,
        memory_mb=256 * 1024,
    ),
    'cascadia': Deployment(
        'cascadia',
        ('cascadia-a', 'cascadia-b', 'cascadia-c'),
        zone_latency_seconds=0.0005,
        client_latency_seconds=0.003,
        cores=32,
        memory_mb=128 * 1024,
    ),
}


class Action(enum.StrEnum):
    """Operations that a run carries out on the installation or its jobs."""

    ZONE_OUT = 'zone_out'
    ZONE_IN = 'zone_in'
    STORE_DOWN = 'store_down'
    STORE_UP = 'store_up'
    KILL_ENTRY = 'kill_entry'
    REPLACE_ENTRY = 'replace_entry'
    REPLACE_AGENT = 'replace_agent'
    CANCEL_HALF = 'cancel_half'


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One planned operation.

    :param at: instant in seconds from the run's start.
    :param target: name of a zone, or number of an entry or agent; empty for
        operations on the table service or on jobs.
    """

    at: float
    action: Action
    target: str = ''


def plan_steps(
    pattern: Pattern, seconds: float, deployment: Deployment
) -> tuple[Step, ...]:
    """Return the operations that a pattern includes, with their instants."""
    third = seconds / 3
    half = seconds / 2
    if pattern is Pattern.ZONE:
        zone = deployment.zones[0]
        return (
            Step(third, Action.ZONE_OUT, zone),
            Step(2 * third, Action.ZONE_IN, zone),
        )
    if pattern is Pattern.OUTAGE:
        return (
            Step(third, Action.STORE_DOWN),
            Step(half, Action.KILL_ENTRY, '1'),
            Step(2 * third, Action.STORE_UP),
        )
    if pattern is Pattern.RESUBMIT:
        return (Step(half, Action.KILL_ENTRY, '1'),)
    if pattern is Pattern.CANCEL_WAVE:
        return (Step(half, Action.CANCEL_HALF),)
    if pattern is Pattern.ROLLING:
        return plan_rolling_steps(seconds, deployment)
    return ()


def plan_rolling_steps(
    seconds: float, deployment: Deployment
) -> tuple[Step, ...]:
    """Return steps that replace each entry, then each agent.

    The steps are spread evenly over the run.
    """
    replacements = [
        (Action.REPLACE_ENTRY, str(num)) for num in range(deployment.entries)
    ]
    replacements += [
        (Action.REPLACE_AGENT, str(num)) for num in range(deployment.workers)
    ]
    gap = seconds * 0.9 / len(replacements)
    return tuple(
        Step(gap * (position + 0.5), action, target)
        for position, (action, target) in enumerate(replacements)
    )
