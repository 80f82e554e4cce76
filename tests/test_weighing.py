"""What an entry knows of a slow run, and of the moves it made."""

import random

import pytest

from agatepick.net import messages
from agatepick.repeatable import estimating
from agatepick.repeatable import jobs
from agatepick.repeatable import moves
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool
from agatepick.repeatable import routes
from agatepick.repeatable import stragglers
from agatepick.repeatable import weighing
from agatepick import types

NOW = 50.0
EXPECTED_SECONDS = 0.4
NEEDS = types.Needs(2.0, 64, 0)
CAPACITY = types.Needs(64.0, 4096, 0)


class Entry:
    """Workers ``a`` to ``c``, jobs at ``a``, and the choices on them."""

    def __init__(self):
        self.workers = pool.Pool(random.Random(1))
        for name in 'abc':
            worker = pool.Worker(name, 1, 'z', '', renewed_at=NOW + 60.0)
            worker.update_room(
                messages.Room(1, True, 'p', (), CAPACITY, CAPACITY)
            )
            self.workers.add(worker)
        self.jobs = owned_jobs.Jobs()
        estimator = estimating.Estimator()
        self.weigher = weighing.Weigher(self.workers, self.jobs, estimator)
        self.finder = stragglers.Stragglers(
            self.workers, estimator, self.weigher
        )

    def start(self, key, at=NOW, agent='a', tasks=1):
        """Start all tasks of a job at a worker."""
        spec = jobs.Job(
            key=key,
            route=routes.Route('q', 'host', '/q/', 'p'),
            payload=b'',
            tasks=tuple(
                jobs.Task(f'{key}.{index}', 0, NEEDS, EXPECTED_SECONDS)
                for index in range(tasks)
            ),
            after=(frozenset(),),
            deadline=at + 60.0,
        )
        job = owned_jobs.OwnedJob(1, spec, at, at + 1.0, EXPECTED_SECONDS)
        job.queue_ready_tasks()
        job.waiting.clear()
        self.jobs.add(job)
        for index in range(tasks):
            self.place(job, index, at, agent)
        return job

    def place(self, job, index, at, agent):
        record = job.records[index]
        record.state = owned_jobs.TaskState.PLACED
        record.agent = agent
        record.run += 1
        record.placed_at = at
        record.stopping = False
        job.mark_started(at)
        self.workers.get(agent).reserve(
            (job.spec.key, index), record.run, NEEDS
        )

    def finish(self, job, index, at):
        record = job.records[index]
        worker = self.workers.get(record.agent)
        del worker.placed[job.spec.key, index]
        worker.in_transit.clear()
        worker.update_room(worker.room)
        seconds = at - record.placed_at
        self.weigher.record_finished(worker, job, index, seconds, at)
        job.mark_finished(index, seconds)

    def learn(self, tail=True):
        """Record runs of earlier jobs, three in a hundred of them long."""
        for number in range(300):
            long = tail and number % 33 == 0
            at = NOW - 30.0 + number / 20.0
            seconds = EXPECTED_SECONDS * (7.0 if long else 1.0)
            job = self.start(f'early-{number}', at - seconds, 'b')
            self.finish(job, 0, at)
            job.answered = True
            self.jobs.remove_if_ended(job)

    def check(self, job, at):
        return self.finder.mark_stragglers(job, at)


@pytest.fixture
def entry():
    return Entry()


def find_move(entry, job, until):
    """Return when a run of a job is moved; ``None`` if none is by then."""
    at = NOW
    while at < until:
        if any(straggler.moves for straggler in entry.check(job, at)):
            return at - NOW
        at += 0.05
    return None


def test_a_long_task_is_left_and_noted_once(entry):
    """A task takes five times its time, as some of its queue do.

    It is weighed every quarter of a second, and one line of the log tells.
    """
    entry.learn()
    job = entry.start('j')
    notes = []
    at = NOW
    while at < NOW + 2.4:
        notes += entry.check(job, at)
        at += 0.05
    assert [note.moves for note in notes] == [False]
    fields = dict(notes[0].note.fields)
    assert notes[0].note.name == 'move_declined'
    assert fields['reason'] == 'own_tail'
    assert float(fields['fault']) < 0.5


def test_without_long_tasks_the_run_is_moved_soon_after_it_is_due(entry):
    """A worker hangs with a single run, in a queue without a tail.

    Its caller would otherwise pay for those with one.
    """
    entry.learn(tail=False)
    due = stragglers.STRAGGLER_RATIO * stragglers.NO_SIBLING_FACTOR
    due = due * EXPECTED_SECONDS + stragglers.STRAGGLER_SPARE_SECONDS
    moved = find_move(entry, entry.start('j'), NOW + 5.0)
    assert due <= moved <= due + stragglers.MAX_CHECK_INTERVAL_SECONDS


