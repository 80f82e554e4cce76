"""Entries and agents of repeatable jobs together, with faults."""

import random

import pytest

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import events
from agatepick.repeatable import jobs
from agatepick.repeatable import leases
from agatepick.repeatable import serving
from tests import repeatable_world

COMPLETE = jobs.Verdict.COMPLETE


def make_world(seed=0, **parts):
    """Return a world in which agents and entries are connected."""
    world = repeatable_world.World(seed=seed, **parts)
    world.run(2.0)
    return world


def test_a_job_is_answered_when_its_last_task_has_ended():
    world = make_world()
    world.submit(repeatable_world.make_job('j', tasks=5))
    world.run(1.5)
    assert world.answers['j'].verdict is COMPLETE
    assert not world.double_runs


def test_the_longest_chain_of_leases_ends_before_callers_retry():
    """An entry dies just after it renewed its agent's lease, then the agent.

    A caller submits its job again 1.3 s later; if the old runs still continued
    then, its quote would be filed twice.
    """
    assert leases.EXPIRY_SECONDS < repeatable_world.RESEND_SECONDS


def test_a_killed_entry_s_job_is_done_once_at_another():
    """An entry is killed during a job, and its caller uses another entry.

    The caller gets a broken connection and waits 1.3 s.
    """
    world = make_world()
    world.submit(repeatable_world.make_job('j', 6, expected=0.4), to='entry-0')
    world.run(0.03)
    world.kill('entry-0', back_after=5.0)
    world.run(4.0)
    assert world.answers['j'].verdict is COMPLETE
    assert not world.double_runs


def test_entry_and_agent_dying_together_never_leave_two_runs():
    """Both holders of a lease die at once, and only the worker is left.

    The worker's own lease has to expire before the caller retries.
    """
    world = make_world(agents=2)
    for worker in world.workers.values():
        worker.slowness = 20.0
    world.submit(repeatable_world.make_job('j', 4, expected=3.0), to='entry-0')
    world.run(0.5)
    for name in ('entry-0', 'agent-0', 'agent-1'):
        world.kill(name, back_after=0.3)
    world.run(3.0)
    assert not world.double_runs


def test_a_frozen_agent_s_tasks_run_again_elsewhere():
    """An agent is suspended for three seconds with runs at its worker.

    Its worker's lease expires, and the entry starts the tasks elsewhere; when
    the agent continues, the starts that arrived meanwhile must not be carried
    out.
    """
    world = make_world()
    spec = repeatable_world.make_job('j', 9, expected=0.4)
    world.submit(spec, to='entry-0')
    world.run(0.01)
    world.freeze('agent-0', 3.0)
    world.run(2.5)
    assert world.answers['j'].verdict is COMPLETE
    world.run(3.0)
    assert not world.double_runs


@pytest.mark.parametrize('seconds', [0.4, 0.8, 1.4, 3.0])
def test_a_start_decided_before_a_freeze_is_not_sent_after_it(seconds):
    """An agent is suspended between its decision and the sending of starts.

    Its entry counts the runs as over and starts the tasks elsewhere.  If the
    leases of the decided starts began on waking, each task would run twice.
    """
    world = make_world(agents=2)
    for worker in world.workers.values():
        worker.slowness = 20.0
    world.freeze_before_sending('agent-0', seconds)
    world.submit(repeatable_world.make_job('j', 9, expected=3.0), to='entry-0')
    world.run(6.0)
    assert world.nodes['agent-0'].pause_seconds == 0.0
    assert not world.double_runs


@pytest.mark.parametrize('exit_after', [0.0, 0.01, 2.0])
def test_a_leaving_worker_s_runs_are_over_before_their_tasks_run_again(
    exit_after,
):
    """A worker says that it exits, and the answer to it may get lost.

    It exits only seconds later then; a task that had been started elsewhere at
    its message would run twice until its lease is over.
    """
    world = make_world(agents=2)
    for worker in world.workers.values():
        worker.slowness = 40.0
    world.submit(repeatable_world.make_job('j', 4, expected=2.0))
    world.run(0.3)
    assert world.workers['agent-0'].runs
    world.depart('agent-0', exit_after, back_after=60.0)
    world.run(1.0)
    assert len(world.workers['agent-1'].runs) == 4
    world.run(20.0)
    assert world.answers['j'].verdict is COMPLETE
    assert not world.double_runs


