"""Tasks that crash the workers that start them, with all reducers."""

import collections

import pytest

from agatepick.repeatable import jobs
from agatepick.repeatable import policies
from agatepick.repeatable import suspects
from agatepick.repeatable import workerapi
from tests import repeatable_world

GUARD = policies.Policies(crash_guard=True)
CRASH_SECONDS = 0.1
"""Time from a culprit's start until its worker crashes."""


class Worker(repeatable_world.Worker):
    """A worker that crashes some time after a culprit was started."""

    def start(self, name, run, until):
        result = super().start(name, run, until)
        if result == 'started' and name in self.world.culprits:
            self.world.schedule(CRASH_SECONDS, self._crash, self.born, name)
        return result

    def _crash(self, born, name):
        if self.born == born and self.up and name in self.runs:
            self.world.crash(self, name)


class World(repeatable_world.World):
    """A world with culprits: tasks that crash their workers.

    :param down_seconds: time until a crashed worker starts again.
    :param refuses: whether connections to it are refused meanwhile; otherwise
        requests get no answer.
    :ivar crashes: names of the culprits, one for each crash.
    :ivar late_starts: by culprit, starts after the third crash under it.
    """

    def __init__(
        self,
        culprits=(),
        down_seconds=0.0,
        refuses=False,
        switches=GUARD,
        **sizes,
    ):
        self.culprits = culprits
        self.down_seconds = down_seconds
        self.refuses = refuses
        self.crashes = []
        self.late_starts = collections.Counter()
        sizes = {'agents': 8, **sizes}
        super().__init__(switches=switches, **sizes)
        self.run(2.0)

    def _make_worker(self, index):
        return Worker(self, f'w-{index}')

    def record_start(self, worker, name):
        super().record_start(worker, name)
        if self.crashes.count(name) >= 3:
            self.late_starts[name] += 1

    def keeps_budget(self):
        """Return whether no task was started thrice after three crashes."""
        return all(count < 3 for count in self.late_starts.values())

    def crash(self, worker, name=''):
        """Crash a worker, which starts again after some seconds."""
        self.crashes.append(name)
        worker.exit()
        self.schedule(self.down_seconds, worker.restart)

    def _handle_list_request(self, node, effect):
        if self.refuses and not self.workers[node.name].up:
            self._fail_list_request(node, effect)
        else:
            super()._handle_list_request(node, effect)

    def _answer_list_request(self, node, incarnation, effect, requested_at):
        # A process that has ended answers nothing.
        if self.workers[node.name].up:
            super()._answer_list_request(
                node, incarnation, effect, requested_at
            )
        else:
            self._fail_list_request(node, effect)

    def _fail_list_request(self, node, effect):
        event = workerapi.ListsFailed(effect.incarnation, refused=self.refuses)
        self._answer(node, node.incarnation, event)

    def submit_all(self, count, tasks=3):
        for index in range(count):
            self.submit(repeatable_world.make_job(f'j{index}', tasks))

    def get_failed(self):
        return sorted(
            key
            for key, answer in self.answers.items()
            if answer.verdict is jobs.Verdict.FAILED
        )


DOWN = pytest.mark.parametrize(
    ('down_seconds', 'refuses'),
    [(0.0, False), (3.0, False), (3.0, True)],
    ids=['reborn_at_once', 'silent', 'refused'],
)


@DOWN
def test_a_task_that_crashes_its_workers_is_given_up(down_seconds, refuses):
    """A task crashes each worker: its caller gets ``failed``, and only it."""
    world = World({'j3.1'}, down_seconds, refuses)
    world.submit_all(12)
    world.run(30.0)
    assert world.get_failed() == ['j3']
    assert world.answers['j3'].reason == 'crashes_workers'
    assert len(world.answers) == 12
    # A silent worker's crash shows only once it is back.
    unproven = down_seconds and not refuses
    assert len(world.crashes) <= (4 if unproven else 3)
    assert world.keeps_budget()
    assert not world.double_runs
    assert not world.false_refusals


def test_two_culprits_at_once_fail_only_their_own_jobs():
    """Two tasks crash their workers at once: the other jobs complete."""
    world = World({'j3.1', 'j7.0'})
    world.submit_all(12)
    world.run(30.0)
    assert world.get_failed() == ['j3', 'j7']
    assert len(world.answers) == 12
    assert len(world.crashes) <= 6
    assert world.keeps_budget()
    assert not world.double_runs


