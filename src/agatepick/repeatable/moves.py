"""Weighs whether a slow run should be moved to another worker.

Load pattern: a few tasks in a hundred take several times as long as others,
wherever they run, while now and then a worker turns slow or hangs.  From the
run alone the two look the same.  Moving a task that is long by itself restarts
its work and makes it later still; leaving one on a worker that hangs makes its
caller wait until the worker recovers.

Three things tell them apart: how often runs of the same kind take as long on
sound workers, how the other runs at this worker went meanwhile, and the
worker's cost beside that of its peers.  They give the odds that the worker is
the cause, and with these the expected remaining time here and the expected
whole time at another worker.  A budget bounds the work that is thrown away by
moves which don't gain.
"""

import dataclasses
import enum
import math
import typing

FAULTY_FACTORS = (5.0, 1000.0)
"""Factors on run times at a worker that is at fault: one that turned slow, and
one that hangs.  Both are as likely."""

FAULT_SECONDS = 4.0
"""Time for which a fault is expected to last on: workers were seen to be slow
or to hang for some seconds."""

PRIOR_ODDS = 0.01
"""Odds that a worker is at fault before anything is known of its runs: a fault
of some seconds in some minutes."""

MIN_EVIDENCE_FACTOR = 0.05
"""Least factor on the odds by one other run, and the inverse of the largest:
its expected time may be wrong, or its time its own."""

MAX_EVIDENCE = math.log(1000.0)
"""Bound of the logarithm of the factor on the odds by the run itself, and by
all other runs: these aren't independent of one another, and a run that no
record explains must not outweigh a dozen others that ended in time."""

OVERDUE_RATIO = 1.5
"""Ratio to its expected time from which another run that goes on speaks
against the worker: below it, a slower type of worker explains as much."""

MIN_DENSITY = 0.002
"""Least share of runs that is assumed to end at any ratio."""

DENSITY_OCTAVES = 0.5
"""Half the width, in octaves, of the range of ratios that count as equal to
that of an ended run."""

COST_WEIGHT = 0.5
"""Weight of the worker's cost, in spreads of its peers' costs above their
median.  Agents learn of a slow run late, so a low cost proves little."""

MAX_COST_EVIDENCE = 3.0
MIN_COST_EVIDENCE = -0.5
"""Bounds of the logarithm of the factor on the odds by the worker's cost."""

MIN_COST_SPREAD = 0.15
"""Least spread of healthy workers' costs, as estimates of run times vary."""

PROOF_ODDS = 4.0
"""Factor on the odds, by the evidence apart from the run itself, from which
the worker counts as proven to be the cause."""

OVERHEAD_SECONDS = 0.05
"""Time until a moved task runs again: a stop, its report and a start."""

MIN_GAIN = 0.05
"""Least part of the expected remaining time that a move must gain."""

WASTE_WEIGHT = 0.5
"""Weight, beside the task's own time, of the time that a move is expected to
throw away: others wait for the capacity that the task uses again."""

BUDGET_CORE_SECONDS = 12.0
"""Largest amount of work that may be thrown away in a row without gain: a few
runs of some cores and seconds."""

WORK_SHARE = 0.004
"""Share of the work done by which the budget refills: with it, moves without
gain cost less than a slot in two hundred."""

GAIN_SHARE = 0.1
"""Share by which the budget refills of the work that a gaining move left."""

MIN_TRUST = 0.1
MAX_TRUST = 2.0
"""Bounds of the factor on the odds by the gains of earlier moves."""

TRUST_MOVES = 2.0
"""Number of gaining and of other moves that are assumed to begin with."""

MAX_TRUST_MOVES = 32.0
"""Number of moves at which their counts are halved, so that a change of the
work is noticed."""


class Reason(enum.StrEnum):
    """Why a run is moved or left.

    ``OWN_TAIL``: the time is most likely the task's own.  ``NO_GAIN``: its
    worker is most likely the cause, but the rest takes less time here than the
    whole elsewhere.  ``SECOND``: the task was moved before and it isn't proven
    that both workers were the cause.
    """

    MOVED = 'moved'
    OWN_TAIL = 'own_tail'
    NO_GAIN = 'no_gain'
    BUDGET = 'budget'
    SECOND = 'second'


class Ratios(typing.Protocol):
    """Distribution of run times of a kind of task at sound workers.

    Each as a ratio to its expected time.
    """

    def survival(self, ratio: float) -> float:
        """Return the share of runs that take longer than a ratio."""

    def mean_above(self, ratio: float) -> float:
        """Return the mean ratio of the runs that take longer than one."""


