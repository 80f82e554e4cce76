"""Placement of waiting tasks on workers, and requests for more capacity.

A task is assigned only when a worker has free capacity for it, so a straggler
or a wrong estimate delays one slot and no queue behind it.  For tasks without
capacity the entry sends the agents a request with the urgency of the first
task, and they reserve released capacity for the most urgent entry
(:mod:`~agatepick.repeatable.sharing`).
"""

import dataclasses
import functools
import math
import operator

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import estimating
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool
from agatepick.repeatable import suspects
from agatepick import types

WANT_REPEAT_SECONDS = 0.25
"""Pause before an entry repeats its capacity request; agents drop a request
after four times that."""

URGENCY_CHANGE_SECONDS = 0.05
"""Time by which the latest start of the most urgent task must be earlier than
in the last capacity request for another request to be sent at once: short wide
jobs have a slack of 0.13 s in all."""

MIN_WANT_INTERVAL_SECONDS = 0.03
"""Shortest pause between two capacity requests to a pool."""

MAX_BLOCKED_JOBS = 24
"""Number of jobs without capacity after which a placement round ends:
otherwise a queue of hundreds would be searched at each message, and an entry
with half a core spent all its time on that."""


class Placing:
    """Starts and capacity requests of one entry."""

    def __init__(
        self,
        workers: pool.Pool,
        estimator: estimating.Estimator,
        suspected: suspects.Suspects | None = None,
    ) -> None:
        self._pool = workers
        self._estimator = estimator
        self._suspects = suspected or suspects.Suspects()
        self._starts: dict[types.PeerName, list[messages.RunSpec]] = {}
        self._payloads: dict[types.PeerName, list[messages.Payload]] = {}
        self._open_grants: dict[types.PeerName, messages.Room] = {}
        self._last_wants: dict[str, _LastWant] = {}

    def store_room(self, worker: pool.Worker, room: messages.Room) -> None:
        """Store an agent's capacity update, which may contain a grant."""
        if room.grant:
            self._open_grants[worker.name] = room
        worker.update_room(room)

    @property
    def has_unanswered_grants(self) -> bool:
        """Whether an agent reserves capacity until this entry answers."""
        return bool(self._open_grants)

    def forget(self, name: types.PeerName) -> None:
        """Drop the grant of an agent whose connection ended."""
        self._open_grants.pop(name, None)

    def place(
        self, waiting: list[owned_jobs.OwnedJob], now: float
    ) -> list[object]:
        """Start the tasks that fit, the most urgent first.

        Capacity is requested for the tasks that don't fit.

        :param waiting: jobs with waiting tasks, the most urgent first.
        """
        blocked = self._place_jobs(waiting, now) if waiting else []
        blocked_by_pool: dict[str, list[owned_jobs.OwnedJob]] = {}
        for job in blocked:
            blocked_by_pool.setdefault(job.spec.route.pool, []).append(job)
        wants = {
            name: _build_want(jobs, now)
            for name, jobs in blocked_by_pool.items()
        }
        effects = self._send_starts(wants)
        for name, jobs in blocked_by_pool.items():
            effects += self._send_want(name, wants[name], now)
        # No task waits for the other pools any more.  Their agents get no
        # message: an agent with a grant for this entry receives the entry's
        # answer, and the others drop the request after a while.
        for name, last_want in self._last_wants.items():
            if name not in blocked_by_pool:
                self._last_wants[name] = dataclasses.replace(
                    last_want, latest_start=math.inf
                )
        return effects

    def _place_jobs(
        self, waiting: list[owned_jobs.OwnedJob], now: float
    ) -> list[owned_jobs.OwnedJob]:
        """Assign the tasks that fit, and return the jobs with tasks left."""
        blocked: list[owned_jobs.OwnedJob] = []
        candidates: dict[tuple[str, str], pool.Candidates] = {}
        min_unplaced_cpu: dict[tuple[str, str], float] = {}
        for job in waiting:
            unplaced: list[int] = []
            backing_off: list[int] = []
            while job.waiting:
                index = job.waiting.popleft()
                if now < job.records[index].retry_at:
                    backing_off.append(index)
                    continue
                key = (job.spec.key, index)
                if not self._suspects.may_start(key, now):
                    backing_off.append(index)
                    continue
                task = job.spec.tasks[index]
                pool_and_label = (job.spec.route.pool, task.label)
                if pool_and_label not in candidates:
                    candidates[pool_and_label] = self._pool.candidates(
                        *pool_and_label, now
                    )
                # No worker had room for a task with as many cores or fewer.
                if task.needs.cpu >= min_unplaced_cpu.get(
                    pool_and_label, float('inf')
                ):
                    unplaced.append(index)
                    continue
                worker = self._choose(job, index, candidates[pool_and_label])
                if worker is None:
                    if self._must_wait_apart(
                        key, task.needs, candidates[pool_and_label]
                    ):
                        backing_off.append(index)
                        continue
                    if not job.records[index].agents_to_avoid:
                        min_unplaced_cpu[pool_and_label] = task.needs.cpu
                    unplaced.append(index)
                    continue
                self._assign(job, index, worker, now)
            job.waiting.extend(unplaced)
            job.waiting.extend(backing_off)
            if unplaced:
                blocked.append(job)
            if len(blocked) >= MAX_BLOCKED_JOBS:
                break
        return blocked

    def _must_wait_apart(
        self,
        key: pool.TaskKey,
        needs: types.Needs,
        candidates: pool.Candidates,
    ) -> bool:
        """Return whether only the places beside other suspects are free.

        More capacity would not help such a task, so none is requested.
        """
        return (
            self._suspects.is_suspect(key)
            and candidates.pick(needs, frozenset()) is not None
        )

    def _choose(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        candidates: pool.Candidates,
    ) -> pool.Worker | None:
        task = job.spec.tasks[index]
        agents_to_avoid = job.records[index].agents_to_avoid
        occupied = self._suspects.find_occupied()
        key = (job.spec.key, index)
        if self._suspects.is_suspect(key):
            crashed = self._suspects.find_crashed(key)
            return candidates.pick_emptiest(
                task.needs, agents_to_avoid | crashed, occupied
            )
        if agents_to_avoid and all(
            worker.name in agents_to_avoid for worker in candidates.workers
        ):
            agents_to_avoid = frozenset()
        worker = candidates.pick(task.needs, agents_to_avoid | occupied)
        if worker is None and occupied:
            worker = candidates.pick(task.needs, agents_to_avoid)
        return worker

    def _assign(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        worker: pool.Worker,
        now: float,
    ) -> None:
        task = job.spec.tasks[index]
        record = job.records[index]
        record.state = owned_jobs.TaskState.PLACED
        record.agent = worker.name
        record.run += 1
        record.placed_at = now
        record.stopping = False
        job.mark_started(now)
        worker.reserve((job.spec.key, index), record.run, task.needs)
        key = (job.spec.key, index)
        self._suspects.record_start(key, worker.name, now)
        if job.spec.key not in worker.payload_cache:
            worker.payload_cache.add(job.spec.key, job.spec.payload)
            self._payloads.setdefault(worker.name, []).append(
                messages.Payload(job.spec.key, job.spec.payload)
            )
        self._starts.setdefault(worker.name, []).append(
            messages.RunSpec(
                job.spec.key,
                index,
                record.run,
                task.name,
                task.needs,
                estimate_run_seconds(self._estimator, job, index),
                self._suspects.count_at(key, worker.name),
                self._suspects.is_suspect(key),
            )
        )

    def _send_starts(self, wants: dict[str, messages.Want]) -> list[object]:
        effects: list[object] = []
        for name in dict.fromkeys([*self._starts, *self._open_grants]):
            worker = self._pool.get(name)
            if worker is None:
                continue
            worker.last_start_number += 1
            grant = self._open_grants.pop(name, None)
            effects.append(
                core.Send(
                    name,
                    messages.StartRuns(
                        worker.last_start_number,
                        grant.grant if grant else 0,
                        tuple(self._starts.get(name, ())),
                        wants.get(worker.pool, messages.NO_WANT),
                        tuple(self._payloads.get(name, ())),
                    ),
                )
            )
            if grant is not None:
                # The agent gives the unused part of a grant to other entries,
                # so this entry must not use it.
                worker.mark_full()
        self._starts.clear()
        self._payloads.clear()
        return effects

    def _send_want(
        self, name: str, want: messages.Want, now: float
    ) -> list[object]:
        """Send a pool's agents the capacity request, if it is due."""
        last_want = self._last_wants.get(name)
        latest_start = now + want.slack
        if last_want is not None and not last_want.is_due(latest_start, now):
            return []
        self._last_wants[name] = _LastWant(now, latest_start)
        return [
            core.Send(worker.name, want)
            for worker in self._pool
            if worker.connected and worker.pool == name
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class _LastWant:
    """Last capacity request that a pool's agents received.

    :param sent_at: instant at which it was sent.
    :param latest_start: latest start of the most urgent task; infinite once
        no task waits.
    """

    sent_at: float
    latest_start: float

    def is_due(self, latest_start: float, now: float) -> bool:
        """Return whether to send a request again.

        :param latest_start: latest start of the most urgent task that waits
            now.
        """
        if now >= self.sent_at + WANT_REPEAT_SECONDS:
            return True
        more_urgent = latest_start < self.latest_start - URGENCY_CHANGE_SECONDS
        return more_urgent and now >= self.sent_at + MIN_WANT_INTERVAL_SECONDS


def estimate_run_seconds(
    estimator: estimating.Estimator, job: owned_jobs.OwnedJob, index: int
) -> float:
    """Return the expected seconds of one task's run."""
    task = job.spec.tasks[index]
    siblings = job.run_seconds.get(task.step, [])
    return estimator.estimate_run(job.spec, task, siblings)


def _build_want(
    blocked: list[owned_jobs.OwnedJob], now: float
) -> messages.Want:
    needs = [
        job.spec.tasks[index].needs for job in blocked for index in job.waiting
    ]
    least = min(needs, key=lambda task_needs: task_needs.cpu)
    latest_start = min(job.latest_start for job in blocked)
    total = functools.reduce(operator.add, needs)
    return messages.Want(len(needs), least, latest_start - now, total)
