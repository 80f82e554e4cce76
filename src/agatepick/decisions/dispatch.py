"""An entry's queue, and the slots at agents that it may fill.

Combines the decisions under load: admission, fair queueing, quotas, choice
of worker, outlier detection, retry budget and run-time estimates.  Tasks
wait here and are bound to a slot only when one is free (late binding), so a
straggler or a wrong estimate holds up one slot, not a queue behind it.

Load pattern of :meth:`Dispatch.asks`: work comes to an entry whose share of
the slots has gone to others while it was idle.  Agents learn of demand from
start messages, so an entry asks only agents that it has neither sent to nor
heard from for :data:`ASK_SECONDS`; without asks it would wait for ever,
asking more often would cost more than 2% of all messages.
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

ASK_SECONDS = 0.25
IDLE_SHARE = 0.5
"""Part of all slots that an idle entry counts on getting when it asks."""
EXCLUDED_SECONDS = 0.1
"""A retry no other agent takes for so long goes back to any agent."""
LATEST_SPARE = 1.2
"""Longest run times before the deadline at which a job should have begun."""
NOTES = {
    outliers.Standing.EJECTED: 'worker_ejected',
    outliers.Standing.GOOD: 'worker_readmitted',
}
SPARE_DEADLINES = 4096

Pending = queues.Pending
Refusal = admission.Refusal
AgentInfo = workers.AgentInfo


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Settings of one entry's dispatch.

    :param name: the entry's own name.
    :param policy: a name in :data:`agatepick.placement.POLICIES`.
    """

    name: str = 'entry'
    preset: str = presets.DEFAULT
    policy: str = placement.DEFAULT_POLICY


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Tasks to start at one agent."""

    agent: str
    incarnation: int
    tasks: tuple[Pending, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchStatus:
    """What the status page shows.

    :param queued: waiting tasks by team.
    :param slots: slots that this entry may fill.
    :param running: slots that it fills.
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
    """Decides what starts where and when; see the module's text."""

    @classmethod
    def from_config(
        cls, cfg: DispatchSettings, rng: random.Random
    ) -> 'Dispatch':
        """A dispatch without agents; ``rng`` is its only randomness."""
        return cls(cfg, rng)

    def __init__(self, cfg: DispatchSettings, rng: random.Random) -> None:
        self._preset = presets.BY_NAME[cfg.preset]
        self._rng = rng
        self._policy = placement.POLICIES[cfg.policy]()
        self._run_times = estimates.RunTimes()
        self._outliers = outliers.Outliers(self._preset.max_ejected_share)
        self._workers = workers.Workers(self._policy.leased, self._outliers)
        self._queue = queues.FairQueue()
        self._queue.urgent_run = self._preset.urgent_run
        self._budget = retries.RetryBudget(self._preset, rng)
        self.quotas = quotas.Quotas(cfg.name)
        self._retries = retries.RetryQueue()
        self._deadlines: list[tuple[float, int, str]] = []
        self._sequence = 0
        self._sized: sizing.SizedJob | None = None
        self._blocked: set[placement.Requirement] = set()
        self._demand = demand.Demand()
        self._notes: list[core.Note] = []

    def use_preset(self, preset: presets.Preset, now: float) -> None:
        """Decide by another preset from now on."""
        self._preset = preset
        self._outliers.max_ejected_share = preset.max_ejected_share
        self._queue.urgent_run = preset.urgent_run
        self._budget.use_preset(preset)

    def agent_offers(
        self, info: AgentInfo, offer: messages.Offer, now: float
    ) -> None:
        """Take an agent's offer: its upstream and the slots leased here."""
        self._workers.offered(info, offer, now)

    def agent_credits(self, agent: str, credits: int, now: float) -> None:
        """Take the slots now leased here, those filled included."""
        self._workers.credited(agent, credits, now)

    def agent_gone(self, agent: str) -> None:
        """Place nothing at an agent until it offers again."""
        self._workers.disconnected(agent)

    def admit(
        self,
        job: types.JobSpec,
        zones_open: typing.Callable[[str], bool],
        now: float,
    ) -> Refusal | None:
        """Why a job isn't let in, or ``None`` if it is."""
        sized = self._size(job)
        for requirement in sized.groups:
            refusal = self._workers.refuses(requirement, zones_open)
            if refusal is not None:
                return refusal
        load = self._load(sized, now)
        spare = self._preset.spare_share
        return admission.judge(job, load, sized.demand, spare, now)

    def enqueue(self, job: types.JobSpec, now: float) -> None:
        """Queue all tasks of a job."""
        sized = self._size(job)
        self._sized = None
        cost = sized.demand.work / max(1, len(job.tasks))
        groups = {
            requirement: collections.deque(indices)
            for requirement, indices in sized.groups.items()
        }
        pool = self._workers.pool(sized.groups)
        latest = self._latest_start(sized)
        waiting = queues.WaitingJob(job, cost, groups, pool, latest)
        self._queue.add(waiting, now)
        self._sequence += 1
        entry = (job.deadline, self._sequence, job.key)
        heapq.heappush(self._deadlines, entry)
        self._trim_deadlines()

    def requeue(self, task: Pending, refused_by: str, now: float) -> bool:
        """Try a refused task again; ``False`` means to give it up."""
        self._return_needs(refused_by, task.job, task.index)
        left = task.job.deadline - now
        pause = self._budget.delay(task.attempt, left)
        if pause is None:
            return False
        excluded = task.excluded | {refused_by}
        spec = task.job.tasks[task.index]
        requirement = self._workers.requirement(task.job, spec)
        if excluded >= self._workers.pool([requirement]):
            excluded = frozenset()
        again = Pending(task.job, task.index, task.attempt + 1, excluded)
        self._retries.push(again, now + pause)
        return True

    def drop(self, key: str) -> tuple[int, ...]:
        """Remove a job's queued tasks; returns their indices."""
        dropped = self._queue.drop(key)
        again = self._retries.remove(lambda task: task.job.key == key)
        if not again:
            return dropped
        return tuple(sorted([*dropped, *[task.index for task in again]]))

    def expire(self, now: float) -> tuple[Pending, ...]:
        """Remove and return queued tasks whose deadline has passed."""
        late: list[Pending] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            key = heapq.heappop(self._deadlines)[2]
            waiting = self._queue.get(key)
            if waiting is not None and waiting.job.deadline <= now:
                indices = self._queue.drop(key)
                late += [Pending(waiting.job, i, 0) for i in indices]
        late += self._retries.remove(lambda task: task.job.deadline <= now)
        return tuple(late)

    def place(
        self, zone_share: typing.Callable[[str], float], now: float
    ) -> list[Placement]:
        """Bind waiting tasks to free slots, which count as taken.

        :param zone_share: part of each zone's slots in use, 0 to 1.
        """
        self._workers.prepare(zone_share, now)
        self._demand.add(self._workers.running, self._workers.slots, now)
        self._blocked.clear()
        if not self.waiting():
            self._demand.placed(now)
            return []
        chosen: dict[str, list[Pending]] = {}
        if self._retries:
            self._place_retries(chosen, now)
        self._place_queue(chosen, now)
        if chosen:
            self._demand.placed(now)
        return [self._placed(name, chosen[name], now) for name in chosen]

    def ended(
        self,
        agent: str,
        job: types.JobSpec,
        index: int,
        ok: bool,
        seconds: float,
        now: float,
    ) -> None:
        """Take a task's outcome, which frees its slot."""
        if ok:
            self._run_times.observe(job.tasks[index], seconds)
            self._demand.ended(seconds)
        self._return_needs(agent, job, index)
        self.refused(agent, job.team, now)
        if self._outliers.record(agent, ok, now):
            self._workers.refresh(agent)
            self._note_standing(agent)

    def refused(self, agent: str, team: str, now: float) -> None:
        """Free the slot of a task that wasn't started."""
        self._workers.freed(agent)
        if self.quotas.limited(team):
            self.quotas.ended(team)

    def asks(self, now: float) -> list[tuple[str, int]]:
        """Agents to ask for slots, and how many tasks wait for them."""
        want = self.demand(now)
        if not self._blocked or not want:
            return []
        names = self._workers.to_ask(self._blocked, now, ASK_SECONDS)
        return [(name, want) for name in names]

    def waiting(self) -> int:
        """Tasks queued, retries included."""
        return len(self._queue) + len(self._retries)

    def demand(self, now: float) -> int:
        """Waiting tasks that agents should move slots here for."""
        return self._demand.told(self.waiting(), self._workers.running, now)

    def next_wake(self, now: float) -> float | None:
        """Instant at which something changes without an event."""
        wakes = []
        self._skip_deadlines()
        if self._deadlines:
            wakes.append(self._deadlines[0][0])
        due = self._retries.next_due()
        if due is not None:
            wakes.append(max(due, now + retries.BASE_SECONDS))
        if self._blocked:
            wakes.append(now + ASK_SECONDS)
        trial = self._outliers.next_wake()
        if trial is not None and self.waiting():
            # Only a round of placements begins a trial, and without a lease
            # there is none: an instant that passed would come back at once.
            wakes.append(max(trial, now + retries.BASE_SECONDS))
        return min(wakes, default=None)

    def status(self, now: float) -> DispatchStatus:
        """The present state for the status page."""
        queued = collections.Counter(self._queue.by_team())
        queued.update(task.job.team for task in self._retries)
        return DispatchStatus(
            preset=self._preset.name,
            queued=tuple(sorted(queued.items())),
            slots=self._workers.limit,
            running=self._workers.running,
            ejected=self._outliers.ejected(),
            medians=self._run_times.medians(),
        )

    def take_notes(self) -> list[core.Note]:
        """Entries for the time line since the last call."""
        notes, self._notes = self._notes, []
        return notes

    def _note_standing(self, agent: str) -> None:
        standing = self._outliers.standing(agent)
        name = NOTES.get(standing)
        if name is not None:
            self._notes.append(core.note(name, agent=agent))

    def _size(self, job: types.JobSpec) -> sizing.SizedJob:
        # admit and enqueue follow one another: size a job once.
        if self._sized is None or self._sized.job is not job:
            self._sized = sizing.size(
                job,
                self._workers.requirement,
                self._run_times,
                self._preset.confidence,
            )
        return self._sized

    def _latest_start(self, sized: sizing.SizedJob) -> float:
        demand = sized.demand
        spread = demand.work / max(1, self._workers.limit)
        return sized.job.deadline - LATEST_SPARE * demand.longest - spread

    def _load(self, sized: sizing.SizedJob, now: float) -> admission.Load:
        job, demand = sized.job, sized.demand
        pool = self._workers.pool(sized.groups)
        limit, free, slots = self._workers.capacity(pool)
        if not len(self._queue):
            limit = max(limit, int(slots * IDLE_SHARE))
        before = self._queue.work_before(job, demand.work, pool, limit, now)
        if self.quotas.limited(job.team):
            allowed = max(1, self.quotas.allowed(job.team, now))
            if allowed < limit:
                before = self._queue.team_work(job.team)
                room = self.quotas.room(job.team, now)
                return admission.Load(before, allowed, max(0, room))
        return admission.Load(before, limit, free)

    def _place_retries(
        self, chosen: dict[str, list[Pending]], now: float
    ) -> None:
        for due, task in self._retries.due(now):
            spec = task.job.tasks[task.index]
            requirement = self._workers.requirement(task.job, spec)
            index = self._workers.index(requirement)
            excluded = task.excluded
            if now >= due + EXCLUDED_SECONDS:
                excluded = frozenset()
            worker = None
            if self._quota_room(task.job.team, now) > 0:
                worker = self._pick(index, task.job, spec, excluded, {})
            if worker is None:
                self._blocked.add(index.requirement)
                self._retries.push(task, due)
            else:
                self._bind(chosen, worker, task, spec)

    def _place_queue(
        self, chosen: dict[str, list[Pending]], now: float
    ) -> None:
        held: set[str] = set()
        while True:
            found = self._queue.next(self._blocked, held, now)
            if found is None:
                return
            waiting, requirement = found
            room = self._quota_room(waiting.job.team, now)
            if room <= 0:
                held.add(waiting.job.team)
                continue
            # An urgent run must be checked after each start.
            most = 1 if waiting.job.urgent else room
            if not self._place_group(chosen, waiting, requirement, most):
                self._blocked.add(requirement)

    def _place_group(
        self,
        chosen: dict[str, list[Pending]],
        waiting: queues.WaitingJob,
        requirement: placement.Requirement,
        most: int,
    ) -> bool:
        """Start up to ``most`` tasks; ``False`` if no worker was free."""
        job = waiting.job
        group = waiting.groups[requirement]
        index = self._workers.index(requirement)
        racks = waiting.racks
        while group and most > 0:
            spec = job.tasks[group[0]]
            worker = self._pick(index, job, spec, frozenset(), racks)
            if worker is None:
                return False
            task = Pending(job, self._queue.take(waiting, group), 0)
            self._bind(chosen, worker, task, spec)
            racks[worker.rack] = racks.get(worker.rack, 0) + 1
            most -= 1
        return True

    def _pick(
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
        chosen: dict[str, list[Pending]],
        worker: placement.Worker,
        task: Pending,
        spec: types.TaskSpec,
    ) -> None:
        self._workers.taken(worker)
        if spec.needs != _NO_NEEDS:
            worker.take(spec.needs)
        if self.quotas.limited(task.job.team):
            self.quotas.started(task.job.team, 1)
        chosen.setdefault(worker.name, []).append(task)

    def _placed(
        self, name: str, tasks: list[Pending], now: float
    ) -> Placement:
        self._budget.started(len(tasks))
        incarnation = self._workers.sent_to(name, now)
        return Placement(name, incarnation, tuple(tasks))

    def _return_needs(
        self, agent: str, job: types.JobSpec, index: int
    ) -> None:
        needs = job.tasks[index].needs
        if needs != _NO_NEEDS:
            self._workers.give_back(agent, needs)

    def _quota_room(self, team: str, now: float) -> int:
        if not self.quotas.limited(team):
            return _UNLIMITED
        return self.quotas.room(team, now)

    def _skip_deadlines(self) -> None:
        """Drop the first deadlines of jobs that no longer wait.

        A deadline of a job that ended before it would stay first after it
        has passed, and wake the entry again and again without a pause.
        """
        while self._deadlines:
            if self._queue.get(self._deadlines[0][2]) is not None:
                return
            heapq.heappop(self._deadlines)

    def _trim_deadlines(self) -> None:
        """Forget deadlines of jobs that no longer wait."""
        if len(self._deadlines) < SPARE_DEADLINES:
            return
        kept = [
            entry
            for entry in self._deadlines
            if self._queue.get(entry[2]) is not None
        ]
        if len(kept) * 2 < len(self._deadlines):
            heapq.heapify(kept)
            self._deadlines = kept


_NO_NEEDS = types.Needs()
_UNLIMITED = int(1e9)
