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


def make_client(server, **limits):
    cfg = tablestore.TableClientSettings(server.address, **limits)
    return tablestore.TableStore.from_config(cfg, random.Random(1))


def run(scenario, **limits):
    async def run_scenario():
        server = await standin_table.TableServer.start()
        client = make_client(server, **limits)

        async def execute(request, timeout=5.0):
            call = store.CallStore(1, request, timeout)
            return (await client.call(call)).answer

        try:
            await scenario(server, client, execute)
        finally:
            client.close()
            await server.stop()

    asyncio.run(run_scenario())


def test_rows_are_written_conditionally_and_read_back():
    async def scenario(server, client, execute):
        assert await execute(READ) == store.Rows(())
        assert await execute(PUT) == store.Committed()
        assert isinstance(await execute(PUT), exceptions.StoreConflict)
        rows = store.Rows((store.Row('t', 'k', b'\xff'),))
        assert await execute(READ) == rows
        assert await execute(store.ReadAfter('t', 'a', 9)) == rows
        deletion = store.Transact((), (), (store.RowName('t', 'k'),))
        assert await execute(deletion) == store.Committed()
        assert await execute(READ) == store.Rows(())

    run(scenario)


def test_a_write_whose_answer_is_lost_is_unknown_and_not_retried():
    """The service commits, and the connection is lost before the answer.

    A retry would report a conflict for a change that took effect, and an
    operator would assume that the zone is still in service.
    """

    async def scenario(server, client, execute):
        server.faults.lost_answers = 1
        assert isinstance(await execute(PUT), exceptions.StoreUnknown)
        assert server.counts.writes == 1
        assert len((await execute(READ)).rows) == 1

    run(scenario)


def test_a_slow_answer_to_a_write_is_unknown_and_to_a_read_unavailable():
    """The service doesn't answer; no call waits longer than its deadline."""

    async def scenario(server, client, execute):
        server.faults.silent = True
        answer = await execute(PUT, 0.05)
        assert isinstance(answer, exceptions.StoreUnknown)
        answer = await execute(READ, 0.05)
        assert isinstance(answer, exceptions.StoreUnavailable)

    run(scenario)


def test_reordered_answers_reach_their_own_callers():
    async def scenario(server, client, execute):
        await execute(PUT)
        server.faults.answer_delays = [0.1, 0.0]
        first, second = await asyncio.gather(
            execute(READ), execute(store.ReadRow('t', 'none'))
        )
        assert len(first.rows) == 1
        assert second == store.Rows(())

    run(scenario)


def test_an_outage_opens_the_circuit_so_that_calls_fail_at_once():
    """The service is down for a long time.

    After a few failures calls must fail without a request: the entry neither
    waits nor adds to the service's load.
    """

    async def scenario(server, client, execute):
        server.faults.outage = True
        failures = breaker.CircuitBreaker.FAILURES_TO_OPEN
        for _ in range(3 * failures):
            answer = await execute(PUT)
            assert isinstance(answer, exceptions.StoreUnavailable)
        assert server.counts.writes == failures
        assert client.counts.withheld == 2 * failures

    run(scenario)


def test_a_process_stays_within_its_rate_limits():
    async def scenario(server, client, execute):
        for _ in range(8):
            await execute(PUT)
        assert server.counts.writes == 3
        assert client.counts.withheld == 5

    run(scenario, max_writes_per_second=3.0)


def test_a_write_to_a_closed_port_is_unavailable():
    async def scenario(server, client, execute):
        await server.stop()
        assert isinstance(await execute(PUT), exceptions.StoreUnavailable)

    run(scenario)


def test_a_probe_closes_the_circuit_again():
    circuit = breaker.CircuitBreaker(random.Random(1))
    for _ in range(circuit.FAILURES_TO_OPEN):
        assert circuit.allow(10.0)
        circuit.record_failure(10.0)
    assert not circuit.allow(10.0)
    later = 10.0 + 1.5 * circuit.PROBE_INTERVAL_SECONDS
    assert circuit.allow(later) and not circuit.allow(later)
    circuit.record_success()
    assert circuit.allow(later)
