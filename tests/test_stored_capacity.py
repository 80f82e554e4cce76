from agatepick.repeatable import stored_capacity
from agatepick import types

NOW = 50.0
FULL = types.Needs(64.0, 4096, 0)
HALF = types.Needs(32.0, 2048, 0)
BEAT_SECONDS = 1.5


def test_a_lower_capacity_is_stored_at_once_and_a_higher_one_later():
    """An agent restarts after its worker shrank.

    By the former capacity it would start tasks beyond the present one.
    """
    stored = stored_capacity.StoredCapacity()
    assert stored.choose(FULL, NOW) == FULL
    assert stored.choose(HALF, NOW + 1.5) == HALF
    assert stored.choose(FULL, NOW + 3.0) == HALF
    later = NOW + 1.5 + stored_capacity.GROWTH_PAUSE_SECONDS
    assert stored.choose(FULL, later) == FULL


def test_a_capacity_that_moves_all_the_time_costs_few_writes():
    """Thousands of workers change their capacity with each announcement.

    A write for each change would be more than the store takes.
    """
    stored = stored_capacity.StoredCapacity()
    beats = int(600.0 / BEAT_SECONDS)
    values = [
        stored.choose(HALF if beat % 2 else FULL, NOW + beat * BEAT_SECONDS)
        for beat in range(beats)
    ]
    changes = sum(
        one != other for one, other in zip(values, values[1:], strict=False)
    )
    assert changes <= 2 * 600.0 / stored_capacity.GROWTH_PAUSE_SECONDS
