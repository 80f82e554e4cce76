import dataclasses

from agatepick.decisions import presets


def test_presets_differ_in_the_documented_direction():
    """Operators who switch presets under stress rely on their direction."""
    ordinary, peak = presets.ORDINARY, presets.PEAK
    maintenance = presets.MAINTENANCE
    assert peak.spare_share > ordinary.spare_share
    assert peak.retry_share < ordinary.retry_share < maintenance.retry_share
    assert maintenance.max_ejected_share > ordinary.max_ejected_share
    assert maintenance.spare_share > peak.spare_share
    assert set(presets.BY_NAME) == {'ordinary', 'peak', 'maintenance'}
    for name, preset in presets.BY_NAME.items():
        assert preset.name == name
        shares = dataclasses.astuple(preset)[1:6]
        assert all(value > 0.0 for value in shares)
