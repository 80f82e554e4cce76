"""Messages that make an agent start tasks before a given time."""

import dataclasses

from agatepick.decisions import dispatch
from agatepick.net import messages
from agatepick.owning import jobs
from agatepick import types


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """The entry that sends a start message.

    :param config_version: version of the configuration that it has read.
    """

    name: types.PeerName
    incarnation: int
    config_version: int


def build_starts(
    sender: Sender,
    placement: dispatch.Placement,
    all_jobs: jobs.Jobs,
    start_before: float,
    waiting: int,
) -> messages.Starts:
    """Build the message for one placement and mark its tasks as started.

    :param start_before: time before which the tasks must start, in seconds
        since the epoch by the entry's clock.
    :param waiting: number of queued tasks for which the entry requests more
        slots.
    """
    tasks = [
        _build_start_task(placement, pending, all_jobs)
        for pending in placement.tasks
    ]
    return messages.Starts(
        owner=sender.name,
        owner_incarnation=sender.incarnation,
        agent_incarnation=placement.incarnation,
        version=sender.config_version,
        start_before=start_before,
        waiting=waiting,
        tasks=tuple(tasks),
    )


def _build_start_task(
    placement: dispatch.Placement,
    pending: dispatch.QueuedTask,
    all_jobs: jobs.Jobs,
) -> messages.StartTask:
    job = all_jobs.get(pending.job.key)
    assert job is not None
    record = job.tasks[pending.index]
    record.agent = placement.agent
    record.incarnation = placement.incarnation
    record.attempt = pending.attempt
    task = pending.job.tasks[pending.index]
    return messages.StartTask(
        pending.job.key,
        pending.index,
        pending.attempt,
        task.kind,
        pending.job.team,
        task.payload,
        task.needs,
        pending.job.deadline,
    )
