"""Figures of one bench run: response times, work done, missed deadlines.

"Response over ideal" is a response time of the run, or a statistic of response
times, divided by that of the same jobs in the simulation of
:mod:`agatepick.bench.bench_ideal`.
"""

import collections.abc
import dataclasses
import statistics

from hdrh import histogram

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_evidence
from agatepick.bench import bench_ideal
from agatepick import types

MIN_RECORDED_MICROSECONDS = 1
MAX_RECORDED_MICROSECONDS = 3600 * 1000 * 1000
SIGNIFICANT_DIGITS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Responses:
    """Ratios of measured response times to the ideal scheduler's.

    :param median: measured median over the ideal median; ``p99`` likewise.
    :param own_median: median of each job's ratio to its own ideal time.
    :param own_p99: 99th percentile of these ratios.
    :param mean_seconds: mean of the measured response times.
    :param jobs: number of jobs compared.
    """

    response_over_ideal_mean: float
    median: float
    p99: float
    own_median: float
    own_p99: float
    mean_seconds: float
    ideal_mean_seconds: float
    jobs: int


def new_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of microseconds."""
    return histogram.HdrHistogram(
        MIN_RECORDED_MICROSECONDS,
        MAX_RECORDED_MICROSECONDS,
        SIGNIFICANT_DIGITS,
    )


def build_histogram(
    seconds: collections.abc.Iterable[float],
) -> histogram.HdrHistogram:
    """Return a histogram of durations in microseconds.

    :param seconds: the durations in seconds.
    """
    hist = new_histogram()
    for value in seconds:
        hist.record_value(max(MIN_RECORDED_MICROSECONDS, round(value * 1e6)))
    return hist


def get_first_replies(
    evidence: bench_evidence.Evidence,
) -> dict[int, bench_evidence.Reply]:
    """Return the replies to the first submissions, by job number.

    Jobs that their callers cancelled are left out.
    """
    return {
        reply.job: reply
        for reply in reversed(evidence.replies)
        if not reply.resubmission and not reply.cancelled
    }


def get_completed_replies(
    evidence: bench_evidence.Evidence,
) -> dict[int, bench_evidence.Reply]:
    """Return those of the first replies whose status is complete.

    :returns: replies by job number.
    """
    return {
        number: reply
        for number, reply in get_first_replies(evidence).items()
        if reply.answer is not None
        and reply.answer.status is types.JobStatus.COMPLETE
    }


def compute_response_times(
    evidence: bench_evidence.Evidence,
) -> dict[int, float]:
    """Return the response times of the completed jobs, by job number.

    A response time is the seconds from the planned arrival to the answer.  If
    it began with the submission, a bench that submits late would report too
    short times.
    """
    plans = {job.number: job for job in evidence.load.jobs}
    return {
        number: reply.received_at - plans[number].at
        for number, reply in get_completed_replies(evidence).items()
    }


def compare_to_ideal(
    actual: collections.abc.Mapping[int, float],
    ideal: collections.abc.Mapping[int, float],
) -> Responses | None:
    """Compare response times with the ideal ones of the same jobs.

    :param actual: response times in seconds, by job number.
    :returns: None if ``actual`` is empty.
    """
    if not actual:
        return None
    measured = build_histogram(actual.values())
    ideal_histogram = build_histogram(ideal[number] for number in actual)
    own_ratios = build_histogram(
        value / ideal[num] / 1e3 for num, value in actual.items()
    )
    return Responses(
        response_over_ideal_mean=measured.get_mean_value()
        / ideal_histogram.get_mean_value(),
        median=get_percentile(measured, 50.0)
        / get_percentile(ideal_histogram, 50.0),
        p99=get_percentile(measured, 99.0)
        / get_percentile(ideal_histogram, 99.0),
        own_median=get_percentile(own_ratios, 50.0) / 1e3,
        own_p99=get_percentile(own_ratios, 99.0) / 1e3,
        mean_seconds=statistics.fmean(actual.values()),
        ideal_mean_seconds=statistics.fmean(ideal[num] for num in actual),
        jobs=len(actual),
    )


def get_percentile(hist: histogram.HdrHistogram, percentile: float) -> float:
    """Return a percentile of a histogram in its unit, at least 1."""
    value = hist.get_value_at_percentile(percentile)
    return float(max(MIN_RECORDED_MICROSECONDS, value))


def compute_fairness(
    evidence: bench_evidence.Evidence,
    ideal: collections.abc.Mapping[int, float],
) -> float:
    """Return Jain's index of the teams' response over ideal.

    1.0 means that the ratio of measured to ideal response times is the same
    for all teams; the more the ratios differ, the lower is the index.
    """
    by_team: dict[str, list[tuple[float, float]]] = {}
    plans = {job.number: job for job in evidence.load.jobs}
    for number, value in compute_response_times(evidence).items():
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


def count_missed_deadlines(evidence: bench_evidence.Evidence) -> int:
    """Count the accepted jobs without a complete answer by their deadline."""
    plans = {job.number: job for job in evidence.load.jobs}
    return sum(
        not met_deadline(reply, plans[number])
        for number, reply in get_first_replies(evidence).items()
        if not is_refused(reply)
    )


def met_deadline(
    reply: bench_evidence.Reply, plan: bench_arrivals.JobPlan
) -> bool:
    """Return whether a complete answer arrived by the job's deadline."""
    return (
        reply.answer is not None
        and reply.answer.status is types.JobStatus.COMPLETE
        and reply.received_at <= plan.at + plan.timeout_seconds
    )


def is_refused(reply: bench_evidence.Reply) -> bool:
    """Return whether the entry answered "not run" for the whole job."""
    return (
        reply.answer is not None
        and reply.answer.status is types.JobStatus.NOT_RUN
    )


def compute_goodput(evidence: bench_evidence.Evidence) -> float:
    """Return the share of all slot-seconds spent on jobs completed in time."""
    plans = {job.number: job for job in evidence.load.jobs}
    on_time_keys = {
        reply.key
        for number, reply in get_completed_replies(evidence).items()
        if met_deadline(reply, plans[number])
    }
    spans = [
        (run.start, run.end)
        for run in evidence.runs
        if run.key in on_time_keys
    ]
    seconds = evidence.load.seconds
    on_time_work = bench_ideal.compute_work_between(spans, 0.0, seconds)
    return on_time_work / (seconds * evidence.deployment.total_slots)


def compute_work_ratio(
    evidence: bench_evidence.Evidence, ideal: bench_ideal.IdealSchedule
) -> float | None:
    """Return the work done after a zone's departure over the ideal work.

    The work is counted from the request to take the zone out until the end
    of the arrivals.  The ideal scheduler uses the zone until its departure is
    in force, and again from the instant of its return.

    :returns: None if no zone departed.
    """
    if not evidence.departures:
        return None
    since = min(departure.requested_at for departure in evidence.departures)
    until = evidence.load.seconds
    spans = [(run.start, run.end) for run in evidence.runs]
    ideal_work = bench_ideal.compute_work_between(ideal.runs, since, until)
    return bench_ideal.compute_work_between(spans, since, until) / ideal_work
