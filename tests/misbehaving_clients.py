"""Clients that misbehave, as a program of their own.

``python -m tests.misbehaving_clients KIND ADDRESS...`` plays one kind of
client against each address for some seconds.  It only sends to addresses on
this machine, and ends by itself.
"""

import argparse
import asyncio
import itertools
import json
import socket

KIB = 1024
BODY_BYTES = 256 * KIB
"""Largest body that the platform's pages allow."""

HUGE_BODY_BYTES = 95 * KIB * KIB
HOLD_SECONDS = 3.0
"""Time for which a client that has stopped keeps its connection open."""

PAUSE_SECONDS = 0.05
"""Pause of a client before it connects again."""

DIAL_PAUSE_SECONDS = 0.002
"""Pause between the first connections, so that they don't overflow the queue
of new connections."""

JOB_BYTES = 60_000


class Target:
    """What a client asks for, and where.

    :ivar keys: numbers for the keys of jobs.
    """

    def __init__(self, address, path, host, number):
        name, _, port = address.rpartition(':')
        assert name.startswith('127.')
        self.address = (name, int(port))
        self.path = path
        self.host = host
        self.keys = itertools.count(number << 40)

    def make_head(self, method='POST', fields='', query=''):
        """Return a head that ends in an empty line."""
        path = f'{self.path}{query}'
        if method == 'POST' and not self.path.endswith('ready'):
            path = f'{self.path}{next(self.keys):016x}{query}'
        return (
            f'{method} {path} HTTP/1.1\r\nHost: {self.host}\r\n{fields}\r\n'
        ).encode()

    async def connect(self):
        """Return a connected socket."""
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self.address)
        except BaseException:
            sock.close()
            raise
        return sock


def make_job(steps=1, count=1, payload=1, cpu=100, **fields):
    """Return the body of a job.

    :param payload: length of its input.
    :param fields: further fields of each step.
    """
    rows = [{'count': count, 'cpu': cpu, **fields}] * steps
    body = {'best_effort': True, 'spec': 'x' * payload, 'steps': rows}
    return json.dumps(body, separators=(',', ':')).encode()


async def send(sock, data):
    """Send bytes."""
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def receive(sock, size=4 * KIB):
    """Return the next bytes; none if the peer has closed."""
    return await asyncio.get_running_loop().sock_recv(sock, size)


# Kinds of clients: each plays one connection.


async def held_body(target, sock):
    """Send a body of legal size but for its last byte."""
    length = f'Content-Length: {BODY_BYTES}\r\n'
    await send(sock, target.make_head(fields=length))
    await send(sock, b' ' * (BODY_BYTES - 1))
    await asyncio.sleep(HOLD_SECONDS)


