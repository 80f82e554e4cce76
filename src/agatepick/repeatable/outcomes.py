"""What becomes of an entry's runs, and of their tasks then.

A task whose run ended well is done.  One whose run failed, was refused or is
over without an end that counts waits again, until it has failed as often as
its queue allows: only then its job is answered as failed.
"""

import typing

from agatepick import core
from agatepick.decisions import backoff
from agatepick.net import messages
from agatepick.repeatable import admitting
from agatepick.repeatable import estimating
from agatepick.repeatable import jobs
from agatepick.repeatable import owned
from agatepick.repeatable import pool
from agatepick.repeatable import reports
from agatepick import types

STALE_RUN_STEP = 64
"""A worker that has seen this run number or a higher one belongs to an
earlier owner of the job; numbers go on well above what it can have used."""

REFUSED_PAUSES = backoff.Pauses(first=0.05, most=0.5)
"""Before a task is sent again that workers wouldn't take, from the second
refusal on.  Were all of them unwell, it would go round among them."""

_WORKERS_OWN = frozenset({'stale_run', 'unwell'})
"""Refusals that news of the worker's room say nothing of."""

EndJob = typing.Callable[[owned.OwnedJob, jobs.Answer, float], list[object]]


class Outcomes:
    """Takes the ends of one entry's runs.

    :param freed: notes the cores that runs free.
    :param end_job: answers a job's callers.
    """

    def __init__(
        self,
        known: owned.Jobs,
        waiting: owned.Waiting,
        estimator: estimating.Estimator,
        freed: admitting.FreedRate,
        end_job: EndJob,
    ) -> None:
        self._jobs = known
        self._waiting = waiting
        self._estimator = estimator
        self._freed = freed
        self._end_job = end_job

    def take_reports(
        self, worker: pool.Worker, message: messages.RunReports, now: float
    ) -> list[object]:
        """An agent told how runs stand."""
        effects: list[object] = []
        known: set[pool.Key] = set()
        for report in message.reports:
            known.add((report.job, report.index))
            effects += self._take_report(worker, report, now)
        if not message.whole:
            return effects
        for key in list(worker.placed):
            if key not in known:
                effects += self._run_over(worker, key, 'unknown_there', now)
        return effects

    def _take_report(
        self, worker: pool.Worker, report: messages.RunReport, now: float
    ) -> list[object]:
        key = (report.job, report.index)
        job = self._jobs.get(report.job)
        if job is None or report.index >= len(job.records):
            return []
        record = job.records[report.index]
        if record.agent != worker.name or record.run != report.run:
            return []
        if record.state is not owned.TaskState.PLACED:
            return []
        if report.state == types.RunState.RUNNING:
            if record.stopping:
                return owned.stop_runs(job, [report.index])
            return []
        # Its place counts as free with the next news only: the agent may
        # have granted it to another entry that waits, and would refuse what
        # is started there.
        worker.placed.pop(key, None)
        if report.state == types.RunState.FINISHED:
            return self._run_finished(worker, job, report, now)
        if report.state == types.RunState.FAILED:
            return self._run_failed(worker, job, report, now)
        if report.state == types.RunState.REFUSED:
            return self._run_refused(worker, job, report, now)
        return self._again(job, report.index, report.reason, now)

    def _run_finished(
        self,
        worker: pool.Worker,
        job: owned.OwnedJob,
        report: messages.RunReport,
        now: float,
    ) -> list[object]:
        task = job.spec.tasks[report.index]
        self._freed.add(task.needs.cpu, report.seconds, now)
        self._estimator.observe(job.spec, task, report.seconds)
        job.end(report.index, report.seconds)
        if job.answered:
            self._jobs.forget(job)
            return []
        if not job.open:
            return self._end_job(job, jobs.Answer(jobs.Verdict.COMPLETE), now)
        if job.release():
            self._waiting.add(job)
        return []

    def _run_failed(
        self,
        worker: pool.Worker,
        job: owned.OwnedJob,
        report: messages.RunReport,
        now: float,
    ) -> list[object]:
        record = job.records[report.index]
        record.failures += 1
        record.avoid = record.avoid | {worker.name}
        effects: list[object] = []
        if record.failures >= job.spec.route.max_attempts:
            record.state = owned.TaskState.ENDED
            if not job.answered:
                answer = jobs.Answer(jobs.Verdict.FAILED, 'task_failed')
                effects += self._end_job(job, answer, now)
            return effects
        return effects + self._again(job, report.index, 'failed', now)

    def _run_refused(
        self,
        worker: pool.Worker,
        job: owned.OwnedJob,
        report: messages.RunReport,
        now: float,
    ) -> list[object]:
        record = job.records[report.index]
        if report.reason in _WORKERS_OWN:
            record.refusals += 1
            if record.refusals > 1:
                pause = REFUSED_PAUSES.after(record.refusals - 1)
                record.rests_until = now + pause
        if report.reason == 'stale_run':
            record.run += STALE_RUN_STEP
        elif report.reason == 'unwell':
            record.avoid = record.avoid | {worker.name}
        elif report.reason == reports.NO_PAYLOAD:
            worker.recent.clear()
        else:
            # It is fuller than was known; the next news tells how full.
            worker.fill()
        return self._again(job, report.index, report.reason, now)

    def _again(
        self, job: owned.OwnedJob, index: int, reason: str, now: float
    ) -> list[object]:
        """A run is over without an end that counts: the task waits again."""
        if job.answered:
            job.records[index].state = owned.TaskState.ENDED
            self._jobs.forget(job)
            return []
        job.wait_again(index)
        self._waiting.add(job)
        return [
            core.note(
                'task_waits_again',
                job=job.spec.key,
                index=index,
                run=job.records[index].run,
                reason=reason,
            )
        ]

    def _run_over(
        self, worker: pool.Worker, key: pool.Key, reason: str, now: float
    ) -> list[object]:
        placed = worker.placed.pop(key)
        job = self._jobs.get(key[0])
        if job is None or key[1] >= len(job.records):
            return []
        record = job.records[key[1]]
        if record.agent != worker.name or record.run != placed.run:
            return []
        if record.state is not owned.TaskState.PLACED:
            return []
        return self._again(job, key[1], reason, now)

    def all_over(
        self, worker: pool.Worker, reason: str, now: float
    ) -> list[object]:
        """Nothing of this entry runs at a worker any more."""
        effects: list[object] = []
        for key in list(worker.placed):
            effects += self._run_over(worker, key, reason, now)
        return effects
