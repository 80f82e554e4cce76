from agatepick.repeatable import watching

NOW = 50.0
WAIT = watching.WAIT_SECONDS


def asked():
    """The lists were asked for just now."""
    found = watching.Watching()
    found.reset(NOW)
    found.asked(WAIT, NOW)
    return found


def test_the_lists_are_asked_for_as_soon_as_they_came():
    found = asked()
    assert not found.due(NOW)
    found.answered(NOW + 0.01)
    assert found.due(NOW + 0.01)


def test_lists_that_stay_out_are_asked_for_once_more():
    """One order in twenty gets no answer.

    Until it timed out nobody would hear of any run that ends there.
    """
    found = asked()
    late = NOW + WAIT + watching.HEDGE_SECONDS
    assert not found.due(late - 0.01)
    assert found.due(late)
    found.asked(WAIT, late)
    assert not found.due(late + 5.0)
    found.answered(late + 0.01)
    found.failed(late + 0.1)
    assert not found.closing(late + 0.1)


def test_a_silent_worker_is_closed_and_then_given_up():
    """A worker hangs; what is started there would only be lost."""
    found = asked()
    assert not found.closing(NOW + watching.CLOSING_SECONDS - 0.01)
    assert found.closing(NOW + watching.CLOSING_SECONDS + 0.01)
    assert not found.silent(NOW + watching.SILENT_SECONDS - 0.01)
    now = NOW + watching.SILENT_SECONDS + 0.01
    assert found.silent(now)
    found.failed(now)
    assert not found.due(now + 0.1)
    assert found.due(now + watching.PROBE_SECONDS + 0.01)


def test_a_worker_that_announces_nothing_any_more_is_given_up():
    found = watching.Watching()
    found.reset(NOW)
    found.lapse(NOW)
    assert found.silent(NOW)
    found.answered(NOW + 0.1)
    assert not found.silent(NOW + 0.1)


def test_another_life_of_the_worker_begins_anew():
    found = asked()
    found.reset(NOW + 10.0)
    assert found.due(NOW + 10.0)
    assert not found.closing(NOW + 10.0)
