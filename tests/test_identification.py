"""Which announcements an agent acts on."""

import pytest

from agatepick import core
from agatepick.repeatable import identification
from agatepick.repeatable import workerapi
from agatepick import types

NOW = 50.0
POOLS = frozenset(('p', 'q'))
SAME = workerapi.Identity.SAME
OTHER = workerapi.Identity.OTHER
CAPACITY = types.Needs(64.0, 4096, 0)


class Controller:
    """A controller of runs that takes note of what reaches it."""

    def __init__(self):
        self.description = None
        self.incarnation = ''
        self.handled = []
        self.epochs_raised = 0
        self.expects_successor = False

    def addresses(self, incarnation):
        return incarnation == self.incarnation

    def choose_epoch(self, born, now):
        return born

    def raise_epoch(self):
        self.epochs_raised += 1
        return []

    def handle_announcement(self, event, now):
        self.description, self.incarnation = event, event.incarnation
        self.handled.append(event)
        return []

    def expect_successor(self):
        self.expects_successor = True

    def end_expectation(self):
        self.expects_successor = False


@pytest.fixture
def ctl():
    return Controller()


@pytest.fixture
def identity(ctl):
    """Return the identification of a worker that is known as ``w@1``."""
    identity = identification.Identification(ctl)
    identity.pools = POOLS
    ctl.handle_announcement(announce(), NOW)
    ctl.handled.clear()
    return identity


def announce(incarnation='w@1', sequence=1, pool='p', draining=False):
    born = int(incarnation.partition('@')[2])
    return workerapi.WorkerAnnounced(
        incarnation, born, sequence, pool, CAPACITY, (), draining, ''
    )


def get_asked(effects):
    kind = workerapi.IdentifyWorker
    return [one.incarnation for one in effects if isinstance(one, kind)]


def get_ignored(effects):
    notes = [one for one in effects if isinstance(one, core.Note)]
    return [dict(one.fields)['reason'] for one in notes]


def answer(identity, incarnation, what, now=NOW):
    event = workerapi.WorkerIdentified(incarnation, what)
    return identity.handle_answer(event, now)


def test_the_worker_s_own_announcements_are_acted_on_at_once(identity, ctl):
    event = announce(sequence=2, draining=True)
    assert get_asked(identity.handle_announcement(event, NOW)) == []
    assert ctl.handled == [event]


@pytest.mark.parametrize('incarnation', ['x@1', 'w@2', 'x@9'])
def test_another_announcement_changes_nothing_before_it_is_proven(
    identity, ctl, incarnation
):
    """A foreign one would end all runs at the worker that is there."""
    event = announce(incarnation)
    effects = identity.handle_announcement(event, NOW)
    assert get_asked(effects) == [incarnation]
    assert ctl.handled == []
    assert ctl.expects_successor
    ignored = get_ignored(answer(identity, incarnation, OTHER))
    assert ignored == ['other_worker']
    assert ctl.handled == []
    assert not ctl.expects_successor


@pytest.mark.parametrize('incarnation', ['x@1', 'w@2', 'w@0'])
def test_a_worker_that_answers_under_its_name_is_used(
    identity, ctl, incarnation
):
    event = announce(incarnation, pool='q')
    identity.handle_announcement(event, NOW)
    answer(identity, incarnation, SAME)
    assert ctl.handled == [event]


def test_a_pool_that_is_not_named_shuts_no_worker_out(identity, ctl):
    """A copy of the worker's own announcement names another pool."""
    copied = announce(sequence=99, pool='zuqa')
    assert get_ignored(identity.handle_announcement(copied, NOW)) == ['pool']
    event = announce(sequence=2)
    identity.handle_announcement(event, NOW)
    assert ctl.handled == [event]


def test_a_pool_that_is_no_longer_named_drains_its_worker(identity, ctl):
    """Its announcements still tell that the worker drains."""
    identity.pools = frozenset(('q',))
    event = announce(sequence=2, draining=True)
    identity.handle_announcement(event, NOW)
    assert ctl.handled == [event]


