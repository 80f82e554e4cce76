"""The platform package: settings, store, operator's rows, worker, callers."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys

import aiohttp
import pytest
from tornado import web
import yaml

from agatepick import exceptions
from agatepick.net import clocks
from agatepick.net import httpcalls
from agatepick.net import messages
from agatepick.platform import desired
from agatepick.platform import following
from agatepick.platform import members
from agatepick.platform import programs
from agatepick.platform import reloading
from agatepick.platform import rows
from agatepick.platform import settings
from agatepick.platform import worker
from agatepick.repeatable import start_retries
from agatepick.repeatable import workerapi
from tests import platform_standins
from tests import soak

DESIRED = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'clubs.example',
            'prefix': '/dates/',
            'service': 'pool',
            'priority': 1,
            'timeout_ms': 1500,
            'target_latency_ms': 60,
            'max_attempts': 3,
            'stretch': 1.6,
            'unknown_field': True,
        },
        {
            'name': 'r-2',
            'host': 'clubs.example',
            'prefix': '/dates/long/',
            'service': 'pool',
        },
    ],
    'services': [],
}


def write_node_file(tmp_path, store='127.0.0.1:1', **change):
    """Write a settings file as the platform does; return its path."""
    fields = {
        'node_name': 'frontend-talca-1',
        'ip': '127.0.0.1',
        'zone': 'talca',
        'bind_addresses': {
            'front': '127.0.0.1:1',
            'ready': '127.0.0.1:2',
            'control': '127.0.0.1:3',
        },
        'internal_ports': [7720, 7735],
        'bounds': {'grace_s': 6},
        'platform': {'address': store},
        **change,
    }
    path = tmp_path / f'{fields["node_name"]}.yaml'
    path.write_text(yaml.safe_dump(fields))
    return str(path)


# Settings


def test_settings_are_mapped_to_the_product_s_names(tmp_path):
    cfg = settings.read(write_node_file(tmp_path, app='127.0.0.1:4'))
    assert cfg.links == '127.0.0.1:7720'
    assert cfg.worker == '127.0.0.1:4'
    assert cfg.grace_seconds == 6.0


@pytest.mark.parametrize(
    ('change', 'field'),
    [
        ({'node_name': None}, 'node_name'),
        ({'zone': 7}, 'zone'),
        ({'platform': {'address': 'nowhere'}}, 'platform.address'),
        ({'internal_ports': []}, 'internal_ports'),
        ({'bounds': {'grace_s': 'soon'}}, 'bounds.grace_s'),
    ],
)
def test_the_error_for_an_invalid_field_names_it(tmp_path, change, field):
    name = change.get('node_name', 'x')
    path = write_node_file(tmp_path, **{'node_name': 'x', **change})
    assert name is None or os.path.exists(path)
    with pytest.raises(exceptions.BadSettings, match=f'^{field}:'):
        settings.read(path)


# The operator's rows


def test_queues_are_read_from_the_operator_s_row():
    table = desired.parse_route_table({'config': json.dumps(DESIRED).encode()})
    assert table is not None
    assert table.version == 7
    assert table.match('clubs.example', '/dates/long/1').name == 'r-2'
    assert table.match('clubs.example', '/dates/1').name == 'r-1'
    assert table.match('clubs.example', '/other/') is None
    assert table.match('other.example', '/dates/1') is None


def test_an_invalid_state_leaves_the_last_one_in_force(caplog):
    """Another writer has stored bytes that aren't a valid state."""
    assert desired.parse_route_table({'config': b'\xff'}) is None
    broken = {**DESIRED, 'version': 'seven'}
    table = desired.parse_route_table({'config': json.dumps(broken).encode()})
    assert table is None
    assert 'version' in caplog.text


