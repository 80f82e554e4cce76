import asyncio
import random

from agatepick import exceptions
from agatepick.standins import standin_table
from agatepick.table import breaker
from agatepick.table import store
from agatepick.table import tablestore

PUT = store.Transact(
    (store.Condition('t', 'k', None),), (store.Row('t', 'k', b'\xff'),)
)
READ = store.ReadRow('t', 'k')


def client_of(server, **limits):
    cfg = tablestore.TableSettings(server.address, **limits)
    return tablestore.TableStore.from_config(cfg, random.Random(1))


def run(scenario, **limits):
    async def play():
        server = await standin_table.TableServer.start()
        client = client_of(server, **limits)

        async def ask(request, timeout=5.0):
            call = store.CallStore(1, request, timeout)
            return (await client.call(call)).answer

        try:
            await scenario(server, client, ask)
        finally:
            client.close()
            await server.stop()

    asyncio.run(play())


def test_rows_are_written_on_conditions_and_read_back():
    async def scenario(server, client, ask):
        assert await ask(READ) == store.Rows(())
        assert await ask(PUT) == store.Committed()
        assert isinstance(await ask(PUT), exceptions.StoreConflict)
        found = store.Rows((store.Row('t', 'k', b'\xff'),))
        assert await ask(READ) == found
        assert await ask(store.ReadAfter('t', 'a', 9)) == found
        gone = store.Transact((), (), (store.RowName('t', 'k'),))
        assert await ask(gone) == store.Committed()
        assert await ask(READ) == store.Rows(())

    run(scenario)


def test_an_answer_lost_after_the_write_is_unknown_and_not_repeated():
    """The service commits and its connection breaks before the answer.

    Repeating would report a conflict for a change that took effect, and an
    operator would believe that the zone is still in.
    """

    async def scenario(server, client, ask):
        server.faults.lost_answers = 1
        assert isinstance(await ask(PUT), exceptions.StoreUnknown)
        assert server.counts.writes == 1
        assert len((await ask(READ)).rows) == 1

    run(scenario)


def test_a_slow_answer_to_a_write_is_unknown_and_to_a_read_unavailable():
    """The service takes minutes; nobody waits longer than the deadline."""

    async def scenario(server, client, ask):
        server.faults.silent = True
        answer = await ask(PUT, 0.05)
        assert isinstance(answer, exceptions.StoreUnknown)
        answer = await ask(READ, 0.05)
        assert isinstance(answer, exceptions.StoreUnavailable)

    run(scenario)


def test_answers_that_overtake_another_reach_their_own_callers():
    async def scenario(server, client, ask):
        await ask(PUT)
        server.faults.answer_delays = [0.1, 0.0]
        first, second = await asyncio.gather(
            ask(READ), ask(store.ReadRow('t', 'none'))
        )
        assert len(first.rows) == 1
        assert second == store.Rows(())

    run(scenario)


def test_an_outage_opens_the_circuit_so_that_calls_fail_at_once():
    """The service is down for long.

    Each call is answered, and soon without a request: the entry neither
    waits nor adds to the service's load.
    """

    async def scenario(server, client, ask):
        server.faults.outage = True
        failures = breaker.CircuitBreaker.FAILURES
        for _ in range(3 * failures):
            answer = await ask(PUT)
            assert isinstance(answer, exceptions.StoreUnavailable)
        assert server.counts.writes == failures
        assert client.counts.held_back == 2 * failures

    run(scenario)


def test_a_process_keeps_under_its_stated_rates():
    async def scenario(server, client, ask):
        for _ in range(8):
            await ask(PUT)
        assert server.counts.writes == 3
        assert client.counts.held_back == 5

    run(scenario, writes=3.0)


def test_a_store_whose_port_is_closed_has_written_nothing():
    async def scenario(server, client, ask):
        await server.stop()
        assert isinstance(await ask(PUT), exceptions.StoreUnavailable)

    run(scenario)


def test_a_probe_closes_the_circuit_again():
    circuit = breaker.CircuitBreaker(random.Random(1))
    for _ in range(circuit.FAILURES):
        assert circuit.allow(10.0)
        circuit.failed(10.0)
    assert not circuit.allow(10.0)
    later = 10.0 + 1.5 * circuit.PROBE_SECONDS
    assert circuit.allow(later) and not circuit.allow(later)
    circuit.succeeded()
    assert circuit.allow(later)
