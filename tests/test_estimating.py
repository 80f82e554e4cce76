from agatepick.repeatable import estimating
from agatepick.repeatable import jobs
from agatepick.repeatable import routes
from agatepick import types


def make_job(steps, count, after):
    return jobs.Job(
        key='j',
        route=routes.Route('q', 'host', '/q/', 'p'),
        payload=b'',
        tasks=tuple(
            jobs.Task(f'j.{step}.{index}', step, types.Needs(1.0), 0.1)
            for step in range(steps)
            for index in range(count)
        ),
        after=after,
        deadline=10.0,
    )


def test_the_longest_chain_is_the_sum_of_its_steps():
    after = (frozenset(), frozenset({0}), frozenset())
    estimator = estimating.Estimator()
    chain = estimator.estimate_longest_chain(make_job(3, 2, after))
    single = estimator.estimate_longest_chain(make_job(1, 1, (frozenset(),)))
    assert chain == 2 * single


def test_alike_tasks_are_estimated_once(monkeypatch):
    """A job of thousands of tasks kept its entry busy for 0.1 s."""
    estimated = []
    estimate = estimating.Estimator.estimate_task

    def count(estimator, job, task):
        estimated.append(task)
        return estimate(estimator, job, task)

    monkeypatch.setattr(estimating.Estimator, 'estimate_task', count)
    job = make_job(1, 10_000, (frozenset(),))
    estimating.Estimator().estimate_longest_chain(job)
    assert len(estimated) == 1
