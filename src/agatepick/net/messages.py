"""Messages between agatepick's processes.

Each class mirrors the struct of the same name in ``messages.capnp``; its
fields have the same names in snake case.  :mod:`~agatepick.net.codec` encodes
and decodes them.
"""

import dataclasses

from agatepick.net import run_messages
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


# Messages about runs of repeatable tasks.
CancelAnswer = run_messages.CancelAnswer
CancelJob = run_messages.CancelJob
FindAnswer = run_messages.FindAnswer
FindJob = run_messages.FindJob
FollowAnswer = run_messages.FollowAnswer
FollowJob = run_messages.FollowJob
Room = run_messages.Room
Want = run_messages.Want
NO_WANT = run_messages.NO_WANT
RunSpec = run_messages.RunSpec
Payload = run_messages.Payload
StartRuns = run_messages.StartRuns
RunRef = run_messages.RunRef
StopRuns = run_messages.StopRuns
RunReport = run_messages.RunReport
RunReports = run_messages.RunReports
Renewal = run_messages.Renewal
Renewed = run_messages.Renewed

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
    | CancelJob
    | CancelAnswer
    | FindJob
    | FindAnswer
    | FollowJob
    | FollowAnswer
    | QuotaAsk
    | QuotaGrant
    | Goodbye
)