def test_the_pools_that_the_state_names_are_read():
    """A service without queues counts, and a queue's without a service."""
    services = [
        {'name': 'spare', 'rejects_overload': False, 'standby': True},
        {'name': 'guarding', 'rejects_overload': True},
    ]
    state = {**DESIRED, 'services': services}
    named = desired.parse_pools({'config': json.dumps(state).encode()})
    assert named.pools == {'pool', 'spare', 'guarding'}
    assert named.guarding == {'guarding'}


@pytest.mark.parametrize('rows_read', [{}, {'config': b'\xff'}])
def test_without_a_valid_state_no_pool_is_named(rows_read):
    assert desired.parse_pools(rows_read) is None


def test_zones_out_of_service_are_read():
    closed = desired.parse_closed_zones(
        {'config': b'{}', 'evacuate/talca': b'{}'}
    )
    assert closed.zones == {'talca'}


def test_an_invalid_row_of_an_entry_is_skipped():
    listed = members.parse_entries(
        {'a': b'{"address":"127.0.0.1:1"}', 'b': b'?'}
    )
    assert [entry.name for entry in listed.entries] == ['a']


# The store


class Watcher:
    """A task that watches a table and collects the states passed on."""

    def __init__(self, store, table='op', wait=0.2):
        self.states = []
        self.client = rows.RowStore(store.address)
        self._task = asyncio.get_running_loop().create_task(
            following.watch_table(
                self.client, table, wait, self.states.append, random.Random(1)
            )
        )

    async def wait_until(self, condition):
        async with asyncio.timeout(10):
            while not (self.states and condition(self.states[-1])):
                await asyncio.sleep(0.01)

    async def stop(self):
        self._task.cancel()
        await self.client.close()


def run(main):
    asyncio.run(main())


def test_changes_are_followed_through_an_outage_and_lost_history():
    """The store refuses calls and meanwhile discards its history.

    Changes made during the outage must be in force soon after its end.
    """

    async def main():
        store = platform_standins.Store()
        store.put('op', 'a', b'1')
        watcher = Watcher(store)
        await watcher.wait_until(lambda rows: rows == {'a': b'1'})
        store.put('op', 'b', b'2')
        await watcher.wait_until(lambda rows: len(rows) == 2)
        store.mode = 'busy'
        await asyncio.sleep(0.3)
        store.delete('op', 'a')
        store.discard_history()
        store.mode = platform_standins.CALM
        await watcher.wait_until(lambda rows: rows == {'b': b'2'})
        await watcher.stop()

    run(main)


def test_a_row_that_changes_while_later_pages_are_read_is_not_missed():
    """A table of several pages is read while the operator writes.

    A row of the first page changes before the second is read.  If it were
    missed, a process would use the old value until its restart.
    """

    async def main():
        store = platform_standins.Store()
        for number in range(4):
            store.put('t', f'k{number}', 'old')
        store.page_size = 2
        changes = [lambda: store.put('t', 'k0', 'new')]
        store.after_read = lambda: changes and changes.pop()()
        client = rows.RowStore(store.address)
        page = await client.read('t')
        assert [row.key for row in page.rows] == ['k0', 'k1', 'k2', 'k3']
        later = await client.changes('t', page.row_version, 0.0)
        assert [row.key for row in later.rows] == ['k0']
        await client.close()

    run(main)


def test_a_call_without_an_answer_is_soon_retried(monkeypatch):
    """A process starts while the store is partly or wholly unavailable.

    With the timeout of a slow store for the first call, callers would wait
    for a second beyond the store's return.
    """
    monkeypatch.setattr(rows, 'FIRST_CALL_TIMEOUT_SECONDS', 0.05)
    monkeypatch.setattr(rows, 'CALL_TIMEOUT_SECONDS', 30.0)

    async def main():
        store = platform_standins.Store()
        store.put('op', 'a', b'1')
        store.mute = 1
        watcher = Watcher(store)
        await watcher.wait_until(lambda rows: rows == {'a': b'1'})
        await watcher.stop()

    run(main)


