"""Limits of one request, and of all requests of a process together."""

import dataclasses
import resource
import typing

import msgspec

KIB = 1024
MIB = 1024 * KIB

DEFAULT_MEMORY_MB = 160
"""Memory of a process whose machine isn't known."""

OWN_MEMORY_MB = 56
"""Memory of a process without clients."""

MIN_CLIENT_MEMORY_MB = 16

REQUEST_SHARE = 0.3
"""Share of the memory beyond its own that a process spends on connections and
unfinished requests.  What jobs and requests don't get is for objects that live
for moments, and for memory that the allocator can't return."""

JOB_SHARE = 0.3
"""Share of that memory that a process spends on jobs whose callers wait."""

CONNECTION_BYTES = 12 * KIB
"""Memory of an open connection without a request."""

IDLE_CONNECTION_SHARE = 0.5
"""Share of the memory for requests that connections alone may take up."""

FILE_DESCRIPTORS = 200
"""Descriptors that are not for sockets."""

MAX_DESCRIPTORS = 65536
"""Files and sockets of a process where neither its settings nor the system
have a limit."""

MIN_SOCKETS = 64

OWN_DESCRIPTOR_SHARE = 0.3
"""Share of the sockets that is kept for peers, workers and the store."""

SMALL_ADDRESS_SHARE = 0.04
"""Share of the sockets for each address that only operators, the balancer or
one worker use."""

_Count = typing.Annotated[
    int, msgspec.Meta(ge=0, description='a whole number, 0 or more')
]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of one request.

    :param header_seconds: time from the first byte of a head to its last.
    :param idle_seconds: time for which a connection may have no request, a
        body may stand still, and an answer may not be read.
    """

    max_header_bytes: int = 16 * KIB
    max_body_bytes: int = 256 * KIB
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class IntakeSettings:
    """Settings of the limits; 0 for what follows from the others.

    :param memory_mb: memory of the process.
    :param descriptors: files and sockets that it may open.  A lower limit of
        the system goes first.
    :param max_connections: connections of clients at the main address.
    :param max_request_mb: memory for connections and unfinished requests.
    :param max_job_mb: memory for jobs whose callers wait.
    """

    memory_mb: _Count = 0
    descriptors: _Count = 0
    max_connections: _Count = 0
    max_request_mb: _Count = 0
    max_job_mb: _Count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits of all clients of a process together.

    :param max_connections: connections at the main address.
    :param max_small_connections: connections at each other address.
    :param max_request_bytes: memory for connections and unfinished requests.
    :param max_job_bytes: memory for jobs whose callers wait.
    """

    max_connections: int
    max_small_connections: int
    max_request_bytes: int
    max_job_bytes: int

    @classmethod
    def from_config(
        cls,
        cfg: IntakeSettings = IntakeSettings(),
        memory_mb: float = 0.0,
        descriptors: float = 0.0,
    ) -> 'ProcessLimits':
        """Return the limits of a process.

        :param memory_mb: memory of its machine; 0 if it isn't known.
        :param descriptors: descriptors on its machine; 0 if that isn't known.
        """
        memory = cfg.memory_mb or memory_mb or DEFAULT_MEMORY_MB
        memory = max(memory - OWN_MEMORY_MB, MIN_CLIENT_MEMORY_MB)
        request_mb = cfg.max_request_mb or REQUEST_SHARE * memory
        job_mb = cfg.max_job_mb or JOB_SHARE * memory
        request_bytes = int(request_mb * MIB)
        sockets = _count_sockets(cfg.descriptors or descriptors)
        small = max(1, int(SMALL_ADDRESS_SHARE * sockets))
        by_sockets = int((1.0 - OWN_DESCRIPTOR_SHARE) * sockets) - 3 * small
        by_memory = IDLE_CONNECTION_SHARE * request_bytes / CONNECTION_BYTES
        connections = cfg.max_connections or min(by_sockets, int(by_memory))
        return cls(
            max(1, connections), small, request_bytes, int(job_mb * MIB)
        )


def _count_sockets(descriptors: float) -> int:
    """Return the number of sockets that this process may open.

    :param descriptors: files and sockets that it may open; 0 for what the
        system allows.
    """
    of_system, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if of_system == resource.RLIM_INFINITY:
        of_system = MAX_DESCRIPTORS
    most = min(descriptors or of_system, of_system)
    return max(MIN_SOCKETS, int(most) - FILE_DESCRIPTORS)
