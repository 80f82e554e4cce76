import pytest

from agatepick.repeatable import listed_ends


@pytest.fixture
def ends():
    return listed_ends.ListedEnds()


def test_an_end_that_is_listed_again_counts_once(ends):
    assert [ends.record(number) for number in (1, 2, 2, 1, 3)] == [
        True,
        True,
        False,
        False,
        True,
    ]
    assert ends.last_number == 3


def test_ends_are_acknowledged_by_the_next_list(ends):
    assert ends.acknowledged
    ends.record(1)
    assert not ends.acknowledged
    ends.record_list()
    assert ends.acknowledged


def test_another_incarnation_counts_from_nothing(ends):
    """An end of before would hide those with the same numbers."""
    ends.record(7)
    ends.record_list()
    ends.reset()
    assert not ends.listed and not ends.acknowledged
    ends.record_list()
    assert ends.listed and ends.record(1)
