"""Collects what an entry knows about a slow run, for the choice to move it.

The choice itself is in :mod:`~agatepick.repeatable.moves`.  Here are the
entry's own runs at the worker, those that finished there lately, the agents'
costs, and the outcome of earlier moves.
"""

import dataclasses
import statistics

from agatepick.repeatable import estimating
from agatepick.repeatable import health
from agatepick.repeatable import moves
from agatepick.repeatable import owned_jobs
from agatepick.repeatable import pool
from agatepick.repeatable import run_ratios

MAX_OTHERS = 32
"""Largest number of other runs that are weighed: what they show together is
bounded, and hundreds of short ones would take all the processor time."""

SUSPECT_RATIO = 2.0
"""Ratio to its expected time from which a finished run is recorded only if its
worker seems sound: otherwise the worker's fault would count as the task's."""


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """Expected time of a run at a typical worker.

    :param has_siblings: whether it is that of finished siblings.
    """

    seconds: float
    has_siblings: bool
    ratios: run_ratios.RunRatios


class Weigher:
    """Choices to move slow runs, from the state of one entry."""

    def __init__(
        self,
        workers: pool.Pool,
        all_jobs: owned_jobs.Jobs,
        estimator: estimating.Estimator,
    ) -> None:
        self._pool = workers
        self._jobs = all_jobs
        self._estimator = estimator
        self._ratios = run_ratios.AllRatios()
        self._budget = moves.Budget()

    def choose(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        target: pool.Worker,
        now: float,
    ) -> moves.Choice:
        """Return whether to move a slow run to another worker."""
        run = self._describe(job, index, target, now)
        choice = dataclasses.replace(
            moves.weigh(run, self._budget.trust),
            budget=self._budget.core_seconds,
        )
        if choice.moves and not self._budget.allows(choice):
            return dataclasses.replace(choice, reason=moves.Reason.BUDGET)
        return choice

    def record_move(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        choice: moves.Choice,
        now: float,
    ) -> None:
        """Charge a move, and remember the run that it leaves."""
        record = job.records[index]
        self._budget.charge(choice.waste)
        record.moved_without_proof |= not choice.proven
        record.left_run = owned_jobs.LeftRun(
            record.run, now - record.placed_at, choice.waste
        )

    def record_decline(
        self, job: owned_jobs.OwnedJob, index: int, choice: moves.Choice
    ) -> None:
        """Count a run as long by itself, before it finishes.

        It counts as one that takes as long as such runs do on average: the
        first ones would otherwise be known only after several times their
        expected time.
        """
        record = job.records[index]
        own = choice.reason in (moves.Reason.OWN_TAIL, moves.Reason.SECOND)
        counted = record.counted_run
        if choice.proven or not own or counted and counted.run == record.run:
            return
        expected = self._expect(job, index)
        ratio = expected.ratios.mean_above(choice.ratio)
        record.counted_run = owned_jobs.CountedRun(
            record.run, expected.has_siblings, ratio
        )
        queue = job.spec.route.name
        self._ratios.add(queue, expected.has_siblings, ratio)

    def record_finished(
        self,
        worker: pool.Worker,
        job: owned_jobs.OwnedJob,
        index: int,
        seconds: float,
        now: float,
    ) -> None:
        """Record a run that finished, before its job does."""
        task = job.spec.tasks[index]
        cores = task.needs.cpu
        self._budget.record_work(cores * seconds)
        self._settle_move(job.records[index], cores, now)
        expected = self._expect(job, index)
        self._record_ratios(worker, job, index, expected, seconds, now)
        worker.ends.append(
            pool.EndedRun(
                job.spec.key,
                task.step,
                job.spec.route.name,
                now,
                seconds,
                expected.seconds,
                expected.has_siblings,
            )
        )

    def _settle_move(
        self, record: owned_jobs.TaskRecord, cores: float, now: float
    ) -> None:
        left, record.left_run = record.left_run, None
        if left is None:
            return
        if record.run == left.run:
            self._budget.refund(left.charged)
        elif now - record.placed_at < left.seconds:
            self._budget.record_gain(left.charged, cores * left.seconds)
        else:
            self._budget.record_loss(left.charged, cores * left.seconds)

    def _record_ratios(
        self,
        worker: pool.Worker,
        job: owned_jobs.OwnedJob,
        index: int,
        expected: Expectation,
        seconds: float,
        now: float,
    ) -> None:
        counted = job.records[index].counted_run
        queue = job.spec.route.name
        if counted is not None and counted.run == job.records[index].run:
            self._ratios.discard(queue, counted.has_siblings, counted.ratio)
        task = job.spec.tasks[index]
        seconds /= worker.slowness
        if seconds >= SUSPECT_RATIO * expected.seconds:
            run = self._describe(job, index, worker, now)
            if moves.is_worker_suspect(run):
                return
        if expected.has_siblings:
            self._ratios.add(queue, True, seconds / expected.seconds)
        estimate = self._estimator.estimate_task(job.spec, task)
        estimate = max(estimate, estimating.MIN_EXPECTED_SECONDS)
        self._ratios.add(queue, False, seconds / estimate)

    def _expect(self, job: owned_jobs.OwnedJob, index: int) -> Expectation:
        has_siblings = bool(job.run_seconds.get(job.spec.tasks[index].step))
        seconds = estimating.estimate_run_seconds(self._estimator, job, index)
        return Expectation(
            max(seconds, estimating.MIN_EXPECTED_SECONDS),
            has_siblings,
            self._ratios.get(job.spec.route.name).select(has_siblings),
        )

    def _describe(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        target: pool.Worker,
        now: float,
    ) -> moves.SlowRun:
        record = job.records[index]
        expected = self._expect(job, index)
        worker = self._pool.get(record.agent)
        if worker is None:
            worker = target
        seconds = now - record.placed_at - worker.round_trip_seconds
        due_at = record.placed_at + expected.seconds * worker.slowness
        run = moves.SlowRun(
            max(seconds, estimating.MIN_EXPECTED_SECONDS),
            expected.seconds,
            job.spec.tasks[index].needs.cpu,
            expected.ratios,
            worker.slowness,
            target.slowness,
            self._collect_others(
                worker, job, index, expected.has_siblings, due_at, now
            ),
            moved=record.move_count > 0,
            moved_without_proof=record.moved_without_proof,
        )
        cost = self._compare_cost(worker, job, run.ratio, now)
        return dataclasses.replace(run, cost=cost)

    def _collect_others(
        self,
        worker: pool.Worker,
        job: owned_jobs.OwnedJob,
        index: int,
        known: bool,
        due_at: float,
        now: float,
    ) -> tuple[moves.OtherRun, ...]:
        """Return the other runs at a worker that went on after one was due.

        :param known: whether the expected time of this one's step is known.
        """
        step = job.spec.tasks[index].step
        others = [
            self._describe_ended(end, worker.slowness, due_at)
            for end in worker.ends
            if end.ended_at > due_at
            and (known or (end.job, end.step) != (job.spec.key, step))
        ]
        # Runs of one step are long together if its estimate is too short.
        estimated = set() if known else {(job.spec.key, step)}
        for key in worker.placed:
            if len(others) >= MAX_OTHERS:
                break
            other = self._jobs.get(key[0])
            if other is None or other is job and key[1] == index:
                continue
            job_and_step = (key[0], other.spec.tasks[key[1]].step)
            if job_and_step in estimated:
                continue
            if not other.run_seconds.get(job_and_step[1]):
                estimated.add(job_and_step)
            others.append(
                self._describe_open(other, key[1], worker, due_at, now)
            )
        return tuple(others[:MAX_OTHERS])

    def _describe_ended(
        self, end: pool.EndedRun, slowness: float, due_at: float
    ) -> moves.OtherRun:
        ratios = self._ratios.get(end.queue).select(end.has_siblings)
        overlap = end.ended_at - max(end.ended_at - end.seconds, due_at)
        expected = end.expected_seconds * slowness
        return moves.OtherRun(end.seconds, overlap, expected, True, ratios)

    def _describe_open(
        self,
        job: owned_jobs.OwnedJob,
        index: int,
        worker: pool.Worker,
        due_at: float,
        now: float,
    ) -> moves.OtherRun:
        expected = self._expect(job, index)
        started_at = job.records[index].placed_at + worker.round_trip_seconds
        return moves.OtherRun(
            max(now - started_at, 0.0),
            max(now - max(started_at, due_at), 0.0),
            expected.seconds * worker.slowness,
            False,
            expected.ratios,
        )

    def _compare_cost(
        self,
        worker: pool.Worker,
        job: owned_jobs.OwnedJob,
        ratio: float,
        now: float,
    ) -> moves.WorkerCost:
        peers = self._pool.usable_workers(job.spec.route.pool, '', now)
        if not peers:
            return moves.WorkerCost()
        median = pool.compute_median_cost(peers)
        spread = statistics.fmean(abs(peer.cost - median) for peer in peers)
        return moves.WorkerCost(
            worker.cost - _compute_own_cost(ratio), median, spread
        )


def _compute_own_cost(ratio: float) -> float:
    """Return how much a slow run alone may have raised its worker's cost."""
    cost = 0.0
    recorded = health.OVERDUE_RATIO
    while recorded <= ratio:
        cost += health.SLOWNESS_WEIGHT * max(recorded - 1.0 - cost, 0.0)
        recorded *= 2.0
    return cost
