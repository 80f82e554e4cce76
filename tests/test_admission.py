from agatepick.decisions import admission
from agatepick import types

ONE = admission.Demand(tasks=10, work=5.0, typical=0.5, longest=1.0)


def _judge(within, before=0.0, slots=10, free=10, demand=ONE):
    job = types.JobSpec('key', 'team', (), 100.0 + within)
    load = admission.Load(before, slots, free)
    return admission.judge(job, load, demand, 0.1, 100.0)


def test_idle_slots_take_a_job_whose_longest_task_may_just_be_in_time():
    """A job with a tight deadline comes to idle workers.

    It will probably be in time; refusing it would be of no use to anyone.
    """
    assert _judge(0.6) is None
    assert _judge(0.4).code == 'deadline_too_short'


def test_a_job_is_refused_once_its_wait_and_run_pass_the_deadline():
    """Callers come faster than the slots can work.

    Those let in must be in time, so the rest is told when to come back.
    """
    assert _judge(3.0, before=11.0, free=0) is None
    refusal = _judge(3.0, before=30.0, free=0)
    assert refusal.code == 'overloaded'
    late = (30.0 + 5.0) / 10 + 1.0 - 0.9 * 3.0
    assert abs(refusal.retry_after - late) < 1e-9


def test_no_refusal_asks_to_come_back_within_no_time_or_hours():
    assert _judge(2.35, before=11.0, free=0).retry_after >= 0.1
    assert _judge(3.0, before=1e6, free=0).retry_after <= 30.0
    assert _judge(-1.0).retry_after == 0.0
