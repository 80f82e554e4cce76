"""Plays one pattern against a real installation and measures it.

Entries, agents and stand-ins start in the bench's own process; callers send
the pattern's jobs over HTTP.  What they got is compared with the ideal and
with the upstreams' own count of starts.
"""

import asyncio
import dataclasses
import random
import statistics
import time

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_callers
from agatepick.bench import bench_cluster
from agatepick.bench import bench_evidence
from agatepick.bench import bench_ideal
from agatepick.bench import bench_lag
from agatepick.bench import bench_measures
from agatepick.bench import bench_plan
from agatepick.bench import bench_player
from agatepick.bench import bench_report
from agatepick.bench import bench_truth
from agatepick.bench import bench_upstream
from agatepick.config import cluster
from agatepick.net import clocks

DEFAULT_SECONDS = 20.0
LIGHT = 'light'
EJECTED_NOTE = 'worker_ejected'

Figures = dict[str, bench_report.Figure]


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What to play, on what, and by which placement policy."""

    pattern: bench_plan.Pattern
    seed: int = 1
    seconds: float = DEFAULT_SECONDS
    load: float | None = None
    deployment: str = 'lectores'
    policy: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """One run: its report, and the evidence that the report sums up."""

    report: bench_report.Report
    evidence: bench_evidence.Evidence


def run(options: Options) -> Played:
    """Play one pattern; ``hot`` also without its heavy callers."""
    deployment = bench_plan.DEPLOYMENTS[options.deployment]
    load = bench_arrivals.plan(
        options.pattern,
        options.seed,
        options.seconds,
        options.load,
        deployment,
    )
    played = asyncio.run(play(load, deployment, options.policy))
    if options.pattern is not bench_plan.Pattern.HOT:
        return played
    light = tuple(job for job in load.jobs if job.team.startswith(LIGHT))
    alone = asyncio.run(
        play(dataclasses.replace(load, jobs=light), deployment, options.policy)
    )
    return with_figures(played, light_figures(played, alone))


async def play(
    load: bench_arrivals.Load,
    deployment: bench_plan.Deployment,
    policy: str = '',
    first_changes: tuple[cluster.Change, ...] = (),
) -> Played:
    """Play one load once.

    :param first_changes: changes of the configuration before it begins.
    """
    clock = clocks.ProcessClock.start()
    book = bench_upstream.StartBook(clock)
    site = bench_cluster.Cluster(load, deployment, clock, book, policy)
    rng = random.Random(load.seed)
    callers = bench_callers.Callers(site, book, deployment.client_latency, rng)
    player = bench_player.Player(load, site, callers, book)
    try:
        await site.start()
        for change in first_changes:
            await site.change(change)
        before, sent = site.traffic(), site.bytes_sent()
        book.begin()
        lag = bench_lag.Lag()
        lag.begin()
        cpu = time.process_time()
        await player.play()
        cpu = time.process_time() - cpu
        lag.end()
        traffic = site.evidence_traffic(before)
        sent = site.bytes_sent() - sent
    finally:
        callers.close()
        await site.stop()
    evidence = bench_evidence.Evidence(
        load,
        deployment,
        (*callers.replies, *player.unanswered()),
        tuple(book.runs),
        traffic,
        tuple(player.departures.values()),
    )
    extra: Figures = {
        'policy': policy or 'default',
        **run_figures(evidence, callers, player, site),
        'bytes': sent,
        **lag.figures(),
        'cpu_seconds_all_processes_and_bench': cpu,
        'starts_per_cpu_second_of_all': len(book.runs) / cpu,
    }
    report = bench_report.summarize(evidence, ideal_of(evidence), extra)
    return Played(report, evidence)


def ideal_of(evidence: bench_evidence.Evidence) -> bench_ideal.Ideal:
    """The ideal for the jobs that were let in.

    Refused and cancelled jobs take no slots in the run, so they take none
    in the ideal.
    """
    gone = {
        number
        for number, reply in bench_measures.first_replies(evidence).items()
        if bench_measures.is_refused(reply)
    }
    gone |= {reply.job for reply in evidence.replies if reply.cancelled}
    jobs = [job for job in evidence.load.jobs if job.number not in gone]
    closures = [
        bench_ideal.Closure(one.zone, one.in_force, one.returned)
        for one in evidence.departures
    ]
    return bench_ideal.simulate(jobs, evidence.deployment, closures)


def run_figures(
    evidence: bench_evidence.Evidence,
    callers: bench_callers.Callers,
    player: bench_player.Player,
    site: bench_cluster.Cluster,
) -> Figures:
    """What only the bench itself saw."""
    figures: Figures = {
        'cut_requests': sum(callers.cuts.by_error.values()),
        'store_reads': site.table.counts.reads,
        'store_writes': site.table.counts.writes,
        'failed_steps': len(player.step_errors),
        'step_errors': '; '.join(player.step_errors) or None,
        'second_starts': bench_truth.second_starts(evidence) or None,
    }
    figures |= {
        f'answers_{code}': count
        for code, count in sorted(answer_codes(evidence).items())
    }
    figures |= outage_figures(evidence)
    if evidence.load.failing:
        figures |= failing_figures(evidence, site)
    return figures


def outage_figures(evidence: bench_evidence.Evidence) -> Figures:
    """How the jobs ended that came while the table service was down."""
    steps = {step.action: step.at for step in evidence.load.steps}
    down = steps.get(bench_plan.Action.STORE_DOWN)
    if down is None:
        return {}
    until = steps[bench_plan.Action.STORE_UP]
    came = {job.number for job in evidence.load.jobs if down <= job.at < until}
    done = came & bench_measures.completed(evidence).keys()
    return {
        'jobs_during_outage': len(came),
        'completed_during_outage_share': len(done) / max(1, len(came)),
    }


def answer_codes(evidence: bench_evidence.Evidence) -> dict[str, int]:
    """First answers by status and code."""
    counts: dict[str, int] = {}
    for reply in bench_measures.first_replies(evidence).values():
        if reply.answer is None:
            name = 'none'
        else:
            name = f'{reply.answer.status}_{reply.answer.code}'
        counts[name] = counts.get(name, 0) + 1
    return counts


def failing_figures(
    evidence: bench_evidence.Evidence, site: bench_cluster.Cluster
) -> Figures:
    """How many tasks met a worker that fails all it starts."""
    met = [run.start for run in evidence.runs if run.failed]
    ejected = site.counts.first_note.get(EJECTED_NOTE)
    figures: Figures = {
        'failed_starts': len(met),
        'failed_starts_share': len(met) / max(1, len(evidence.runs)),
        'ejected_at': ejected,
    }
    if ejected is not None:
        later = [run for run in evidence.runs if run.start >= ejected]
        bad = sum(run.failed for run in later)
        figures['met_after_ejection_share'] = bad / max(1, len(later))
    return figures


def light_figures(with_heavy: Played, alone: Played) -> Figures:
    """The light teams' mean response beside and without the heavy ones."""
    plans = {job.number: job for job in with_heavy.evidence.load.jobs}
    times = bench_measures.response_times(with_heavy.evidence)
    beside = [
        value
        for number, value in times.items()
        if plans[number].team.startswith(LIGHT)
    ]
    free = list(bench_measures.response_times(alone.evidence).values())
    if not beside or not free:
        return {'light_over_alone_mean': None}
    return {
        'light_mean_seconds': statistics.fmean(beside),
        'light_alone_mean_seconds': statistics.fmean(free),
        'light_over_alone_mean': statistics.fmean(beside)
        / statistics.fmean(free),
    }


def with_figures(played: Played, figures: Figures) -> Played:
    """A run with further figures in its report."""
    merged = {**played.report.figures, **figures}
    report = dataclasses.replace(played.report, figures=merged)
    return dataclasses.replace(played, report=report)
