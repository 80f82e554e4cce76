"""The queue of an entry, and the slots at agents that it may fill.

This module combines the decisions under load: admission, fair queueing,
quotas, worker selection, outlier detection, retry budget and run-time
estimates.  Tasks wait in the entry and are bound to a slot only when one is
free (late binding), so that a straggler or a wrong estimate holds up one slot
but no queue behind it.

Load pattern of :meth:`Dispatch.create_slot_requests`: work arrives at an entry
whose share of the slots went to other entries while it was idle.  Agents
learn an entry's demand from start messages, so an entry sends requests only
to agents with which it has exchanged no message for
:data:`ASK_INTERVAL_SECONDS`.  Without these requests an entry that has no slot
left would wait for ever; more frequent ones would make up more than 2% of all
messages.
"""

import collections
import dataclasses
import heapq
import random
import typing

from agatepick import core
from agatepick.decisions import admission
from agatepick.decisions import demand
from agatepick.decisions import estimates
from agatepick.decisions import outliers
from agatepick.decisions import placement
from agatepick.decisions import presets
from agatepick.decisions import queues
from agatepick.decisions import quotas
from agatepick.decisions import retries
from agatepick.decisions import sizing
from agatepick.decisions import workers
from agatepick.net import messages
from agatepick import types

ASK_INTERVAL_SECONDS = 0.25
"""Least time between two messages that request slots from one agent."""
IDLE_ENTRY_SLOT_SHARE = 0.5
"""Part of all slots that admission expects an idle entry to obtain."""
EXCLUSION_SECONDS = 0.1
"""Time after a retry was due from which on the task may be placed at agents
that refused it."""
LATEST_START_FACTOR = 1.2
"""A job should start at least this multiple of its longest task's run time
before its deadline."""
NOTES_BY_STANDING = {
    outliers.Standing.EJECTED: 'worker_ejected',
    outliers.Standing.GOOD: 'worker_readmitted',
}
"""Name of the timeline note about an agent's new standing."""
DEADLINES_PRUNE_LENGTH = 4096
"""Length of the heap of deadlines from which on ended jobs are removed."""

