from agatepick.repeatable import suspects

KEY = ('job', 0)
OTHER = ('job', 1)
NOW = 100.0


def crash(record, key, agent, run, now, beside=12, proven=True):
    """Start a task, and let its worker crash."""
    record.record_start(key, agent, now)
    report = suspects.Report(agent, run, beside, proven)
    known = record.record_crash(key, report, now)
    record.record_end(key)
    return known


def judge(record, now):
    """Return the tasks given up once all evidence is weighed."""
    return record.judge(now + suspects.JUDGE_SECONDS)


def count_starts(record, key, now):
    """Crash a worker at each start that is allowed; return their number."""
    starts = 0
    while record.may_start(key, now) and starts < 20:
        starts += 1
        crash(record, key, f'agent-{starts}', starts, now)
        record.judge(now + suspects.JUDGE_SECONDS)
        now += 15.0
    return starts


def test_a_task_that_crashes_its_workers_is_given_up_after_three():
    """A task crashes its workers: without a bound, it crashes them all."""
    record = suspects.Suspects(enabled=True)
    assert count_starts(record, KEY, NOW) == 3
    assert record.judge(NOW + 60.0) == [suspects.GivenUp(KEY, 3)]


def test_tasks_beside_a_crash_are_not_given_up_for_that_alone():
    """A worker crashes twice under its runs: its jobs can still be done."""
    record = suspects.Suspects(enabled=True)
    for at, agent in ((NOW, 'a'), (NOW + 15.0, 'b')):
        report = suspects.Report(agent, int(at), 12, True)
        assert record.record_crash(KEY, report, at)
        assert not judge(record, at)
    assert record.may_start(KEY, NOW + 20.0)


def test_crashes_of_many_workers_are_no_strong_evidence():
    """Many workers crash at once, twice: nobody's job is shown as failed."""
    record = suspects.Suspects(enabled=True)
    for run, at in enumerate((NOW, NOW + 30.0)):
        for index in range(suspects.MANY_WORKERS):
            crash(record, ('job', index), f'agent-{index}', run, at, beside=1)
        assert not judge(record, at)
    assert record.may_start(KEY, NOW + 60.0)


def test_an_unstable_worker_is_no_strong_evidence():
    """One worker crashes every 1.4 s: the tasks there are not to blame."""
    record = suspects.Suspects(enabled=True)
    for index in range(8):
        at = NOW + 1.4 * index
        report = suspects.Report('a', 1, 1, True)
        record.record_crash(('job', index), report, at)
    crash(record, KEY, 'a', 2, NOW + 12.0)
    assert not judge(record, NOW + 12.0)


def test_after_three_crashes_a_task_is_started_twice_at_most():
    """Weak evidence again and again: starts are bounded in any case."""
    record = suspects.Suspects(enabled=True)
    for run in range(suspects.BOUNDED_CRASHES):
        report = suspects.Report(f'agent-{run}', run, 12, True)
        record.record_crash(KEY, report, NOW)
    judge(record, NOW)
    for _ in range(suspects.MAX_BOUNDED_STARTS):
        assert record.may_start(KEY, NOW + 5.0)
        record.record_start(KEY, 'agent-9', NOW + 5.0)
        assert not record.judge(NOW + 5.0)
        record.record_end(KEY)
    assert not record.may_start(KEY, NOW + 5.0)
    assert record.judge(NOW + 5.0) == [suspects.GivenUp(KEY, 3)]


def test_a_refused_start_is_not_counted():
    record = suspects.Suspects(enabled=True)
    for run in range(suspects.BOUNDED_CRASHES):
        report = suspects.Report(f'agent-{run}', run, 12, True)
        record.record_crash(KEY, report, NOW)
    for _ in range(5):
        record.record_start(KEY, 'b', NOW)
        record.record_end(KEY, refused=True)
    assert record.may_start(KEY, NOW)


