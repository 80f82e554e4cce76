"""Whether a job is let in: its predicted end against its deadline.

Load pattern: saturation, and bursts beyond what the slots can do in time.
Without this the queue grows until every job ends after its deadline: the
slots are busy with work whose answer is of no use, and goodput falls to
nothing while all slots are taken.

The prediction counts the work that would start before the job, and the job's
own, over the slots this entry can use; what free slots take at once doesn't
wait.  To that it adds the run time of the job's longest task, at the
preset's quantile of the worst of its last tasks.  A job that would end too
late is refused at once, with the seconds after which the queue will be short
enough.  A job that fits no worker, or that more likely than not couldn't end
in time on idle ones either, is refused for good.  The preset keeps a tenth
to a fifth of the time to the deadline spare, as one task in a hundred takes
longer than its kind's quantile says.
"""

import dataclasses

from agatepick import types

MIN_RETRY_AFTER = 0.1
MAX_RETRY_AFTER = 30.0
ZONE_RETRY_AFTER = 5.0
NO_WORKERS_RETRY_AFTER = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a job isn't let in.

    :param code: a word for programs, such as ``overloaded``.
    :param reason: the same for people.
    :param retry_after: seconds; 0 if the job will never run.
    """

    code: str
    reason: str
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a job would meet.

    :param work_before: expected seconds of tasks that start before it.
    :param slots: slots that this entry can use.
    :param free: those of them that are free.
    """

    work_before: float
    slots: float
    free: int


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a job asks for, in expected seconds.

    :param work: of all its tasks.
    :param typical: of its longest task, at the median.
    :param longest: of its longest task, at the preset's quantile.
    """

    tasks: int
    work: float
    typical: float
    longest: float


def predicted_wait(load: Load, demand: Demand) -> float:
    """Seconds until the job's last task starts."""
    if not demand.tasks:
        return 0.0
    at_once = load.free * demand.work / demand.tasks
    waiting = max(0.0, load.work_before + demand.work - at_once)
    return waiting / max(load.slots, 1.0)


def judge(
    job: types.JobSpec,
    load: Load,
    demand: Demand,
    spare_share: float,
    now: float,
) -> Refusal | None:
    """Refuse a job that would end after its deadline, else ``None``."""
    left = job.deadline - now
    if left <= 0.0:
        return Refusal('deadline_passed', 'the deadline has passed', 0.0)
    if demand.typical > left:
        return Refusal(
            'deadline_too_short',
            f'its longest task takes {demand.typical:.2f} s, the deadline'
            f' is in {left:.2f} s',
            0.0,
        )
    wait = predicted_wait(load, demand)
    usable = left * (1.0 - spare_share)
    if not wait or wait + demand.longest <= usable:
        return None
    late = wait + demand.longest - usable
    return Refusal(
        'overloaded',
        f'would end {late:.2f} s too late: {load.work_before:.1f} s of work'
        f' waits before it for {load.slots:.0f} slots',
        min(max(late, MIN_RETRY_AFTER), MAX_RETRY_AFTER),
    )


def no_workers() -> Refusal:
    """No agent has announced a worker yet."""
    return Refusal(
        'no_workers', 'no worker has been announced', NO_WORKERS_RETRY_AFTER
    )


def no_such_kind(kind: str) -> Refusal:
    """No worker serves a kind of task."""
    return Refusal('no_such_kind', f'no worker serves kind {kind!r}', 0.0)


def no_such_zone(zones: tuple[str, ...], kind: str) -> Refusal:
    """The job's zones have no worker that serves a kind."""
    return Refusal(
        'no_such_zone',
        f'no worker in {", ".join(zones)} serves kind {kind!r}',
        0.0,
    )


def too_large(needs: types.Needs) -> Refusal:
    """No worker is large enough."""
    return Refusal(
        'too_large',
        f'no worker has {needs.cpu:g} cores, {needs.memory_mb} MiB and'
        f' {needs.accelerators} accelerators',
        0.0,
    )


def zones_closed() -> Refusal:
    """All zones that the job may run in are out."""
    return Refusal(
        'zone_closed',
        'every zone that it may run in is out of service',
        ZONE_RETRY_AFTER,
    )
