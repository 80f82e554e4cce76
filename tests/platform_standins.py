"""Stand-ins of the platform: its store and a worker, by their pages."""

import asyncio
import base64
import json
import socket

from tornado import httpserver
from tornado import netutil
from tornado import web

CALM = 'calm'
MUTE_SECONDS = 60.0
"""Longer than any caller waits."""


def serve(app):
    """An HTTP server on a free port; the server and its address."""
    (sock,) = netutil.bind_sockets(0, '127.0.0.1')
    server = httpserver.HTTPServer(app)
    server.add_sockets([sock])
    return server, f'127.0.0.1:{sock.getsockname()[1]}'


def free_ports(count):
    """Ports that nothing listens at now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(('127.0.0.1', 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Store:
    """Rows with versions, a feed, lost history and outages.

    :ivar mode: ``calm``, ``busy`` (503), ``many`` (429) or ``lost`` (writes
        are done and not answered).
    :ivar mute: calls that get no answer, from now on.
    :ivar page: rows that one answer holds at most.
    :ivar between_pages: called after each answer to a read.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.forgotten = 0
        self.dropped = {}
        self.mode = CALM
        self.mute = 0
        self.page = 500
        self.between_pages = lambda: None
        self.calls = []
        self.changed = asyncio.Event()
        self.server, self.address = serve(
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
        """Write a row, as the operator does."""
        self.version += 1
        text = value if isinstance(value, bytes) else json.dumps(value)
        data = text if isinstance(text, bytes) else text.encode()
        self.rows[table, key] = (data, self.version)
        self.dropped.pop((table, key), None)
        self._wake()

    def drop(self, table, key):
        """Remove a row."""
        self.version += 1
        self.rows.pop((table, key), None)
        self.dropped[table, key] = self.version
        self._wake()

    def forget(self):
        """Discard the history."""
        self.forgotten = self.version

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def since(self, table, after):
        found = [
            _row(table, key, version, value)
            for (name, key), (value, version) in self.rows.items()
            if name == table and version > after
        ]
        found += [
            {
                'table': table,
                'key': key,
                'deleted': True,
                'row_version': version,
            }
            for (name, key), version in self.dropped.items()
            if name == table and version > after
        ]
        return sorted(found, key=lambda row: row['row_version'])


def _row(table, key, version, value):
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

    def tell(self, rows, more=False):
        self.finish(
            {
                'rows': rows,
                'row_version': self.store.version,
                'has_more': more,
                'now_ms': 1,
            }
        )


class _Get(_Handler):
    def get(self):
        rows = self.store.since(self.get_argument('table'), 0)
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
        self.tell(rows[: self.store.page], len(rows) > self.store.page)
        self.store.between_pages()


class _Feed(_Handler):
    async def get(self):
        table = self.get_argument('table')
        after = int(self.get_argument('after'))
        if after < self.store.forgotten:
            self.set_status(410)
            self.finish({})
            return
        wait = int(self.get_argument('wait_ms')) / 1000.0
        if not self.store.since(table, after):
            try:
                await asyncio.wait_for(self.store.changed.wait(), wait)
            except TimeoutError:
                pass
        self.tell(self.store.since(table, after))


class _Transact(_Handler):
    def post(self):
        body = json.loads(self.request.body)
        for row in body['set_keys']:
            value = base64.b64decode(row['value'])
            self.store.put(row['table'], row['key'], value)
        for row in body['remove']:
            self.store.drop(row['table'], row['key'])
        if self.store.mode == 'lost':
            self.request.connection.stream.close()
            return
        self.finish({'row_version': self.store.version, 'now_ms': 1})


LOOK_SECONDS = 0.02
"""How often a worker ends what its lease no longer covers."""

MAX_LEASE_MS = 1000


class Worker:
    """A worker that runs tasks for a while and announces itself.

    :ivar seconds: how long each run takes.
    :ivar refuse: reason for which starts are refused; empty for none.
    :ivar silent: orders get no answer.
    :ivar until: instant of its clock at which all that runs there ends.
    """

    def __init__(self, seconds=0.05):
        self.seconds = seconds
        self.until = 0
        self.looking = False
        self.refuse = ''
        self.silent = False
        self.born = 1_700_000_000_000
        self.name = 'i-7f3a91c2'
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.orders = []
        self.lives = []
        self.connections = set()
        self.server, self.address = serve(
            web.Application(
                [('/v1/(.*)', _Order, {'worker': self})],
                log_function=lambda handler: None,
            )
        )

    def clock_ms(self):
        return int(asyncio.get_running_loop().time() * 1000)

    def beat(self, sequence, state='ready', **more):
        """The body of one announcement."""
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
            **more,
        }

    def extend(self, until):
        """Take a lease, which never shortens the one in force."""
        until = min(until, self.clock_ms() + MAX_LEASE_MS)
        self.until = max(self.until, until)

    def begin(self, task, run):
        """A run starts."""
        if not self.looking:
            self._look_later()
        self.highest[task] = run
        self.runs[task] = run
        asyncio.get_running_loop().call_later(
            self.seconds, self.end, task, run, 'done'
        )

    def _look_later(self):
        self.looking = True
        loop = asyncio.get_running_loop()
        loop.call_later(LOOK_SECONDS, self._look)

    def _look(self):
        self.looking = False
        if self.clock_ms() > self.until:
            for task, run in list(self.runs.items()):
                self.end(task, run, 'lapsed')
        if self.runs:
            self._look_later()

    def end(self, task, run, how):
        """A run ends, if it is still there."""
        if self.runs.get(task) == run:
            del self.runs[task]
            self.ended.append([len(self.ended) + 1, task, run, how, ''])


class _Order(web.RequestHandler):
    def initialize(self, worker):
        self.worker = worker

    async def post(self, name):
        worker = self.worker
        body = json.loads(self.request.body)
        worker.orders.append((name, body))
        worker.lives.append(self.request.headers['X-Target-Instance'])
        stream = self.request.connection.stream
        if stream.socket is not None:
            # Else its sender has gone, and the order is carried out still.
            worker.connections.add(stream.socket.getpeername())
        if worker.lives[-1] != worker.name:
            self.set_status(421)
            self.finish({})
            return
        if worker.silent:
            await asyncio.sleep(5.0)
        if 'until_ms' in body:
            worker.extend(body['until_ms'])
        if name == 'hold':
            await self._hold(body)
            return
        task, run = body['task'], body['run']
        seen = worker.highest.get(task, 0)
        if name == 'run-stop':
            worker.highest[task] = max(seen, run)
            worker.end(task, run, 'stopped')
        elif worker.refuse:
            self._refuse(worker.refuse)
            return
        elif body['until_ms'] <= worker.clock_ms():
            self._refuse('late')
            return
        elif seen < run:
            worker.begin(task, run)
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
        fresh = []
        while True:
            fresh = [one for one in worker.ended if one[0] > body['last_seen']]
            if fresh or loop.time() >= end:
                break
            await asyncio.sleep(0.005)
        self.finish(
            {
                'clock_ms': worker.clock_ms(),
                'born': worker.born,
                'running': [
                    [task, run, '', 100] for task, run in worker.runs.items()
                ],
                'ended_runs': fresh,
            }
        )
