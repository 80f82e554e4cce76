"""Messages between agatepick's processes.

Each class mirrors the struct of the same name in ``messages.capnp``; its
fields have the same names in snake case.  :mod:`~agatepick.net.codec` encodes
and decodes them.
"""

import dataclasses

from agatepick import types


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message on a connection, which identifies the sender.

    :param role: ``entry`` or ``agent``.
    :param address: ``ip:port`` at which other processes can dial the sender;
        empty if it accepts no connections.
    :param version: last version of the cluster configuration that the sender
        knows; 0 if it knows none.
    """

    name: str
    role: str
    incarnation: int
    zone: str
    rack: str
    address: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Request for a clock sample; also the heartbeat of a connection."""

    sent: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answer to :class:`Ping`, with the instants of a clock sample."""

    sent: float
    received: float
    replied: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """A task to start, as part of :class:`Starts`."""

    job: str
    index: int
    attempt: int
    kind: str
    team: str
    payload: bytes
    needs: types.Needs
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Starts:
    """Request of an owner to an agent to start tasks before an instant.

    :param version: last version of the cluster configuration that the owner
        knows.
    :param start_before: end of the owner's read lease, by the owner's clock.
    :param waiting: number of tasks still queued at the owner, which is its
        demand for slots.
    """

    owner: str
    owner_incarnation: int
    agent_incarnation: int
    version: int
    start_before: float
    waiting: int
    tasks: tuple[StartTask, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReport:
    """State of a task at an agent; ``state`` is a ``TaskState``.

    :param seconds: run time of the task, once it has ended.
    :param digest: digest that distinguishes the task from another one with
        the same index; only set in :class:`Orphans`.
    """

    job: str
    index: int
    attempt: int
    state: str
    body: bytes = b''
    reason: str = ''
    seconds: float = 0.0
    digest: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Results:
    """Reports to an owner on its tasks at an agent.

    :param credits: number of the agent's slots that are leased to the owner,
        running tasks included.
    """

    agent_incarnation: int
    credits: int
    reports: tuple[TaskReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """State of an agent's upstream, and the slots the receiver may fill.

    :param credits: number of slots that are leased to the receiver, running
        tasks included.
    :param slots: number of all slots of the upstream.
    """

    agent_incarnation: int
    credits: int
    slots: int
    kinds: tuple[str, ...]
    capacity: types.Needs
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Request of an owner without slots to an agent for more slots."""

    want: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopJob:
    """Request to stop, throttle or checkpoint the running tasks of a job."""

    job: str
    action: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRef:
    """Reference to an attempt of a task."""

    job: str
    index: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """Request to an agent for the state of starts whose report may be lost.

    The agent permanently refuses those tasks that it has not started.
    """

    agent_incarnation: int
    tasks: tuple[TaskRef, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Orphans:
    """Reports on a lost owner's tasks to the owner that succeeds it.

    :param last: whether no further message about that lost owner follows.
    """

    owner: str
    owner_incarnation: int
    reports: tuple[TaskReport, ...]
    last: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An entry in the cluster's configuration.

    :param removed_at: when it left; 0 while it is listed.
    :param stopped_at: since when it had let in no job when it left; 0 if it
        was lost rather than stopped.
    """

    name: str
    incarnation: int
    address: str
    zone: str
    listed_at: float
    removed_at: float = 0.0
    stopped_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """The entries of the cluster, sent to agents.

    :param version: version of the cluster configuration that lists them.
    """

    version: int
    entries: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Request of a caller, forwarded to the owner of its job.

    :param action: ``submit``, ``ask`` or ``cancel``.
    :param jobs: the job of a ``submit``, else empty.
    """

    request: int
    action: str
    key: str
    team: str
    jobs: tuple[types.JobSpec, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarded:
    """Answer to :class:`Forward`; holds a ``JobAnswer`` as MessagePack."""

    request: int
    answer: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Lease grant of a peer that was at ``version`` at ``sent``.

    :param uncertain: the peer's encoded change that may take effect; empty if
        there is none.
    """

    version: int
    sent: float
    uncertain: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """Announcement that the sender will write ``change`` after ``version``."""

    version: int
    change: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class IntentAck:
    """Acknowledgement of the :class:`Intent` of that version and attempt."""

    version: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Encoded changes of the configuration after version ``since``."""

    since: int
    rows: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesWanted:
    """Request to a peer for :class:`Changes` after a version."""

    since: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Request to a team's quota coordinator for a share of the quota.

    :param want: number of tasks that the sender could run, waiting or running.
    :param running: number of tasks that the sender runs.
    :param promise: instant until which the sender stays within its grant; 0
        if it makes no such promise.
    :param held_until: end of the last grant that the sender has received.
    """

    team: str
    want: int
    running: int
    promise: float
    held_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Grant of a share of a team's quota until an instant.

    :param amount: number of slots.
    """

    team: str
    amount: int
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Goodbye:
    """Last message of a process that stops permanently."""

    reason: str = ''


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
    """

    number: int
    grant: int
    runs: tuple[RunSpec, ...]
    want: Want = NO_WANT
    payloads: tuple[Payload, ...] = ()


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


Message = (
    Hello
    | Ping
    | Pong
    | Starts
    | Results
    | Offer
    | Ask
    | StopJob
    | Settle
    | Orphans
    | Members
    | Forward
    | Forwarded
    | Grant
    | Intent
    | IntentAck
    | Changes
    | ChangesWanted
    | Room
    | Want
    | StartRuns
    | StopRuns
    | RunReports
    | Renewal
    | Renewed
    | QuotaAsk
    | QuotaGrant
    | Goodbye
)