@dataclasses.dataclass(frozen=True, slots=True)
class OtherRun:
    """Another run at the same worker.

    :param seconds: its time so far, or its whole time.
    :param overlap_seconds: part of it after the weighed run was due.
    :param expected_seconds: its expected time at this worker.
    :param ended: whether it finished.
    """

    seconds: float
    overlap_seconds: float
    expected_seconds: float
    ended: bool
    ratios: Ratios


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerCost:
    """Cost of a worker beside those of its peers at the same moment.

    :param median: median of the peers' costs.
    :param spread: their mean deviation from it.
    """

    cost: float = 1.0
    median: float = 1.0
    spread: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SlowRun:
    """A run that takes far longer than expected.

    :param seconds: its time so far.
    :param expected_seconds: its expected time at a typical worker.
    :param slowness: usual slowness of its worker.
    :param other_slowness: usual slowness of the worker to move it to.
    :param moved: whether the task was moved before.
    :param moved_without_proof: whether one of these moves left a worker that
        wasn't proven to be the cause.
    """

    seconds: float
    expected_seconds: float
    cores: float
    ratios: Ratios
    slowness: float = 1.0
    other_slowness: float = 1.0
    others: tuple[OtherRun, ...] = ()
    cost: WorkerCost = WorkerCost()
    moved: bool = False
    moved_without_proof: bool = False

    @property
    def ratio(self) -> float:
        """Time so far in expected times at this worker."""
        return self.seconds / (self.expected_seconds * self.slowness)


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Whether to move a run, with what decided.

    :param ratio: the run's time so far in expected times.
    :param probability: probability that the worker is the cause.
    :param here_seconds: expected remaining time at this worker.
    :param there_seconds: expected time until the end if it is moved.
    :param proven: whether other evidence than the run shows the worker's
        fault.
    :param waste: core-seconds that a move is expected to throw away.
    :param work: core-seconds that the run has taken.
    :param budget: core-seconds that may be thrown away.
    """

    reason: Reason
    ratio: float
    probability: float
    here_seconds: float
    there_seconds: float
    proven: bool
    waste: float
    work: float
    budget: float = 0.0

    @property
    def moves(self) -> bool:
        """Whether to move the run."""
        return self.reason is Reason.MOVED

    def describe(self) -> dict[str, str]:
        """Return the fields of a note that show what decided."""
        return {
            'fault': f'{self.probability:.3f}',
            'here': f'{self.here_seconds:.3f}',
            'there': f'{self.there_seconds:.3f}',
            'waste': f'{self.waste:.2f}',
            'work': f'{self.work:.2f}',
            'budget': f'{self.budget:.2f}',
        }


def weigh(run: SlowRun, trust: float = 1.0) -> Choice:
    """Return whether a move is expected to gain time.

    :param trust: factor on the odds that the worker is the cause, by what
        earlier moves gained.
    """
    evidence = _weigh_cost(run.cost) + _weigh_others(run.others)
    odds = PRIOR_ODDS * trust * math.exp(evidence) * _weigh_itself(run)
    probability = odds / (1.0 + odds)
    here = _blend(probability, _remaining_if_faulty(run), _remaining(run))
    there = _blend(
        probability,
        _whole_elsewhere(run, run.ratio / FAULTY_FACTORS[0]),
        _whole_elsewhere(run, run.ratio),
    )
    proven = evidence >= math.log(PROOF_ODDS)
    reason = Reason.MOVED
    if run.moved and (run.moved_without_proof or not proven):
        reason = Reason.SECOND
    elif not _gains(here, there, (1.0 - probability) * run.seconds):
        reason = Reason.OWN_TAIL if probability < 0.5 else Reason.NO_GAIN
    work = run.cores * run.seconds
    waste = work * (1.0 - probability)
    return Choice(
        reason, run.ratio, probability, here, there, proven, waste, work
    )


def is_worker_suspect(run: SlowRun) -> bool:
    """Return whether other evidence than a run speaks against its worker."""
    return _weigh_cost(run.cost) + _weigh_others(run.others) > 0.5


def _gains(here: float, there: float, wasted: float) -> bool:
    return there + WASTE_WEIGHT * wasted < (1.0 - MIN_GAIN) * here


def _blend(probability: float, if_faulty: float, if_sound: float) -> float:
    return probability * if_faulty + (1.0 - probability) * if_sound


def _weigh_itself(run: SlowRun) -> float:
    """Return the factor on the odds by the run's own time."""
    slow, hung = (
        run.ratios.survival(_slowed_ratio(run.ratio, run.ratio - 0.5, factor))
        for factor in FAULTY_FACTORS
    )
    factor = (slow + hung) / 2.0 / run.ratios.survival(run.ratio)
    return min(factor, math.exp(MAX_EVIDENCE))


