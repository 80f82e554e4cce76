"""Stand-ins of the platform's store and worker, after its API pages."""

import asyncio
import base64
import fcntl
import json
import os
import pathlib
import socket
import tempfile

from tornado import httpserver
from tornado import netutil
from tornado import web

CALM = 'calm'
SILENT_SECONDS = 5.0
MUTE_SECONDS = 60.0
"""Delay of an answer that exceeds every timeout."""

FIRST_PORT, LAST_PORT = 12_000, 32_000
"""Below the ports that the system hands out by itself, so that nothing takes
one between its choice and the start, or a restart, of a process."""


def start_server(app):
    """Start an HTTP server on a free port; return it and its address."""
    (port,) = find_free_ports(1)
    server = httpserver.HTTPServer(app)
    server.add_sockets(netutil.bind_sockets(port, '127.0.0.1'))
    return server, f'127.0.0.1:{port}'


async def close_port(server):
    """Refuse new connections to a server and close the open ones."""
    server.stop()
    await server.close_all_connections()


def open_port(server, address):
    """Listen again at the address of a server whose port was closed."""
    host, _, port = address.rpartition(':')
    server.add_sockets(netutil.bind_sockets(int(port), host))


def find_free_ports(count):
    """Return ports on which nothing listens, and that no other test has."""
    path = pathlib.Path(tempfile.gettempdir()) / f'agatepick-{os.getuid()}'
    with open(path.with_suffix('.ports'), 'a+') as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        file.seek(0)
        port = int(file.read() or FIRST_PORT)
        ports = []
        while len(ports) < count:
            if _is_free(port):
                ports.append(port)
            port = port + 1 if port < LAST_PORT else FIRST_PORT
        file.truncate(0)
        file.write(str(port))
    return ports


