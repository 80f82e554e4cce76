"""Figures of one bench run, judged from outside the product.

The stand-in upstreams count starts themselves.  Whether a task ran twice,
whether a "not run" is true and whether an answer belongs to its request is
found by comparing that count with what callers were told; nothing that the
product says of itself is believed.
"""

import collections
import collections.abc
import dataclasses
import statistics

from hdrh import histogram

from agatepick import bench_arrivals
from agatepick import bench_ideal
from agatepick import types

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3600 * 1000 * 1000
SIGNIFICANT_DIGITS = 3
USEFUL_MESSAGES = frozenset(('Starts', 'Results'))
HEARTBEATS = frozenset(('Ping', 'Pong'))


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One start that a stand-in upstream counted.

    :param start: seconds from the run's start; ``end`` likewise.
    """

    key: types.JobKey
    task: str
    worker: int
    zone: str
    start: float
    end: float
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What one caller got for one sending of a job.

    :param answer: None if the connection broke or nothing came.
    :param sent: seconds from the run's start; ``got`` likewise.
    """

    job: int
    key: types.JobKey
    sent: float
    got: float
    answer: types.JobAnswer | None
    resubmission: bool = False
    cancelled: bool = False
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A zone's stay out: instants from the run's start, in seconds."""

    zone: str
    asked: float
    accepted: float
    in_force: float
    returned: float


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Messages that the processes sent one another, by kind.

    :param refused_starts: refused tasks over all tasks sent to agents.
    """

    counts: collections.abc.Mapping[str, int]
    refused_starts: float = 0.0

    def wasted_share(self, ignored: frozenset[str] = frozenset()) -> float:
        """Share of messages that are neither a start nor a result.

        A batch counts as one message; of starts and results the share that
        was refused is wasted too.
        """
        kept = {
            kind: count
            for kind, count in self.counts.items()
            if kind not in ignored
        }
        total = sum(kept.values())
        useful = sum(kept.get(kind, 0) for kind in USEFUL_MESSAGES)
        if not total:
            return 0.0
        return 1.0 - useful * (1.0 - self.refused_starts) / total


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """All that a run left behind."""

    load: bench_arrivals.Load
    deployment: bench_arrivals.Deployment
    replies: tuple[Reply, ...]
    runs: tuple[Run, ...]
    traffic: Traffic
    departures: tuple[Departure, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Truth:
    """Broken promises; every figure has to be 0."""

    duplicate_starts: int
    starts_after_fence: int
    lost: int
    false_not_run: int
    incomplete_answers: int
    wrong_answers: int


@dataclasses.dataclass(frozen=True, slots=True)
class Responses:
    """Response over the ideal, as a ratio of the two distributions.

    :param own_median: median of each job's own ratio to its own ideal.
    """

    response_over_ideal_mean: float
    median: float
    p99: float
    own_median: float
    own_p99: float
    mean_seconds: float
    ideal_mean_seconds: float
    jobs: int


def key_starts(
    runs: collections.abc.Iterable[Run],
) -> collections.Counter[tuple[str, str]]:
    """Starts by job key and task id."""
    return collections.Counter((run.key, run.task) for run in runs)


def judge(evidence: Evidence) -> Truth:
    """Hold the callers' answers against the upstreams' count of starts."""
    starts = key_starts(evidence.runs)
    plans = {job.number: job for job in evidence.load.jobs}
    judged = [
        (reply, plans[reply.job])
        for reply in evidence.replies
        if reply.answer is not None
    ]
    return Truth(
        duplicate_starts=sum(count - 1 for count in starts.values()),
        starts_after_fence=len(late_starts(evidence)),
        lost=lost_jobs(evidence.replies),
        false_not_run=sum(
            false_refusals(reply, plan, starts) for reply, plan in judged
        ),
        incomplete_answers=sum(
            is_incomplete(reply, plan) for reply, plan in judged
        ),
        wrong_answers=sum(is_wrong(reply, starts) for reply, _ in judged),
    )


def late_starts(evidence: Evidence) -> list[Run]:
    """Starts in a zone while its departure was in force."""
    return [
        run
        for run in evidence.runs
        for gone in evidence.departures
        if run.zone == gone.zone and gone.in_force <= run.start < gone.returned
    ]


def lost_jobs(replies: collections.abc.Iterable[Reply]) -> int:
    """Jobs for which no sending ever got a final answer."""
    answered: dict[int, bool] = {}
    for reply in replies:
        final = (
            reply.answer is not None
            and reply.answer.status is not types.JobStatus.PENDING
        )
        answered[reply.job] = answered.get(reply.job, False) or final
    return sum(not done for done in answered.values())


def false_refusals(
    reply: Reply,
    plan: bench_arrivals.JobPlan,
    starts: collections.abc.Mapping[tuple[str, str], int],
) -> int:
    """Tasks called "not run" that an upstream did start."""
    answer = reply.answer
    if answer is None:
        return 0
    if answer.status is types.JobStatus.NOT_RUN:
        claimed = {task_id(place) for place in range(len(plan.tasks))}
    else:
        claimed = {
            task.id
            for task in answer.tasks
            if task.outcome is types.Outcome.NOT_RUN
        }
    return sum(starts.get((reply.key, task), 0) > 0 for task in claimed)


def task_id(place: int) -> str:
    """The caller's name for a task of a job."""
    return f't{place}'


def is_incomplete(reply: Reply, plan: bench_arrivals.JobPlan) -> bool:
    """Whether a final answer lacks tasks, or calls itself whole wrongly."""
    answer = reply.answer
    if answer is None or answer.status in (
        types.JobStatus.PENDING,
        types.JobStatus.NOT_RUN,
    ):
        return False
    wanted = [task_id(place) for place in range(len(plan.tasks))]
    if sorted(task.id for task in answer.tasks) != sorted(wanted):
        return True
    finished = all(
        task.outcome is types.Outcome.FINISHED for task in answer.tasks
    )
    complete = answer.status is types.JobStatus.COMPLETE
    return finished != complete and not reply.cancelled


def is_wrong(
    reply: Reply, starts: collections.abc.Mapping[tuple[str, str], int]
) -> bool:
    """Whether an answer is another request's, or tells of a run never made."""
    answer = reply.answer
    if answer is None:
        return False
    if answer.key != reply.key:
        return True
    return any(
        task.outcome is types.Outcome.FINISHED
        and (
            starts.get((reply.key, task.id), 0) == 0
            or echo(reply.key, task.id) not in task.body
        )
        for task in answer.tasks
    )


def echo(key: types.JobKey, task: str) -> bytes:
    """What the stand-in upstream puts into the answer of a task."""
    return f'{key}/{task}'.encode()


def recorder() -> histogram.HdrHistogram:
    """An empty histogram of microseconds."""
    return histogram.HdrHistogram(
        LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
    )


def fill(
    seconds: collections.abc.Iterable[float],
) -> histogram.HdrHistogram:
    """A histogram of durations."""
    hist = recorder()
    for value in seconds:
        hist.record_value(max(LOWEST_MICROSECONDS, round(value * 1e6)))
    return hist


def first_replies(evidence: Evidence) -> dict[int, Reply]:
    """The reply to the first sending of each job that was not cancelled."""
    return {
        reply.job: reply
        for reply in reversed(evidence.replies)
        if not reply.resubmission and not reply.cancelled
    }


def completed(evidence: Evidence) -> dict[int, Reply]:
    """First replies that were complete, by number of the job."""
    return {
        number: reply
        for number, reply in first_replies(evidence).items()
        if reply.answer is not None
        and reply.answer.status is types.JobStatus.COMPLETE
    }


def response_times(evidence: Evidence) -> dict[int, float]:
    """Seconds from a completed job's planned arrival to its answer.

    Counted from the plan and not from the sending, so that a bench that
    falls behind doesn't hide it.
    """
    plans = {job.number: job for job in evidence.load.jobs}
    return {
        number: reply.got - plans[number].at
        for number, reply in completed(evidence).items()
    }


def compare(
    actual: collections.abc.Mapping[int, float],
    ideal: collections.abc.Mapping[int, float],
) -> Responses | None:
    """Response over ideal for the jobs in ``actual``; None if there is none.

    The ideal's distribution is taken over the same jobs.
    """
    if not actual:
        return None
    real = fill(actual.values())
    best = fill(ideal[number] for number in actual)
    own = fill(value / ideal[num] / 1e3 for num, value in actual.items())
    return Responses(
        response_over_ideal_mean=real.get_mean_value() / best.get_mean_value(),
        median=quantile(real, 50.0) / quantile(best, 50.0),
        p99=quantile(real, 99.0) / quantile(best, 99.0),
        own_median=quantile(own, 50.0) / 1e3,
        own_p99=quantile(own, 99.0) / 1e3,
        mean_seconds=statistics.fmean(actual.values()),
        ideal_mean_seconds=statistics.fmean(ideal[num] for num in actual),
        jobs=len(actual),
    )


def quantile(hist: histogram.HdrHistogram, percentile: float) -> float:
    """A percentile of a histogram, at least its lowest value."""
    value = hist.get_value_at_percentile(percentile)
    return float(max(LOWEST_MICROSECONDS, value))


def fairness(
    evidence: Evidence, ideal: collections.abc.Mapping[int, float]
) -> float:
    """Jain's index over the teams' response over ideal; 1.0 is even."""
    by_team: dict[str, list[tuple[float, float]]] = {}
    plans = {job.number: job for job in evidence.load.jobs}
    for number, value in response_times(evidence).items():
        pair = (value, ideal[number])
        by_team.setdefault(plans[number].team, []).append(pair)
    ratios = [
        sum(pair[0] for pair in pairs) / sum(pair[1] for pair in pairs)
        for pairs in by_team.values()
    ]
    if not ratios:
        return 1.0
    squares = sum(ratio * ratio for ratio in ratios)
    return sum(ratios) ** 2 / (len(ratios) * squares)


def missed_deadlines(evidence: Evidence) -> int:
    """Jobs that were let in and got no complete answer by their deadline."""
    plans = {job.number: job for job in evidence.load.jobs}
    return sum(
        not in_time(reply, plans[number])
        for number, reply in first_replies(evidence).items()
        if not is_refused(reply)
    )


def in_time(reply: Reply, plan: bench_arrivals.JobPlan) -> bool:
    """Whether a job was complete before its deadline."""
    return (
        reply.answer is not None
        and reply.answer.status is types.JobStatus.COMPLETE
        and reply.got <= plan.at + plan.deadline_after
    )


def is_refused(reply: Reply) -> bool:
    """Whether the whole job was answered "not run"."""
    return (
        reply.answer is not None
        and reply.answer.status is types.JobStatus.NOT_RUN
    )


def goodput(evidence: Evidence) -> float:
    """Work of jobs done in time over what all slots could do meanwhile."""
    plans = {job.number: job for job in evidence.load.jobs}
    good = {
        reply.key
        for number, reply in completed(evidence).items()
        if in_time(reply, plans[number])
    }
    spans = [(run.start, run.end) for run in evidence.runs if run.key in good]
    seconds = evidence.load.seconds
    done = bench_ideal.work_between(spans, 0.0, seconds)
    return done / (seconds * evidence.deployment.total_slots)


def work_ratio(evidence: Evidence, ideal: bench_ideal.Ideal) -> float | None:
    """Work from a zone's departure to the end of arrivals, over the ideal's.

    The ideal uses the zone until its departure is in force and again from
    the instant of its return; None if no zone left.
    """
    if not evidence.departures:
        return None
    since = min(gone.asked for gone in evidence.departures)
    until = evidence.load.seconds
    spans = [(run.start, run.end) for run in evidence.runs]
    best = bench_ideal.work_between(ideal.runs, since, until)
    return bench_ideal.work_between(spans, since, until) / best
