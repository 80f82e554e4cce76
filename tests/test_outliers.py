from agatepick.decisions import outliers


def _known(number, share=0.3):
    made = outliers.Outliers(share)
    for i in range(number):
        made.add(f'a{i}')
    return made


def _fail(made, agent, times, now):
    return [made.record(agent, False, now) for _ in range(times)]


def test_a_worker_that_fails_all_is_ejected_within_its_slots():
    """A broken worker fails each task at once and so looks idle.

    Callers would see most of their jobs fail.
    """
    made = _known(10)
    assert _fail(made, 'a0', 7, 1.0) == [False] * 6 + [True]
    assert made.standing('a0') is outliers.Standing.EJECTED


def test_no_one_is_ejected_for_what_fails_everywhere():
    """A caller hands in bad tasks, which fail on each worker alike.

    Ejecting the workers would take the slots from all other callers.
    """
    made = _known(10)
    for _ in range(50):
        for i in range(10):
            made.record(f'a{i}', False, 1.0)
    assert made.ejected() == ()


def test_never_more_than_the_stated_share_is_ejected():
    """Half of the workers break at once.

    The rest couldn't carry the load if all of those were taken out.
    """
    made = _known(10)
    for i in range(5):
        _fail(made, f'a{i}', 20, 1.0)
    assert len(made.ejected()) == 3


def test_good_probes_readmit_and_a_bad_one_ejects_for_twice_as_long():
    """A worker is repaired some time after it was ejected.

    Without probes it would stay idle, with all its slots at once it would fail
    jobs again.
    """
    made = _known(10)
    _fail(made, 'a0', 7, 0.0)
    assert made.advance(9.9) == ()
    assert made.next_wake() == 10.0
    assert made.advance(10.0) == ('a0',)
    assert made.standing('a0') is outliers.Standing.TRIAL
    assert made.record('a0', False, 11.0)
    assert made.next_wake() == 31.0
    made.advance(31.0)
    told = [made.record('a0', True, 32.0) for _ in range(outliers.PROBES)]
    assert told == [False, False, True]
    assert made.standing('a0') is outliers.Standing.GOOD
    assert made.ejected() == ()