def test_the_timeout_grows_after_each_failure():
    timeout = rows.CallTimeout()
    before = timeout.seconds
    timeout.increase()
    assert timeout.seconds == 2.0 * before
    for _ in range(5):
        timeout.increase()
    assert timeout.seconds == rows.CALL_TIMEOUT_SECONDS
    timeout.reset()
    assert timeout.seconds == before


def test_a_new_address_of_the_store_is_used_from_the_next_call_on():
    """The settings are reloaded with another address of the store."""

    async def main():
        before, after = platform_standins.Store(), platform_standins.Store()
        before.put('op', 'a', b'1')
        after.put('op', 'a', b'2')
        client = rows.RowStore(before.address)
        page = await client.read('op')
        assert [row.value for row in page.rows] == [b'1']
        client.address = after.address
        page = await client.read('op')
        assert [row.value for row in page.rows] == [b'2']
        await client.close()

    run(main)


def test_an_entry_registers_itself_although_answers_are_lost():
    """The store applies writes without an answer; retries change nothing."""

    async def main():
        store = platform_standins.Store()
        store.mode = 'lost'
        client = rows.RowStore(store.address)
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            members.register(client, 'e', '127.0.0.1:5', 'z', random.Random(1))
        )
        await asyncio.sleep(0.2)
        store.mode = platform_standins.CALM
        await asyncio.wait_for(task, 10)
        assert len(store.rows) == 1
        assert client.call_counts['/v1/rows-tx', 'no_answer'] >= 1
        assert client.call_counts['/v1/rows-tx', '200'] == 1
        await client.close()

    run(main)


SLOW_ANSWER_SECONDS = 0.2
"""Time in which a slow store answers."""


async def open_connections(client):
    """Open as many connections to the store as a client may have."""
    reads = [client.read('op', 10.0) for _ in range(rows.MAX_CONNECTIONS)]
    await asyncio.gather(*reads)


def test_a_change_is_seen_after_one_timeout_on_silent_connections():
    """All connections to the store go silent while new ones work.

    A zone is closed then.  If its agent waited for one timeout after the
    other on the connections that are left, tasks would start there for
    seconds after the zone should be closed.
    """

    async def main():
        store = platform_standins.Store()
        store.put('op', 'a', b'1')
        proxy = soak.Proxy(store.address)
        await proxy.start()
        watcher = Watcher(proxy)
        await open_connections(watcher.client)
        await watcher.wait_until(lambda rows: rows == {'a': b'1'})
        proxy.silence_connections()
        store.put('op', 'b', b'2')
        await watcher.wait_until(lambda rows: len(rows) == 2)
        assert watcher.client.call_counts['/v1/rows-feed', 'no_answer'] == 1
        await watcher.stop()
        proxy.stop()

    run(main)


@pytest.mark.parametrize(
    'call',
    [
        lambda client, seconds: client.read('op', seconds),
        lambda client, seconds: client.read_row('op', 'a', seconds),
        lambda client, seconds: client.changes('op', 0, 0.0),
        lambda client, seconds: client.write('t', 'a', b'2', seconds),
        lambda client, seconds: client.remove('t', 'a'),
    ],
    ids=['read', 'read_row', 'changes', 'write', 'remove'],
)
def test_each_call_is_answered_at_its_second_try_after_a_silence(call):
    async def main():
        store = platform_standins.Store()
        store.put('op', 'a', b'1')
        proxy = soak.Proxy(store.address)
        await proxy.start()
        client = rows.RowStore(proxy.address)
        await open_connections(client)
        proxy.silence_connections()
        with pytest.raises(exceptions.StoreError):
            await call(client, 0.1)
        await call(client, 10.0)
        await client.close()
        proxy.stop()

    run(main)


