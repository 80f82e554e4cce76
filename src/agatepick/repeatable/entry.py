"""Reducer of an entry for repeatable jobs.

The entry owns the jobs that its callers submit, places their tasks on workers
with free capacity, holds the lease on each run through the agents, retries
tasks whose runs have ended without a result, and answers when the last task
has ended.
"""

import dataclasses
import random

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import admission
from agatepick.repeatable import agent_messages
from agatepick.repeatable import choosing
from agatepick.repeatable import estimating
from agatepick.repeatable import events
from agatepick.repeatable import faults
from agatepick.repeatable import following
from agatepick.repeatable import job_checks
from agatepick.repeatable import job_notes
from agatepick.repeatable import jobs
from agatepick.repeatable import kinds
from agatepick.repeatable import outcomes
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pauses
from agatepick.repeatable import placing
from agatepick.repeatable import policies
from agatepick.repeatable import pool
from agatepick.repeatable import resubmitted
from agatepick.repeatable import routes
from agatepick.repeatable import shares
from agatepick.repeatable import shrinking
from agatepick.repeatable import stopping
from agatepick.repeatable import stragglers
from agatepick.repeatable import suspects
from agatepick.repeatable import weighing
from agatepick.repeatable import whereabouts
from agatepick import types

JOB_CHECK_SECONDS = 0.05
"""Pause between checks for expired leases, stragglers and jobs that waited too
long."""

PLACE_SECONDS = 0.05
"""Longest pause between placement rounds while tasks wait, even if neither a
job nor capacity arrived: a worker may have become usable again, and capacity
requests have to be repeated."""

