"""The agent's reducer, through which every task of an upstream is started.

The agent connects to the entries, leases its upstream's slots to them, starts
each task at most once, reports the outcome, and drains.  It doesn't read the
cluster's configuration: entries send it the members in ``Members`` messages,
and every start message contains the time before which its tasks may start.
"""

import dataclasses

from agatepick.agentside import entries
from agatepick.agentside import ledger
from agatepick.agentside import reporting
from agatepick.agentside import running
from agatepick.agentside import slots
from agatepick.agentside import startcheck
from agatepick.agentside import upstream
from agatepick.conf import settings
from agatepick import core
from agatepick.net import clocks
from agatepick.net import messages
from agatepick.owning import ownership
from agatepick.owning import successors
from agatepick import types

KEY_GRACE_SECONDS = 60.0
"""Time for which a key stays valid at an agent after the retention window.  A
job that is admitted at the end of the window starts its tasks a little later.
"""
MAX_TICK_GAP_SECONDS = 1.0
"""Time between two ticks above which this process must have been paused; it is
four times the usual interval."""
MAX_RESULT_WAIT_SECONDS = 5.0
"""How long a stopping agent waits for disconnected entries to return and
request their tasks' results."""

REASON_INCARNATION = 'other_incarnation'
REASON_ANNOUNCEMENT_EXPIRED = 'upstream_lapsed'
REASON_REMOVED = 'owner_removed'
REASON_RESTARTED = 'upstream_restarted'
REASON_NOT_STARTED_AT_SETTLE = 'settled'
REASON_STOPPED = 'job_stopped'


@dataclasses.dataclass(frozen=True, slots=True)
class AgentConfig:
    """Configuration of an agent's reducer.

    :param seeds: addresses of entries, ``ip:port``.
    :param retention_seconds: seconds for which a job's key is valid.
    :param skew_seconds: seconds that a key may be stamped ahead of a clock.
    :param clock_margin_seconds: largest offset between the agent's clock and
        an entry's at which the agent starts that entry's tasks.
    :param max_result_delay_seconds: longest time that a report is held for
        batching.
    :param lease_seconds: longest term of an upstream's announcement.
    :param max_tasks: number of recorded attempts from which on the agent
        refuses new ones.
    :param max_body_bytes: limit of all stored answers of tasks together.
    """

    name: types.PeerName
    zone: str = ''
    rack: str = ''
    seeds: tuple[str, ...] = ()
    retention_seconds: float = ownership.KEY_WINDOW_SECONDS
    skew_seconds: float = ownership.KEY_SKEW_SECONDS
    clock_margin_seconds: float = 0.25
    max_result_delay_seconds: float = 0.002
    lease_seconds: float = 5.0
    max_tasks: int = ledger.MAX_TASKS
    max_body_bytes: int = ledger.MAX_STORED_BODY_BYTES

    @classmethod
    def from_settings(cls, cfg: settings.AgentSettings) -> 'AgentConfig':
        """Return the reducer's part of the settings."""
        return cls(
            name=cfg.process.name,
            zone=cfg.process.zone,
            rack=cfg.process.rack,
            seeds=cfg.entries.seeds,
            retention_seconds=cfg.timing.retention_seconds,
            skew_seconds=cfg.timing.skew_seconds,
            clock_margin_seconds=cfg.timing.margin_seconds,
            lease_seconds=cfg.upstream.lease_seconds,
        )


