"""Snapshot tests of the messages in whole sessions, with their times.

After a change that is meant to alter a session, check the difference and
update the snapshots by ``pytest tests/test_sessions.py --snapshot-update``.
"""

import collections

import hypothesis
from hypothesis import strategies
import pytest

from agatepick.config import cluster
from agatepick import types
from tests import sessions


@pytest.fixture
def session():
    return sessions.Session()


def check_and_render(session):
    """Check that no task started twice and no "not run" is false.

    :returns: the session's lines.
    """
    starts = collections.Counter((job, i) for _, _, job, i in session.starts)
    assert all(count == 1 for count in starts.values()), 'started twice'
    ran = {job for job, _ in starts}
    for answer in session.answers:
        refused = answer.status == types.JobStatus.NOT_RUN
        assert not (refused and answer.key in ran), 'a false "not run"'
    return '\n'.join(session.lines) + '\n'


def test_a_plain_job(session, snapshot):
    session.submit('job', [0.1, 0.2, 0.3])
    session.run(2.0)
    assert check_and_render(session) == snapshot


def test_a_refused_job(session, snapshot):
    """No upstream runs the kind of task that a caller submits.

    The answer is "not run", and no task is sent to an agent.
    """
    session.submit('job', [0.1], kind='unheard-of')
    session.run(12.0)
    assert check_and_render(session) == snapshot
    assert session.starts == []


def test_a_zone_departure(session, snapshot):
    """Operators take a zone out while callers keep submitting jobs.

    No task starts there once the change is in force, until the zone is back.
    """
    session.propose(cluster.ZoneOut('b'))
    for number in range(8):
        session.submit(f'job-{number}', [0.2] * 6)
        session.run(1.0)
    session.propose(cluster.ZoneIn('b'), at='entry-2')
    session.run(4.0)
    session.submit('job-back', [0.2] * 6)
    session.run(2.0)
    assert check_and_render(session) == snapshot


def test_a_preset_switch(session, snapshot):
    """Two operators switch the preset at the same time.

    One change is accepted; the other is rejected and has no effect.
    """
    session.propose(cluster.PresetUse('peak'), based_on=2)
    session.propose(cluster.PresetUse('maintenance'), at='entry-2', based_on=2)
    session.run(1.0)
    session.submit('job', [0.1])
    session.run(5.0)
    assert check_and_render(session) == snapshot


def test_an_entry_lost(session, snapshot):
    """An entry is killed while it owns a running job.

    The caller submits the job to the other entry, which starts no task again
    and answers once the lost entry is removed.
    """
    session.submit('job', [0.3, 3.0], timeout=60.0)
    session.run(0.5)
    owner = session.owner_of('job')
    other = {'entry-1': 'entry-2', 'entry-2': 'entry-1'}[owner]
    session.kill(owner)
    session.run(1.0)
    session.submit_again('job', at=other)
    session.run(8.0)
    session.submit_again('job', at=other)
    session.run(5.0)
    assert check_and_render(session) == snapshot


def test_an_entry_lost_and_asked_for_too_late(session, snapshot):
    """The caller submits again only after its job's deadline has passed.

    Its tasks ran, so the answer must not be "not run".
    """
    session.submit('job', [0.3, 3.0], timeout=5.0)
    session.run(0.5)
    owner = session.owner_of('job')
    session.kill(owner)
    session.run(15.0)
    other = {'entry-1': 'entry-2', 'entry-2': 'entry-1'}[owner]
    session.submit_again('job', at=other)
    session.run(5.0)
    assert check_and_render(session) == snapshot
    assert session.answers[-1].status != types.JobStatus.NOT_RUN


ENTRIES = strategies.sampled_from(['entry-1', 'entry-2'])
PROCESSES = strategies.sampled_from(['entry-1', 'entry-2', 'a-1', 'b-1'])
STEPS = strategies.lists(
    strategies.tuples(strategies.just('submit'), ENTRIES)
    | strategies.tuples(strategies.just('again'), ENTRIES)
    | strategies.tuples(strategies.just('cut'), PROCESSES)
    | strategies.tuples(strategies.just('kill'), PROCESSES)
    | strategies.tuples(strategies.just('out'), ENTRIES)
    | strategies.tuples(strategies.just('in'), ENTRIES)
    | strategies.tuples(
        strategies.just('wait'), strategies.sampled_from([0.01, 0.3, 4.0])
    ),
    max_size=14,
)


class Player:
    """A runner of steps in a session, which kills at most one entry."""

    def __init__(self):
        self.session = sessions.Session()
        self.names = []
        self.killed = set()

    def play(self, kind, what):
        getattr(self, f'_{kind}')(what)
        self.session.run(0.05)

    def _submit(self, at):
        self.names.append(f'job-{len(self.names)}')
        self.session.submit(self.names[-1], [0.2, 0.4, 2.0], at=at)

    def _again(self, at):
        """Submit the newest job again, to the entry ``at``."""
        if self.names:
            self.session.submit_again(self.names[-1], at)

    def _cut(self, name):
        self.session.cut(name)

    def _kill(self, name):
        entries = [one for one in self.killed if one.startswith('entry')]
        if name in self.killed or (entries and name.startswith('entry')):
            return
        self.killed.add(name)
        self.session.kill(name)

    def _out(self, at):
        """Take zone b out by a request to the entry ``at``."""
        self.session.propose(cluster.ZoneOut('b'), at)

    def _in(self, at):
        """Return zone b to service by a request to the entry ``at``."""
        self.session.propose(cluster.ZoneIn('b'), at)

    def _wait(self, seconds):
        self.session.run(seconds)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=30)
@hypothesis.given(STEPS)
def test_invariants_hold_for_any_faults_in_any_order(steps):
    """Processes die, connections break, zones go out and callers submit again.

    No task starts twice or in a zone that is out, no "not run" is false, and
    every job that is submitted again in the end gets a final answer.  Its
    answers agree, unless an entry and an agent both died: outcomes that only
    they had recorded are unknown then, and the job fails.
    """
    player = Player()
    for kind, what in steps:
        player.play(kind, what)
    session = player.session
    session.run(30.0)
    alive = sorted({'entry-1', 'entry-2'} - player.killed)
    for name in player.names:
        for at in alive:
            session.submit_again(name, at)
    session.run(30.0)
    check_and_render(session)
    assert late_starts(session) == []
    final = collections.defaultdict(set)
    for answer in session.answers:
        if answer.status != types.JobStatus.PENDING:
            final[answer.key].add(answer)
    assert len(final) == len(player.names)
    lost = {one.startswith('entry') for one in player.killed}
    both_died = lost == {True, False}
    for answers in final.values():
        if both_died:
            answers = {one for one in answers if not is_unknown(one)} or {None}
        assert len(answers) == 1


def is_unknown(answer):
    """Return whether a failed job's answer has a task of unknown outcome."""
    return answer.status == types.JobStatus.FAILED and any(
        task.outcome == types.Outcome.UNKNOWN for task in answer.tasks
    )


def late_starts(session):
    """Return the starts in zone b while accepted changes had it out."""
    changes = sorted(
        (verdict.version, verdict.in_force_at, what.startswith('ZoneOut'))
        for what, verdict in session.verdicts
        if verdict.verdict == 'accepted'
    )
    late = []
    for at, zone, job, index in session.starts:
        state = [out for _, since, out in changes if since <= at]
        if zone == 'b' and state and state[-1]:
            late.append((at, job, index))
    return late
