"""Orders of events that a review of the overlapping runs came upon."""

import asyncio
import json
import socket

import pytest
from tornado import httpserver
from tornado import netutil

from agatepick.api import calls
from agatepick import core
from agatepick.net import messages
from agatepick.owning import ownership
from agatepick.platform import ingress
from agatepick.platform import worker
from agatepick.repeatable import events
from agatepick.repeatable import leases
from agatepick.repeatable import policies
from agatepick.repeatable import process
from agatepick.repeatable import runs
from agatepick.repeatable import workerapi
from agatepick import types
from tests import agents
from tests import platform_standins
from tests import repeatable_world
from tests import test_entries_and_agents
from tests import test_entry_faults
from tests import test_overlap_orders
from tests import test_resubmissions
from tests import test_run_controller as base

NOW = base.NOW
STARTED = workerapi.StartResult.STARTED
RESEND_SECONDS = 1.3
controller = base.controller


def receive(ctl, requested_at, now, running=(), ended=()):
    event = workerapi.ListsReceived('w@1', requested_at, running, ended)
    return ctl.handle_lists(event, now)


def get_leases(effects):
    kind = workerapi.RequestLists
    return [r.lease_until for r in base.filter_effects(effects, kind)]


J0 = workerapi.RunningRun('j.0', 1)
K0 = workerapi.RunningRun('k.0', 1)
J0_DONE = workerapi.EndedRun(1, 'j.0', 1, workerapi.EndKind.DONE, 'done')


def test_a_list_older_than_an_end_stops_the_lease_of_sound_runs(controller):
    """Two requests for lists are open at once; their answers may cross."""
    base.answer_start(controller, STARTED, NOW + 0.002)
    base.start_other(controller, NOW + 0.002)
    controller.enforce_leases(NOW + 0.003)
    other = workerapi.StartAnswered('w@1', messages.RunRef('k', 0, 1), STARTED)
    controller.handle_start_answer(other, NOW + 0.004)
    controller.request_lists(NOW + 0.01)
    controller.request_lists(NOW + 0.12)
    receive(controller, NOW + 0.12, NOW + 0.121, (K0,), (J0_DONE,))
    assert set(controller.runs) == {'k.0'}
    stops = receive(controller, NOW + 0.01, NOW + 0.13, (J0, K0))
    assert get_leases(controller.request_lists(NOW + 0.135)) == [
        NOW + 0.135 + leases.WORKER_LEASE_SECONDS
    ], stops


def test_a_list_older_than_an_end_bars_the_first_start_after_a_lull(
    controller,
):
    """The idle agent requests no lists, so its mistake outlasts the lull."""
    base.answer_start(controller, STARTED, NOW + 0.002)
    controller.request_lists(NOW + 0.01)
    controller.request_lists(NOW + 0.12)
    receive(controller, NOW + 0.12, NOW + 0.121, (), (J0_DONE,))
    controller.request_lists(NOW + 0.126)
    receive(controller, NOW + 0.126, NOW + 0.127)
    receive(controller, NOW + 0.01, NOW + 0.13, (J0,))
    for step in range(500):
        now = NOW + 0.14 + step * 0.01
        for request in get_leases(controller.request_lists(now)):
            receive(controller, now, now + 0.001)
    now = NOW + 5.5
    assert base.start_other(controller, now) > now


def test_a_delayed_stop_without_answers_outlasts_the_resubmission(controller):
    """The entry's stop takes 0.4 s, which its renewals allow."""
    base.answer_start(controller, STARTED, NOW + 0.002)
    base.start_other(controller, NOW + 0.002)
    (run,) = [run for run in controller.runs.values() if run.name == 'j.0']
    left_at = NOW + 0.01
    base.play_unanswered_stops(controller, 0.4, left_at)
    controller.stop(run, left_at + 0.4)
    latest = base.play_unanswered_stops(controller, 2.0, left_at + 0.4)
    over = latest - leases.WORKER_LEASE_SECONDS + leases.WORKER_EXPIRY_SECONDS
    assert over <= left_at + RESEND_SECONDS


