from agatepick.repeatable import watching

NOW = 50.0
WAIT = watching.WAIT_SECONDS


def request_lists():
    """Return the requests of a worker whose lists were just requested."""
    found = watching.Watching()
    found.reset(NOW)
    found.record_request(WAIT, NOW)
    return found


def test_lists_are_requested_again_once_they_arrive():
    found = request_lists()
    assert not found.is_due(NOW)
    found.record_answer(NOW + 0.01)
    assert found.is_due(NOW + 0.01)


def test_overdue_lists_are_requested_once_more():
    """One request in twenty gets no answer.

    Until it timed out, no end of a run there would be reported.
    """
    found = request_lists()
    late = NOW + WAIT + watching.HEDGE_SECONDS
    assert not found.is_due(late - 0.01)
    assert found.is_due(late)
    found.record_request(WAIT, late)
    assert not found.is_due(late + 5.0)
    found.record_answer(late + 0.01)
    found.record_failure(late + 0.1)
    assert not found.blocks_starts(late + 0.1)


def test_a_silent_worker_gets_no_starts_and_then_no_lease():
    """A worker hangs; runs that are started there would be lost."""
    found = request_lists()
    assert not found.blocks_starts(NOW + watching.BLOCK_STARTS_SECONDS - 0.01)
    assert found.blocks_starts(NOW + watching.BLOCK_STARTS_SECONDS + 0.01)
    assert not found.silent(NOW + watching.SILENT_SECONDS - 0.01)
    now = NOW + watching.SILENT_SECONDS + 0.01
    assert found.silent(now)
    found.record_failure(now)
    assert not found.is_due(now + 0.1)
    assert found.is_due(now + watching.PROBE_SECONDS + 0.01)


def test_a_worker_without_announcements_counts_as_silent():
    found = watching.Watching()
    found.reset(NOW)
    found.mark_silent(NOW)
    assert found.silent(NOW)
    found.record_answer(NOW + 0.1)
    assert not found.silent(NOW + 0.1)


def test_another_incarnation_resets_the_requests():
    found = request_lists()
    found.reset(NOW + 10.0)
    assert found.is_due(NOW + 10.0)
    assert not found.blocks_starts(NOW + 10.0)
