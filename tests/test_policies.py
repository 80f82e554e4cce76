"""Settings that switch the optional decisions under load."""

import pathlib

import pytest

from agatepick import exceptions
from agatepick.repeatable import policies

DEPLOYED = pathlib.Path(__file__).parent.parent / 'deploy' / 'policies.toml'


def test_all_decisions_are_off_without_settings():
    assert policies.Policies.from_toml('', 'x') == policies.Policies()
    assert not policies.Policies().queue_shares


def test_the_deployed_file_is_valid():
    assert policies.read(str(DEPLOYED)).weigh_moves


@pytest.mark.parametrize(
    ('text', 'named'),
    [
        ('[policies]\nqueue_share = true', 'queue_share'),
        ('[policies]\ncrash_guard = 1', 'policies.crash_guard'),
        ('[policies', 'not TOML'),
    ],
)
def test_a_bad_file_is_refused_by_field(text, named):
    with pytest.raises(exceptions.BadSettings, match=named):
        policies.Policies.from_toml(text, 'x')


def test_a_missing_file_is_named():
    with pytest.raises(exceptions.BadSettings, match='no-such-file'):
        policies.read('/no-such-file')