def test_a_leaving_worker_s_tasks_are_stopped_at_once():
    """A worker that leaves still answers.

    Its runs are stopped and listed as ended, so their tasks needn't wait
    until its lease is over.
    """
    world = make_world(agents=2)
    for worker in world.workers.values():
        worker.slowness = 40.0
    world.submit(repeatable_world.make_job('j', 4, expected=2.0))
    world.run(0.3)
    world.depart('agent-0', 2.0, back_after=60.0)
    world.run(0.1)
    assert len(world.workers['agent-1'].runs) == 4


def test_a_frozen_entry_causes_no_second_run():
    """An entry is suspended for two seconds while a job's runs continue.

    The agents stop the runs as their lease is not renewed; the caller, whose
    connection is open, gets its answer once the entry continues.
    """
    world = make_world()
    world.submit(repeatable_world.make_job('j', 6, expected=0.4), to='entry-0')
    world.run(0.02)
    world.freeze('entry-0', 2.0)
    world.run(5.0)
    assert world.answers['j'].verdict is COMPLETE
    assert not world.double_runs


def test_a_cut_between_entry_and_agent_causes_no_second_run():
    """All messages between an entry and one agent are lost without error."""
    world = make_world(entries=1, agents=2)
    world.submit(repeatable_world.make_job('j', 6, expected=0.4))
    world.run(0.02)
    world.cut('entry-0', 'agent-0', 4.0)
    world.run(4.0)
    assert world.answers['j'].verdict is COMPLETE
    assert not world.double_runs


def test_jobs_of_one_loop_iteration_are_placed_by_one_message_per_agent():
    """Many jobs arrive at once, as after a pause of a balancer or a loop.

    With a placement round for each, an entry with half a core would do nothing
    else while its callers and its leases wait.
    """
    world = make_world(entries=1, agents=2)
    node = world.nodes['entry-0']
    sent = []
    for number in range(10):
        spec = repeatable_world.make_job(f'j{number}', 1)
        call = next(world.calls)
        world.waiting[call] = (node.name, spec)
        event = events.JobArrived(call, spec)
        effects = node.reducer.reduce(event, world.now)
        sent += [effect for effect in effects if isinstance(effect, core.Send)]
        assert core.WakeAt(world.now) in effects
    assert sent == []
    effects = node.reducer.reduce(core.Tick(), world.now)
    starts = [
        effect.message
        for effect in effects
        if isinstance(effect, core.Send)
        and isinstance(effect.message, messages.StartRuns)
    ]
    assert sum(len(start.runs) for start in starts) == 10
    assert len(starts) == 2


def test_a_start_without_an_answer_costs_less_than_a_short_job_s_slack():
    """A worker doesn't answer requests and carries them out late.

    A task whose start was lost is started at the same worker once more; if it
    were placed elsewhere only after a timeout, it would be late.
    """
    world = make_world()
    world.loss_rate = 1.0
    spec = repeatable_world.make_job('j', 2, expected=0.1)
    longest = max(world.get_run_seconds(task.name) for task in spec.tasks)
    world.submit(spec)
    world.run(0.01)
    world.loss_rate = 0.0
    world.run(longest + 0.09)
    assert world.answers['j'].verdict is COMPLETE
    world.run(15.0)
    assert not world.double_runs


def test_an_entry_that_is_away_is_replaced_and_restored():
    """One of an agent's entries is gone for long, so another replaces it.

    Otherwise its workers would serve fewer callers than they could; once the
    entry is back, the substitute's runs end before it is disconnected.
    """
    world = make_world(entries=7, agents=3, listed=True)

    def served(agent):
        return {
            name
            for pair in world.connected
            if agent in pair
            for name in pair
            if name != agent
        }

    before = served('agent-0')
    assert len(before) == serving.SERVED_ENTRY_COUNT
    lost = min(before)
    world.kill(lost, back_after=8.0)
    world.run(4.0)
    (substitute,) = served('agent-0') - before
    world.submit(
        repeatable_world.make_job('j', 4, expected=0.3), to=substitute
    )
    world.run(5.5)
    assert world.answers['j'].verdict is COMPLETE
    world.run(3.0)
    assert served('agent-0') == before
    assert not world.double_runs


