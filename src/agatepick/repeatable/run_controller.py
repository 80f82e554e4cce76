"""Runs at one worker, each until it has certainly ended.

Requests to the worker may get no answer, or be carried out seconds later.
Starts and stops are therefore sent again, a lease ends runs that no entry
renews, and a run has ended only when the worker reports so, or when its lease
is over.
"""

import typing

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import announced_capacity
from agatepick.repeatable import crash_evidence
from agatepick.repeatable import health
from agatepick.repeatable import list_calls
from agatepick.repeatable import listed_ends
from agatepick.repeatable import overdue_stops
from agatepick.repeatable import pauses
from agatepick.repeatable import reports
from agatepick.repeatable import run_orders
from agatepick.repeatable import run_times
from agatepick.repeatable import runs
from agatepick.repeatable import sharing
from agatepick.repeatable import speeds
from agatepick.repeatable import start_retries
from agatepick.repeatable import unowned
from agatepick.repeatable import worker_clock
from agatepick.repeatable import worker_lease
from agatepick.repeatable import worker_state
from agatepick.repeatable import workerapi
from agatepick import types

PAUSE_SECONDS = 0.3
"""Time without any event that shows that this process stood still: it has a
timer each 0.25 s, and each 0.1 s while there are runs."""

_RESULTS = (types.RunState.FINISHED, types.RunState.FAILED)


