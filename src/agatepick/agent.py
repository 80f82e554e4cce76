"""The agent's reducer: every task start at an upstream passes through it.

It dials the entries, leases them its upstream's slots, starts each task at
most once, reports how it ended, and drains.  It never reads the cluster's
configuration: entries tell it the ``Members``, and every start carries the
instant before which it may happen.
"""

import dataclasses

from agatepick import clocks
from agatepick import core
from agatepick import entries
from agatepick import ledger
from agatepick import messages
from agatepick import outbox
from agatepick import ownership
from agatepick import running
from agatepick import settings
from agatepick import slots
from agatepick import successors
from agatepick import types
from agatepick import upstream

LATE_SECONDS = 60.0
"""A job let in at the end of the window starts its tasks a little later."""
PAUSE_SECONDS = 1.0
"""A gap between ticks that means this process was paused: four ticks."""
LINGER_SECONDS = 5.0
"""How long a stopping agent waits for an entry that it owes results."""

REASON_CLOCK = 'clock'
REASON_INCARNATION = 'other_incarnation'
REASON_KIND = 'kind'
REASON_LAPSED = 'upstream_lapsed'
REASON_LEAVING = 'leaving'
REASON_NO_ROOM = 'no_room'
REASON_NO_SLOT = 'no_slot'
REASON_NO_UPSTREAM = 'no_upstream'
REASON_REMOVED = 'owner_removed'
REASON_RESTARTED = 'upstream_restarted'
REASON_SETTLED = 'settled'
REASON_STOPPED = 'job_stopped'
REASON_TOO_LATE = 'start_too_late'


@dataclasses.dataclass(frozen=True, slots=True)
class AgentConfig:
    """What an agent needs to know.

    :param seeds: addresses of entries, ``ip:port``.
    :param retention_seconds: how long a job's key is served.
    :param skew_seconds: how far ahead a job's key may be stamped.
    :param clock_margin: offset from an entry's clock that is put up with.
    :param result_delay: seconds that a report waits for others at most.
    :param lease_seconds: longest term of an upstream's announcement.
    """

    name: types.PeerName
    zone: str = ''
    rack: str = ''
    seeds: tuple[str, ...] = ()
    retention_seconds: float = ownership.WINDOW
    skew_seconds: float = ownership.SKEW
    clock_margin: float = 0.25
    result_delay: float = 0.002
    lease_seconds: float = 5.0
    max_tasks: int = ledger.MAX_TASKS
    max_body_bytes: int = ledger.MAX_BODY_BYTES

    @classmethod
    def from_settings(cls, cfg: settings.AgentSettings) -> 'AgentConfig':
        """The part of the settings that the reducer needs."""
        return cls(
            name=cfg.process.name,
            zone=cfg.process.zone,
            rack=cfg.process.rack,
            seeds=cfg.entries.seeds,
            retention_seconds=cfg.timing.retention_seconds,
            skew_seconds=cfg.timing.skew_seconds,
            clock_margin=cfg.timing.margin_seconds,
            lease_seconds=cfg.upstream.lease_seconds,
        )


