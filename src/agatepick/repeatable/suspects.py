"""Tasks under which workers crashed: kept apart, and given up in the end.

Load pattern: a task crashes each worker that starts it, with ten or twenty
other runs.  Started again like any other task, it would take down the workers
one by one; if each task of a crashed worker were given up, one crash would
fail twenty jobs that could be done.

A task under which a worker crashed is a suspect.  It is started again after a
pause that grows, at a worker without another suspect.  A crash is strong
evidence if the task was the only run or the only suspect there, and if neither
many workers crashed at that moment nor the same worker shortly before.  Two of
these give the task up.  A crash is dropped if its worker answers again, having
only refused connections.  Whatever the evidence, a task is started only twice
more after three crashes, and not at all if another entry started it before.
"""

import collections
import dataclasses

from agatepick.decisions import backoff
from agatepick.repeatable import pool
from agatepick import types

PAUSES = backoff.BackoffDelays(first_seconds=0.2, max_seconds=3.0)
"""Pauses before a suspect is started again."""

JUDGE_SECONDS = 1.0
"""Time after a crash until its evidence is weighed: until then, reports may
arrive of other workers that crashed at that moment."""

MOMENT_SECONDS = 2.0
"""Time between crashes that may have one cause: agents learn of a crash within
a second."""

MANY_WORKERS = 3
"""Number of workers whose crashes at one moment have a cause other than the
tasks there."""

UNSTABLE_SECONDS = 10.0
"""Time for which a worker that crashed without a suspect counts as unstable:
its next crash shows nothing about the tasks there."""

STRONG_CRASHES = 2
"""Number of crashes with strong evidence after which a task is given up."""

BOUNDED_CRASHES = 3
"""Number of crashes of any evidence from which on starts are bounded."""

MAX_BOUNDED_STARTS = 2
"""Largest number of starts of one task after that many crashes."""

SILENCE_SECONDS = 20.0
"""Time for which a silent worker counts as crashed under its runs.  Its next
incarnation shows within that time whether it did."""

MEMORY_SECONDS = 120.0
"""Time for which a suspect is kept after its last crash, also if its job was
answered: callers may submit it again."""

MAX_SUSPECTS = 512
"""Largest number of suspects kept; the oldest are dropped."""

_SAME_CRASH_SECONDS = 0.5
"""Time within which reports of one agent are on the same crash."""


@dataclasses.dataclass(slots=True)
class Crash:
    """A crash of a worker under one task.

    :ivar run: number of the run; 0 if another entry started it.
    :ivar alone: whether the task was the only run, or the only suspect, there.
    :ivar proven: whether the worker crashed or refuses connections; otherwise
        it is silent.
    :ivar strong: whether it is strong evidence; ``None`` before it is weighed.
    """

    at: float
    agent: types.PeerName
    run: int
    alone: bool
    proven: bool
    strong: bool | None = None

    def counts(self, now: float) -> bool:
        """Return whether the worker crashed, or may have."""
        return self.proven or now <= self.at + SILENCE_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """An agent's report of a crash under a run.

    :param beside: number of runs at the worker, this one included.
    :param proven: whether the worker crashed or refuses connections; otherwise
        it is silent.
    """

    agent: types.PeerName
    run: int
    beside: int
    proven: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GivenUp:
    """A task to give up.

    :param count: number of workers that crashed under it.
    """

    key: pool.TaskKey
    count: int


@dataclasses.dataclass(slots=True)
class _Suspect:
    """One task under which workers crashed.

    :ivar apart_at: agent at which it runs as a suspect; empty if at none.
    :ivar bounded_starts: number of starts since the number of crashes reached
        the bound.
    :ivar last_start_bounded: whether the last start is one of these.
    :ivar adopted: whether another entry started the task before.
    """

    crashes: list[Crash] = dataclasses.field(default_factory=list)
    apart_at: types.PeerName = ''
    bounded_starts: int = 0
    last_start_bounded: bool = False
    adopted: bool = False

    def count(self, now: float) -> int:
        """Return the number of crashes, those not proven yet included."""
        return sum(crash.counts(now) for crash in self.crashes)

    def count_proven(self) -> int:
        """Return the number of proven crashes."""
        return sum(crash.proven for crash in self.crashes)

    def has_used_starts(self, now: float) -> bool:
        """Return whether the task must not be started any more for now."""
        return (
            self.count(now) >= BOUNDED_CRASHES
            and self.bounded_starts >= MAX_BOUNDED_STARTS
        )

    def is_given_up(self) -> bool:
        """Return whether the task must not be started ever again."""
        strong = sum(crash.strong is True for crash in self.crashes)
        if strong >= STRONG_CRASHES:
            return True
        if self.apart_at or self.count_proven() < BOUNDED_CRASHES:
            return False
        # Another entry may have used the starts that are left.
        return self.adopted or self.bounded_starts >= MAX_BOUNDED_STARTS

    def awaits_judgement(self) -> bool:
        """Return whether a crash to be weighed may give the task up."""
        possible = sum(
            crash.alone and crash.strong is not False for crash in self.crashes
        )
        unweighed = any(
            crash.alone and crash.proven and crash.strong is None
            for crash in self.crashes
        )
        return unweighed and possible >= STRONG_CRASHES


