"""Reports on an entry's runs, and the tasks' next states.

A task whose run finished is done.  A task whose run failed, was refused or
ended without a result waits again, until it has failed as often as its queue
allows: only then its job is answered as failed.

A run whose start could not be put into a message never began, and its task
waits again.  An exception while one run's state is handled ends its job alone.
"""

import dataclasses
import typing

from agatepick import core
from agatepick.decisions import backoff
from agatepick.net import messages
from agatepick.repeatable import admission
from agatepick.repeatable import crash_evidence
from agatepick.repeatable import estimating
from agatepick.repeatable import faults
from agatepick.repeatable import jobs
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool
from agatepick.repeatable import reports
from agatepick.repeatable import suspects
from agatepick.repeatable import unsent
from agatepick.repeatable import weighing
from agatepick import types

STALE_RUN_STEP = 64
"""Step by which a task's run number is raised after a worker refused its run
as ``stale_run``.  A worker that has already received this run number or a
higher one received it from an earlier owner of the job; the step exceeds what
that owner can have used."""

REFUSED_DELAYS = backoff.BackoffDelays(first_seconds=0.05, max_seconds=0.5)
"""Delays before a task that workers refuse is sent again, from its second
refusal on.  If all workers are unwell, the task would otherwise circulate
among them without a delay."""

_CRASH_REASONS = frozenset(
    {crash_evidence.WORKER_CRASHED, crash_evidence.WORKER_REFUSED}
)
"""Reasons of reports that count as crashes of the worker."""

_WORKER_REASONS = frozenset(
    {
        'stale_run',
        'unwell',
        faults.REASON,
        reports.CRASHED_BEFORE,
        reports.SUSPECT_THERE,
    }
)
"""Reasons of refusals that the worker's free capacity doesn't explain."""

EndJob = typing.Callable[
    [owned_jobs.OwnedJob, jobs.Answer, float], list[object]
]
FailJob = typing.Callable[
    [owned_jobs.OwnedJob, str, Exception, float], list[object]
]


