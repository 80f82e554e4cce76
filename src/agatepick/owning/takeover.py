"""Takeover of a removed entry's jobs by the entries that own their keys now.

A removed entry may have started any task of a job whose key it owned.  The
entry that owns the key now, its successor, starts none of these tasks, since a
task that files a quote, for example, would file it twice.  The successor
collects the agents' reports on started tasks, and takes over results and
running tasks once the caller submits the job again.  A task that no agent
reports ends as unknown, and its job fails.
"""

import collections.abc
import dataclasses

from agatepick.agentside import ledger
from agatepick.net import messages
from agatepick.owning import jobs
from agatepick.owning import ownership
from agatepick import types

EXPIRY_INTERVAL_SECONDS = 1.0
"""Time between two searches for reports on expired keys.  Each search scans
all reports."""
MAX_REPORT_WAIT_SECONDS = 5.0
"""How long a successor waits for reports after a removal.

An agent that reconnects to an entry pauses up to 1.5 s between two attempts.
Tasks that are reported after this time end as unknown, which is still a
correct answer.
"""

REASON_OWNER_LOST = 'owner_lost'
REASON_AGENT_LOST = 'agent_lost'

Members = tuple[messages.Member, ...]
Agents = collections.abc.Mapping[types.PeerName, messages.Hello]

