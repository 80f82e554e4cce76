"""The agent's reducer: every run at its worker passes through it.

It shares the worker's room among the entries, starts their runs, extends the
worker's lease as long as entries renew theirs, ends what nobody renews, and
reports how each run ended.
"""

import dataclasses
import typing

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import events
from agatepick.repeatable import health
from agatepick.repeatable import leases
from agatepick.repeatable import reports
from agatepick.repeatable import runs
from agatepick.repeatable import serving
from agatepick.repeatable import sharing
from agatepick.repeatable import telling
from agatepick.repeatable import watching
from agatepick.repeatable import workerapi
from agatepick import types

ROLE_ENTRY = 'entry'

STOP_RETRY_SECONDS = 0.1
"""Pause before a stop is sent again.  One order in twenty may stay without
an answer; a second one is sent well within the callers' 1.3 s."""

STRANGER_SECONDS = 0.2
"""Pause before a run that no entry owns is told to stop once more."""

START_RETRY_SECONDS = 0.03
"""Pause before a start is sent again that had no answer.  The worker takes
the same run once however often it is told, so this only saves time: a start
that was given up and tried elsewhere cost 0.15 s, more than the slack of
short urgent jobs."""

MAX_STARTS = 3
"""Times that one run's start is sent."""

BEAT_SECONDS = 6.0
"""Silence after which a worker is taken for gone: three announcements and
some more, at 1.5 s each."""

LEAST_EXPECTED_SECONDS = 0.05
"""Shorter runs are as long as the way to the worker and back on a busy
machine, which says nothing of the worker."""

STOP_RUNS_SECONDS = 4.0
"""A stopping agent ends what still runs after this, so that its entries
learn of it and start it elsewhere before the process is gone (6 s)."""


@dataclasses.dataclass(frozen=True, slots=True)
class AgentConfig:
    """What an agent needs of its settings."""

    name: types.PeerName
    zone: str


_Take = typing.Callable[[runs.Owner, typing.Any, float], list[object]]


