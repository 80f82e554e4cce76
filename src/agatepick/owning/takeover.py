"""Jobs of a removed entry, as the entries that own their keys now see them.

A removed entry may have started any task of a job whose key it owned.  Its
successor starts none of them: it learns from the agents what was started,
takes over results and running tasks once the caller submits the job again,
and calls a task that no agent reports unknown.  The job is then marked
failed; a second start would file a quote twice.
"""

import collections.abc
import dataclasses

from agatepick.agentside import ledger
from agatepick.net import messages
from agatepick.owning import jobs
from agatepick.owning import ownership
from agatepick import types

FORGET_SECONDS = 1.0
"""Between two searches for expired reports: each goes through all of them."""
GATHER_SECONDS = 5.0
"""How long after a removal reports are waited for.

An agent that redials takes up to 1.5 s between two attempts; what comes
later than this only leaves its tasks unknown, which is still true.
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
class Found:
    """A task that an agent has reported, with the agent and its life."""

    agent: types.PeerName
    incarnation: int
    report: messages.TaskReport


Tasks = dict[int, Found]
"""Reported tasks of one job, by their index."""


class Takeover:
    """What agents have told of the tasks of removed entries.

    :param name: the entry that takes over.
    :param retention: seconds for which a key is served.
    :param skew: how far ahead of a clock a key may be stamped.
    """

    def __init__(self, name: types.PeerName, retention: float, skew: float):
        self._name = name
        self._retention = retention
        self._skew = skew
        self._found: dict[types.JobKey, Tasks] = {}
        self._forget_at = 0.0
        self._told: dict[ledger.Owner, set[tuple[types.PeerName, int]]] = {}

    def __len__(self) -> int:
        return len(self._found)

    def on_orphans(
        self,
        agent: types.PeerName,
        incarnation: int,
        message: messages.Orphans,
    ) -> None:
        """Take an agent's reports on a removed entry's tasks."""
        for report in message.reports:
            if not _usable(report):
                continue
            tasks = self._found.setdefault(report.job, {})
            tasks[report.index] = Found(agent, incarnation, report)
        if message.last:
            lost = ledger.Owner(message.owner, message.owner_incarnation)
            self._told.setdefault(lost, set()).add((agent, incarnation))

    def on_result(
        self, agent: types.PeerName, report: messages.TaskReport
    ) -> None:
        """Take the end of a task whose job nobody has asked for yet."""
        if not _usable(report):
            return
        tasks = self._found.get(report.job)
        found = tasks.get(report.index) if tasks is not None else None
        if tasks is None or found is None or found.agent != agent:
            return
        digest = found.report.digest
        tasks[report.index] = dataclasses.replace(
            found, report=dataclasses.replace(report, digest=digest)
        )

    def concerns(self, key: types.JobKey, members: Members) -> bool:
        """Whether a removed entry may have started tasks of a job."""
        return ownership.taken_over(key, members, self._skew)

    def gathered(
        self,
        key: types.JobKey,
        members: Members,
        agents: Agents,
        now: float,
    ) -> bool:
        """Whether all that agents can tell of a job has been told.

        Every connected agent must have ended its reports on every entry that
        was removed late enough to have owned the key.
        """
        minted = ownership.stamp(key)
        removed = [
            one
            for one in members
            if minted < ownership.suspect_until(one, self._skew)
        ]
        since = [one.removed_at for one in removed]
        # An entry listed after the removal has to meet the agents first.
        since += [one.listed_at for one in members if one.name == self._name]
        if now >= max(since, default=0.0) + GATHER_SECONDS:
            return True
        present = {(one.name, one.incarnation) for one in agents.values()}
        return all(
            present
            <= self._told.get(ledger.Owner(one.name, one.incarnation), set())
            for one in removed
        )

    def fits(self, spec: types.JobSpec) -> bool:
        """Whether a job is the one whose tasks were reported.

        Without this check another body under the same key would get the
        results of the first one as its own.
        """
        tasks = self._found.get(spec.key, {})
        return all(
            index < len(spec.tasks)
            and found.report.digest
            == ledger.task_digest(
                spec.team, spec.tasks[index].kind, spec.tasks[index].payload
            )
            for index, found in tasks.items()
        )

    def reported(self, key: types.JobKey) -> bool:
        """Whether an agent has told of tasks of a job."""
        return key in self._found

    def take(self, key: types.JobKey) -> Tasks:
        """The reported tasks of a job, which is now remembered elsewhere."""
        return self._found.pop(key, {})

    def forget(self, now: float) -> None:
        """Drop reports on keys that nobody may submit again."""
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_SECONDS
        expired = [
            key
            for key in self._found
            if ownership.stamp(key) + self._retention < now
        ]
        for key in expired:
            del self._found[key]


def adopt(job: jobs.Job, found: Tasks, agents: Agents) -> None:
    """Bring a resubmitted job to the state that agents have reported.

    What still runs is awaited at its agent; its end comes as a result, or as
    the answer to the question after a reconnection.
    """
    for index in range(len(job.tasks)):
        task = found.get(index)
        if task is None:
            _end(job, index, types.Outcome.UNKNOWN, REASON_OWNER_LOST)
        elif task.report.state == _RUNNING:
            _await(job, index, task, agents)
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


def _usable(report: messages.TaskReport) -> bool:
    """Whether a report names a job that can be and a state it can have."""
    known = report.state in _OUTCOMES or report.state == _RUNNING
    return known and ownership.is_key(report.job)


def _await(job: jobs.Job, index: int, task: Found, agents: Agents) -> None:
    hello = agents.get(task.agent)
    if hello is None or hello.incarnation != task.incarnation:
        _end(job, index, types.Outcome.UNKNOWN, REASON_AGENT_LOST)
        return
    record = job.tasks[index]
    record.agent = task.agent
    record.incarnation = task.incarnation
    record.attempt = task.report.attempt
    record.adopted = True


def _end(
    job: jobs.Job, index: int, outcome: types.Outcome, reason: str
) -> None:
    job.end_task(index, outcome, reason=reason, step='takeover')
