"""An agent's upstream: its announcement and the tasks that run there.

A running task holds its slot and resources until the upstream has said that
it ended, also when the agent has given it up as lost: an upstream whose
announcement lapsed because it was paused still runs what it was given, and
slots leased out again for these tasks would be filled twice.
"""

import dataclasses

from agatepick.agentside import ledger
from agatepick.agentside import upstream
from agatepick.net import messages
from agatepick import types


@dataclasses.dataclass(slots=True)
class RunningTask:
    """A task that holds a slot.

    :param lost: given up; its end changes nothing any more.
    """

    job: types.JobKey
    index: int
    attempt: int
    entry: ledger.Owner
    needs: types.Needs
    session: str
    lost: bool = False


class Running:
    """The upstream's announcement, and what runs.

    :param max_term: longest term of an announcement, in seconds.
    """

    def __init__(self, max_term: float):
        self._max_term = max_term
        self._announced: upstream.Announced | None = None
        self._until = 0.0
        self._left_session = ''
        self._tasks: dict[tuple[types.JobKey, int], RunningTask] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    @property
    def announced(self) -> upstream.Announced | None:
        """The announcement in force; ``None`` without an upstream."""
        return self._announced

    @property
    def leaving(self) -> bool:
        """Whether the upstream ends what runs and takes nothing new."""
        found = self._announced
        return found is not None and found.session == self._left_session

    def announce(
        self, event: upstream.Announced, now: float
    ) -> list[RunningTask]:
        """Take an announcement; the tasks of a former session, now gone."""
        self._announced = event
        self._until = now + min(event.term, self._max_term)
        gone = [
            task
            for task in self._tasks.values()
            if task.session != event.session
        ]
        for task in gone:
            del self._tasks[task.job, task.index]
        return gone

    def leave(self, session: str) -> bool:
        """The upstream of a session leaves; whether it was here."""
        found = self._announced
        if found is None or found.session != session:
            return False
        self._left_session = session
        return True

    def vanish(self, session: str) -> bool:
        """Nothing answers at a session's address; whether it was in force.

        What runs is not given up: each task's own connection tells.
        """
        found = self._announced
        if found is None or found.session != session:
            return False
        self._announced = None
        return True

    def lapse(self, now: float) -> list[RunningTask] | None:
        """Give up an upstream that stopped renewing; what is lost by it.

        :return: ``None`` if nothing lapses now.
        """
        if self._announced is None or now < self._until:
            return None
        self._announced = None
        lost = [task for task in self._tasks.values() if not task.lost]
        for task in lost:
            task.lost = True
        return lost

    def extend(self, now: float) -> None:
        """Give the upstream a whole term again from now on."""
        if self._announced is not None:
            term = min(self._announced.term, self._max_term)
            self._until = max(self._until, now + term)

    def fits(self, needs: types.Needs) -> bool:
        """Whether the worker has room for a task's resources."""
        if self._announced is None:
            return False
        taken = [task.needs for task in self._tasks.values()]
        total = types.Needs(
            needs.cpu + sum(one.cpu for one in taken),
            needs.memory_mb + sum(one.memory_mb for one in taken),
            needs.accelerators + sum(one.accelerators for one in taken),
        )
        return total.fits(self._announced.capacity)

    def start(
        self, task: messages.StartTask, owner: ledger.Owner
    ) -> upstream.RunTask:
        """A task starts; there must be an upstream."""
        announced = self._announced
        assert announced is not None
        self._tasks[task.job, task.index] = RunningTask(
            task.job,
            task.index,
            task.attempt,
            owner,
            task.needs,
            announced.session,
        )
        return upstream.RunTask(
            task.job,
            task.index,
            task.attempt,
            task.kind,
            task.payload,
            task.needs,
            task.deadline,
            announced.url,
            announced.session,
        )

    def act(
        self, job: types.JobKey, indexes: list[int], action: upstream.Action
    ) -> list[upstream.StopTask]:
        """Pass an action on to running tasks of a job."""
        if self._announced is None:
            return []
        url = self._announced.url
        return [
            upstream.StopTask(job, index, action, url) for index in indexes
        ]

    def end(
        self, job: types.JobKey, index: int, attempt: int
    ) -> RunningTask | None:
        """The task that ended; ``None`` if it doesn't run here."""
        task = self._tasks.get((job, index))
        if task is None or task.attempt != attempt:
            return None
        del self._tasks[job, index]
        return task
