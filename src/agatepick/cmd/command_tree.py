"""Commands and their options, as ``fire`` parses them.

A command method only records the action; :mod:`agatepick.cli` runs it after
the whole command line has been parsed.
"""

import asyncio
import functools
import importlib
import importlib.metadata
import json
import typing

import fire.decorators

from agatepick.bench import bench_plan
from agatepick.cmd import commands
from agatepick.conf import settings
from agatepick.conf import settings_files
from agatepick.config import cluster
from agatepick import exceptions

Run = typing.Callable[[], commands.Output]
SLOPES_PATTERN = 'slopes'
BENCH_OPTIONS = (
    'seed',
    'seconds',
    'load',
    'deployment',
    'policy',
    'json',
    'plot',
    'baselines',
)
_TEXT_PARAMETERS = (
    'config',
    'entry',
    'file',
    'job',
    'key',
    'name',
    'pattern',
    'task',
    'value',
    'zone',
)
"""Parameters that are always strings: ``fire`` would convert a zone named
``1`` or a key such as ``1e5`` to a number."""
_Command = typing.TypeVar('_Command', bound=typing.Callable[..., None])


def _keep_text(command: _Command) -> _Command:
    parse = fire.decorators.SetParseFn(str, *_TEXT_PARAMETERS)
    return typing.cast(_Command, parse(command))


