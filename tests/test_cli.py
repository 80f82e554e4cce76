import asyncio
import json
import logging
import threading

import pytest

from agatepick.api import callers
from agatepick.api import calls
from agatepick.api import operators
from agatepick import cli
from agatepick.cmd import command_tree
from agatepick.config import cluster
from agatepick import exceptions
from agatepick import types
from tests import conftest
from tests import test_operators

JOB = {'team': 'talca', 'tasks': [{'id': 'a', 'kind': 'slot'}]}
UNREACHABLE_ENTRY = '--entry=http://127.0.0.1:9'


@pytest.fixture
def entry(front, monkeypatch):
    """Starts an HTTP server with a fake reducer as the default entry.

    The server runs in a thread, because commands start their own event loop.
    """
    started = []
    threads = []

    def start(answer):
        ready = threading.Event()

        async def main():
            def feed(event):
                reply = calls.Reply(event.call, answer(event))
                entry_front.calls.reply(reply)

            entry_front = front(feed)
            routes = [
                *callers.routes(entry_front),
                *operators.routes(entry_front),
            ]
            site = conftest.Site(entry_front, routes)
            stop = asyncio.Event()
            started.append((asyncio.get_running_loop(), stop, site.url))
            ready.set()
            await stop.wait()
            await site.close()

        thread = threading.Thread(target=lambda: asyncio.run(main()))
        thread.start()
        threads.append(thread)
        ready.wait()
        monkeypatch.setenv('AGATEPICK_ENTRY', started[-1][2])
        monkeypatch.setenv('AGATEPICK_TOKEN', conftest.OPERATOR)

    yield start
    for loop, stop, _ in started:
        loop.call_soon_threadsafe(stop.set)
    for thread in threads:
        thread.join()


@pytest.mark.parametrize(
    'line, status, words',
    [
        ('frobnicate', 2, 'frobnicate'),
        ('zone out', 2, 'zone'),
        ('zone out talca --wiat', 2, '--wiat'),
        ('entry --config=/nowhere.toml', 2, '/nowhere.toml'),
        ('submit /nowhere.json', 2, '/nowhere.json'),
        ('config set quota.talca many', 2, 'quota.talca'),
        ('status --entry=localhost', 2, '--entry'),
        ('bench nonsense', 2, 'nonsense'),
        ('bench steady --frob=1', 2, '--frob'),
        ('bench steady --seconds=long', 2, '--seconds'),
        ('bench steady --deployment=mars', 2, 'mars'),
        ('demo --seconds=abc', 2, '--seconds'),
        (f'status {UNREACHABLE_ENTRY}', 6, 'http://127.0.0.1:9'),
        (f'cancel k {UNREACHABLE_ENTRY}', 6, 'http://127.0.0.1:9'),
    ],
)
def test_an_error_is_one_line_that_says_where(capsys, line, status, words):
    """A user mistypes a command, or the entry's address refuses connections.

    The output is one line with the error and its place, and no traceback.
    """
    assert cli.main(line.split()) == status
    output = capsys.readouterr()
    assert output.out == ''
    (error,) = output.err.splitlines()
    assert words in error


def test_every_fault_of_a_file_has_its_line(capsys, tmp_path):
    """An operator starts a program with several faults in its settings.

    Each fault must be reported, on a line of its own that names the file.
    """
    path = tmp_path / 'agent.toml'
    path.write_text('[entries]\nseeds = 3\n[upstream]\nlisten = "here"\n')
    assert cli.main(['agent', f'--config={path}']) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 6
    assert all(f'{path}: ' in line for line in lines)
    assert cli.main(['config', 'check', str(path), '--json']) == 2
    assert len(json.loads(capsys.readouterr().out)['faults']) == 6