class RunController:
    """Controller of the runs at the worker beside this agent.

    Sends the worker starts and stops, and requests its lists of runs.

    :param on_refused: called with the name of the entry whose start was
        refused.
    :param usual_speed: estimate of the worker's usual speed; by default
        nothing is learnt and the worker counts as typical.
    :param crashes: record of the worker's crashes; by default none is kept.
    :ivar runs: runs that haven't certainly ended, by task name.
    """

    def __init__(
        self,
        capacity: sharing.SharedCapacity,
        health_record: health.Health,
        run_reports: reports.Reports,
        on_refused: typing.Callable[[types.PeerName], None],
        usual_speed: speeds.UsualSpeed | None = None,
        crashes: crash_evidence.CrashEvidence | None = None,
    ) -> None:
        self.runs: dict[str, runs.Run] = {}
        self._capacity = capacity
        self._reports = run_reports
        self._on_refused = on_refused
        self._usual_speed = usual_speed or speeds.UsualSpeed()
        self._state = worker_state.WorkerState(
            self._usual_speed, capacity.guarded
        )
        self._crashes = crashes or crash_evidence.CrashEvidence(
            run_reports, enabled=False
        )
        self._unowned = unowned.UnownedRuns(self.runs)
        self._run_times = run_times.RunTimes(health_record, self._usual_speed)
        self._clock = worker_clock.WorkerClock()
        self._lease = worker_lease.WorkerLease()
        self._successor_expected = False
        self._pauses = pauses.PauseWatch(PAUSE_SECONDS)
        self._announced = announced_capacity.AnnouncedCapacity(
            capacity, self._clock
        )
        self._retries = start_retries.StartRetries(
            capacity, self._announced, self._clock
        )
        self._orders = run_orders.RunOrders(
            self.runs, self._unowned, self._state, self._clock, self._lease
        )
        self._ends = listed_ends.ListedEnds()
        self._calls = list_calls.ListCalls(
            self.runs,
            self._ends,
            self._unowned,
            self._state,
            self._clock,
            self._lease,
            self._orders,
        )
        self._list_requests = self._calls.requests

    @property
    def worker(self) -> workerapi.WorkerAnnounced | None:
        """The worker's last announcement; ``None`` if it may get no runs."""
        if self._list_requests.refused:
            return None
        return self._state.description

    # The worker's incarnations

    def update_guarding_pools(self, pools: frozenset[str]) -> None:
        """Set the pools whose workers refuse what doesn't fit."""
        self._announced.guarding_pools = pools

    @property
    def description(self) -> workerapi.WorkerAnnounced | None:
        """The worker's last announcement, whether it can be reached or not."""
        return self._state.description

    def addresses(self, incarnation: str) -> bool:
        """Return whether requests are sent to an incarnation."""
        return self._state.addresses(incarnation)

    def choose_epoch(self, born: int, now: float) -> int:
        """Return the epoch of a request to an incarnation."""
        return self._state.choose_epoch(born, now)

    def raise_epoch(self) -> list[object]:
        """Raise the epoch, as the worker has seen a higher one."""
        return self._state.raise_epoch()

    def handle_announcement(
        self, event: workerapi.WorkerAnnounced, now: float
    ) -> list[object]:
        """Handle an announcement of the worker."""
        if self._state.is_outdated(event):
            return []
        known = self._state.incarnation
        returned = self._state.has_lost(event.incarnation)
        effects = self._state.record_announcement(event, now)
        if known != event.incarnation:
            effects += self._crashes.record_incarnation(
                event.incarnation, list(self.runs.values()), now
            )
            self._keep_former_runs()
            effects += self._switch_incarnation(now, returned=returned)
        self._crashes.watch('' if event.draining else event.incarnation)
        same = known == event.incarnation
        effects += self._announced.record(event, same, now)
        # A worker without runs sends no lists that would keep its clock.
        self._clock.add(event.reading, now)
        return effects

    def expect_successor(self) -> None:
        """Expect that another worker may have taken the worker's place.

        No start is sent again meanwhile, as it might reach both.
        """
        self._successor_expected = True
        self._keep_former_runs()

    def _keep_former_runs(self) -> None:
        """Keep the runs until their lease is over, or listed as ended.

        A worker whose place another one has taken may go on with them.
        """
        for run in self.runs.values():
            run.former_lease_over_at = self._lease.over_at

    def end_expectation(self) -> None:
        """Expect no other worker in the worker's place any more."""
        self._successor_expected = False

    def handle_other_incarnation(
        self, event: workerapi.OtherIncarnationAnswered, now: float
    ) -> list[object]:
        """Handle an answer from another incarnation of the worker.

        Nothing is started there until it has announced itself.
        """
        if not self._state.addresses(event.incarnation):
            return []
        effects = self._state.record_other_incarnation(event)
        effects += self._crashes.record_incarnation(
            event.new_incarnation, list(self.runs.values()), now
        )
        self._crashes.watch(event.new_incarnation)
        return effects + self._switch_incarnation(now)

    def handle_departure(
        self, event: workerapi.WorkerLeft, now: float
    ) -> list[object]:
        """Handle the worker's message that it exits.

        It exits once it has the answer, which may get lost, so its runs may
        go on for seconds.  They are stopped, and their lease isn't extended.
        """
        if self._state.leaving or not self._state.addresses(event.incarnation):
            return []
        effects = self._state.record_departure()
        effects += self._crashes.record_departure()
        for run in self.runs.values():
            effects += self.stop(run, now)
        return effects

    def check_announcements(self, now: float) -> list[object]:
        """Give up a worker that no longer announces itself."""
        effects = self._announced.note_doubt(now)
        if not self._state.is_overdue(now):
            return effects
        self._list_requests.mark_silent(now)
        note = core.note('worker_lapsed', life=self._state.incarnation)
        return [*effects, note]

    def _switch_incarnation(
        self, now: float, *, returned: bool = False
    ) -> list[object]:
        """Address another incarnation than before.

        :param returned: whether it is the one that was lost, whose clock the
            orders of before refer to.
        """
        # Runs that an earlier incarnation of this process started continue
        # until their lease expires, and use capacity meanwhile: the next list
        # shows them.
        self._ends.reset()
        self._unowned.reset()
        self._calls.reset(now)
        self._clock.reset()
        if not returned:
            self._lease.extend_to_bound(now)
        effects: list[object] = []
        for run in self.runs.values():
            # The run ended with the former incarnation; but a start in transit
            # may have reached the new one, whose own list alone can show that.
            run.stopping = False
            run.stop_acknowledged_at = 0.0
            run.confirmed_at = run.confirmed_at or now
            effects += self.stop(run, now)
        return effects

    # Starts and stops

    def start(
        self,
        owner: runs.Owner,
        spec: messages.RunSpec,
        payload: bytes,
        now: float,
    ) -> list[object]:
        """Start a run for which capacity was acquired."""
        ref = messages.RunRef(spec.job, spec.index, spec.run)
        run = runs.Run(
            ref,
            spec.name,
            payload,
            spec.needs,
            owner,
            now,
            spec.expected,
            apart=spec.apart,
        )
        self.runs[spec.name] = run
        return self._orders.start(run, now)

    def _retry_start(self, run: runs.Run, now: float) -> list[object]:
        """Retry a start that has been unanswered for too long."""
        if not self._retries.is_due(run, now) or not self._sends_again():
            return []
        if self._retries.must_give_up(run, now):
            return self._give_up_start(run, 'no_room', now)
        return self._orders.start(run, now)

    def _sends_again(self) -> bool:
        """Return whether any start may be sent to the worker again."""
        return self.worker is not None and not self._successor_expected

    def handle_start_answer(
        self, event: workerapi.StartAnswered, now: float
    ) -> list[object]:
        """Handle the answer to a start, or the failure to get one."""
        run = self._find_run(event.incarnation, event.ref)
        if run is None:
            return []
        run.unanswered_start_count -= 1
        self._clock.add(event.reading, now)
        if event.result is workerapi.StartResult.STARTED:
            run.confirmed_at = run.confirmed_at or now
            return []
        if run.confirmed_at or run.stopping:
            return []
        if event.result is workerapi.StartResult.NO_ROOM:
            self._capacity.record_refusal(run.needs, now)
        if event.result is workerapi.StartResult.UNKNOWN:
            if (
                run.unanswered_start_count
                or run.start_count < start_retries.MAX_START_ATTEMPTS
            ):
                # Another start is in transit, or will be sent at the next
                # check.
                return []
        elif run.start_count == 1:
            self.runs.pop(run.name)
            self._unowned.record_end(run, event.result.value, now)
            self._capacity.release(run.needs)
            return self.refuse(run.owner, run.ref, event.result.value)
        return self._give_up_start(
            run, event.reason or event.result.value, now
        )

    def _give_up_start(
        self, run: runs.Run, reason: str, now: float
    ) -> list[object]:
        # An earlier start may still be carried out: the run has ended when the
        # worker has acknowledged a stop and doesn't list the run.
        run.confirmed_at = now
        return [
            runs.run_note('start_unanswered', run, reason),
            *self.stop(run, now),
        ]

    def refuse(
        self,
        owner: runs.Owner,
        ref: messages.RunRef,
        reason: str,
        crashes: int = 0,
    ) -> list[object]:
        """Report that a run was not started.

        :param crashes: crashes of the worker under the task, if these are the
            reason.
        """
        self._on_refused(owner.name)
        self._reports.add(
            owner, ref, types.RunState.REFUSED, reason, 0.0, crashes=crashes
        )
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

    def stop(self, run: runs.Run, now: float) -> list[object]:
        """Send a stop to the worker; it is repeated until acknowledged."""
        return self._orders.stop(run, now)

    def handle_stop_answer(
        self, event: workerapi.StopAnswered, now: float
    ) -> list[object]:
        """Handle the answer to a stop, or the failure to get one."""
        run = self.runs.get(event.name)
        if run is None or run.ref.run != event.run:
            return []
        # What a former incarnation has stopped may still start at this one.
        if event.ok and self._state.addresses(event.incarnation):
            run.stop_acknowledged_at = now
            self._clock.add(event.reading, now)
        return []

    # Lists

    def request_lists(self, now: float) -> list[object]:
        """Extend the lease and request the lists, if they are due."""
        return self._calls.call(now)

    def handle_watch_end(
        self, event: workerapi.WatchEnded, now: float
    ) -> list[object]:
        """Handle the end of the call that stood open at the worker."""
        return self._calls.handle_watch_end(event, now)

    def blocks_starts(self, now: float) -> bool:
        """Return whether no more runs should be started at the worker.

        This is the case if the worker has been silent for too long, if it may
        still have runs that an earlier incarnation of this process started, or
        if it may have shrunk since its last announcement.
        """
        return (
            not self._unowned.earlier_over
            or not self._clock.known
            or self._list_requests.blocks_starts(now)
            or self._announced.may_have_shrunk(now)
        )

    def handle_lists(
        self, event: workerapi.ListsReceived, now: float
    ) -> list[object]:
        """Handle the worker's lists of running and ended runs."""
        if not self._state.addresses(event.incarnation):
            return []
        self._list_requests.record_answer(now)
        self._clock.add_list(event.reading, event.requested_at, now)
        self._announced.date()
        effects = self._crashes.record_answer(event.requested_at)
        self._ends.record_list()
        for end in event.ended:
            effects += self._handle_end(end, now)
        running = {(run.name, run.run) for run in event.running}
        for run in list(self.runs.values()):
            if (run.name, run.ref.run) in running:
                self._crashes.review_listed(run)
            elif run.is_over_if_absent(event.requested_at, now):
                over = types.RunState.OVER
                effects += self._end_run(run, over, 'absent', now)
        effects += self._unowned.stop_listed(event, self._state.epoch, now)
        return effects

    def handle_list_failure(
        self, event: workerapi.ListsFailed, now: float
    ) -> list[object]:
        """Handle a failed request for the lists."""
        if not self._state.addresses(event.incarnation):
            return []
        refused_before = self._list_requests.refused
        self._list_requests.record_failure(now, refused=event.refused)
        if self._state.leaving:
            return []
        if event.other_worker:
            return self._state.record_loss()
        if event.fenced:
            return self._state.raise_epoch()
        if event.refused:
            return [] if refused_before else self._handle_refusal(now)
        effects = self._calls.doubt_incarnation() if event.broken else []
        if not self._list_requests.blocks_starts(now):
            return effects
        return [*effects, core.note('worker_silent', life=event.incarnation)]

    def _handle_refusal(self, now: float) -> list[object]:
        # A closed port doesn't end the runs: a worker may close it before it
        # ends them, or open it again while they go on.  They last until their
        # lease is over, which isn't extended meanwhile.
        effects: list[object] = [
            core.note('worker_unreachable', life=self._state.incarnation)
        ]
        if not self._state.draining:
            effects += self._crashes.record_refusal(
                list(self.runs.values()), now
            )
        return effects

    def _handle_end(self, end: workerapi.EndedRun, now: float) -> list[object]:
        if not self._ends.record(end.number):
            return []
        run = self.runs.get(end.name)
        if run is None or run.ref.run != end.run:
            return []
        self._crashes.review_listed(run)
        state = {
            workerapi.EndKind.DONE: types.RunState.FINISHED,
            workerapi.EndKind.FAILED: types.RunState.FAILED,
        }.get(end.kind, types.RunState.OVER)
        return self._end_run(run, state, end.reason, now)

    def note_unowned(
        self, event: workerapi.ListsReceived, now: float
    ) -> list[object]:
        """Return notes on listed runs that should not run."""
        if not self._state.addresses(event.incarnation):
            return []
        return self._unowned.note_listed(event, now)

    # Runs

    def enforce_leases(self, now: float) -> list[object]:
        """Stop runs whose lease has expired, and drop those that are over.

        Starts and stops that are unanswered for too long are sent again.
        """
        self._crashes.record_step(now)
        effects = self._review_pause(now)
        for run in list(self.runs.values()):
            if self._lease.is_over(now):
                effects += self._end_lapsed(run, now)
            elif run.stopping:
                effects += self.stop(run, now)
            elif run.owner.lease_until <= now:
                effects += self._stop_unrenewed(run, now)
            else:
                effects += self._retry_start(run, now)
        return effects

    def _review_pause(self, now: float) -> list[object]:
        """Review what is known of the worker if this process stood still.

        Two cases look alike on waking.  If the process alone stood still, the
        worker has ended the runs with their lease.  If the VM was suspended,
        the worker stood still too, and they go on.  The worker's next list
        tells which; until then nothing starts, no lease is extended, and the
        runs count as over after the time that they had left before.
        """
        seconds = self._pauses.record_event(now)
        if not seconds:
            return []
        self._lease.record_pause(seconds, now)
        for run in self.runs.values():
            run.former_lease_over_at += seconds
        self._state.record_pause(seconds)
        self._list_requests.record_pause(now)
        self._clock.distrust()
        if not self.runs:
            return []
        return [
            core.note(
                'runs_reviewed',
                runs=len(self.runs),
                seconds=f'{seconds:.3f}',
                life=self._state.incarnation,
            )
        ]

    def _stop_unrenewed(self, run: runs.Run, now: float) -> list[object]:
        stops = self.stop(run, now)
        if run.unrenewed:
            return stops
        run.unrenewed = True
        return [runs.run_note('run_unrenewed', run, 'lease'), *stops]

    def _end_lapsed(self, run: runs.Run, now: float) -> list[object]:
        reason = 'lapsed'
        if not self._state.incarnation or self._list_requests.is_silent(now):
            reason = self._crashes.record_silent_end(run, now)
        return self._end_run(run, types.RunState.OVER, reason, now)

    def _end_run(
        self, run: runs.Run, state: types.RunState, reason: str, now: float
    ) -> list[object]:
        self.runs.pop(run.name)
        self._unowned.record_end(run, reason, now)
        self._capacity.release(run.needs)
        seconds = now - run.requested_at
        effects: list[object] = []
        if state in _RESULTS:
            finished = state is types.RunState.FINISHED
            effects += self._run_times.record_result(
                run, finished, self._state.incarnation, now
            )
        self._reports.add(run.owner, run.ref, state, reason, seconds)
        return [*effects, runs.run_note('run_' + state.value, run, reason)]

    def record_overdue_runs(self, now: float) -> None:
        """Record runs that exceed their expected time."""
        self._run_times.record_overdue(self.runs.values(), now)

    def note_overdue_stops(self, now: float) -> list[object]:
        """Return a note for each run that has long been stopped, once."""
        return overdue_stops.note_overdue(self.runs.values(), now)

    def count_unwanted(self, now: float) -> int:
        """Return the number of runs that should have ended."""
        return overdue_stops.count_unwanted(self.runs.values(), now)

    def next_due(self, now: float) -> float | None:
        """Return the instant of the next action, or ``None``."""
        wakes: list[float] = []
        if self._sends_again():
            wakes = self._retries.next_due(self.runs.values(), now)
        if self.runs:
            wakes.append(now + run_orders.STOP_RETRY_SECONDS)
        request_at = self._list_requests.next_due()
        if (
            self._state.incarnation
            and request_at is not None
            and request_at > now
        ):
            wakes.append(request_at)
        return min(wakes, default=None)

    def _find_run(
        self, incarnation: str, ref: messages.RunRef
    ) -> runs.Run | None:
        if not self._state.addresses(incarnation):
            return None
        for run in self.runs.values():
            if run.ref == ref:
                return run
        return None
