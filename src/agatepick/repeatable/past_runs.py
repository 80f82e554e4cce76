"""Runs that a worker lists although its agent has counted them as over.

Nothing is decided here: the notes show whether the evidence of an end was
right.
"""

import dataclasses

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import recent
from agatepick.repeatable import runs
from agatepick.repeatable import workerapi
from agatepick import types

MEMORY_SECONDS = 15.0
"""Time for which ends are kept.  A worker may carry out an order 12 s late."""

MAX_REMEMBERED = 512
"""Largest number of ends kept: those of 15 s at 30 starts a second."""

RunKey = tuple[str, int]
"""Name of the task at the worker, and number of the run."""


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """What is noted of an ended run.

    :param reason: evidence on which it was counted as over.
    """

    ref: messages.RunRef
    owner: types.PeerName
    reason: str


class PastRuns:
    """Memory of the last ends of runs at one worker."""

    def __init__(self) -> None:
        self._ends: recent.Recent[RunKey, _End] = recent.Recent(
            MEMORY_SECONDS, MAX_REMEMBERED
        )
        self._noted: recent.Recent[RunKey, str] = recent.Recent(
            MEMORY_SECONDS, MAX_REMEMBERED
        )

    def add(self, run: runs.Run, reason: str, now: float) -> None:
        """Record that a run is counted as over."""
        end = _End(run.ref, run.owner.name, reason)
        self._ends.add((run.name, run.ref.run), end, now)

    def ended_since(self, key: RunKey, instant: float, now: float) -> bool:
        """Return whether a run was counted as over after an instant."""
        found = self._ends.get(key, now)
        return found is not None and found[0] > instant

    def note_listed(
        self,
        listed: list[workerapi.RunningRun],
        incarnation: str,
        now: float,
    ) -> list[object]:
        """Return a note for each run that should not run, once.

        :param listed: running ones that the agent doesn't count as running,
            and didn't when it requested the lists.
        """
        effects: list[object] = []
        for run in listed:
            key = (run.name, run.run)
            found = self._ends.get(key, now)
            if found is None:
                note = _note_unowned(run, incarnation)
            else:
                note = _note_outlived(*found, incarnation, now)
            noted = self._noted.get(key, now)
            if noted is None or noted[1] != note.name:
                self._noted.add(key, note.name, now)
                effects.append(note)
        return effects


def _note_unowned(run: workerapi.RunningRun, incarnation: str) -> core.Note:
    return core.note(
        'run_unowned', task=run.name, run=run.run, life=incarnation
    )


def _note_outlived(
    ended_at: float, end: _End, incarnation: str, now: float
) -> core.Note:
    return core.note(
        'run_outlived',
        job=end.ref.job,
        index=end.ref.index,
        run=end.ref.run,
        peer=end.owner,
        reason=end.reason,
        seconds=f'{now - ended_at:.3f}',
        life=incarnation,
    )
