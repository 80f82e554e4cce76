"""Reducer of an agent, which controls all runs at its worker.

The agent divides the worker's free capacity among the entries, starts their
runs, extends the worker's lease as long as the entries renew theirs, stops
runs whose lease isn't renewed, and reports how each run ended.
"""

import dataclasses
import typing

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import crash_evidence
from agatepick.repeatable import events
from agatepick.repeatable import faults
from agatepick.repeatable import health
from agatepick.repeatable import identification
from agatepick.repeatable import leases
from agatepick.repeatable import policies
from agatepick.repeatable import publishing
from agatepick.repeatable import reports
from agatepick.repeatable import requested_starts
from agatepick.repeatable import run_controller
from agatepick.repeatable import runs
from agatepick.repeatable import serving
from agatepick.repeatable import sharing
from agatepick.repeatable import speeds
from agatepick.repeatable import workerapi
from agatepick import types

ROLE_ENTRY = 'entry'

STOP_RUNS_SECONDS = 4.0
"""Time after which a stopping agent stops the remaining runs, so that its
entries receive the reports and restart the tasks elsewhere before the process
is killed, 6 s after the request to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class AgentConfig:
    """Settings that an agent needs."""

    name: types.PeerName
    zone: str
    switches: policies.Policies = policies.Policies()


_MessageHandler = typing.Callable[
    [runs.Owner, typing.Any, float], list[object]
]


class Agent:
    """Reducer of one agent process, beside one worker."""

    def __init__(self, cfg: AgentConfig, incarnation: int):
        self._cfg = cfg
        self._incarnation = incarnation
        self._capacity = sharing.SharedCapacity(cfg.switches.capacity_guard)
        self._health = health.Health()
        self._usual_speed = speeds.UsualSpeed(cfg.switches.worker_speeds)
        self._publisher = publishing.Publisher(
            incarnation, self._capacity, self._health, self._usual_speed
        )
        self._owners: dict[types.PeerName, runs.Owner] = {}
        self._reports = reports.Reports()
        self._crashes = crash_evidence.CrashEvidence(
            self._reports, cfg.switches.crash_guard
        )
        self._controller = run_controller.RunController(
            self._capacity,
            self._health,
            self._reports,
            self._publisher.clear_capacity,
            self._usual_speed,
            self._crashes,
        )
        self._identification = identification.Identification(self._controller)
        self._serving = serving.Serving(cfg.name)
        # None until the operator's rows are read: an agent that starts while
        # the store is unavailable can't determine whether its zone is closed,
        # and would start tasks in a zone that operators closed long ago.
        self._closed_zones: frozenset[str] | None = None
        self._stopping_at: float | None = None
        self._renewed_at = 0.0
        self._starts = requested_starts.RequestedStarts(
            self._capacity,
            self._publisher,
            self._controller,
            self._crashes,
            self._is_open,
        )
        self._handlers: dict[type, core.Handler] = {
            core.Received: self._on_received,
            core.PeerUp: self._on_peer_up,
            core.PeerDown: self._on_peer_down,
            core.SendFailed: self._on_send_failed,
            core.Tick: self._on_tick,
            core.StopRequested: self._on_stop,
            events.EntriesListed: self._on_listed,
            events.ZonesClosed: self._on_zones,
            events.PoolsNamed: self._on_pools,
            workerapi.WorkerAnnounced: (
                self._identification.handle_announcement
            ),
            workerapi.WorkerIdentified: self._identification.handle_answer,
            workerapi.WorkerLeft: self._controller.handle_departure,
            workerapi.SlownessRecalled: self._on_slowness_recalled,
            workerapi.StartAnswered: self._controller.handle_start_answer,
            workerapi.StopAnswered: self._controller.handle_stop_answer,
            workerapi.ListsReceived: self._on_lists,
            workerapi.ListsFailed: self._controller.handle_list_failure,
            workerapi.WatchEnded: self._controller.handle_watch_end,
            workerapi.OtherIncarnationAnswered: (
                self._controller.handle_other_incarnation
            ),
        }
        self._message_handlers: dict[type, _MessageHandler] = {
            messages.StartRuns: self._starts.handle,
            messages.StopRuns: self._handle_stops,
            messages.Want: self._handle_want,
            messages.Renewed: self._handle_renewed,
        }
        self._later_steps: tuple[
            tuple[str, typing.Callable[[float], list[object]]], ...
        ] = (
            ('identity', self._identification.ask),
            ('lists', self._request_lists),
            ('reports', self._reports.flush),
            ('overdue', self._record_overdue_runs),
            ('stops', self._controller.note_overdue_stops),
            ('publish', self._publish),
            ('stop', self._finish_stop),
            ('wake', self._wake),
        )

    @classmethod
    def from_config(cls, cfg: AgentConfig, incarnation: int) -> 'Agent':
        """Return an agent that has just started.

        :param incarnation: number that no earlier process of this agent had.
        """
        return cls(cfg, incarnation)

    def reduce(self, event: object, now: float) -> list[object]:
        """Handle one event and return the effects to carry out, in order."""
        handler = self._handlers.get(type(event))
        if handler is None:
            return [core.note('unexpected_event', kind=type(event).__name__)]
        effects = self._handle(handler, event, now)
        for where, step in self._later_steps:
            effects += faults.contain(where, step, now)
        return effects

    def _handle(
        self, handler: core.Handler, event: object, now: float
    ) -> list[object]:
        # Runs whose lease has expired are stopped before the event is handled,
        # so that a late renewal can't revive them.
        try:
            effects = self._controller.enforce_leases(now)
            self._starts.leases_enforced = True
        except Exception as exc:
            # A run that should have been stopped may go on: nothing extends
            # the worker's lease, so that the worker ends it.
            effects = [faults.note('leases', exc)]
            self._starts.leases_enforced = False
            if _is_renewal(event):
                return effects
        return effects + faults.contain(
            type(event).__name__, handler, event, now
        )

    def gauges(self, now: float) -> dict[str, float]:
        """Return the agent's gauges by name; see ``measures.GAUGES``."""
        return {
            'runs': len(self._controller.runs),
            'runs_unwanted': self._controller.count_unwanted(now),
            'entries': sum(owner.connected for owner in self._owners.values()),
            'worker_open': float(self._is_open(now)),
            'free_cores': self._capacity.free.cpu,
            'worker_slowness': self._usual_speed.slowness,
            'over_committed_cores': self._capacity.excess.cpu,
        }

    # Entries

    def _on_listed(
        self, event: events.EntriesListed, now: float
    ) -> list[object]:
        effects = self._serving.update_entries(event.entries)
        return effects + self._review_entries(now)

    def _review_entries(self, now: float) -> list[object]:
        """Connect to the entries to serve, and stop serving the others."""
        connected = {
            owner.name for owner in self._owners.values() if owner.connected
        }
        busy = {run.owner.name for run in self._controller.runs.values()}
        effects = self._serving.review(now, connected, busy)
        for owner in self._owners.values():
            leaving = self._serving.is_leaving(owner.name)
            if not owner.connected or owner.leaving == leaving:
                continue
            owner.leaving = leaving
            if leaving:
                self._capacity.remove_entry(owner.name)
            else:
                self._capacity.add_entry(owner.name)
        return effects

    def _on_peer_up(self, event: core.PeerUp, now: float) -> list[object]:
        hello = event.hello
        if hello.role != ROLE_ENTRY:
            return [core.note('not_an_entry', peer=hello.name)]
        owner = self._owners.get(hello.name)
        effects: list[object] = []
        if owner is None or owner.incarnation != hello.incarnation:
            if owner is not None:
                effects += self._abandon(owner, 'owner_restarted', now)
                self._reports.forget(owner)
            owner = runs.Owner(hello.name, hello.incarnation)
            self._owners[hello.name] = owner
        owner.connected = True
        owner.leaving = False
        owner.last_start_number = 0
        owner.payload_cache.clear()
        self._capacity.add_entry(hello.name)
        self._publisher.forget(hello.name)
        return [
            core.note('entry_up', peer=hello.name),
            *effects,
            core.Send(
                hello.name,
                self._reports.build_full_report(
                    owner, self._controller.runs.values(), now
                ),
            ),
            core.Send(hello.name, messages.Renewal(now)),
        ]

    def _on_peer_down(self, event: core.PeerDown, now: float) -> list[object]:
        owner = self._owners.get(event.peer)
        if owner is None or event.incarnation not in (0, owner.incarnation):
            return []
        if event.incarnation == 0 and owner.connected:
            # A second dial to this entry failed; its first connection is still
            # open.
            return []
        was_connected, owner.connected = owner.connected, False
        self._capacity.remove_entry(event.peer)
        effects: list[object] = []
        if was_connected:
            effects.append(core.note('entry_down', peer=event.peer))
        if event.dead:
            effects += self._abandon(owner, 'owner_dead', now)
        return effects

    def _on_send_failed(
        self, event: core.SendFailed, now: float
    ) -> list[object]:
        """Send reports again without the worker's text and times.

        Otherwise the entry would count the runs as going on.
        """
        effects: list[object] = [faults.note_unsent(event)]
        if isinstance(event.message, messages.RunReports):
            plain = reports.make_plain(event.message)
            if plain != event.message:
                effects.append(core.Send(event.peer, plain))
        return effects

    def _on_received(self, event: core.Received, now: float) -> list[object]:
        owner = self._owners.get(event.peer)
        handle = self._message_handlers.get(type(event.message))
        if owner is None or handle is None:
            return []
        return handle(owner, event.message, now)

    def _handle_renewed(
        self, owner: runs.Owner, message: messages.Renewed, now: float
    ) -> list[object]:
        until = message.sent + leases.ENTRY_LEASE_SECONDS
        owner.lease_until = max(owner.lease_until, until)
        owner.agent_count = message.agents
        owner.round_trip_seconds = now - message.sent
        self._capacity.update_grant_time(owner.name, owner.round_trip_seconds)
        return []

    def _handle_want(
        self, owner: runs.Owner, message: messages.Want, now: float
    ) -> list[object]:
        self._capacity.record_want(owner.name, message, now)
        return []

    def _handle_stops(
        self, owner: runs.Owner, message: messages.StopRuns, now: float
    ) -> list[object]:
        wanted = {(ref.job, ref.index): ref.run for ref in message.runs}
        effects: list[object] = []
        for run in list(self._controller.runs.values()):
            number = wanted.get((run.ref.job, run.ref.index))
            if run.owner is owner and number == run.ref.run:
                effects += self._controller.stop(run, now)
        return effects

    def _abandon(
        self, owner: runs.Owner, reason: str, now: float
    ) -> list[object]:
        """Stop all runs of an entry that has gone."""
        owner.lease_until = 0.0
        effects: list[object] = []
        for run in list(self._controller.runs.values()):
            if run.owner is owner and not run.stopping:
                effects.append(runs.run_note('run_abandoned', run, reason))
                effects += self._controller.stop(run, now)
        return effects

    # The worker

    def _is_open(self, now: float) -> bool:
        worker = self._controller.worker
        return (
            worker is not None
            and not worker.draining
            and self._stopping_at is None
            and self._closed_zones is not None
            and self._cfg.zone not in self._closed_zones
            and not self._controller.blocks_starts(now)
        )

    def _on_slowness_recalled(
        self, event: workerapi.SlownessRecalled, now: float
    ) -> list[object]:
        self._usual_speed.recall(event)
        return []

    def _on_lists(
        self, event: workerapi.ListsReceived, now: float
    ) -> list[object]:
        effects = self._controller.handle_lists(event, now)
        note_unowned = self._controller.note_unowned
        return effects + faults.contain('unowned', note_unowned, event, now)

    def _on_pools(self, event: events.PoolsNamed, now: float) -> list[object]:
        self._identification.pools = event.pools
        self._controller.update_guarding_pools(event.guarding)
        return []

    def _on_zones(self, event: events.ZonesClosed, now: float) -> list[object]:
        was_closed = self._cfg.zone in (self._closed_zones or ())
        closed = self._cfg.zone in event.zones
        self._closed_zones = event.zones
        if was_closed == closed:
            return []
        return [core.note('zone', zone=self._cfg.zone, closed=closed)]

    # Time

    def _on_tick(self, event: core.Tick, now: float) -> list[object]:
        effects: list[object] = []
        if now >= self._renewed_at + leases.RENEWAL_INTERVAL_SECONDS:
            self._renewed_at = now
            effects += [
                core.Send(
                    owner.name, messages.Renewal(now, owner.round_trip_seconds)
                )
                for owner in self._owners.values()
                if owner.connected
            ]
        effects += self._controller.check_announcements(now)
        return effects + self._review_entries(now)

    def _on_stop(self, event: core.StopRequested, now: float) -> list[object]:
        if self._stopping_at is None:
            self._stopping_at = now
        return [core.note('stopping', runs=len(self._controller.runs))]

    def _finish_stop(self, now: float) -> list[object]:
        if self._stopping_at is None:
            return []
        if not self._controller.runs:
            return [core.Exit()]
        if now < self._stopping_at + STOP_RUNS_SECONDS:
            return []
        effects: list[object] = []
        for run in self._controller.runs.values():
            if not run.stopping:
                effects += self._controller.stop(run, now)
        return effects

    def _request_lists(self, now: float) -> list[object]:
        if not self._starts.leases_enforced:
            return []
        return self._controller.request_lists(now)

    def _record_overdue_runs(self, now: float) -> list[object]:
        self._controller.record_overdue_runs(now)
        return []

    def _publish(self, now: float) -> list[object]:
        return self._publisher.publish(
            self._controller.worker, self._is_open(now), self._owners, now
        )

    def _wake(self, now: float) -> list[object]:
        return [core.WakeAt(self._next_wake(now))]

    def _next_wake(self, now: float) -> float:
        wakes = [self._renewed_at + leases.RENEWAL_INTERVAL_SECONDS]
        expiry = self._capacity.next_expiry()
        if expiry is not None:
            wakes.append(expiry)
        identify_at = self._identification.next_due()
        if identify_at is not None:
            wakes.append(identify_at)
        update_at = self._publisher.next_due()
        if update_at is not None:
            wakes.append(update_at)
        controller_at = self._controller.next_due(now)
        if controller_at is not None:
            wakes.append(controller_at)
        return max(now, min(wakes))


def _is_renewal(event: object) -> bool:
    return isinstance(event, core.Received) and isinstance(
        event.message, messages.Renewed
    )
