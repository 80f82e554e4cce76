from agatepick.repeatable import list_requests

NOW = 50.0
LIST_WAIT_SECONDS = list_requests.WAIT_SECONDS


def request_lists():
    """Return the requests of a worker whose lists were just requested."""
    timing = list_requests.ListRequests()
    timing.reset(NOW)
    timing.record_request(LIST_WAIT_SECONDS, NOW)
    return timing


def test_lists_are_requested_again_once_they_arrive():
    timing = request_lists()
    assert not timing.is_due(NOW)
    timing.record_answer(NOW + 0.01)
    assert timing.is_due(NOW + 0.01)


def test_overdue_lists_are_requested_once_more():
    """One request in twenty gets no answer.

    Until that request timed out, the agent would learn of no end of a run at
    this worker.
    """
    timing = request_lists()
    late = NOW + LIST_WAIT_SECONDS + list_requests.HEDGE_SECONDS
    assert not timing.is_due(late - 0.01)
    assert timing.is_due(late)
    timing.record_request(LIST_WAIT_SECONDS, late)
    assert not timing.is_due(late + 5.0)
    timing.record_answer(late + 0.01)
    timing.record_failure(late + 0.1)
    assert not timing.blocks_starts(late + 0.1)


def test_a_silent_worker_gets_no_starts_and_then_no_lease():
    """A worker hangs; runs that are started there would be lost."""
    timing = request_lists()
    assert not timing.blocks_starts(
        NOW + list_requests.BLOCK_STARTS_SECONDS - 0.01
    )
    assert timing.blocks_starts(
        NOW + list_requests.BLOCK_STARTS_SECONDS + 0.01
    )
    assert not timing.is_silent(NOW + list_requests.MAX_SILENCE_SECONDS - 0.01)
    now = NOW + list_requests.MAX_SILENCE_SECONDS + 0.01
    assert timing.is_silent(now)
    timing.record_failure(now)
    assert not timing.is_due(now + 0.1)
    assert timing.is_due(now + list_requests.PROBE_INTERVAL_SECONDS + 0.01)


def test_a_worker_without_announcements_counts_as_silent():
    timing = list_requests.ListRequests()
    timing.reset(NOW)
    timing.mark_silent(NOW)
    assert timing.is_silent(NOW)
    timing.record_answer(NOW + 0.1)
    assert not timing.is_silent(NOW + 0.1)


def test_another_incarnation_resets_the_requests():
    timing = request_lists()
    timing.reset(NOW + 10.0)
    assert timing.is_due(NOW + 10.0)
    assert not timing.blocks_starts(NOW + 10.0)