def test_an_agent_without_operator_rows_starts_nothing():
    """An agent restarts while the store is unavailable and its zone closed.

    The agent can't read that the zone is closed; if it started tasks, work
    would continue in a zone that operators closed long ago.
    """
    world = make_world(entries=1, agents=1)
    world.store_unavailable = True
    world.kill('agent-0', back_after=0.3)
    world.run(3.0)
    world.submit(repeatable_world.make_job('j', 1, expected=0.2))
    world.run(0.1)
    assert not world.workers['agent-0'].runs
    assert not world.started_jobs
    world.feed('agent-0', events.PoolsNamed(frozenset({'pool'})))
    world.feed('agent-0', events.ZonesClosed(frozenset({'other'})))
    world.run(0.5)
    world.submit(repeatable_world.make_job('k', 1, expected=0.2))
    world.run(1.0)
    assert world.answers['k'].verdict is COMPLETE


def test_a_caller_that_leaves_releases_its_capacity():
    """A caller gives up; if its tasks continued, other callers would wait."""
    world = make_world(entries=1, agents=1)
    world.workers['agent-0'].slowness = 10.0
    world.submit(repeatable_world.make_job('j', 8, expected=3.0))
    world.run(0.1)
    assert world.workers['agent-0'].runs
    world.close_caller('j')
    world.run(0.2)
    assert not world.workers['agent-0'].runs


def test_a_lost_start_is_not_carried_out_late_beside_its_retry():
    """A worker doesn't answer a start and carries it out seconds later.

    The task has run elsewhere by then, or is still running.
    """
    world = make_world(agents=2)
    world.loss_rate = 0.4
    for number in range(20):
        world.submit(repeatable_world.make_job(f'j{number}', 3, expected=0.3))
        world.run(0.3)
    world.loss_rate = 0.0
    world.run(15.0)
    assert not world.double_runs


def test_a_worker_that_fails_all_gets_little_work():
    """A worker fails its runs, and is always free for that reason.

    Its tasks run again elsewhere, up to the job's attempts; without a record
    of its failures, most jobs of all callers would fail with it.
    """
    world = make_world()
    world.workers['agent-0'].fails = True
    for number in range(60):
        world.submit(repeatable_world.make_job(f'j{number}', 2, expected=0.2))
        world.run(0.1)
    world.run(3.0)
    verdicts = [answer.verdict for answer in world.answers.values()]
    assert verdicts.count(jobs.Verdict.FAILED) <= 2
    assert verdicts.count(COMPLETE) >= 55


def test_overload_is_refused_at_once_and_correctly():
    """Four times more work arrives than one worker can do.

    A job that can't end in time is refused with a time to retry, and most
    admitted jobs are answered in time.
    """
    world = make_world(entries=1, agents=1)
    for number in range(100):
        world.submit(repeatable_world.make_job(f'j{number}', 8, expected=0.25))
        world.run(0.05)
    world.run(5.0)
    refused = [
        answer
        for answer in world.answers.values()
        if answer.verdict is jobs.Verdict.NOT_RUN
    ]
    assert len(refused) >= 50
    assert all(answer.retry_after >= 1.0 for answer in refused)
    assert not world.false_refusals
    served = len(world.answers) - len(refused)
    assert served >= 15


def test_a_stopping_entry_answers_all_accepted_jobs():
    """An entry is asked to stop while callers still use its connections."""
    world = make_world()
    world.submit(repeatable_world.make_job('a', 3), to='entry-0')
    world.feed('entry-0', core.StopRequested())
    world.submit(repeatable_world.make_job('b', 3), to='entry-0')
    world.run(4.0)
    assert world.answers['a'].verdict is COMPLETE
    assert world.answers['b'].verdict is COMPLETE


