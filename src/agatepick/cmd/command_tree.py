"""The commands by name, with their options, as ``fire`` reads them.

A command only notes what is to be done; :mod:`agatepick.cli` does it once
the whole command line has been understood.
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
SLOPES = 'slopes'
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
_TEXT_NAMES = (
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
"""Names stay text: a zone called ``1`` or a key such as ``1e5`` would
otherwise become numbers."""
_Command = typing.TypeVar('_Command', bound=typing.Callable[..., None])


def _text(command: _Command) -> _Command:
    parse = fire.decorators.SetParseFn(str, *_TEXT_NAMES)
    return typing.cast(_Command, parse(command))


class Commands:
    """Dispatches sub-second tasks; see the README for a walk through.

    A command only notes what is to be done; it is done once the whole
    command line has been understood.
    """

    def __init__(self) -> None:
        self._run: Run | None = None

    def tree(self) -> dict[str, object]:
        """The commands by name; ``in`` could not be a method's name."""
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
        """What is to be done."""
        return self._run

    @_text
    def entry(self, config: str) -> None:
        """Run an entry until it is asked to stop."""
        self._daemon('run_entry', config, settings.EntrySettings)

    @_text
    def agent(self, config: str) -> None:
        """Run an agent until it is asked to stop."""
        self._daemon('run_agent', config, settings.AgentSettings)

    @_text
    def standin_table(self, config: str) -> None:
        """Run a stand-in of the platform's table service."""
        self._daemon('run_table', config, settings.TableSettings)

    @_text
    def standin_upstream(self, config: str) -> None:
        """Run a stand-in worker with its upstream."""
        self._daemon('run_upstream', config, settings.UpstreamSettings)

    @_text
    def submit(
        self,
        file: str = '',
        entry: str = '',
        key: str = '',
        json: bool = False,
    ) -> None:
        """Hand in the job in a JSON file (else standard input) and wait."""
        self._ask(entry, json, lambda site: commands.submit(site, file, key))

    @_text
    def cancel(self, job: str, entry: str = '', json: bool = False) -> None:
        """Cancel a job."""
        self._ask(entry, json, lambda site: commands.ask(site, job, True))

    @_text
    def status(
        self, job: str = '', entry: str = '', json: bool = False
    ) -> None:
        """How an entry stands, or with --job how a job stands."""
        if job:
            self._ask(entry, json, lambda site: commands.ask(site, job))
        else:
            self._show(entry, json, '/v1/status')

    @_text
    def config_check(self, file: str, json: bool = False) -> None:
        """Check a settings file of any program; name every fault in it."""
        self._run = lambda: _checked(file, json)

    @_text
    def config_show(self, entry: str = '', json: bool = False) -> None:
        """The cluster's configuration."""
        self._show(entry, json, '/v1/config')

    @_text
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
        change = named_change(name, value)
        self._change(entry, json, 'POST', '/v1/config', change, based_on, wait)

    @_text
    def preset_show(self, entry: str = '', json: bool = False) -> None:
        """The presets, and which one is in force."""
        self._show(entry, json, '/v1/presets')

    @_text
    def preset_use(
        self,
        name: str,
        entry: str = '',
        based_on: int | None = None,
        wait: bool = False,
        json: bool = False,
    ) -> None:
        """Switch to another preset; --wait until it is in force."""
        path = f'/v1/presets/{name}'
        self._change(entry, json, 'PUT', path, {}, based_on, wait)

    @_text
    def zone_list(self, entry: str = '', json: bool = False) -> None:
        """The availability zones and whether they are in service."""
        self._show(entry, json, '/v1/zones')

    @_text
    def zone_out(
        self,
        zone: str,
        entry: str = '',
        based_on: int | None = None,
        wait: bool = False,
        json: bool = False,
    ) -> None:
        """Take a zone out of service; --wait until its last task ended."""
        if not wait:
            self._zone(zone, 'out', entry, based_on, wait, json)
            return
        self._ask(
            entry,
            json,
            lambda site: commands.drain_zone(site, zone, based_on),
        )

    @_text
    def zone_in(
        self,
        zone: str,
        entry: str = '',
        based_on: int | None = None,
        wait: bool = False,
        json: bool = False,
    ) -> None:
        """Return a zone to service; --wait until it is in force."""
        self._zone(zone, 'in', entry, based_on, wait, json)

    @_text
    def explain(self, *words: str, summary: bool | str = False) -> None:
        """Tell what happened to a request, from logs of all processes.

        :param words: the request's id, and files; standard input if none is
            named.
        :param summary: all are files: count what went wrong, by second,
            queue and cause.
        """
        if summary:
            # The word after the option is taken for its value.
            first = (summary,) if isinstance(summary, str) else ()
            words = (*first, *words)
            self._run = functools.partial(_other, 'cmd.summary', 'show', words)
            return
        if not words:
            raise exceptions.BadUsage(
                'name a request, or give --summary', step='explain'
            )
        self._run = functools.partial(
            _other, 'cmd.explain', 'explain', words[0], words[1:]
        )

    @_text
    def timeline(
        self,
        job: str = '',
        task: str = '',
        zone: str = '',
        entry: str = '',
        json: bool = False,
    ) -> None:
        """Events of the processes that --entry=URL,URL names, merged."""
        self._ask(
            entry,
            json,
            lambda site: commands.show_timeline(site, job, task, zone),
        )

    @_text
    def bench(self, pattern: str = '', **options: typing.Any) -> None:
        """Play a pattern of load and measure it against the ideal.

        Options: --seed, --seconds, --load, --deployment, --policy, --json,
        --plot=FILE, --baselines.  The pattern "slopes" measures costs.
        """
        self._run = lambda: _bench(pattern, options)

    def demo(self, seconds: float = 20.0, json: bool = False) -> None:
        """Show the whole system at work in one process."""

        def run() -> commands.Output:
            _check_number('--seconds', seconds)
            return _other('cmd.demo', 'run_command', seconds, json)

        self._run = run

    def version(self, json: bool = False) -> None:
        """The version of agatepick."""
        found = importlib.metadata.version('agatepick')
        text = f'{{"version": "{found}"}}' if json else f'agatepick {found}'
        self._run = lambda: commands.Output(text)

    def _daemon(self, function: str, config: str, kind: type[object]) -> None:
        def run() -> commands.Output:
            return _other(
                'runtime.daemons', function, settings_files.load(config, kind)
            )

        self._run = run

    def _ask(
        self,
        entry: str,
        as_json: bool,
        command: typing.Callable[
            [commands.Site],
            typing.Coroutine[typing.Any, typing.Any, commands.Output],
        ],
    ) -> None:
        def run() -> commands.Output:
            site = commands.Site.from_environment(entry, as_json)
            return asyncio.run(command(site))

        self._run = run

    def _show(self, entry: str, as_json: bool, path: str) -> None:
        self._ask(entry, as_json, lambda site: commands.show(site, path))

    def _zone(
        self,
        zone: str,
        state: str,
        entry: str,
        based_on: int | None,
        wait: bool,
        as_json: bool,
    ) -> None:
        path, body = f'/v1/zones/{zone}', {'state': state}
        self._change(entry, as_json, 'PUT', path, body, based_on, wait)

    def _change(
        self,
        entry: str,
        as_json: bool,
        method: str,
        path: str,
        body: object,
        based_on: int | None,
        wait: bool,
    ) -> None:
        self._ask(
            entry,
            as_json,
            lambda site: commands.change(
                site, method, path, body, based_on, wait
            ),
        )