def play_failures_by_turns(controller, failure, period):
    """Let the worker announce itself and fail its first lists, and so on."""
    base.answer_start(controller, STARTED, NOW + 0.002)
    for step in range(1, 20):
        now = NOW + step * period
        failed_at = now - 0.9 * period
        base.pass_time(controller, now - period, failed_at)
        controller.handle_list_failure(failure, failed_at)
        base.pass_time(controller, failed_at, now - 0.001)
        controller.handle_announcement(base.make_announcement(step + 1), now)


@pytest.mark.parametrize('period', [1.0, 1.5])
def test_runs_at_a_worker_that_goes_down_and_up_are_over_in_the_end(
    controller, period
):
    """It announces itself, refuses its first lists, and so on."""
    failure = workerapi.ListsFailed('w@1', refused=True)
    play_failures_by_turns(controller, failure, period)
    assert controller.runs == {}


def test_runs_are_over_whose_worker_another_one_replaces_by_turns(controller):
    """Each return of the worker extended the lease of its runs."""
    failure = workerapi.ListsFailed('w@1', other_worker=True)
    play_failures_by_turns(controller, failure, 1.0)
    assert controller.runs == {}


def test_a_closed_port_is_no_proof_of_a_crash(controller):
    """The same worker goes on with its run, so it hasn't crashed."""
    controller._crashes.enabled = True
    base.answer_start(controller, STARTED, NOW + 0.002)
    controller.handle_list_failure(
        workerapi.ListsFailed('w@1', refused=True), NOW + 0.01
    )
    controller.handle_announcement(base.make_announcement(2), NOW + 0.1)
    receive(controller, NOW + 0.11, NOW + 0.12, (J0,))
    sent = controller._reports.flush(NOW + 0.13)
    reasons = [r.reason for s in sent for r in s.message.reports]
    assert 'worker_crashed' not in reasons


def play_crash_before_start(ctl, **lists):
    """Let the next incarnation take a start; return the reports' reasons."""
    ctl._crashes.enabled = True
    reborn = workerapi.OtherIncarnationAnswered('w@1', 'w@2', 2)
    ctl.handle_other_incarnation(reborn, NOW + 0.01)
    event = workerapi.ListsReceived('w@2', NOW + 0.02, **lists)
    ctl.handle_lists(event, NOW + 0.03)
    sent = ctl._reports.flush(NOW + 0.04)
    return [r.reason for s in sent for r in s.message.reports]


@pytest.mark.parametrize(
    'lists',
    [{'running': (J0,), 'ended': ()}, {'running': (), 'ended': (J0_DONE,)}],
)
def test_a_crash_before_a_start_arrived_is_withdrawn(controller, lists):
    """Jobs failed for three crashes of which their task saw fewer."""
    reasons = play_crash_before_start(controller, **lists)
    assert reasons[:2] == ['worker_crashed', 'worker_returned']
    assert controller._crashes.count('j.0', NOW + 0.04) == 0


def test_a_list_older_than_a_refusal_withdraws_no_crash(controller):
    """The agent forgot the crash, and the next entry wasn't warned."""
    controller._crashes.enabled = True
    base.answer_start(controller, STARTED, NOW + 0.002)
    refused = workerapi.ListsFailed('w@1', refused=True)
    controller.handle_list_failure(refused, NOW + 0.02)
    receive(controller, NOW + 0.01, NOW + 0.03, (J0,))
    assert controller._crashes.count('j.0', NOW + 0.04) == 1


def test_a_crash_between_two_starts_of_a_run_is_not_withdrawn(controller):
    """The first one may have crashed the worker before its answer."""
    controller.enforce_leases(NOW + 0.2)
    lists = {'running': (J0,), 'ended': ()}
    assert play_crash_before_start(controller, **lists) == ['worker_crashed']


