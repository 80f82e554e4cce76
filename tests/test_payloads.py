from agatepick.net import messages
from agatepick.repeatable import payloads
from agatepick.repeatable import reports
from agatepick import types
from tests import repeatable_world


def test_both_ends_keep_the_same_payloads():
    sender, receiver = payloads.Recent(), payloads.Recent()
    for number in range(3 * payloads.KEPT_PAYLOADS):
        for end in (sender, receiver):
            end.add(f'{number}', b'x')
    for number in range(3 * payloads.KEPT_PAYLOADS):
        assert (f'{number}' in sender) == (f'{number}' in receiver)
    assert f'{3 * payloads.KEPT_PAYLOADS - 1}' in receiver
    receiver.clear()
    assert receiver.get(f'{3 * payloads.KEPT_PAYLOADS - 1}') is None


def test_a_job_s_payload_goes_to_each_agent_once():
    world = Noted(entries=1, agents=1)
    world.run(2.0)
    world.submit(repeatable_world.a_job('0123456789abcdef', tasks=25))
    world.run(10.0)
    assert world.answers['0123456789abcdef'].verdict.value == 'complete'
    assert world.payloads == 1


def test_a_start_without_its_payload_is_refused_and_sent_with_it():
    """The two ends have come to differ in what the agent has.

    The task must not run with nothing; its caller only waits a bit longer.
    """
    world = Noted(entries=1, agents=1)
    world.run(2.0)
    world.submit(repeatable_world.a_job('0123456789abcdef', tasks=25))
    world.run(0.1)
    (agent,) = world.agents()
    for owner in agent.reducer._owners.values():
        owner.recent.clear()
    world.run(10.0)
    assert world.answers['0123456789abcdef'].verdict.value == 'complete'
    assert reports.NO_PAYLOAD in world.refusals
    assert world.payloads == 2


class Noted(repeatable_world.World):
    """Counts the payloads sent, and why starts were refused."""

    def __init__(self, entries, agents):
        self.payloads = 0
        self.refusals = []
        super().__init__(entries, agents)

    def _deliver(self, pair, connection, to, sender, message):
        if isinstance(message, messages.StartRuns):
            self.payloads += len(message.payloads)
        if isinstance(message, messages.RunReports):
            self.refusals += [
                one.reason
                for one in message.reports
                if one.state == types.RunState.REFUSED
            ]
        super()._deliver(pair, connection, to, sender, message)