def test_announcements_are_held_until_the_pools_are_known(ctl):
    """A start of all processes: nothing may start before that anyway."""
    identity = identification.Identification(ctl)
    foreign, own = announce('x@9', pool='zuqa'), announce('w@1')
    effects = identity.handle_announcement(own, NOW)
    effects += identity.handle_announcement(foreign, NOW)
    assert get_asked(effects) == []
    identity.pools = POOLS
    effects = identity.ask(NOW + 0.1)
    assert get_ignored(effects) == ['pool']
    assert get_asked(effects) == ['w@1']
    answer(identity, 'w@1', SAME, NOW + 0.1)
    assert ctl.handled == [own]


def test_foreign_announcements_in_a_row_hold_no_own_one_up(identity, ctl):
    """Others come each 0.1 s, and the worker's next incarnation once."""
    event = announce('w@2')
    asked = get_asked(identity.handle_announcement(event, NOW))
    for step in range(1, 10):
        now = NOW + step * 0.1
        other = announce(f'x{step}@{step}')
        asked += get_asked(identity.handle_announcement(other, now))
        what = SAME if asked[-1] == 'w@2' else OTHER
        asked += get_asked(answer(identity, asked[-1], what, now))
    assert ctl.handled == [event]


def test_a_worker_without_an_answer_is_asked_again(identity, ctl):
    event = announce('w@2')
    identity.handle_announcement(event, NOW)
    answer(identity, 'w@2', workerapi.Identity.UNANSWERED)
    assert identity.ask(NOW + 0.01) == []
    due = identity.next_due()
    assert due == NOW + identification.RETRY_SECONDS
    assert get_asked(identity.ask(due)) == ['w@2']
    answer(identity, 'w@2', SAME, due)
    assert ctl.handled == [event]


def test_an_answer_that_never_comes_holds_nothing_up(identity, ctl):
    identity.handle_announcement(announce('x@1'), NOW)
    later = NOW + identification.ANSWER_SECONDS
    event = announce('w@2')
    assert get_asked(identity.handle_announcement(event, later)) == ['w@2']
    answer(identity, 'w@2', SAME, later)
    assert ctl.handled == [event]


def test_an_old_announcement_is_not_acted_on(identity, ctl):
    """It may describe the worker as it was before it shrank."""
    identity.handle_announcement(announce('w@2'), NOW)
    answer(identity, 'w@2', workerapi.Identity.UNANSWERED)
    later = NOW + identification.HOLD_SECONDS + 0.1
    assert identity.ask(later) == []
    assert ctl.handled == []


def test_a_worker_that_has_seen_a_higher_epoch_is_asked_by_a_higher_one(
    identity, ctl
):
    identity.handle_announcement(announce('w@2'), NOW)
    answer(identity, 'w@2', workerapi.Identity.FENCED)
    assert ctl.epochs_raised == 1
    due = identity.next_due()
    assert get_asked(identity.ask(due)) == ['w@2']


def test_the_newest_announcement_is_used(identity, ctl):
    newest = announce('w@2', sequence=3)
    for event in (announce('w@2', sequence=2), newest, announce('w@2')):
        identity.handle_announcement(event, NOW)
    answer(identity, 'w@2', SAME)
    assert ctl.handled == [newest]


def test_what_an_earlier_process_stored_is_used_at_once(identity, ctl):
    """The worker has answered under that name before."""
    event = announce('w@2', sequence=workerapi.NOT_ANNOUNCED)
    identity.handle_announcement(event, NOW)
    assert ctl.handled == [event]


@pytest.mark.parametrize('names', [('x@2',), ('x@2', 'y@3')])
def test_starts_are_sent_again_once_no_held_pool_is_named(ctl, names):
    """Unanswered starts waited for the next announcement."""
    identity = identification.Identification(ctl)
    for name in names:
        identity.handle_announcement(announce(name, pool='unnamed'), NOW)
    assert ctl.expects_successor
    identity.pools = POOLS
    assert get_ignored(identity.ask(NOW)) == ['pool'] * len(names)
    assert not ctl.expects_successor


def test_a_held_announcement_is_asked_about_beside_unnamed_ones(ctl):
    identity = identification.Identification(ctl)
    identity.handle_announcement(announce('x@2'), NOW)
    identity.handle_announcement(announce('y@3', pool='unnamed'), NOW)
    identity.pools = POOLS
    effects = identity.ask(NOW)
    assert get_ignored(effects) == ['pool']
    assert get_asked(effects) == ['x@2']
    assert ctl.expects_successor