@pytest.mark.parametrize(
    ('wait', 'bound'),
    [
        (programs.DESIRED_WAIT_SECONDS, 2.0),
        (programs.ZONES_WAIT_SECONDS, 5.0),
    ],
)
def test_one_timeout_is_within_the_time_for_a_change(wait, bound):
    """The connections go silent just before a call for changes begins."""
    seconds = (
        following.CALL_INTERVAL_SECONDS
        + wait
        + rows.CHANGES_MARGIN_SECONDS
        + following.RETRY_DELAYS.first_seconds
        + SLOW_ANSWER_SECONDS
    )
    assert seconds < bound


# The worker


class RecordingClient:
    """A worker's client and the events that it passed on."""

    def __init__(self, standin, address=''):
        self.events = asyncio.Queue()
        self.clock = clocks.ProcessClock.start()
        self.client = worker.WorkerClient(
            address or standin.address, self.clock, self.events.put_nowait
        )
        self.standin = standin
        self.incarnation = worker.make_incarnation(standin.name, standin.born)
        self.epoch = standin.born

    def read_clock(self, lease_seconds):
        """Return the worker's reading at the end of a lease."""
        return self.standin.clock_ms() / 1000.0 + lease_seconds

    def start(self, run=1, lease_seconds=0.65):
        self.client.start(
            workerapi.StartRun(
                self.incarnation,
                self.epoch,
                messages.RunRef('j', 0, run),
                'j.0.0.0',
                b'text',
                self.clock.now() + lease_seconds,
                self.read_clock(lease_seconds),
            )
        )

    def request_lists(self, wait_seconds, lease_seconds=0.65):
        self.client.request_lists(
            workerapi.RequestLists(
                self.incarnation,
                self.epoch,
                0,
                self.clock.now() + lease_seconds,
                wait_seconds,
                self.read_clock(lease_seconds),
            )
        )

    async def get_event(self):
        return await asyncio.wait_for(self.events.get(), 10)


def test_orders_of_a_former_epoch_start_nothing():
    """A start of seconds before would run beside its successor."""

    async def main():
        standin = platform_standins.Worker(run_seconds=5.0)
        recorder = RecordingClient(standin)
        recorder.request_lists(0.0)
        await recorder.get_event()
        recorder.epoch -= 1
        recorder.start()
        event = await recorder.get_event()
        assert event.result is workerapi.StartResult.FENCED
        recorder.request_lists(0.0)
        event = await recorder.get_event()
        assert event == workerapi.ListsFailed(
            recorder.incarnation, fenced=True
        )
        assert standin.runs == {}
        standin.server.stop()

    asyncio.run(main())


def test_a_run_is_started_and_watched_until_its_end():
    async def main():
        standin = platform_standins.Worker()
        recorder = RecordingClient(standin)
        recorder.start()
        answered = await recorder.get_event()
        assert answered.result is workerapi.StartResult.STARTED
        name, body = standin.requests[0]
        ahead = body['until_ms'] - standin.clock_ms()
        assert 300 < ahead <= 650
        recorder.request_lists(0.5)
        lists_received = await recorder.get_event()
        assert lists_received.ended[0].kind is workerapi.EndKind.DONE
        assert standin.target_ids == [standin.name] * 2
        await recorder.client.close()

    run(main)


def test_a_start_is_not_sent_after_its_lease_has_expired():
    """The agent's machine freezes between the decision and the sending.

    The entry has started the task elsewhere by then.  The worker would accept
    the start if its lease were counted from the sending.
    """

    async def main():
        standin = platform_standins.Worker()
        recorder = RecordingClient(standin)
        recorder.start(lease_seconds=-0.75)
        answered = await recorder.get_event()
        assert answered.result is workerapi.StartResult.NOT_SENT
        assert answered.reason == 'lease_expired'
        assert standin.requests == []
        await recorder.client.close()

    run(main)


