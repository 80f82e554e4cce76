"""Regular checks of the jobs whose callers wait.

Load pattern: more work than the workers can do, workers that turn slow or
shrink, and tasks that crash them.  A caller whose job can't be served any more
gets its answer at once, and runs that take far too long are moved.
"""

from agatepick import core
from agatepick.repeatable import admission
from agatepick.repeatable import jobs
from agatepick.repeatable import outcomes
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import shrinking
from agatepick.repeatable import stragglers
from agatepick.repeatable import suspects

RETRY_SECONDS = 1.0
"""When to come back with a job that hasn't started in time."""


class JobChecks:
    """The checks of one entry's jobs.

    :param end_job: answers a job's callers.
    """

    def __init__(
        self,
        all_jobs: owned_jobs.Jobs,
        admitted: admission.Admission,
        slow_runs: stragglers.Stragglers,
        shrunk: shrinking.Shrinking,
        suspected: suspects.Suspects,
        end_job: outcomes.EndJob,
    ) -> None:
        self._jobs = all_jobs
        self._admission = admitted
        self._stragglers = slow_runs
        self._shrinking = shrunk
        self._suspects = suspected
        self._end_job = end_job

    def check(self, job: owned_jobs.OwnedJob, now: float) -> list[object]:
        """End a job that can't be served in time, or move its slow runs."""
        answer = self._find_answer(job, now)
        if answer is not None:
            return self._end_job(job, answer, now)
        slow_runs = self._stragglers.mark_stragglers(job, now)
        stops = owned_jobs.stop_runs(
            job, [run.index for run in slow_runs if run.moves]
        )
        return [*[run.note for run in slow_runs], *stops]

    def make_unfinished_answer(
        self, job: owned_jobs.OwnedJob, reason: str, retry_after: float = 0.0
    ) -> jobs.Answer:
        """Return the answer for a job that isn't done in time.

        :param retry_after: seconds until the caller of a job that has started
            may retry.
        """
        if not job.may_have_run:
            return jobs.Answer(jobs.Verdict.NOT_RUN, reason, RETRY_SECONDS)
        count = len(job.spec.tasks)
        if self._suspects.has_bounded_task(job.spec.key, count):
            return jobs.Answer(jobs.Verdict.FAILED, 'crashes_workers')
        return jobs.Answer(jobs.Verdict.GIVEN_UP, reason, retry_after)

    def end_without_room(self, now: float) -> list[object]:
        """End jobs for which the workers that have shrunk have no room."""
        effects: list[object] = []
        for ending in self._shrinking.find_endings(now):
            effects += self._end_job(ending.job, ending.answer, now)
        return effects

    def judge_suspects(self, now: float) -> list[object]:
        """End the jobs of tasks that crash their workers."""
        effects: list[object] = []
        for given_up in self._suspects.judge(now):
            effects += self._give_up(given_up, now)
        return effects

    def _find_answer(
        self, job: owned_jobs.OwnedJob, now: float
    ) -> jobs.Answer | None:
        if now >= job.spec.deadline:
            return self.make_unfinished_answer(job, 'deadline')
        if job.may_have_run:
            return None
        if now >= job.latest_start:
            self._admission.record_start(job, False)
            after = self._admission.pick_retry_delay()
            return jobs.Answer(jobs.Verdict.NOT_RUN, 'waited_too_long', after)
        if not job.fit_unknown:
            return None
        refusal = self._admission.find_late_refusal(job.spec, now)
        if refusal is None:
            return None
        return jobs.Answer(
            jobs.Verdict.NOT_RUN, refusal.reason, refusal.retry_after
        )

    def _give_up(self, given_up: suspects.GivenUp, now: float) -> list[object]:
        """Answer the job of a task that crashes its workers."""
        key, index = given_up.key
        job = self._jobs.get(key)
        if job is None or job.answered:
            return []
        note = core.note(
            'task_given_up', job=key, index=index, count=given_up.count
        )
        answer = jobs.Answer(jobs.Verdict.FAILED, 'crashes_workers')
        return [note, *self._end_job(job, answer, now)]
