"""Seeded load for the bench: arrivals, run times, sizes and planned faults.

Everything is drawn from one ``random.Random(seed)``, so a pattern and a seed
give the same jobs on every machine.  Instants are seconds from the start of
the run.
"""

import collections.abc
import dataclasses
import random

from agatepick.bench import bench_plan

SHORTEST_SECONDS = 0.05
LONGEST_SHORT_SECONDS = 1.0
LONG_SHARE = 0.05
"""Share of tasks that take several seconds."""
LONG_SECONDS = (2.0, 5.0)
KINDS = ('kind-0', 'kind-1', 'kind-2', 'kind-3', 'long', 'short')
TEAMS = 8
HOT_TEAMS = 3
HOT_SHARE = 0.8
"""Share of the load that the three hot callers send."""
LARGEST_JOB = 130
DEADLINE_SECONDS = 30.0
SATURATION_WAIT_SECONDS = 2.0
SATURATION_FACTOR = 2.0


DEFAULT_LOADS = {
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
"""Share of all slots that the arrivals keep busy; 0.8 if not named here."""
COMMON_LOAD = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class TaskPlan:
    """One task: its true run time and what its caller declares."""

    kind: str
    seconds: float
    expected_seconds: float
    cpu: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobPlan:
    """One job and what its caller will do about it.

    :param resubmit_after: seconds after which the caller sends it again,
        or None.
    :param elsewhere: the resubmission goes to another entry.
    :param possible: False if no worker can ever hold one of its tasks.
    """

    number: int
    at: float
    team: str
    tasks: tuple[TaskPlan, ...]
    deadline_after: float = DEADLINE_SECONDS
    urgent: bool = False
    resubmit_after: float | None = None
    elsewhere: bool = False
    possible: bool = True

    @property
    def work(self) -> float:
        """Slot-seconds of all tasks."""
        return sum(task.seconds for task in self.tasks)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """All that happens in one run, fixed by pattern and seed.

    :param slow: factor on the run time by worker number.
    :param failing: numbers of the workers that fail all they start.
    """

    pattern: bench_plan.Pattern
    seed: int
    seconds: float
    load: float
    jobs: tuple[JobPlan, ...]
    steps: tuple[bench_plan.Step, ...] = ()
    slow: tuple[tuple[int, float], ...] = ()
    failing: tuple[int, ...] = ()


def draw_seconds(rng: random.Random) -> float:
    """A run time: most from 50 ms to a second, a few of several seconds."""
    if rng.random() < LONG_SHARE:
        return rng.uniform(*LONG_SECONDS)
    spread = LONGEST_SHORT_SECONDS / SHORTEST_SECONDS
    return float(SHORTEST_SECONDS * spread ** rng.random())


def draw_size(rng: random.Random) -> int:
    """Tasks of a job: mostly a few, some tens, seldom up to 130."""
    share = rng.random()
    if share < 0.6:
        return rng.randint(1, 4)
    if share < 0.95:
        return rng.randint(5, 20)
    return rng.randint(21, LARGEST_JOB)


Maker = collections.abc.Callable[[random.Random, int, float], JobPlan]


def draw_team(rng: random.Random) -> str:
    """Any of the teams, all alike."""
    return f'team-{rng.randrange(TEAMS)}'


def draw_hot_team(rng: random.Random) -> str:
    """One of three heavy teams for most of the load, else a light one."""
    if rng.random() < HOT_SHARE:
        return f'heavy-{rng.randrange(HOT_TEAMS)}'
    return f'light-{rng.randrange(TEAMS - HOT_TEAMS)}'


def plain_job(rng: random.Random, number: int, at: float) -> JobPlan:
    """A job whose caller guesses its run times well."""
    return JobPlan(number, at, draw_team(rng), draw_tasks(rng))


def draw_tasks(rng: random.Random) -> tuple[TaskPlan, ...]:
    """Tasks of one job, of one kind."""
    kind = f'kind-{rng.randrange(4)}'
    return tuple(
        TaskPlan(kind, secs, secs)
        for secs in (draw_seconds(rng) for _ in range(draw_size(rng)))
    )


def hot_job(rng: random.Random, number: int, at: float) -> JobPlan:
    """A job of the pattern in which three callers are 80% of the load."""
    return JobPlan(number, at, draw_hot_team(rng), draw_tasks(rng))


def saturating_job(rng: random.Random, number: int, at: float) -> JobPlan:
    """A job of at most 20 tasks with a deadline that a queue would miss.

    Its caller waits two seconds beyond twice its longest task.
    """
    tasks = draw_tasks(rng)[:20]
    longest = max(task.seconds for task in tasks)
    wait = SATURATION_WAIT_SECONDS + SATURATION_FACTOR * longest
    team = draw_team(rng)
    return JobPlan(number, at, team, tasks, deadline_after=wait)


def mixed_job(rng: random.Random, number: int, at: float) -> JobPlan:
    """A tenth of the jobs are long ones, all others very short."""
    if rng.random() < 0.1:
        secs, kind, size = (4.0, 8.0), 'long', rng.randint(1, 8)
    else:
        secs, kind, size = (0.05, 0.2), 'short', rng.randint(1, 8)
    drawn = [rng.uniform(*secs) for _ in range(size)]
    tasks = tuple(TaskPlan(kind, value, value) for value in drawn)
    return JobPlan(number, at, draw_team(rng), tasks)


def misdeclared_job(rng: random.Random, number: int, at: float) -> JobPlan:
    """Declared times ten times off either way; one job in 50 fits nowhere."""
    possible = rng.random() >= 0.02
    tasks = tuple(
        dataclasses.replace(
            task,
            expected_seconds=task.seconds * rng.choice((0.1, 1.0, 10.0)),
            cpu=0.0 if possible else 2000.0,
        )
        for task in draw_tasks(rng)
    )
    return JobPlan(number, at, draw_team(rng), tasks, possible=possible)


def resubmitted_job(rng: random.Random, number: int, at: float) -> JobPlan:
    """A tenth of the jobs is sent again, half of those to another entry."""
    job = plain_job(rng, number, at)
    if rng.random() >= 0.1:
        return job
    return dataclasses.replace(
        job,
        resubmit_after=rng.uniform(0.01, 2.0),
        elsewhere=rng.random() < 0.5,
    )


def full_job(rng: random.Random, number: int, at: float) -> JobPlan:
    """The largest job, of the shortest tasks: cost of dispatch counts."""
    tasks = (TaskPlan('short', 0.05, 0.05),) * LARGEST_JOB
    return JobPlan(number, at, draw_team(rng), tasks)


MAKERS: dict[bench_plan.Pattern, Maker] = {
    bench_plan.Pattern.HOT: hot_job,
    bench_plan.Pattern.SATURATION: saturating_job,
    bench_plan.Pattern.LONG_AMONG_SHORT: mixed_job,
    bench_plan.Pattern.WRONG_SIZES: misdeclared_job,
    bench_plan.Pattern.RESUBMIT: resubmitted_job,
    bench_plan.Pattern.THROUGHPUT: full_job,
}


def plan(
    pattern: bench_plan.Pattern,
    seed: int,
    seconds: float,
    load: float | None,
    deployment: bench_plan.Deployment,
) -> Load:
    """All jobs and acts of a run.

    :param load: share of all slots to keep busy; None for the pattern's own.
    """
    rng = random.Random(seed)
    if load is None:
        load = DEFAULT_LOADS.get(pattern, COMMON_LOAD)
    jobs = arrivals(rng, pattern, seconds, load, deployment)
    if pattern is bench_plan.Pattern.BURST:
        jobs += burst(rng, len(jobs), seconds, deployment)
    return Load(
        pattern,
        seed,
        seconds,
        load,
        tuple(sorted(jobs, key=lambda job: job.at)),
        steps=bench_plan.steps(pattern, seconds, deployment),
        slow=((0, 5.0),)
        if pattern is bench_plan.Pattern.SLOW_UPSTREAM
        else (),
        failing=(0,) if pattern is bench_plan.Pattern.FAILING_WORKER else (),
    )


def arrivals(
    rng: random.Random,
    pattern: bench_plan.Pattern,
    seconds: float,
    load: float,
    deployment: bench_plan.Deployment,
) -> list[JobPlan]:
    """Poisson arrivals whose work is exactly the wanted share of the slots.

    Jobs are drawn until their work fills the share; their instants are then
    uniform over the run, which is a Poisson process given its number of
    arrivals.  Without this a seed's few large jobs would move the load.
    """
    maker = MAKERS.get(pattern, plain_job)
    wanted = load * seconds * deployment.total_slots
    jobs: list[JobPlan] = []
    work = 0.0
    while work < wanted:
        job = maker(rng, len(jobs), rng.uniform(0.0, seconds))
        jobs.append(job)
        work += job.work if job.possible else 0.0
    return jobs


def burst(
    rng: random.Random,
    first: int,
    seconds: float,
    deployment: bench_plan.Deployment,
) -> list[JobPlan]:
    """Work for all slots for a tenth of the run, within a quarter second."""
    wanted = 0.1 * seconds * deployment.total_slots
    jobs: list[JobPlan] = []
    work = 0.0
    while work < wanted:
        at = seconds / 3 + rng.uniform(0.0, 0.25)
        jobs.append(plain_job(rng, first + len(jobs), at))
        work += jobs[-1].work
    return jobs