def test_lists_without_rows_of_runs_do_not_count_as_empty():
    """A body that lacks a list shows no end."""
    client = worker.WorkerClient(
        '127.0.0.1:9', process.new_clock(), lambda e: None
    )
    effect = workerapi.RequestLists('w@1', 1, 0, 0.0, 0.0)
    data = json.dumps({'clock_ms': 5, 'born': 1}).encode()
    event = client._decode_lists(effect, 1.0, 200, data)
    assert isinstance(event, workerapi.ListsFailed)


def test_an_answer_that_the_worker_never_gives_does_not_refuse_a_start():
    """An HTTP 500 doesn't show that nothing was started."""
    client = worker.WorkerClient(
        '127.0.0.1:9', process.new_clock(), lambda e: None
    )
    result, _ = client._decode_start(500, worker._decode_answer(b''))
    assert result is workerapi.StartResult.UNKNOWN


class _Reducer:
    """Stands for the entry behind the HTTP endpoints."""

    def __init__(self):
        self.routes = test_resubmissions.routes.RouteTable(
            1, (test_resubmissions.ROUTE,)
        )
        self.stopping = False


@pytest.mark.parametrize('how', ['abort', 'close'])
@pytest.mark.parametrize('blocked', [False, True])
def test_a_caller_that_leaves_at_once_is_noticed(how, blocked):
    """Its request and the end of its connection are read together."""

    async def main():
        seen = []
        front = ingress.Front(_Reducer(), seen.append, process.new_clock())
        (port,) = platform_standins.find_free_ports(1)
        server = httpserver.HTTPServer(ingress.make_application(front))
        server.add_sockets(netutil.bind_sockets(port, '127.0.0.1'))

        socks = []
        for _ in range(10):
            socks.append(socket.create_connection(('127.0.0.1', port)))
        await asyncio.sleep(0.05)
        step = {'count': 1, 'cpu': 1000, 'mem_mb': 64, 'estimated_ms': 1000}
        job = {'best_effort': True, 'spec': 'x', 'steps': [step]}
        body = json.dumps(job).encode()
        for number, sock in enumerate(socks):
            head = (
                f'POST /dates/{number:016x} HTTP/1.1\r\nHost: clubs.example'
                f'\r\nContent-Length: {len(body)}\r\n\r\n'
            )
            sock.sendall(head.encode() + body)
            if not blocked:
                await asyncio.sleep(0.0)
            if how == 'abort':
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
                )
            sock.close()
        await asyncio.sleep(0.5)
        arrived = {e.call for e in seen if isinstance(e, events.JobArrived)}
        left = {e.call for e in seen if isinstance(e, events.CallerLeft)}
        server.stop()
        return len(arrived), arrived - left

    count, without = asyncio.run(main())
    assert (count, without) == (10, set())


def test_an_old_report_hides_that_a_later_run_of_its_task_is_lost():
    """The full report names run 1, which was refused; run 2 is with nobody."""
    desk = test_entry_faults.Desk()
    desk.submit(test_entry_faults.make_job('j', 1))
    (first,) = test_entry_faults.find_starts(desk.tick())
    refused = test_entry_faults.report(first, types.RunState.REFUSED)
    desk.receive(messages.RunReports((refused,)))
    capacity = repeatable_world.CAPACITY
    desk.receive(messages.Room(2, True, 'pool', (), capacity, capacity))
    starts = []
    for _ in range(20):
        starts += test_entry_faults.find_starts(desk.tick())
    assert [run.run for run in starts] == [2]
    desk.feed(core.PeerDown('a', 1, False))
    desk.feed(core.PeerUp(messages.Hello('a', 'agent', 1, 'z', '', '', 0)))
    desk.receive(messages.RunReports((refused,), whole=True))
    desk.receive(messages.Room(3, True, 'pool', (), capacity, capacity))
    again = []
    for _ in range(100):
        again += test_entry_faults.find_starts(desk.tick())
    assert [run.run for run in again] == [3]


