"""Run of one pattern on a real installation, with its measurement.

Entries, agents and stand-ins start in the bench's own process; callers submit
the pattern's jobs over HTTP.  The replies are compared with those of the ideal
scheduler and with the stand-in upstreams' own records of starts.
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
from agatepick.bench import bench_upstream
from agatepick.bench import bench_violations
from agatepick.config import cluster
from agatepick.net import clocks

DEFAULT_LOAD_SECONDS = 20.0
LIGHT_TEAM_PREFIX = 'light'
WORKER_EJECTED_NOTE = 'worker_ejected'

Figures = dict[str, bench_report.Figure]


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Pattern, deployment and placement policy of one run.

    :param seconds: period in which jobs arrive.
    :param load: share of all slots to keep busy; None for the pattern's
        default.
    """

    pattern: bench_plan.Pattern
    seed: int = 1
    seconds: float = DEFAULT_LOAD_SECONDS
    load: float | None = None
    deployment: str = 'lectores'
    policy: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class PlayResult:
    """Report of one run, and the evidence that it summarizes."""

    report: bench_report.Report
    evidence: bench_evidence.Evidence


def run(options: Options) -> PlayResult:
    """Play one pattern; for ``hot`` also play the light teams' jobs alone."""
    deployment = bench_plan.DEPLOYMENTS[options.deployment]
    load = bench_arrivals.draw_load(
        options.pattern,
        options.seed,
        options.seconds,
        options.load,
        deployment,
    )
    played = asyncio.run(play(load, deployment, options.policy))
    if options.pattern is not bench_plan.Pattern.HOT:
        return played
    light_jobs = tuple(
        job for job in load.jobs if job.team.startswith(LIGHT_TEAM_PREFIX)
    )
    alone = asyncio.run(
        play(
            dataclasses.replace(load, jobs=light_jobs),
            deployment,
            options.policy,
        )
    )
    return add_figures(played, compute_light_figures(played, alone))


async def play(
    load: bench_arrivals.Load,
    deployment: bench_plan.Deployment,
    policy: str = '',
    first_changes: tuple[cluster.Change, ...] = (),
) -> PlayResult:
    """Play one load on a new installation and report the figures.

    :param first_changes: configuration changes to apply before the load
        starts.
    """
    clock = clocks.ProcessClock.start()
    recorder = bench_upstream.StartRecorder(clock)
    installation = bench_cluster.Cluster(
        load, deployment, clock, recorder, policy
    )
    rng = random.Random(load.seed)
    callers = bench_callers.Callers(
        installation, recorder, deployment.client_latency_seconds, rng
    )
    player = bench_player.Player(load, installation, callers, recorder)
    try:
        await installation.start()
        for change in first_changes:
            await installation.change(change)
        before, bytes_sent = (
            installation.count_messages_sent(),
            installation.count_bytes_sent(),
        )
        recorder.start_run()
        lag = bench_lag.LoopLag()
        lag.start()
        cpu_seconds = time.process_time()
        await player.play()
        cpu_seconds = time.process_time() - cpu_seconds
        lag.stop()
        traffic = installation.compute_traffic_since(before)
        bytes_sent = installation.count_bytes_sent() - bytes_sent
    finally:
        callers.close()
        await installation.stop()
    evidence = bench_evidence.Evidence(
        load,
        deployment,
        (*callers.replies, *player.list_unanswered()),
        tuple(recorder.runs),
        traffic,
        tuple(player.departures.values()),
    )
    extra: Figures = {
        'policy': policy or 'default',
        **compute_run_figures(evidence, callers, player, installation),
        'bytes': bytes_sent,
        **lag.compute_figures(),
        'cpu_seconds_all_processes_and_bench': cpu_seconds,
        'starts_per_cpu_second_of_all': len(recorder.runs) / cpu_seconds,
    }
    report = bench_report.summarize(evidence, simulate_ideal(evidence), extra)
    return PlayResult(report, evidence)


def simulate_ideal(
    evidence: bench_evidence.Evidence,
) -> bench_ideal.IdealSchedule:
    """Simulate the ideal scheduler for the accepted jobs.

    Refused and cancelled jobs are left out: they use no slots in the run, so
    they use none in the ideal.
    """
    excluded = {
        number
        for number, reply in bench_measures.get_first_replies(evidence).items()
        if bench_measures.is_refused(reply)
    }
    excluded |= {reply.job for reply in evidence.replies if reply.cancelled}
    jobs = [job for job in evidence.load.jobs if job.number not in excluded]
    closures = [
        bench_ideal.Closure(
            departure.zone, departure.in_force_at, departure.returned_at
        )
        for departure in evidence.departures
    ]
    return bench_ideal.simulate(jobs, evidence.deployment, closures)


