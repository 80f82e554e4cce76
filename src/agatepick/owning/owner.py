"""Job handling at the owner: admission, start, end and answer.

One :class:`Owner` holds all jobs whose keys hash to its entry.  A task is
sent to one agent at a time.  The task's attempt number grows only after an
agent's refusal has arrived; a start with an unknown result is never repeated.
"""

import dataclasses
import heapq
import math

from agatepick.config import configuration
from agatepick.config import permits
from agatepick import core
from agatepick.decisions import dispatch
from agatepick.decisions import zones
from agatepick.net import messages
from agatepick.owning import agentlist
from agatepick.owning import answers
from agatepick.owning import forwarding
from agatepick.owning import jobs
from agatepick.owning import ownership
from agatepick.owning import starting
from agatepick.owning import takeover
from agatepick.owning import zonework
from agatepick import types

ACTION_STOP = 'stop'
LEASE_GRACE_SECONDS = 1.0
"""How long an entry admits jobs after its lease on the configuration expired.

A process that was paused for longer than its lease renews it within some
milliseconds after it resumes.  If jobs were refused until then, each long
garbage collection or slow read of the store would fail requests.  No task
starts without a lease, so admitted jobs wait for the renewal.  After this
second the store counts as unreachable, and new jobs are refused at once.
"""
REASON_AGENT_LOST = 'agent_lost'

