"""An agent's upstream: its announcement and the tasks that run there.

A running task holds its slot and resources until the upstream has reported
the task's end, even after the agent has marked the task as lost.  An upstream
whose announcement expired because its process was paused still runs its tasks,
and if their slots were leased again, two tasks would use one slot.
"""

import dataclasses

from agatepick.agentside import ledger
from agatepick.agentside import upstream
from agatepick.net import messages
from agatepick import types


@dataclasses.dataclass(slots=True)
class RunningTask:
    """A task that holds a slot.

    :param entry: entry that owns the task's job.
    :param session: session of the upstream that runs the task.
    :param lost: whether the task was reported as lost; its end then only
        releases the slot.
    """

    job: types.JobKey
    index: int
    attempt: int
    entry: ledger.EntryId
    needs: types.Needs
    session: str
    lost: bool = False


class UpstreamState:
    """The upstream's announcement and its running tasks.

    :param max_term_seconds: longest term of an announcement, in seconds.
    """

    def __init__(self, max_term_seconds: float):
        self._max_term_seconds = max_term_seconds
        self._announced: upstream.Announced | None = None
        self._expires_at = 0.0
        self._leaving_session = ''
        self._tasks: dict[tuple[types.JobKey, int], RunningTask] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    @property
    def announced(self) -> upstream.Announced | None:
        """The announcement in force; ``None`` without an upstream."""
        return self._announced

    @property
    def leaving(self) -> bool:
        """Whether the upstream ends its tasks and accepts no new ones."""
        announced = self._announced
        return (
            announced is not None
            and announced.session == self._leaving_session
        )

    def set_announcement(
        self, event: upstream.Announced, now: float
    ) -> list[RunningTask]:
        """Store an announcement.

        :returns: the removed tasks of earlier sessions, whose processes have
            ended.
        """
        self._announced = event
        self._expires_at = now + min(event.term, self._max_term_seconds)
        lost_tasks = [
            task
            for task in self._tasks.values()
            if task.session != event.session
        ]
        for task in lost_tasks:
            del self._tasks[task.job, task.index]
        return lost_tasks

    def mark_leaving(self, session: str) -> bool:
        """Mark the upstream as leaving.

        :returns: whether the session is the announced one.
        """
        announced = self._announced
        if announced is None or announced.session != session:
            return False
        self._leaving_session = session
        return True

    def mark_unreachable(self, session: str) -> bool:
        """Delete the announcement of an upstream that refuses connections.

        The running tasks are kept: the agent learns the end of each from the
        task's own connection.

        :returns: whether the session is the announced one.
        """
        announced = self._announced
        if announced is None or announced.session != session:
            return False
        self._announced = None
        return True

    def expire(self, now: float) -> list[RunningTask] | None:
        """Delete an expired announcement and mark its tasks as lost.

        :return: the tasks now lost; ``None`` if no announcement expired.
        """
        if self._announced is None or now < self._expires_at:
            return None
        self._announced = None
        lost = [task for task in self._tasks.values() if not task.lost]
        for task in lost:
            task.lost = True
        return lost

    def extend_term(self, now: float) -> None:
        """Extend the announcement to a whole term from ``now`` on."""
        if self._announced is not None:
            term = min(self._announced.term, self._max_term_seconds)
            self._expires_at = max(self._expires_at, now + term)

    def has_room(self, needs: types.Needs) -> bool:
        """Return whether a task's needs fit into the worker's free resources.

        Without an announcement nothing fits.
        """
        if self._announced is None:
            return False
        running_needs = [task.needs for task in self._tasks.values()]
        total = types.Needs(
            needs.cpu + sum(need.cpu for need in running_needs),
            needs.memory_mb + sum(need.memory_mb for need in running_needs),
            needs.accelerators
            + sum(need.accelerators for need in running_needs),
        )
        return total.fits(self._announced.capacity)

    def start(
        self,
        task: messages.StartTask,
        owner: ledger.EntryId,
        start_before: float,
    ) -> upstream.RunTask:
        """Add a task and return the effect that runs it.

        There must be an announcement.

        :param start_before: end of its permit by the agent's clock.
        """
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
            start_before,
        )

    def request_action(
        self, job: types.JobKey, indexes: list[int], action: upstream.Action
    ) -> list[upstream.StopTask]:
        """Return the effects that send an action to tasks of a job."""
        if self._announced is None:
            return []
        url = self._announced.url
        return [
            upstream.StopTask(job, index, action, url) for index in indexes
        ]

    def end(
        self, job: types.JobKey, index: int, attempt: int
    ) -> RunningTask | None:
        """Remove and return a task that ended.

        :returns: ``None`` if this attempt of the task wasn't running.
        """
        task = self._tasks.get((job, index))
        if task is None or task.attempt != attempt:
            return None
        del self._tasks[job, index]
        return task