def compute_run_figures(
    evidence: bench_evidence.Evidence,
    callers: bench_callers.Callers,
    player: bench_player.Player,
    installation: bench_cluster.Cluster,
) -> Figures:
    """Return the figures of requests, table service, steps and answers.

    Figures of the table outage and of failing workers are added if the load
    has them.
    """
    figures: Figures = {
        'cut_requests': sum(callers.request_errors.count_by_error.values()),
        'store_reads': installation.table.counts.reads,
        'store_writes': installation.table.counts.writes,
        'failed_steps': len(player.step_errors),
        'step_errors': '; '.join(player.step_errors) or None,
        'second_starts': bench_violations.describe_second_starts(evidence)
        or None,
    }
    figures |= {
        f'answers_{code}': count
        for code, count in sorted(count_answer_codes(evidence).items())
    }
    figures |= compute_outage_figures(evidence)
    if evidence.load.failing_workers:
        figures |= compute_failing_figures(evidence, installation)
    return figures


def compute_outage_figures(evidence: bench_evidence.Evidence) -> Figures:
    """Return the figures of jobs that arrived during the table outage."""
    steps = {step.action: step.at for step in evidence.load.steps}
    down = steps.get(bench_plan.Action.STORE_DOWN)
    if down is None:
        return {}
    until = steps[bench_plan.Action.STORE_UP]
    arrived = {
        job.number for job in evidence.load.jobs if down <= job.at < until
    }
    done = arrived & bench_measures.get_completed_replies(evidence).keys()
    return {
        'jobs_during_outage': len(arrived),
        'completed_during_outage_share': len(done) / max(1, len(arrived)),
    }


def count_answer_codes(evidence: bench_evidence.Evidence) -> dict[str, int]:
    """Count the replies to first submissions by status and code."""
    counts: dict[str, int] = {}
    for reply in bench_measures.get_first_replies(evidence).values():
        if reply.answer is None:
            name = 'none'
        else:
            name = f'{reply.answer.status}_{reply.answer.code}'
        counts[name] = counts.get(name, 0) + 1
    return counts


def compute_failing_figures(
    evidence: bench_evidence.Evidence, installation: bench_cluster.Cluster
) -> Figures:
    """Return the figures of starts on a worker that fails every task."""
    failed_starts = [run.start for run in evidence.runs if run.failed]
    ejected_at = installation.counts.first_note_at.get(WORKER_EJECTED_NOTE)
    figures: Figures = {
        'failed_starts': len(failed_starts),
        'failed_starts_share': len(failed_starts) / max(1, len(evidence.runs)),
        'ejected_at': ejected_at,
    }
    if ejected_at is not None:
        later = [run for run in evidence.runs if run.start >= ejected_at]
        later_failed = sum(run.failed for run in later)
        figures['met_after_ejection_share'] = later_failed / max(1, len(later))
    return figures


def compute_light_figures(
    with_heavy: PlayResult, alone: PlayResult
) -> Figures:
    """Return the light teams' mean response time with and without heavy ones.

    :param alone: result of the light teams' jobs without those of heavy teams.
    """
    plans = {job.number: job for job in with_heavy.evidence.load.jobs}
    times = bench_measures.compute_response_times(with_heavy.evidence)
    times_with_heavy = [
        value
        for number, value in times.items()
        if plans[number].team.startswith(LIGHT_TEAM_PREFIX)
    ]
    times_alone = list(
        bench_measures.compute_response_times(alone.evidence).values()
    )
    if not times_with_heavy or not times_alone:
        return {'light_over_alone_mean': None}
    return {
        'light_mean_seconds': statistics.fmean(times_with_heavy),
        'light_alone_mean_seconds': statistics.fmean(times_alone),
        'light_over_alone_mean': statistics.fmean(times_with_heavy)
        / statistics.fmean(times_alone),
    }


def add_figures(played: PlayResult, figures: Figures) -> PlayResult:
    """Return a copy of the result with further figures in its report."""
    merged = {**played.report.figures, **figures}
    report = dataclasses.replace(played.report, figures=merged)
    return dataclasses.replace(played, report=report)
