from agatepick.repeatable import stopping

NOW = 50.0


def make_stopping():
    stop = stopping.Stopping()
    stop.request(NOW)
    return stop


def test_a_running_process_accepts_everything():
    stop = stopping.Stopping()
    assert stop.accepts(100.0, NOW)
    assert not stop.must_give_up(NOW)
    assert not stop.try_exit(False, NOW)


def test_a_stopping_process_accepts_what_ends_in_time():
    """Callers continue to use open connections until the process exits.

    A long job that it accepted would be cut off.
    """
    stop = make_stopping()
    assert stop.accepts(1.0, NOW + 1.0)
    assert not stop.accepts(3.0, NOW + 1.0)
    assert not stop.accepts(0.1, NOW + stopping.GIVE_UP_SECONDS)


def test_a_stopping_process_serves_until_the_load_balancer_removes_it():
    stop = make_stopping()
    soon = NOW + stopping.MIN_SERVE_SECONDS - 0.1
    assert not stop.try_exit(False, soon)
    late = NOW + stopping.MIN_SERVE_SECONDS + 0.1
    assert not stop.try_exit(True, late)
    assert stop.try_exit(False, late)
    assert not stop.try_exit(False, late + 0.1)
    assert not stop.accepts(0.0, late + 0.1)


def test_a_repeated_stop_request_gives_no_more_time():
    stop = make_stopping()
    stop.request(NOW + 4.0)
    assert stop.must_give_up(NOW + stopping.GIVE_UP_SECONDS + 0.01)
