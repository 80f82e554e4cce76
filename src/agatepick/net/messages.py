"""Messages between agatepick's own processes, and their codec.

Each class mirrors the struct of its name in ``messages.capnp``; fields are
the same in snake case.  ``encode`` and ``decode`` turn a message into bytes
and back; a peer's bytes are never trusted, so ``decode`` raises
:class:`agatepick.exceptions.BadMessage` for whatever isn't one whole message.
"""

import dataclasses
import functools
import pathlib
import types as pytypes
import typing

import capnp

from agatepick import exceptions
from agatepick import types

SCHEMA = pathlib.Path(__file__).with_name('messages.capnp')
MAX_NESTING = 8
WORD_BYTES = 8
TRAVERSALS = 2
SPARE_WORDS = 128
"""A reader may pass each word of a message twice, and a few more: whole
messages need one pass.  A limit that doesn't grow with the message lets a
few hundred bytes claim a list of a million empty items, and its receiver
stands still for seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message on a connection: who speaks."""

    name: str
    role: str
    incarnation: int
    zone: str
    rack: str
    address: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a clock sample; also the heartbeat of a connection."""

    sent: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answers :class:`Ping` with the instants that give the clock offset."""

    sent: float
    received: float
    replied: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """One task to start, inside :class:`Starts`."""

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
    """Tasks an owner asks an agent to start before an instant.

    :param start_before: end of the owner's read lease, in its clock.
    :param waiting: tasks still queued at the owner: its demand for slots.
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
    """What an agent knows of one task; ``state`` is a ``TaskState``.

    :param digest: tells a task from another of its index; only in
        :class:`Orphans`.
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
    """Reports to an owner, with the slots it now holds at the agent."""

    agent_incarnation: int
    credits: int
    reports: tuple[TaskReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """An agent's upstream, and the slots that the receiver may fill."""

    agent_incarnation: int
    credits: int
    slots: int
    kinds: tuple[str, ...]
    capacity: types.Needs
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """An owner out of slots asks an agent for more."""

    want: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopJob:
    """Stop, throttle or checkpoint whatever runs of a job."""

    job: str
    action: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRef:
    """Names one attempt at one task."""

    job: str
    index: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """Asks an agent what became of starts whose answer may be lost.

    The agent refuses for good whatever it has not started.
    """

    agent_incarnation: int
    tasks: tuple[TaskRef, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Orphans:
    """Reports on a lost owner's tasks to the owner that takes over."""

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
    """The entries, told to agents."""

    version: int
    entries: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A caller's request passed on to the owner of its job.

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
    """Answer to :class:`Forward`: a ``JobAnswer`` as JSON."""

    request: int
    answer: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A peer's lease grant: at ``sent`` it was at ``version``, writing none.

    :param uncertain: a change whose fate isn't known, encoded; else empty.
    """

    version: int
    sent: float
    uncertain: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """The sender is about to write ``change`` on top of ``version``."""

    version: int
    change: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class IntentAck:
    """The receiver holds the :class:`Intent` of that attempt."""

    version: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the configuration after version ``since``, encoded."""

    since: int
    rows: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesWanted:
    """Asks a peer for :class:`Changes` after a version."""

    since: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Asks a team's quota coordinator for a part of the team's quota.

    :param promise: until then the sender stays within its grant; 0 if it
        promises nothing.
    :param held_until: end of the last grant that the sender has received.
    """

    team: str
    want: int
    running: int
    promise: float
    held_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaGrant:
    """A share of a team's quota, until an instant."""

    team: str
    amount: int
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Goodbye:
    """Last message of a process that stops for good."""

    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What an agent's worker is and has room for.

    :param open: whether runs may be started there.
    :param pool: name of the workers that it belongs to.
    :param free: room that nobody holds; with a grant, room that is kept for
        the receiver alone.
    :param grant: number that the next :class:`StartRuns` gives back, used or
        not; 0 for room that any entry may try for.
    :param taken: number of the receiver's last :class:`StartRuns` that
        ``free`` counts.
    :param entries: entries connected to the agent.
    :param cost: expected time until a result, over that at a sound worker.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """Tasks that an entry can't place anywhere; ``count`` 0 takes it back.

    :param least: needs of the smallest of them.
    :param slack: seconds until the most urgent should have started.
    :param total: needs of all of them together.
    """

    count: int
    least: types.Needs
    slack: float
    total: types.Needs


NO_WANT = Want(0, types.Needs(), 0.0, types.Needs())
"""Nothing waits."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunSpec:
    """One run of a task of a repeatable job.

    :param run: number of the run, from 1; a later one is higher.
    :param name: the task's name at the worker.
    :param expected: seconds that it is expected to take.
    """

    job: str
    index: int
    run: int
    name: str
    needs: types.Needs
    expected: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Payload:
    """What each task of a repeatable job is given."""

    job: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StartRuns:
    """Runs to start now.

    :param number: counts these messages on one connection, from 1.
    :param grant: number of the :class:`Room` that it answers, or 0.
    :param want: what still waits; it replaces an earlier :class:`Want`.
    :param payloads: of jobs whose payload the receiver doesn't have yet.
    """

    number: int
    grant: int
    runs: tuple[RunSpec, ...]
    want: Want = NO_WANT
    payloads: tuple[Payload, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RunRef:
    """Names one run."""

    job: str
    index: int
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopRuns:
    """Runs to stop; each is reported once it is over."""

    runs: tuple[RunRef, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RunReport:
    """How a run stands; ``state`` is a ``RunState``."""

    job: str
    index: int
    run: int
    state: str
    reason: str = ''
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunReports:
    """Reports of an agent to the entry that owns the runs.

    :param whole: these are all runs of the receiver that the agent knows;
        any other is over.
    """

    reports: tuple[RunReport, ...]
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """An agent asks an entry to renew the lease on its runs.

    :param trip: seconds from the last one until its answer.
    """

    sent: float
    trip: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """The lease holds, counted from when its :class:`Renewal` was sent.

    :param agents: agents that the entry listens to.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Stamped:
    """A message with the stamp of its sender's hybrid logical clock.

    :param stamp: microseconds; 0 if the sender gave none.
    """

    message: Message
    stamp: int


def encode(message: Message, stamp: int = 0) -> bytes:
    """The bytes of one message."""
    kind: type = type(message)
    envelope = _schema().Envelope.new_message()
    envelope.stamp = stamp
    _writer(kind)(envelope.init(_tags()[kind]), message)
    return typing.cast(bytes, envelope.to_bytes())


def decode(data: bytes) -> Message:
    """The message in ``data``; raises as :func:`decode_stamped`."""
    return decode_stamped(data).message


def decode_stamped(data: bytes) -> Stamped:
    """The message in ``data`` with its stamp.

    :raises agatepick.exceptions.BadMessage: if it isn't one whole message
        of a known kind.
    """
    try:
        with _schema().Envelope.from_bytes(
            data,
            traversal_limit_in_words=(
                TRAVERSALS * len(data) // WORD_BYTES + SPARE_WORDS
            ),
            nesting_limit=MAX_NESTING,
        ) as envelope:
            content = _contents()[envelope._which_str()]
            message = content.read(envelope._get_by_field(content.wire))
            stamp = envelope._get_by_field(_stamp_wire())
            return Stamped(typing.cast(Message, message), stamp)
    # pycapnp raises its own and the standard errors for malformed bytes.
    except (capnp.KjException, ValueError, KeyError, AttributeError) as exc:
        raise exceptions.BadMessage(
            f'not one whole message: {exc}', step='decode'
        ) from exc


_Struct = typing.Any
_Write = typing.Callable[[_Struct, typing.Any], None]
_Read = typing.Callable[[_Struct], typing.Any]


@functools.cache
def _schema() -> typing.Any:
    return capnp.load(str(SCHEMA))


@functools.cache
def _tags() -> dict[type, str]:
    return {
        kind: _camel(kind.__name__[0].lower() + kind.__name__[1:])
        for kind in typing.get_args(Message)
    }


@dataclasses.dataclass(frozen=True, slots=True)
class _Content:
    """One kind of message in the envelope: its field, and how it is read."""

    wire: typing.Any
    read: _Read


@functools.cache
def _contents() -> dict[str, _Content]:
    wires = _schema().Envelope.schema.fields
    return {
        tag: _Content(wires[tag], _reader(kind))
        for kind, tag in _tags().items()
    }


@functools.cache
def _stamp_wire() -> typing.Any:
    return _schema().Envelope.schema.fields['stamp']


def _camel(name: str) -> str:
    first, *rest = name.split('_')
    return first + ''.join(part.capitalize() for part in rest)


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """A field in both its forms, looked up once.

    Access through the schema's field object costs 0.3 us; by attribute
    name it costs 1.7 us, which made up most of the codec's time.
    """

    name: str
    wire_name: str
    wire: typing.Any
    hint: typing.Any

    @property
    def item(self) -> typing.Any:
        """Type of the items of a list field, else ``None``."""
        if isinstance(self.hint, pytypes.GenericAlias):
            return typing.get_args(self.hint)[0]
        return None


def _fields(kind: type) -> list[_Field]:
    hints = typing.get_type_hints(kind)
    wires = getattr(_schema(), kind.__name__).schema.fields
    return [
        _Field(field.name, wire, wires[wire], hints[field.name])
        for field in dataclasses.fields(kind)
        for wire in (_camel(field.name),)
    ]


@functools.cache
def _writer(kind: type) -> _Write:
    steps = [(field.name, _field_writer(field)) for field in _fields(kind)]

    def write(struct: _Struct, value: typing.Any) -> None:
        for name, step in steps:
            step(struct, getattr(value, name))

    return write


def _field_writer(field: _Field) -> _Write:
    if field.item is not None:
        return _list_writer(field)
    if dataclasses.is_dataclass(field.hint):
        write = _writer(typing.cast(type, field.hint))
        return lambda struct, value: write(
            struct._get_by_field(field.wire), value
        )
    return lambda struct, value: struct._set_by_field(field.wire, value)


def _list_writer(field: _Field) -> _Write:
    name = field.wire_name
    if not dataclasses.is_dataclass(field.item):

        def write_values(struct: _Struct, values: typing.Any) -> None:
            items = struct.init(name, len(values))
            for index, value in enumerate(values):
                items[index] = value

        return write_values
    write = _writer(typing.cast(type, field.item))

    def write_structs(struct: _Struct, values: typing.Any) -> None:
        items = struct.init(name, len(values))
        for index, value in enumerate(values):
            write(items[index], value)

    return write_structs


@functools.cache
def _reader(kind: type) -> _Read:
    steps = [(field.wire, _value_reader(field)) for field in _fields(kind)]

    def read(struct: _Struct) -> object:
        get = struct._get_by_field
        return kind(*[step(get(wire)) for wire, step in steps])

    return read


def _value_reader(field: _Field) -> _Read:
    if field.item is not None and dataclasses.is_dataclass(field.item):
        read = _reader(typing.cast(type, field.item))
        return lambda value: tuple([read(one) for one in value])
    if field.item is not None:
        return tuple
    if dataclasses.is_dataclass(field.hint):
        return _reader(typing.cast(type, field.hint))
    return typing.cast(_Read, field.hint)