def play_refused_dial(refused):
    """Let entry b record a's death, or not; return the World and a's keys."""
    world = test_entries_and_agents.World(1)
    _, second, third = world.entries
    for owner in world.entries:
        owner.reducer.configuration.latest = world.configs[-1]
    if refused:
        for owner in (second, third):
            owner.feed(core.PeerDown('a', 0, True))
    for _ in range(100):
        world.tick(0.1)
        world.drain()
    for node in world.agents:
        world.restart_agent(node)
    world.drain()
    keys = [agents.key(number, world.now) for number in range(200)]
    return world, keys


def find_owners(world, key):
    """Return the entries that count themselves as owner of a key."""
    return [
        node.name
        for node in world.entries
        if node.reducer._find_owner_name(key, world.now) == node.name
    ]


@pytest.mark.parametrize('refused', [False, True])
def test_a_refused_dial_of_a_connected_entry_is_no_proof_of_its_death(refused):
    """Entry a lives and is connected; only its port refused a second dial."""
    world, keys = play_refused_dial(refused)
    assert {len(find_owners(world, key)) for key in keys} == {1}


@pytest.mark.parametrize('refused', [False, True])
def test_a_task_starts_once_although_a_dial_was_refused(refused):
    """Each of the entries that own the key reaches another agent."""
    world, keys = play_refused_dial(refused)
    first, second, _ = world.entries
    survivors = [
        member for member in world.configs[-1].entries if member.name != 'a'
    ]
    key = next(
        key
        for key in keys
        if first.reducer._find_owner_name(key, world.now) == 'a'
        and ownership.find_owner(key, survivors).name == 'b'
    )
    world.disconnect(first, world.agents[0])
    world.disconnect(second, world.agents[1])
    spec = types.JobSpec(
        key, 'team', (types.TaskSpec('t0', 'k'),), world.now + 60.0
    )
    for owner in (first, second):
        owner.feed(calls.JobSubmitted(0, spec))
        world.drain()
    assert world.starts[key, 0] == 1


def test_a_repeated_start_extends_no_lease_past_another_entry_s_end(
    controller,
):
    """The agent stood still; the run to repeat comes before the one to end."""
    owner = runs.Owner('f', 1, lease_until=NOW + 0.1)
    controller.start(owner, base.OTHER_SPEC, b'', NOW + 0.001)
    other = workerapi.StartAnswered('w@1', messages.RunRef('k', 0, 1), STARTED)
    controller.handle_start_answer(other, NOW + 0.002)
    effects = controller.enforce_leases(NOW + 0.4)
    (start,) = base.filter_effects(effects, workerapi.StartRun)
    bound = NOW + 0.1 + leases.WORKER_LEASE_SECONDS
    assert start.lease_until <= bound


world = test_overlap_orders.world


@pytest.mark.parametrize('seconds', [0.0, 0.2, 0.3, 0.4])
def test_a_stop_that_a_slow_link_delays_and_no_worker_answers(world, seconds):
    """The link stalls once, for less than the entry's lease lasts."""
    healed_at = world.now + seconds

    def delay(node, message):
        if node.name != 'entry-0':
            return repeatable_world.DELAY_SECONDS
        stalled = healed_at - world.now
        return max(repeatable_world.DELAY_SECONDS, stalled)

    world.delay = delay
    world.lose_orders('agent-0', {'stop'}, 5.0)
    world.move_caller('j')
    world.run(4.0)
    assert not world.double_runs


@pytest.mark.parametrize('refused_seconds', [0.0, 0.1])
def test_no_job_fails_for_crashes_as_ports_close_for_a_moment(refused_seconds):
    """No worker crashes; each refuses connections for 0.1 s in every 6 s."""
    world = repeatable_world.World(
        agents=4, switches=policies.Policies(crash_guard=True)
    )
    world.run(2.0)
    world.get_run_seconds = lambda task: 3.0
    for number in range(40):
        deadline = world.now + 30.0
        world.submit(
            repeatable_world.make_job(f'j{number}', 1, deadline, expected=3.0)
        )
        if refused_seconds:
            agent = f'agent-{number % 4}'
            world.refuse_connections(agent, refused_seconds)
        world.run(1.5)
    world.run(30.0)
    reasons = {answer.reason for answer in world.answers.values()}
    assert reasons == {''}
