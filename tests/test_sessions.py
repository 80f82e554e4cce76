"""Golden files of whole sessions: what goes where, and when.

After a change that is meant to alter a session, look at the difference and
write the files anew by ``pytest tests/test_sessions.py --snapshot-update``.
"""

import collections

import pytest

from agatepick import cluster
from agatepick import types
from tests import sessions


@pytest.fixture
def session():
    return sessions.Session()


def told(session):
    """The session's lines; its promises are checked by the way."""
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
    assert told(session) == snapshot


def test_a_refused_job(session, snapshot):
    """No upstream serves the kind of task that a caller asks for.

    It is told at once that nothing ran, and nothing goes to an agent.
    """
    session.submit('job', [0.1], kind='unheard-of')
    session.run(12.0)
    assert told(session) == snapshot
    assert session.starts == []


def test_a_zone_departure(session, snapshot):
    """Operators take a zone out while callers keep handing in jobs.

    Nothing starts there once the change is in force, and again when the
    zone is back.
    """
    session.propose(cluster.ZoneOut('b'))
    for number in range(8):
        session.submit(f'job-{number}', [0.2] * 6)
        session.run(1.0)
    session.propose(cluster.ZoneIn('b'), at='entry-2')
    session.run(4.0)
    session.submit('job-back', [0.2] * 6)
    session.run(2.0)
    assert told(session) == snapshot


def test_a_preset_switch(session, snapshot):
    """Two operators switch the preset at the same moment.

    One of them wins; the other learns so, and nothing of its change holds.
    """
    session.propose(cluster.PresetUse('peak'), based_on=2)
    session.propose(cluster.PresetUse('maintenance'), at='entry-2', based_on=2)
    session.run(1.0)
    session.submit('job', [0.1])
    session.run(5.0)
    assert told(session) == snapshot


def test_an_entry_lost(session, snapshot):
    """An entry is killed while it owns a running job.

    Its caller asks the other entry, which never starts a task again and
    answers once the lost one is removed.
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
    assert told(session) == snapshot


def test_an_entry_lost_and_asked_for_too_late(session, snapshot):
    """The caller comes back only after its job's deadline has passed.

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
    assert told(session) == snapshot
    assert session.answers[-1].status != types.JobStatus.NOT_RUN