QueuedTask = queues.QueuedTask
Refusal = admission.Refusal
AgentInfo = workers.AgentInfo


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchSettings:
    """The settings of one entry's dispatch.

    :param entry_name: name of the entry.
    :param preset: a name in :data:`agatepick.decisions.presets.BY_NAME`.
    :param policy: a name in
        :data:`agatepick.decisions.placement.POLICIES`.
    """

    entry_name: str = 'entry'
    preset: str = presets.DEFAULT
    policy: str = placement.DEFAULT_POLICY


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The tasks to start at one agent.

    :param incarnation: incarnation of the agent whose slots are filled.
    """

    agent: str
    incarnation: int
    tasks: tuple[QueuedTask, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchStatus:
    """The dispatch state that the status page shows.

    :param queued: number of waiting tasks by team.
    :param slots: slots that this entry may fill.
    :param running: slots that this entry fills.
    :param ejected: agents ejected as outliers.
    :param medians: median run time by kind, in seconds.
    """

    preset: str
    queued: tuple[tuple[str, int], ...]
    slots: int
    running: int
    ejected: tuple[str, ...]
    medians: tuple[tuple[str, float], ...]


class Dispatch:
    """The scheduler that decides when and where each task starts."""

    @classmethod
    def from_config(
        cls, cfg: DispatchSettings, rng: random.Random
    ) -> 'Dispatch':
        """Return a dispatch without agents.

        :param rng: only source of randomness of the dispatch.
        """
        return cls(cfg, rng)

    def __init__(self, cfg: DispatchSettings, rng: random.Random) -> None:
        self._preset = presets.BY_NAME[cfg.preset]
        self._rng = rng
        self._policy = placement.POLICIES[cfg.policy]()
        self._run_times = estimates.RunTimes()
        self._outliers = outliers.Outliers(self._preset.max_ejected_share)
        self._workers = workers.Workers(
            self._policy.uses_leases, self._outliers
        )
        self._queue = queues.FairQueue()
        self._queue.urgent_run = self._preset.urgent_run
        self._budget = retries.RetryBudget(self._preset, rng)
        self.quotas = quotas.Quotas(cfg.entry_name)
        self._retries = retries.RetryQueue()
        self._deadlines: list[tuple[float, int, str]] = []
        self._sequence = 0
        self._last_sized: sizing.SizedJob | None = None
        self._blocked: set[placement.Requirement] = set()
        self._demand = demand.SlotDemand()
        self._notes: list[core.Note] = []

    def use_preset(self, preset: presets.Preset, now: float) -> None:
        """Apply another preset to later decisions."""
        self._preset = preset
        self._outliers.max_ejected_share = preset.max_ejected_share
        self._queue.urgent_run = preset.urgent_run
        self._budget.use_preset(preset)

    def apply_offer(
        self, info: AgentInfo, offer: messages.Offer, now: float
    ) -> None:
        """Apply an agent's offer.

        It describes the agent's upstream and contains the number of slots
        that are leased to this entry.
        """
        self._workers.apply_offer(info, offer, now)

    def set_credits(self, agent: str, credits: int, now: float) -> None:
        """Set the number of an agent's slots that are leased to this entry.

        :param credits: number of slots, filled ones included.
        """
        self._workers.set_credits(agent, credits, now)

    def mark_disconnected(self, agent: str) -> None:
        """Stop placing tasks at an agent until its next offer."""
        self._workers.mark_disconnected(agent)

    def admit(
        self,
        job: types.JobSpec,
        zones_open: typing.Callable[[str], bool],
        now: float,
    ) -> Refusal | None:
        """Return why a job is refused, or ``None`` if it is admitted.

        :param zones_open: whether a zone is in service.
        """
        sized = self._estimate_job(job)
        for requirement in sized.groups:
            refusal = self._workers.find_refusal(requirement, zones_open)
            if refusal is not None:
                return refusal
        load = self._compute_load(sized, now)
        spare = self._preset.spare_share
        return admission.check_deadline(job, load, sized.estimate, spare, now)

    def enqueue(self, job: types.JobSpec, now: float) -> None:
        """Queue all tasks of a job."""
        sized = self._estimate_job(job)
        self._last_sized = None
        mean_task_seconds = sized.estimate.work_seconds / max(
            1, len(job.tasks)
        )
        groups = {
            requirement: collections.deque(indices)
            for requirement, indices in sized.groups.items()
        }
        pool = self._workers.get_pool(sized.groups)
        latest = self._compute_latest_start(sized)
        waiting = queues.WaitingJob(
            job, mean_task_seconds, groups, pool, latest
        )
        self._queue.add(waiting, now)
        self._sequence += 1
        item = (job.deadline, self._sequence, job.key)
        heapq.heappush(self._deadlines, item)
        self._prune_deadlines()

    def schedule_retry(
        self, task: QueuedTask, refused_by: str, now: float
    ) -> bool:
        """Schedule a retry of a refused task.

        :returns: ``False`` if the retry budget or the deadline forbids it.
        """
        self._release_needs(refused_by, task.job, task.index)
        remaining = task.job.deadline - now
        delay = self._budget.spend_token(task.attempt, remaining)
        if delay is None:
            return False
        excluded = task.excluded | {refused_by}
        spec = task.job.tasks[task.index]
        requirement = self._workers.classify(task.job, spec)
        if excluded >= self._workers.get_pool([requirement]):
            excluded = frozenset()
        retry = QueuedTask(task.job, task.index, task.attempt + 1, excluded)
        self._retries.push(retry, now + delay)
        return True

    def drop(self, key: str) -> tuple[int, ...]:
        """Remove a job's queued tasks and return their indices."""
        dropped = self._queue.drop(key)
        retried = self._retries.remove(lambda task: task.job.key == key)
        if not retried:
            return dropped
        return tuple(sorted([*dropped, *[task.index for task in retried]]))

    def expire(self, now: float) -> tuple[QueuedTask, ...]:
        """Remove and return the queued tasks whose deadline has passed."""
        expired: list[QueuedTask] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            key = heapq.heappop(self._deadlines)[2]
            waiting = self._queue.get(key)
            if waiting is not None and waiting.job.deadline <= now:
                indices = self._queue.drop(key)
                expired += [QueuedTask(waiting.job, i, 0) for i in indices]
        expired += self._retries.remove(lambda task: task.job.deadline <= now)
        return tuple(expired)

    def place(
        self, zone_share: typing.Callable[[str], float], now: float
    ) -> list[Placement]:
        """Bind waiting tasks to free slots, which count as filled from now on.

        :param zone_share: part of a zone's slots that may be filled, 0 to 1.
        """
        self._workers.prepare(zone_share, now)
        self._demand.record_use(
            self._workers.running, self._workers.slots, now
        )
        self._blocked.clear()
        if not self.count_waiting():
            self._demand.record_placement(now)
            return []
        chosen: dict[str, list[QueuedTask]] = {}
        if self._retries:
            self._place_retries(chosen, now)
        self._place_queue(chosen, now)
        if chosen:
            self._demand.record_placement(now)
        return [
            self._make_placement(name, chosen[name], now) for name in chosen
        ]

    def record_outcome(
        self,
        agent: str,
        job: types.JobSpec,
        index: int,
        ok: bool,
        seconds: float,
        now: float,
    ) -> None:
        """Record a task's outcome and free its slot.

        :param ok: whether the task succeeded.
        :param seconds: run time.
        """
        if ok:
            self._run_times.observe(job.tasks[index], seconds)
            self._demand.record_run_time(seconds)
        self._release_needs(agent, job, index)
        self.release_slot(agent, job.team, now)
        if self._outliers.record_outcome(agent, ok, now):
            self._workers.update_limit(agent)
            self._note_standing(agent)

    def release_slot(self, agent: str, team: str, now: float) -> None:
        """Free the slot of a task that the agent refused to start."""
        self._workers.free_slot(agent)
        if self.quotas.has_quota(team):
            self.quotas.remove_running(team)

    def create_slot_requests(self, now: float) -> list[tuple[str, int]]:
        """Record and return the slot requests that are due.

        :returns: name of each agent, with the number of waiting tasks that
            this entry requests slots for.
        """
        want = self.compute_demand(now)
        if not self._blocked or not want:
            return []
        names = self._workers.mark_agents_to_ask(
            self._blocked, now, ASK_INTERVAL_SECONDS
        )
        return [(name, want) for name in names]

    def count_waiting(self) -> int:
        """Return the number of queued tasks, retries included."""
        return len(self._queue) + len(self._retries)

    def compute_demand(self, now: float) -> int:
        """Return the number of waiting tasks to request slots for."""
        return self._demand.compute_demand(
            self.count_waiting(), self._workers.running, now
        )

    def next_wake(self, now: float) -> float | None:
        """Return the next instant at which state changes without an event."""
        wakes = []
        self._pop_stale_deadlines()
        if self._deadlines:
            wakes.append(self._deadlines[0][0])
        due = self._retries.next_due()
        if due is not None:
            wakes.append(max(due, now + retries.FIRST_RETRY_DELAY_SECONDS))
        if self._blocked:
            wakes.append(now + ASK_INTERVAL_SECONDS)
        trial = self._outliers.next_wake()
        if trial is not None and self.count_waiting():
            # Only a round of placements starts a trial, and without a lease
            # no round takes place: an instant in the past would wake the
            # entry again at once.
            wakes.append(max(trial, now + retries.FIRST_RETRY_DELAY_SECONDS))
        return min(wakes, default=None)

    def status(self, now: float) -> DispatchStatus:
        """Return the current state for the status page."""
        queued = collections.Counter(self._queue.count_by_team())
        queued.update(task.job.team for task in self._retries)
        return DispatchStatus(
            preset=self._preset.name,
            queued=tuple(sorted(queued.items())),
            slots=self._workers.limit,
            running=self._workers.running,
            ejected=self._outliers.list_ejected(),
            medians=self._run_times.medians(),
        )

    def pop_notes(self) -> list[core.Note]:
        """Return the timeline notes recorded since the last call."""
        notes, self._notes = self._notes, []
        return notes

    def _note_standing(self, agent: str) -> None:
        standing = self._outliers.get_standing(agent)
        name = NOTES_BY_STANDING.get(standing)
        if name is not None:
            self._notes.append(core.note(name, agent=agent))

    def _estimate_job(self, job: types.JobSpec) -> sizing.SizedJob:
        # The estimate is cached, as enqueue directly follows admit for a job.
        if self._last_sized is None or self._last_sized.job is not job:
            self._last_sized = sizing.estimate_job(
                job,
                self._workers.classify,
                self._run_times,
                self._preset.confidence,
            )
        return self._last_sized

    def _compute_latest_start(self, sized: sizing.SizedJob) -> float:
        estimate = sized.estimate
        spread = estimate.work_seconds / max(1, self._workers.limit)
        return (
            sized.job.deadline
            - LATEST_START_FACTOR * estimate.longest_seconds
            - spread
        )

    def _compute_load(
        self, sized: sizing.SizedJob, now: float
    ) -> admission.Load:
        job, estimate = sized.job, sized.estimate
        pool = self._workers.get_pool(sized.groups)
        limit, free, slots = self._workers.sum_slots(pool)
        if not len(self._queue):
            limit = max(limit, int(slots * IDLE_ENTRY_SLOT_SHARE))
        before = self._queue.sum_work_before(
            job, estimate.work_seconds, pool, limit, now
        )
        if self.quotas.has_quota(job.team):
            allowed = max(1, self.quotas.get_limit(job.team, now))
            if allowed < limit:
                before = self._queue.sum_team_work(job.team)
                free_quota = self.quotas.get_free(job.team, now)
                return admission.Load(before, allowed, max(0, free_quota))
        return admission.Load(before, limit, free)

    def _place_retries(
        self, chosen: dict[str, list[QueuedTask]], now: float
    ) -> None:
        for due, task in self._retries.pop_due(now):
            spec = task.job.tasks[task.index]
            requirement = self._workers.classify(task.job, spec)
            index = self._workers.get_index(requirement)
            excluded = task.excluded
            if now >= due + EXCLUSION_SECONDS:
                excluded = frozenset()
            worker = None
            if self._get_free_quota(task.job.team, now) > 0:
                worker = self._pick_worker(index, task.job, spec, excluded, {})
            if worker is None:
                self._blocked.add(index.requirement)
                self._retries.push(task, due)
            else:
                self._bind(chosen, worker, task, spec)

    def _place_queue(
        self, chosen: dict[str, list[QueuedTask]], now: float
    ) -> None:
        throttled: set[str] = set()
        while True:
            next_group = self._queue.find_next(self._blocked, throttled, now)
            if next_group is None:
                return
            waiting, requirement = next_group
            free_quota = self._get_free_quota(waiting.job.team, now)
            if free_quota <= 0:
                throttled.add(waiting.job.team)
                continue
            # FairQueue limits runs of urgent starts, so it must choose anew
            # after each one.
            limit = 1 if waiting.job.urgent else free_quota
            if not self._place_group(chosen, waiting, requirement, limit):
                self._blocked.add(requirement)

    def _place_group(
        self,
        chosen: dict[str, list[QueuedTask]],
        waiting: queues.WaitingJob,
        requirement: placement.Requirement,
        limit: int,
    ) -> bool:
        """Bind up to ``limit`` tasks of a group.

        :returns: ``False`` if no worker was free for one of them.
        """
        job = waiting.job
        group = waiting.groups[requirement]
        index = self._workers.get_index(requirement)
        racks = waiting.racks
        while group and limit > 0:
            spec = job.tasks[group[0]]
            worker = self._pick_worker(index, job, spec, frozenset(), racks)
            if worker is None:
                return False
            task = QueuedTask(job, self._queue.pop_task(waiting, group), 0)
            self._bind(chosen, worker, task, spec)
            racks[worker.rack] = racks.get(worker.rack, 0) + 1
            limit -= 1
        return True

    def _pick_worker(
        self,
        index: placement.ClassIndex,
        job: types.JobSpec,
        spec: types.TaskSpec,
        excluded: frozenset[str],
        racks: dict[str, int],
    ) -> placement.Worker | None:
        return index.pick(
            self._policy, spec.needs, excluded, job.urgent, racks, self._rng
        )

    def _bind(
        self,
        chosen: dict[str, list[QueuedTask]],
        worker: placement.Worker,
        task: QueuedTask,
        spec: types.TaskSpec,
    ) -> None:
        self._workers.fill_slot(worker)
        if spec.needs != _NO_NEEDS:
            worker.acquire(spec.needs)
        if self.quotas.has_quota(task.job.team):
            self.quotas.add_running(task.job.team, 1)
        chosen.setdefault(worker.name, []).append(task)

    def _make_placement(
        self, name: str, tasks: list[QueuedTask], now: float
    ) -> Placement:
        self._budget.add_tokens(len(tasks))
        incarnation = self._workers.record_start(name, now)
        return Placement(name, incarnation, tuple(tasks))

    def _release_needs(
        self, agent: str, job: types.JobSpec, index: int
    ) -> None:
        needs = job.tasks[index].needs
        if needs != _NO_NEEDS:
            self._workers.release(agent, needs)

    def _get_free_quota(self, team: str, now: float) -> int:
        if not self.quotas.has_quota(team):
            return _UNLIMITED_TASKS
        return self.quotas.get_free(team, now)

    def _pop_stale_deadlines(self) -> None:
        """Remove deadlines of jobs that no longer wait from the heap's top.

        Otherwise the deadline of a job that ended in time would, once it has
        passed, stay first in the heap and wake the entry again and again
        without a pause.
        """
        while self._deadlines:
            if self._queue.get(self._deadlines[0][2]) is not None:
                return
            heapq.heappop(self._deadlines)

    def _prune_deadlines(self) -> None:
        """Rebuild the heap if most of its jobs no longer wait."""
        if len(self._deadlines) < DEADLINES_PRUNE_LENGTH:
            return
        waiting_items = [
            item
            for item in self._deadlines
            if self._queue.get(item[2]) is not None
        ]
        if len(waiting_items) * 2 < len(self._deadlines):
            heapq.heapify(waiting_items)
            self._deadlines = waiting_items


_NO_NEEDS = types.Needs()
_UNLIMITED_TASKS = int(1e9)
