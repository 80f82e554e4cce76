"""The agent's reducer: every run at its worker passes through it.

It shares the worker's room among the entries, starts their runs, extends the
worker's lease as long as entries renew theirs, ends what nobody renews, and
reports how each run ended.
"""

import collections
import dataclasses
import typing

from agatepick import core
from agatepick import messages
from agatepick.repeatable import events
from agatepick.repeatable import health
from agatepick.repeatable import leases
from agatepick.repeatable import sharing
from agatepick.repeatable import workerapi
from agatepick import types

ROLE_ENTRY = 'entry'

TELL_SECONDS = 0.03
"""Least pause between two broadcasts of free room.  A worker of 10 places
with 0.3 s a task frees one every 30 ms; telling each at once took a third of
all messages and changed nothing in what callers got."""

COST_STEP = 0.2
"""Change of a worker's cost that is worth a message."""

STOP_RETRY_SECONDS = 0.1
"""Pause before a stop is sent again.  One order in twenty may stay without
an answer; a second one is sent well within the callers' 1.3 s."""

STRANGER_SECONDS = 0.2
"""Pause before a run that no entry owns is told to stop once more."""

CLOSING_FAILURES = 2
"""Watches without an answer after which nothing more is started: one order
in twenty may stay without one, two in a row hardly do."""

WORKER_FAILURES = 3
"""Watches without an answer after which the worker's lease is left to run
out.  Three take 0.7 s, as long as the lease: were it given up after two, one
pair of lost answers a minute would end all that runs there."""

BEAT_SECONDS = 6.0
"""Silence after which a worker is taken for gone: three announcements and
some more, at 1.5 s each."""

PROBE_SECONDS = 0.5
"""Pause between questions to a worker that doesn't answer."""

LEAST_EXPECTED_SECONDS = 0.05
"""Shorter runs are as long as the way to the worker and back on a busy
machine, which says nothing of the worker."""

KEPT_SECONDS = 5.0
"""How long reports are kept for an entry whose connection broke."""

STOP_RUNS_SECONDS = 4.0
"""A stopping agent ends what still runs after this, so that its entries
learn of it and start it elsewhere before the process is gone (6 s)."""


@dataclasses.dataclass(frozen=True, slots=True)
class AgentConfig:
    """What an agent needs of its settings."""

    name: types.PeerName
    zone: str


@dataclasses.dataclass(slots=True)
class _Owner:
    """One life of an entry.

    :ivar valid_until: end of the lease on its runs.
    :ivar taken: number of its last start message.
    """

    name: types.PeerName
    incarnation: int
    valid_until: float = 0.0
    taken: int = 0
    connected: bool = True


@dataclasses.dataclass(slots=True)
class _Run:
    """One run at the worker, until it is known to be over.

    :ivar confirmed_at: when the worker answered the start; 0 before.
    :ivar stopped_at: when the worker took note of a stop; 0 before.
    """

    ref: messages.RunRef
    name: str
    needs: types.Needs
    owner: _Owner
    asked_at: float
    expected: float
    confirmed_at: float = 0.0
    stopping: bool = False
    stop_sent_at: float = 0.0
    stopped_at: float = 0.0
    overdue_at: float = health.OVERDUE_RATIO


_Take = typing.Callable[[_Owner, typing.Any, float], list[object]]


