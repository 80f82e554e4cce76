"""Calls over persistent connections to a server with faults."""

import asyncio

import pytest

from agatepick.net import httpcalls

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Server:
    """Server that answers requests with the given responses.

    :ivar answers: bytes of the response to each further request; ``None`` for
        no response, and empty bytes for a closed connection.
    :ivar requests: lists of the requests' paths and bodies, by connection.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.address = ''
        self._writers = []
        self._silent_writers = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def __aexit__(self, *exc):
        self._server.close()
        for writer in self._writers:
            writer.close()

    def close_connections(self):
        for writer in self._writers:
            writer.close()

    def silence_connections(self):
        """Answer nothing any more on the connections that are open."""
        self._silent_writers.update(self._writers)

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        requests = []
        self.requests.append(requests)
        try:
            while head := await reader.readuntil(b'\r\n\r\n'):
                length = 0
                for line in head.lower().split(b'\r\n'):
                    if line.startswith(b'content-length:'):
                        length = int(line.partition(b':')[2])
                body = await reader.readexactly(length)
                requests.append((head.split(b' ')[1].decode(), body))
                silent = writer in self._silent_writers
                answer = None if silent else self.answers.pop(0)
                if answer is None:
                    await asyncio.sleep(30.0)
                elif not answer:
                    writer.close()
                    return
                writer.write(answer)
        except (asyncio.IncompleteReadError, OSError):
            # The client has closed the connection.
            pass


async def open_connections(client, count):
    """Make as many calls at once, each of which opens a connection."""
    calls = [client.call('GET', '/', 10.0) for _ in range(count)]
    await asyncio.gather(*calls)


def run(main):
    asyncio.run(main())


def test_successive_calls_use_one_connection():
    async def main():
        async with Server(OK, OK, OK) as server:
            client = httpcalls.Client(server.address, 4)
            for name in ('/a', '/b', '/c'):
                response = await client.call('POST', name, 10.0, b'body')
                assert response == httpcalls.Response(200, b'ok')
            assert server.requests == [
                [('/a', b'body'), ('/b', b'body'), ('/c', b'body')]
            ]
            client.close()

    run(main)


def test_concurrent_calls_use_no_more_connections_than_allowed():
    async def main():
        async with Server(*[OK] * 8) as server:
            client = httpcalls.Client(server.address, 2)
            calls = [client.call('GET', '/x', 10.0) for _ in range(8)]
            responses = await asyncio.gather(*calls)
            assert [one.status for one in responses] == [200] * 8
            assert len(server.requests) <= 2
            client.close()

    run(main)


def test_a_call_that_times_out_closes_its_connection():
    """A worker doesn't answer a request in time.

    If the connection were reused, the late response would be taken as that to
    the next request.
    """

    async def main():
        async with Server(None, OK) as server:
            client = httpcalls.Client(server.address, 1)
            with pytest.raises(TimeoutError):
                await client.call('POST', '/a', 0.05, b'x')
            response = await client.call('POST', '/b', 10.0, b'x')
            assert response.status == 200
            assert [len(requests) for requests in server.requests] == [1, 1]
            client.close()

    run(main)


def test_a_request_that_became_invalid_while_it_waited_is_not_sent():
    """A call waits for a free connection until its request is out of date."""

    async def main():
        async with Server(OK, OK) as server:
            client = httpcalls.Client(server.address, 1)
            first = asyncio.ensure_future(
                client.call('POST', '/a', 10.0, b'x', None, lambda: True)
            )
            valid = [True]
            second = asyncio.ensure_future(
                client.call('POST', '/b', 10.0, b'x', None, valid.pop)
            )
            valid[0] = False
            assert (await first).status == 200
            with pytest.raises(httpcalls.NotSent):
                await second
            assert valid == []
            response = await client.call('POST', '/c', 10.0, b'x')
            assert response.status == 200
            assert server.requests == [[('/a', b'x'), ('/c', b'x')]]
            client.close()

    run(main)


def test_a_call_that_changes_something_is_never_sent_twice():
    """The server reads a request and closes the connection.

    The request may have been executed, so only the caller can decide whether
    to send it again.
    """

    async def main():
        async with Server(OK, b'', OK) as server:
            client = httpcalls.Client(server.address, 1)
            await client.call('POST', '/a', 10.0, b'x')
            with pytest.raises(OSError):
                await client.call('POST', '/b', 10.0, b'x')
            requests = [name for one in server.requests for name, _ in one]
            assert requests == ['/a', '/b']
            client.close()

    run(main)


def test_a_read_on_a_connection_that_the_server_closes_is_sent_again():
    async def main():
        async with Server(OK, b'', OK) as server:
            client = httpcalls.Client(server.address, 1)
            await client.call('GET', '/a', 10.0)
            response = await client.call('GET', '/b', 10.0)
            assert response.status == 200
            client.close()

    run(main)


def test_a_connection_that_the_server_has_closed_is_not_used():
    async def main():
        async with Server(OK, OK) as server:
            client = httpcalls.Client(server.address, 1)
            await client.call('POST', '/a', 10.0, b'x')
            server.close_connections()
            await asyncio.sleep(0.05)
            response = await client.call('POST', '/b', 10.0, b'x')
            assert response.status == 200
            client.close()

    run(main)


def test_a_closed_port_raises_a_connection_refused_error():
    async def main():
        async with Server() as server:
            address = server.address
        client = httpcalls.Client(address, 1)
        with pytest.raises(ConnectionRefusedError):
            await client.call('GET', '/', 10.0)

    run(main)


@pytest.mark.parametrize(
    'answer',
    [
        b'not http\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n',
        b'',
    ],
)
def test_an_invalid_response_is_an_error(answer):
    async def main():
        async with Server(answer) as server:
            client = httpcalls.Client(server.address, 1)
            with pytest.raises(OSError):
                await client.call('POST', '/', 10.0, b'x')

    run(main)


def test_a_response_with_connection_close_is_the_last_on_it():
    close = b'HTTP/1.1 200 OK\r\nConnection: close\r\n' + OK[17:]

    async def main():
        async with Server(close, OK) as server:
            client = httpcalls.Client(server.address, 1)
            for name in ('/a', '/b'):
                response = await client.call('POST', name, 10.0, b'x')
                assert response.body == b'ok'
            assert len(server.requests) == 2
            client.close()

    run(main)


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_after_a_timeout_no_idle_connection_is_used(method):
    """All connections to the store go silent without a reset.

    If each call waited for a timeout on one more of them, a zone would be
    closed, or a queue opened, seconds too late.
    """

    async def main():
        async with Server(*[OK] * 4) as server:
            client = httpcalls.Client(server.address, 4)
            await open_connections(client, 3)
            server.silence_connections()
            with pytest.raises(TimeoutError):
                await client.call(method, '/a', 0.1, b'')
            response = await client.call(method, '/b', 5.0, b'')
            assert response.status == 200
            assert [name for name, _ in server.requests[-1]] == ['/b']
            client.close()

    run(main)


def test_a_connection_opened_during_the_silent_call_is_not_used():
    """A call waits for a change while another opens a connection.

    Both go silent then.  The second one is newer than the first call, and
    silent all the same.
    """

    async def main():
        async with Server(None, OK, OK) as server:
            client = httpcalls.Client(server.address, 4)
            loop = asyncio.get_running_loop()
            waiting = loop.create_task(client.call('GET', '/a', 0.5))
            while not (server.requests and server.requests[0]):
                await asyncio.sleep(0.001)
            await client.call('GET', '/b', 5.0)
            server.silence_connections()
            with pytest.raises(TimeoutError):
                await waiting
            response = await client.call('GET', '/c', 5.0)
            assert response.status == 200
            client.close()

    run(main)


def test_silence_in_the_middle_of_a_response_is_a_timeout():
    """A connection goes silent after the first bytes of a response.

    These bytes must not extend the call's timeout, and the call after it must
    not use another connection that went silent at the same time.
    """

    async def main():
        async with Server(OK, OK, OK, OK[:20], OK) as server:
            client = httpcalls.Client(server.address, 4)
            await open_connections(client, 3)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            waiting = loop.create_task(client.call('GET', '/a', 0.3))
            while len(server.answers) > 1:
                await asyncio.sleep(0.001)
            server.silence_connections()
            with pytest.raises(TimeoutError):
                await waiting
            assert loop.time() >= started_at + 0.3
            response = await client.call('GET', '/b', 5.0)
            assert response.body == b'ok'
            client.close()

    run(main)


def test_single_lost_responses_close_only_their_connections():
    """A worker leaves one request in twenty without a response for seconds.

    Opening all connections again for each of them has a cost.
    """

    async def main():
        async with Server(OK, OK, OK, None, OK, None, OK) as server:
            client = httpcalls.Client(server.address, 4, max_unanswered=2)
            await open_connections(client, 3)
            for _ in range(2):
                with pytest.raises(TimeoutError):
                    await client.call('POST', '/a', 0.1, b'x')
                response = await client.call('POST', '/b', 5.0, b'x')
                assert response.status == 200
            assert len(server.requests) == 3
            client.close()

    run(main)


def test_timeouts_in_a_row_close_all_idle_connections():
    """All connections to a worker go silent without a reset.

    A start that is sent three times must reach the worker.
    """

    async def main():
        async with Server(*[OK] * 6) as server:
            client = httpcalls.Client(server.address, 6, max_unanswered=2)
            await open_connections(client, 5)
            server.silence_connections()
            for _ in range(2):
                with pytest.raises(TimeoutError):
                    await client.call('POST', '/a', 0.1, b'x')
            response = await client.call('POST', '/a', 5.0, b'x')
            assert response.status == 200
            client.close()

    run(main)
