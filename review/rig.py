"""Stand-ins and process control for the cases of the second review.

Only the standard library is used.  The stand-ins follow PROTOCOL.md of the
users' pages: a store of versioned rows, workers with leases, fencing tokens
and lists of runs, and the platform's balancer, which forwards each new
channel to a node that is in rotation.  All addresses are loopback ones.
"""

import asyncio
import base64
import bisect
import collections
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'nony24.example'
PREFIX = '/lohu930/'
SERVICE = 'huvo11a'
HEARTBEAT_SECONDS = 1.5
ACK_TIMEOUT_SECONDS = 1.0
MAX_HOLD_MS = 1000
BOUNDS = {
    'contact_ms': 3000,
    'ack_ms': 4000,
    'cancel_ms': 3000,
    'stop_timeout_ms': 50,
    'max_hold_ms': MAX_HOLD_MS,
    'drain_ms': 2000,
    'grace_s': 6,
    'config_apply_ms': 2000,
    'evacuation_ms': 5000,
    'recovery_s': 12,
    'resend_ms': 1300,
    'lease_ms': 3000,
    'require_fencing': True,
}
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def choose_ip():
    """Return a loopback address of this run's own, so that ports are free."""
    number = os.getpid()
    ip = f'127.{1 + number // 250 % 250}.{1 + number % 250}.1'
    try:
        with socket.socket() as sock:
            sock.bind((ip, 0))
    except OSError:
        return '127.0.0.1'
    return ip


IP = choose_ip()


class CannotRun(Exception):
    """The case could not run, so that it shows nothing."""


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, 'w', encoding='utf-8')

    def now(self):
        """Seconds since the script started."""
        return time.monotonic() - self.started

    def note(self, text):
        self.file.write(f'{self.now():8.3f} {text}\n')
        self.file.flush()


# HTTP


async def read_head(reader):
    """Return the start line and headers of a message, or None at its end."""
    line = await reader.readline()
    while line in (b'\r\n', b'\n'):
        line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b'\r\n', b'\n', b''):
            break
        name, _, value = header.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    return line.decode('latin-1').strip(), headers


class Request:
    """One request at a stand-in."""

    def __init__(self, method, target, headers, body, reader, writer):
        self.method = method
        self.path, _, query = target.partition('?')
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer

    def sender_is_gone(self):
        return self.writer.is_closing() or self.reader.at_eof()


class Server:
    """An HTTP/1.1 server; ``handle`` returns a status and a body, or None.

    None means that there is no answer and that the channel stays silent.
    """

    def __init__(self, handle):
        self.handle = handle
        self.address = ''
        self.server = None
        self.tasks = set()
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, IP, port
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{IP}:{port}'

    def stop(self):
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    def reset(self):
        """Reset all channels, and each new one until the next start."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def restart(self):
        """Listen again at the same address."""
        await self.start(int(self.address.rpartition(':')[2]))

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, target, _ = line.split(' ', 2)
                size = int(headers.get('content-length', '0'))
                body = await reader.readexactly(size) if size else b''
                request = Request(
                    method, target, headers, body, reader, writer
                )
                answer = await self.handle(request)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, body=None, headers=None, timeout=5.0):
    """Send one request over a new channel; return status and body.

    Status 0 means that there was no complete answer.
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b'' if body is None else json.dumps(body).encode()
            lines = [f'{method} {path} HTTP/1.1']
            all_headers = {'Host': HOST, **(headers or {})}
            if body is not None:
                all_headers['Content-Type'] = 'application/json'
            all_headers['Content-Length'] = str(len(data))
            lines += [f'{key}: {val}' for key, val in all_headers.items()]
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + data)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, {}
            line, answered = head
            size = int(answered.get('content-length', '0'))
            content = await reader.readexactly(size) if size else b''
            status = int(line.split(' ')[1])
            return status, json.loads(content) if content else {}
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


# The platform's store