def test_a_start_that_waits_for_a_connection_is_not_sent_late(monkeypatch):
    """All connections wait for answers of a slow worker."""
    monkeypatch.setattr(worker, 'MAX_CONNECTIONS', 1)
    monkeypatch.setattr(worker, 'REQUEST_TIMEOUT_SECONDS', 30.0)

    async def main():
        standin = platform_standins.Worker()
        recorder = RecordingClient(standin)
        recorder.request_lists(0.4)
        recorder.start(lease_seconds=0.2)
        lists_received, answered = [
            await recorder.get_event() for _ in range(2)
        ]
        assert isinstance(lists_received, workerapi.ListsReceived)
        assert answered.result is workerapi.StartResult.NOT_SENT
        assert [name for name, _ in standin.requests] == ['hold']
        await recorder.client.close()

    run(main)


def test_lists_are_requested_without_a_lease_that_has_expired():
    """The agent freezes before it sends a request for the lists.

    The lease isn't extended, but the lists show which runs are over.
    """

    async def main():
        standin = platform_standins.Worker()
        recorder = RecordingClient(standin)
        recorder.request_lists(0.0, lease_seconds=-0.75)
        lists_received = await recorder.get_event()
        assert isinstance(lists_received, workerapi.ListsReceived)
        ((_, body),) = standin.requests
        assert 'until_ms' not in body
        await recorder.client.close()

    run(main)


def test_a_burst_of_starts_opens_few_connections(monkeypatch):
    """Each new connection to a worker has a cost."""
    # Answers on a busy machine may take longer than on the platform.
    monkeypatch.setattr(worker, 'REQUEST_TIMEOUT_SECONDS', 30.0)

    async def main():
        standin = platform_standins.Worker()
        recorder = RecordingClient(standin)
        for run in range(1, 21):
            recorder.start(run)
        for _ in range(20):
            answered = await recorder.get_event()
            assert answered.result is not workerapi.StartResult.UNKNOWN
        assert len(standin.connections) <= worker.MAX_CONNECTIONS
        assert worker.MAX_CONNECTIONS <= 6
        await recorder.client.close()

    run(main)


def test_the_last_try_of_a_start_has_a_new_connection(monkeypatch):
    """All connections to a worker go silent while new ones work.

    A start that gets no answer at any try is given up, and its task waits for
    another worker.
    """
    monkeypatch.setattr(worker, 'REQUEST_TIMEOUT_SECONDS', 0.5)

    async def main():
        standin = platform_standins.Worker()
        proxy = soak.Proxy(standin.address)
        await proxy.start()
        recorder = RecordingClient(standin, proxy.address)
        for run in range(worker.MAX_CONNECTIONS):
            recorder.start(run + 1)
        for _ in range(worker.MAX_CONNECTIONS):
            await recorder.get_event()
        proxy.silence_connections()
        results = []
        for _ in range(start_retries.MAX_START_ATTEMPTS):
            recorder.start(worker.MAX_CONNECTIONS + 1)
            results.append((await recorder.get_event()).result)
        assert results[-1] is workerapi.StartResult.STARTED
        await recorder.client.close()
        proxy.stop()

    run(main)


@pytest.mark.parametrize(
    ('reason', 'result'),
    [
        ('room', workerapi.StartResult.NO_ROOM),
        ('old', workerapi.StartResult.STALE_RUN),
        ('late', workerapi.StartResult.LATE),
    ],
)
def test_a_refused_start_has_no_effect(reason, result):
    async def main():
        standin = platform_standins.Worker()
        standin.refusal_reason = reason
        recorder = RecordingClient(standin)
        recorder.start()
        assert (await recorder.get_event()).result is result
        await recorder.client.close()

    run(main)


def test_a_start_without_an_answer_has_an_unknown_result():
    """The worker doesn't answer the request, but may carry it out later."""

    async def main():
        standin = platform_standins.Worker()
        standin.silent = True
        recorder = RecordingClient(standin)
        recorder.start()
        answered = await recorder.get_event()
        assert answered.result is workerapi.StartResult.UNKNOWN
        await recorder.client.close()

    run(main)


