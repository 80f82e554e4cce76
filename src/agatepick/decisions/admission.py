"""Admission control: the predicted end of a job against its deadline.

Load pattern: saturation, and bursts that exceed what the slots can run in
time.  Without admission control the queue grows until every job ends after
its deadline: all slots run tasks whose results are of no use, and goodput
falls to zero at full utilisation.

The prediction adds up the work that starts before the job and the job's own
work, and divides it by the slots that this entry can use; tasks that fit
into free slots start at once and don't wait.  To this it adds the longest run
time among the last tasks of the job, estimated at the quantile that the
preset sets.  A job that would end too late is refused at once, with the
seconds after which the queue will be short enough.  A job that fits no worker,
or whose longest task would more likely than not miss the deadline even on idle
workers, is refused permanently.  Each preset leaves a tenth to a fifth of the
time to the deadline unused, because one task in a hundred takes longer than
the quantile estimated for its kind.
"""

import dataclasses

from agatepick import types

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 30.0
"""Bounds of the retry time in the refusal of an overload, in seconds."""
CLOSED_ZONES_RETRY_SECONDS = 5.0
"""Retry time while all zones of a job are out of service, in seconds."""
NO_WORKERS_RETRY_SECONDS = 1.0
"""Retry time while the entry has no worker, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why a job isn't admitted.

    :param code: machine-readable reason, such as ``overloaded``.
    :param reason: human-readable reason.
    :param retry_after: seconds after which the caller may submit the job
        again; 0 if a retry can't succeed.
    """

    code: str
    reason: str
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load on an entry at the arrival of a new job.

    :param work_before_seconds: sum of the expected run times of the tasks
        that start before the job.
    :param usable_slots: slots that this entry can use.
    :param free_slots: number of these slots that are free.
    """

    work_before_seconds: float
    usable_slots: float
    free_slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobEstimate:
    """The number of a job's tasks and their estimated run times.

    :param task_count: number of its tasks.
    :param work_seconds: sum of the expected run times of all its tasks.
    :param longest_median_seconds: median of the run time of its longest task.
    :param longest_seconds: run time that none of its tasks exceeds with the
        probability that the preset sets.
    """

    task_count: int
    work_seconds: float
    longest_median_seconds: float
    longest_seconds: float


def predict_wait(load: Load, estimate: JobEstimate) -> float:
    """Return the expected seconds until the job's last task starts."""
    if not estimate.task_count:
        return 0.0
    immediate_work = (
        load.free_slots * estimate.work_seconds / estimate.task_count
    )
    waiting_work = max(
        0.0, load.work_before_seconds + estimate.work_seconds - immediate_work
    )
    return waiting_work / max(load.usable_slots, 1.0)


def check_deadline(
    job: types.JobSpec,
    load: Load,
    estimate: JobEstimate,
    spare_share: float,
    now: float,
) -> Refusal | None:
    """Return a refusal if a job would end after its deadline.

    :param spare_share: part of the time to the deadline that stays unused.
    :returns: the refusal, or ``None`` if the job can be admitted.
    """
    remaining = job.deadline - now
    if remaining <= 0.0:
        return Refusal('deadline_passed', 'the deadline has passed', 0.0)
    if estimate.longest_median_seconds > remaining:
        return Refusal(
            'deadline_too_short',
            f'its longest task takes {estimate.longest_median_seconds:.2f} s,'
            f' the deadline is in {remaining:.2f} s',
            0.0,
        )
    wait = predict_wait(load, estimate)
    usable_seconds = remaining * (1.0 - spare_share)
    if not wait or wait + estimate.longest_seconds <= usable_seconds:
        return None
    excess = wait + estimate.longest_seconds - usable_seconds
    return Refusal(
        'overloaded',
        f'would end {excess:.2f} s too late: {load.work_before_seconds:.1f} s'
        f' of work waits before it for {load.usable_slots:.0f} slots',
        min(max(excess, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS),
    )


def refuse_no_workers() -> Refusal:
    """Return the refusal for an entry to which no worker is announced."""
    return Refusal(
        'no_workers', 'no worker has been announced', NO_WORKERS_RETRY_SECONDS
    )


def refuse_unknown_kind(kind: str) -> Refusal:
    """Return the refusal for a kind of task that no worker serves."""
    return Refusal('no_such_kind', f'no worker serves kind {kind!r}', 0.0)


def refuse_unknown_zone(zones: tuple[str, ...], kind: str) -> Refusal:
    """Return the refusal for zones without a worker that serves a kind."""
    return Refusal(
        'no_such_zone',
        f'no worker in {", ".join(zones)} serves kind {kind!r}',
        0.0,
    )


def refuse_too_large(needs: types.Needs) -> Refusal:
    """Return the refusal for needs that exceed every worker's capacity."""
    return Refusal(
        'too_large',
        f'no worker has {needs.cpu:g} cores, {needs.memory_mb} MiB and'
        f' {needs.accelerators} accelerators',
        0.0,
    )


def refuse_closed_zones() -> Refusal:
    """Return the refusal for a job whose zones are all out of service."""
    return Refusal(
        'zone_closed',
        'every zone that it may run in is out of service',
        CLOSED_ZONES_RETRY_SECONDS,
    )