def test_an_address_in_use_is_named(capsys, tmp_path):
    """An operator starts an agent on an address that is already in use.

    The error must name the address and say that the agent can't listen there.
    """
    (sock,) = conftest.bind_free_port()
    address = '127.0.0.1:%d' % sock.getsockname()[1]
    path = tmp_path / 'agent.toml'
    path.write_text(
        '[process]\nname = "a"\nzone = "z"\n[tls]\nenabled = false\n'
        f'[entries]\nseeds = ["127.0.0.1:9"]\n'
        f'[upstream]\nlisten = "{address}"\n'
    )
    before = logging.getLogger().handlers[:]
    try:
        assert cli.main(['agent', f'--config={path}']) == 2
    finally:
        logging.getLogger().handlers[:] = before
        sock.close()
    error = capsys.readouterr().err.splitlines()[-1]
    assert address in error and 'cannot listen' in error


@pytest.mark.parametrize(
    'run, status',
    [('complete', 0), ('not_run', 3), ('failed', 4)],
)
def test_the_exit_status_depends_on_the_job_status(
    capsys, entry, tmp_path, run, status
):
    outcome = {'complete': 'finished'}.get(run, run)

    def answer(event):
        task = types.TaskAnswer('a', types.Outcome(outcome), b'{"slot":4}')
        return types.JobAnswer(
            event.job.key, types.JobStatus(run), (task,), code='some_code'
        )

    entry(answer)
    path = tmp_path / 'job.json'
    path.write_text(json.dumps(JOB))
    assert cli.main(['submit', str(path), '--json']) == status
    output = json.loads(capsys.readouterr().out)
    assert (output['run'], output['tasks'][0]['body']) == (run, {'slot': 4})
    assert cli.main(['submit', str(path)]) == status
    assert f'a: {outcome}' in capsys.readouterr().out


def test_a_change_is_based_on_the_version_that_the_entry_knows(capsys, entry):
    """Two operators change the same zone, and the second change conflicts.

    The second command has a distinct exit status and names the version.
    """
    events = []

    def answer(event):
        if isinstance(event, calls.StatusAsked):
            return test_operators.Status()
        events.append(event)
        verdict = 'accepted' if len(events) == 1 else 'conflict'
        return cluster.ProposalOutcome(event.call, verdict, 8, 12.5)

    entry(answer)
    assert cli.main(['zone', 'out', 'talca']) == 0
    assert capsys.readouterr().out == 'accepted: version 8\n'
    assert (events[0].change, events[0].based_on) == (
        cluster.ZoneOut('talca'),
        7,
    )
    assert cli.main(['zone', 'in', '1', '--based_on=3']) == 7
    assert 'at version 8' in capsys.readouterr().err
    assert (events[1].change, events[1].based_on) == (cluster.ZoneIn('1'), 3)
    assert cli.main(['zone', 'list']) == 0
    assert 'zones[talca].accepted = "out"' in capsys.readouterr().out


def test_a_wrong_token_has_a_status_of_its_own(capsys, entry, monkeypatch):
    entry(lambda event: None)
    monkeypatch.setenv('AGATEPICK_TOKEN', 'wrong')
    assert cli.main(['config', 'show']) == 8
    assert 'token' in capsys.readouterr().err


def test_help_and_version_need_no_entry(capsys):
    assert cli.main(['--help']) == 0
    assert 'standin' in capsys.readouterr().out
    assert cli.main(['version', '--json']) == 0
    assert json.loads(capsys.readouterr().out)['version']


def test_config_set_parses_names_and_values():
    assert command_tree.parse_change('quota.talca', '5') == cluster.QuotaSet(
        'talca', 5
    )
    assert command_tree.parse_change('color', 'none') == cluster.SettingSet(
        'color', None
    )
    leaving = command_tree.parse_change('upstream.agent-1', 'leaving')
    assert leaving == cluster.UpstreamLeaving('agent-1')
    with pytest.raises(exceptions.BadUsage):
        command_tree.parse_change('upstream.agent-1', 'gone')