class Agent:
    """One agent, in one life of its process."""

    def __init__(self, cfg: AgentConfig, incarnation: int):
        self._cfg = cfg
        self._incarnation = incarnation
        self._ledger = ledger.Ledger(
            cfg.retention_seconds + LATE_SECONDS,
            cfg.skew_seconds + cfg.clock_margin,
            cfg.max_tasks,
            cfg.max_body_bytes,
        )
        self._slots = slots.Slots()
        self._outbox = outbox.Outbox(cfg.result_delay)
        self._running = running.Running(cfg.lease_seconds)
        self._entries = entries.Entries(cfg.seeds)
        self._successors = successors.Successors(cfg.skew_seconds)
        self._owed: set[ledger.Owner] = set()
        self._offer_to: set[ledger.Owner] = set()
        self._ticked_at: float | None = None
        self._stopping_at: float | None = None
        self._done = False

    @classmethod
    def from_config(cls, cfg: AgentConfig, incarnation: int) -> 'Agent':
        """An agent that has just started.

        :param incarnation: differs from that of every earlier life.
        """
        return cls(cfg, incarnation)

    def reduce(self, event: object, now: float) -> list[object]:
        """Take one event; the effects to carry out, in order."""
        effects = self._take(event, now)
        effects += self._send_due(now)
        effects += self._goodbye(now)
        at = self._outbox.next_at()
        if at is not None:
            effects.append(core.WakeAt(at))
        return effects

    def _take(self, event: object, now: float) -> list[object]:
        match event:
            case core.Received():
                return self._received(event.peer, event.message, now)
            case upstream.TaskEnded():
                return self._task_ended(event, now)
            case core.Tick():
                return self._tick(now)
            case core.PeerUp():
                return self._peer_up(event.hello)
            case core.PeerDown():
                return self._peer_down(event)
            case upstream.Announced():
                return self._announced(event, now)
            case upstream.UpstreamLeft():
                return self._upstream_left(event)
            case core.StopRequested():
                return self._stop(now)
        return [core.note('unexpected_event', kind=type(event).__name__)]

    def _received(
        self, peer: types.PeerName, message: messages.Message, now: float
    ) -> list[object]:
        entry = self._entries.get(peer)
        if entry is None:
            return [core.note('unexpected_peer', peer=peer)]
        match message:
            case messages.Starts():
                return self._starts(entry, message, now)
            case messages.Settle():
                return self._settle(entry, message, now)
            case messages.Ask():
                self._slots.want(entry.owner, message.want)
                return []
            case messages.StopJob():
                return self._stop_job(entry, message, now)
            case messages.Pong():
                return self._pong(entry, message, now)
            case messages.Members():
                return self._take_members(message, now)
            case messages.Goodbye():
                self._part(entry)
                return []
        kind = type(message).__name__
        return [core.note('unexpected_message', peer=peer, kind=kind)]

    # Entries

    def _peer_up(self, hello: messages.Hello) -> list[object]:
        if hello.role != entries.ROLE_ENTRY:
            return [core.note('not_an_entry', peer=hello.name)]
        before = self._entries.get(hello.name)
        if before is not None:
            self._part(before)
        return self._orphans_for(self._entries.up(hello))

    def _peer_down(self, event: core.PeerDown) -> list[object]:
        entry = self._entries.down(event.peer, event.incarnation)
        if entry is not None:
            self._part(entry)
        return []

    def _part(self, entry: entries.Entry) -> None:
        entry.joined = False
        self._slots.leave(entry.owner)
        self._offer_to.discard(entry.owner)
        if self._outbox.discard(entry.owner):
            self._owed.add(entry.owner)

    def _pong(
        self, entry: entries.Entry, message: messages.Pong, now: float
    ) -> list[object]:
        sample = clocks.offset(
            message.sent, message.received, message.replied, now
        )
        entry.clock.add(sample)
        if not entry.joined and not self._successors.lost(entry.owner):
            # Credits wait for the first sample: without it, every start
            # would have to be refused.
            entry.joined = True
            self._slots.join(entry.owner)
            self._offer_to.add(entry.owner)
        return []

    def _take_members(
        self, message: messages.Members, now: float
    ) -> list[object]:
        if not self._successors.take(message):
            return []
        dials = self._entries.dial_listed(self._successors.listed())
        return dials + self._take_over(now)

    def _take_over(self, now: float) -> list[object]:
        """Tell the heirs of entries whose removal is in force by now."""
        if not self._successors.advance(now):
            return []
        effects: list[object] = []
        for entry in self._entries:
            if self._successors.lost(entry.owner):
                self._part(entry)
            else:
                effects += self._orphans_for(entry)
        return effects

    def _orphans_for(self, entry: entries.Entry) -> list[object]:
        return [
            core.Send(entry.owner.name, message)
            for message in self._successors.orphans(entry.owner, self._ledger)
        ]

    # Tasks: starts, ends, questions.

    def _starts(
        self, entry: entries.Entry, message: messages.Starts, now: float
    ) -> list[object]:
        owner = ledger.Owner(message.owner, message.owner_incarnation)
        if owner != entry.owner:
            # Held up on the way since an earlier life of the entry; whoever
            # waited for the answer is gone.
            return [core.note('not_its_owner', peer=entry.owner.name)]
        effects: list[object] = []
        for task in message.tasks:
            report = self._answer(message.agent_incarnation, task, now)
            if report is None:
                reason = self._refusal(entry, message, task, now)
                if not reason:
                    effects.append(self._start(owner, task, now))
                    continue
                report = self._ledger.refuse(task, owner, reason, now)
            self._report(owner, report, hurry=True)
        self._slots.want(owner, message.waiting)
        return effects

    def _answer(
        self,
        incarnation: int,
        ref: messages.StartTask | messages.TaskRef,
        now: float,
    ) -> messages.TaskReport | None:
        if incarnation == self._incarnation:
            return self._ledger.known(ref, now)
        # A copy of the message may have reached the life that it names, so
        # "not run" could be false.
        return messages.TaskReport(
            ref.job,
            ref.index,
            ref.attempt,
            types.TaskState.LOST.value,
            reason=REASON_INCARNATION,
        )

    def _refusal(
        self,
        entry: entries.Entry,
        message: messages.Starts,
        task: messages.StartTask,
        now: float,
    ) -> str:
        """Why a new attempt is refused; empty if it may start."""
        announced = self._running.announced
        offset = entry.clock.best
        if announced is None:
            return REASON_NO_UPSTREAM
        if self._draining:
            return REASON_LEAVING
        if self._successors.lost(entry.owner):
            return REASON_REMOVED
        if self._ledger.stopped(task.job):
            return REASON_STOPPED
        if not offset.within(self._cfg.clock_margin):
            return REASON_CLOCK
        # The permit ends by the owner's clock; its end by ours may be
        # earlier by as much as the offset errs.
        if now >= message.start_before - offset.seconds - offset.error:
            return REASON_TOO_LATE
        if task.kind not in announced.kinds:
            return REASON_KIND
        if self._ledger.full():
            return ledger.REASON_FULL
        if self._slots.free <= 0:
            return REASON_NO_SLOT
        if not self._running.fits(task.needs):
            return REASON_NO_ROOM
        return ''

    def _start(
        self, owner: ledger.Owner, task: messages.StartTask, now: float
    ) -> upstream.RunTask:
        announced = self._running.announced
        assert announced is not None
        self._ledger.start(task, owner, now)
        self._slots.take(owner)
        self._running.add(
            running.RunningTask(
                task.job,
                task.index,
                task.attempt,
                owner,
                task.needs,
                announced.session,
            )
        )
        return upstream.RunTask(
            task.job,
            task.index,
            task.attempt,
            task.kind,
            task.payload,
            task.needs,
            task.deadline,
            announced.url,
            announced.session,
        )

    def _task_ended(
        self, event: upstream.TaskEnded, now: float
    ) -> list[object]:
        task = self._running.end(event.job, event.index, event.attempt)
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
        self._report_end(report)
        return []

    def _lose(
        self, tasks: list[running.RunningTask], reason: str, now: float
    ) -> None:
        lost = types.TaskState.LOST
        for task in tasks:
            self._report_end(
                self._ledger.end(task.job, task.index, lost, now, b'', reason)
            )

    def _report_end(self, report: messages.TaskReport | None) -> None:
        if report is None:
            return
        owner = self._ledger.owner(report.job)
        assert owner is not None
        owner = self._successors.current(report.job, owner)
        if owner is not None:
            self._report(owner, report, hurry=False)

    def _report(
        self, owner: ledger.Owner, report: messages.TaskReport, hurry: bool
    ) -> None:
        if not self._entries.reaches(owner):
            # The owner asks by Settle once it is connected again.
            self._owed.add(owner)
            return
        self._outbox.add(owner, report)
        if hurry or not self._slots.runs(owner):
            self._outbox.hurry(owner)

    def _settle(
        self, entry: entries.Entry, message: messages.Settle, now: float
    ) -> list[object]:
        self._owed.discard(entry.owner)
        for ref in message.tasks:
            report = self._answer(message.agent_incarnation, ref, now)
            if report is None:
                report = self._ledger.refuse(
                    ref, entry.owner, REASON_SETTLED, now
                )
            self._report(entry.owner, report, hurry=True)
        return []

    def _stop_job(
        self, entry: entries.Entry, message: messages.StopJob, now: float
    ) -> list[object]:
        announced = self._running.announced
        try:
            action = upstream.Action(message.action)
        except ValueError:
            return [core.note('unknown_action', action=message.action)]
        if action is upstream.Action.STOP:
            indexes = self._ledger.stop(message.job, entry.owner, now)
        else:
            indexes = self._ledger.running(message.job)
        if announced is None:
            return []
        return [
            upstream.StopTask(message.job, index, action, announced.url)
            for index in indexes
        ]

    # The upstream: announcement, lapse, drain.

    @property
    def _draining(self) -> bool:
        return self._running.leaving or self._stopping_at is not None

    def _announced(
        self, event: upstream.Announced, now: float
    ) -> list[object]:
        before = (self._running.announced, self._draining)
        gone = self._running.announce(event, now)
        for task in gone:
            self._slots.release(task.entry)
        self._lose(gone, REASON_RESTARTED, now)
        if before == (event, self._draining):
            return []
        self._resize()
        return []

    def _upstream_left(self, event: upstream.UpstreamLeft) -> list[object]:
        if not self._running.leave(event.session):
            return []
        self._resize()
        return []

    def _resize(self) -> None:
        announced = self._running.announced
        serving = announced is not None and not self._draining
        self._slots.resize(announced.slots if announced and serving else 0)
        self._offer_to.update(one.owner for one in self._entries if one.joined)

    def _tick(self, now: float) -> list[object]:
        before, self._ticked_at = self._ticked_at, now
        if before is not None and now - before > PAUSE_SECONDS:
            # While this process was paused, renewals waited in its sockets.
            # Without a new term they would come too late, and all tasks
            # that still run would be given up.
            self._running.extend(now)
        lost = self._running.lapse(now)
        if lost is not None:
            self._lose(lost, REASON_LAPSED, now)
            self._resize()
        self._ledger.forget(now)
        return [*self._entries.dial_seeds(), *self._take_over(now)]

    def _stop(self, now: float) -> list[object]:
        if self._stopping_at is None:
            self._stopping_at = now
            self._resize()
        return []

    def _goodbye(self, now: float) -> list[object]:
        """End the process once nothing runs and all results are sent."""
        if self._stopping_at is None or self._done or len(self._running):
            return []
        waited = now - self._stopping_at >= LINGER_SECONDS
        if self._outbox.next_at() is not None or self._owed and not waited:
            return []
        self._done = True
        goodbyes = [
            core.Send(one.owner.name, messages.Goodbye('stopped'))
            for one in self._entries
        ]
        return [*goodbyes, core.Exit()]

    # Messages out

    def _send_due(self, now: float) -> list[object]:
        """Results that are due, and leases that have changed.

        A changed lease rides on results that wait; else it costs an Offer.
        """
        untold = set(self._slots.revise())
        for owner in untold:
            self._outbox.hurry(owner)
        effects: list[object] = []
        for owner in self._outbox.due(now):
            untold.discard(owner)
            credits = self._slots.credits(owner)
            for reports in self._outbox.take(owner, now):
                results = messages.Results(self._incarnation, credits, reports)
                effects.append(core.Send(owner.name, results))
        for owner in sorted(untold | self._offer_to, key=lambda o: o.name):
            effects.append(core.Send(owner.name, self._offer(owner)))
        self._offer_to.clear()
        return effects

    def _offer(self, owner: ledger.Owner) -> messages.Offer:
        announced = self._running.announced
        return messages.Offer(
            self._incarnation,
            self._slots.credits(owner),
            self._slots.total,
            announced.kinds if announced is not None else (),
            announced.capacity if announced is not None else types.Needs(),
            self._draining,
        )