async def pieced_body(target, sock):
    """Send such a body in small pieces."""
    length = f'Content-Length: {BODY_BYTES}\r\n'
    await send(sock, target.make_head(fields=length))
    for _ in range(BODY_BYTES // (2 * KIB) - 1):
        await send(sock, b' ' * 2 * KIB)
        await asyncio.sleep(0.005)
    await asyncio.sleep(HOLD_SECONDS)


async def huge_body(target, sock):
    """Send a body far over the limit."""
    length = f'Content-Length: {HUGE_BODY_BYTES}\r\n'
    await send(sock, target.make_head(fields=length))
    for _ in range(HUGE_BODY_BYTES // BODY_BYTES):
        await send(sock, b' ' * BODY_BYTES)


async def huge_chunked_body(target, sock):
    """Send a body far over the limit in chunks."""
    await send(sock, target.make_head(fields='Transfer-Encoding: chunked\r\n'))
    chunk = b'%x\r\n%b\r\n' % (BODY_BYTES, b' ' * BODY_BYTES)
    for _ in range(HUGE_BODY_BYTES // BODY_BYTES):
        await send(sock, chunk)


async def tiny_chunks(target, sock):
    """Send a body of legal size in chunks of one byte."""
    await send(sock, target.make_head(fields='Transfer-Encoding: chunked\r\n'))
    for _ in range(BODY_BYTES // KIB):
        await send(sock, b'1\r\n \r\n' * KIB)
    await send(sock, b'0\r\n\r\n')
    await receive(sock)


async def many_fields(target, sock):
    """Send heads of legal size with very many fields."""
    body = make_job()
    fields = ''.join(f'{number:x}:1\r\n' for number in range(2000))
    fields += f'Content-Length: {len(body)}\r\n'
    await send(sock, target.make_head(fields=fields))
    await asyncio.sleep(HOLD_SECONDS)
    await send(sock, body)
    await receive(sock)


async def many_form_fields(target, sock):
    """Send forms with very many fields."""
    form = b'a=1&' * (BODY_BYTES // 4)
    fields = (
        'Content-Type: application/x-www-form-urlencoded\r\n'
        f'Content-Length: {len(form)}\r\n'
    )
    await send(sock, target.make_head(fields=fields) + form)
    await receive(sock)


async def many_query_fields(target, sock):
    """Send jobs whose path has a query of very many fields."""
    body = make_job()
    query = '?' + 'a=1&' * 4000
    fields = f'Content-Length: {len(body)}\r\n'
    await send(sock, target.make_head(fields=fields, query=query) + body)
    await receive(sock)


async def sent_ahead(target, sock):
    """Send many requests ahead, and read no answer."""
    heads = target.make_head('GET') * 1000
    for _ in range(20):
        await send(sock, heads)
    await asyncio.sleep(HOLD_SECONDS)


async def jobs_sent_ahead(target, sock):
    """Send many long jobs ahead, and read no answer."""
    body = make_job(payload=JOB_BYTES)
    fields = f'Content-Length: {len(body)}\r\n'
    for _ in range(200):
        await send(sock, target.make_head(fields=fields) + body)
    await asyncio.sleep(HOLD_SECONDS)


async def endless_line(target, sock):
    """Send a request line that doesn't end."""
    await send(sock, b'GET /' + b'x' * JOB_BYTES)
    await asyncio.sleep(HOLD_SECONDS)


async def idle(target, sock):
    """Send nothing."""
    await receive(sock)


async def half_body(target, sock):
    """Stop half-way in the body."""
    length = f'Content-Length: {2 * KIB}\r\n'
    await send(sock, target.make_head(fields=length) + b' ' * KIB)
    await receive(sock)


async def half_head(target, sock):
    """Stop half-way in the head."""
    await send(sock, target.make_head('GET')[:-8])
    await receive(sock)


async def slow_head(target, sock):
    """Send a head at a byte a second."""
    for index in target.make_head('GET'):
        await send(sock, bytes([index]))
        await asyncio.sleep(1.0)


async def slow_reader(target, sock):
    """Send request after request, and read a byte of the answers a second."""
    head = target.make_head('GET')
    while True:
        await send(sock, head)
        await receive(sock, 1)
        await asyncio.sleep(1.0)


async def many_steps(target, sock):
    """Hand in a job of very many steps, and wait for its answer."""
    await _hand_in(target, sock, make_job(9000))


async def many_tasks(target, sock):
    """Hand in a job of very many tasks, and wait for its answer."""
    await _hand_in(target, sock, make_job(1, 10_000, estimated_ms=50))


async def patient_job(target, sock):
    """Hand in a job that no worker can run, with days to wait."""
    body = make_job(cpu=10_000_000)
    await _hand_in(target, sock, body, 'X-Deadline-Ms: 950400000\r\n')


async def _hand_in(target, sock, body, fields=''):
    fields += f'Content-Length: {len(body)}\r\n'
    await send(sock, target.make_head(fields=fields) + body)
    await receive(sock)


KINDS = {
    kind.__name__: kind
    for kind in (
        held_body,
        pieced_body,
        huge_body,
        huge_chunked_body,
        tiny_chunks,
        many_fields,
        many_form_fields,
        many_query_fields,
        sent_ahead,
        jobs_sent_ahead,
        endless_line,
        idle,
        half_body,
        half_head,
        slow_head,
        slow_reader,
        many_steps,
        many_tasks,
        patient_job,
    )
}


async def play(kind, target, delay):
    """Play a client again and again."""
    await asyncio.sleep(delay)
    while True:
        sock = None
        try:
            sock = await target.connect()
            await kind(target, sock)
        except OSError:
            # A refused or closed connection is what such a client may get.
            await asyncio.sleep(PAUSE_SECONDS)
        finally:
            if sock is not None:
                sock.close()
        await asyncio.sleep(PAUSE_SECONDS)


async def play_all(args):
    """Play all clients until the time is over."""
    tasks = []
    for number in range(args.count):
        for index, address in enumerate(args.address):
            caller = args.number + number * len(args.address) + index
            target = Target(address, args.path, args.host, caller + 1)
            delay = number * DIAL_PAUSE_SECONDS
            work = play(KINDS[args.kind], target, delay)
            tasks.append(asyncio.get_running_loop().create_task(work))
    await asyncio.sleep(args.seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def main():
    """Play one kind of clients against each address."""
    parser = argparse.ArgumentParser(description=__doc__.partition('\n')[0])
    parser.add_argument('kind', choices=KINDS)
    parser.add_argument('address', nargs='+', help='ip:port on this machine')
    parser.add_argument('--path', default='/')
    parser.add_argument('--host', default='localhost')
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--number', type=int, default=0)
    parser.add_argument('--seconds', type=float, default=5.0)
    asyncio.run(play_all(parser.parse_args()))


if __name__ == '__main__':
    main()
