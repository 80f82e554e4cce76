"""Figures of one bench run: response over ideal, work, deadlines."""

import collections.abc
import dataclasses
import statistics

from hdrh import histogram

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_evidence
from agatepick.bench import bench_ideal
from agatepick import types

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3600 * 1000 * 1000
SIGNIFICANT_DIGITS = 3


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


def first_replies(
    evidence: bench_evidence.Evidence,
) -> dict[int, bench_evidence.Reply]:
    """The reply to the first sending of each job that was not cancelled."""
    return {
        reply.job: reply
        for reply in reversed(evidence.replies)
        if not reply.resubmission and not reply.cancelled
    }


def completed(
    evidence: bench_evidence.Evidence,
) -> dict[int, bench_evidence.Reply]:
    """First replies that were complete, by number of the job."""
    return {
        number: reply
        for number, reply in first_replies(evidence).items()
        if reply.answer is not None
        and reply.answer.status is types.JobStatus.COMPLETE
    }


def response_times(evidence: bench_evidence.Evidence) -> dict[int, float]:
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
    evidence: bench_evidence.Evidence,
    ideal: collections.abc.Mapping[int, float],
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


def missed_deadlines(evidence: bench_evidence.Evidence) -> int:
    """Jobs that were let in and got no complete answer by their deadline."""
    plans = {job.number: job for job in evidence.load.jobs}
    return sum(
        not in_time(reply, plans[number])
        for number, reply in first_replies(evidence).items()
        if not is_refused(reply)
    )


def in_time(reply: bench_evidence.Reply, plan: bench_arrivals.JobPlan) -> bool:
    """Whether a job was complete before its deadline."""
    return (
        reply.answer is not None
        and reply.answer.status is types.JobStatus.COMPLETE
        and reply.got <= plan.at + plan.deadline_after
    )


def is_refused(reply: bench_evidence.Reply) -> bool:
    """Whether the whole job was answered "not run"."""
    return (
        reply.answer is not None
        and reply.answer.status is types.JobStatus.NOT_RUN
    )


def goodput(evidence: bench_evidence.Evidence) -> float:
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


def work_ratio(
    evidence: bench_evidence.Evidence, ideal: bench_ideal.Ideal
) -> float | None:
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
