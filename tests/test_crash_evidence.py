import pytest

from agatepick.net import messages
from agatepick.repeatable import crash_evidence
from agatepick.repeatable import reports
from agatepick.repeatable import runs
from agatepick import types

NOW = 100.0
OWNER = runs.Owner('e', 1)


def make_run(index):
    ref = messages.RunRef('j', index, 1)
    needs = types.Needs(1.0, 1, 0)
    return runs.Run(ref, f'j.{index}', b'', needs, OWNER, NOW, 0.2)


class Agent:
    """The evidence of one agent, whose worker has two runs."""

    def __init__(self, enabled=True):
        self.reports = reports.Reports()
        self.evidence = crash_evidence.CrashEvidence(self.reports, enabled)
        self.evidence.record_step(NOW)
        self.evidence.watch('w@1')
        self.runs = [make_run(0), make_run(1)]

    def be_reborn(self, now, present=None):
        """Let another incarnation answer; return the reports on crashes."""
        present = self.runs if present is None else present
        self.evidence.record_incarnation('w@2', present, now)
        return self.get_reports(now)

    def get_reports(self, now):
        effects = self.reports.flush(now)
        return [
            report for effect in effects for report in effect.message.reports
        ]


@pytest.fixture
def agent():
    return Agent()


def test_runs_of_a_crashed_worker_are_reported_and_remembered(agent):
    """A worker starts again under its id: its runs' tasks are suspects."""
    found = agent.be_reborn(NOW + 0.5)
    assert [report.reason for report in found] == ['worker_crashed'] * 2
    assert {report.beside for report in found} == {2}
    assert {report.state for report in found} == {types.RunState.RUNNING}
    assert agent.evidence.count('j.0', NOW + 1.0) == 1
    late = NOW + 1.0 + crash_evidence.MEMORY_SECONDS
    assert agent.evidence.count('j.0', late) == 0


def test_a_run_is_reported_for_one_crash(agent):
    """A start in transit outlasts a crash: the next crash isn't its doing."""
    agent.be_reborn(NOW + 0.5)
    agent.evidence.watch('w@2')
    agent.evidence.record_incarnation('w@3', agent.runs, NOW + 0.8)
    assert agent.get_reports(NOW + 0.8) == []
    assert agent.evidence.count('j.0', NOW + 1.0) == 1


def test_a_worker_that_leaves_has_not_crashed(agent):
    agent.evidence.watch('')
    assert agent.be_reborn(NOW + 0.5) == []


def test_the_same_incarnation_has_not_crashed(agent):
    agent.evidence.record_incarnation('w@1', agent.runs, NOW + 0.5)
    assert agent.get_reports(NOW + 0.5) == []


def test_a_suspended_agent_has_no_evidence(agent):
    """An agent is suspended while its worker crashes: nothing is known."""
    agent.evidence.record_step(NOW + 5.0)
    assert agent.be_reborn(NOW + 5.1) == []


def test_a_silent_worker_s_crash_is_reported_once_it_shows(agent):
    """A worker is silent and then born anew: it had crashed."""
    reason = agent.evidence.record_silent_end(agent.runs[0], NOW + 0.9)
    assert reason == crash_evidence.WORKER_SILENT
    found = agent.be_reborn(NOW + 4.0, present=[])
    assert [report.state for report in found] == [types.RunState.OVER]
    assert found[0].reason == crash_evidence.WORKER_CRASHED


def test_a_silent_worker_that_answers_again_has_not_crashed(agent):
    """A worker was cut off and answers again: its runs prove nothing."""
    agent.evidence.record_silent_end(agent.runs[0], NOW + 0.9)
    agent.evidence.record_answer(NOW + 1.0)
    assert agent.be_reborn(NOW + 4.0, present=[]) == []


def refuse(agent, now):
    agent.evidence.record_refusal(agent.runs, now)
    return [report.reason for report in agent.get_reports(now)]


def answer(agent, requested_at):
    agent.evidence.record_answer(requested_at)
    return [report.reason for report in agent.get_reports(requested_at)]


def test_a_worker_that_opens_its_port_again_has_not_crashed(agent):
    """Its runs' tasks would stay suspects for two minutes."""
    assert refuse(agent, NOW) == [crash_evidence.WORKER_REFUSED] * 2
    assert agent.evidence.count('j.0', NOW) == 1
    assert answer(agent, NOW + 0.1) == [crash_evidence.WORKER_RETURNED] * 2
    assert agent.evidence.count('j.0', NOW + 0.1) == 0
    assert answer(agent, NOW + 0.2) == []
    assert refuse(agent, NOW + 1.0) == [crash_evidence.WORKER_REFUSED] * 2


def test_an_answer_from_before_a_crash_does_not_withdraw_it(agent):
    """A list that was requested before is read after the refusal."""
    refuse(agent, NOW)
    assert answer(agent, NOW - 0.05) == []
    assert agent.evidence.count('j.0', NOW) == 1


def test_a_refused_connection_is_proven_to_be_a_crash_once(agent):
    """The next incarnation shows it; each crash counts once."""
    refuse(agent, NOW)
    found = agent.be_reborn(NOW + 3.0)
    assert [report.reason for report in found] == ['worker_crashed'] * 2
    assert agent.evidence.count('j.0', NOW + 3.0) == 1
    assert answer(agent, NOW + 4.0) == []


def test_a_worker_that_closed_its_port_and_then_exits_has_not_crashed(agent):
    refuse(agent, NOW)
    agent.evidence.record_departure()
    found = [report.reason for report in agent.get_reports(NOW)]
    assert found == [crash_evidence.WORKER_RETURNED] * 2
    assert agent.be_reborn(NOW + 3.0, present=[]) == []


def test_a_worker_that_is_silent_for_long_proves_nothing(agent):
    agent.evidence.record_silent_end(agent.runs[0], NOW)
    late = NOW + crash_evidence.MAX_DOWN_SECONDS + 1.0
    assert agent.be_reborn(late, present=[]) == []


def test_the_memory_is_bounded(agent):
    limit = crash_evidence.MAX_REMEMBERED
    agent.be_reborn(NOW, [make_run(index) for index in range(limit + 1)])
    assert agent.evidence.count('j.0', NOW) == 0
    assert agent.evidence.count(f'j.{limit}', NOW) == 1


def test_without_the_switch_nothing_is_reported():
    agent = Agent(enabled=False)
    reason = agent.evidence.record_silent_end(agent.runs[0], NOW)
    assert reason == 'lapsed'
    assert agent.be_reborn(NOW + 0.5) == []
    assert agent.evidence.count('j.0', NOW + 0.5) == 0