def _is_free(port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


class Store:
    """A store of versioned rows with a feed, history loss and outages.

    :ivar mode: ``calm``, ``busy`` (answers 503), ``many`` (answers 429) or
        ``lost`` (writes are applied but not answered).
    :ivar mute: number of next calls that get no answer.
    :ivar page_size: largest number of rows of one answer.
    :ivar after_read: callback that runs after each answer to a read.
    :ivar history_start: version before which changes are discarded.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history_start = 0
        self.deleted = {}
        self.mode = CALM
        self.mute = 0
        self.page_size = 500
        self.after_read = lambda: None
        self.calls = []
        self.changed = asyncio.Event()
        self.server, self.address = start_server(
            web.Application(
                [
                    ('/v1/rows-get', _Get, {'store': self}),
                    ('/v1/rows-feed', _Feed, {'store': self}),
                    ('/v1/rows-tx', _Transact, {'store': self}),
                ],
                log_function=lambda handler: None,
            )
        )

    def put(self, table, key, value):
        """Write a row."""
        self.version += 1
        text = value if isinstance(value, bytes) else json.dumps(value)
        data = text if isinstance(text, bytes) else text.encode()
        self.rows[table, key] = (data, self.version)
        self.deleted.pop((table, key), None)
        self._notify()

    def delete(self, table, key):
        """Delete a row."""
        self.version += 1
        self.rows.pop((table, key), None)
        self.deleted[table, key] = self.version
        self._notify()

    def discard_history(self):
        """Discard the changes up to the current version."""
        self.history_start = self.version

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def get_changes(self, table, after):
        changes = [
            _make_row(table, key, version, value)
            for (name, key), (value, version) in self.rows.items()
            if name == table and version > after
        ]
        changes += [
            {
                'table': table,
                'key': key,
                'deleted': True,
                'row_version': version,
            }
            for (name, key), version in self.deleted.items()
            if name == table and version > after
        ]
        return sorted(changes, key=lambda row: row['row_version'])


def _make_row(table, key, version, value):
    return {
        'table': table,
        'part': '',
        'key': key,
        'value': base64.b64encode(value).decode(),
        'row_version': version,
    }


class _Handler(web.RequestHandler):
    def initialize(self, store):
        self.store = store

    async def prepare(self):
        self.store.calls.append(self.request.path)
        if self.store.mute:
            self.store.mute -= 1
            await asyncio.sleep(MUTE_SECONDS)
        status = {'busy': 503, 'many': 429}.get(self.store.mode)
        if status:
            self.set_status(status)
            self.finish({})

    def send_rows(self, rows, has_more=False):
        self.finish(
            {
                'rows': rows,
                'row_version': self.store.version,
                'has_more': has_more,
                'now_ms': 1,
            }
        )


class _Get(_Handler):
    def get(self):
        rows = self.store.get_changes(self.get_argument('table'), 0)
        begin = self.get_argument('from', '', strip=False)
        end = self.get_argument('target', '', strip=False)
        rows = sorted(
            (
                row
                for row in rows
                if 'deleted' not in row
                and row['key'] >= begin
                and (not end or row['key'] < end)
            ),
            key=lambda row: row['key'],
        )
        self.send_rows(
            rows[: self.store.page_size], len(rows) > self.store.page_size
        )
        self.store.after_read()


class _Feed(_Handler):
    async def get(self):
        table = self.get_argument('table')
        after = int(self.get_argument('after'))
        if after < self.store.history_start:
            self.set_status(410)
            self.finish({})
            return
        wait = int(self.get_argument('wait_ms')) / 1000.0
        if not self.store.get_changes(table, after):
            try:
                await asyncio.wait_for(self.store.changed.wait(), wait)
            except TimeoutError:
                pass
        self.send_rows(self.store.get_changes(table, after))


class _Transact(_Handler):
    def post(self):
        body = json.loads(self.request.body)
        for row in body['set_keys']:
            value = base64.b64decode(row['value'])
            self.store.put(row['table'], row['key'], value)
        for row in body['remove']:
            self.store.delete(row['table'], row['key'])
        if self.store.mode == 'lost':
            self.request.connection.stream.close()
            return
        self.finish({'row_version': self.store.version, 'now_ms': 1})


LEASE_CHECK_SECONDS = 0.02
"""Interval at which a worker ends runs whose lease has expired."""

MAX_LEASE_MS = 1000


class Worker:
    """A worker that simulates runs of a fixed length.

    :ivar run_seconds: length of each run.
    :ivar refusal_reason: reason with which starts are refused, or empty.
    :ivar silent: whether requests get no answer.
    :ivar fencing_token: the highest one that it has seen.
    :ivar lease_end: instant of its clock at which all its runs end.
    :ivar highest_runs: number of the newest run by task.
    :ivar target_ids: id to which each request was addressed.
    """

    def __init__(self, run_seconds=0.05):
        self.run_seconds = run_seconds
        self.lease_end = 0
        self.fencing_token = 0
        self.check_scheduled = False
        self.refusal_reason = ''
        self.silent = False
        self.born = 1_700_000_000_000
        self.name = 'i-7f3a91c2'
        self.runs = {}
        self.highest_runs = {}
        self.ended = []
        self.requests = []
        self.target_ids = []
        self.connections = set()
        self.server, self.address = start_server(
            web.Application(
                [('/v1/(.*)', _WorkerRequest, {'worker': self})],
                log_function=lambda handler: None,
            )
        )

    def clock_ms(self):
        return int(asyncio.get_running_loop().time() * 1000)

    def choose_delay(self, name, body):
        """Return for how many seconds a request isn't carried out."""
        return SILENT_SECONDS if self.silent else 0.0

    def make_heartbeat(self, sequence, state='ready', **fields):
        """Return the body of an announcement.

        :param fields: fields that replace the defaults.
        """
        return {
            'service': 'pool',
            'address': self.address,
            'zone': 'talca',
            'version': 'v1',
            'slots': 8,
            'state': state,
            'cold_left_ms': 0,
            'capacity': {'cpu': 64000, 'mem_mb': 262144, 'gpu': 0},
            'labels': ['a', 'r1-1'],
            'clock_ms': self.clock_ms(),
            'sequence': sequence,
            'born': self.born,
            **fields,
        }

    def extend_lease(self, until):
        """Extend the lease; an earlier end doesn't shorten it."""
        until = min(until, self.clock_ms() + MAX_LEASE_MS)
        self.lease_end = max(self.lease_end, until)

    def start_run(self, task, run):
        """Start a run, which ends by itself."""
        if not self.check_scheduled:
            self._schedule_check()
        self.highest_runs[task] = run
        self.runs[task] = run
        asyncio.get_running_loop().call_later(
            self.run_seconds, self.end_run, task, run, 'done'
        )

    def _schedule_check(self):
        self.check_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(LEASE_CHECK_SECONDS, self._end_expired_runs)

    def _end_expired_runs(self):
        self.check_scheduled = False
        if self.clock_ms() > self.lease_end:
            for task, run in list(self.runs.items()):
                self.end_run(task, run, 'lapsed')
        if self.runs:
            self._schedule_check()

    def end_run(self, task, run, how):
        """End a run that is still running."""
        if self.runs.get(task) == run:
            del self.runs[task]
            self.ended.append([len(self.ended) + 1, task, run, how, ''])


class _WorkerRequest(web.RequestHandler):
    def initialize(self, worker):
        self.worker = worker

    async def post(self, name):
        worker = self.worker
        body = json.loads(self.request.body)
        worker.requests.append((name, body))
        worker.target_ids.append(self.request.headers['X-Target-Instance'])
        stream = self.request.connection.stream
        if stream.socket is not None:
            # Without a socket the sender is gone; its request is still
            # carried out.
            worker.connections.add(stream.socket.getpeername())
        if worker.target_ids[-1] != worker.name:
            self.set_status(421)
            self.finish({})
            return
        delay = worker.choose_delay(name, body)
        if delay:
            await asyncio.sleep(delay)
        if body['fencing_token'] < worker.fencing_token:
            self._refuse('fence')
            return
        worker.fencing_token = body['fencing_token']
        if 'until_ms' in body:
            worker.extend_lease(body['until_ms'])
        if name == 'hold':
            await self._hold(body)
            return
        task, run = body['task'], body['run']
        newest = worker.highest_runs.get(task, 0)
        if name == 'run-stop':
            worker.highest_runs[task] = max(newest, run)
            worker.end_run(task, run, 'stopped')
        elif worker.refusal_reason:
            self._refuse(worker.refusal_reason)
            return
        elif body['until_ms'] <= worker.clock_ms():
            self._refuse('late')
            return
        elif newest < run:
            worker.start_run(task, run)
        elif worker.runs.get(task) != run:
            self._refuse('old')
            return
        self.finish({'clock_ms': worker.clock_ms()})

    def _refuse(self, reason):
        self.set_status(409)
        clock_ms = self.worker.clock_ms()
        self.finish({'clock_ms': clock_ms, 'reason': reason})

    async def _hold(self, body):
        worker = self.worker
        loop = asyncio.get_running_loop()
        end = loop.time() + body.get('wait_ms', 0) / 1000.0
        new_ends = []
        while True:
            new_ends = [
                end for end in worker.ended if end[0] > body['last_seen']
            ]
            if new_ends or loop.time() >= end:
                break
            await asyncio.sleep(0.005)
        self.finish(
            {
                'clock_ms': worker.clock_ms(),
                'born': worker.born,
                'running': [
                    [task, run, '', 100] for task, run in worker.runs.items()
                ],
                'ended_runs': new_ends,
            }
        )
