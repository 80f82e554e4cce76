"""Report of a bench run as JSON, as a table or as a plot."""

import collections.abc
import dataclasses
import json
import pathlib
import typing

from agatepick.bench import bench_evidence
from agatepick.bench import bench_ideal
from agatepick.bench import bench_measures
from agatepick.bench import bench_violations

PLOT_DPI = 120
WORK_BIN_COUNT = 60
"""Number of intervals for which the plot of work shows the busy slots."""

Figure = float | int | str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Figures of one run in the order in which they are shown.

    :param series: work over time as triples: seconds from the run's start,
        busy slots, busy slots of the ideal scheduler.
    """

    title: str
    figures: collections.abc.Mapping[str, Figure]
    series: tuple[tuple[float, float, float], ...] = ()

    def as_json(self) -> str:
        """Return the figures as the members of one JSON object."""
        body = {name: round_figure(val) for name, val in self.figures.items()}
        return json.dumps(body, indent=2)

    def as_table(self) -> str:
        """Return the title and a table of two columns, name and value."""
        width = max(map(len, self.figures), default=0)
        lines = [self.title]
        lines += [
            f'  {name:<{width}}  {round_figure(value)}'
            for name, value in self.figures.items()
        ]
        return '\n'.join(lines)


def round_figure(value: Figure) -> Figure:
    """Round a float to four decimal places; keep any other figure."""
    return round(value, 4) if isinstance(value, float) else value


def summarize(
    evidence: bench_evidence.Evidence,
    ideal: bench_ideal.IdealSchedule,
    extra: collections.abc.Mapping[str, Figure] | None = None,
) -> Report:
    """Return the report with all figures of one run.

    :param extra: further figures, to be shown last.
    """
    load = evidence.load
    figures: dict[str, Figure] = {
        'pattern': load.pattern.value,
        'deployment': evidence.deployment.name,
        'seed': load.seed,
        'seconds': load.seconds,
        'load': load.slot_share,
        'jobs': len(load.jobs),
        'tasks': sum(len(job.tasks) for job in load.jobs),
        **compute_response_figures(evidence, ideal),
        **compute_message_figures(evidence),
        **compute_outcome_figures(evidence),
        **dataclasses.asdict(bench_violations.find_violations(evidence)),
        **compute_departure_figures(evidence, ideal),
        **(extra or {}),
    }
    title = f'{load.pattern} seed={load.seed} load={load.slot_share}'
    return Report(title, figures, compute_work_series(evidence, ideal))


def compute_response_figures(
    evidence: bench_evidence.Evidence, ideal: bench_ideal.IdealSchedule
) -> dict[str, Figure]:
    """Return the figures of the completed jobs' response times."""
    times = bench_measures.compute_response_times(evidence)
    responses = bench_measures.compare_to_ideal(times, ideal.response_seconds)
    figures: dict[str, Figure] = {
        'fairness': bench_measures.compute_fairness(
            evidence, ideal.response_seconds
        )
    }
    if responses is not None:
        figures = {**dataclasses.asdict(responses), **figures}
        figures['completed_jobs'] = figures.pop('jobs')
    return figures


def compute_message_figures(
    evidence: bench_evidence.Evidence,
) -> dict[str, Figure]:
    """Return the figures of messages between the processes."""
    traffic = evidence.traffic
    total = sum(traffic.counts.values())
    starts = len(evidence.runs)
    figures: dict[str, Figure] = {
        'task_starts': starts,
        'starts_per_second': starts / evidence.load.seconds,
        'messages': total,
        'messages_per_task': total / starts if starts else None,
        'wasted_messages_share': traffic.wasted_share(),
        'wasted_messages_share_without_heartbeats': traffic.wasted_share(
            bench_evidence.HEARTBEATS
        ),
        'refused_starts_share': traffic.refused_starts,
    }
    figures |= {
        f'messages_{kind}': count
        for kind, count in sorted(traffic.counts.items())
    }
    return figures


