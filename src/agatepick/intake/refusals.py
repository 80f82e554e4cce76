"""Refusals of requests that a process doesn't take in."""

import dataclasses
import typing

from tornado import httputil

from agatepick.intake import connections

RETRY_SECONDS = 1.0
"""When to come back after a refusal, as what holds the memory is ended within
that time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request whose body isn't read.

    :param retry_after: seconds after which a retry may succeed; 0 if it won't.
    """

    status: int
    reason: str
    retry_after: float = 0.0


REFUSALS = {
    connections.Reason.MEMORY: Refusal(503, 'out_of_memory', RETRY_SECONDS),
    connections.Reason.BODY_LATE: Refusal(408, 'body_late'),
    connections.Reason.BODY_TOO_LARGE: Refusal(413, 'body_too_large'),
}
"""Refusals by the limit that a request has passed."""

Screen = typing.Callable[
    [httputil.RequestStartLine, httputil.HTTPHeaders], Refusal | None
]
"""Decides by its head whether the body of a request is read."""