def _weigh_others(others: tuple[OtherRun, ...]) -> float:
    """Return the logarithm of the factor on the odds by other runs."""
    slow, hung = (
        math.exp(sum(_weigh_other(other, factor) for other in others))
        for factor in FAULTY_FACTORS
    )
    evidence = math.log((slow + hung) / 2.0)
    return max(-MAX_EVIDENCE, min(evidence, MAX_EVIDENCE))


def _weigh_other(other: OtherRun, factor: float) -> float:
    """Return the logarithm of the factor on the odds by one other run."""
    ratio = other.seconds / other.expected_seconds
    if not other.ended and ratio < OVERDUE_RATIO:
        return 0.0
    overlap = other.overlap_seconds / other.expected_seconds
    if_faulty = _slowed_ratio(ratio, overlap, factor)
    if other.ended:
        likelihood = _density(other.ratios, if_faulty) / _density(
            other.ratios, ratio
        )
    else:
        likelihood = other.ratios.survival(if_faulty) / other.ratios.survival(
            ratio
        )
    bounded = max(likelihood, MIN_EVIDENCE_FACTOR)
    return math.log(min(bounded, 1.0 / MIN_EVIDENCE_FACTOR))


def _slowed_ratio(ratio: float, overlap: float, factor: float) -> float:
    """Return a run's ratio without the fault that slowed its last part."""
    return ratio - overlap + overlap / factor


def _density(ratios: Ratios, ratio: float) -> float:
    width = 2.0**DENSITY_OCTAVES
    share = ratios.survival(ratio / width) - ratios.survival(ratio * width)
    return max(share, MIN_DENSITY)


def _weigh_cost(cost: WorkerCost) -> float:
    """Return the logarithm of the factor on the odds by a worker's cost."""
    spread = max(cost.spread, MIN_COST_SPREAD)
    evidence = COST_WEIGHT * ((cost.cost - cost.median) / spread - 1.0)
    return max(MIN_COST_EVIDENCE, min(evidence, MAX_COST_EVIDENCE))


def _remaining(run: SlowRun) -> float:
    """Return the expected remaining seconds at a sound worker."""
    ratio = run.ratios.mean_above(run.ratio) - run.ratio
    return ratio * run.expected_seconds * run.slowness


def _remaining_if_faulty(run: SlowRun) -> float:
    """Return the expected remaining seconds at a worker that is at fault."""
    slow = FAULTY_FACTORS[0]
    done = run.ratio / slow
    work = run.ratios.mean_above(done) - done
    work *= run.expected_seconds * run.slowness
    return min(work * slow, FAULT_SECONDS + work)


def _whole_elsewhere(run: SlowRun, done: float) -> float:
    """Return the expected seconds at another worker.

    :param done: part of the work, in expected times, that was done here.
    """
    ratio = run.ratios.mean_above(done)
    return OVERHEAD_SECONDS + ratio * run.expected_seconds * run.other_slowness


class Budget:
    """Bound of the work thrown away by moves that don't gain.

    A move is charged the work that it is expected to throw away, and the whole
    once it hasn't gained.

    :ivar core_seconds: what is left of the budget.
    """

    def __init__(self) -> None:
        self.core_seconds = BUDGET_CORE_SECONDS
        self._gains = TRUST_MOVES
        self._losses = TRUST_MOVES

    @property
    def trust(self) -> float:
        """Factor on the odds that a worker is the cause, by past moves."""
        trust = self._gains / self._losses
        return min(max(trust, MIN_TRUST), MAX_TRUST)

    def allows(self, choice: Choice) -> bool:
        """Return whether a move may throw away a run's work.

        Unless the worker is proven to be the cause, the whole must be left.
        """
        work = choice.waste if choice.proven else choice.work
        return work <= self.core_seconds

    def charge(self, waste: float) -> None:
        """Charge the work that a move is expected to throw away."""
        self.core_seconds -= waste

    def record_work(self, core_seconds: float) -> None:
        """Record work done in a run that finished."""
        self._refill(WORK_SHARE * core_seconds)

    def record_gain(self, charged: float, left: float) -> None:
        """Record a move that gained.

        :param left: core-seconds that the run it left had taken.
        """
        self._gains += 1.0
        self._refill(charged + GAIN_SHARE * left)
        self._fade()

    def record_loss(self, charged: float, left: float) -> None:
        """Record a move that didn't gain."""
        self._losses += 1.0
        self.core_seconds -= left - charged
        self._fade()

    def refund(self, charged: float) -> None:
        """Refund a move whose run finished before it could be stopped."""
        self._refill(charged)

    def _refill(self, core_seconds: float) -> None:
        self.core_seconds = min(
            self.core_seconds + core_seconds, BUDGET_CORE_SECONDS
        )

    def _fade(self) -> None:
        if self._gains + self._losses >= MAX_TRUST_MOVES:
            self._gains /= 2.0
            self._losses /= 2.0