def named_change(name: str, value: str) -> cluster.Change:
    """The change that ``config set NAME VALUE`` means.

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


def _checked(file: str, as_json: bool) -> commands.Output:
    try:
        cfg = settings_files.load_any(file)
    except exceptions.BadSettings as exc:
        if not as_json:
            raise
        faults = exc.message.splitlines()
        return commands.Output(json.dumps({'faults': faults}), exc.exit_status)
    kind = next(
        name for name, one in settings.KINDS.items() if type(cfg) is one
    )
    if as_json:
        return commands.Output(json.dumps({'program': kind, 'faults': []}))
    return commands.Output(f'{file}: sound settings of agatepick {kind}')


def _bench(pattern: str, options: dict[str, typing.Any]) -> commands.Output:
    patterns = [one.value for one in bench_plan.Pattern]
    if pattern not in (*patterns, SLOPES):
        raise exceptions.BadUsage(
            f'bench: found {pattern!r}; allowed: {", ".join(patterns)}, '
            f'{SLOPES}'
        )
    if pattern != SLOPES:
        _check_bench(options)
    return _other('bench.bench', 'run_command', pattern, **options)


def _check_bench(options: dict[str, typing.Any]) -> None:
    for name in options:
        if name not in BENCH_OPTIONS:
            raise exceptions.BadUsage(
                f'bench: found --{name}; allowed: '
                f'{", ".join(f"--{one}" for one in BENCH_OPTIONS)}'
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
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not 0 < float(typing.cast(float, value)) <= 86400:
        raise exceptions.BadUsage(
            f'{name}: found {value!r}; allowed: a number over 0, up to 86400'
        )


def _other(
    module: str, function: str, *args: typing.Any, **kwargs: typing.Any
) -> commands.Output:
    """Call a module that other commands have no need to import."""
    found = importlib.import_module(f'agatepick.{module}')
    run = functools.partial(getattr(found, function), *args, **kwargs)
    return typing.cast(commands.Output, run())