class Store:
    """Versioned rows with a feed; one address for each process."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Event()
        self.doors = {}

    async def open_door(self, name):
        """Return the address of the store for one process."""
        door = Door(self, name)
        await door.server.start()
        self.doors[name] = door
        return door.server.address

    def stop(self):
        for door in self.doors.values():
            door.server.stop()

    def put(self, table, key, value, part=''):
        self.apply([(table, part, key, value)])

    def drop(self, table, key, part=''):
        self.apply([(table, part, key, None)])

    def apply(self, entries):
        """Apply one transaction; a value of None drops the row."""
        self.version += 1
        for table, part, key, value in entries:
            if isinstance(value, dict):
                value = json.dumps(value).encode()
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
            self.changes.append((self.version, table, part, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, rows, **fields):
        return 200, {
            'rows': rows,
            'row_version': self.version,
            'now_ms': int(time.monotonic() * 1000),
            **fields,
        }

    async def read(self, query):
        table, part = query['table'], query.get('part', '')
        begin, end = query.get('from', ''), query.get('target', '')
        keys = sorted(
            key
            for name, its_part, key in self.rows
            if name == table
            and its_part == part
            and key >= begin
            and (not end or key < end)
        )
        limit = min(int(query.get('limit', '500')), 500)
        rows = []
        for key in keys[:limit]:
            value, version = self.rows[table, part, key]
            rows.append(make_row(table, part, key, value, version))
        return self.answer(rows, has_more=len(keys) > limit)

    async def feed(self, query):
        table, after = query['table'], int(query['after'])
        end = time.monotonic() + int(query.get('wait_ms', '0')) / 1000.0
        while True:
            start = bisect.bisect_right(
                self.changes, after, key=lambda change: change[0]
            )
            rows = {}
            for version, name, part, key, value in self.changes[start:]:
                if name == table:
                    rows.pop((part, key), None)
                    rows[part, key] = make_row(
                        table, part, key, value, version
                    )
            left = end - time.monotonic()
            if rows or left <= 0:
                return self.answer(list(rows.values()))
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    async def transact(self, body):
        for row in body.get('expected', []):
            place = row['table'], row.get('part', ''), row['key']
            version = self.rows.get(place, (b'', 0))[1]
            if version != row['row_version']:
                return 412, {'rows': []}
        rows = [*body.get('set_keys', []), *body.get('remove', [])]
        if any(row['table'] in ('op', 'servers') for row in rows):
            return 403, {}
        entries = [
            (
                row['table'],
                row.get('part', ''),
                row['key'],
                base64.b64decode(row['value']),
            )
            for row in body.get('set_keys', [])
        ]
        entries += [
            (row['table'], row.get('part', ''), row['key'], None)
            for row in body.get('remove', [])
        ]
        await asyncio.sleep(0.003)
        self.apply(entries)
        return 200, {
            'row_version': self.version,
            'now_ms': int(time.monotonic() * 1000),
        }


def make_row(table, part, key, value, version):
    row = {'table': table, 'part': part, 'key': key, 'row_version': version}
    if value is None:
        return {**row, 'deleted': True}
    return {**row, 'value': base64.b64encode(value).decode()}


class Door:
    """The store as one process reaches it.

    :ivar busy: whether calls are refused with 503, which does nothing.
    """

    def __init__(self, store, name):
        self.store = store
        self.name = name
        self.busy = False
        self.server = Server(self.handle)

    async def handle(self, request):
        await asyncio.sleep(0.001)
        if self.busy:
            return 503, {}
        if request.path == '/v1/rows-get':
            return await self.store.read(request.query)
        if request.path == '/v1/rows-feed':
            answer = await self.store.feed(request.query)
            return (503, {}) if self.busy else answer
        if request.path == '/v1/rows-tx':
            return await self.store.transact(json.loads(request.body))
        return 404, {}


# Workers


class Worker:
    """A worker as PROTOCOL.md describes it.

    :ivar guards: whether it rejects what does not fit.
    :ivar cut: whether it is partitioned; its runs go on.
    """

    def __init__(self, rig, name, cpu=64000, guards=True):
        self.rig = rig
        self.name = name
        self.cpu = cpu
        self.guards = guards
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.sequence = 0
        self.state = 'ready'
        self.token = 0
        self.lease_end = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.forgotten = 0
        self.end_count = 0
        self.changed = asyncio.Event()
        self.uncut = asyncio.Event()
        self.uncut.set()
        self.control = ''
        self.server = Server(self.handle)
        self.tasks = []
        self.announced_cpu = cpu

    @property
    def cut(self):
        return not self.uncut.is_set()

    def clock_ms(self):
        return int((time.monotonic() - self.born_at) * 1000)

    async def start(self):
        await self.server.start()
        self.tasks.append(asyncio.create_task(self.watch_lease()))

    def stop(self):
        self.server.stop()
        for task in self.tasks:
            task.cancel()

    def begin_pings(self):
        self.tasks.append(asyncio.create_task(self.ping_forever()))

    async def ping_forever(self):
        while True:
            began = time.monotonic()
            await self.ping()
            spent = time.monotonic() - began
            await asyncio.sleep(max(0.0, HEARTBEAT_SECONDS - spent))

    def describe(self):
        self.sequence += 1
        return {
            'service': SERVICE,
            'address': self.server.address,
            'zone': 'talca',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_left_ms': 0,
            'capacity': {'cpu': self.cpu, 'mem_mb': 262144, 'gpu': 0},
            'labels': ['a', 'r1-1'],
            'clock_ms': self.clock_ms(),
            'sequence': self.sequence,
            'born': self.born,
        }

    async def ping(self):
        if self.cut:
            # The packets of a partitioned worker get nowhere; it gives up
            # the ping after a second.
            await asyncio.sleep(ACK_TIMEOUT_SECONDS)
            return
        path = f'/v1/instances/{self.name}/heartbeat'
        body = self.describe()
        status, _ = await call(
            self.control, 'POST', path, body, timeout=ACK_TIMEOUT_SECONDS
        )
        self.rig.record.note(
            f'{self.name} ping {body["sequence"]} cpu={body["capacity"]["cpu"]}'
            f' -> {status or "no answer"}'
        )

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.runs and self.clock_ms() >= self.lease_end:
                for task in list(self.runs):
                    self.end(task, 'lapsed')

    async def finish(self, task, run, seconds):
        await asyncio.sleep(seconds)
        if self.runs.get(task) == run:
            self.end(task, 'done')

    def end(self, task, how):
        run = self.runs.pop(task)
        self.end_count += 1
        self.ends.append([self.end_count, task, run, how, ''])
        self.rig.on_end(self, task, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def used(self):
        return sum(self.rig.cpu_of(task) for task in self.runs)

    def extend(self, until_ms):
        until_ms = min(until_ms, self.clock_ms() + MAX_HOLD_MS)
        self.lease_end = max(self.lease_end, until_ms)

    def refuse(self, reason):
        self.rig.refusals[self.name, reason] += 1
        return 409, {'clock_ms': self.clock_ms(), 'reason': reason}

    async def handle(self, request):
        if self.cut:
            await self.uncut.wait()
            if request.sender_is_gone():
                # Its sender has reset the channel: the bytes are lost.
                return None
        if request.headers.get('x-target-instance') != self.name:
            return 421, {}
        body = json.loads(request.body)
        if body.get('fencing_token', 0) < self.token:
            return self.refuse('fence')
        self.token = body.get('fencing_token', 0)
        if request.path == '/v1/hold':
            answer = await self.hold(body)
        elif request.path == '/v1/run-start':
            answer = self.start_run(body)
        elif request.path == '/v1/run-stop':
            answer = self.stop_run(body)
        else:
            answer = 404, {}
        if self.cut:
            await self.uncut.wait()
            if request.sender_is_gone():
                return None
        return answer

    async def hold(self, body):
        if 'until_ms' in body:
            self.extend(body['until_ms'])
        seen = body['last_seen']
        self.ends = [end for end in self.ends if end[0] > seen]
        deadline = time.monotonic() + body.get('wait_ms', 0) / 1000.0
        while not self.ends:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass
        return 200, {
            'clock_ms': self.clock_ms(),
            'born': self.born,
            'running': [
                [task, run, '', 100, self.rig.cpu_of(task)]
                for task, run in self.runs.items()
            ],
            'ended_runs': self.ends[:500],
        }

    def start_run(self, body):
        task, run = body['task'], body['run']
        if body['until_ms'] <= self.clock_ms():
            return self.refuse('late')
        if self.runs.get(task) == run:
            self.extend(body['until_ms'])
            return 200, {'clock_ms': self.clock_ms()}
        if run <= self.highest.get(task, 0):
            self.extend(body['until_ms'])
            return self.refuse('old')
        if self.guards and self.used() + self.rig.cpu_of(task) > self.cpu:
            self.extend(body['until_ms'])
            return self.refuse('room')
        self.extend(body['until_ms'])
        self.highest[task] = run
        self.runs[task] = run
        self.rig.on_start(self, task, run, body)
        seconds = self.rig.seconds_of(task)
        self.tasks.append(
            asyncio.create_task(self.finish(task, run, seconds))
        )
        return 200, {'clock_ms': self.clock_ms()}

    def stop_run(self, body):
        task, run = body['task'], body['run']
        self.highest[task] = max(run, self.highest.get(task, 0))
        if self.runs.get(task) == run:
            self.end(task, 'stopped')
        return 200, {'clock_ms': self.clock_ms()}


# The platform's balancer


class Balancer:
    """Forwards each new channel to a node in rotation, by the client."""

    def __init__(self, rig, nodes):
        self.rig = rig
        self.nodes = nodes
        self.misses = {node.name: 0 for node in nodes}
        self.out = set()
        self.tasks = []

    def start(self):
        self.tasks = [
            asyncio.create_task(self.probe(node)) for node in self.nodes
        ]

    def stop(self):
        for task in self.tasks:
            task.cancel()

    async def probe(self, node):
        while True:
            began = time.monotonic()
            status, _ = await call(
                node.ready, 'GET', '/v1/ready', timeout=1.0
            )
            if status == 200:
                self.misses[node.name] = 0
                if node.name in self.out:
                    self.out.discard(node.name)
                    self.rig.record.note(f'{node.name} in rotation')
            else:
                self.misses[node.name] += 1
                if self.misses[node.name] == 2:
                    self.out.add(node.name)
                    self.rig.record.note(f'{node.name} out of rotation')
            spent = time.monotonic() - began
            await asyncio.sleep(max(0.0, 1.0 - spent))

    def choose(self, client):
        """Return the node for a new channel of a client."""
        nodes = [node for node in self.nodes if node.name not in self.out]
        if 2 * len(nodes) < len(self.nodes):
            nodes = self.nodes
        # The node that the client's hash selects is the first for which it
        # is in rotation, so that a client stays with its node.
        order = [
            self.nodes[(client + step) % len(self.nodes)]
            for step in range(len(self.nodes))
        ]
        return next(node for node in order if node in nodes)


class ResettingDoor:
    """An address of the balancer whose next channel is reset at once."""

    def __init__(self):
        self.address = ''
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, IP, 0
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{IP}:{port}'

    async def serve(self, reader, writer):
        await reader.read(1)
        writer.transport.abort()

    def stop(self):
        self.server.close()


# Processes of the project


FIRST_PORT, LAST_PORT = 20000, 32000
"""Ports of the nodes: below those that a system hands out by itself, so that
nothing takes one between its choice and the start, or a restart, of a node."""

_ports = iter(range(FIRST_PORT + os.getpid() % 5000, LAST_PORT))


def find_free_ports(count):
    """Return ports that are free and that no other node of this run has."""
    ports = []
    for port in _ports:
        try:
            with socket.socket() as sock:
                sock.bind((IP, port))
        except OSError:
            continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun('no free ports')


def read_commands():
    """Return the commands of the deploy file by role."""
    import tomllib

    text = (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
    roles = tomllib.loads(text)['roles']
    return {name: role['run'].split(' ') for name, role in roles.items()}


class Node:
    """One machine with one process of the project."""

    def __init__(self, rig, role, number, store, app=''):
        self.rig = rig
        self.role = role
        self.name = f'{role}-{number}'
        front, ready, control, links = find_free_ports(4)
        self.front = f'{IP}:{front}'
        self.ready = f'{IP}:{ready}'
        self.control = f'{IP}:{control}'
        kind = 'frontend' if role == 'entry' else 'side'
        binds = {'control': self.control}
        if role == 'entry':
            binds = {'front': self.front, 'ready': self.ready}
        fields = {
            'node_name': self.name,
            'role': role,
            'machine_class': kind,
            'serves': [kind],
            'ip': IP,
            'zone': 'talca',
            'region': 'centro-sur',
            'zones': {'talca': 'centro-sur'},
            'bind_addresses': binds,
            'internal_ports': [links, links],
            'bootstrap': True,
            'data_dir': None,
            'heartbeat_ms': int(HEARTBEAT_SECONDS * 1000),
            'bounds': BOUNDS,
            'orders': 'invoke',
            'platform': {'address': store, 'form': 'table'},
        }
        if app:
            fields['app'] = app
            fields['service'] = SERVICE
        self.file = rig.folder / f'{self.name}.yaml'
        # JSON is a part of YAML.
        self.file.write_text(json.dumps(fields, indent=1), encoding='utf-8')
        self.log = open(rig.folder / f'{self.name}.log', 'ab')
        self.process = None

    def start(self):
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['AGATEPICK_NODE_FILE'] = str(self.file)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        self.process = subprocess.Popen(
            read_commands()[self.role],
            cwd=ROOT,
            env=env,
            stdout=self.log,
            stderr=self.log,
        )
        self.rig.record.note(f'{self.name} started')

    def signal(self, number):
        self.rig.record.note(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()


class Rig:
    """A small deployment: entries, and agents with their workers.

    :cvar worker_type: class of the stand-in workers.
    :ivar violations: what broke the rule of the case.
    """

    worker_type = Worker

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.entries = []
        self.agents = []
        self.workers = []
        self.balancer = None
        self.version = 0
        self.jobs = {}
        self.starts = []
        self.refusals = collections.Counter()
        self.violations = []

    # What the jobs are

    def cpu_of(self, task):
        key, _, step, _ = task.split('.')
        return self.jobs[key]['steps'][int(step)]['cpu']

    def seconds_of(self, task):
        key, _, step, _ = task.split('.')
        return self.jobs[key]['steps'][int(step)]['estimated_ms'] / 1000.0

    def make_job(self, key, steps, spec='(text)'):
        """Return the body of a job, which the stand-ins remember."""
        body = {'spec': spec, 'best_effort': True, 'steps': steps}
        self.jobs[key] = body
        return body

    # What the workers see; cases extend these

    def on_start(self, worker, task, run, body):
        self.starts.append((self.record.now(), worker.name, task, run))
        self.record.note(f'{worker.name} starts {task} run {run}')

    def on_end(self, worker, task, run, how):
        self.record.note(f'{worker.name} ends {task} run {run}: {how}')

    def violate(self, rule, text):
        self.violations.append(f'{rule}: {text}')
        self.record.note(f'BROKEN {rule}: {text}')

    # The deployment

    def publish(self, routes=None, services=None):
        """Write the desired state, as the operator does."""
        self.version += 3
        if routes is None:
            routes = [self.make_route()]
        service = {
            'name': SERVICE,
            'max_connections': 64,
            'protocol': 'h1',
            'tls': False,
            'rejects_overload': all(one.guards for one in self.workers),
            'standby': False,
        }
        self.store.put(
            'op',
            'config',
            {
                'version': self.version,
                'routes': routes,
                'services': services or [service],
                'limits': {'max_body_bytes': 262144},
            },
        )
        self.record.note(f'desired state {self.version} acknowledged')

    def make_route(self, name='r-wrr6x73', prefix=PREFIX):
        return {
            'name': name,
            'host': HOST,
            'prefix': prefix,
            'kind': 'unsafe',
            'timeout_ms': 1500,
            'target_latency_ms': 60,
            'priority': 0,
            'service': SERVICE,
            'max_attempts': 3,
            'stretch': 1.6,
        }

    async def start(self, entries, workers, **worker_args):
        """Start the deployment, and wait until it serves."""
        for number in range(workers):
            worker = self.worker_type(
                self, f'i-{number:08x}', **worker_args
            )
            await worker.start()
            self.workers.append(worker)
        self.publish()
        for number in range(entries):
            door = await self.store.open_door(f'entry-{number}')
            self.entries.append(Node(self, 'entry', number, door))
        for number, worker in enumerate(self.workers):
            door = await self.store.open_door(f'agent-{number}')
            node = Node(self, 'agent', number, door, worker.server.address)
            worker.control = node.control
            self.agents.append(node)
        for node in [*self.entries, *self.agents]:
            node.start()
        for worker in self.workers:
            worker.begin_pings()
        self.balancer = Balancer(self, self.entries)
        self.balancer.start()
        await self.wait_until_ready()

    async def wait_until_ready(self):
        for node in self.entries:
            for _ in range(200):
                status, _ = await call(node.ready, 'GET', '/v1/ready')
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f'{node.name} was not ready within 20 s')
        # All agents are connected and all workers have announced themselves.
        await asyncio.sleep(2.5)

    async def submit(self, client, key, steps, deadline_s, address=None):
        """Hand in a job over a new channel; return its status and state."""
        body = self.make_job(key, steps)
        node = None
        if address is None:
            node = self.balancer.choose(client)
            address = node.front
        where = node.name if node else address
        self.record.note(f'client {client}: POST {key} to {where}')
        status, content = await call(
            address,
            'POST',
            PREFIX + key,
            body,
            {'X-Deadline-Ms': str(int(deadline_s * 1000))},
            timeout=deadline_s,
        )
        self.record.note(
            f'client {client}: POST {key} -> {status or "no answer"}'
            f' {content if status else ""}'
        )
        return status, content.get('state', '')

    async def cancel(self, client, key, retry=0):
        """Cancel a job over a new channel; return the status.

        :param retry: number of the retry; retries reach other nodes.
        """
        node = self.balancer.choose(client + retry)
        self.record.note(f'client {client}: DELETE {key} to {node.name}')
        status, _ = await call(
            node.front, 'DELETE', PREFIX + key, timeout=4.0
        )
        self.record.note(
            f'client {client}: DELETE {key} -> {status or "no answer"}'
        )
        return status

    def end(self):
        if self.balancer is not None:
            self.balancer.stop()
        for node in [*self.entries, *self.agents]:
            node.end()
        for worker in self.workers:
            worker.stop()
        self.store.stop()


def run(case_file, rig_type, play):
    """Play a case and return its exit status.

    :param play: coroutine function that gets the rig and raises
        :class:`CannotRun` if the case shows nothing.
    """
    folder = pathlib.Path(case_file).resolve().parent

    async def main():
        rig = rig_type(folder)
        rig.record.note(f'TROUBLE={int(TROUBLE)}')
        status = 2
        try:
            async with asyncio.timeout(110):
                await play(rig)
            status = 1 if rig.violations else 0
        except CannotRun as exc:
            rig.record.note(f'could not run: {exc}')
        except Exception:
            rig.record.note('could not run: ' + traceback.format_exc())
        finally:
            rig.end()
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                shutil.copytree(rig.folder, keep, dirs_exist_ok=True)
            shutil.rmtree(rig.folder, ignore_errors=True)
        for (name, reason), count in sorted(rig.refusals.items()):
            rig.record.note(f'{name} refused {count} orders: {reason}')
        result = {0: 'held', 1: 'broken', 2: 'could not run'}[status]
        rig.record.note(f'result: {result}')
        for violation in rig.violations[:10]:
            print(violation)
        print(result)
        return status

    return asyncio.run(main())


def main(case_file, rig_type, play):
    sys.exit(run(case_file, rig_type, play))