class Agent:
    """Reducer of one agent process, beside one worker."""

    def __init__(self, cfg: AgentConfig, incarnation: int):
        self._cfg = cfg
        self._incarnation = incarnation
        self._worker: workerapi.WorkerSeen | None = None
        self._seen_at = 0.0
        self._room = sharing.Sharing()
        self._health = health.Health()
        self._told_cost = 1.0
        self._owners: dict[types.PeerName, _Owner] = {}
        self._runs: dict[str, _Run] = {}
        self._kept: dict[
            types.PeerName,
            collections.deque[tuple[float, messages.RunReport]],
        ] = {}
        self._reports: dict[types.PeerName, list[messages.RunReport]] = {}
        self._addresses: dict[types.PeerName, str] = {}
        self._closed: frozenset[str] = frozenset()
        self._ended_seen = 0
        self._ended_told = 0
        self._watching = False
        self._watch_at = 0.0
        self._failures = 0
        self._lease_until = 0.0
        self._strangers_at = 0.0
        self._stopping_at: float | None = None
        self._renewed_at = 0.0
        self._told: messages.Room | None = None
        self._told_at = 0.0
        self._handlers: dict[type, core.Handler] = {
            core.Received: self._on_received,
            core.PeerUp: self._on_peer_up,
            core.PeerDown: self._on_peer_down,
            core.Tick: self._on_tick,
            core.StopRequested: self._on_stop,
            events.EntriesListed: self._on_listed,
            events.ZonesClosed: self._on_zones,
            workerapi.WorkerSeen: self._on_worker,
            workerapi.WorkerLeft: self._on_worker_left,
            workerapi.StartAnswered: self._on_start_answered,
            workerapi.StopAnswered: self._on_stop_answered,
            workerapi.Watched: self._on_watched,
            workerapi.WatchFailed: self._on_watch_failed,
        }
        self._takes: dict[type, _Take] = {
            messages.StartRuns: self._take_starts,
            messages.StopRuns: self._take_stops,
            messages.Want: self._take_want,
            messages.Renewed: self._take_renewed,
        }

    @classmethod
    def from_config(cls, cfg: AgentConfig, incarnation: int) -> 'Agent':
        """An agent that has just started.

        :param incarnation: differs from that of every earlier life.
        """
        return cls(cfg, incarnation)

    @property
    def runs(self) -> int:
        """Runs that aren't known to be over."""
        return len(self._runs)

    def reduce(self, event: object, now: float) -> list[object]:
        """Take one event; the effects to carry out, in order."""
        handler = self._handlers.get(type(event))
        if handler is None:
            return [core.note('unexpected_event', kind=type(event).__name__)]
        # Before the event: a renewal must not revive what had run out.
        effects = self._enforce(now)
        effects += handler(event, now)
        effects += self._watch(now)
        effects += self._flush_reports(now)
        self._look_at_health(now)
        effects += self._share(now)
        effects += self._finish(now)
        wake = self._next_wake(now)
        if wake is not None:
            effects.append(core.WakeAt(wake))
        return effects

    # Entries

    def _on_listed(
        self, event: events.EntriesListed, now: float
    ) -> list[object]:
        listed = {one.name: one.address for one in event.entries}
        effects: list[object] = []
        for name, address in list(self._addresses.items()):
            if listed.get(name) != address:
                del self._addresses[name]
                effects.append(core.Hangup(name))
                effects.append(core.note('entry_unlisted', peer=name))
        for name, address in listed.items():
            if name not in self._addresses:
                self._addresses[name] = address
                effects.append(core.Dial(name, address))
                effects.append(
                    core.note('entry_listed', peer=name, address=address)
                )
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
            owner = _Owner(hello.name, hello.incarnation)
            self._owners[hello.name] = owner
            self._kept.pop(hello.name, None)
        owner.connected = True
        owner.taken = 0
        self._room.join(hello.name)
        return [
            core.note('entry_up', peer=hello.name),
            *effects,
            core.Send(hello.name, self._whole(owner, now)),
            core.Send(hello.name, messages.Renewal(now)),
            core.Send(hello.name, self._describe(owner)),
        ]

    def _on_peer_down(self, event: core.PeerDown, now: float) -> list[object]:
        owner = self._owners.get(event.peer)
        if owner is None or event.incarnation not in (0, owner.incarnation):
            return []
        if event.incarnation == 0 and owner.connected:
            # A second dial to a connected entry failed.
            return []
        was_connected, owner.connected = owner.connected, False
        self._room.leave(event.peer)
        effects: list[object] = []
        if was_connected:
            effects.append(core.note('entry_down', peer=event.peer))
        if event.dead:
            effects += self._abandon(owner, 'owner_dead', now)
        return effects

    def _on_received(self, event: core.Received, now: float) -> list[object]:
        owner = self._owners.get(event.peer)
        take = self._takes.get(type(event.message))
        if owner is None or take is None:
            return []
        return take(owner, event.message, now)

    def _take_renewed(
        self, owner: _Owner, message: messages.Renewed, now: float
    ) -> list[object]:
        until = message.sent + leases.OWNER_SECONDS
        owner.valid_until = max(owner.valid_until, until)
        return []

    def _take_want(
        self, owner: _Owner, message: messages.Want, now: float
    ) -> list[object]:
        self._room.want(owner.name, message, now)
        return []

    def _take_starts(
        self, owner: _Owner, message: messages.StartRuns, now: float
    ) -> list[object]:
        owner.taken = message.number
        if message.grant:
            self._room.returned(owner.name, message.grant)
        effects: list[object] = []
        for spec in message.runs:
            effects += self._start(owner, spec, now)
        return effects

    def _start(
        self, owner: _Owner, spec: messages.RunSpec, now: float
    ) -> list[object]:
        ref = messages.RunRef(spec.job, spec.index, spec.run)
        reason = self._refusal(owner, spec, now)
        if reason:
            return self._refuse(owner, ref, reason)
        worker = self._worker
        assert worker is not None
        self._runs[spec.name] = _Run(
            ref, spec.name, spec.needs, owner, now, spec.expected
        )
        self._extend_lease(now)
        return [
            workerapi.StartRun(
                worker.life,
                ref,
                spec.name,
                spec.payload,
                leases.WORKER_SECONDS,
            )
        ]

    def _refusal(
        self, owner: _Owner, spec: messages.RunSpec, now: float
    ) -> str:
        if not self._open:
            return 'closed'
        if owner.valid_until <= now:
            # Held up on the way: its owner may have given it up meanwhile.
            return 'lease'
        if spec.name in self._runs:
            return 'busy'
        if not self._room.take(spec.needs):
            return 'room'
        return ''

    def _refuse(
        self, owner: _Owner, ref: messages.RunRef, reason: str
    ) -> list[object]:
        self._report(owner, ref, types.RunState.REFUSED, reason, 0.0)
        return [
            core.note(
                'run_refused',
                job=ref.job,
                index=ref.index,
                run=ref.run,
                reason=reason,
                peer=owner.name,
            )
        ]

    def _take_stops(
        self, owner: _Owner, message: messages.StopRuns, now: float
    ) -> list[object]:
        wanted = {(ref.job, ref.index): ref.run for ref in message.runs}
        effects: list[object] = []
        for run in list(self._runs.values()):
            number = wanted.get((run.ref.job, run.ref.index))
            if run.owner is owner and number == run.ref.run:
                effects += self._stop_run(run, now)
        return effects

    def _abandon(self, owner: _Owner, reason: str, now: float) -> list[object]:
        """End all runs of an entry that is gone."""
        owner.valid_until = 0.0
        effects: list[object] = []
        for run in list(self._runs.values()):
            if run.owner is owner and not run.stopping:
                effects.append(_run_note('run_abandoned', run, reason))
                effects += self._stop_run(run, now)
        return effects

    # The worker

    @property
    def _open(self) -> bool:
        worker = self._worker
        return (
            worker is not None
            and not worker.draining
            and self._stopping_at is None
            and self._cfg.zone not in self._closed
            and self._failures < CLOSING_FAILURES
        )

    def _on_zones(self, event: events.ZonesClosed, now: float) -> list[object]:
        before, self._closed = self._closed, event.zones
        if (self._cfg.zone in before) == (self._cfg.zone in event.zones):
            return []
        closed = self._cfg.zone in event.zones
        return [core.note('zone', zone=self._cfg.zone, closed=closed)]

    def _on_worker(
        self, event: workerapi.WorkerSeen, now: float
    ) -> list[object]:
        worker = self._worker
        if worker is not None:
            if worker.life == event.life:
                if event.sequence <= worker.sequence:
                    return []
            elif event.born < worker.born:
                # Held up since before the present life began.
                return []
        self._seen_at = now
        effects: list[object] = []
        if worker is None or worker.life != event.life:
            effects += self._new_life(event, now)
        elif worker.draining != event.draining:
            effects.append(
                core.note(
                    'worker_draining', life=event.life, now=event.draining
                )
            )
        self._worker = event
        self._room.resize(event.capacity)
        return effects

    def _new_life(
        self, event: workerapi.WorkerSeen, now: float
    ) -> list[object]:
        self._worker = event
        self._ended_seen = 0
        # What an earlier life of this process started there goes on until
        # its lease runs out, and takes room meanwhile: ask for it.
        self._ended_told = -1
        self._watching = False
        self._watch_at = now
        self._failures = 0
        effects: list[object] = []
        for run in self._runs.values():
            # Gone with the former life; but a start that was on its way may
            # have reached the new one, which only its own list can tell.
            run.stopping = False
            run.stopped_at = 0.0
            run.confirmed_at = run.confirmed_at or now
            effects += self._stop_run(run, now)
        return [
            *effects,
            core.note(
                'worker_up',
                life=event.life,
                pool=event.pool,
                cpu=event.capacity.cpu,
            ),
        ]

    def _on_worker_left(
        self, event: workerapi.WorkerLeft, now: float
    ) -> list[object]:
        if self._worker is None or self._worker.life != event.life:
            return []
        self._worker = None
        return [
            core.note('worker_left', life=event.life),
            *self._worker_gone('worker_left', now),
        ]

    def _worker_gone(self, reason: str, now: float) -> list[object]:
        effects: list[object] = []
        for run in list(self._runs.values()):
            effects += self._over(run, types.RunState.OVER, reason, now)
        return effects

    def _on_start_answered(
        self, event: workerapi.StartAnswered, now: float
    ) -> list[object]:
        run = self._find(event.life, event.ref)
        if run is None:
            return []
        if event.result is workerapi.StartResult.UNKNOWN:
            run.confirmed_at = now
            return [
                _run_note('start_unanswered', run, event.reason),
                *self._stop_run(run, now),
            ]
        if event.result is workerapi.StartResult.STARTED:
            run.confirmed_at = now
            return []
        self._runs.pop(run.name)
        self._room.give_back(run.needs)
        return self._refuse(run.owner, run.ref, event.result.value)

    def _stop_run(self, run: _Run, now: float) -> list[object]:
        worker = self._worker
        if worker is None or run.stopped_at:
            return []
        if now < run.stop_sent_at + STOP_RETRY_SECONDS and run.stopping:
            return []
        run.stopping = True
        run.stop_sent_at = now
        return [workerapi.StopRun(worker.life, run.name, run.ref.run)]

    def _on_stop_answered(
        self, event: workerapi.StopAnswered, now: float
    ) -> list[object]:
        run = self._runs.get(event.name)
        if run is None or run.ref.run != event.run:
            return []
        if event.ok:
            run.stopped_at = now
        return []

    def _on_watched(
        self, event: workerapi.Watched, now: float
    ) -> list[object]:
        worker = self._worker
        if worker is None or worker.life != event.life:
            return []
        self._watching = False
        self._watch_at = now
        self._failures = 0
        self._ended_told = self._ended_seen
        effects: list[object] = []
        for end in event.ended:
            effects += self._take_end(end, now)
        running = {(one.name, one.run) for one in event.running}
        for run in list(self._runs.values()):
            if (run.name, run.ref.run) not in running:
                effects += self._absent(run, event.asked_at, now)
        effects += self._stop_strangers(event, now)
        return effects

    def _take_end(self, end: workerapi.EndedAt, now: float) -> list[object]:
        if end.number <= self._ended_seen:
            return []
        self._ended_seen = end.number
        run = self._runs.get(end.name)
        if run is None or run.ref.run != end.run:
            return []
        state = {
            workerapi.EndKind.DONE: types.RunState.FINISHED,
            workerapi.EndKind.FAILED: types.RunState.FAILED,
        }.get(end.kind, types.RunState.OVER)
        return self._over(run, state, end.reason, now)

    def _absent(self, run: _Run, asked_at: float, now: float) -> list[object]:
        """A run is in no list: over, if the list is newer than its calls."""
        if not run.confirmed_at or run.confirmed_at >= asked_at:
            return []
        if run.stopping and not 0.0 < run.stopped_at < asked_at:
            return []
        return self._over(run, types.RunState.OVER, 'absent', now)

    def _stop_strangers(
        self, event: workerapi.Watched, now: float
    ) -> list[object]:
        """End runs that an earlier life of this process has started."""
        strangers = [
            one
            for one in event.running
            if one.name not in self._runs
            or self._runs[one.name].ref.run != one.run
        ]
        if not strangers or now < self._strangers_at + STRANGER_SECONDS:
            return []
        self._strangers_at = now
        return [
            workerapi.StopRun(event.life, one.name, one.run)
            for one in strangers
        ]

    def _on_watch_failed(
        self, event: workerapi.WatchFailed, now: float
    ) -> list[object]:
        worker = self._worker
        if worker is None or worker.life != event.life:
            return []
        self._watching = False
        self._failures += 1
        if event.refused or event.other_life:
            # The process is gone, and all that it ran with it.
            self._worker = None
            return [
                core.note('worker_lost', life=event.life),
                *self._worker_gone('worker_lost', now),
            ]
        if self._failures < WORKER_FAILURES:
            self._watch_at = now
        else:
            self._watch_at = now + PROBE_SECONDS
        return [core.note('worker_silent', failures=self._failures)]

    def _over(
        self, run: _Run, state: types.RunState, reason: str, now: float
    ) -> list[object]:
        self._runs.pop(run.name)
        self._room.give_back(run.needs)
        seconds = now - run.asked_at
        if state in _RESULTS:
            ratio = seconds / max(run.expected, LEAST_EXPECTED_SECONDS)
            self._health.ended(state is types.RunState.FINISHED, ratio, now)
        self._report(run.owner, run.ref, state, reason, seconds)
        if state is types.RunState.FINISHED:
            return []
        return [_run_note('run_' + state.value, run, reason)]

    def _look_at_health(self, now: float) -> None:
        for run in self._runs.values():
            if run.stopping or not run.expected:
                continue
            expected = max(run.expected, LEAST_EXPECTED_SECONDS)
            ratio = (now - run.asked_at) / expected
            if ratio >= run.overdue_at:
                run.overdue_at *= 2.0
                self._health.overdue(ratio, now)

    def _find(self, life: str, ref: messages.RunRef) -> _Run | None:
        if self._worker is None or self._worker.life != life:
            return None
        for run in self._runs.values():
            if run.ref == ref:
                return run
        return None

    def _extend_lease(self, now: float) -> None:
        until = now + leases.WORKER_OVER_SECONDS
        self._lease_until = max(self._lease_until, until)

    def _watch(self, now: float) -> list[object]:
        worker = self._worker
        if worker is None or self._watching or now < self._watch_at:
            return []
        busy = bool(self._runs)
        unwell = self._failures >= WORKER_FAILURES
        if not busy and not unwell and self._ended_told == self._ended_seen:
            return []
        self._watching = True
        lease = 0.0
        if busy and not unwell and self._renewing(now):
            lease = leases.WORKER_SECONDS
            self._extend_lease(now)
        wait = leases.WORKER_WAIT_SECONDS if busy else 0.0
        return [workerapi.Watch(worker.life, self._ended_seen, lease, wait)]

    def _renewing(self, now: float) -> bool:
        return any(
            not run.stopping and run.owner.valid_until > now
            for run in self._runs.values()
        )

    # Time

    def _on_tick(self, event: core.Tick, now: float) -> list[object]:
        effects: list[object] = []
        if now >= self._renewed_at + leases.RENEW_SECONDS:
            self._renewed_at = now
            effects += [
                core.Send(owner.name, messages.Renewal(now))
                for owner in self._owners.values()
                if owner.connected
            ]
        if self._worker and now > self._seen_at + BEAT_SECONDS:
            life = self._worker.life
            effects.append(core.note('worker_lapsed', life=life))
            self._failures = max(self._failures, WORKER_FAILURES)
            self._seen_at = now
        return effects

    def _enforce(self, now: float) -> list[object]:
        """End runs whose lease is over, and forget what is surely over."""
        effects: list[object] = []
        for run in list(self._runs.values()):
            if now >= self._lease_until:
                effects += self._over(run, types.RunState.OVER, 'lapsed', now)
            elif run.stopping:
                effects += self._stop_run(run, now)
            elif run.owner.valid_until <= now:
                effects.append(_run_note('run_unrenewed', run, 'lease'))
                effects += self._stop_run(run, now)
        return effects

    def _on_stop(self, event: core.StopRequested, now: float) -> list[object]:
        if self._stopping_at is None:
            self._stopping_at = now
        return [core.note('stopping', runs=len(self._runs))]

    def _finish(self, now: float) -> list[object]:
        if self._stopping_at is None:
            return []
        if not self._runs:
            return [core.Exit()]
        if now < self._stopping_at + STOP_RUNS_SECONDS:
            return []
        effects: list[object] = []
        for run in self._runs.values():
            if not run.stopping:
                effects += self._stop_run(run, now)
        return effects

    def _next_wake(self, now: float) -> float | None:
        wakes = [self._renewed_at + leases.RENEW_SECONDS]
        if self._runs:
            wakes.append(now + STOP_RETRY_SECONDS)
        expiry = self._room.next_expiry()
        if expiry is not None:
            wakes.append(expiry)
        if self._tell_due():
            wakes.append(self._told_at + TELL_SECONDS)
        if not self._watching and self._watch_at > now:
            wakes.append(self._watch_at)
        return max(now, min(wakes))

    # What entries are told

    def _report(
        self,
        owner: _Owner,
        ref: messages.RunRef,
        state: types.RunState,
        reason: str,
        seconds: float,
    ) -> None:
        report = messages.RunReport(
            ref.job, ref.index, ref.run, state.value, reason, seconds
        )
        if self._owners.get(owner.name) is owner:
            self._reports.setdefault(owner.name, []).append(report)

    def _flush_reports(self, now: float) -> list[object]:
        if not self._reports:
            return []
        effects: list[object] = []
        for name, reports in self._reports.items():
            kept = self._kept.setdefault(name, collections.deque())
            kept.extend((now, report) for report in reports)
            effects.append(
                core.Send(name, messages.RunReports(tuple(reports)))
            )
        self._reports.clear()
        return effects

    def _whole(self, owner: _Owner, now: float) -> messages.RunReports:
        """All runs of an entry, as it may have missed reports."""
        kept = self._kept.get(owner.name, collections.deque())
        while kept and kept[0][0] < now - KEPT_SECONDS:
            kept.popleft()
        reports = [report for _, report in kept]
        reports += [
            messages.RunReport(
                run.ref.job,
                run.ref.index,
                run.ref.run,
                types.RunState.RUNNING.value,
            )
            for run in self._runs.values()
            if run.owner is owner
        ]
        return messages.RunReports(tuple(reports), whole=True)

    def _describe(
        self,
        owner: _Owner,
        free: types.Needs | None = None,
        grant: int = 0,
    ) -> messages.Room:
        worker = self._worker
        entries = sum(one.connected for one in self._owners.values())
        return messages.Room(
            self._incarnation,
            self._open,
            worker.pool if worker else '',
            worker.labels if worker else (),
            worker.capacity if worker else types.Needs(),
            self._room.free if free is None else free,
            grant,
            owner.taken,
            entries,
            self._told_cost,
        )

    def _share(self, now: float) -> list[object]:
        effects: list[object] = []
        cost = self._health.cost(now)
        if abs(cost - self._told_cost) >= COST_STEP:
            self._told_cost = cost
        if self._open:
            for grant in self._room.grants(now):
                owner = self._owners[grant.entry]
                room = self._describe(owner, grant.room, grant.number)
                effects.append(core.Send(grant.entry, room))
        if not self._tell_due() or now < self._told_at + TELL_SECONDS:
            return effects
        self._told = self._standard_room()
        self._told_at = now
        for owner in self._owners.values():
            if owner.connected:
                effects.append(core.Send(owner.name, self._describe(owner)))
        return effects

    def _standard_room(self) -> messages.Room:
        return self._describe(_NOBODY)

    def _tell_due(self) -> bool:
        return self._told != self._standard_room()


_NOBODY = _Owner('', 0)

_RESULTS = (types.RunState.FINISHED, types.RunState.FAILED)


def _run_note(name: str, run: _Run, reason: str) -> core.Note:
    return core.note(
        name,
        job=run.ref.job,
        index=run.ref.index,
        run=run.ref.run,
        peer=run.owner.name,
        reason=reason,
    )
