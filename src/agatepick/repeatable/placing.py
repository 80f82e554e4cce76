"""Placement of waiting tasks on workers, and requests for more capacity.

Load pattern: more tasks than fit, of different sizes, in several pools.
A task is assigned only when a worker has free capacity for it, so a straggler
or a wrong estimate delays one slot and no queue behind it.  For tasks without
capacity the entry sends the agents a request with the urgency of the first
task, and they reserve released capacity for the most urgent entry
(:mod:`~agatepick.repeatable.sharing`).
"""

import dataclasses
import math

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import estimating
from agatepick.repeatable import jobs
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool
from agatepick.repeatable import rounds
from agatepick.repeatable import spreading
from agatepick.repeatable import suspects
from agatepick.repeatable import wants
from agatepick import types


MAX_UNPLACED_TASKS = 256
"""Number of a job's tasks without capacity after which its others aren't tried
in a placement round: thousands would take all the processor time."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobFault:
    """A job whose tasks can't be placed, as an exception was raised."""

    job: owned_jobs.OwnedJob
    error: Exception


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
        self._last_wants: dict[str, wants.LastWant] = {}
        self._faults: list[JobFault] = []

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

        Capacity is requested for the tasks that don't fit.  Jobs that can't
        be placed, as an exception was raised, are left to :meth:`pop_faults`.

        :param waiting: jobs with waiting tasks, the most urgent first.
        """
        current = rounds.Round(
            self._pool, self._estimator, self._suspects, now
        )
        self._place_jobs(waiting, current)
        all_wants = current.build_wants()
        effects = [*current.notes, *self._send_starts(all_wants, current)]
        for name, pool_wants in all_wants.items():
            effects += self._send_want(name, pool_wants, now)
        # No task waits for the other pools any more.  Their agents get no
        # message: an agent with a grant for this entry receives the entry's
        # answer, and the others drop the request after a while.
        for name, last_want in self._last_wants.items():
            if name not in all_wants:
                self._last_wants[name] = dataclasses.replace(
                    last_want, latest_start=math.inf
                )
        return effects

    def pop_faults(self) -> list[JobFault]:
        """Return the jobs that failed since the last call.

        They are to be ended once the effects have been executed, which may
        start some of their tasks.
        """
        faults, self._faults = self._faults, []
        return faults

    def _place_jobs(
        self, waiting: list[owned_jobs.OwnedJob], current: rounds.Round
    ) -> None:
        for job in waiting:
            if job.spec.route.pool in current.exhausted_pools:
                continue
            try:
                self._place_job(job, current)
            except Exception as exc:
                self._faults.append(JobFault(job, exc))

    def _place_job(
        self, job: owned_jobs.OwnedJob, current: rounds.Round
    ) -> None:
        """Assign the tasks of one job that fit; the others wait.

        No capacity is requested for tasks that wait for the end of a run of
        their own step: they couldn't use it.
        """
        spread = spreading.Spread(job)
        records, tasks = job.records, job.spec.tasks
        # Task for which no worker at all has room: those like it aren't tried.
        unplaced: jobs.Task | None = None
        without_room: list[int] = []
        deferred: list[int] = []
        held: list[int] = []
        while job.waiting:
            if len(without_room) + len(held) >= MAX_UNPLACED_TASKS:
                break
            index = job.waiting.popleft()
            if current.now < records[index].retry_at:
                deferred.append(index)
                continue
            if not current.may_start(job, index):
                deferred.append(index)
                continue
            full = (
                spread.full_agents(index)
                if spread.limited
                else spreading.NO_AGENTS
            )
            if job.wide:
                full |= current.find_crowded(job, index)
            if full and current.are_all_full(job, index, full):
                held.append(index)
                continue
            task = tasks[index]
            if current.is_suspect(job, index):
                apart = current.pick_apart(job, index, full)
                if apart is not None:
                    self._assign(job, index, apart, current.now)
                    spread.add(index, apart.name)
                elif current.has_room(job, index):
                    # Only places beside other suspects are free: more
                    # capacity would not help.
                    deferred.append(index)
                else:
                    without_room.append(index)
                continue
            if (
                unplaced is not None
                and task.needs == unplaced.needs
                and task.label == unplaced.label
            ):
                without_room.append(index)
                continue
            worker = current.pick(job, index, full)
            if worker is None:
                without_room.append(index)
                if not full and not records[index].agents_to_avoid:
                    unplaced = task
                continue
            self._assign(job, index, worker, current.now)
            spread.add(index, worker.name)
        job.waiting.extendleft(reversed(without_room))
        job.waiting.extend(deferred)
        job.waiting.extend(held)
        if without_room:
            current.add_demand(job, [*without_room, *deferred])

    def _assign(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        worker: pool.Worker,
        now: float,
    ) -> None:
        task = job.spec.tasks[index]
        record = job.records[index]
        # An exception of the estimate must leave no run that is never sent.
        expected = estimating.estimate_run_seconds(self._estimator, job, index)
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
                expected,
                self._suspects.count_at(key, worker.name),
                self._suspects.is_suspect(key),
            )
        )

    def _send_starts(
        self, all_wants: dict[str, wants.Wants], current: rounds.Round
    ) -> list[object]:
        effects: list[object] = []
        for name in dict.fromkeys([*self._starts, *self._open_grants]):
            worker = self._pool.get(name)
            if worker is None:
                continue
            worker.last_start_number += 1
            grant = self._open_grants.pop(name, None)
            want = messages.NO_WANT
            if worker.pool in all_wants:
                want = all_wants[worker.pool].get(worker)
            if name not in self._starts and current.is_limited(worker.pool):
                # The agent would grant the same unused capacity once more, at
                # once and without end.
                want = messages.NO_WANT
            effects.append(
                core.Send(
                    name,
                    messages.StartRuns(
                        worker.last_start_number,
                        grant.grant if grant else 0,
                        tuple(self._starts.get(name, ())),
                        want,
                        tuple(self._payloads.get(name, ())),
                        worker.room.born if worker.room else 0,
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
        self, name: str, pool_wants: wants.Wants, now: float
    ) -> list[object]:
        """Send a pool's agents the capacity request, if it is due."""
        last_want = self._last_wants.get(name)
        latest_start = now + pool_wants.slack
        if last_want is not None and not last_want.is_due(latest_start, now):
            return []
        self._last_wants[name] = wants.LastWant(now, latest_start)
        effects: list[object] = []
        for worker in self._pool:
            if not worker.connected or worker.pool != name:
                continue
            want = pool_wants.get(worker)
            if want.count:
                effects.append(core.Send(worker.name, want))
        return effects