class Agent:
    """Reducer of one agent process, beside one worker."""

    def __init__(self, cfg: AgentConfig, incarnation: int):
        self._cfg = cfg
        self._incarnation = incarnation
        self._worker: workerapi.WorkerSeen | None = None
        self._seen_at = 0.0
        self._room = sharing.Sharing()
        self._health = health.Health()
        self._telling = telling.Telling(incarnation, self._room, self._health)
        self._owners: dict[types.PeerName, runs.Owner] = {}
        self._runs: dict[str, runs.Run] = {}
        self._reports = reports.Reports()
        self._serving = serving.Serving(cfg.name)
        self._closed: frozenset[str] = frozenset()
        self._ended_seen = 0
        self._ended_told = 0
        self._watching = watching.Watching()
        self._lease_until = 0.0
        self._strangers_at = 0.0
        self._stopping_at: float | None = None
        self._renewed_at = 0.0
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
            workerapi.WorkerReborn: self._on_reborn,
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

    def reduce(self, event: object, now: float) -> list[object]:
        """Take one event; the effects to carry out, in order."""
        handler = self._handlers.get(type(event))
        if handler is None:
            return [core.note('unexpected_event', kind=type(event).__name__)]
        # Before the event: a renewal must not revive what had run out.
        effects = self._enforce(now)
        effects += handler(event, now)
        effects += self._watch(now)
        effects += self._reports.flush(now)
        self._look_at_health(now)
        effects += self._telling.share(
            self._worker, self._open(now), self._owners, now
        )
        effects += self._finish(now)
        wake = self._next_wake(now)
        if wake is not None:
            effects.append(core.WakeAt(wake))
        return effects

    # Entries

    def _on_listed(
        self, event: events.EntriesListed, now: float
    ) -> list[object]:
        effects = self._serving.listed(event.entries)
        return effects + self._review_entries(now)

    def _review_entries(self, now: float) -> list[object]:
        """Serve the entries that are this agent's, and no others."""
        connected = {
            one.name for one in self._owners.values() if one.connected
        }
        busy = {run.owner.name for run in self._runs.values()}
        effects = self._serving.review(now, connected, busy)
        for owner in self._owners.values():
            leaving = self._serving.leaves(owner.name)
            if not owner.connected or owner.leaving == leaving:
                continue
            owner.leaving = leaving
            if leaving:
                self._room.leave(owner.name)
            else:
                self._room.join(owner.name)
            effects.append(
                core.Send(owner.name, self._telling.describe(owner))
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
                self._reports.forget(owner)
            owner = runs.Owner(hello.name, hello.incarnation)
            self._owners[hello.name] = owner
        owner.connected = True
        owner.leaving = False
        owner.taken = 0
        self._room.join(hello.name)
        return [
            core.note('entry_up', peer=hello.name),
            *effects,
            core.Send(
                hello.name,
                self._reports.whole(owner, self._runs.values(), now),
            ),
            core.Send(hello.name, messages.Renewal(now)),
            core.Send(hello.name, self._telling.describe(owner)),
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
        self, owner: runs.Owner, message: messages.Renewed, now: float
    ) -> list[object]:
        until = message.sent + leases.OWNER_SECONDS
        owner.valid_until = max(owner.valid_until, until)
        owner.agents = message.agents
        return []

    def _take_want(
        self, owner: runs.Owner, message: messages.Want, now: float
    ) -> list[object]:
        self._room.want(owner.name, message, now)
        return []

    def _take_starts(
        self, owner: runs.Owner, message: messages.StartRuns, now: float
    ) -> list[object]:
        owner.taken = message.number
        if message.grant:
            self._room.returned(owner.name, message.grant)
        self._room.want(owner.name, message.want, now)
        effects: list[object] = []
        for spec in message.runs:
            effects += self._start(owner, spec, now)
        return effects

    def _start(
        self, owner: runs.Owner, spec: messages.RunSpec, now: float
    ) -> list[object]:
        ref = messages.RunRef(spec.job, spec.index, spec.run)
        reason = self._refusal(owner, spec, now)
        if reason:
            return self._refuse(owner, ref, reason)
        worker = self._worker
        assert worker is not None
        run = runs.Run(
            ref,
            spec.name,
            spec.payload,
            spec.needs,
            owner,
            now,
            spec.expected,
        )
        self._runs[spec.name] = run
        return self._order_start(run, worker, now)

    def _order_start(
        self, run: runs.Run, worker: workerapi.WorkerSeen, now: float
    ) -> list[object]:
        run.starts += 1
        run.unanswered += 1
        run.start_sent_at = now
        self._extend_lease(now)
        return [
            workerapi.StartRun(
                worker.life,
                run.ref,
                run.name,
                run.payload,
                leases.WORKER_SECONDS,
            )
        ]

    def _start_again(self, run: runs.Run, now: float) -> list[object]:
        """Send a start once more that has had no answer for too long."""
        worker = self._worker
        if worker is None or not self._may_start_again(run):
            return []
        if now < run.start_sent_at + START_RETRY_SECONDS:
            return []
        return self._order_start(run, worker, now)

    def _may_start_again(self, run: runs.Run) -> bool:
        if self._worker is None or run.confirmed_at or run.stopping:
            return False
        return run.starts < MAX_STARTS

    def _refusal(
        self, owner: runs.Owner, spec: messages.RunSpec, now: float
    ) -> str:
        if not self._open(now):
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
        self, owner: runs.Owner, ref: messages.RunRef, reason: str
    ) -> list[object]:
        self._reports.add(owner, ref, types.RunState.REFUSED, reason, 0.0)
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
        self, owner: runs.Owner, message: messages.StopRuns, now: float
    ) -> list[object]:
        wanted = {(ref.job, ref.index): ref.run for ref in message.runs}
        effects: list[object] = []
        for run in list(self._runs.values()):
            number = wanted.get((run.ref.job, run.ref.index))
            if run.owner is owner and number == run.ref.run:
                effects += self._stop_run(run, now)
        return effects

    def _abandon(
        self, owner: runs.Owner, reason: str, now: float
    ) -> list[object]:
        """End all runs of an entry that is gone."""
        owner.valid_until = 0.0
        effects: list[object] = []
        for run in list(self._runs.values()):
            if run.owner is owner and not run.stopping:
                effects.append(runs.run_note('run_abandoned', run, reason))
                effects += self._stop_run(run, now)
        return effects

    # The worker

    def _open(self, now: float) -> bool:
        worker = self._worker
        return (
            worker is not None
            and not worker.draining
            and self._stopping_at is None
            and self._cfg.zone not in self._closed
            and not self._watching.closing(now)
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
        self._watching.reset(now)
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

    def _on_reborn(
        self, event: workerapi.WorkerReborn, now: float
    ) -> list[object]:
        worker = self._worker
        if worker is None or worker.life != event.life:
            return []
        # What it is now, its next announcement tells.
        found = dataclasses.replace(
            worker, life=event.new_life, born=event.born, sequence=-1
        )
        return self._new_life(found, now)

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
            # A start that is still on its way may reach the next life.
            if not run.unanswered:
                effects += self._over(run, types.RunState.OVER, reason, now)
        return effects

    def _on_start_answered(
        self, event: workerapi.StartAnswered, now: float
    ) -> list[object]:
        run = self._find(event.life, event.ref)
        if run is None:
            return []
        run.unanswered -= 1
        if event.result is workerapi.StartResult.STARTED:
            run.confirmed_at = run.confirmed_at or now
            return []
        if run.confirmed_at or run.stopping:
            return []
        if event.result is workerapi.StartResult.UNKNOWN:
            if run.unanswered or run.starts < MAX_STARTS:
                # Another one is on its way, or will be at the next look.
                return []
        elif run.starts == 1:
            self._runs.pop(run.name)
            self._room.give_back(run.needs)
            return self._refuse(run.owner, run.ref, event.result.value)
        # An earlier order may still be carried out: the run is over when
        # the worker has taken note of a stop and doesn't list it.
        run.confirmed_at = now
        reason = event.reason or event.result.value
        return [
            runs.run_note('start_unanswered', run, reason),
            *self._stop_run(run, now),
        ]

    def _stop_run(self, run: runs.Run, now: float) -> list[object]:
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
        self._watching.answered(now)
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

    def _absent(
        self, run: runs.Run, asked_at: float, now: float
    ) -> list[object]:
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
        self._watching.failed(now)
        if event.refused or event.other_life:
            # The process is gone, and all that it ran with it.
            self._worker = None
            return [
                core.note('worker_lost', life=event.life),
                *self._worker_gone('worker_lost', now),
            ]
        if not self._watching.closing(now):
            return []
        return [core.note('worker_silent', life=event.life)]

    def _over(
        self, run: runs.Run, state: types.RunState, reason: str, now: float
    ) -> list[object]:
        self._runs.pop(run.name)
        self._room.give_back(run.needs)
        seconds = now - run.asked_at
        if state in _RESULTS:
            ratio = seconds / max(run.expected, LEAST_EXPECTED_SECONDS)
            self._health.ended(state is types.RunState.FINISHED, ratio, now)
        self._reports.add(run.owner, run.ref, state, reason, seconds)
        if state is types.RunState.FINISHED:
            return []
        return [runs.run_note('run_' + state.value, run, reason)]

    def _look_at_health(self, now: float) -> None:
        for run in self._runs.values():
            if run.stopping or not run.expected:
                continue
            expected = max(run.expected, LEAST_EXPECTED_SECONDS)
            ratio = (now - run.asked_at) / expected
            if ratio >= run.overdue_at:
                run.overdue_at *= 2.0
                self._health.overdue(ratio, now)

    def _find(self, life: str, ref: messages.RunRef) -> runs.Run | None:
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
        if worker is None or not self._watching.due(now):
            return []
        busy = bool(self._runs)
        silent = self._watching.silent(now)
        if not busy and not silent and self._ended_told == self._ended_seen:
            return []
        lease = 0.0
        if busy and not silent and self._renewing(now):
            lease = leases.WORKER_SECONDS
            self._extend_lease(now)
        wait = watching.WAIT_SECONDS if busy else 0.0
        self._watching.asked(wait, now)
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
            self._watching.lapse(now)
            self._seen_at = now
        return effects + self._review_entries(now)

    def _enforce(self, now: float) -> list[object]:
        """End runs whose lease is over, and forget what is surely over."""
        effects: list[object] = []
        for run in list(self._runs.values()):
            if now >= self._lease_until:
                effects += self._over(run, types.RunState.OVER, 'lapsed', now)
            elif run.stopping:
                effects += self._stop_run(run, now)
            elif run.owner.valid_until <= now:
                effects.append(runs.run_note('run_unrenewed', run, 'lease'))
                effects += self._stop_run(run, now)
            else:
                effects += self._start_again(run, now)
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
        wakes += [
            run.start_sent_at + START_RETRY_SECONDS
            for run in self._runs.values()
            if self._may_start_again(run)
        ]
        expiry = self._room.next_expiry()
        if expiry is not None:
            wakes.append(expiry)
        tell_at = self._telling.next_at()
        if tell_at is not None:
            wakes.append(tell_at)
        ask_at = self._watching.next_at()
        if self._worker is not None and ask_at is not None and ask_at > now:
            wakes.append(ask_at)
        return max(now, min(wakes))


_RESULTS = (types.RunState.FINISHED, types.RunState.FAILED)
