"""The connections of all clients of a process, and which of them to end.

Load pattern: clients that take up memory or connections and don't get on,
many at once.  Each stays within the limits of one request, so only a limit of
all together keeps the process within the memory and the descriptors of its
machine.  If the next request were refused at that limit, the clients that got
there first would keep all others out; so the connections that hold most and
get on least are ended.
"""

import collections
import enum
import heapq
import math
import typing

from agatepick.intake import limits

FIELD_BYTES = 256
"""Memory of one field of a head."""

LINE_COPIES = 2
"""Copies of the request line that are held beside the bytes that were read."""

RECEIVE_BUFFER_BYTES = 32 * limits.KIB
"""Bytes that the system holds for a connection that isn't read."""

RELIEF_SHARE = 1 / 16
"""Share of a limit that is freed at once, as the search for the connections to
end takes longer than to end them."""

REFUSED_BYTES = limits.CONNECTION_BYTES + RECEIVE_BUFFER_BYTES
"""Bytes held for a connection that was refused and isn't closed yet."""

RELIEF_SECONDS = 0.1
"""Shortest time from making room for new connections to doing so again.  Those
that were closed dial again at once, and each dial costs processor time."""

CROWDED_SHARE = 0.5
"""Share of an address's connections from which idle ones are closed after
their time; before, a caller that comes back finds its own still open."""

SERVED_FACTOR = 1 / 8
"""Weight of what a client has sent that has had an answer before."""

MIN_AGE_SECONDS = 0.01
"""Age from which a connection's standing still tells anything."""

MIN_BODY_BYTES_PER_SECOND = limits.KIB
"""Rate below which a body is refused once it takes longer than a connection
may stand still."""

LINGER_SECONDS = 1.0
"""Time for which a refused connection stays open, unread, so that the client
can read the refusal."""


class Phase(enum.StrEnum):
    """What a connection is at.

    ``ANSWERING`` lasts until the answer has been passed to the system.
    """

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    ANSWERING = 'answering'
    REFUSED = 'refused'


class Reason(enum.StrEnum):
    """Why a connection was ended or a request refused."""

    MEMORY = 'memory'
    CONNECTIONS = 'connections'
    IDLE = 'idle'
    HEAD_LATE = 'head_late'
    BODY_LATE = 'body_late'
    BODY_TOO_LARGE = 'body_too_large'
    ANSWER_UNREAD = 'answer_unread'
    LEFT = 'left'