class Commands:
    """Dispatches sub-second tasks; see the README for a walk through.

    A command only records the action, which runs after the whole command line
    has been parsed.
    """

    def __init__(self) -> None:
        self._run: Run | None = None

    def tree(self) -> dict[str, object]:
        """Return the commands by name; a method can't be named ``in``."""
        return {
            'entry': self.entry,
            'agent': self.agent,
            'submit': self.submit,
            'cancel': self.cancel,
            'status': self.status,
            'config': {
                'check': self.config_check,
                'show': self.config_show,
                'set': self.config_set,
            },
            'preset': {'show': self.preset_show, 'use': self.preset_use},
            'zone': {
                'list': self.zone_list,
                'out': self.zone_out,
                'in': self.zone_in,
            },
            'timeline': self.timeline,
            'explain': self.explain,
            'bench': self.bench,
            'demo': self.demo,
            'standin': {
                'table': self.standin_table,
                'upstream': self.standin_upstream,
            },
            'version': self.version,
        }

    @property
    def run(self) -> Run | None:
        """Action of the parsed command."""
        return self._run

    @_keep_text
    def entry(self, config: str) -> None:
        """Run an entry until it is stopped."""
        self._set_daemon('run_entry', config, settings.EntrySettings)

    @_keep_text
    def agent(self, config: str) -> None:
        """Run an agent until it is stopped."""
        self._set_daemon('run_agent', config, settings.AgentSettings)

    @_keep_text
    def standin_table(self, config: str) -> None:
        """Run a stand-in for the platform's table service."""
        self._set_daemon('run_table', config, settings.TableSettings)

    @_keep_text
    def standin_upstream(self, config: str) -> None:
        """Run a stand-in worker with its upstream."""
        self._set_daemon('run_upstream', config, settings.UpstreamSettings)

    @_keep_text
    def submit(
        self,
        file: str = '',
        entry: str = '',
        key: str = '',
        json: bool = False,
    ) -> None:
        """Submit the job in a JSON file (else standard input) and wait."""
        self._set_entry_command(
            entry, json, lambda context: commands.submit(context, file, key)
        )

    @_keep_text
    def cancel(self, job: str, entry: str = '', json: bool = False) -> None:
        """Cancel a job."""
        self._set_entry_command(
            entry,
            json,
            lambda context: commands.show_or_cancel_job(context, job, True),
        )

    @_keep_text
    def status(
        self, job: str = '', entry: str = '', json: bool = False
    ) -> None:
        """Show the status of an entry, or of a job with --job."""
        if job:
            self._set_entry_command(
                entry,
                json,
                lambda context: commands.show_or_cancel_job(context, job),
            )
        else:
            self._set_show_command(entry, json, '/v1/status')

    @_keep_text
    def config_check(self, file: str, json: bool = False) -> None:
        """Validate a settings file of any program; list all faults."""
        self._run = lambda: _check_file(file, json)

    @_keep_text
    def config_show(self, entry: str = '', json: bool = False) -> None:
        """Show the configuration of the cluster."""
        self._set_show_command(entry, json, '/v1/config')

    @_keep_text
    def config_set(
        self,
        name: str,
        value: str,
        entry: str = '',
        based_on: int | None = None,
        wait: bool = False,
        json: bool = False,
    ) -> None:
        """Set quota.TEAM, upstream.AGENT (leaving or staying) or a setting.

        The value "none" removes a quota or a setting.
        """
        change = parse_change(name, value)
        self._set_change(
            entry, json, 'POST', '/v1/config', change, based_on, wait
        )

    @_keep_text
    def preset_show(self, entry: str = '', json: bool = False) -> None:
        """Show the presets and the one in force."""
        self._set_show_command(entry, json, '/v1/presets')

    @_keep_text
    def preset_use(
        self,
        name: str,
        entry: str = '',
        based_on: int | None = None,
        wait: bool = False,
        json: bool = False,
    ) -> None:
        """Switch to another preset; --wait waits until it is in force."""
        path = f'/v1/presets/{name}'
        self._set_change(entry, json, 'PUT', path, {}, based_on, wait)

    @_keep_text
    def zone_list(self, entry: str = '', json: bool = False) -> None:
        """Show the availability zones and whether they are in service."""
        self._set_show_command(entry, json, '/v1/zones')

    @_keep_text
    def zone_out(
        self,
        zone: str,
        entry: str = '',
        based_on: int | None = None,
        wait: bool = False,
        json: bool = False,
    ) -> None:
        """Take a zone out of service; --wait waits for its last task."""
        if not wait:
            self._set_zone_change(zone, 'out', entry, based_on, wait, json)
            return
        self._set_entry_command(
            entry,
            json,
            lambda context: commands.drain_zone(context, zone, based_on),
        )

    @_keep_text
    def zone_in(
        self,
        zone: str,
        entry: str = '',
        based_on: int | None = None,
        wait: bool = False,
        json: bool = False,
    ) -> None:
        """Return a zone to service; --wait waits until it is in force."""
        self._set_zone_change(zone, 'in', entry, based_on, wait, json)

    @_keep_text
    def explain(self, *words: str, summary: bool | str = False) -> None:
        """Show what happened to a request, from logs of all processes.

        :param words: request id, followed by log files; without files,
            standard input is read.
        :param summary: all words are files; count failed and late requests
            by second, queue and cause.
        """
        if summary:
            # fire takes the word after --summary as the option's value, though
            # it is the first file.
            first = (summary,) if isinstance(summary, str) else ()
            words = (*first, *words)
            self._run = functools.partial(
                _call_module, 'cmd.summary', 'show', words
            )
            return
        if not words:
            raise exceptions.BadUsage(
                'name a request, or use --summary', step='explain'
            )
        self._run = functools.partial(
            _call_module, 'cmd.explain', 'explain', words[0], words[1:]
        )

    @_keep_text
    def timeline(
        self,
        job: str = '',
        task: str = '',
        zone: str = '',
        entry: str = '',
        json: bool = False,
    ) -> None:
        """Show the merged events of the processes in --entry=URL,URL."""
        self._set_entry_command(
            entry,
            json,
            lambda context: commands.show_timeline(context, job, task, zone),
        )

    @_keep_text
    def bench(self, pattern: str = '', **options: typing.Any) -> None:
        """Run a load pattern and compare the result with the ideal.

        Options: --seed, --seconds, --load, --deployment, --policy, --json,
        --plot=FILE, --baselines.  The pattern "slopes" measures costs.
        """
        self._run = lambda: _run_bench(pattern, options)

    def demo(self, seconds: float = 20.0, json: bool = False) -> None:
        """Run the whole system in one process as a demonstration."""

        def run() -> commands.Output:
            _check_number('--seconds', seconds)
            return _call_module('cmd.demo', 'run_command', seconds, json)

        self._run = run

    def version(self, json: bool = False) -> None:
        """Show the version of agatepick."""
        version = importlib.metadata.version('agatepick')
        text = (
            f'{{"version": "{version}"}}' if json else f'agatepick {version}'
        )
        self._run = lambda: commands.Output(text)

    def _set_daemon(
        self, function: str, config: str, kind: type[object]
    ) -> None:
        def run() -> commands.Output:
            return _call_module(
                'runtime.daemons', function, settings_files.load(config, kind)
            )

        self._run = run

    def _set_entry_command(
        self,
        entry: str,
        as_json: bool,
        command: typing.Callable[
            [commands.CommandContext],
            typing.Coroutine[typing.Any, typing.Any, commands.Output],
        ],
    ) -> None:
        def run() -> commands.Output:
            context = commands.CommandContext.from_environment(entry, as_json)
            return asyncio.run(command(context))

        self._run = run

    def _set_show_command(self, entry: str, as_json: bool, path: str) -> None:
        self._set_entry_command(
            entry, as_json, lambda context: commands.show(context, path)
        )

    def _set_zone_change(
        self,
        zone: str,
        state: str,
        entry: str,
        based_on: int | None,
        wait: bool,
        as_json: bool,
    ) -> None:
        path, body = f'/v1/zones/{zone}', {'state': state}
        self._set_change(entry, as_json, 'PUT', path, body, based_on, wait)

    def _set_change(
        self,
        entry: str,
        as_json: bool,
        method: str,
        path: str,
        body: object,
        based_on: int | None,
        wait: bool,
    ) -> None:
        self._set_entry_command(
            entry,
            as_json,
            lambda context: commands.change(
                context, method, path, body, based_on, wait
            ),
        )


