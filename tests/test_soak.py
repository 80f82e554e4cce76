import pytest

from tests import soak

SECONDS = 6.0


@pytest.mark.parametrize('seed', [1, 2])
def test_the_programs_keep_their_promises_under_faults(tmp_path, seed):
    """Processes are killed, paused, stopped and cut off from one another.

    Seed 2 crashed a worker that came back under its name: starts on their
    way to its former life ran there and elsewhere at the same time.
    """
    broken, answered = soak.play(seed, SECONDS, tmp_path)
    assert broken == []
    assert answered[200] > 0