class Agent:
    """One incarnation of an agent."""

    def __init__(self, cfg: AgentConfig, incarnation: int):
        self._cfg = cfg
        self._incarnation = incarnation
        self._ledger = ledger.Ledger(
            cfg.retention_seconds + KEY_GRACE_SECONDS,
            cfg.skew_seconds + cfg.clock_margin_seconds,
            cfg.max_tasks,
            cfg.max_body_bytes,
        )
        self._slots = slots.Slots()
        self._upstream_state = running.UpstreamState(cfg.lease_seconds)
        self._entries = entries.Entries(cfg.seeds)
        self._successors = successors.Successors(cfg.skew_seconds)
        self._reporting = reporting.Reporting(
            incarnation,
            cfg.max_result_delay_seconds,
            self._ledger,
            self._slots,
            self._entries,
            self._successors,
        )
        self._last_tick_at: float | None = None
        self._stopping_at: float | None = None
        self._exited = False

    @classmethod
    def from_config(cls, cfg: AgentConfig, incarnation: int) -> 'Agent':
        """Return an agent that has just started.

        :param incarnation: number that no earlier process of this agent had.
        """
        return cls(cfg, incarnation)

    def reduce(self, event: object, now: float) -> list[object]:
        """Handle one event and return its effects in order of execution."""
        effects = self._handle_event(event, now)
        effects += self._reporting.flush(
            self._upstream_state, self._is_draining, now
        )
        effects += self._exit_when_done(now)
        wake_at = self._reporting.next_due_at()
        if wake_at is not None:
            effects.append(core.WakeAt(wake_at))
        return effects

    def _handle_event(self, event: object, now: float) -> list[object]:
        match event:
            case core.Received():
                return self._on_received(event.peer, event.message, now)
            case upstream.TaskEnded():
                return self._on_task_ended(event, now)
            case core.Tick():
                return self._on_tick(now)
            case core.PeerUp():
                return self._on_peer_up(event.hello)
            case core.PeerDown():
                return self._on_peer_down(event)
            case upstream.Announced():
                return self._on_announced(event, now)
            case upstream.UpstreamLeft():
                return self._resize_if_changed(
                    self._upstream_state.mark_leaving(event.session)
                )
            case upstream.UpstreamGone():
                return self._resize_if_changed(
                    self._upstream_state.mark_unreachable(event.session)
                )
            case core.StopRequested():
                return self._on_stop(now)
        return [core.note('unexpected_event', kind=type(event).__name__)]

    def _on_received(
        self, peer: types.PeerName, message: messages.Message, now: float
    ) -> list[object]:
        entry = self._entries.get(peer)
        if entry is None:
            return [core.note('unexpected_peer', peer=peer)]
        match message:
            case messages.Starts():
                return self._on_starts(entry, message, now)
            case messages.Settle():
                return self._on_settle(entry, message, now)
            case messages.Ask():
                self._slots.set_demand(entry.owner, message.want)
                return []
            case messages.StopJob():
                return self._on_stop_job(entry, message, now)
            case messages.Pong():
                return self._on_pong(entry, message, now)
            case messages.Members():
                return self._on_members(message, now)
            case messages.Goodbye():
                self._reporting.leave(entry)
                return []
        kind = type(message).__name__
        return [core.note('unexpected_message', peer=peer, kind=kind)]

    # Entries

    def _on_peer_up(self, hello: messages.Hello) -> list[object]:
        if hello.role != entries.ROLE_ENTRY:
            return [core.note('not_an_entry', peer=hello.name)]
        old_entry = self._entries.get(hello.name)
        if old_entry is not None:
            self._reporting.leave(old_entry)
        return self._reporting.build_orphans(self._entries.add(hello))

    def _on_peer_down(self, event: core.PeerDown) -> list[object]:
        entry = self._entries.remove(event.peer, event.incarnation)
        if entry is not None:
            self._reporting.leave(entry)
        return []

    def _on_pong(
        self, entry: entries.ConnectedEntry, message: messages.Pong, now: float
    ) -> list[object]:
        sample = clocks.compute_offset(
            message.sent, message.received, message.replied, now
        )
        entry.clock.add(sample)
        if not entry.joined and not self._successors.is_removed(entry.owner):
            # An entry gets credits after the first clock sample, as all its
            # starts would be refused without one.
            self._reporting.join(entry)
        return []

    def _on_members(
        self, message: messages.Members, now: float
    ) -> list[object]:
        if not self._successors.update_members(message):
            return []
        dials = self._entries.dial_listed(self._successors.list_members())
        return dials + self._report_to_successors(now)

    def _report_to_successors(self, now: float) -> list[object]:
        """Return the reports to successors after a removal came into force.

        The reports are about the tasks of removed entries, and are sent again
        after each change of the members.  A connected entry whose own removal
        is in force loses its credits.
        """
        if not self._successors.update_removals(now):
            return []
        effects: list[object] = []
        for entry in self._entries:
            if self._successors.is_removed(entry.owner):
                self._reporting.leave(entry)
            else:
                effects += self._reporting.build_orphans(entry)
        return effects

    # Tasks: starts, ends, ``Settle`` requests.

    def _on_starts(
        self,
        entry: entries.ConnectedEntry,
        message: messages.Starts,
        now: float,
    ) -> list[object]:
        owner = ledger.EntryId(message.owner, message.owner_incarnation)
        if owner != entry.owner:
            # An earlier incarnation of the entry sent this message, which was
            # delayed; no caller waits for an answer of that incarnation.
            return [core.note('not_its_owner', peer=entry.owner.name)]
        effects: list[object] = []
        permit = startcheck.Permit(message.start_before, entry.clock.best)
        for task in message.tasks:
            report = self._find_report(message.agent_incarnation, task, now)
            if report is None:
                reason = self._find_refusal(entry, permit, task, now)
                if not reason:
                    self._ledger.start(task, owner, now)
                    self._slots.acquire(owner)
                    effects.append(
                        self._upstream_state.start(
                            task, owner, permit.find_end()
                        )
                    )
                    continue
                report = self._ledger.refuse(task, owner, reason, now)
            self._reporting.report_now(owner, report)
        self._slots.set_demand(owner, message.waiting)
        return effects

    def _find_report(
        self,
        incarnation: int,
        ref: messages.StartTask | messages.TaskRef,
        now: float,
    ) -> messages.TaskReport | None:
        if incarnation == self._incarnation:
            return self._ledger.find_report(ref, now)
        # A copy of the message may have reached the incarnation that it
        # names, so "not run" could be false.
        return messages.TaskReport(
            ref.job,
            ref.index,
            ref.attempt,
            types.TaskState.LOST.value,
            reason=REASON_INCARNATION,
        )

    def _find_refusal(
        self,
        entry: entries.ConnectedEntry,
        permit: startcheck.Permit,
        task: messages.StartTask,
        now: float,
    ) -> str:
        """Return the reason to refuse a new attempt; empty if it may start."""
        if self._stopping_at is not None:
            return startcheck.REASON_LEAVING
        if self._successors.is_removed(entry.owner):
            return REASON_REMOVED
        if self._ledger.is_stopped(task.job):
            return REASON_STOPPED
        if self._ledger.is_full():
            return ledger.REASON_FULL
        return permit.find_fault(
            self._cfg.clock_margin_seconds, now
        ) or startcheck.find_capacity_fault(
            task, self._upstream_state, self._slots
        )

    def _on_task_ended(
        self, event: upstream.TaskEnded, now: float
    ) -> list[object]:
        task = self._upstream_state.end(event.job, event.index, event.attempt)
        if task is None:
            return []
        self._slots.release(task.entry)
        report = self._ledger.end(
            event.job,
            event.index,
            event.state,
            now,
            event.body,
            event.reason,
            event.seconds,
        )
        self._reporting.report_end(report)
        return []

    def _on_settle(
        self,
        entry: entries.ConnectedEntry,
        message: messages.Settle,
        now: float,
    ) -> list[object]:
        self._reporting.clear_undelivered(entry.owner)
        for ref in message.tasks:
            report = self._find_report(message.agent_incarnation, ref, now)
            if report is None:
                report = self._ledger.refuse(
                    ref, entry.owner, REASON_NOT_STARTED_AT_SETTLE, now
                )
            self._reporting.report_now(entry.owner, report)
        return []

    def _on_stop_job(
        self,
        entry: entries.ConnectedEntry,
        message: messages.StopJob,
        now: float,
    ) -> list[object]:
        try:
            action = upstream.Action(message.action)
        except ValueError:
            return [core.note('unknown_action', action=message.action)]
        if action is upstream.Action.STOP:
            indexes = self._ledger.stop(message.job, entry.owner, now)
        else:
            indexes = self._ledger.list_running(message.job)
        return [
            *self._upstream_state.request_action(message.job, indexes, action)
        ]

    # The upstream: announcement, expiry, draining.

    @property
    def _is_draining(self) -> bool:
        return self._upstream_state.leaving or self._stopping_at is not None

    def _on_announced(
        self, event: upstream.Announced, now: float
    ) -> list[object]:
        old_state = (self._upstream_state.announced, self._is_draining)
        lost_tasks = self._upstream_state.set_announcement(event, now)
        for task in lost_tasks:
            self._slots.release(task.entry)
        self._reporting.report_lost(lost_tasks, REASON_RESTARTED, now)
        return self._resize_if_changed(old_state != (event, self._is_draining))

    def _resize_if_changed(self, changed: bool) -> list[object]:
        if changed:
            self._resize()
        return []

    def _resize(self) -> None:
        announced = self._upstream_state.announced
        serving = announced is not None and not self._is_draining
        self._slots.resize(announced.slots if announced and serving else 0)
        self._reporting.offer_all()

    def _on_tick(self, now: float) -> list[object]:
        previous_tick_at, self._last_tick_at = self._last_tick_at, now
        if (
            previous_tick_at is not None
            and now - previous_tick_at > MAX_TICK_GAP_SECONDS
        ):
            # Renewals that arrived during the pause are still in the sockets.
            # Unless the term is extended, the announcement would expire
            # before they are read, and all running tasks would end as lost.
            self._upstream_state.extend_term(now)
        lost_tasks = self._upstream_state.expire(now)
        if lost_tasks is not None:
            self._reporting.report_lost(
                lost_tasks, REASON_ANNOUNCEMENT_EXPIRED, now
            )
            self._resize()
        self._ledger.delete_expired(now)
        return [*self._entries.dial_seeds(), *self._report_to_successors(now)]

    def _on_stop(self, now: float) -> list[object]:
        if self._stopping_at is None:
            self._stopping_at = now
            self._resize()
        return []

    def _exit_when_done(self, now: float) -> list[object]:
        """Exit once no task runs and all results have been sent."""
        if (
            self._stopping_at is None
            or self._exited
            or len(self._upstream_state)
        ):
            return []
        wait_over = now - self._stopping_at >= MAX_RESULT_WAIT_SECONDS
        if self._reporting.next_due_at() is not None:
            return []
        if self._reporting.has_undelivered() and not wait_over:
            return []
        self._exited = True
        goodbyes = [
            core.Send(entry.owner.name, messages.Goodbye('stopped'))
            for entry in self._entries
        ]
        return [*goodbyes, core.Exit()]
