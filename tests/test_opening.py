from agatepick.repeatable import opening

NOW = 100.0


def test_callers_are_taken_once_they_can_be_served():
    """All processes lost their power, and callers come back before agents.

    What is taken now could only be refused, which is final to most callers;
    a connection that isn't accepted is tried again.
    """
    found = opening.Opening()
    assert not found.opens(False, NOW)
    assert not found.opens(False, NOW + 0.4)
    assert found.opens(True, NOW + 0.5)
    assert found.open


def test_it_is_said_once():
    found = opening.Opening()
    assert found.opens(True, NOW)
    assert not found.opens(True, NOW + 0.1)


def test_a_worker_that_is_lost_later_closes_nothing():
    """Connections that are open go on; new ones are told why they can't."""
    found = opening.Opening()
    assert found.opens(True, NOW)
    assert not found.opens(False, NOW + 1.0)
    assert found.open


def test_callers_are_told_why_if_no_worker_ever_comes():
    found = opening.Opening()
    assert not found.opens(False, NOW)
    assert found.opens(False, NOW + opening.OPEN_SECONDS)
