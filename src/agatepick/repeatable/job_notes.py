"""What an entry tells of its jobs in the log and the counters."""

from agatepick import core
from agatepick.repeatable import admission
from agatepick.repeatable import jobs
from agatepick.repeatable import owned_jobs


def note_admitted(
    job: owned_jobs.OwnedJob, expected_seconds: float, now: float
) -> core.Note:
    """Return the note on a job that is admitted.

    :param expected_seconds: expected time of its longest chain of work.
    """
    return core.note(
        'job_admitted',
        job=job.spec.key,
        queue=job.spec.route.name,
        tasks=len(job.spec.tasks),
        expected=f'{expected_seconds:.3f}',
        slack=f'{job.latest_start - now:.3f}',
    )


def note_refused(
    spec: jobs.Job, refusal: admission.Refusal, version: int
) -> core.Note:
    """Return the note on a job that is refused, with what decided it.

    :param version: version of the desired state in force.
    """
    return core.note(
        'job_refused',
        job=spec.key,
        queue=spec.route.name,
        reason=refusal.reason,
        retry_after=f'{refusal.retry_after:.1f}',
        version=version,
        **_describe_load(refusal),
    )


def _describe_load(refusal: admission.Refusal) -> dict[str, str]:
    load = refusal.load
    if load is None:
        return {}
    inputs = {
        'needed': f'{load.needed_cores:.0f}',
        'free': f'{load.free_cores:.0f}',
        'rate': f'{load.released_cores_per_second:.0f}',
        'wait': f'{load.compute_wait():.3f}',
    }
    if refusal.reason == 'over_share':
        inputs['share'] = f'{load.share_cores:.1f}'
        inputs['held'] = f'{load.held_cores:.1f}'
    return inputs


def note_ended(
    job: owned_jobs.OwnedJob, answer: jobs.Answer, now: float
) -> core.Note:
    """Return the note on a job that is answered."""
    return core.note(
        'job_ended',
        job=job.spec.key,
        queue=job.spec.route.name,
        verdict=answer.verdict.value,
        reason=answer.reason or 'done',
        seconds=f'{now - job.arrived_at:.3f}',
        began=_format_seconds(job.arrived_at, job.started_at),
        all_began=_format_seconds(job.arrived_at, job.get_last_sent_at()),
        slowest=f'{job.compute_longest_run():.3f}',
        late=f'{now - job.objective_ends_at:.3f}',
    )


def _format_seconds(since: float, until: float | None) -> str:
    """Return the seconds between two instants; ``never`` without ``until``."""
    return 'never' if until is None else f'{until - since:.3f}'
