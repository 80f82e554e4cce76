import pytest

from agatepick.config import cluster
from agatepick import exceptions


def row(version, change, at=10.0):
    return cluster.ChangeRow(version, at, change, 'e1', 1, 0)


def apply_all(*changes):
    """Return the configuration after these changes, from version 1 on."""
    config = cluster.ClusterConfig()
    for number, change in enumerate(changes, 1):
        config = cluster.apply(config, row(number, change, 10.0 * number))
    return config


def test_each_change_modifies_the_document():
    config = apply_all(
        cluster.ZoneOut('a'),
        cluster.PresetUse('peak'),
        cluster.QuotaSet('books', 3),
        cluster.UpstreamLeaving('w1'),
        cluster.SettingSet('k', 'v'),
        cluster.EntryListed('e1', 7, '127.0.0.1:1', 'a'),
    )
    assert config.zone_out('a') and not config.zone_out('b')
    assert config.preset == 'peak'
    assert config.quota('books') == 3 and config.quota('other') is None
    assert config.leaving == ('w1',)
    assert config.setting('k') == 'v'
    assert [one.incarnation for one in config.listed()] == [7]
    assert (config.version, config.in_force_at) == (6, 60.0)


def test_a_new_incarnation_removes_the_old_one_but_keeps_its_record():
    config = apply_all(
        cluster.EntryListed('e1', 1, '127.0.0.1:1', 'a'),
        cluster.EntryListed('e1', 2, '127.0.0.1:1', 'a'),
    )
    old, new = config.entries
    assert (old.incarnation, old.removed_at) == (1, 20.0)
    assert config.listed() == (new,) and config.member('e1') == new
    later = cluster.apply(config, row(3, cluster.ZoneOut('a'), 700.0))
    assert later.entries == (new,)


def test_a_zone_return_has_an_instant_and_a_repeated_one_changes_nothing():
    config = apply_all(cluster.ZoneOut('a'), cluster.ZoneIn('a'))
    assert config.zone('a') == cluster.Zone('a', False, 20.0)
    assert not cluster.alters(config, cluster.ZoneIn('a'))
    assert cluster.alters(config, cluster.ZoneOut('a'))


@pytest.mark.parametrize(
    ('bad', 'field'),
    [
        (row(3, cluster.ZoneOut('a'), 30.0), 'version'),
        (row(2, cluster.ZoneOut('a'), 1.0), 'in_force_at'),
        (row(2, cluster.ZoneOut('')), 'zone'),
        (row(2, cluster.PresetUse('fast')), 'preset'),
        (row(2, cluster.QuotaSet('t', -1)), 'slots'),
    ],
)
def test_an_invalid_change_is_refused_and_its_field_named(bad, field):
    config = apply_all(cluster.ZoneOut('b'))
    with pytest.raises(exceptions.BadChange, match=f'^{field}: '):
        cluster.apply(config, bad)


def test_json_errors_name_the_field_and_values_survive_a_round_trip():
    with pytest.raises(exceptions.BadChange, match='zone'):
        cluster.change_from_json(b'{"kind": "zone_out", "zone": 4}')
    with pytest.raises(exceptions.BadMessage, match='Head'):
        cluster.decode(b'\xff', cluster.Head)
    config = apply_all(cluster.EntryListed('e', 1, 'x', 'a'))
    data = cluster.encode(config)
    assert cluster.decode(data, cluster.ClusterConfig) == config
    changed = row(1, cluster.QuotaSet('t', None))
    data = cluster.encode(changed)
    assert cluster.decode(data, cluster.ChangeRow) == changed