def compute_outcome_figures(
    evidence: bench_evidence.Evidence,
) -> dict[str, Figure]:
    """Return the outcomes of the jobs as their callers received them."""
    replies = list(bench_measures.get_first_replies(evidence).values())
    refused = sum(map(bench_measures.is_refused, replies))
    completed = len(bench_measures.get_completed_replies(evidence))
    missed = bench_measures.count_missed_deadlines(evidence)
    accepted = len(replies) - refused
    return {
        'refused_jobs': refused,
        'failed_jobs': accepted - completed,
        'failed_share': (accepted - completed) / accepted if accepted else 0.0,
        'missed_deadlines': missed,
        'met_deadline_share': 1 - missed / accepted if accepted else None,
        'goodput_share': bench_measures.compute_goodput(evidence),
    }


def compute_departure_figures(
    evidence: bench_evidence.Evidence, ideal: bench_ideal.IdealSchedule
) -> dict[str, Figure]:
    """Return the figures of the first zone taken out of service, if any."""
    if not evidence.departures:
        return {}
    departure = evidence.departures[0]
    starts = [
        run.start - departure.accepted_at
        for run in evidence.runs
        if run.zone == departure.zone and run.start < departure.returned_at
    ]
    return {
        'work_ratio': bench_measures.compute_work_ratio(evidence, ideal),
        'accepted_after_asked_seconds': departure.accepted_at
        - departure.requested_at,
        'last_start_after_acceptance': max(starts, default=None),
    }


def compute_work_series(
    evidence: bench_evidence.Evidence, ideal: bench_ideal.IdealSchedule
) -> tuple[tuple[float, float, float], ...]:
    """Return the busy slots over time, of the run and of the ideal scheduler.

    :returns: triples as in :attr:`Report.series`, one per bin.
    """
    width = evidence.load.seconds / WORK_BIN_COUNT
    spans = [(run.start, run.end) for run in evidence.runs]
    return tuple(
        (
            bin_index * width,
            bench_ideal.compute_work_between(
                spans, bin_index * width, (bin_index + 1) * width
            )
            / width,
            bench_ideal.compute_work_between(
                ideal.runs, bin_index * width, (bin_index + 1) * width
            )
            / width,
        )
        for bin_index in range(WORK_BIN_COUNT)
    )


def plot_work(
    report: Report,
    departures: collections.abc.Iterable[bench_evidence.ZoneDeparture],
    path: pathlib.Path,
) -> None:
    """Plot busy slots over time, with the zones' departures shaded."""
    figure, axes = new_plot()
    times = [point[0] for point in report.series]
    axes.step(times, [point[1] for point in report.series], label='measured')
    axes.step(
        times, [point[2] for point in report.series], '--', label='ideal'
    )
    for departure in departures:
        axes.axvspan(
            departure.in_force_at,
            departure.returned_at,
            alpha=0.15,
            label=f'{departure.zone} out',
        )
    axes.set(title=report.title, xlabel='seconds', ylabel='busy slots')
    save_plot(figure, axes, path)


def plot_loads(
    reports: collections.abc.Sequence[Report], path: pathlib.Path
) -> None:
    """Plot response over ideal by load, with one point per report."""
    figure, axes = new_plot()
    loads = [report.figures['load'] for report in reports]
    for name in ('response_over_ideal_mean', 'median', 'p99'):
        values = [report.figures.get(name) for report in reports]
        axes.plot(loads, values, marker='o', label=name)
    axes.axhline(1.0, color='grey', linewidth=0.8)
    axes.set(
        title=f'{reports[0].figures["pattern"]}: response over ideal',
        xlabel='load (share of all slots)',
        ylabel='measured / ideal',
    )
    save_plot(figure, axes, path)


def new_plot() -> tuple[typing.Any, typing.Any]:
    """Return an empty plot.

    matplotlib is imported here because it needs much memory, which only the
    commands that draw a plot should use.
    """
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    return figure, axes


def save_plot(
    figure: typing.Any, axes: typing.Any, path: pathlib.Path
) -> None:
    """Write a plot to a file and release its memory."""
    from matplotlib import pyplot

    axes.set_ylim(bottom=0)
    axes.legend(loc='lower right')
    figure.tight_layout()
    figure.savefig(path, dpi=PLOT_DPI)
    pyplot.close(figure)