def parse_change(name: str, value: str) -> cluster.Change:
    """Return the configuration change for ``config set NAME VALUE``.

    :raises agatepick.exceptions.BadUsage: if the value isn't allowed.
    """
    group, _, rest = name.partition('.')
    if group == 'quota' and rest:
        if value != 'none' and not value.isdigit():
            raise exceptions.BadUsage(
                f'{name}: found {value!r}; allowed: a number of slots, or none'
            )
        return cluster.QuotaSet(rest, None if value == 'none' else int(value))
    if group == 'upstream' and rest:
        if value not in ('leaving', 'staying'):
            raise exceptions.BadUsage(
                f'{name}: found {value!r}; allowed: leaving or staying'
            )
        if value == 'leaving':
            return cluster.UpstreamLeaving(rest)
        return cluster.UpstreamCleared(rest)
    return cluster.SettingSet(name, None if value == 'none' else value)


def _check_file(file: str, as_json: bool) -> commands.Output:
    try:
        cfg = settings_files.load_any(file)
    except exceptions.BadSettings as exc:
        if not as_json:
            raise
        faults = exc.message.splitlines()
        return commands.Output(json.dumps({'faults': faults}), exc.exit_status)
    kind = next(
        name
        for name, settings_class in settings.KINDS.items()
        if type(cfg) is settings_class
    )
    if as_json:
        return commands.Output(json.dumps({'program': kind, 'faults': []}))
    return commands.Output(f'{file}: valid settings for agatepick {kind}')


def _run_bench(
    pattern: str, options: dict[str, typing.Any]
) -> commands.Output:
    patterns = [member.value for member in bench_plan.Pattern]
    if pattern not in (*patterns, SLOPES_PATTERN):
        raise exceptions.BadUsage(
            f'bench: found {pattern!r}; allowed: {", ".join(patterns)}, '
            f'{SLOPES_PATTERN}'
        )
    if pattern != SLOPES_PATTERN:
        _check_bench_options(options)
    return _call_module('bench.bench', 'run_command', pattern, **options)


def _check_bench_options(options: dict[str, typing.Any]) -> None:
    for name in options:
        if name not in BENCH_OPTIONS:
            raise exceptions.BadUsage(
                f'bench: found --{name}; allowed: '
                f'{", ".join(f"--{option}" for option in BENCH_OPTIONS)}'
            )
    for name in ('seed', 'seconds', 'load'):
        if name in options:
            _check_number(f'--{name}', options[name])
    deployment = options.get('deployment', 'lectores')
    if deployment not in bench_plan.DEPLOYMENTS:
        raise exceptions.BadUsage(
            f'--deployment: found {deployment!r}; allowed: '
            f'{", ".join(bench_plan.DEPLOYMENTS)}'
        )


def _check_number(name: str, value: object) -> None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 < float(typing.cast(float, value)) <= 86400:
        raise exceptions.BadUsage(
            f'{name}: found {value!r}; allowed: a number over 0, up to 86400'
        )


def _call_module(
    module: str, function: str, *args: typing.Any, **kwargs: typing.Any
) -> commands.Output:
    """Call a function of a module that is imported only when needed."""
    imported = importlib.import_module(f'agatepick.{module}')
    run = functools.partial(getattr(imported, function), *args, **kwargs)
    return typing.cast(commands.Output, run())