def test_the_lists_of_another_incarnation_are_recognised():
    """A worker crashes and restarts under its id without any runs.

    The new incarnation accepts requests meant for the earlier one, so starts
    sent before may run there.  Only the lists of runs that the new incarnation
    itself sends show which runs are over.
    """

    async def main():
        standin = platform_standins.Worker()
        recorder = RecordingClient(standin)
        standin.born += 1000
        recorder.request_lists(0.0)
        new_incarnation = worker.make_incarnation(standin.name, standin.born)
        assert (
            await recorder.get_event()
            == workerapi.OtherIncarnationAnswered(
                recorder.incarnation, new_incarnation, standin.born
            )
        )
        await recorder.client.close()

    run(main)


# Settings that change


def test_a_change_during_the_start_is_applied(tmp_path):
    """The settings change between their reading and the event loop's start.

    The SIGHUP comes before a handler is installed.  If the change were missed,
    the process would call the store's old address for good.
    """

    async def main():
        path = write_node_file(tmp_path)
        file = reloading.SettingsFile(path)
        before = file.read()
        write_node_file(tmp_path, store='127.0.0.1:9')
        # Files written at once may have the same time.
        os.utime(path, (1.0, 1.0))
        changed = asyncio.get_running_loop().create_future()
        task = asyncio.get_running_loop().create_task(
            reloading.follow_settings(
                file, changed.set_result, asyncio.Event()
            )
        )
        after = await asyncio.wait_for(changed, 10.0)
        assert (before.store, after.store) == ('127.0.0.1:1', '127.0.0.1:9')
        task.cancel()

    run(main)


# Both programs


class Programs:
    """An entry and an agent as processes, with stand-ins of their peers."""

    def __init__(self, tmp_path):
        self.store = platform_standins.Store()
        self.worker = platform_standins.Worker()
        self.ports = platform_standins.find_free_ports(6)
        self.processes = []
        self._tmp_path = tmp_path

    def start(self, role):
        front, ready, control, entry_links, agent_links, app = self.ports
        links = {'entry': entry_links, 'agent': agent_links}[role]
        path = write_node_file(
            self._tmp_path,
            store=self.store.address,
            node_name=role,
            bind_addresses={
                'front': f'127.0.0.1:{front}',
                'ready': f'127.0.0.1:{ready}',
                'control': f'127.0.0.1:{control}',
            },
            internal_ports=[links, links],
            app=self.worker.address,
        )
        process = subprocess.Popen(
            [sys.executable, 'deploy/start.py', role],
            env={**os.environ, settings.SETTINGS_PATH_VARIABLE: path},
            stdout=subprocess.PIPE,
            text=True,
        )
        self.processes.append(process)
        return process

    async def announce(self, session):
        url = (
            f'http://127.0.0.1:{self.ports[2]}/v1/instances/'
            f'{self.worker.name}/heartbeat'
        )
        async with asyncio.timeout(30):
            while True:
                try:
                    body = self.worker.make_heartbeat(1)
                    async with session.post(url, json=body) as answer:
                        assert answer.status == 200
                        return
                except aiohttp.ClientError:
                    await asyncio.sleep(0.05)

    async def wait_ready(self, session):
        url = f'http://127.0.0.1:{self.ports[1]}/v1/ready'
        async with asyncio.timeout(30):
            while True:
                try:
                    async with session.get(url) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def post(self, session, path, body, **headers):
        url = f'http://127.0.0.1:{self.ports[0]}{path}'
        headers = {'Host': 'clubs.example', **headers}
        async with session.post(url, json=body, headers=headers) as answer:
            return answer.status, await answer.json()

    def stop(self):
        for process in self.processes:
            process.kill()
            process.communicate()
        self.store.server.stop()
        self.worker.server.stop()


JOB = {
    'best_effort': True,
    'spec': 'text',
    'steps': [{'count': 3, 'cpu': 6200, 'mem_mb': 64, 'estimated_ms': 50}],
}


