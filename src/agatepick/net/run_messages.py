"""Messages about runs of repeatable tasks, between entries and agents.

Like those of :mod:`~agatepick.net.messages`, which exports them too.
"""

import dataclasses

from agatepick import types

__all__ = [
    'CancelAnswer',
    'CancelJob',
    'FindAnswer',
    'FindJob',
    'FollowAnswer',
    'FollowJob',
    'NO_WANT',
    'Payload',
    'Renewal',
    'Renewed',
    'Room',
    'RunRef',
    'RunReport',
    'RunReports',
    'RunSpec',
    'StartRuns',
    'StopRuns',
    'Want',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Description and free capacity of an agent's worker.

    :param open: whether runs may be started at the worker.
    :param pool: name of the pool that the worker belongs to.
    :param free: free capacity; with a grant, capacity that is reserved for
        the receiver.
    :param grant: number that the next :class:`StartRuns` returns, whether the
        grant was used or not; 0 for capacity that any entry may request.
    :param taken: number of the receiver's last :class:`StartRuns` that
        ``free`` accounts for.
    :param entries: number of entries connected to the agent.
    :param cost: expected time until a result, divided by that at a healthy
        worker.
    :param slowness: usual run time at the worker, divided by that at the
        typical worker of its pool; 1 where it isn't learnt, and 0 until
        enough runs were seen.
    :param born: start of the worker's incarnation in milliseconds; 0 if there
        is none.
    """

    agent_incarnation: int
    open: bool
    pool: str
    labels: tuple[str, ...]
    capacity: types.Needs
    free: types.Needs
    grant: int = 0
    taken: int = 0
    entries: int = 1
    cost: float = 1.0
    slowness: float = 1.0
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """Demand of an entry: tasks that it can't place at any worker.

    :param count: number of the tasks; 0 withdraws an earlier demand.
    :param least: needs of the smallest task.
    :param slack: seconds until the most urgent task should have started.
    :param total: sum of the needs of all the tasks.
    """

    count: int
    least: types.Needs
    slack: float
    total: types.Needs


NO_WANT = Want(0, types.Needs(), 0.0, types.Needs())
"""Demand of an entry without waiting tasks."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunSpec:
    """A run of a task of a repeatable job.

    :param run: number of the run, from 1; a later run has a higher number.
    :param name: the task's name at the worker.
    :param expected: expected duration in seconds.
    :param crashes: crashes of the receiver's worker under the task that the
        sender knows of.
    :param apart: whether it must not run beside another such run, as workers
        crashed under the task.
    """

    job: str
    index: int
    run: int
    name: str
    needs: types.Needs
    expected: float = 0.0
    crashes: int = 0
    apart: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Payload:
    """Input of every task of a repeatable job."""

    job: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StartRuns:
    """Request to start runs now.

    :param number: number of this message among those on the connection,
        from 1.
    :param grant: number of the grant in the :class:`Room` that this message
        answers, or 0.
    :param want: remaining demand; it replaces an earlier :class:`Want`.
    :param payloads: payloads of the jobs for which the receiver has none yet.
    :param born: that of the :class:`Room` by which the workers were chosen; 0
        if unknown.
    """

    number: int
    grant: int
    runs: tuple[RunSpec, ...]
    want: Want = NO_WANT
    payloads: tuple[Payload, ...] = ()
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunRef:
    """Reference to a run."""

    job: str
    index: int
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopRuns:
    """Request to stop runs; each is reported once it has ended."""

    runs: tuple[RunRef, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RunReport:
    """State of a run; ``state`` is a ``RunState``.

    :param seconds: time from the request of the run to its end.
    :param beside: number of runs at the worker when it crashed, this one
        included.
    :param crashes: crashes of the worker under the task that a refusal is
        about.
    """

    job: str
    index: int
    run: int
    state: str
    reason: str = ''
    seconds: float = 0.0
    beside: int = 0
    crashes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunReports:
    """Reports of an agent to the entry that owns the runs.

    :param whole: whether the reports cover all runs of the receiver at the
        agent; any other run has ended.
    """

    reports: tuple[RunReport, ...]
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """Request of an agent to an entry to renew the lease on the entry's runs.

    :param sent: when the agent sent the request, by the agent's clock.
    :param trip: round trip time of the previous renewal, in seconds.
    """

    sent: float
    trip: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """Renewal of a lease, which starts when its :class:`Renewal` was sent.

    :param sent: ``sent`` of that request.
    :param agents: number of agents from which the entry receives messages.
    """

    sent: float
    agents: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """Request to all other entries to cancel a job.

    :param number: number of the request among those of the sender.
    :param host: host in the caller's request.
    :param path: path in the caller's request, which ends with the job's key.
    """

    number: int
    job: str
    host: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAnswer:
    """Answer of an entry to a :class:`CancelJob`.

    :param found: whether it had the job, and has cancelled it.
    """

    number: int
    found: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FindJob:
    """Question to a job's home: which entry has the job?

    Where none has, the home notes that the sender has it.

    :param number: number of the request among those of the sender.
    :param job: key of the job; empty to ask only for an answer.
    :param former: address of an entry that has it no longer.
    """

    number: int
    job: str
    former: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class FindAnswer:
    """Answer to a :class:`FindJob`.

    :param holder: address of the entry that has the job; empty if only the
        asker has.
    :param here: whether the one that answers has it.
    """

    number: int
    job: str
    holder: str = ''
    here: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FollowJob:
    """Request to the entry that has a job, for its answer.

    It is sent again and again, until the answer is there.
    """

    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class FollowAnswer:
    """Answer to a :class:`FollowJob`; it is sent once more at the job's end.

    :param state: a ``JobState``.
    :param verdict: a ``Verdict``, with the next two those of the answer to
        the job's callers; empty before its end.
    :param retry_after: seconds.
    """

    job: str
    state: str
    verdict: str = ''
    reason: str = ''
    retry_after: float = 0.0