WAKE_SECONDS = 0.05
"""Time after this process stood still for which nothing is placed.  Callers
that left meanwhile have submitted their jobs elsewhere, and several turns of
the event loop pass until all their connections have ended here."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryConfig:
    """Settings that an entry needs."""

    name: types.PeerName
    zone: str
    switches: policies.Policies = policies.Policies()


class Entry:
    """Reducer of one entry process."""

    def __init__(self, cfg: EntryConfig, rng: random.Random):
        by_speed = cfg.switches.worker_speeds
        self._pool = pool.Pool(rng, choosing.Candidates if by_speed else None)
        self._speeds = kinds.RelativeSpeeds(self._pool) if by_speed else None
        self._estimator = estimating.Estimator()
        self._shares = shares.Shares(cfg.switches.queue_shares)
        self._waiting = owned_jobs.WaitingQueue(self._shares)
        self._jobs = owned_jobs.Jobs()
        self._admission = admission.Admission(
            self._pool,
            self._estimator,
            self._waiting,
            rng,
            by_speed,
            self._shares,
        )
        self._suspects = suspects.Suspects(cfg.switches.crash_guard)
        self._placing = placing.Placing(
            self._pool, self._estimator, self._suspects
        )
        weigher = None
        if cfg.switches.weigh_moves:
            weigher = weighing.Weigher(self._pool, self._jobs, self._estimator)
        self._outcomes = outcomes.Outcomes(
            self._jobs,
            self._waiting,
            self._estimator,
            self._admission.release_rate,
            self._end_job,
            self._fail_job,
            weigher,
            self._suspects,
        )
        self._stragglers = stragglers.Stragglers(
            self._pool, self._estimator, weigher
        )
        self._shrinking = shrinking.Shrinking(
            self._pool,
            self._waiting,
            self._admission,
            cfg.switches.capacity_guard,
        )
        self._checks = job_checks.JobChecks(
            self._jobs,
            self._admission,
            self._stragglers,
            self._shrinking,
            self._suspects,
            self._end_job,
        )
        self._resubmitted = resubmitted.Resubmitted()
        self._whereabouts = whereabouts.Whereabouts(
            cfg.name,
            self._jobs,
            self._release,
            self._end_job,
            self._cancel_here,
        )
        self._jobs_by_call: dict[int, owned_jobs.OwnedJob] = {}
        self._checked_at = 0.0
        self._placement_due = False
        self._placed_at = 0.0
        self._pauses = pauses.PauseWatch(pauses.PAUSE_SECONDS)
        self._place_from = 0.0
        self._agents = agent_messages.AgentMessages(
            self._pool,
            self._placing,
            self._outcomes,
            self._shrinking,
            self._speeds,
        )
        self._stopping = stopping.Stopping()
        self.routes: routes.RouteTable | None = None
        self._handlers: dict[type, core.Handler] = {
            core.Received: self._on_received,
            core.DatagramReceived: self._whereabouts.handle_datagram,
            events.EntriesListed: self._whereabouts.update_entries,
            core.PeerUp: self._agents.connect,
            core.PeerDown: self._agents.disconnect,
            core.SendFailed: self._on_send_failed,
            core.Tick: self._on_tick,
            core.StopRequested: self._on_stop,
            events.JobArrived: self._on_job,
            events.JobCancelled: self._on_cancel,
            events.CancelAsked: self._whereabouts.cancels.ask,
            events.CallerLeft: self._on_caller_left,
            events.RoutesRead: self._on_routes,
        }

    @classmethod
    def from_config(cls, cfg: EntryConfig, rng: random.Random) -> 'Entry':
        """Return an entry without workers and queues."""
        return cls(cfg, rng)

    def reduce(self, event: object, now: float) -> list[object]:
        """Handle one event and return the effects to carry out, in order."""
        if self._pauses.record_event(now):
            self._place_from = now + WAKE_SECONDS
        handler = self._handlers.get(type(event))
        if handler is None:
            return [core.note('unexpected_event', kind=type(event).__name__)]
        try:
            effects = handler(event, now)
        except Exception as exc:
            effects = self._contain(event, exc, now)
        if self._placement_due and self._may_place():
            # Tasks are placed after all events that have arrived so far: a
            # busy entry handles hundreds of messages in one iteration of its
            # event loop.
            effects.append(core.WakeAt(max(now, self._place_from)))
        elif self._jobs_by_call:
            effects.append(core.WakeAt(now + JOB_CHECK_SECONDS))
        return effects

    def _contain(
        self, event: object, exc: Exception, now: float
    ) -> list[object]:
        """Return the effects of an event whose handler raised an exception.

        A caller whose job can't be handled gets its answer at once.
        """
        if not isinstance(event, events.JobArrived):
            return [faults.note(type(event).__name__, exc)]
        job = self._jobs_by_call.get(event.call)
        if job is not None:
            return self._fail_job(job, 'JobArrived', exc, now)
        answer = jobs.Answer(jobs.Verdict.NOT_RUN, faults.REASON, 1.0)
        return [
            faults.note('JobArrived', exc, job=event.job.key),
            events.Reply(event.call, answer),
        ]

    def _may_place(self) -> bool:
        """Return whether a placement round could send anything.

        Most capacity updates and reports arrive while no task waits; without
        this check an entry with little load would spend an iteration of its
        event loop and a placement round on each of them.
        """
        return bool(self._waiting) or self._placing.has_unanswered_grants

    def is_ready(self, now: float) -> bool:
        """Return whether the load balancer should send callers to this entry.

        An entry that can't reach any worker can't run jobs, so its callers
        should use another entry.
        """
        if self.routes is None or self._stopping.requested:
            return False
        return any(worker.is_usable(now) for worker in self._pool)

    @property
    def stopping(self) -> bool:
        """Whether the process has been asked to stop."""
        return self._stopping.requested

    def owns_open_job(self, key: types.JobKey, host: str, path: str) -> bool:
        """Return whether this entry owns a job that isn't answered yet.

        :param path: path under which it was submitted.  Its queue may have
            been removed since.
        """
        return self._find_open_job(key, host, path) is not None

    def _find_open_job(
        self, key: types.JobKey, host: str, path: str
    ) -> owned_jobs.OwnedJob | None:
        job = self._jobs.get(key)
        if job is None or job.answered or self._whereabouts.is_elsewhere(key):
            return None
        return job if job.spec.location == (host, path) else None

    def count_pending(self, route: str) -> int:
        """Return the number of a queue's jobs of which no task has started."""
        return sum(
            job.spec.route.name == route and not job.may_have_run
            for job in self._jobs.open_jobs()
        )

    def gauges(self, now: float) -> dict[str, float]:
        """Return the entry's gauges by name; see ``measures.GAUGES``."""
        jobs_open = self._jobs.open_jobs()
        usable = [worker for worker in self._pool if worker.is_usable(now)]
        waits = [now - job.arrived_at for job in jobs_open if not job.started]
        return {
            'jobs_open': len(jobs_open),
            'jobs_waiting': len(self._waiting.in_order()),
            'jobs_wide': sum(job.wide for job in jobs_open),
            'longest_wait_seconds': max(waits, default=0.0),
            'workers_usable': len(usable),
            'free_cores': sum(worker.free.cpu for worker in usable),
            'free_cores_slow': sum(
                worker.free.cpu for worker in usable if kinds.is_slow(worker)
            ),
            'queues_over_share': len(self._shares.over),
            'state_version': self.routes.version if self.routes else 0,
            'tasks_suspected': self._suspects.count,
            'entries_live': self._whereabouts.live_entries,
        }

    # Callers

    def _on_job(self, event: events.JobArrived, now: float) -> list[object]:
        note = self._resubmitted.note_arrival(event.job.key, now)
        return note + self._take_job(event, now)

    def _take_job(self, event: events.JobArrived, now: float) -> list[object]:
        self._placement_due = True
        spec = event.job
        if self._whereabouts.cancels.was_cancelled(*spec.location, now):
            answer = jobs.Answer(jobs.Verdict.CANCELLED, following.CANCELLED)
            return [
                core.note('job_cancelled_before', job=spec.key),
                events.Reply(event.call, answer),
            ]
        existing = self._jobs.get(spec.key)
        if existing is not None and not existing.answered:
            # The caller submitted the job again, perhaps because its first
            # connection broke: the job continues, and both requests get its
            # answer.
            existing.calls.append(event.call)
            self._jobs_by_call[event.call] = existing
            return [core.note('job_rejoined', job=spec.key)]
        if existing is not None:
            return self._refuse(event, admission.Refusal('ending', 1.0))
        bad_field = spec.find_bad_field()
        if bad_field:
            refusal = admission.Refusal(f'bad_{bad_field}', 0.0)
            return self._refuse(event, refusal)
        longest = self._estimator.estimate_longest_chain(spec)
        if not self._stopping.accepts(longest, now):
            return self._refuse(event, admission.Refusal('stopping', 1.0))
        self._admission.record_demand(spec, now)
        found = self._admission.find_refusal(spec, now)
        if found is not None:
            return self._refuse(event, found)
        job = owned_jobs.OwnedJob(
            event.call,
            spec,
            now,
            self._admission.compute_latest_start(spec, now),
            longest,
        )
        job.over_share = self._shares.is_over(spec.route.name)
        job.fit_unknown = not self._admission.knows_workers(spec)
        self._jobs_by_call[event.call] = job
        self._jobs.add(job)
        self._suspects.readmit(spec.key, len(spec.tasks))
        job.queue_ready_tasks()
        return [
            job_notes.note_admitted(job, longest, now),
            *self._whereabouts.locate(job, event.max_age, now),
        ]

    def _release(self, job: owned_jobs.OwnedJob, now: float) -> list[object]:
        """Let the tasks of a job start that no other entry has."""
        if job.answered:
            return []
        if self._whereabouts.cancels.was_cancelled(*job.spec.location, now):
            return self._cancel(job, now)
        self._waiting.add(job)
        self._placement_due = True
        return []

    def _refuse(
        self, event: events.JobArrived, refusal: admission.Refusal
    ) -> list[object]:
        """Answer that a job isn't run."""
        answer = jobs.Answer(
            jobs.Verdict.NOT_RUN, refusal.reason, refusal.retry_after
        )
        version = self.routes.version if self.routes else 0
        return [
            job_notes.note_refused(event.job, refusal, version),
            events.Reply(event.call, answer),
        ]

    def _on_caller_left(
        self, event: events.CallerLeft, now: float
    ) -> list[object]:
        job = self._jobs_by_call.pop(event.call, None)
        if job is None:
            return []
        job.calls.remove(event.call)
        if job.calls or self._whereabouts.has_follower(job.spec.key, now):
            return []
        return self._end_job(
            job, jobs.Answer(jobs.Verdict.CANCELLED, 'caller_left'), now
        )

    def _on_cancel(
        self, event: events.JobCancelled, now: float
    ) -> list[object]:
        job = self._jobs.get(event.key)
        if job is None or job.answered:
            return []
        announced = self._whereabouts.cancels.announce(
            event.key, *job.spec.location, now
        )
        return [*announced, *self._cancel(job, now)]

    def _cancel(self, job: owned_jobs.OwnedJob, now: float) -> list[object]:
        self._whereabouts.cancels.record(*job.spec.location, now)
        answer = jobs.Answer(jobs.Verdict.CANCELLED, following.CANCELLED)
        return self._end_job(job, answer, now)

    def _cancel_here(
        self, key: types.JobKey, host: str, path: str, now: float
    ) -> list[object]:
        """Cancel a job at the request of another entry."""
        job = self._find_open_job(key, host, path)
        return [] if job is None else self._cancel(job, now)

    def _on_routes(self, event: events.RoutesRead, now: float) -> list[object]:
        current = self.routes
        if current is not None and event.table.version <= current.version:
            return []
        self.routes = event.table
        return [
            core.note(
                'routes_in_force',
                version=event.table.version,
                queues=len(event.table.routes),
            )
        ]

    def _end_job(
        self, job: owned_jobs.OwnedJob, answer: jobs.Answer, now: float
    ) -> list[object]:
        """Answer a job's callers and stop the runs that remain."""
        job.answered = True
        job.waiting.clear()
        for call in job.calls:
            self._jobs_by_call.pop(call, None)
        effects = faults.contain('end', self._record_end, job, answer, now)
        effects += [events.Reply(call, answer) for call in job.calls]
        effects += self._whereabouts.record_end(job, answer, now)
        effects += owned_jobs.stop_runs(job, job.placed_indexes())
        self._jobs.remove_if_ended(job)
        return effects

    def _record_end(
        self, job: owned_jobs.OwnedJob, answer: jobs.Answer, now: float
    ) -> list[object]:
        if answer.verdict is jobs.Verdict.COMPLETE and job.started:
            in_time = not job.started_late()
            self._admission.record_start(job, in_time)
        self._resubmitted.record_end(job, answer, now)
        return [job_notes.note_ended(job, answer, now)]

    def _fail_job(
        self,
        job: owned_jobs.OwnedJob,
        where: str,
        exc: Exception,
        now: float,
    ) -> list[object]:
        """End a job alone that some step failed on.

        :param where: the step.
        """
        effects: list[object] = [faults.note(where, exc, job=job.spec.key)]
        if job.answered:
            self._jobs.remove_if_ended(job)
            return effects
        verdict = jobs.Verdict.GIVEN_UP
        if not job.may_have_run:
            verdict = jobs.Verdict.NOT_RUN
        answer = jobs.Answer(verdict, faults.REASON, 1.0)
        return effects + self._end_job(job, answer, now)

    # Agents

    def _on_send_failed(
        self, event: core.SendFailed, now: float
    ) -> list[object]:
        if isinstance(event.message, messages.StartRuns):
            self._placement_due = True
        return self._agents.handle_unsent(event, now)

    def _on_received(self, event: core.Received, now: float) -> list[object]:
        if not isinstance(event.message, messages.Renewal):
            self._placement_due = True
        return self._agents.handle_message(event, now)

    # Placing

    def _place(self, now: float) -> list[object]:
        self._placement_due = False
        self._placed_at = now
        effects = self._placing.place(self._waiting.in_order(), now)
        # Stops of a failed job follow the starts of its first tasks.
        for fault in self._placing.pop_faults():
            effects += self._fail_job(fault.job, 'place', fault.error, now)
        return effects

    # Time

    def _on_tick(self, event: core.Tick, now: float) -> list[object]:
        effects = faults.contain('agents', self._forget_agents, now)
        effects += faults.contain('check', self._check_leases_and_jobs, now)
        effects += faults.contain('located', self._whereabouts.check, now)
        due = self._placement_due or now >= self._placed_at + PLACE_SECONDS
        if due and now >= self._place_from and self._may_place():
            effects += faults.contain('place', self._place, now)
        return effects + faults.contain('stop', self._finish_stop, now)

    def _forget_agents(self, now: float) -> list[object]:
        self._agents.forget_gone(now)
        return []

    def _check_leases_and_jobs(self, now: float) -> list[object]:
        if now < self._checked_at + JOB_CHECK_SECONDS:
            return []
        self._checked_at = now
        effects: list[object] = []
        self._admission.update_reachability(now)
        effects += faults.contain('shares', self._update_shares, now)
        effects += self._agents.requeue_expired(now)
        effects += faults.contain(
            'capacity', self._checks.end_without_room, now
        )
        effects += faults.contain('suspects', self._checks.judge_suspects, now)
        for job in self._jobs.open_jobs():
            try:
                effects += self._checks.check(job, now)
            except Exception as exc:
                effects += self._fail_job(job, 'check', exc, now)
        return effects

    def _update_shares(self, now: float) -> list[object]:
        return self._admission.update_shares(self._jobs.open_jobs(), now)

    def _on_stop(self, event: core.StopRequested, now: float) -> list[object]:
        self._stopping.request(now)
        return [core.note('stopping', jobs=len(self._jobs_by_call))]

    def _finish_stop(self, now: float) -> list[object]:
        effects: list[object] = []
        if self._stopping.must_give_up(now):
            for job in self._jobs.open_jobs():
                answer = self._checks.make_unfinished_answer(
                    job, 'stopping', 1.0
                )
                effects += self._end_job(job, answer, now)
        if self._stopping.try_exit(bool(self._jobs_by_call), now):
            effects.append(core.Exit())
        return effects
