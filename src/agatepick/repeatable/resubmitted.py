"""Jobs that come again after this entry ended them without a result.

Callers submit a job again that got no answer, under the same key.  Nothing is
decided here: the notes show whether a job had been here before.
"""

import dataclasses

from agatepick import core
from agatepick.repeatable import jobs
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import recent
from agatepick import types

MEMORY_SECONDS = 15.0
"""Time for which ends are kept.  Callers submit again 1.3 s after an end, and
runs whose stop is carried out late end within 12 s."""

MAX_REMEMBERED = 512
"""Largest number of ends kept."""

_WITHOUT_RESULT = (jobs.Verdict.CANCELLED, jobs.Verdict.GIVEN_UP)


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """End of a job.

    :param run_count: number of its runs that may have gone on.
    """

    reason: str
    run_count: int


class Resubmitted:
    """Memory of the jobs that ended without a result of late."""

    def __init__(self) -> None:
        self._ends: recent.Recent[types.JobKey, _End] = recent.Recent(
            MEMORY_SECONDS, MAX_REMEMBERED
        )

    def record_end(
        self, job: owned_jobs.OwnedJob, answer: jobs.Answer, now: float
    ) -> None:
        """Record the end of a job whose runs haven't been stopped yet."""
        if answer.verdict in _WITHOUT_RESULT:
            end = _End(answer.reason, len(job.placed_indexes()))
            self._ends.add(job.spec.key, end, now)

    def note_arrival(self, key: types.JobKey, now: float) -> list[object]:
        """Return a note if a job has ended without a result of late."""
        found = self._ends.get(key, now)
        if found is None:
            return []
        ended_at, end = found
        return [
            core.note(
                'job_resubmitted',
                job=key,
                reason=end.reason,
                seconds=f'{now - ended_at:.3f}',
                runs=end.run_count,
            )
        ]