def test_runs_that_hang_together_are_moved_beside_long_tasks(entry):
    """A worker hangs with runs of several jobs, in a queue with a tail."""
    entry.learn()
    jobs_there = [entry.start(f'j-{number}') for number in range(5)]
    due = stragglers.STRAGGLER_RATIO * stragglers.NO_SIBLING_FACTOR
    due = due * EXPECTED_SECONDS + stragglers.STRAGGLER_SPARE_SECONDS
    for job in jobs_there:
        assert find_move(entry, job, NOW + 5.0) <= due + 0.15


def test_unfinished_siblings_prove_nothing(entry):
    """A caller's estimate is five times too short for all tasks of its job.

    They are overdue together wherever they run.
    """
    entry.learn()
    job = entry.start('j', tasks=4)
    assert find_move(entry, job, NOW + 2.4) is None


def test_a_worker_whose_other_runs_end_in_time_is_not_left(entry):
    """One run stands out at a worker that serves others as usual."""
    entry.learn(tail=False)
    job = entry.start('j')
    for number in range(8):
        at = NOW + 0.6 + number / 10.0
        other = entry.start(f'other-{number}', at)
        entry.finish(other, 0, at + EXPECTED_SECONDS)
    assert find_move(entry, job, NOW + 2.4) is None


def move(entry, job, at):
    """Move a job's only run from worker ``a`` to ``b``."""
    choice = moves.weigh(moves.SlowRun(1.0, 0.1, 2.0, FakeRatios()))
    entry.weigher.record_move(job, 0, choice, at)
    job.records[0].move_count += 1
    del entry.workers.get('a').placed[job.spec.key, 0]
    entry.place(job, 0, at, 'b')


class FakeRatios:
    """Distribution of runs that never take over twice their time."""

    def survival(self, ratio):
        return 1.0 if ratio < 2.0 else 1e-6

    def mean_above(self, ratio):
        return max(ratio, 1.0)


def test_a_move_gained_if_the_new_run_took_less_time(entry):
    """The outcome of a move decides how freely the next ones are made."""
    budget = entry.weigher._budget
    quick, slow = entry.start('quick'), entry.start('slow')
    slow_again = entry.start('slow-again')
    move(entry, quick, NOW + 2.0)
    entry.finish(quick, 0, NOW + 3.9)
    assert budget.trust == 1.0
    assert budget.core_seconds == moves.BUDGET_CORE_SECONDS
    move(entry, slow, NOW + 2.0)
    move(entry, slow_again, NOW + 2.0)
    entry.finish(slow, 0, NOW + 4.1)
    entry.finish(slow_again, 0, NOW + 4.1)
    assert budget.trust < 1.0
    assert budget.core_seconds < moves.BUDGET_CORE_SECONDS - 3.0


def test_a_run_that_ends_before_its_stop_counts_for_nothing(entry):
    """The stop of a moved run arrives after its end."""
    job = entry.start('j')
    choice = moves.weigh(moves.SlowRun(1.0, 0.1, 2.0, FakeRatios()))
    entry.weigher.record_move(job, 0, choice, NOW + 2.0)
    entry.finish(job, 0, NOW + 2.01)
    assert entry.weigher._budget.trust == 1.0
    assert entry.weigher._budget.core_seconds == moves.BUDGET_CORE_SECONDS


def test_a_second_long_run_of_a_task_is_left(entry):
    """A task reached its limit at two workers, neither shown to be slow."""
    entry.learn(tail=False)
    job = entry.start('j')
    assert find_move(entry, job, NOW + 3.0)
    at = NOW + 2.0
    del entry.workers.get('a').placed['j', 0]
    entry.place(job, 0, at, 'b')
    found = []
    while at < NOW + 8.0:
        found += entry.check(job, at)
        at += 0.05
    reasons = [dict(each.note.fields)['reason'] for each in found]
    assert reasons == ['second']


def test_hundreds_of_slow_runs_leave_processor_time(entry, monkeypatch):
    """An entry stood still for half a second at each check of its jobs."""
    weighed = []

    def weigh(run, trust):
        weighed.append(run)
        return weigh_one(run, trust)

    weigh_one = moves.weigh
    monkeypatch.setattr(moves, 'weigh', weigh)
    open_jobs = [entry.start(f'j-{number}') for number in range(100)]
    noted = set()
    for turn in range(40):
        before = len(weighed)
        for job in open_jobs:
            at = NOW + 5.0 + 0.05 * turn
            noted |= {(job.spec.key, run.note) for run in entry.check(job, at)}
        assert len(weighed) - before <= stragglers.MAX_WEIGHED
    assert max(len(run.others) for run in weighed) <= weighing.MAX_OTHERS
    assert len({key for key, _ in noted}) == len(open_jobs)
