"""Seeded load for the bench: arrivals, run times, sizes and planned faults.

All random values come from one ``random.Random(seed)``, so a pattern and a
seed give the same jobs on every machine.  Instants are seconds from the start
of the run.
"""

import collections.abc
import dataclasses
import random

from agatepick.bench import bench_plan

SHORTEST_TASK_SECONDS = 0.05
LONGEST_SHORT_TASK_SECONDS = 1.0
LONG_TASK_SHARE = 0.05
"""Share of tasks that run for several seconds."""
LONG_TASK_SECONDS_RANGE = (2.0, 5.0)
KINDS = ('kind-0', 'kind-1', 'kind-2', 'kind-3', 'long', 'short')
TEAM_COUNT = 8
HEAVY_TEAM_COUNT = 3
HEAVY_TEAMS_LOAD_SHARE = 0.8
"""Share of the load that the three heavy teams send."""
MAX_TASKS_PER_JOB = 130
DEADLINE_SECONDS = 30.0
"""Time from a job's arrival to its deadline, unless the pattern sets one."""
SATURATION_WAIT_SECONDS = 2.0
SATURATION_RUN_TIME_FACTOR = 2.0


DEFAULT_SLOT_SHARE_BY_PATTERN = {
    bench_plan.Pattern.BURST: 0.5,
    bench_plan.Pattern.HOT: 0.95,
    bench_plan.Pattern.SATURATION: 1.5,
    bench_plan.Pattern.OUTAGE: 0.5,
    bench_plan.Pattern.ROLLING: 0.5,
    bench_plan.Pattern.RESUBMIT: 0.5,
    bench_plan.Pattern.CANCEL_WAVE: 0.7,
    bench_plan.Pattern.FAILING_WORKER: 0.6,
    bench_plan.Pattern.SLOW_UPSTREAM: 0.6,
}
"""Share of all slots that the arriving jobs keep busy, by pattern."""
DEFAULT_SLOT_SHARE = 0.8
"""Share of all slots, for the patterns without one of their own."""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskPlan:
    """One task: its actual run time and the figures that its caller declares.

    :param seconds: actual run time.
    :param expected_seconds: run time that the caller declares.
    :param cpu: cores that the caller declares.
    """

    kind: str
    seconds: float
    expected_seconds: float
    cpu: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobPlan:
    """One job and the planned behaviour of its caller.

    :param at: arrival, in seconds from the run's start.
    :param timeout_seconds: time from the arrival to the deadline.
    :param resubmit_delay_seconds: time after which the caller submits the
        job again, or None.
    :param to_other_entry: whether the resubmission goes to another entry.
    :param fits_worker: whether a worker is large enough for its tasks.
    """

    number: int
    at: float
    team: str
    tasks: tuple[TaskPlan, ...]
    timeout_seconds: float = DEADLINE_SECONDS
    urgent: bool = False
    resubmit_delay_seconds: float | None = None
    to_other_entry: bool = False
    fits_worker: bool = True

    @property
    def work(self) -> float:
        """Total run time of all tasks, in slot-seconds."""
        return sum(task.seconds for task in self.tasks)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Jobs and faults of one run, determined by pattern and seed.

    :param seconds: period in which the jobs arrive.
    :param slot_share: share of all slots that the jobs keep busy.
    :param slow_factors: pairs of a worker's number and the factor by which
        its tasks run longer.
    :param failing_workers: numbers of the workers that fail every task.
    """

    pattern: bench_plan.Pattern
    seed: int
    seconds: float
    slot_share: float
    jobs: tuple[JobPlan, ...]
    steps: tuple[bench_plan.Step, ...] = ()
    slow_factors: tuple[tuple[int, float], ...] = ()
    failing_workers: tuple[int, ...] = ()


def draw_seconds(rng: random.Random) -> float:
    """Draw a run time: mostly 50 ms to 1 s, a few of several seconds."""
    if rng.random() < LONG_TASK_SHARE:
        return rng.uniform(*LONG_TASK_SECONDS_RANGE)
    spread = LONGEST_SHORT_TASK_SECONDS / SHORTEST_TASK_SECONDS
    return float(SHORTEST_TASK_SECONDS * spread ** rng.random())


def draw_task_count(rng: random.Random) -> int:
    """Draw a number of tasks: mostly a few, some tens, seldom up to 130."""
    share = rng.random()
    if share < 0.6:
        return rng.randint(1, 4)
    if share < 0.95:
        return rng.randint(5, 20)
    return rng.randint(21, MAX_TASKS_PER_JOB)


JobFactory = collections.abc.Callable[[random.Random, int, float], JobPlan]


def draw_team(rng: random.Random) -> str:
    """Draw a team from a uniform distribution."""
    return f'team-{rng.randrange(TEAM_COUNT)}'


def draw_heavy_or_light_team(rng: random.Random) -> str:
    """Draw one of three heavy teams in 80% of cases, else a light one."""
    if rng.random() < HEAVY_TEAMS_LOAD_SHARE:
        return f'heavy-{rng.randrange(HEAVY_TEAM_COUNT)}'
    return f'light-{rng.randrange(TEAM_COUNT - HEAVY_TEAM_COUNT)}'


def draw_plain_job(rng: random.Random, number: int, at: float) -> JobPlan:
    """Draw a job whose caller declares the actual run times."""
    return JobPlan(number, at, draw_team(rng), draw_tasks(rng))


def draw_tasks(rng: random.Random) -> tuple[TaskPlan, ...]:
    """Draw the tasks of one job, all of one kind."""
    kind = f'kind-{rng.randrange(4)}'
    return tuple(
        TaskPlan(kind, secs, secs)
        for secs in (draw_seconds(rng) for _ in range(draw_task_count(rng)))
    )


def draw_hot_job(rng: random.Random, number: int, at: float) -> JobPlan:
    """Draw a job for a load of which three heavy teams send 80%."""
    return JobPlan(number, at, draw_heavy_or_light_team(rng), draw_tasks(rng))


def draw_saturating_job(rng: random.Random, number: int, at: float) -> JobPlan:
    """Draw a job of at most 20 tasks with an early deadline.

    The deadline is two seconds plus twice the longest task after the arrival,
    so a job that waits long in a queue misses it.
    """
    tasks = draw_tasks(rng)[:20]
    longest = max(task.seconds for task in tasks)
    wait = SATURATION_WAIT_SECONDS + SATURATION_RUN_TIME_FACTOR * longest
    team = draw_team(rng)
    return JobPlan(number, at, team, tasks, timeout_seconds=wait)


def draw_mixed_job(rng: random.Random, number: int, at: float) -> JobPlan:
    """Draw a job: one in ten has long tasks, all others very short ones."""
    if rng.random() < 0.1:
        secs, kind, size = (4.0, 8.0), 'long', rng.randint(1, 8)
    else:
        secs, kind, size = (0.05, 0.2), 'short', rng.randint(1, 8)
    drawn = [rng.uniform(*secs) for _ in range(size)]
    tasks = tuple(TaskPlan(kind, value, value) for value in drawn)
    return JobPlan(number, at, draw_team(rng), tasks)


def draw_misdeclared_job(
    rng: random.Random, number: int, at: float
) -> JobPlan:
    """Draw a job with wrong declared run times.

    The declared run time of a task is a tenth of the actual one, the actual
    one or ten times that.  One job in 50 fits on no worker.
    """
    fits_worker = rng.random() >= 0.02
    tasks = tuple(
        dataclasses.replace(
            task,
            expected_seconds=task.seconds * rng.choice((0.1, 1.0, 10.0)),
            cpu=0.0 if fits_worker else 2000.0,
        )
        for task in draw_tasks(rng)
    )
    return JobPlan(number, at, draw_team(rng), tasks, fits_worker=fits_worker)


def draw_resubmitted_job(
    rng: random.Random, number: int, at: float
) -> JobPlan:
    """Draw a job, which its caller submits twice in one of ten cases.

    Half of the second submissions go to another entry.
    """
    job = draw_plain_job(rng, number, at)
    if rng.random() >= 0.1:
        return job
    return dataclasses.replace(
        job,
        resubmit_delay_seconds=rng.uniform(0.01, 2.0),
        to_other_entry=rng.random() < 0.5,
    )


def make_largest_job(rng: random.Random, number: int, at: float) -> JobPlan:
    """Return a job with the most tasks, each of the shortest run time.

    Such jobs make the cost of dispatch dominate over that of running tasks.
    """
    tasks = (TaskPlan('short', 0.05, 0.05),) * MAX_TASKS_PER_JOB
    return JobPlan(number, at, draw_team(rng), tasks)


JOB_FACTORIES: dict[bench_plan.Pattern, JobFactory] = {
    bench_plan.Pattern.HOT: draw_hot_job,
    bench_plan.Pattern.SATURATION: draw_saturating_job,
    bench_plan.Pattern.LONG_AMONG_SHORT: draw_mixed_job,
    bench_plan.Pattern.WRONG_SIZES: draw_misdeclared_job,
    bench_plan.Pattern.RESUBMIT: draw_resubmitted_job,
    bench_plan.Pattern.THROUGHPUT: make_largest_job,
}


def draw_load(
    pattern: bench_plan.Pattern,
    seed: int,
    seconds: float,
    slot_share: float | None,
    deployment: bench_plan.Deployment,
) -> Load:
    """Draw all jobs of a run and plan its steps.

    :param slot_share: share of all slots to keep busy; None for the pattern's
        default.
    """
    rng = random.Random(seed)
    if slot_share is None:
        slot_share = DEFAULT_SLOT_SHARE_BY_PATTERN.get(
            pattern, DEFAULT_SLOT_SHARE
        )
    jobs = draw_arrivals(rng, pattern, seconds, slot_share, deployment)
    if pattern is bench_plan.Pattern.BURST:
        jobs += draw_burst(rng, len(jobs), seconds, deployment)
    return Load(
        pattern,
        seed,
        seconds,
        slot_share,
        tuple(sorted(jobs, key=lambda job: job.at)),
        steps=bench_plan.plan_steps(pattern, seconds, deployment),
        slow_factors=((0, 5.0),)
        if pattern is bench_plan.Pattern.SLOW_UPSTREAM
        else (),
        failing_workers=(0,)
        if pattern is bench_plan.Pattern.FAILING_WORKER
        else (),
    )


def draw_arrivals(
    rng: random.Random,
    pattern: bench_plan.Pattern,
    seconds: float,
    slot_share: float,
    deployment: bench_plan.Deployment,
) -> list[JobPlan]:
    """Draw Poisson arrivals whose work fills the given share of the slots.

    Jobs are drawn until their work reaches the share; their arrivals are
    uniform over the run, which is a Poisson process conditioned on its number
    of arrivals.  With a fixed number of jobs, the few large ones that a seed
    draws would change the load.
    """
    draw_job = JOB_FACTORIES.get(pattern, draw_plain_job)
    target_work = slot_share * seconds * deployment.total_slots
    jobs: list[JobPlan] = []
    work = 0.0
    while work < target_work:
        job = draw_job(rng, len(jobs), rng.uniform(0.0, seconds))
        jobs.append(job)
        work += job.work if job.fits_worker else 0.0
    return jobs


def draw_burst(
    rng: random.Random,
    first_job_number: int,
    seconds: float,
    deployment: bench_plan.Deployment,
) -> list[JobPlan]:
    """Draw a burst of jobs that arrive within a quarter second.

    Their work fills all slots for a tenth of the run.
    """
    target_work = 0.1 * seconds * deployment.total_slots
    jobs: list[JobPlan] = []
    work = 0.0
    while work < target_work:
        at = seconds / 3 + rng.uniform(0.0, 0.25)
        jobs.append(draw_plain_job(rng, first_job_number + len(jobs), at))
        work += jobs[-1].work
    return jobs
