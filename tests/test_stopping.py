from agatepick.repeatable import stopping

NOW = 50.0


def make_stopping():
    found = stopping.Stopping()
    found.request(NOW)
    return found


def test_a_running_process_accepts_everything():
    found = stopping.Stopping()
    assert found.accepts(100.0, NOW)
    assert not found.must_give_up(NOW)
    assert not found.try_exit(False, NOW)


def test_a_stopping_process_accepts_what_ends_in_time():
    """Callers continue to use open connections until the process exits.

    A long job that it accepted would be cut off.
    """
    found = make_stopping()
    assert found.accepts(1.0, NOW + 1.0)
    assert not found.accepts(3.0, NOW + 1.0)
    assert not found.accepts(0.1, NOW + stopping.GIVE_UP_SECONDS)


def test_it_serves_until_the_load_balancer_has_noticed():
    found = make_stopping()
    soon = NOW + stopping.MIN_SERVE_SECONDS - 0.1
    assert not found.try_exit(False, soon)
    late = NOW + stopping.MIN_SERVE_SECONDS + 0.1
    assert not found.try_exit(True, late)
    assert found.try_exit(False, late)
    assert not found.try_exit(False, late + 0.1)
    assert not found.accepts(0.0, late + 0.1)


def test_a_repeated_stop_request_gives_no_more_time():
    found = make_stopping()
    found.request(NOW + 4.0)
    assert found.must_give_up(NOW + stopping.GIVE_UP_SECONDS + 0.01)
