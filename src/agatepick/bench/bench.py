"""``agatepick bench``: measurement under one pattern of load and faults.

``agatepick bench PATTERN --seed=N`` plays a pattern once
(:mod:`agatepick.bench.bench_run`) and prints its report; ``--baselines`` also
plays the same load with the placement policies that are kept for comparison.
"""

import dataclasses
import pathlib
import typing

from agatepick.bench import bench_plan
from agatepick.bench import bench_report
from agatepick.bench import bench_run
from agatepick.capacity import slopes_command
from agatepick.cmd import commands

PLOTTED_LOADS = (0.5, 0.8, 0.95)
BASELINES = ('random-worker', 'least-known-load', 'two-probes')
COMPARED_FIGURES = ('p99', 'wasted_messages_share', 'refused_starts_share')
SLOPES_PATTERN = 'slopes'


def play_baselines(
    options: bench_run.Options, played: bench_run.PlayResult
) -> bench_run.PlayResult:
    """Play the same load with each baseline policy; add its figures."""
    name = 'response_over_ideal_mean'
    figures: bench_run.Figures = {}
    own_mean = played.report.figures.get(name)
    for policy in BASELINES:
        baseline_report = bench_run.run(
            dataclasses.replace(options, policy=policy)
        ).report
        mean = baseline_report.figures.get(name)
        figures[f'{policy}_{name}'] = mean
        for compared in COMPARED_FIGURES:
            figures[f'{policy}_{compared}'] = baseline_report.figures.get(
                compared
            )
        if isinstance(own_mean, float) and isinstance(mean, float):
            figures[f'{policy}_over_ours'] = mean / own_mean
    return bench_run.add_figures(played, figures)


def draw_plot(
    options: bench_run.Options,
    played: bench_run.PlayResult,
    path: pathlib.Path,
) -> None:
    """Plot busy slots over time if a zone departed, else response by load.

    A zone departs when it is taken out of service.
    For the response by load the pattern is played again at each of
    :data:`PLOTTED_LOADS`.
    """
    if played.evidence.departures:
        bench_report.plot_work(played.report, played.evidence.departures, path)
        return
    reports = [
        bench_run.run(dataclasses.replace(options, load=load)).report
        for load in PLOTTED_LOADS
    ]
    bench_report.plot_loads(reports, path)


def run_command(
    pattern: str,
    seed: int = 1,
    seconds: float = bench_run.DEFAULT_LOAD_SECONDS,
    load: float | None = None,
    deployment: str = 'lectores',
    json: bool = False,
    plot: str = '',
    policy: str = '',
    baselines: bool = False,
    **options: typing.Any,
) -> commands.Output:
    """Run ``agatepick bench``: play, then print the report and plot it.

    :param policy: placement policy; empty for the default one.
    :param baselines: whether to play the baseline policies too.
    """
    if pattern == SLOPES_PATTERN:
        return slopes_command.run(json=json, **options)
    run_options = bench_run.Options(
        bench_plan.Pattern(pattern), seed, seconds, load, deployment, policy
    )
    played = bench_run.run(run_options)
    if baselines:
        played = play_baselines(run_options, played)
    report = played.report
    if plot:
        draw_plot(run_options, played, pathlib.Path(plot))
    return commands.Output(report.as_json() if json else report.as_table())
