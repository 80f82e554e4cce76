from agatepick.decisions import outliers


def _make_detector(number, share=0.3):
    detector = outliers.Outliers(share)
    for i in range(number):
        detector.add(f'a{i}')
    return detector


def _fail(detector, agent, times, now):
    return [detector.record_outcome(agent, False, now) for _ in range(times)]


def test_a_failing_worker_is_ejected_before_all_its_slots_failed():
    """A broken worker fails each task at once and is therefore always idle.

    Without ejection callers would see most of their jobs fail.
    """
    detector = _make_detector(10)
    assert _fail(detector, 'a0', 7, 1.0) == [False] * 6 + [True]
    assert detector.get_standing('a0') is outliers.Standing.EJECTED


def test_failures_on_all_workers_eject_none():
    """A caller submits bad tasks, which fail on every worker alike.

    Ejecting the workers would leave all other callers without slots.
    """
    detector = _make_detector(10)
    for _ in range(50):
        for i in range(10):
            detector.record_outcome(f'a{i}', False, 1.0)
    assert detector.list_ejected() == ()


def test_the_share_of_ejected_workers_is_bounded():
    """Half of the workers fail at once.

    If all of them were ejected, the others would be overloaded.
    """
    detector = _make_detector(10)
    for i in range(5):
        _fail(detector, f'a{i}', 20, 1.0)
    assert len(detector.list_ejected()) == 3


def test_good_probes_readmit_and_a_failed_one_doubles_the_ejection():
    """An ejected worker is repaired after some time.

    Without probes it would stay idle; with all its slots at once it would
    fail many jobs if it is still broken.
    """
    detector = _make_detector(10)
    _fail(detector, 'a0', 7, 0.0)
    assert detector.start_trials(9.9) == ()
    assert detector.next_wake() == 10.0
    assert detector.start_trials(10.0) == ('a0',)
    assert detector.get_standing('a0') is outliers.Standing.TRIAL
    assert detector.record_outcome('a0', False, 11.0)
    assert detector.next_wake() == 31.0
    detector.start_trials(31.0)
    changes = [
        detector.record_outcome('a0', True, 32.0)
        for _ in range(outliers.REQUIRED_PROBES)
    ]
    assert changes == [False, False, True]
    assert detector.get_standing('a0') is outliers.Standing.GOOD
    assert detector.list_ejected() == ()