def test_a_job_runs_through_both_programs(tmp_path):
    """A job takes the whole path from a caller to the worker and back.

    Then the entry is stopped while a job is open, which it must still answer.
    """

    async def main():
        programs = Programs(tmp_path)
        programs.store.put('op', 'config', DESIRED)
        try:
            entry = programs.start('entry')
            programs.start('agent')
            async with aiohttp.ClientSession() as session:
                await programs.announce(session)
                await programs.wait_ready(session)
                path = '/dates/5c0e7a21d94b36f8'
                answer = await programs.post(session, path, JOB)
                assert answer == (200, {'state': 'completed'})
                # A start without an answer for 30 ms is sent again; the worker
                # runs it once.
                runs = {
                    (body['task'], body['run'])
                    for name, body in programs.worker.requests
                    if name == 'run-start'
                }
                assert runs == {
                    (f'5c0e7a21d94b36f8.0.0.{index}', 1) for index in range(3)
                }
                status, _ = await programs.post(session, '/none/1', JOB)
                assert status == 404
                status, body = await programs.post(
                    session, path, {**JOB, 'steps': 7}
                )
                assert status == 400
                assert 'steps' in body['reason']
                programs.worker.run_seconds = 0.5
                waiting = asyncio.ensure_future(
                    programs.post(session, path[:-1] + '0', JOB)
                )
                await asyncio.sleep(0.2)
                entry.send_signal(signal.SIGHUP)
                entry.send_signal(signal.SIGTERM)
                assert await waiting == (200, {'state': 'completed'})
        finally:
            programs.stop()

    run(main)


SLOW_IMPORT = """
import sys


class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == 'agatepick':
            sys.meta_path.remove(self)
            print('importing', flush=True)
            sys.stdin.readline()


sys.meta_path.insert(0, Finder())
"""
"""Module that stops a process at its first import of the product."""


@pytest.fixture
def starting(tmp_path):
    """A process that waits for a line of input before it imports itself."""
    (tmp_path / 'sitecustomize.py').write_text(SLOW_IMPORT)
    front, ready, links = platform_standins.find_free_ports(3)
    path = write_node_file(
        tmp_path,
        bind_addresses={
            'front': f'127.0.0.1:{front}',
            'ready': f'127.0.0.1:{ready}',
        },
        internal_ports=[links, links],
    )
    process = subprocess.Popen(
        [sys.executable, 'deploy/start.py', 'entry'],
        env={
            **os.environ,
            settings.SETTINGS_PATH_VARIABLE: path,
            'PYTHONPATH': str(tmp_path),
        },
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    assert process.stdout.readline() == 'importing\n'
    yield process
    process.kill()
    process.communicate()


def test_a_sighup_during_the_imports_does_not_end_a_process(starting):
    """The settings change while a process starts, before it has a handler."""
    starting.send_signal(signal.SIGHUP)
    starting.stdin.write('\n')
    starting.stdin.flush()
    while 'event=started' not in starting.stdout.readline():
        assert starting.poll() is None
    starting.send_signal(signal.SIGHUP)
    starting.send_signal(signal.SIGTERM)
    assert starting.wait(30) == 0


def test_a_sigterm_during_the_imports_ends_a_process(starting):
    """The platform stops a machine that has just started."""
    starting.send_signal(signal.SIGTERM)
    assert starting.wait(30) == -signal.SIGTERM


def test_callers_connections_are_probed_before_their_jobs_come_again():
    """The packet that ends a caller's connection may be lost."""

    class Options(web.RequestHandler):
        def get(self):
            sock = self.request.connection.stream.socket
            idle = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
            on = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            self.finish({'on': on, 'idle': idle})

    async def main():
        (port,) = platform_standins.find_free_ports(1)
        app = web.Application([('/', Options)])
        programs.serve_callers(app, f'127.0.0.1:{port}')
        client = httpcalls.Client(f'127.0.0.1:{port}', 1)
        response = await client.call('GET', '/', 5.0)
        assert json.loads(response.body) == {'on': 1, 'idle': 1}
        client.close()

    run(main)