def test_silent_workers_hold_a_task_back_but_give_nobody_up():
    """Three silent workers may be cut off: the task waits until it shows."""
    record = suspects.Suspects(enabled=True)
    for run in range(suspects.BOUNDED_CRASHES):
        crash(record, KEY, f'agent-{run}', run, NOW, proven=False)
    for _ in range(suspects.MAX_BOUNDED_STARTS):
        record.record_start(KEY, 'agent-9', NOW + 5.0)
        record.record_end(KEY)
    assert not record.may_start(KEY, NOW + 6.0)
    assert not record.judge(NOW + 6.0)
    assert record.may_start(KEY, NOW + suspects.SILENCE_SECONDS + 1.0)


def test_one_crash_is_counted_once():
    """A crash is first reported as silence: it counts as one crash."""
    record = suspects.Suspects(enabled=True)
    assert crash(record, KEY, 'a', 1, NOW, proven=False)
    assert record.count_at(KEY, 'a') == 0
    assert not crash(record, KEY, 'a', 1, NOW + 5.0)
    assert record.count_at(KEY, 'a') == 1


def test_remembered_crashes_are_adopted_once():
    """An entry dies: the next one counts the crashes that agents remember."""
    record = suspects.Suspects(enabled=True)
    for _ in range(3):
        record.adopt(KEY, 'a', 2, NOW)
    assert record.count_at(KEY, 'a') == 2
    assert record.find_crashed(KEY) == {'a'}


def test_a_task_that_another_entry_started_gets_no_starts_beyond_three():
    """An entry dies after three crashes: the next one must not go on."""
    record = suspects.Suspects(enabled=True)
    record.adopt(KEY, 'a', 2, NOW)
    assert record.may_start(KEY, NOW)
    crash(record, KEY, 'b', 1, NOW)
    assert not record.may_start(KEY, NOW)
    assert record.judge(NOW) == [suspects.GivenUp(KEY, 3)]


def test_suspects_are_forgotten_and_bounded():
    record = suspects.Suspects(enabled=True)
    for index in range(suspects.MAX_SUSPECTS + 10):
        record.adopt(('job', index), 'a', 1, NOW)
    assert record.count == suspects.MAX_SUSPECTS
    record.judge(NOW + suspects.MEMORY_SECONDS + 1.0)
    assert record.count == 0


def test_pauses_grow():
    record = suspects.Suspects(enabled=True)
    crash(record, KEY, 'a', 1, NOW)
    first = record.compute_pause(KEY)
    crash(record, KEY, 'b', 2, NOW + 1.0)
    assert record.compute_pause(KEY) > first > record.compute_pause(OTHER)


def test_without_the_switch_nothing_is_recorded():
    record = suspects.Suspects()
    assert not crash(record, KEY, 'a', 1, NOW)
    record.adopt(KEY, 'a', 5, NOW)
    assert record.count == 0
    assert record.may_start(KEY, NOW)


def test_a_withdrawn_crash_holds_no_task_back():
    """A worker only closed its port: its tasks would run apart for long."""
    record = suspects.Suspects(enabled=True)
    crash(record, KEY, 'a', 1, NOW)
    crash(record, KEY, 'b', 2, NOW + 5.0)
    assert not record.withdraw(KEY, 'c', 1)
    assert record.withdraw(KEY, 'a', 1)
    assert record.find_crashed(KEY) == {'b'}
    assert record.withdraw(KEY, 'b', 2)
    assert not record.is_suspect(KEY)
    assert record.judge(NOW + 10.0) == []


def test_withdrawn_crashes_are_no_crashes_of_many_workers():
    """Ports closed beside a crash would hide which task is to blame."""
    record = suspects.Suspects(enabled=True)
    for run in (1, 2):
        at = NOW + 20.0 * run
        crash(record, KEY, f'agent-{run}', run, at, beside=1)
        for index in range(1, suspects.MANY_WORKERS):
            crash(record, ('k', index), f'port-{index}', run, at, beside=1)
        for index in range(1, suspects.MANY_WORKERS):
            assert record.withdraw(('k', index), f'port-{index}', run)
        given_up = judge(record, at)
    assert given_up == [suspects.GivenUp(KEY, 2)]
