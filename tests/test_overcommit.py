import pytest

from agatepick.net import messages
from agatepick.repeatable import overcommit
from agatepick.repeatable import runs
from agatepick import types

NOW = 50.0


@pytest.mark.parametrize(
    ('over_full', 'confirmed_at', 'unanswered', 'expected'),
    [
        (True, 0.0, 0, True),
        (True, 0.0, 1, False),
        (True, NOW, 0, False),
        (False, 0.0, 0, False),
    ],
)
def test_only_a_start_without_an_answer_is_given_up(
    over_full, confirmed_at, unanswered, expected
):
    """A worker shrinks; what it has taken runs on, so that no work is lost."""
    run = runs.Run(
        messages.RunRef('j', 0, 1),
        'j.0',
        b'',
        types.Needs(6.0, 64, 0),
        runs.Owner('e', 1),
        NOW,
        0.2,
        start_count=1,
        unanswered_start_count=unanswered,
        confirmed_at=confirmed_at,
    )
    assert overcommit.must_give_up(run, over_full) is expected
