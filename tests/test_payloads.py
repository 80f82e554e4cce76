from agatepick.net import messages
from agatepick.repeatable import payloads
from agatepick.repeatable import reports
from agatepick import types
from tests import repeatable_world


def test_both_ends_keep_the_same_payloads():
    sender, receiver = payloads.PayloadCache(), payloads.PayloadCache()
    for number in range(3 * payloads.MAX_CACHED_PAYLOADS):
        for end in (sender, receiver):
            end.add(f'{number}', b'x')
    for number in range(3 * payloads.MAX_CACHED_PAYLOADS):
        assert (f'{number}' in sender) == (f'{number}' in receiver)
    assert f'{3 * payloads.MAX_CACHED_PAYLOADS - 1}' in receiver
    receiver.clear()
    assert receiver.get(f'{3 * payloads.MAX_CACHED_PAYLOADS - 1}') is None


def test_a_job_s_payload_goes_to_each_agent_once():
    world = CountingWorld(entries=1, agents=1)
    world.run(2.0)
    world.submit(repeatable_world.make_job('0123456789abcdef', tasks=25))
    world.run(10.0)
    assert world.answers['0123456789abcdef'].verdict.value == 'complete'
    assert world.payloads == 1


def test_a_start_without_its_payload_is_refused_and_sent_with_it():
    """The payload caches of the two ends differ.

    The task must not run without its payload; its caller only waits a bit
    longer.
    """
    world = CountingWorld(entries=1, agents=1)
    world.run(2.0)
    world.submit(repeatable_world.make_job('0123456789abcdef', tasks=25))
    world.run(0.1)
    (agent,) = world.agents()
    for owner in agent.reducer._owners.values():
        owner.payload_cache.clear()
    world.run(10.0)
    assert world.answers['0123456789abcdef'].verdict.value == 'complete'
    assert reports.NO_PAYLOAD in world.refusals
    assert world.payloads == 2


class CountingWorld(repeatable_world.World):
    """World that counts the payloads sent, and records reasons of refusals."""

    def __init__(self, entries, agents):
        self.payloads = 0
        self.refusals = []
        super().__init__(entries, agents)

    def _deliver(self, pair, connection, to, sender, message):
        if isinstance(message, messages.StartRuns):
            self.payloads += len(message.payloads)
        if isinstance(message, messages.RunReports):
            self.refusals += [
                report.reason
                for report in message.reports
                if report.state == types.RunState.REFUSED
            ]
        super()._deliver(pair, connection, to, sender, message)
