from agatepick.decisions import admission
from agatepick import types

ESTIMATE = admission.JobEstimate(
    task_count=10,
    work_seconds=5.0,
    longest_median_seconds=0.5,
    longest_seconds=1.0,
)


def _check(within, before=0.0, slots=10, free=10, estimate=ESTIMATE):
    job = types.JobSpec('key', 'team', (), 100.0 + within)
    load = admission.Load(before, slots, free)
    return admission.check_deadline(job, load, estimate, 0.1, 100.0)


def test_idle_slots_admit_a_job_that_will_probably_be_in_time():
    """A job with a tight deadline arrives while all workers are idle.

    If admission required the safe quantile here, the caller would be refused
    although the job would probably be in time.
    """
    assert _check(0.6) is None
    assert _check(0.4).code == 'deadline_too_short'


def test_a_job_is_refused_once_its_wait_and_run_pass_the_deadline():
    """Jobs arrive faster than the slots can run them.

    Admitted jobs must be in time, so others are refused with a retry time.
    """
    assert _check(3.0, before=11.0, free=0) is None
    refusal = _check(3.0, before=30.0, free=0)
    assert refusal.code == 'overloaded'
    late = (30.0 + 5.0) / 10 + 1.0 - 0.9 * 3.0
    assert abs(refusal.retry_after - late) < 1e-9


def test_retry_after_is_within_its_bounds():
    assert _check(2.35, before=11.0, free=0).retry_after >= 0.1
    assert _check(3.0, before=1e6, free=0).retry_after <= 30.0
    assert _check(-1.0).retry_after == 0.0
