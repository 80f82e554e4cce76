"""Outlier detection: workers that fail what they start get no more work.

Load pattern: a broken worker fails each task within milliseconds.  It is
always idle, so late binding gives it most of the work, and a failed task is
never started again: without ejection one bad worker of ten can fail most of
all jobs.

An agent is ejected when its success rate, a moving average in which an
outcome weighs :data:`WEIGHT`, is below :data:`LOW` and below the others' by
:data:`GAP`.  From a clean record that takes 7 failures in a row, fewer than
a worker's 8 slots hold; a worker that fails one task in five, as the others
do, isn't an outlier and stays.  The others' rate guards against ejecting
workers for what is a caller's fault.  Never more than the preset's share of
the agents is ejected, since the rest must carry the load.

An ejected agent gets no work for :data:`EJECTED_SECONDS`, doubled with each
ejection in a row up to :data:`MAX_EJECTED_SECONDS`.  Then it is on trial: one
task at a time, until :data:`PROBES` ended well.  One bad one ejects it again.
"""

import enum

WEIGHT = 0.1
LOW = 0.5
GAP = 0.3
PROBES = 3
EJECTED_SECONDS = 10.0
MAX_EJECTED_SECONDS = 160.0


class Standing(enum.Enum):
    """Whether an agent may be given work."""

    GOOD = 'good'
    EJECTED = 'ejected'
    TRIAL = 'trial'


class _Record:
    __slots__ = ('rate', 'standing', 'until', 'streak', 'probes')

    def __init__(self) -> None:
        self.rate = 1.0
        self.standing = Standing.GOOD
        self.until = 0.0
        self.streak = 0
        self.probes = 0


class Outliers:
    """Success rates of the agents, and who is ejected."""

    def __init__(self, max_ejected_share: float) -> None:
        self.max_ejected_share = max_ejected_share
        self._records: dict[str, _Record] = {}
        self._sum = 0.0
        self._ejected: set[str] = set()

    def add(self, agent: str) -> None:
        """Know an agent; a known one keeps its record."""
        if agent not in self._records:
            self._records[agent] = _Record()
            self._sum += 1.0

    def forget(self, agent: str) -> None:
        """Drop an agent that left for good."""
        record = self._records.pop(agent, None)
        if record is not None:
            self._sum -= record.rate
            self._ejected.discard(agent)

    def standing(self, agent: str) -> Standing:
        """Standing of an agent; an unknown one is good."""
        record = self._records.get(agent)
        return record.standing if record else Standing.GOOD

    def ejected(self) -> tuple[str, ...]:
        """Agents ejected now, those on trial included."""
        return tuple(sorted(self._ejected))

    def record(self, agent: str, ok: bool, now: float) -> bool:
        """Take in an outcome; ``True`` if the agent's standing changed."""
        record = self._records.get(agent)
        if record is None:
            return False
        self._average(record, ok)
        if record.standing is Standing.TRIAL:
            return self._judge_probe(agent, record, ok, now)
        if ok or record.standing is Standing.EJECTED:
            return False
        if not self._is_outlier(record):
            return False
        self._eject(agent, record, now)
        return True

    def advance(self, now: float) -> tuple[str, ...]:
        """Put on trial those whose ejection has run out, and name them."""
        due = [
            agent
            for agent in self._ejected
            if self._records[agent].standing is Standing.EJECTED
            and self._records[agent].until <= now
        ]
        for agent in due:
            self._records[agent].standing = Standing.TRIAL
            self._records[agent].probes = 0
        return tuple(due)

    def next_wake(self) -> float | None:
        """Instant at which the next ejection runs out."""
        ends = [
            self._records[agent].until
            for agent in self._ejected
            if self._records[agent].standing is Standing.EJECTED
        ]
        return min(ends, default=None)

    def _average(self, record: _Record, ok: bool) -> None:
        change = WEIGHT * ((1.0 if ok else 0.0) - record.rate)
        record.rate += change
        self._sum += change

    def _is_outlier(self, record: _Record) -> bool:
        known = len(self._records)
        if record.rate >= LOW or known < 2:
            return False
        if len(self._ejected) + 1 > self._most_ejected(known):
            return False
        others = (self._sum - record.rate) / (known - 1)
        return others - record.rate >= GAP

    def _most_ejected(self, known: int) -> int:
        return max(1, int(known * self.max_ejected_share))

    def _eject(self, agent: str, record: _Record, now: float) -> None:
        length = EJECTED_SECONDS * 2.0 ** min(record.streak, 8)
        record.standing = Standing.EJECTED
        record.until = now + min(length, MAX_EJECTED_SECONDS)
        record.streak += 1
        self._ejected.add(agent)

    def _judge_probe(
        self, agent: str, record: _Record, ok: bool, now: float
    ) -> bool:
        if not ok:
            self._eject(agent, record, now)
            return True
        record.probes += 1
        if record.probes < PROBES:
            return False
        self._sum += 1.0 - record.rate
        record.rate = 1.0
        record.streak = 0
        record.standing = Standing.GOOD
        self._ejected.discard(agent)
        return True