def test_a_job_submitted_again_joins_the_first_request():
    """A caller submits its job again while the first request still waits.

    Both requests get the one answer, and no task runs twice for it.
    """
    world = make_world()
    spec = repeatable_world.make_job('j', 4, expected=0.4)
    world.submit(spec, to='entry-0')
    world.run(0.05)
    world.submit(spec, to='entry-0')
    world.run(2.0)
    assert not world.waiting
    assert world.answers['j'].verdict is COMPLETE
    ended = [len(worker.ended) for worker in world.workers.values()]
    assert sum(ended) == 4


def test_a_job_that_comes_after_the_last_answer_is_refused():
    """A caller uses its open connection at the moment a process exits.

    The job would be cut off with the process; its answer is "not run" instead.
    """
    world = make_world()
    world.feed('entry-0', core.StopRequested())
    world.run(4.0)
    world.submit(repeatable_world.make_job('j', 1), to='entry-0')
    world.run(0.01)
    assert world.answers['j'].verdict is jobs.Verdict.NOT_RUN


FAULTS = ('kill', 'freeze', 'cut', 'orders', 'crash', 'slow', 'leave')


def inject_fault(world, rng, number):
    """Inject a random fault."""
    names = list(world.nodes)
    kind = rng.choice(FAULTS)
    if kind == 'kill':
        world.kill(rng.choice(names), back_after=rng.uniform(0.2, 2.0))
    elif kind == 'freeze':
        world.freeze(rng.choice(names), rng.uniform(0.1, 3.0))
    elif kind == 'cut':
        entry = rng.choice(world.entries()).name
        agent = rng.choice(world.agents()).name
        world.cut(entry, agent, rng.uniform(0.2, 3.0))
    elif kind == 'orders':
        world.loss_rate = rng.choice((0.0, 0.05, 0.3))
    elif kind == 'crash':
        rng.choice(list(world.workers.values())).restart()
    elif kind == 'slow':
        worker = rng.choice(list(world.workers.values()))
        worker.slowness = rng.choice((1.0, 6.0, 1000.0))
    else:
        world.close_caller(f'j{rng.randrange(max(1, number))}')


# Seed 12: an agent restarted, and the end of a run of its earlier incarnation
# was taken for the end of the task's next run there, so that it ran twice.
@pytest.mark.parametrize('seed', range(40))
def test_random_faults_never_cause_two_runs_of_a_task(seed):
    """Kills, freezes, cuts, lost requests and crashes follow one another.

    In any sequence, no task has two runs at a time, and no job that was
    refused as not run has been started.
    """
    _simulate_history(make_world(seed=seed), seed)


@pytest.mark.parametrize('seed', range(20))
def test_random_faults_never_cause_two_runs_with_few_served_entries(seed):
    """Faults occur while agents change the entries that they serve.

    An entry that is away is replaced and comes back; it and its substitute
    must never run the same task, and no task may be lost.
    """
    _simulate_history(
        make_world(seed=seed, entries=7, agents=5, listed=True), seed
    )


@pytest.mark.parametrize('seed', range(20))
def test_random_departures_and_late_orders_never_cause_two_runs(seed):
    """Workers leave, and agents freeze between a decision and its orders.

    The workers exit at once or seconds later; other faults come beside.  In
    any sequence, no task has two runs at a time.
    """
    _simulate_history(make_world(seed=seed), seed, inject_worker_fault)


def inject_worker_fault(world, rng, number):
    """Inject a departure, a freeze before starts, or another fault."""
    kind = rng.choice(('depart', 'pause', 'other'))
    agent = rng.choice(world.agents()).name
    if kind == 'depart':
        exit_after = rng.choice((0.0, 0.01, 0.5, 2.0))
        world.depart(agent, exit_after, rng.uniform(0.1, 2.0))
    elif kind == 'pause':
        world.freeze_before_sending(agent, rng.uniform(0.1, 3.0))
    else:
        inject_fault(world, rng, number)


def _simulate_history(world, seed, inject=inject_fault):
    rng = random.Random(seed)
    for number in range(80):
        if rng.random() < 0.35:
            inject(world, rng, number)
        expected = rng.choice((0.1, 0.3, 1.0))
        world.submit(
            repeatable_world.make_job(
                f'j{number}', rng.randint(1, 8), world.now + 4.0, expected
            )
        )
        world.run(rng.uniform(0.01, 0.3))
    world.run(10.0)
    assert not world.double_runs
    assert not world.false_refusals