@dataclasses.dataclass(frozen=True, slots=True)
class _WorkerCrash:
    """One crash of a worker.

    :param explained: whether a suspect ran there, apart from other suspects.
    """

    at: float
    agent: types.PeerName
    explained: bool


class Suspects:
    """The suspects of one entry.

    :param enabled: whether crashes have any effect.
    """

    def __init__(self, enabled: bool = False) -> None:
        self._enabled = enabled
        self._by_task: dict[pool.TaskKey, _Suspect] = {}
        self._occupied: frozenset[types.PeerName] | None = None
        self._worker_crashes: collections.deque[_WorkerCrash] = (
            collections.deque(maxlen=MAX_SUSPECTS)
        )

    @property
    def count(self) -> int:
        """Number of suspects."""
        return len(self._by_task)

    def is_suspect(self, key: pool.TaskKey) -> bool:
        """Return whether workers crashed under a task."""
        return key in self._by_task

    # Evidence

    def record_crash(
        self, key: pool.TaskKey, report: Report, now: float
    ) -> bool:
        """Record a report of a crash.

        :returns: whether the crash was not known yet.
        """
        if not self._enabled:
            return False
        known = self._find_crash(key, report)
        if known is not None:
            known.proven = known.proven or report.proven
            return False
        self._record_worker_crash(report.agent, now)
        suspect = self._add(key)
        alone = report.beside == 1 or suspect.apart_at == report.agent
        suspect.crashes.append(
            Crash(now, report.agent, report.run, alone, report.proven)
        )
        return True

    def withdraw(
        self, key: pool.TaskKey, agent: types.PeerName, run: int
    ) -> bool:
        """Drop a crash, as the worker has answered again since.

        :returns: whether it was known.
        """
        suspect = self._by_task.get(key)
        if suspect is None:
            return False
        kept = [
            crash
            for crash in suspect.crashes
            if (crash.agent, crash.run) != (agent, run)
        ]
        if len(kept) == len(suspect.crashes):
            return False
        self._drop_worker_crash(agent)
        suspect.crashes = kept
        if not kept:
            del self._by_task[key]
            self._occupied = None
        return True

    def _drop_worker_crash(self, agent: types.PeerName) -> None:
        """Drop the last crash of one agent's worker."""
        for crash in reversed(self._worker_crashes):
            if crash.agent == agent:
                self._worker_crashes.remove(crash)
                return

    def adopt(
        self, key: pool.TaskKey, agent: types.PeerName, count: int, now: float
    ) -> None:
        """Adopt the crashes under a task that an agent remembers."""
        if not self._enabled:
            return
        missing = count - self.count_at(key, agent)
        crashes = [
            Crash(now, agent, 0, False, True, False) for _ in range(missing)
        ]
        if crashes:
            suspect = self._add(key)
            suspect.adopted = True
            suspect.crashes.extend(crashes)

    def readmit(self, job: types.JobKey, count: int) -> None:
        """Expect that a job's runs are numbered from 1 again.

        :param count: number of its tasks.
        """
        for index in range(count if self._by_task else 0):
            suspect = self._by_task.get((job, index), _Suspect())
            for crash in suspect.crashes:
                crash.run = 0

    def _find_crash(self, key: pool.TaskKey, report: Report) -> Crash | None:
        suspect = self._by_task.get(key)
        for crash in suspect.crashes if suspect else ():
            if (crash.agent, crash.run) == (report.agent, report.run):
                return crash
        return None

    def _add(self, key: pool.TaskKey) -> _Suspect:
        suspect = self._by_task.pop(key, None) or _Suspect()
        self._by_task[key] = suspect
        if len(self._by_task) > MAX_SUSPECTS:
            del self._by_task[next(iter(self._by_task))]
            self._occupied = None
        return suspect

    def _record_worker_crash(self, agent: types.PeerName, now: float) -> None:
        if any(
            crash.agent == agent and now < crash.at + _SAME_CRASH_SECONDS
            for crash in self._worker_crashes
        ):
            return
        explained = agent in self.find_occupied()
        self._worker_crashes.append(_WorkerCrash(now, agent, explained))

    # Starts

    def count_at(self, key: pool.TaskKey, agent: types.PeerName) -> int:
        """Return the number of proven crashes at one agent's worker."""
        suspect = self._by_task.get(key)
        if suspect is None:
            return 0
        return sum(
            crash.proven and crash.agent == agent for crash in suspect.crashes
        )

    def compute_pause(self, key: pool.TaskKey) -> float:
        """Return the seconds until a task may be started again."""
        suspect = self._by_task.get(key)
        if suspect is None or not suspect.crashes:
            return 0.0
        return PAUSES.get_delay(len(suspect.crashes))

    def may_start(self, key: pool.TaskKey, now: float) -> bool:
        """Return whether a task may be started now."""
        suspect = self._by_task.get(key)
        if suspect is None:
            return True
        return not (
            suspect.is_given_up()
            or suspect.has_used_starts(now)
            or suspect.awaits_judgement()
        )

    def find_occupied(self) -> frozenset[types.PeerName]:
        """Return the agents at which suspects run."""
        if self._occupied is None:
            self._occupied = frozenset(
                suspect.apart_at
                for suspect in self._by_task.values()
                if suspect.apart_at
            )
        return self._occupied

    def find_crashed(self, key: pool.TaskKey) -> frozenset[types.PeerName]:
        """Return the agents whose workers crashed under a task."""
        suspect = self._by_task.get(key)
        if suspect is None:
            return frozenset()
        return frozenset(crash.agent for crash in suspect.crashes)

    def record_start(
        self, key: pool.TaskKey, agent: types.PeerName, now: float
    ) -> None:
        """Record that a task is sent to a worker."""
        suspect = self._by_task.get(key)
        if suspect is None:
            return
        suspect.apart_at = agent
        self._occupied = None
        bounded = suspect.count(now) >= BOUNDED_CRASHES
        suspect.last_start_bounded = bounded
        suspect.bounded_starts = suspect.bounded_starts + 1 if bounded else 0

    def record_end(self, key: pool.TaskKey, *, refused: bool = False) -> None:
        """Record that a task's run is over.

        :param refused: whether it wasn't started.
        """
        suspect = self._by_task.get(key)
        if suspect is None:
            return
        suspect.apart_at = ''
        self._occupied = None
        if refused and suspect.last_start_bounded:
            suspect.bounded_starts -= 1
            suspect.last_start_bounded = False

    # Judgement

    def has_bounded_task(self, job: types.JobKey, count: int) -> bool:
        """Return whether starts of one of a job's tasks are bounded.

        If such a job isn't done in time, its caller must not submit it again:
        at another entry its task would be started as often once more.

        :param count: number of its tasks.
        """
        return any(
            suspect is not None and suspect.count_proven() >= BOUNDED_CRASHES
            for suspect in (
                self._by_task.get((job, index)) for index in range(count)
            )
        )

    def judge(self, now: float) -> list[GivenUp]:
        """Weigh the evidence, and return the tasks to give up."""
        given_up: list[GivenUp] = []
        for key, suspect in list(self._by_task.items()):
            for crash in suspect.crashes:
                self._weigh(crash, now)
            if suspect.is_given_up():
                given_up.append(GivenUp(key, suspect.count_proven()))
            last_at = suspect.crashes[-1].at
            if not suspect.apart_at and now > last_at + MEMORY_SECONDS:
                del self._by_task[key]
        return given_up

    def _weigh(self, crash: Crash, now: float) -> None:
        if crash.strong is not None or now < crash.at + JUDGE_SECONDS:
            return
        if not crash.proven:
            if not crash.counts(now):
                crash.strong = False
            return
        crash.strong = (
            crash.alone
            and self._count_workers_at(crash.at) < MANY_WORKERS
            and not self._was_unstable(crash)
        )

    def _count_workers_at(self, at: float) -> int:
        return len(
            {
                crash.agent
                for crash in self._worker_crashes
                if abs(crash.at - at) <= MOMENT_SECONDS and not crash.explained
            }
        )

    def _was_unstable(self, crash: Crash) -> bool:
        return any(
            other.agent == crash.agent
            and not other.explained
            and _SAME_CRASH_SECONDS <= crash.at - other.at <= UNSTABLE_SECONDS
            for other in self._worker_crashes
        )
