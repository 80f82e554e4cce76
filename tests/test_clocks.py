from agatepick.net import clocks


def test_the_clock_advances_from_its_start_and_ignores_steps(monkeypatch):
    """A time daemon steps the wall clock, which must not affect leases."""
    boot = iter([7.5, 8.0])
    monkeypatch.setattr(clocks.time, 'clock_gettime', lambda which: next(boot))
    clock = clocks.ProcessClock(1000.0, 7.0)
    monkeypatch.setattr(clocks.time, 'time', lambda: 5.0)
    assert [clock.now(), clock.now()] == [1000.5, 1001.0]


def test_four_instants_give_the_offset_and_bound_its_error():
    """The ping takes 10 ms, the pong 30 ms; the peer is 2 s ahead."""
    offset = clocks.compute_offset(100.0, 102.01, 102.02, 100.05)
    assert abs(offset.seconds - 1.99) < 1e-9
    assert abs(offset.error_seconds - 0.02) < 1e-9
    assert abs(offset.seconds - 2.0) <= offset.error_seconds
    assert not offset.within(1.0) and offset.within(2.1)


def test_an_offset_is_unknown_until_sampled_and_old_samples_expire():
    """A peer's clock drifts after one very precise sample.

    If that sample were kept, the drift would not be detected.
    """
    estimate = clocks.OffsetEstimate()
    assert not estimate.best.within(1e9)
    estimate.add(clocks.Offset(0.0, 0.001))
    assert estimate.best.within(0.25)
    for _ in range(clocks.MAX_SAMPLES_KEPT):
        estimate.add(clocks.Offset(1.0, 0.01))
    assert not estimate.best.within(0.25)