_RUNNING = types.TaskState.RUNNING
_OUTCOMES = {
    types.TaskState.FINISHED: types.Outcome.FINISHED,
    types.TaskState.FAILED: types.Outcome.FAILED,
    types.TaskState.LOST: types.Outcome.UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedTask:
    """An agent's report on a task, with the agent's name and incarnation."""

    agent: types.PeerName
    incarnation: int
    report: messages.TaskReport


ReportedTasks = dict[int, ReportedTask]
"""Reported tasks of one job, by their index."""


class Takeover:
    """One entry's takeover of jobs, from agents' reports on their tasks.

    :param name: name of the entry that takes over.
    :param retention: seconds for which a key is valid.
    :param skew: seconds that a key may be stamped ahead of a clock.
    """

    def __init__(self, name: types.PeerName, retention: float, skew: float):
        self._name = name
        self._retention = retention
        self._skew = skew
        self._reported: dict[types.JobKey, ReportedTasks] = {}
        self._next_expiry_at = 0.0
        self._agents_done: dict[
            ledger.EntryId, set[tuple[types.PeerName, int]]
        ] = {}

    def __len__(self) -> int:
        return len(self._reported)

    def on_orphans(
        self,
        agent: types.PeerName,
        incarnation: int,
        message: messages.Orphans,
    ) -> None:
        """Store an agent's reports on a removed entry's tasks."""
        for report in message.reports:
            if not _is_usable(report):
                continue
            tasks = self._reported.setdefault(report.job, {})
            tasks[report.index] = ReportedTask(agent, incarnation, report)
        if message.last:
            owner = ledger.EntryId(message.owner, message.owner_incarnation)
            self._agents_done.setdefault(owner, set()).add(
                (agent, incarnation)
            )

    def on_result(
        self, agent: types.PeerName, report: messages.TaskReport
    ) -> None:
        """Store the end of a task whose job has not been resubmitted yet."""
        tasks = self._reported.get(report.job)
        reported = tasks.get(report.index) if tasks is not None else None
        if tasks is None or reported is None or reported.agent != agent:
            return
        if report.state == types.TaskState.REFUSED:
            # It was reported as running, but wasn't sent in time.
            if report.attempt == reported.report.attempt:
                del tasks[report.index]
            return
        if not _is_usable(report):
            return
        digest = reported.report.digest
        tasks[report.index] = dataclasses.replace(
            reported, report=dataclasses.replace(report, digest=digest)
        )

    def may_have_started(self, key: types.JobKey, members: Members) -> bool:
        """Return whether a removed entry may have started tasks of a job.

        If so, the job must be taken over and its tasks not be started.
        """
        return ownership.may_have_been_started(key, members, self._skew)

    def is_complete(
        self,
        key: types.JobKey,
        members: Members,
        agents: Agents,
        now: float,
    ) -> bool:
        """Return whether all reports on a job have arrived.

        Every connected agent must have completed its reports on every entry
        that was removed late enough to have owned the key.  Once
        ``MAX_REPORT_WAIT_SECONDS`` have passed, missing reports are ignored.
        """
        created_at = ownership.get_timestamp(key)
        removed = [
            member
            for member in members
            if created_at < ownership.get_acceptance_end(member, self._skew)
        ]
        wait_starts = [member.removed_at for member in removed]
        # Agents must first connect to an entry listed after the removal.
        wait_starts += [
            member.listed_at for member in members if member.name == self._name
        ]
        if now >= max(wait_starts, default=0.0) + MAX_REPORT_WAIT_SECONDS:
            return True
        connected = {
            (hello.name, hello.incarnation) for hello in agents.values()
        }
        return all(
            connected
            <= self._agents_done.get(
                ledger.EntryId(member.name, member.incarnation), set()
            )
            for member in removed
        )

    def matches(self, spec: types.JobSpec) -> bool:
        """Return whether the reported tasks belong to this job.

        Without this check, a request with the same key and a different body
        would get the results of the first body's tasks.
        """
        tasks = self._reported.get(spec.key, {})
        return all(
            index < len(spec.tasks)
            and reported.report.digest
            == ledger.compute_task_digest(
                spec.team, spec.tasks[index].kind, spec.tasks[index].payload
            )
            for index, reported in tasks.items()
        )

    def has_reports(self, key: types.JobKey) -> bool:
        """Return whether an agent has reported tasks of a job."""
        return key in self._reported

    def pop(self, key: types.JobKey) -> ReportedTasks:
        """Remove and return the reported tasks of a job."""
        return self._reported.pop(key, {})

    def delete_expired(self, now: float) -> None:
        """Delete the reports on expired keys."""
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRY_INTERVAL_SECONDS
        expired = [
            key
            for key in self._reported
            if ownership.get_timestamp(key) + self._retention < now
        ]
        for key in expired:
            del self._reported[key]


def adopt(job: jobs.Job, reported: ReportedTasks, agents: Agents) -> None:
    """Apply the agents' reports to a resubmitted job.

    A task that still runs stays open.  Its agent reports the end in a
    ``Results`` message, or answers a ``Settle`` message after reconnecting.
    """
    for index in range(len(job.tasks)):
        task = reported.get(index)
        if task is None:
            _end_in_takeover(
                job, index, types.Outcome.UNKNOWN, REASON_OWNER_LOST
            )
        elif task.report.state == _RUNNING:
            _record_running(job, index, task, agents)
        else:
            report = task.report
            job.end_task(
                index,
                _OUTCOMES[types.TaskState(report.state)],
                report.body,
                report.reason,
                'run',
                task.agent,
            )


def _is_usable(report: messages.TaskReport) -> bool:
    """Return whether a report has a valid key and a started task's state."""
    has_valid_state = report.state in _OUTCOMES or report.state == _RUNNING
    return has_valid_state and ownership.is_key(report.job)


def _record_running(
    job: jobs.Job, index: int, task: ReportedTask, agents: Agents
) -> None:
    hello = agents.get(task.agent)
    if hello is None or hello.incarnation != task.incarnation:
        _end_in_takeover(job, index, types.Outcome.UNKNOWN, REASON_AGENT_LOST)
        return
    record = job.tasks[index]
    record.agent = task.agent
    record.incarnation = task.incarnation
    record.attempt = task.report.attempt
    record.adopted = True


def _end_in_takeover(
    job: jobs.Job, index: int, outcome: types.Outcome, reason: str
) -> None:
    job.end_task(index, outcome, reason=reason, step='takeover')
