import pytest

from tests import soak


@pytest.mark.parametrize(('seed', 'seconds'), [(1, 6.0), (2, 6.0), (26, 12.0)])
def test_the_programs_keep_their_promises_under_faults(
    tmp_path, seed, seconds
):
    """Processes are killed, paused, stopped and cut off from one another.

    Seed 2 crashed a worker that came back under its name: starts on their
    way to its former life ran there and elsewhere at the same time.  Seed 26
    killed an agent while the store refused all calls and the agent's zone
    was closed: it came back and started a task there.
    """
    broken, answered = soak.play(seed, seconds, tmp_path)
    assert broken == []
    assert answered[200] > 0