class Peer(typing.Protocol):
    """The network side of a connection."""

    def is_writing(self) -> bool:
        """Return whether the client has yet to read of its answer."""
        ...

    def has_bytes(self) -> bool:
        """Return whether the client has sent what wasn't read yet."""
        ...

    def refuse(self, reason: Reason) -> None:
        """Refuse the unfinished request, and end the connection."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class Connection:
    """One connection of a client.

    :param group: name of the address that it was accepted at.
    :ivar since: instant at which the phase began.
    :ivar progress_at: instant at which bytes were read last.
    :ivar sent_after: instant before which the client can't have sent the
        request: when nothing of it had arrived.
    :ivar line_bytes: length of the path of the request that is read.
    :ivar held: bytes that the process holds for it.
    :ivar served: whether a request has been answered on it.
    """

    __slots__ = (
        '_connections',
        'group',
        'peer',
        'phase',
        'since',
        'progress_at',
        'received',
        'extra',
        'line_bytes',
        'sent_after',
        'stalled',
        'held',
        'served',
    )

    def __init__(
        self,
        connections: 'Connections',
        group: str,
        peer: Peer,
        now: float,
    ):
        self._connections = connections
        self.group = group
        self.peer = peer
        self.phase = Phase.IDLE
        self.since = now
        self.progress_at = now
        self.received = 0
        self.extra = 0
        self.line_bytes = 0
        self.stalled = False
        self.held = limits.CONNECTION_BYTES
        self.served = False
        self.sent_after = now

    def record_read(self, count: int, now: float) -> None:
        """Record bytes that were read."""
        if self.phase is Phase.IDLE:
            self.phase = Phase.HEAD
            self.since = now
        elif self.phase is Phase.ANSWERING:
            # Nothing more is read until the answer has been sent.
            self.stalled = True
        self.received += count
        self.progress_at = now
        self._update()

    def begin_body(self, fields: int, line_bytes: int, now: float) -> None:
        """Begin a request whose head has been read.

        :param fields: number of fields that are kept.
        :param line_bytes: length of the path that is kept.
        """
        self.phase = Phase.BODY
        self.since = self.progress_at = now
        self.line_bytes = line_bytes
        self.extra = fields * FIELD_BYTES + LINE_COPIES * line_bytes
        self._update()

    def begin_answer(self, unread: int, now: float) -> None:
        """Wait for the answer to a request that has been handed on.

        :param unread: bytes that the client has sent ahead.
        """
        self.phase = Phase.ANSWERING
        self.since = now
        self.received = unread
        # With bytes of the next request, nothing more is read until the
        # answer has been sent.
        self.stalled = unread > 0
        self._update()

    def end_request(self, unread: int, now: float) -> None:
        """Wait for the next request."""
        if self.phase is Phase.ANSWERING:
            self.served = True
        # Nothing tells how long bytes have been there, before or after they
        # were read: this process may have stood still.
        waiting = unread or self.peer.has_bytes()
        self.sent_after = -math.inf if waiting else now
        self.phase = Phase.HEAD if unread else Phase.IDLE
        self.since = self.progress_at = now
        self.received = unread
        self.extra = 0
        self.line_bytes = 0
        self.stalled = False
        self._update()

    def begin_refusal(self, now: float) -> None:
        """Read no further."""
        self.phase = Phase.REFUSED
        self.since = now
        # The library keeps the head until the connection is closed.
        self.received = self.line_bytes
        self.extra = LINE_COPIES * self.line_bytes
        self.stalled = True
        self._update()

    def set_stalled(self, stalled: bool) -> None:
        """Set whether what the client sends stays unread for now."""
        self.stalled = stalled
        self._update()

    def may_be_ended(self) -> bool:
        """Return whether the process loses no accepted work by it.

        A client that has handed in a job gets its answer, unless it has sent
        more than that, or doesn't read.
        """
        if self.phase is not Phase.ANSWERING:
            return True
        return self.stalled or self.peer.is_writing()

    def rank(self, now: float) -> float:
        """Return how much its client has sent for how long, as byte-seconds.

        What the process holds beside that is alike for all, and would make a
        short request that waits for its turn count as much as a long one.
        Who has been refused only has to read the refusal, and goes first.
        """
        if self.phase is Phase.REFUSED:
            return math.inf
        sent = self.received + self.extra + limits.KIB
        weight = SERVED_FACTOR if self.served else 1.0
        return weight * sent * max(now - self.since, MIN_AGE_SECONDS)

    def find_overdue(
        self, request_limits: limits.RequestLimits, now: float
    ) -> Reason | None:
        """Return the time limit that has passed, if any."""
        age = now - self.since
        idle_seconds = request_limits.idle_seconds
        if self.phase is Phase.IDLE and age > idle_seconds:
            return Reason.IDLE
        if self.phase is Phase.HEAD and not self.stalled:
            if age > request_limits.header_seconds:
                return Reason.HEAD_LATE
        if self.phase is Phase.BODY and not self.stalled:
            allowed = idle_seconds + self.received / MIN_BODY_BYTES_PER_SECOND
            if age > allowed or now - self.progress_at > idle_seconds:
                return Reason.BODY_LATE
        if self.phase is Phase.REFUSED and age > LINGER_SECONDS:
            return Reason.LEFT
        return None

    def _update(self) -> None:
        held = limits.CONNECTION_BYTES + self.received + self.extra
        if self.stalled:
            held += RECEIVE_BUFFER_BYTES
        change = held - self.held
        self.held = held
        self._connections.change_held(self, change)


class Connections:
    """All connections of clients of a process.

    :ivar request_limits: limits of each request.
    :ivar held: bytes that the process holds for all of them.
    :ivar ended: number of connections and requests that were ended or
        refused, by reason.
    """

    def __init__(
        self,
        process_limits: limits.ProcessLimits,
        request_limits: limits.RequestLimits,
        now: typing.Callable[[], float],
    ):
        self.limits = process_limits
        self.request_limits = request_limits
        self.now = now
        self.held = 0
        self.ended: collections.Counter[Reason] = collections.Counter()
        self._groups: dict[str, set[Connection]] = {}
        self._most: dict[str, int] = {}
        self._next_relief_at: dict[str, float] = {}
        self._unread_since: dict[Connection, float] = {}
        self._relieving = False

    def __iter__(self) -> typing.Iterator[Connection]:
        for group in self._groups.values():
            yield from group

    def count(self, group: str = '') -> int:
        """Return the number of connections at an address, or at all."""
        if group:
            return len(self._groups.get(group, ()))
        return sum(len(group) for group in self._groups.values())

    def is_full(self, group: str, most: int) -> bool:
        """Return whether an address has as many connections as it may."""
        return self.count(group) >= most

    def open(self, group: str, most: int, peer: Peer) -> Connection | None:
        """Add a new connection.

        :param group: name of the address that it was accepted at.
        :param most: largest number of connections at that address.
        :returns: ``None`` if there is no room for it.
        """
        if self.is_full(group, most):
            self.ended[Reason.CONNECTIONS] += 1
            return None
        self._most[group] = most
        conn = Connection(self, group, peer, self.now())
        self._groups.setdefault(group, set()).add(conn)
        self.held += conn.held
        return conn

    def make_room(self, group: str, most: int) -> bool:
        """Return whether a connection may be added, ending others for it.

        Those go last on which a request has been answered: a client that comes
        back regularly would have to wait behind a crowd that dials.
        """
        now = self.now()
        may_end = now >= self._next_relief_at.get(group, 0.0)
        if self.is_full(group, most) and may_end:
            self._next_relief_at[group] = now + RELIEF_SECONDS
            members = self._groups.get(group, set())
            fresh = [conn for conn in members if not conn.served]
            count = max(1, int(most * RELIEF_SHARE))
            ended = self._end_worst(fresh, count, Reason.CONNECTIONS)
            if not ended:
                self._end_worst(members, count, Reason.CONNECTIONS)
        return not self.is_full(group, most)

    def discard(self, conn: Connection) -> None:
        """Remove a connection that has been closed."""
        members = self._groups.get(conn.group, set())
        if conn in members:
            members.discard(conn)
            self.held -= conn.held
            self._unread_since.pop(conn, None)

    def change_held(self, conn: Connection, change: int) -> None:
        """Count bytes that a connection holds more, and keep to the limit."""
        if conn not in self._groups.get(conn.group, ()):
            return
        self.held += change
        too_much = self.held > self.limits.max_request_bytes
        if change > 0 and too_much and not self._relieving:
            self._relieving = True
            try:
                self._relieve_memory()
            finally:
                self._relieving = False

    def fits(self, length: int) -> bool:
        """Return whether a body may be taken in at all."""
        return length <= self.limits.max_request_bytes // 2

    def end_idle(self) -> int:
        """End connections without a request; return their number.

        It frees descriptors when the system has none left.
        """
        idle = {conn for conn in self if conn.phase is Phase.IDLE}
        count = max(1, int(self.count() * RELIEF_SHARE))
        return self._end_worst(idle, count, Reason.CONNECTIONS)

    def check_times(self) -> None:
        """End each connection that has passed a time limit."""
        now = self.now()
        for conn in list(self):
            reason = conn.find_overdue(self.request_limits, now)
            if reason is Reason.IDLE and not self._is_crowded(conn.group):
                continue
            if reason is None:
                reason = self._find_unread_answer(conn, now)
            if reason is not None:
                self._end(conn, reason)

    def _is_crowded(self, group: str) -> bool:
        return self.count(group) > CROWDED_SHARE * self._most[group]

    def _find_unread_answer(
        self, conn: Connection, now: float
    ) -> Reason | None:
        if conn.phase is not Phase.ANSWERING or not conn.peer.is_writing():
            self._unread_since.pop(conn, None)
            return None
        since = self._unread_since.setdefault(conn, now)
        if now - since > self.request_limits.idle_seconds:
            return Reason.ANSWER_UNREAD
        return None

    def _relieve_memory(self) -> None:
        now = self.now()
        target = (1.0 - RELIEF_SHARE) * self.limits.max_request_bytes
        # Connections without a request hold little, and their number has a
        # limit of its own.
        candidates = [
            conn
            for conn in self
            if conn.phase is not Phase.IDLE and conn.may_be_ended()
        ]
        candidates.sort(key=lambda conn: conn.rank(now), reverse=True)
        for conn in candidates:
            if self.held <= target:
                return
            self._end(conn, Reason.MEMORY)

    def _end_worst(
        self,
        members: typing.Iterable[Connection],
        count: int,
        reason: Reason,
    ) -> int:
        now = self.now()
        candidates = [conn for conn in members if conn.may_be_ended()]
        worst = heapq.nlargest(
            count, candidates, key=lambda conn: conn.rank(now)
        )
        for conn in worst:
            self._end(conn, reason)
        return len(worst)

    def _end(self, conn: Connection, reason: Reason) -> None:
        if conn.phase is Phase.IDLE and conn.peer.has_bytes():
            # A request has just arrived, and would be lost.
            return
        if conn.phase is not Phase.REFUSED:
            self.ended[reason] += 1
        answers = reason in (Reason.MEMORY, Reason.BODY_LATE)
        frees_memory = conn.held > REFUSED_BYTES
        if conn.phase is Phase.BODY and answers and frees_memory:
            conn.peer.refuse(reason)
        else:
            conn.peer.close()
            self.discard(conn)