_OUTCOMES = {
    types.TaskState.FINISHED: types.Outcome.FINISHED,
    types.TaskState.FAILED: types.Outcome.FAILED,
    types.TaskState.LOST: types.Outcome.UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerConfig:
    """Limits of an owner.

    :param retention_seconds: time for which an ended job is stored.
    :param key_skew_seconds: seconds that a key may be stamped ahead of this
        entry's clock.
    :param agent_lost_seconds: time after a disconnect at which an agent's
        open tasks end as unknown.  It covers two attempts of the agent to
        reconnect, with the longest pause between them, and the response time
        of a loaded agent.
    """

    retention_seconds: float = 600.0
    key_skew_seconds: float = 2.0
    agent_lost_seconds: float = 5.0


class Owner:
    """All jobs of one entry, their queue and their agents."""

    def __init__(
        self,
        name: types.PeerName,
        incarnation: int,
        cfg: OwnerConfig,
        config: configuration.Configuration,
        dispatcher: dispatch.Dispatch,
    ):
        # A key may be stamped ahead of this entry's clock and is valid that
        # much longer.  If its job were deleted earlier, a resubmission would
        # run as a new job.
        self.jobs = jobs.Jobs(cfg.retention_seconds + cfg.key_skew_seconds)
        self.takeover = takeover.Takeover(
            name, cfg.retention_seconds, cfg.key_skew_seconds
        )
        self._agents = agentlist.AgentList(dispatcher, cfg.agent_lost_seconds)
        self._name = name
        self._incarnation = incarnation
        self._cfg = cfg
        self._config = config
        self._dispatch = dispatcher
        self._deadlines: list[tuple[float, types.JobKey]] = []
        self._lease_expired_at = math.inf
        self.zone_work = zonework.ZoneCounter()

    @property
    def agents(self) -> dict[types.PeerName, messages.Hello]:
        """The connected agents by name."""
        return self._agents.connected

    # Requests.

    def answer_resubmission(
        self, spec: types.JobSpec, waiter: jobs.Waiter
    ) -> list[object] | None:
        """Answer a request to submit a job whose key is known.

        :returns: effects that send the answer, none while the job runs;
            ``None`` if this entry has no record of the key.
        """
        refusal = self.jobs.get_refusal(spec.key)
        if refusal is not None:
            return answers.deliver((waiter,), refusal)
        job = self.jobs.get(spec.key)
        if job is None:
            return None
        if job.spec.digest != spec.digest or job.spec.team != spec.team:
            answer = answers.build_key_reused(spec.key, self._name)
            return answers.deliver((waiter,), answer)
        if job.answer is not None:
            return answers.deliver((waiter,), job.answer)
        job.waiters.append(waiter)
        return []

    def check_key(
        self, spec: types.JobSpec, waiter: jobs.Waiter, now: float
    ) -> list[object] | None:
        """Answer a request whose key is invalid.

        :returns: effects that send the answer; ``None`` if the key is valid.
        """
        fault = ownership.check_key(
            spec.key,
            now,
            self._cfg.retention_seconds,
            self._cfg.key_skew_seconds,
        )
        if fault is None:
            return None
        answer = answers.build_bad_key(spec.key, fault, self._name)
        return answers.deliver((waiter,), answer)

    def adopt(
        self,
        spec: types.JobSpec,
        waiter: jobs.Waiter,
        members: takeover.Members,
        now: float,
    ) -> list[object] | None:
        """Take over a resubmitted job of a removed entry.

        :returns: effects of the takeover; ``None`` if no removed entry can
            have started tasks of the job.
        """
        if not self.takeover.may_have_started(spec.key, members):
            return None
        if not self.takeover.is_complete(spec.key, members, self.agents, now):
            answer = answers.build_takeover_pending(spec.key, self._name)
            return answers.deliver((waiter,), answer)
        if not self.takeover.matches(spec):
            answer = answers.build_key_reused(spec.key, self._name)
            return answers.deliver((waiter,), answer)
        job = self.jobs.add(spec, now)
        job.waiters.append(waiter)
        heapq.heappush(self._deadlines, (spec.deadline, spec.key))
        takeover.adopt(job, self.takeover.pop(spec.key), self.agents)
        return [
            core.note('job_adopted', job=spec.key, open=job.open_count),
            *self._end_if_complete(job, now),
        ]

    def submit(
        self, spec: types.JobSpec, waiter: jobs.Waiter, now: float
    ) -> list[object]:
        """Admit or refuse a job under a new key."""
        refusal = self._admit(spec, now)
        if refusal is not None:
            return self.refuse(spec, refusal, waiter, now)
        job = self.jobs.add(spec, now)
        job.waiters.append(waiter)
        heapq.heappush(self._deadlines, (spec.deadline, spec.key))
        self._dispatch.enqueue(spec, now)
        count = len(spec.tasks)
        return [
            core.note(
                'job_admitted', job=spec.key, team=spec.team, tasks=count
            )
        ]

    def refuse(
        self,
        spec: types.JobSpec,
        refusal: dispatch.Refusal,
        waiter: jobs.Waiter,
        now: float,
    ) -> list[object]:
        """Refuse a job and store the refusal for later copies of the request.

        The same key is refused as long as the refusal is stored.
        """
        answer = answers.build_refused(spec.key, refusal, self._name)
        self.jobs.refuse(answer, now)
        return [
            core.note('job_refused', job=spec.key, code=refusal.code),
            *answers.deliver((waiter,), answer),
        ]

    def send_status(
        self, key: types.JobKey, team: str, waiter: jobs.Waiter
    ) -> list[object]:
        """Send the state of a job to a waiter.

        :param team: team that must own the job; empty where callers have no
            tokens, from which their team is read.
        """
        job = self.jobs.get(key)
        if job is None or team not in ('', job.spec.team):
            answer = self.jobs.get_refusal(key)
            if answer is None and self.takeover.has_reports(key):
                answer = answers.build_submit_again(key, self._name)
            answer = answer or answers.build_unknown_job(key, self._name)
            return answers.deliver((waiter,), answer)
        return answers.deliver((waiter,), job.answer or job.build_pending())

    def cancel(
        self, key: types.JobKey, team: str, waiter: jobs.Waiter, now: float
    ) -> list[object]:
        """Cancel a job: drop its queued tasks and stop its running ones."""
        job = self.jobs.get(key)
        if job is None or job.ended or team not in ('', job.spec.team):
            return self.send_status(key, team, waiter)
        job.cancelled = True
        for index in self._dispatch.drop(key):
            job.end_task(
                index,
                types.Outcome.NOT_RUN,
                reason=jobs.CODE_CANCELLED,
                step='cancel',
                peer=self._name,
            )
        return [
            core.note('job_cancelled', job=key),
            *self._stop_at_agents(job),
            *self._end_if_complete(job, now),
            *self.send_status(key, team, waiter),
        ]

    # Agents.

    def on_orphans(
        self, peer: types.PeerName, message: messages.Orphans, now: float
    ) -> list[object]:
        """Handle an agent's reports on the tasks of a removed entry."""
        hello = self.agents.get(peer)
        if hello is not None:
            self.takeover.on_orphans(peer, hello.incarnation, message)
        return []

    def on_agent_up(self, hello: messages.Hello, now: float) -> list[object]:
        """Request the state of an agent's open tasks when it connects.

        Tasks that an earlier incarnation of the agent started end as unknown.
        """
        name = hello.name
        self._agents.add(hello)
        effects: list[object] = []
        refs = []
        for job, ref, incarnation in self.jobs.list_open_tasks(name):
            if incarnation == hello.incarnation:
                refs.append(ref)
            else:
                effects += self._end_unknown(job, ref.index, name, now)
        if refs:
            settle = messages.Settle(hello.incarnation, tuple(refs))
            effects.append(core.Send(name, settle))
        return effects

    def on_agent_down(self, name: types.PeerName, now: float) -> None:
        """Remove a disconnected agent and start its reconnect timeout."""
        self._agents.remove(name, now)

    def on_offer(
        self, peer: types.PeerName, message: messages.Offer, now: float
    ) -> list[object]:
        """Handle an agent's offer of slots."""
        if self._agents.is_current(peer, message.agent_incarnation):
            self._agents.update_offer(peer, message, now)
        return []

    def set_leaving(
        self, leaving: frozenset[types.PeerName], now: float
    ) -> None:
        """Place no tasks at agents that operators have marked as leaving."""
        self._agents.set_leaving(leaving, now)

    def on_results(
        self, peer: types.PeerName, message: messages.Results, now: float
    ) -> list[object]:
        """Handle an agent's task reports and the slots it grants."""
        if not self._agents.is_current(peer, message.agent_incarnation):
            return []
        effects: list[object] = []
        for report in message.reports:
            effects += self._on_report(peer, report, now)
        self._dispatch.set_credits(peer, message.credits, now)
        return effects

    def _on_report(
        self, agent: types.PeerName, report: messages.TaskReport, now: float
    ) -> list[object]:
        job = self.jobs.get(report.job)
        if job is None:
            self.takeover.on_result(agent, report)
            return []
        if report.index >= len(job.tasks):
            return []
        record = job.tasks[report.index]
        # A late report may be about an attempt before the current one.
        if record.agent != agent or record.attempt != report.attempt:
            return []
        if report.state == types.TaskState.REFUSED and record.adopted:
            # This attempt wasn't sent in time, but the task's former owner may
            # have had other attempts: the outcome is unknown.
            report = dataclasses.replace(
                report, state=types.TaskState.LOST.value
            )
        if report.state == types.TaskState.REFUSED:
            return self._on_refusal(job, agent, report, now)
        if report.state not in _OUTCOMES:
            return []
        return self._on_end_report(job, agent, report, now)

    def _on_refusal(
        self,
        job: jobs.Job,
        agent: types.PeerName,
        report: messages.TaskReport,
        now: float,
    ) -> list[object]:
        self._dispatch.release_slot(agent, job.spec.team, now)
        record = job.tasks[report.index]
        record.agent = ''
        self.zone_work.count_end(agent)
        if record.answer is not None:
            return []
        task = dispatch.QueuedTask(job.spec, report.index, record.attempt)
        if not job.cancelled and self._dispatch.schedule_retry(
            task, agent, now
        ):
            return []
        job.end_task(
            report.index,
            types.Outcome.NOT_RUN,
            reason=report.reason,
            step='start',
            peer=agent,
        )
        return self._end_if_complete(job, now)

    def _on_end_report(
        self,
        job: jobs.Job,
        agent: types.PeerName,
        report: messages.TaskReport,
        now: float,
    ) -> list[object]:
        outcome = _OUTCOMES[types.TaskState(report.state)]
        ok = outcome == types.Outcome.FINISHED
        # The slot of an adopted task was never leased to this entry.
        if not job.tasks[report.index].adopted:
            self._dispatch.record_outcome(
                agent, job.spec, report.index, ok, report.seconds, now
            )
        job.end_task(
            report.index, outcome, report.body, report.reason, 'run', agent
        )
        # A second copy of the report must not release the slot again.
        job.tasks[report.index].agent = ''
        self.zone_work.count_end(agent)
        return self._end_if_complete(job, now)

    # Time.

    def on_tick(self, now: float) -> list[object]:
        """Delete old jobs, and end the tasks of agents that are lost."""
        self.jobs.delete_expired(now)
        self.takeover.delete_expired(now)
        effects: list[object] = []
        for name in self._agents.pop_expired(now):
            effects += self._on_agent_lost(name, now)
        return effects

    def advance(self, now: float) -> list[object]:
        """End jobs at their deadlines and place queued tasks."""
        snapshot = self._config.permits(now)
        if snapshot.lease_end > now:
            self._lease_expired_at = math.inf
        else:
            self._lease_expired_at = min(self._lease_expired_at, now)
        effects: list[object] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, key = heapq.heappop(self._deadlines)
            job = self.jobs.get(key)
            if job is not None and not job.ended:
                effects += self._end_at_deadline(job, now)
        effects += self._place(snapshot, now)
        effects += self._dispatch.pop_notes()
        wakes = [self._deadlines[0][0]] if self._deadlines else []
        wake = self._dispatch.next_wake(now)
        if wake is not None:
            wakes.append(wake)
        if wakes:
            effects.append(core.WakeAt(min(wakes)))
        return effects

    def _admit(
        self, spec: types.JobSpec, now: float
    ) -> dispatch.Refusal | None:
        if now >= self._lease_expired_at + LEASE_GRACE_SECONDS:
            return dispatch.Refusal(
                answers.CODE_NO_LEASE,
                'this entry may start nothing until it reads the '
                'configuration again',
                forwarding.RETRY_AFTER_SECONDS,
            )
        snapshot = self._config.permits(now)
        return self._dispatch.admit(
            spec, lambda zone: now < snapshot.find_departure_time(zone), now
        )

    def _stop_at_agents(self, job: jobs.Job) -> list[object]:
        stop = messages.StopJob(job.spec.key, ACTION_STOP)
        return [core.Send(agent, stop) for agent in job.list_agents()]

    def _end_at_deadline(self, job: jobs.Job, now: float) -> list[object]:
        effects = self._stop_at_agents(job)
        self._dispatch.drop(job.spec.key)
        for index, record in enumerate(job.tasks):
            started = bool(record.agent)
            job.end_task(
                index,
                types.Outcome.UNKNOWN if started else types.Outcome.NOT_RUN,
                reason=jobs.CODE_DEADLINE,
                step='run' if started else 'queue',
                peer=record.agent or self._name,
            )
        effects.append(core.note('job_deadline', job=job.spec.key))
        return effects + self._end_if_complete(job, now)

    def _end_if_complete(self, job: jobs.Job, now: float) -> list[object]:
        ended_job = self.jobs.end_if_complete(job, now)
        if ended_job is None:
            return []
        status = ended_job.answer.status
        return [
            core.note('job_ended', job=job.spec.key, status=status),
            *answers.deliver(ended_job.waiters, ended_job.answer),
        ]

    def _place(self, snapshot: permits.Snapshot, now: float) -> list[object]:
        if not self._dispatch.count_waiting() or snapshot.lease_end <= now:
            return []

        def zone_share(zone: str) -> float:
            if snapshot.start_before(zone) <= now:
                return 0.0
            return zones.get_share(snapshot.zone(zone), now)

        placements = self._dispatch.place(zone_share, now)
        effects: list[object] = [
            self._start_placement(placement, snapshot, now)
            for placement in placements
        ]
        for agent, want in self._dispatch.create_slot_requests(now):
            effects.append(core.Send(agent, messages.Ask(want)))
        return effects

    def _start_placement(
        self,
        placement: dispatch.Placement,
        snapshot: permits.Snapshot,
        now: float,
    ) -> core.Send:
        agent = placement.agent
        zone = self.agents[agent].zone
        count = len(placement.tasks)
        self.zone_work.count_starts(agent, zone, count, now)
        sender = starting.Sender(
            self._name, self._incarnation, self._config.version
        )
        message = starting.build_starts(
            sender,
            placement,
            self.jobs,
            snapshot.start_before(zone),
            self._dispatch.compute_demand(now),
        )
        return core.Send(agent, message)

    def _on_agent_lost(self, name: types.PeerName, now: float) -> list[object]:
        self.zone_work.drop_agent(name)
        effects: list[object] = [core.note('agent_lost', agent=name)]
        for job, ref, _ in self.jobs.list_open_tasks(name):
            effects += self._end_unknown(job, ref.index, name, now)
        return effects

    def _end_unknown(
        self, job: jobs.Job, index: int, agent: types.PeerName, now: float
    ) -> list[object]:
        """End a task with an unknown outcome because its agent is lost.

        The task is never started again: it may have taken effect, and a task
        that files a quote, for example, would file it twice.
        """
        job.end_task(
            index,
            types.Outcome.UNKNOWN,
            reason=REASON_AGENT_LOST,
            step='run',
            peer=agent,
        )
        return self._end_if_complete(job, now)