@DOWN
def test_crashes_of_many_workers_fail_no_job(down_seconds, refuses):
    """Half of the workers crash at once, and again: all jobs complete."""
    world = World((), down_seconds, refuses)
    for _ in range(3):
        world.submit_all(12)
        world.run(0.2)
        for name in list(world.workers)[:4]:
            if world.workers[name].up:
                world.crash(world.workers[name])
        world.run(1.0)
    world.run(15.0)
    assert world.get_failed() == []
    assert len(world.answers) == 12


def test_an_unstable_worker_fails_no_job():
    """A worker crashes every 1.4 s: all jobs complete elsewhere."""
    world = World()
    for at in range(8):
        worker = world.workers['agent-0']
        world.schedule(0.1 + 1.4 * at, world.crash, worker)
        world.schedule(1.4 * at, world.submit_all, 12)
    world.run(30.0)
    assert len(world.crashes) == 8
    assert world.get_failed() == []
    assert len(world.answers) == 12


@pytest.mark.parametrize(
    'disturb',
    [
        lambda world: world.depart('agent-0', 0.2),
        lambda world: world.kill('agent-0'),
        lambda world: world.freeze('agent-0', 3.0),
        lambda world: world.cut('agent-0', 'entry-0', 3.0),
    ],
    ids=['departure', 'agent_restart', 'freeze', 'cut'],
)
def test_other_losses_make_no_suspects(disturb):
    """A worker leaves, or its agent is lost: no task is held back for it."""
    world = World()
    world.submit_all(12)
    world.run(0.05)
    disturb(world)
    world.run(10.0)
    assert len(world.answers) == 12
    assert world.get_failed() == []
    assert _count_suspects(world) == 0


def test_a_port_that_is_closed_for_a_while_makes_no_suspects():
    """A worker refuses connections and goes on with its runs."""
    world = World()
    world.submit_all(12)
    world.run(0.05)
    world.refuse_connections('agent-0', 1.0)
    world.run(10.0)
    assert len(world.answers) == 12
    assert _count_suspects(world) == 0


def _count_suspects(world):
    return sum(
        node.reducer.gauges(world.now)['tasks_suspected']
        for node in world.entries()
    )


@pytest.mark.parametrize('after_crashes', [1, 2])
def test_a_culprit_is_given_up_although_its_entry_dies(after_crashes):
    """An entry dies: the next one must not start three times more."""
    world = World({'j0.0'}, entries=3)
    world.submit(repeatable_world.make_job('j0'), 'entry-0')
    while len(world.crashes) < after_crashes:
        world.run(0.1)
    world.kill('entry-0')
    world.run(30.0)
    assert world.get_failed() == ['j0']
    assert world.keeps_budget()
    assert not world.double_runs


def test_a_culprit_s_job_is_not_tried_again_after_its_deadline(monkeypatch):
    """A job isn't done in time: its caller would submit it elsewhere."""
    monkeypatch.setattr(suspects, 'STRONG_CRASHES', 9)
    monkeypatch.setattr(suspects, 'MAX_BOUNDED_STARTS', 9)
    world = World({'j0.0'})
    spec = repeatable_world.make_job('j0', deadline=world.now + 4.0)
    world.submit(spec)
    world.run(10.0)
    assert len(world.crashes) >= suspects.BOUNDED_CRASHES
    assert world.get_failed() == ['j0']


def test_an_agent_warns_the_next_entry():
    """An entry dies: its task starts nowhere unwarned."""
    world = World({'j0.0'}, entries=2, agents=1)
    world.submit(repeatable_world.make_job('j0', tasks=1), 'entry-0')
    while not world.crashes:
        world.run(0.1)
    world.run(0.05)
    world.kill('entry-0', back_after=60.0)
    world.run(30.0)
    assert world.get_failed() == ['j0']
    assert world.keeps_budget()


@DOWN
@pytest.mark.parametrize('seed', range(8))
def test_random_losses_and_culprits_keep_the_budget(
    seed, down_seconds, refuses
):
    """Culprits among jobs, while requests get lost: the rest completes."""
    culprits = {'j3.1', 'j7.0', 'j20.2'}
    world = World(culprits, down_seconds, refuses, seed=seed)
    world.loss_rate = 0.05
    world.submit_all(24)
    world.run(40.0)
    assert set(world.get_failed()) <= {'j3', 'j7', 'j20'}
    assert world.keeps_budget()
    assert not world.double_runs
    assert not world.false_refusals


def test_without_the_switch_tasks_are_started_again_as_before():
    world = World({'j0.0'}, switches=policies.Policies())
    world.submit(repeatable_world.make_job('j0'))
    world.run(20.0)
    assert world.get_failed() == []
    assert not world.keeps_budget()
    assert _count_suspects(world) == 0
