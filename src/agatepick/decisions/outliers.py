"""Outlier detection: ejection of workers that fail most of their tasks.

Load pattern: a broken worker fails each task within milliseconds.  It is
always idle, so late binding assigns it most of the work, and a failed task
is never started again: without ejection one broken worker of ten can fail
most of all jobs.

An agent is ejected when its success rate, a moving average in which an
outcome weighs :data:`OUTCOME_WEIGHT`, is below :data:`MIN_SUCCESS_RATE` and
below the average of the other agents by at least :data:`MIN_RATE_GAP`.  An
agent without earlier failures is ejected after 7 in a row, fewer than the
tasks that fill a worker's 8 slots; one that fails one task in five, as the
others do, isn't an outlier and stays.  The comparison with the others prevents
the ejection of workers for faults of a caller.  Never more than the preset's
share of the agents is ejected, since the others must take over the load.

An ejected agent gets no work for :data:`FIRST_EJECTION_SECONDS`, doubled with
each consecutive ejection up to :data:`MAX_EJECTION_SECONDS`.  Then it is on
trial: it gets one task at a time until :data:`REQUIRED_PROBES` have succeeded.
One failure ejects it again.
"""

import enum

OUTCOME_WEIGHT = 0.1
MIN_SUCCESS_RATE = 0.5
MIN_RATE_GAP = 0.3
REQUIRED_PROBES = 3
FIRST_EJECTION_SECONDS = 10.0
MAX_EJECTION_SECONDS = 160.0


class Standing(enum.Enum):
    """The states of an agent that decide whether it gets tasks."""

    GOOD = 'good'
    EJECTED = 'ejected'
    TRIAL = 'trial'


class _Record:
    """The success rate and ejection state of one agent.

    :ivar success_rate: moving average of its tasks' success, 0 to 1.
    :ivar ejection_streak: number of ejections since the last passed trial.
    :ivar passed_probes: number of tasks that succeeded in the present trial.
    """

    __slots__ = (
        'success_rate',
        'standing',
        'ejected_until',
        'ejection_streak',
        'passed_probes',
    )

    def __init__(self) -> None:
        self.success_rate = 1.0
        self.standing = Standing.GOOD
        self.ejected_until = 0.0
        self.ejection_streak = 0
        self.passed_probes = 0


class Outliers:
    """The success rates of all agents, and the ejected agents.

    :param max_ejected_share: part of the agents that may be ejected, 0 to 1.
    """

    def __init__(self, max_ejected_share: float) -> None:
        self.max_ejected_share = max_ejected_share
        self._records: dict[str, _Record] = {}
        self._success_rate_sum = 0.0
        self._ejected: set[str] = set()

    def add(self, agent: str) -> None:
        """Add an agent; one that exists already keeps its record."""
        if agent not in self._records:
            self._records[agent] = _Record()
            self._success_rate_sum += 1.0

    def remove(self, agent: str) -> None:
        """Remove an agent that left permanently."""
        record = self._records.pop(agent, None)
        if record is not None:
            self._success_rate_sum -= record.success_rate
            self._ejected.discard(agent)

    def get_standing(self, agent: str) -> Standing:
        """Return the standing of an agent; an unknown agent is good."""
        record = self._records.get(agent)
        return record.standing if record else Standing.GOOD

    def list_ejected(self) -> tuple[str, ...]:
        """Return the ejected agents, those on trial included."""
        return tuple(sorted(self._ejected))

    def record_outcome(self, agent: str, ok: bool, now: float) -> bool:
        """Record the outcome of one task of an agent.

        :param ok: whether the task succeeded.
        :returns: whether the agent's standing changed.
        """
        record = self._records.get(agent)
        if record is None:
            return False
        self._update_rate(record, ok)
        if record.standing is Standing.TRIAL:
            return self._record_probe(agent, record, ok, now)
        if ok or record.standing is Standing.EJECTED:
            return False
        if not self._is_outlier(record):
            return False
        self._eject(agent, record, now)
        return True

    def start_trials(self, now: float) -> tuple[str, ...]:
        """Start trials of the agents whose ejection expired; return them."""
        due = [
            agent
            for agent in self._ejected
            if self._records[agent].standing is Standing.EJECTED
            and self._records[agent].ejected_until <= now
        ]
        for agent in due:
            self._records[agent].standing = Standing.TRIAL
            self._records[agent].passed_probes = 0
        return tuple(due)

    def next_wake(self) -> float | None:
        """Return the instant at which the next ejection expires, if any."""
        ends = [
            self._records[agent].ejected_until
            for agent in self._ejected
            if self._records[agent].standing is Standing.EJECTED
        ]
        return min(ends, default=None)

    def _update_rate(self, record: _Record, ok: bool) -> None:
        change = OUTCOME_WEIGHT * ((1.0 if ok else 0.0) - record.success_rate)
        record.success_rate += change
        self._success_rate_sum += change

    def _is_outlier(self, record: _Record) -> bool:
        count = len(self._records)
        if record.success_rate >= MIN_SUCCESS_RATE or count < 2:
            return False
        if len(self._ejected) + 1 > self._compute_max_ejected(count):
            return False
        others = (self._success_rate_sum - record.success_rate) / (count - 1)
        return others - record.success_rate >= MIN_RATE_GAP

    def _compute_max_ejected(self, count: int) -> int:
        return max(1, int(count * self.max_ejected_share))

    def _eject(self, agent: str, record: _Record, now: float) -> None:
        seconds = FIRST_EJECTION_SECONDS * 2.0 ** min(
            record.ejection_streak, 8
        )
        record.standing = Standing.EJECTED
        record.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        record.ejection_streak += 1
        self._ejected.add(agent)

    def _record_probe(
        self, agent: str, record: _Record, ok: bool, now: float
    ) -> bool:
        if not ok:
            self._eject(agent, record, now)
            return True
        record.passed_probes += 1
        if record.passed_probes < REQUIRED_PROBES:
            return False
        self._success_rate_sum += 1.0 - record.success_rate
        record.success_rate = 1.0
        record.ejection_streak = 0
        record.standing = Standing.GOOD
        self._ejected.discard(agent)
        return True