class Outcomes:
    """Handler of the reports on one entry's runs.

    :param release_rate: records the cores that ended runs release.
    :param end_job: answers a job's callers.
    :param fail_job: ends a job after an exception.
    :param weigher: records finished runs, if moves are weighed.
    :param suspected: tasks under which workers crashed.
    """

    def __init__(
        self,
        all_jobs: owned_jobs.Jobs,
        waiting: owned_jobs.WaitingQueue,
        estimator: estimating.Estimator,
        release_rate: admission.ReleaseRate,
        end_job: EndJob,
        fail_job: FailJob,
        weigher: weighing.Weigher | None = None,
        suspected: suspects.Suspects | None = None,
    ) -> None:
        self._jobs = all_jobs
        self._waiting = waiting
        self._estimator = estimator
        self._release_rate = release_rate
        self._end_job = end_job
        self._fail_job = fail_job
        self._weigher = weigher
        self._suspects = suspected or suspects.Suspects()

    def handle_reports(
        self, worker: pool.Worker, message: messages.RunReports, now: float
    ) -> list[object]:
        """Handle an agent's reports on its runs."""
        effects: list[object] = []
        known: set[messages.RunRef] = set()
        for report in message.reports:
            known.add(messages.RunRef(report.job, report.index, report.run))
            try:
                effects += self._record_crash(worker, report, now)
                effects += self._handle_report(worker, report, now)
            except Exception as exc:
                over = report.state != types.RunState.RUNNING
                ref = messages.RunRef(report.job, report.index, report.run)
                effects += self._fail_run(worker, ref, over, exc, now)
        if not message.whole:
            return effects
        for key in list(worker.placed):
            if messages.RunRef(*key, worker.placed[key].run) not in known:
                effects += self._requeue_lost(
                    worker, key, 'unknown_there', now
                )
        return effects

    def _record_crash(
        self, worker: pool.Worker, report: messages.RunReport, now: float
    ) -> list[object]:
        """Record the crash that a report may tell of.

        It may be on a run that is known to be over.
        """
        if report.reason == crash_evidence.WORKER_RETURNED:
            return self._withdraw_crash(worker, report)
        proven = report.reason in _CRASH_REASONS
        if not proven and report.reason != crash_evidence.WORKER_SILENT:
            return []
        job = self._jobs.get(report.job)
        if job is None or report.index >= len(job.records):
            return []
        key = (report.job, report.index)
        crash = suspects.Report(worker.name, report.run, report.beside, proven)
        if not self._suspects.record_crash(key, crash, now):
            return []
        pause = self._suspects.compute_pause(key)
        job.records[report.index].retry_at = now + pause
        return [
            core.note(
                'task_suspected',
                job=report.job,
                index=report.index,
                run=report.run,
                reason=report.reason,
                peer=worker.name,
                beside=report.beside,
            )
        ]

    def _withdraw_crash(
        self, worker: pool.Worker, report: messages.RunReport
    ) -> list[object]:
        key = (report.job, report.index)
        if not self._suspects.withdraw(key, worker.name, report.run):
            return []
        return [
            core.note(
                'suspicion_withdrawn',
                job=report.job,
                index=report.index,
                run=report.run,
                peer=worker.name,
            )
        ]

    def handle_unsent(
        self, worker: pool.Worker, message: messages.StartRuns, now: float
    ) -> list[object]:
        """Handle a start message that could not be encoded.

        The jobs that are the cause end, and the tasks of the others wait
        again.
        """
        causes = unsent.find_causes(message)
        if not causes and message.want != messages.NO_WANT:
            without_want = dataclasses.replace(message, want=messages.NO_WANT)
            return [core.Send(worker.name, without_want)]
        worker.drop_start(message.number)
        failed: dict[types.JobKey, owned_jobs.OwnedJob] = {}
        effects: list[object] = []
        for spec in message.runs:
            worker.placed.pop((spec.job, spec.index), None)
            job = self._jobs.get(spec.job)
            if job is None or not job.take_back(
                spec.index, worker.name, spec.run
            ):
                continue
            if spec.job in causes:
                failed[spec.job] = job
            effects += self._requeue(job, spec.index, 'unsent', now)
        for key, job in failed.items():
            effects += self._fail_job(job, 'encode', causes[key], now)
        return effects

    def _fail_run(
        self,
        worker: pool.Worker,
        ref: messages.RunRef,
        over: bool,
        exc: Exception,
        now: float,
    ) -> list[object]:
        """End the job of a run whose state could not be handled.

        :param over: whether the run is certainly over.
        """
        job = self._jobs.get(ref.job)
        if job is None or ref.index >= len(job.records):
            return [faults.note('report', exc, job=ref.job)]
        record = job.records[ref.index]
        if over and record.agent == worker.name and record.run == ref.run:
            record.state = owned_jobs.TaskState.ENDED
        return self._fail_job(job, 'report', exc, now)

    def _handle_report(
        self, worker: pool.Worker, report: messages.RunReport, now: float
    ) -> list[object]:
        key = (report.job, report.index)
        job = self._jobs.get(report.job)
        if job is None or report.index >= len(job.records):
            return []
        record = job.records[report.index]
        if record.agent != worker.name or record.run != report.run:
            return []
        if record.state is not owned_jobs.TaskState.PLACED:
            return []
        if report.state == types.RunState.RUNNING:
            if record.stopping:
                return owned_jobs.stop_runs(job, [report.index])
            return []
        # The ended run's capacity counts as free from the agent's next update
        # on: the agent may have granted it to another waiting entry, and would
        # refuse a run that is started there before.
        worker.placed.pop(key, None)
        self._suspects.record_end(
            key, refused=report.state == types.RunState.REFUSED
        )
        if report.state == types.RunState.FINISHED:
            return self._handle_finished(worker, job, report, now)
        if report.state == types.RunState.FAILED:
            return self._handle_failed(worker, job, report, now)
        if report.state == types.RunState.REFUSED:
            return self._handle_refused(worker, job, report, now)
        return self._requeue(job, report.index, report.reason, now)

    def _handle_finished(
        self,
        worker: pool.Worker,
        job: owned_jobs.OwnedJob,
        report: messages.RunReport,
        now: float,
    ) -> list[object]:
        task = job.spec.tasks[report.index]
        if self._weigher is not None:
            self._weigher.record_finished(
                worker, job, report.index, report.seconds, now
            )
        # All run times that are compared are those at a typical worker.
        seconds = report.seconds / worker.slowness
        self._release_rate.add(task.needs.cpu, seconds, now)
        self._estimator.observe(job.spec, task, seconds)
        job.mark_finished(report.index, seconds)
        if job.answered:
            self._jobs.remove_if_ended(job)
            return []
        if not job.open_task_count:
            return self._end_job(job, jobs.Answer(jobs.Verdict.COMPLETE), now)
        if job.queue_ready_tasks():
            self._waiting.add(job)
        return []

    def _handle_failed(
        self,
        worker: pool.Worker,
        job: owned_jobs.OwnedJob,
        report: messages.RunReport,
        now: float,
    ) -> list[object]:
        record = job.records[report.index]
        record.failure_count += 1
        record.agents_to_avoid = record.agents_to_avoid | {worker.name}
        if record.failure_count >= job.spec.route.max_attempts:
            record.state = owned_jobs.TaskState.ENDED
            if job.answered:
                self._jobs.remove_if_ended(job)
                return []
            answer = jobs.Answer(jobs.Verdict.FAILED, 'task_failed')
            return self._end_job(job, answer, now)
        return self._requeue(job, report.index, 'failed', now)

    def _handle_refused(
        self,
        worker: pool.Worker,
        job: owned_jobs.OwnedJob,
        report: messages.RunReport,
        now: float,
    ) -> list[object]:
        record = job.records[report.index]
        if report.reason in _WORKER_REASONS:
            record.refusal_count += 1
            if record.refusal_count > 1:
                pause = REFUSED_DELAYS.get_delay(record.refusal_count - 1)
                record.retry_at = now + pause
        if report.reason == 'stale_run':
            record.run += STALE_RUN_STEP
        elif report.reason in ('unwell', faults.REASON):
            record.agents_to_avoid = record.agents_to_avoid | {worker.name}
        elif report.reason == reports.CRASHED_BEFORE:
            record.agents_to_avoid = record.agents_to_avoid | {worker.name}
            self._suspects.adopt(
                (report.job, report.index), worker.name, report.crashes, now
            )
        elif report.reason == reports.SUSPECT_THERE:
            retry_at = now + REFUSED_DELAYS.first_seconds
            record.retry_at = max(record.retry_at, retry_at)
        elif report.reason == reports.NO_PAYLOAD:
            worker.payload_cache.clear()
        else:
            # The worker has less free capacity than expected; the next update
            # contains the actual value.
            worker.mark_full()
        return self._requeue(job, report.index, report.reason, now)

    def _requeue(
        self, job: owned_jobs.OwnedJob, index: int, reason: str, now: float
    ) -> list[object]:
        """Queue a task again whose run ended without a result."""
        if job.answered:
            job.records[index].state = owned_jobs.TaskState.ENDED
            self._jobs.remove_if_ended(job)
            return []
        agent = job.records[index].agent
        job.requeue(index)
        self._waiting.add(job)
        return [
            core.note(
                'task_waits_again',
                job=job.spec.key,
                index=index,
                run=job.records[index].run,
                peer=agent,
                reason=reason,
            )
        ]

    def _requeue_lost(
        self, worker: pool.Worker, key: pool.TaskKey, reason: str, now: float
    ) -> list[object]:
        placed = worker.placed.pop(key)
        job = self._jobs.get(key[0])
        if job is None or key[1] >= len(job.records):
            return []
        record = job.records[key[1]]
        if record.agent != worker.name or record.run != placed.run:
            return []
        if record.state is not owned_jobs.TaskState.PLACED:
            return []
        self._suspects.record_end(key)
        return self._requeue(job, key[1], reason, now)

    def requeue_all(
        self, worker: pool.Worker, reason: str, now: float
    ) -> list[object]:
        """Queue the tasks of a worker's runs again, as all these are over."""
        effects: list[object] = []
        for key in list(worker.placed):
            ref = messages.RunRef(*key, worker.placed[key].run)
            try:
                effects += self._requeue_lost(worker, key, reason, now)
            except Exception as exc:
                effects += self._fail_run(worker, ref, True, exc, now)
        return effects
